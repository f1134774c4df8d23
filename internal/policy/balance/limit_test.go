package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/world/directory"
)

// The bound on what a limited endpoint may get: in each window of limitWindow, limitFactor
// times what its limit allows plus limitSlack requests, counted from limitWindow after it
// named the limit, over the VMs that knew of it for toldDelay.
const (
	limitWindow = 4 * clock.Second
	limitFactor = 1.5
	limitSlack  = 5
	toldDelay   = 500 * clock.Millis(1)
)

// limitedFleet is a fleet of VMs that send requests to the same endpoints, some of which
// name a limit from limitsFrom until limitsUntil.
type limitedFleet struct {
	manual                  *clock.Manual
	random                  *rand.Rand
	endpoints               []directory.Endpoint
	vms                     []*limitedVM
	limits                  map[string]float64
	limitsFrom, limitsUntil clock.Millis
	// From replacedFrom on the endpoints name replacedBy times their limit, from unnamedFrom
	// on none, while their limit still binds.
	replacedFrom, unnamedFrom clock.Millis
	replacedBy                float64
	arrivals                  map[string][]clock.Millis
	refused, sent             int
}

// limitedVM is one VM of a limitedFleet. It is not judged before judgedFrom.
type limitedVM struct {
	balancer   *Balancer
	self       VM
	rate       float64
	running    []limitedRun
	told       map[string]clock.Millis
	judgedFrom clock.Millis
	// isDown VMs do not run, isCut ones reach endpoints and no other VM.
	isDown, isCut bool
	// heardAt is when another VM last heard of this one, demand and readings what it
	// stated at the last exchange.
	heardAt  clock.Millis
	demand   map[string]float64
	readings map[string]LimitReading
	statedAt clock.Millis
}

// newestReadings returns the newest reading of each endpoint that VMs stated at the last
// exchange, with its age at now.
func (f *limitedFleet) newestReadings(now clock.Millis) map[string]LimitReading {
	newest := map[string]LimitReading{}
	for _, vm := range f.vms {
		if vm.isDown || vm.isCut {
			continue
		}
		for id, reading := range vm.readings {
			reading.Age += now - vm.statedAt
			if known, found := newest[id]; !found || reading.Age < known.Age {
				newest[id] = reading
			}
		}
	}
	return newest
}

type limitedRun struct {
	grant *Grant
	endAt clock.Millis
}

func newLimitedFleet(seed uint64, vms, endpoints int, limit, rate float64) *limitedFleet {
	f := &limitedFleet{
		manual: &clock.Manual{}, random: rand.New(rand.NewPCG(seed, 1)), limits: map[string]float64{}, arrivals: map[string][]clock.Millis{},
		limitsFrom: 2 * clock.Second, limitsUntil: clock.Hour, replacedFrom: clock.Hour, unnamedFrom: clock.Hour,
	}
	for i := range endpoints {
		e := directory.Endpoint{
			ID: fmt.Sprintf("e%02d", i), Service: testService.Name, Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: testSlots,
			Region: "ab"[i%2 : i%2+1], DataCentre: "a1", Version: "v1", Revision: 1,
		}
		f.endpoints = append(f.endpoints, e)
		if i < endpoints*7/10 {
			f.limits[e.ID] = limit * (0.7 + 0.6*f.random.Float64())
		}
	}
	for i, self := range testVMs(vms) {
		// The first VM gets a third of all requests.
		vmRate := rate * 2 / 3 / float64(vms)
		if i == 0 {
			vmRate = rate / 3
		}
		vm := &limitedVM{self: self, rate: vmRate}
		f.vms = append(f.vms, vm)
		f.start(vm)
	}
	return f
}

func (f *limitedFleet) now() clock.Millis { return f.manual.Clock().Now() }

// start gives a VM a new Balancer.
func (f *limitedFleet) start(vm *limitedVM) {
	vm.balancer = &Balancer{Clock: f.manual.Clock(), VM: vm.self.Name, Region: vm.self.Region, DataCentre: vm.self.Region + "1", ColdLimit: ColdLimit{Overage: 1.5, Slack: 5}}
	vm.balancer.UpdateDirectory(directory.New(f.endpoints, nil, nil))
	vm.running, vm.told, vm.isDown = nil, map[string]clock.Millis{}, false
	vm.judgedFrom = f.now() + limitWindow
}

const limitedStep = 10 * clock.Millis(1)

