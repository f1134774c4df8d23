// Package placement chooses the endpoint that runs a request and takes one of
// its slots. It does no input or output: it sees documents, the membership,
// endpoints' reports and its own counts. Slots and link room are shares that
// the VM holds, so no choice made here can overload an endpoint or a link.
package placement

import (
	"context"
	"maps"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/move"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	// borrowWait bounds the wait for a slot lent by a peer.
	borrowWait = 20 * clock.Millis(1)
	// queueWait is how long a request with a near deadline waits for a slot.
	queueWait = 250 * clock.Millis(1)
	// queueWaitDivisor gives the part of the remaining time that a request with a
	// far deadline waits, up to maxQueueWait.
	queueWaitDivisor = 8
	maxQueueWait     = 5 * clock.Second
	// pollInterval is how often waiting requests look for slots that arrived by
	// other ways than a request's end, such as a larger share.
	pollInterval = 5 * clock.Millis(1)
	// borrowCandidates bounds how many endpoints a peer is asked about.
	borrowCandidates = 16
	retryAfterFull   = 200 * clock.Millis(1)
)

// Slots holds this VM's shares of endpoints' slots.
type Slots interface {
	// Free returns how many slots are free on this VM's share.
	Free(resource contract.Resource) int
	// Take takes a slot of this VM's share.
	Take(resource contract.Resource) bool
	// Release gives back a slot taken or borrowed.
	Release(resource contract.Resource)
	// Borrow takes a peer's slot on one of the candidates for one request.
	Borrow(ctx context.Context, candidates []contract.Resource) (contract.Resource, bool)
}

// Links holds this VM's shares of the links between regions.
type Links interface {
	// Take takes room for bytes.
	Take(resource contract.Resource, bytes int64) bool
}

// Versions chooses between the versions of a move.
type Versions interface {
	Choose(service *document.Service, route *document.Route) move.Choice
	Record(service *document.Service, route *document.Route, choice move.Choice, outcome move.Outcome, micros int64)
}

// Request is what is to be placed.
type Request struct {
	Service *document.Service
	Route   *document.Route
	// Workspace is empty on open routes.
	Workspace string
	// Remaining is the time left to the caller's deadline.
	Remaining clock.Millis
	// Bytes is the size of the request's body; -1 if it is not known.
	Bytes int64
	// Paced says that the body takes its room on a link piece by piece while it is
	// sent, so room is taken here for its first piece only.
	Paced bool
	// Tried names endpoints not to use again.
	ExcludedEndpoints []string
}

// Outcome is how a placed request ended.
type Outcome string

// The outcomes of a placed request.
const (
	Answered         Outcome = "answered"
	Failed           Outcome = "failed"
	Shed             Outcome = "shed"
	Cancelled        Outcome = "cancelled"
	DeadlineExceeded Outcome = "late"
	AnswerMismatched Outcome = "crossed"
	AnswerTruncated  Outcome = "cut"
)

// Result is what is known at a request's end.
type Result struct {
	Outcome Outcome
	// Micros is the time from the send to the answer's end.
	Micros int64
	// Running and Slots are the endpoint's report; -1 without one.
	Running, Slots int
}

// Placer places requests. Its zero value is ready: it then takes each endpoint's
// slots for this VM's own, and knows neither regions nor moves. Set the exported
// fields before the first Place.
type Placer struct {
	Clock clock.Clock
	// Slots is nil for a VM that holds all slots of all endpoints.
	Slots Slots
	// Links is nil for links without a limit.
	Links Links
	// Versions is nil where no version moves.
	Versions Versions
	// Region and DataCentre are this VM's own.
	Region, DataCentre string

	mu sync.Mutex
	// fleet is the newest given to Update. Guarded by mu.
	fleet *document.Fleet
	// leaving names the endpoints that the platform says are leaving. Guarded by mu.
	leaving map[string]bool
	// entries is how many entry VMs there are. Guarded by mu.
	entries int
	// generation grows when fleet or leaving changes. Guarded by mu.
	generation int
	// plans holds the index of each service. Guarded by mu.
	plans map[string]*plan
	// random is the state of a small generator for sampling. Guarded by mu.
	random uint64
}

