package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/directory"
	"baobabladder.example/baobabladder/internal/world/routing"
)

const (
	overloadStep = 10 * clock.Millis(1)
	// standInQueue is how many requests wait at an endpoint of the overload before it sheds.
	standInQueue = 9
	// standInObjects is how many objects an endpoint keeps cached.
	standInObjects = 40
)

// overload plays requests of several routes through Balancers that share endpoints. The
// endpoints are first come, first served, and work on a cached object takes 0.3 of its time.
type overload struct {
	manual    *clock.Manual
	random    *rand.Rand
	vms       []*overloadVM
	endpoints map[string]*standInEndpoint
	kinds     []*overloadKind
}

// overloadKind is one kind of request. Counts are of requests that arrived since the last
// reset: answered ones, and those answered within the target.
type overloadKind struct {
	route  *routing.Route
	object string
	work   clock.Millis
	// from is the region of the callers; empty for all.
	from string
	// rate is in requests per second over all VMs, as a function of the time.
	rate                                       func(now clock.Millis) float64
	arrived, answered, inTarget, sent, refused int
	regions                                    map[string]int
}

func (k *overloadKind) reset() {
	k.arrived, k.answered, k.inTarget, k.sent, k.refused, k.regions = 0, 0, 0, 0, 0, map[string]int{}
}

func (k *overloadKind) served() float64 { return float64(k.answered) / float64(max(k.arrived, 1)) }
func (k *overloadKind) onTime() float64 { return float64(k.inTarget) / float64(max(k.arrived, 1)) }

func (k *overloadKind) String() string {
	return fmt.Sprintf("%s: %d arrived, %.2f served, %.2f in target, %d sent", k.route.Name, k.arrived, k.served(), k.onTime(), k.sent)
}

type overloadVM struct {
	balancer *Balancer
	// waiting holds requests that found no room and are tried again.
	waiting []*overloadRequest
}

type overloadRequest struct {
	kind    *overloadKind
	vm      *overloadVM
	arrived clock.Millis
	request *Request
	grant   *Grant
	endAt   clock.Millis
}

type standInEndpoint struct {
	slots            int
	running, waiting []*overloadRequest
	cached           []string
}

// newOverload returns an overload with the given number of VMs and endpoints by region.
func newOverload(seed uint64, vms, endpoints map[string]int, kinds ...*overloadKind) *overload {
	o := &overload{manual: &clock.Manual{}, random: rand.New(rand.NewPCG(seed, 3)), endpoints: map[string]*standInEndpoint{}, kinds: kinds}
	o.manual.Advance(clock.Minute)
	var listed []directory.Endpoint
	var members []VM
	for _, region := range []string{"a", "b", "c"} {
		for i := range endpoints[region] {
			e := directory.Endpoint{ID: fmt.Sprintf("%s%02d", region, i), Service: testService.Name, Address: fmt.Sprint(region, i), Slots: testSlots, Region: region, DataCentre: region + "1", Version: "v1", Revision: 1}
			listed = append(listed, e)
			o.endpoints[e.ID] = &standInEndpoint{slots: testSlots}
		}
		for i := range vms[region] {
			members = append(members, VM{Name: fmt.Sprint("vm-", region, i), Region: region})
		}
	}
	for _, self := range members {
		vm := &overloadVM{balancer: &Balancer{Clock: o.manual.Clock(), VM: self.Name, Region: self.Region, DataCentre: self.Region + "1"}}
		vm.balancer.UpdateDirectory(directory.New(listed, nil, nil))
		vm.balancer.UpdatePeers(nil, members)
		o.vms = append(o.vms, vm)
	}
	for _, kind := range kinds {
		kind.reset()
	}
	return o
}

func (o *overload) now() clock.Millis { return o.manual.Clock().Now() }

// run plays the given time.
func (o *overload) run(length clock.Millis) {
	for end := o.now() + length; o.now() < end; o.manual.Advance(overloadStep) {
		now := o.now()
		for _, id := range o.sortedIDs() {
			o.endpoints[id].step(now)
		}
		if now%900 == 0 {
			o.exchange()
		}
		if now%50 == 0 {
			for _, vm := range o.vms {
				o.retry(vm)
			}
		}
		for _, kind := range o.kinds {
			for range o.arrivals(kind.rate(now) * float64(overloadStep) / float64(clock.Second)) {
				o.arrive(kind)
			}
		}
	}
}

