// Package placement selects the endpoint for a request and takes one of its
// slots. It does no I/O: its inputs are the configuration documents, the
// membership, the load reports of endpoints and its own counters. Slots and link
// bandwidth are taken from the shares that this VM holds, so no selection can
// overload an endpoint or a link.
//
// A request is placed in this VM's region if possible. If no slot is free there,
// and no peer lends one, the request waits for a short time and then spills: it
// uses a remote region, over the link to it.
//
// An endpoint is cold after its start, after an ejection and after an outage of its
// region: its first responses are slow. Until it has given some responses it is on
// probation, in which it gets only few concurrent requests. An endpoint that fails
// repeatedly is ejected: it gets no requests for some time. A region whose endpoints
// fail repeatedly is down and is treated likewise.
//
// The endpoints of a region form groups to select from: all of them, and during
// a version move those of the new version (the target) and those of the old one
// (the source); see package move.
package placement

import (
	"context"
	"maps"
	"slices"
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
	// minQueueWait is how long a request waits for a slot at least, unless its
	// deadline comes earlier.
	minQueueWait = 250 * clock.Millis(1)
	// queueWaitDivisor sets the wait of a request with a later deadline to this
	// fraction of the remaining time, up to maxQueueWait.
	queueWaitDivisor = 8
	maxQueueWait     = 5 * clock.Second
	// pollInterval is how often waiting requests check for slots that became
	// free without the end of a request, for example because this VM's share
	// grew.
	pollInterval = 5 * clock.Millis(1)
	// refusalRetryAfter is the Retry-After of requests that got no slot.
	refusalRetryAfter = 200 * clock.Millis(1)
)

// Slots provides this VM's shares of the endpoints' slots.
type Slots interface {
	// Free returns the number of free slots in this VM's share.
	Free(resource contract.Resource) int
	// Take takes a slot from this VM's share. It returns false if none is free.
	Take(resource contract.Resource) bool
	// Release returns a slot that was taken or borrowed.
	Release(resource contract.Resource)
	// Borrow borrows a slot on one of the candidates from a peer for one request.
	// It returns false if no peer lends one.
	Borrow(ctx context.Context, candidates []contract.Resource) (contract.Resource, bool)
}

// Links provides this VM's shares of the bandwidth between regions.
type Links interface {
	// Take takes bytes from the share. It returns false if the share has too few.
	Take(resource contract.Resource, bytes int64) bool
}

// Versions selects between the old and the new version during a version move.
type Versions interface {
	Choose(service *document.Service, route *document.Route) move.Choice
	Record(service *document.Service, route *document.Route, choice move.Choice, outcome move.Outcome, micros int64)
}

// Request describes a request to be placed.
type Request struct {
	Service *document.Service
	Route   *document.Route
	// Workspace is empty on public routes.
	Workspace string
	// Remaining is the time until the caller's deadline.
	Remaining clock.Millis
	// Bytes is the size of the request body; -1 if unknown.
	Bytes int64
	// Paced is true if the body takes its link bandwidth chunk by chunk while it is
	// sent. Place then takes the bandwidth for the first chunk only.
	Paced bool
	// ExcludedEndpoints names endpoints that must not be used, for example
	// because earlier attempts used them.
	ExcludedEndpoints []string
}

// Outcome classifies how a placed request ended.
type Outcome string

// The outcomes of a placed request.
const (
	Answered Outcome = "answered"
	Failed   Outcome = "failed"
	// Shed is the outcome if the endpoint refused the request without running it.
	Shed             Outcome = "shed"
	Cancelled        Outcome = "cancelled"
	DeadlineExceeded Outcome = "late"
	// ResponseMismatched is the outcome if the response belongs to another request.
	ResponseMismatched Outcome = "crossed"
	// ResponseTruncated is the outcome if the response is incomplete.
	ResponseTruncated Outcome = "cut"
)

// Result describes the end of a placed request.
type Result struct {
	Outcome Outcome
	// Micros is the time from sending the request to the end of the response, in
	// microseconds.
	Micros int64
	// Running and Slots are the load that the endpoint reported; -1 without a
	// report.
	Running, Slots int
}