// Update gives the placer the fleet document and the membership in force, either
// of which may be nil. It holds for every later Place; waiting requests see it at
// once.
func (p *Placer) Update(fleet *document.Fleet, view *membership.View) {
	leaving := map[string]bool{}
	entries := 0
	if view != nil {
		entries = len(view.Members)
		for name, state := range view.Endpoints {
			if state == vm.StateLeaving {
				leaving[name] = true
			}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = entries
	if fleet == p.fleet && maps.Equal(leaving, p.leaving) {
		return
	}
	p.fleet, p.leaving = fleet, leaving
	p.generation++
}

// Place takes a slot for request. The grant must be given back with Done. An
// error is a *reason.Refusal of a request that did not run. A retry passes the
// service's newest document, as drains may have come since the first try.
//
// The order is: a free slot near, a peer's slot near, a short wait for either,
// and only then a far region. A link thus carries nothing that a near endpoint
// can serve soon.
func (p *Placer) Place(ctx context.Context, request Request) (grant *Grant, err error) {
	choice := p.choose(&request)
	if choice.IsRefused {
		return nil, reason.NotRun(reason.VersionWithdrawn, clock.Second, "the version that the request was meant for is withdrawn")
	}
	grant, why := p.try(&request, choice)
	if grant != nil {
		return grant, nil
	}
	if why == reason.DeadlinePassed || why == reason.NoEndpoint {
		return nil, p.refuse(&request, choice, why)
	}
	if grant = p.borrow(ctx, &request, choice, nil); grant != nil {
		return grant, nil
	}
	grant, why = p.wait(ctx, &request, choice)
	if grant != nil {
		return grant, nil
	}
	return nil, p.refuse(&request, choice, why)
}

func (p *Placer) choose(request *Request) move.Choice {
	if p.Versions == nil {
		return move.Choice{}
	}
	return p.Versions.Choose(request.Service, request.Route)
}

func (p *Placer) refuse(request *Request, choice move.Choice, why reason.Reason) error {
	p.record(request.Service, request.Route, choice, move.NotSent, 0)
	return reason.NotRun(why, retryAfterFull, "no slot for %s on %s in time", request.Service.Name, request.Route.Prefix)
}

func (p *Placer) record(service *document.Service, route *document.Route, choice move.Choice, outcome move.Outcome, micros int64) {
	if p.Versions != nil && choice.To != "" {
		p.Versions.Record(service, route, choice, outcome, micros)
	}
}

// try places request if a slot is free now and nobody waits for one.
func (p *Placer) try(request *Request, choice move.Choice) (*Grant, reason.Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	plan := p.plan(request.Service, choice)
	now := p.Clock.Now()
	plan.shift.tick(now)
	plan.shift.arrive()
	if plan.hopeless(request) {
		return nil, reason.DeadlinePassed
	}
	if len(plan.queue.waiters) > 0 {
		return nil, reason.RegionFull
	}
	return p.tryVersions(plan, request, choice, now, false)
}

// tryVersions tries the chosen version and then, where the choice leaves it
// open, the old one. Callers hold mu.
func (p *Placer) tryVersions(plan *plan, request *Request, choice move.Choice, now clock.Millis, spill bool) (*Grant, reason.Reason) {
	grant, why := p.tryRegions(plan, request, choice, now, spill)
	if grant == nil && choice.CanFallBack() {
		return p.tryRegions(plan, request, choice.ForOldVersion(), now, spill)
	}
	return grant, why
}

// tryRegions looks through the regions, the nearest first, for a free slot. It
// goes to far regions only when spill is set or no near one serves at all.
// Callers hold mu.
func (p *Placer) tryRegions(plan *plan, request *Request, choice move.Choice, now clock.Millis, spill bool) (*Grant, reason.Reason) {
	why := reason.NoEndpoint
	nearServes := false
	for i := range plan.regions {
		region := &plan.regions[i]
		members := region.members(choice)
		if !members.canServe(request) {
			continue
		}
		if region.far && nearServes && !spill {
			break
		}
		if why == reason.NoEndpoint {
			why = reason.RegionFull
		}
		if !region.health.usable(now) {
			continue
		}
		node, refusal := p.pick(plan, region, members, request, now)
		if node != nil {
			return p.grant(plan, region, node, request, choice, now), ""
		}
		nearServes = nearServes || !region.far
		if refusal == reason.LinkFull {
			why = refusal
		}
	}
	return nil, why
}

// pick takes a slot in one region. Callers hold mu.
func (p *Placer) pick(plan *plan, region *region, members *members, request *Request, now clock.Millis) (*node, reason.Reason) {
	if !plan.shift.allows(region.name, plan.home()) {
		return nil, reason.RegionFull
	}
	best := p.best(members, request, now)
	if best == nil {
		return nil, reason.RegionFull
	}
	if region.far && !p.hasHeadroom(members) {
		return nil, reason.RegionFull
	}
	if !p.take(best) {
		return nil, reason.RegionFull
	}
	// The room comes last: it can't be given back, a slot can.
	if region.far && !p.takeRoom(plan, region, request, now) {
		p.giveBack(best)
		return nil, reason.LinkFull
	}
	return best, ""
}

// grant records that a slot on node is taken. Callers hold mu.
func (p *Placer) grant(plan *plan, region *region, node *node, request *Request, choice move.Choice, now clock.Millis) *Grant {
	plan.shift.use(region.name)
	region.health.running++
	node.running++
	plan.served(request.Workspace, now)
	choice = choice.ForVersion(node.endpoint.Version)
	if node.sent < coldRuns {
		node.sent++
		choice.ColdEndpoint = node.endpoint.Name
	}
	return &Grant{
		Endpoint: node.endpoint,
		placer:   p,
		plan:     plan,
		node:     node,
		health:   region.health,
		service:  request.Service,
		route:    request.Route,
		choice:   choice,
	}
}

func (p *Placer) free(n *node) int {
	if p.Slots == nil {
		return n.endpoint.Slots - n.running
	}
	return p.Slots.Free(n.resource)
}

func (p *Placer) take(n *node) bool {
	if p.Slots == nil {
		return n.running < n.endpoint.Slots
	}
	return p.Slots.Take(n.resource)
}

func (p *Placer) giveBack(n *node) {
	if p.Slots != nil {
		p.Slots.Release(n.resource)
	}
}

// borrow asks peers for a slot in the near region, for the waiter that is next in
// the queue, or for a request without one if nobody waits.
func (p *Placer) borrow(ctx context.Context, request *Request, choice move.Choice, w *waiter) *Grant {
	if p.Slots == nil {
		return nil
	}
	candidates := p.borrowable(request, choice, w)
	if len(candidates) == 0 {
		return nil
	}
	wait := min(borrowWait, request.Remaining)
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	resource, lent := p.Slots.Borrow(ctx, candidates)
	if !lent {
		return nil
	}
	return p.accept(request, choice, resource)
}

// accept turns a borrowed slot into a grant, if it may still be used.
func (p *Placer) accept(request *Request, choice move.Choice, resource contract.Resource) *Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	plan := p.plan(request.Service, choice)
	node := plan.byResource[resource]
	if node == nil || !node.open || !plan.shift.allows(node.endpoint.Region, plan.home()) {
		p.Slots.Release(resource)
		return nil
	}
	return p.grant(plan, plan.region(node.endpoint.Region), node, request, choice, p.Clock.Now())
}

func (p *Placer) borrowable(request *Request, choice move.Choice, w *waiter) (candidates []contract.Resource) {
	p.mu.Lock()
	defer p.mu.Unlock()
	plan := p.plan(request.Service, choice)
	now := p.Clock.Now()
	if next := plan.first(now); next >= 0 && plan.queue.waiters[next] != w {
		return nil
	}
	for i := range plan.regions {
		region := &plan.regions[i]
		members := region.members(choice)
		if region.far || !members.canServe(request) || !region.health.usable(now) {
			continue
		}
		start := int(p.next() % uint64(len(members.nodes)))
		for j := range members.nodes {
			node := members.nodes[(start+j)%len(members.nodes)]
			if len(candidates) < borrowCandidates && node.usable(now) && !tried(request.ExcludedEndpoints, node) {
				candidates = append(candidates, node.resource)
			}
		}
	}
	return candidates
}

// next returns a pseudo-random number (xorshift). Callers hold mu.
func (p *Placer) next() uint64 {
	if p.random == 0 {
		p.random = 0x9e3779b97f4a7c15
	}
	p.random ^= p.random << 13
	p.random ^= p.random >> 7
	p.random ^= p.random << 17
	return p.random
}

// canServe says whether any of the members may ever run the request: open, and
// not tried before. Without one there is nothing to wait for.
func (m *members) canServe(request *Request) bool {
	if m.opened > len(request.ExcludedEndpoints) {
		return true
	}
	for _, n := range m.nodes {
		if n.open && !tried(request.ExcludedEndpoints, n) {
			return true
		}
	}
	return false
}

func tried(names []string, n *node) bool {
	for _, name := range names {
		if name == n.endpoint.Name {
			return true
		}
	}
	return false
}
