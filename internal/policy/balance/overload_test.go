package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/routing"
)

const (
	overloadStep = 10 * clock.Millis(1)
	// standInQueue is how many requests wait at an endpoint of the overload before it sheds,
	// standInObjects how many objects an endpoint keeps cached on average.
	standInQueue   = 9
	standInObjects = 40
)

// overload plays requests through Balancers that share endpoints. The endpoints are first come,
// first served, and work on a cached object takes 0.3 of its time.
type overload struct {
	manual    *clock.Manual
	random    *rand.Rand
	vms       []*Balancer
	members   []VM
	endpoints map[string]*standInEndpoint
	ids       []string
	kinds     []*overloadKind
	// cached holds what the endpoints have cached: the names of endpoint and object.
	cached []string
	// waiting holds requests that found no room and are tried again.
	waiting []*overloadRequest
	// paceOf returns how long work takes on an endpoint and what the endpoint states of it.
	paceOf func(id string, now clock.Millis) (actual, stated int)
}

// overloadKind is one kind of request. It counts those that arrived since the last reset, those
// of them that were answered, and within the target.
type overloadKind struct {
	route                       *routing.Route
	object                      string
	work                        clock.Millis
	rate                        func(now clock.Millis) float64
	arrived, answered, inTarget float64
	sent                        map[string]int
}

func (k *overloadKind) reset() {
	k.arrived, k.answered, k.inTarget, k.sent = 0, 0, 0, map[string]int{}
}

type overloadRequest struct {
	kind           *overloadKind
	vm             *Balancer
	arrived, endAt clock.Millis
	request        *Request
	grant          *Grant
}

type standInEndpoint struct{ running, waiting []*overloadRequest }

// newOverload returns an overload with the given numbers of VMs and endpoints, half of them in
// each of two regions.
func newOverload(seed uint64, vms, endpoints int, kinds ...*overloadKind) *overload {
	o := &overload{manual: &clock.Manual{}, random: rand.New(rand.NewPCG(seed, 3)), endpoints: map[string]*standInEndpoint{}, kinds: kinds}
	o.paceOf = func(string, clock.Millis) (int, int) { return UsualPace, 0 }
	o.manual.Advance(clock.Minute)
	for i := range vms {
		o.members = append(o.members, VM{Name: fmt.Sprint("vm-", i), Region: "ab"[i%2 : i%2+1]})
	}
	for _, self := range o.members {
		f := newFleet(endpoints)
		f.balancer.Clock, f.balancer.VM, f.balancer.Region, f.balancer.DataCentre = o.manual.Clock(), self.Name, self.Region, self.Region+"1"
		o.vms = append(o.vms, f.balancer)
		o.ids = nil
		for _, e := range f.endpoints {
			o.ids, o.endpoints[e.ID] = append(o.ids, e.ID), &standInEndpoint{}
		}
	}
	o.exchange()
	return o
}

// measure plays the given time and counts only what arrives in it.
func (o *overload) measure(length clock.Millis) {
	for _, kind := range o.kinds {
		kind.reset()
	}
	for end := o.now() + length; o.now() < end; o.manual.Advance(overloadStep) {
		for _, id := range o.ids {
			o.step(id)
		}
		if o.now()%900 == 0 {
			o.exchange()
		}
		if o.now()%50 == 0 {
			// Requests that wait are tried again, those of the highest priority first.
			waiting := o.waiting
			o.waiting = nil
			slices.SortStableFunc(waiting, func(x, y *overloadRequest) int { return x.kind.route.Priority - y.kind.route.Priority })
			for _, r := range waiting {
				o.place(r)
			}
		}
		for _, kind := range o.kinds {
			for mean := kind.rate(o.now()) * float64(overloadStep) / float64(clock.Second); mean > 0; mean-- {
				if o.random.Float64() < mean {
					o.arrive(kind)
				}
			}
		}
	}
}

func (o *overload) now() clock.Millis { return o.manual.Clock().Now() }

func (o *overload) arrive(kind *overloadKind) {
	kind.arrived++
	r := &overloadRequest{kind: kind, vm: o.vms[o.random.IntN(len(o.vms))], arrived: o.now(), request: requestOn(kind.route, "")}
	if kind.object != "" {
		r.request.Object = fmt.Sprint(kind.object, o.random.IntN(60))
	}
	o.place(r)
}

// place sends the request, lets it wait, or gives it up. An endpoint whose queue is full sheds
// it.
func (o *overload) place(r *overloadRequest) {
	r.request.Remaining = r.kind.route.Timeout - (o.now() - r.arrived)
	grant, err := r.vm.Place(r.request)
	if err != nil {
		if LacksCapacity(err) && r.vm.QueuesAllowed(testService.Name) && r.vm.ExpectedRun(r.request) < r.request.Remaining {
			o.waiting = append(o.waiting, r)
		}
		return
	}
	r.grant = grant
	r.kind.sent[grant.Endpoint.ID]++
	e := o.endpoints[grant.Endpoint.ID]
	if len(e.waiting) == standInQueue {
		grant.Done(o.result(grant.Endpoint.ID, Shed))
		return
	}
	e.waiting = append(e.waiting, r)
	o.step(grant.Endpoint.ID)
}

// exchange tells each VM what the others have in flight.
func (o *overload) exchange() {
	for _, vm := range o.vms {
		others := map[string]int{}
		for _, other := range o.vms {
			if other != vm {
				for id, count := range other.Running() {
					others[id] += count
				}
			}
		}
		vm.UpdatePeers(others, o.members)
	}
}

func (o *overload) result(id string, outcome Outcome) Result {
	_, stated := o.paceOf(id, o.now())
	return Result{Outcome: outcome, Running: len(o.endpoints[id].running), Waiting: len(o.endpoints[id].waiting), Slots: testSlots, Pace: stated}
}

// step ends the runs of an endpoint that are over and starts the next ones.
func (o *overload) step(id string) {
	e, now := o.endpoints[id], o.now()
	var ended []*overloadRequest
	e.running = slices.DeleteFunc(e.running, func(r *overloadRequest) bool {
		if r.endAt <= now {
			ended = append(ended, r)
		}
		return r.endAt <= now
	})
	for _, r := range ended {
		took, outcome := now-r.arrived, Answered
		switch {
		case took > r.kind.route.Timeout:
			outcome = DeadlineExceeded
		case took <= r.kind.route.TargetLatency:
			r.kind.inTarget++
			r.kind.answered++
		default:
			r.kind.answered++
		}
		r.grant.Done(o.result(id, outcome))
	}
	for len(e.running) < testSlots && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		actual, _ := o.paceOf(id, now)
		r.endAt = now + r.kind.work*clock.Millis(actual)/UsualPace
		if key := id + r.request.Object; r.request.Object != "" && slices.Contains(o.cached, key) {
			r.endAt = now + (r.endAt-now)*3/10
		} else if r.request.Object != "" {
			o.cached = append(o.cached, key)
			o.cached = o.cached[max(0, len(o.cached)-standInObjects*len(o.ids)):]
		}
		e.running = append(e.running, r)
	}
}