func (o *overload) sortedIDs() []string {
	ids := make([]string, 0, len(o.endpoints))
	for id := range o.endpoints {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// arrivals returns a random number with the given mean.
func (o *overload) arrivals(mean float64) (count int) {
	for mean > 0 {
		if o.random.Float64() < min(mean, 1) {
			count++
		}
		mean--
	}
	return count
}

func (o *overload) arrive(kind *overloadKind) {
	chosen := o.vms[o.random.IntN(len(o.vms))]
	for kind.from != "" && chosen.balancer.Region != kind.from {
		chosen = o.vms[o.random.IntN(len(o.vms))]
	}
	kind.arrived++
	r := &overloadRequest{kind: kind, vm: chosen, arrived: o.now(), request: requestOn(kind.route, "")}
	if kind.object != "" {
		r.request.Object = fmt.Sprint(kind.object, o.random.IntN(60))
	}
	o.place(r)
}

// place sends the request, lets it wait, or gives it up.
func (o *overload) place(r *overloadRequest) {
	now := o.now()
	r.request.Remaining = r.kind.route.Timeout - (now - r.arrived)
	grant, err := r.vm.balancer.Place(r.request)
	switch {
	case err == nil:
		r.grant = grant
		r.kind.sent++
		r.kind.regions[grant.Endpoint.Region]++
		o.endpoints[grant.Endpoint.ID].take(r, now)
	case LacksCapacity(err) && r.vm.balancer.QueuesAllowed(testService.Name) && r.vm.balancer.ExpectedRun(r.request) < r.request.Remaining:
		r.vm.waiting = append(r.vm.waiting, r)
	default:
		r.kind.refused++
	}
}

// retry tries the waiting requests again, those of the highest priority first.
func (o *overload) retry(vm *overloadVM) {
	waiting := vm.waiting
	vm.waiting = nil
	slices.SortStableFunc(waiting, func(x, y *overloadRequest) int { return x.kind.route.Priority - y.kind.route.Priority })
	for _, r := range waiting {
		o.place(r)
	}
}

// exchange tells each VM what the others have in flight.
func (o *overload) exchange() {
	running := map[*overloadVM]map[string]int{}
	for _, vm := range o.vms {
		running[vm] = vm.balancer.Running()
	}
	for _, vm := range o.vms {
		others := map[string]int{}
		for other, counts := range running {
			for id, count := range counts {
				if other != vm {
					others[id] += count
				}
			}
		}
		vm.balancer.UpdatePeers(others, vm.balancer.vms)
	}
}

// take starts or queues a request, or sheds it.
func (e *standInEndpoint) take(r *overloadRequest, now clock.Millis) {
	switch {
	case len(e.running) < e.slots:
		e.start(r, now)
	case len(e.waiting) < standInQueue:
		e.waiting = append(e.waiting, r)
	default:
		r.kind.refused++
		r.grant.Done(Result{Outcome: Shed, Running: len(e.running), Waiting: len(e.waiting), Slots: e.slots})
	}
}

func (e *standInEndpoint) start(r *overloadRequest, now clock.Millis) {
	work, object := r.kind.work, r.request.Object
	if object != "" && slices.Contains(e.cached, object) {
		work = work * 3 / 10
	} else if object != "" {
		e.cached = append(e.cached, object)
		e.cached = e.cached[max(0, len(e.cached)-standInObjects):]
	}
	r.endAt = now + work
	e.running = append(e.running, r)
}

// step ends the runs that are over and starts waiting ones whose deadline has not passed.
func (e *standInEndpoint) step(now clock.Millis) {
	for i := 0; i < len(e.running); {
		r := e.running[i]
		if r.endAt > now {
			i++
			continue
		}
		e.running = slices.Delete(e.running, i, i+1)
		result := Result{Outcome: Answered, Running: len(e.running), Waiting: len(e.waiting), Slots: e.slots}
		switch took := now - r.arrived; {
		case took > r.kind.route.Timeout:
			result.Outcome = DeadlineExceeded
		case took <= r.kind.route.TargetLatency:
			r.kind.inTarget++
			r.kind.answered++
		default:
			r.kind.answered++
		}
		r.grant.Done(result)
	}
	for len(e.running) < e.slots && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		if now-r.arrived > r.kind.route.Timeout {
			r.grant.Done(Result{Outcome: DeadlineExceeded, Running: -1})
			continue
		}
		e.start(r, now)
	}
}
