package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/routing"
)

// standInQueue is how many requests wait at an endpoint of the overload before it sheds.
const standInQueue = 9

// overload plays requests through Balancers that share endpoints. The endpoints are first come,
// first served, and work on a cached object takes 0.3 of its time.
type overload struct {
	manual    *clock.Manual
	random    *rand.Rand
	vms       []*Balancer
	endpoints map[string]*standInEndpoint
	ids       []string
	kinds     []*overloadKind
	// cached holds what the endpoints have cached, by the names of endpoint and object.
	cached map[string]bool
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

func newOverload(seed uint64, vms, endpoints int, kinds ...*overloadKind) *overload {
	o := &overload{manual: &clock.Manual{}, random: rand.New(rand.NewPCG(seed, 3)), kinds: kinds, endpoints: map[string]*standInEndpoint{}, cached: map[string]bool{}}
	o.paceOf = func(string, clock.Millis) (int, int) { return UsualPace, 0 }
	o.manual.Advance(clock.Minute)
	for _, self := range testVMs(vms) {
		f := newFleet(endpoints)
		f.balancer.Clock, f.balancer.VM, f.balancer.Region, f.balancer.DataCentre = o.manual.Clock(), self.Name, self.Region, self.Region+"1"
		o.vms, o.ids = append(o.vms, f.balancer), nil
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
	for end := o.now() + length; o.now() < end; o.manual.Advance(10) {
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
			for mean := kind.rate(o.now()) / 100; mean > 0; mean-- {
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
			for id, count := range other.Running() {
				others[id] += count
			}
		}
		for id, count := range vm.Running() {
			others[id] -= count
		}
		vm.UpdatePeers(others, testVMs(len(o.vms)))
	}
}

func (o *overload) result(id string, outcome Outcome) Result {
	_, stated := o.paceOf(id, o.now())
	return Result{Outcome: outcome, Running: len(o.endpoints[id].running), Waiting: len(o.endpoints[id].waiting), Slots: testSlots, Pace: stated}
}

// step ends the runs of an endpoint that are over and starts the next ones.
func (o *overload) step(id string) {
	e, now := o.endpoints[id], o.now()
	running := e.running
	e.running = nil
	for _, r := range running {
		took, result := now-r.arrived, o.result(id, Answered)
		switch {
		case r.endAt > now:
			e.running = append(e.running, r)
			continue
		case took > r.kind.route.Timeout:
			result.Outcome = DeadlineExceeded
		case took <= r.kind.route.TargetLatency:
			r.kind.inTarget++
			r.kind.answered++
		default:
			r.kind.answered++
		}
		result.Running = len(running) - 1
		r.grant.Done(result)
	}
	for ; len(e.running) < testSlots && len(e.waiting) > 0; e.waiting = e.waiting[1:] {
		r := e.waiting[0]
		actual, _ := o.paceOf(id, now)
		work, object := r.kind.work*clock.Millis(actual)/UsualPace, id+r.request.Object
		if o.cached[object] {
			work = work * 3 / 10
		}
		o.cached[object] = r.request.Object != ""
		r.endAt = now + work
		e.running = append(e.running, r)
	}
}