// run lets the VMs send requests for the given time.
func (f *limitedFleet) run(length clock.Millis) {
	end := f.now() + length
	for f.now() < end {
		now := f.now()
		if now%(250*clock.Millis(1)) == 0 {
			f.exchange()
		}
		for _, vm := range f.vms {
			if vm.isDown {
				continue
			}
			f.finish(vm, now)
			if f.random.Float64() < vm.rate*float64(limitedStep)/float64(clock.Second) {
				f.send(vm, now)
			}
		}
		f.manual.Advance(limitedStep)
	}
}

func (f *limitedFleet) send(vm *limitedVM, now clock.Millis) {
	f.sent++
	grant, err := vm.balancer.Place(request(fmt.Sprint("object ", f.random.IntN(400))))
	if err != nil {
		f.refused++
		return
	}
	id := grant.Endpoint.ID
	if told, found := vm.told[id]; found && now-told >= toldDelay && now >= vm.judgedFrom && now >= f.limitsFrom+limitWindow {
		f.arrivals[id] = append(f.arrivals[id], now)
	}
	vm.running = append(vm.running, limitedRun{grant, now + 200 + clock.Millis(f.random.IntN(600))})
}

func (f *limitedFleet) finish(vm *limitedVM, now clock.Millis) {
	kept := vm.running[:0]
	for _, run := range vm.running {
		if run.endAt > now {
			kept = append(kept, run)
			continue
		}
		result := Result{Outcome: Answered, Running: -1, Limit: Limit{Statement: LimitNone}}
		id := run.grant.Endpoint.ID
		if rate, isLimited := f.limits[id]; isLimited && now >= f.limitsFrom && now < f.limitsUntil {
			result.Limit = f.named(rate, now)
			if _, found := vm.told[id]; !found {
				vm.told[id] = now
			}
		}
		run.grant.Done(result)
	}
	vm.running = kept
}

// named returns what an endpoint with the given limit names.
func (f *limitedFleet) named(limit float64, now clock.Millis) Limit {
	switch {
	case now >= f.unnamedFrom:
		return Limit{Statement: LimitNone}
	case now >= f.replacedFrom:
		return Limit{LimitNamed, limit * f.replacedBy}
	}
	return Limit{LimitNamed, limit}
}

// lostAfter is the time after which a VM counts as unavailable for one that it is cut off
// from. maxMeshVMs is the size of the largest fleet in which VMs exchange their demand.
const (
	lostAfter  = 1700 * clock.Millis(1)
	maxMeshVMs = 16
)

// exchange gives each VM what the others stated at the last exchange.
func (f *limitedFleet) exchange() {
	now := f.now()
	readings := f.newestReadings(now)
	for _, vm := range f.vms {
		if vm.isDown {
			continue
		}
		if !vm.isCut {
			vm.balancer.MergeLimitReadings(readings)
		}
		vms, demands := []VM{}, map[string]map[string]float64{}
		for _, other := range f.vms {
			isHeard := !other.isDown && other.isCut == vm.isCut && (!vm.isCut || vm == other)
			if isHeard {
				if other != vm {
					other.heardAt = now
				}
				demands[other.self.Name] = other.demand
			}
			seen := other.self
			seen.Unavailable = !isHeard && (vm.isCut || now-other.heardAt > lostAfter)
			vms = append(vms, seen)
		}
		vm.balancer.UpdatePeers(nil, vms)
		if len(f.vms) <= maxMeshVMs {
			vm.balancer.UpdateLimitDemands(demands)
		}
	}
	for _, vm := range f.vms {
		vm.demand, vm.statedAt = vm.balancer.LimitDemand(), now
		vm.readings = vm.balancer.LimitReadings()
		if vm.isCut {
			vm.judgedFrom = now + limitWindow
		}
	}
}

// expectLimitsHeld checks the bound for each endpoint.
func (f *limitedFleet) expectLimitsHeld(t *testing.T) {
	t.Helper()
	g := NewWithT(t)
	for id, arrivals := range f.arrivals {
		allowed := limitFactor*f.limits[id]*float64(limitWindow/clock.Second) + limitSlack
		for i, first := range arrivals {
			count := 0
			for _, at := range arrivals[i:] {
				if at-first < limitWindow {
					count++
				}
			}
			g.Expect(float64(count)).To(BeNumerically("<=", allowed), "requests to %s, limit %.1f a second, from %d ms on", id, f.limits[id], first)
		}
	}
}