// Placer selects endpoints for requests. In its zero value all slots of each
// endpoint belong to this VM and there are neither regions nor version moves. Set
// the exported fields before the first call of Place.
type Placer struct {
	Clock clock.Clock
	// Slots is nil if this VM holds all slots of all endpoints.
	Slots Slots
	// Links is nil if links have no limit.
	Links Links
	// Versions is nil if there are no version moves.
	Versions Versions
	// Region and DataCentre are the location of this VM.
	Region, DataCentre string

	mu sync.Mutex
	// fleet is the document from the last Update. Guarded by mu.
	fleet *document.Fleet
	// leaving holds the endpoints that the platform reports as leaving. Guarded by
	// mu.
	leaving map[string]bool
	// entryVMs is the number of entry VMs. Guarded by mu.
	entryVMs int
	// generation is incremented when fleet or leaving changes. Guarded by mu.
	generation int
	// services holds the state of each service by name. Guarded by mu.
	services map[string]*serviceState
	// randomState is the state of the pseudo-random number generator. Guarded by
	// mu.
	randomState uint64
}

// Update sets the fleet document and the membership; either may be nil. Later calls
// of Place use them, and waiting requests see them at the next attempt.
func (p *Placer) Update(fleet *document.Fleet, view *membership.View) {
	leaving := map[string]bool{}
	entryVMs := 0
	if view != nil {
		entryVMs = len(view.Members)
		for name, state := range view.Endpoints {
			if state == vm.StateLeaving {
				leaving[name] = true
			}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entryVMs = entryVMs
	if fleet == p.fleet && maps.Equal(leaving, p.leaving) {
		return
	}
	p.fleet, p.leaving = fleet, leaving
	p.generation++
}

// Place takes a slot for request. The caller must call Done on the grant. An error
// is a *reason.Refusal that states that the request did not run. For a retry, the
// caller must pass the newest document of the service, as drains may have been
// added since the first attempt.
//
// Place tries in this order: a free slot in the local region, a slot borrowed from
// a peer there, a short wait for either, and then a remote region. Links therefore
// carry no request that a local endpoint can serve soon.
func (p *Placer) Place(ctx context.Context, request Request) (grant *Grant, err error) {
	choice := p.chooseVersion(&request)
	if choice.IsRefused {
		return nil, reason.NotRun(reason.VersionWithdrawn, clock.Second, "the version that the request was meant for is withdrawn")
	}
	grant, refusal := p.tryPlace(&request, choice)
	if grant != nil {
		return grant, nil
	}
	if refusal == reason.DeadlinePassed || refusal == reason.NoEndpoint {
		return nil, p.refuse(&request, choice, refusal)
	}
	if grant = p.borrow(ctx, &request, choice, nil); grant != nil {
		return grant, nil
	}
	grant, refusal = p.waitForSlot(ctx, &request, choice)
	if grant != nil {
		return grant, nil
	}
	return nil, p.refuse(&request, choice, refusal)
}

// chooseVersion returns the versions that may run request.
func (p *Placer) chooseVersion(request *Request) move.Choice {
	if p.Versions == nil {
		return move.Choice{}
	}
	return p.Versions.Choose(request.Service, request.Route)
}

// refuse returns the refusal of a request that got no slot. It records that none
// was sent to the chosen version.
func (p *Placer) refuse(request *Request, choice move.Choice, refusal reason.Reason) error {
	p.recordOutcome(request.Service, request.Route, choice, move.NotSent, 0)
	return reason.NotRun(refusal, refusalRetryAfter, "no slot for %s on %s in time", request.Service.Name, request.Route.Prefix)
}

func (p *Placer) recordOutcome(service *document.Service, route *document.Route, choice move.Choice, outcome move.Outcome, micros int64) {
	if p.Versions != nil && choice.To != "" {
		p.Versions.Record(service, route, choice, outcome, micros)
	}
}

// tryPlace places request if a slot is free now and no other request is waiting.
func (p *Placer) tryPlace(request *Request, choice move.Choice) (*Grant, reason.Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.serviceState(request.Service, choice)
	now := p.Clock.Now()
	state.shift.rollWindow(now)
	state.shift.countArrival()
	if state.isDeadlineUnmeetable(request) {
		return nil, reason.DeadlinePassed
	}
	if len(state.queue.waiters) > 0 {
		return nil, reason.RegionFull
	}
	return p.tryVersions(state, request, choice, now, false)
}

// tryVersions tries the chosen version and then, if the choice allows it, the old
// version. The caller must hold mu.
func (p *Placer) tryVersions(state *serviceState, request *Request, choice move.Choice, now clock.Millis, allowRemote bool) (*Grant, reason.Reason) {
	grant, refusal := p.tryRegions(state, request, choice, now, allowRemote)
	if grant == nil && choice.CanFallBack() {
		return p.tryRegions(state, request, choice.ForOldVersion(), now, allowRemote)
	}
	return grant, refusal
}

// tryRegions looks for a free slot in all regions, the nearest first. It uses
// remote regions only if allowRemote is set, the local region is down, or no
// endpoint of the local region may run the request. The caller must hold mu.
func (p *Placer) tryRegions(state *serviceState, request *Request, choice move.Choice, now clock.Millis, allowRemote bool) (*Grant, reason.Reason) {
	refusal := reason.NoEndpoint
	hasLocal := false
	for i := range state.regions {
		region := &state.regions[i]
		group := region.group(choice)
		if !group.canServe(request) {
			continue
		}
		if region.isRemote && hasLocal && !allowRemote {
			break
		}
		if refusal == reason.NoEndpoint {
			refusal = reason.RegionFull
		}
		if !region.health.isUsable(now) {
			continue
		}
		endpoint, regionRefusal := p.takeInRegion(state, region, group, request, now)
		if endpoint != nil {
			return p.newGrant(state, region, endpoint, request, choice, now), ""
		}
		hasLocal = hasLocal || !region.isRemote
		if regionRefusal == reason.LinkFull {
			refusal = regionRefusal
		}
	}
	return nil, refusal
}

// takeInRegion takes a slot in one region. The caller must hold mu.
func (p *Placer) takeInRegion(state *serviceState, region *region, group *endpointGroup, request *Request, now clock.Millis) (*endpointState, reason.Reason) {
	if !state.shift.canPlace(region.name, state.nearestRegion()) {
		return nil, reason.RegionFull
	}
	best := p.cheapest(group, request, now)
	if best == nil {
		return nil, reason.RegionFull
	}
	if region.isRemote && !p.hasHeadroom(group) {
		return nil, reason.RegionFull
	}
	if !p.takeSlot(best) {
		return nil, reason.RegionFull
	}
	// Take the link bandwidth last, because it cannot be returned if the slot turns out
	// to be taken.
	if region.isRemote && !p.takeLinkBytes(state, region, request, now) {
		p.releaseSlot(best)
		return nil, reason.LinkFull
	}
	return best, ""
}

// newGrant records that a slot on endpoint was taken. The caller must hold mu.
func (p *Placer) newGrant(state *serviceState, region *region, endpoint *endpointState, request *Request, choice move.Choice, now clock.Millis) *Grant {
	state.shift.countPlaced(region.name)
	region.health.running++
	endpoint.running++
	state.addUsage(request.Workspace, now)
	choice = choice.ForVersion(endpoint.config.Version)
	if endpoint.coldRequests < maxColdRequests {
		endpoint.coldRequests++
		choice.ColdEndpoint = endpoint.config.Name
	}
	return &Grant{
		Endpoint:     endpoint.config,
		placer:       p,
		state:        state,
		endpoint:     endpoint,
		regionHealth: region.health,
		service:      request.Service,
		route:        request.Route,
		choice:       choice,
	}
}

func (p *Placer) freeSlots(e *endpointState) int {
	if p.Slots == nil {
		return e.config.Slots - e.running
	}
	return p.Slots.Free(e.resource)
}

func (p *Placer) takeSlot(e *endpointState) bool {
	if p.Slots == nil {
		return e.running < e.config.Slots
	}
	return p.Slots.Take(e.resource)
}

func (p *Placer) releaseSlot(e *endpointState) {
	if p.Slots != nil {
		p.Slots.Release(e.resource)
	}
}

// nextRandom returns a pseudo-random number (xorshift). The caller must hold mu.
func (p *Placer) nextRandom() uint64 {
	if p.randomState == 0 {
		p.randomState = 0x9e3779b97f4a7c15
	}
	p.randomState ^= p.randomState << 13
	p.randomState ^= p.randomState >> 7
	p.randomState ^= p.randomState << 17
	return p.randomState
}

// canServe reports whether any endpoint of the group is open and not excluded by
// the request. If none is, the request must not wait for a slot, as it could not
// use one.
func (g *endpointGroup) canServe(request *Request) bool {
	if g.openCount > len(request.ExcludedEndpoints) {
		return true
	}
	for _, e := range g.endpoints {
		if e.isOpen && !isExcluded(request.ExcludedEndpoints, e) {
			return true
		}
	}
	return false
}

func isExcluded(names []string, e *endpointState) bool {
	return slices.Contains(names, e.config.Name)
}