// Guards against an endpoint that gets more than the limit that it named, as each VM sent
// what its callers asked for.
func TestLimitNamedByAnEndpointHoldsOverAllVMs(t *testing.T) {
	for _, c := range []struct {
		vms, endpoints int
		limit, rate    float64
	}{{2, 4, 1, 20}, {8, 16, 2.2, 67}, {9, 16, 6, 200}, {86, 112, 1.5, 900}, {8, 10, 0.3, 20}} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(c.vms, " VMs, limit ", c.limit, ", seed ", seed), func(t *testing.T) {
				f := newLimitedFleet(seed, c.vms, c.endpoints, c.limit, c.rate)
				f.run(20 * clock.Second)
				f.expectLimitsHeld(t)
			})
		}
	}
}

// Guards against an excess while VMs restart, stand still and are cut off, and while limits
// are lifted and named again.
func TestLimitHoldsWhileVMsRestartAndAreCutOff(t *testing.T) {
	for _, c := range []struct {
		vms, endpoints int
		limit, rate    float64
	}{{8, 16, 2.2, 67}, {9, 16, 7, 200}, {12, 10, 0.4, 30}, {40, 30, 2, 300}} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(c.vms, " VMs, limit ", c.limit, ", seed ", seed), func(t *testing.T) {
				f := newLimitedFleet(seed, c.vms, c.endpoints, c.limit, c.rate)
				for range 12 {
					f.run(clock.Millis(400+f.random.IntN(2500)) / limitedStep * limitedStep)
					f.disturb()
				}
				f.expectLimitsHeld(t)
			})
		}
	}
}

// Guards against an excess of a limit that outlasts the one which replaced it in the
// endpoint's answers.
func TestReplacedLimitHoldsForAWindowAfterTheNewerOne(t *testing.T) {
	for _, factor := range []float64{0.5, 1.2} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint("factor ", factor, ", seed ", seed), func(t *testing.T) {
				f := newLimitedFleet(seed, 9, 16, 2.2, 200)
				f.replacedBy, f.replacedFrom, f.unnamedFrom = factor, 8*clock.Second, 14*clock.Second
				f.run(f.unnamedFrom + limitWindow)
				f.expectLimitsHeld(t)
			})
		}
	}
}

func TestReplacedLimitEnds(t *testing.T) {
	g := NewWithT(t)
	f := limitedBalancer(Limit{LimitNamed, 3})
	uses := func(limit Limit) []float64 {
		f.manual.Advance(clock.Second)
		f.balancer.MergeLimitReadings(map[string]LimitReading{"e00": {Limit: limit, Started: 1}})
		rates := []float64{}
		for _, use := range f.balancer.LimitUses() {
			rates = append(rates, use.Rate)
		}
		return rates
	}
	g.Expect(uses(Limit{LimitNamed, 5})).To(ConsistOf(5.0), "a raise counts at once")
	g.Expect(uses(Limit{LimitNamed, 2})).To(ConsistOf(2.0))
	g.Expect(uses(Limit{Statement: LimitNone})).To(ConsistOf(3.0), "the lowest that was replaced")
	f.manual.Advance(replacedLimitTime)
	g.Expect(uses(Limit{Statement: LimitNone})).To(BeEmpty())
	g.Expect(uses(Limit{LimitNamed, 5})).To(ConsistOf(5.0))
	g.Expect(uses(Limit{Statement: LimitNone})).To(BeEmpty(), "no limit was replaced since")
}

// disturb changes the state of a random VM: it restarts, stands still for a while, is cut
// off or is reached again.
func (f *limitedFleet) disturb() {
	vm := f.vms[f.random.IntN(len(f.vms))]
	switch f.random.IntN(4) {
	case 0:
		f.start(vm)
	case 1:
		vm.isDown = true
		f.run(clock.Millis(f.random.IntN(4000)) / limitedStep * limitedStep)
		vm.isDown, vm.judgedFrom = false, f.now()+limitWindow
	default:
		vm.isCut = !vm.isCut
		vm.judgedFrom = f.now() + limitWindow
	}
}

// Guards against VMs that go on to spare an endpoint which no longer needs it: most VMs of
// a large fleet have no share, so only others' readings tell them.
func TestLiftedLimitIsForgottenByAllVMs(t *testing.T) {
	g := NewWithT(t)
	f := newLimitedFleet(1, 86, 20, 1.5, 300)
	f.limitsUntil = 12 * clock.Second
	f.run(12 * clock.Second)
	limited := func() (count int) {
		for _, vm := range f.vms {
			count += len(vm.balancer.LimitUses())
		}
		return count
	}
	g.Expect(limited()).To(BeNumerically(">", 0))
	f.run(limitMaxAge / 2)
	g.Expect(limited()).To(BeZero())
}

// limitedBalancer returns one VM of eight whose only endpoint has named a limit.
func limitedBalancer(limit Limit) *fleet {
	f := newFleet(1)
	f.endpoints[0].Started = 1
	f.update(nil)
	f.balancer.MergeLimitReadings(map[string]LimitReading{"e00": {Limit: limit, Started: 1}})
	return f
}

func TestRequestBeyondLimitIsRefusedWithTimeOfNextToken(t *testing.T) {
	g := NewWithT(t)
	f := limitedBalancer(Limit{LimitNamed, 16})
	var refusal *reason.Refusal
	for range 10 {
		grant, err := f.balancer.Place(request("x"))
		if err != nil {
			refusal = err.(*reason.Refusal)
			break
		}
		grant.Done(Result{Outcome: Answered, Running: -1})
	}
	g.Expect(refusal).NotTo(BeNil())
	g.Expect(refusal.Ran).To(Equal(reason.RanNo))
	g.Expect(refusal.RetryAfter).To(BeNumerically("~", 500, 50))
	f.manual.Advance(refusal.RetryAfter)
	_, err := f.balancer.Place(request("x"))
	g.Expect(err).NotTo(HaveOccurred())
}

func TestOnlyNewestReadingOfTheRunningEndpointCounts(t *testing.T) {
	g := NewWithT(t)
	f := limitedBalancer(Limit{LimitNamed, 3})
	f.manual.Advance(clock.Second)
	merge := func(limit Limit, age, started clock.Millis) map[string]LimitUse {
		f.balancer.MergeLimitReadings(map[string]LimitReading{"e00": {Limit: limit, Age: age, Started: started}})
		return f.balancer.LimitUses()
	}
	g.Expect(merge(Limit{Statement: LimitNone}, 1100, 1)).To(HaveLen(1), "an older reading")
	g.Expect(merge(Limit{Statement: LimitNone}, 100, 1)).To(BeEmpty())
	g.Expect(merge(Limit{LimitNamed, 3}, 0, 1)).To(HaveLen(1))
	f.endpoints[0].Started = 2
	f.update(nil)
	g.Expect(merge(Limit{LimitNamed, 3}, 0, 1)).To(BeEmpty(), "the limit of an earlier start")
}

// Guards against an endpoint that nobody tries again, as only VMs without requests for it
// had a share of its limit.
func TestStaleLimitIsTriedByAllVMsInTurn(t *testing.T) {
	g := NewWithT(t)
	f := limitedBalancer(Limit{LimitNamed, 0})
	_, err := f.balancer.Place(request("x"))
	g.Expect(err).To(HaveOccurred())
	f.manual.Advance(limitMaxAge + clock.Second)
	_, err = f.balancer.Place(request("x"))
	g.Expect(err).To(HaveOccurred())
	f.manual.Advance(8 * clock.Millis(float64(clock.Second)/minStaleRate))
	_, err = f.balancer.Place(request("x"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = f.balancer.Place(request("x"))
	g.Expect(err).To(HaveOccurred())
}

func TestParseLimit(t *testing.T) {
	g := NewWithT(t)
	for text, want := range map[string]Limit{
		"": {Statement: LimitNone}, "2.5": {LimitNamed, 2.5}, " 7 ": {LimitNamed, 7}, "0": {LimitNamed, 0},
		"-1": {}, "many": {}, "NaN": {}, "Inf": {},
	} {
		g.Expect(ParseLimit(text)).To(Equal(want), text)
	}
}

func BenchmarkLimitShareOf4900VMs(b *testing.B) {
	f := newFleet(1)
	f.balancer.UpdatePeers(nil, testVMs(4900))
	f.balancer.MergeLimitReadings(map[string]LimitReading{"e00": {Limit: Limit{LimitNamed, 50}}})
	state := f.balancer.states["e00"]
	for b.Loop() {
		state.said.limit.shareVersion = unknownVersion
		f.balancer.refreshLimit(state, 0)
	}
}

// A reading with an age below 0 would stay the newest, one without a rate would set no limit.
func TestMalformedReadingIsIgnored(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4)
	id := f.endpoints[0].ID
	for _, reading := range []LimitReading{
		{Limit: Limit{LimitNamed, 1}, Age: -clock.Hour},
		{Limit: Limit{LimitNamed, math.NaN()}},
		{Limit: Limit{LimitNamed, math.Inf(1)}},
		{Limit: Limit{LimitNamed, -1}},
	} {
		f.balancer.MergeLimitReadings(map[string]LimitReading{id: reading})
		g.Expect(f.balancer.LimitUses()).To(BeEmpty(), "%v", reading)
	}
}
