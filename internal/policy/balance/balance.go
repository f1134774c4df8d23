// Package balance chooses the endpoint that runs a request: the one with the lowest
// cost, which is the expected response time plus the load and traffic that the choice
// causes for other requests. An endpoint runs one request in each of its slots; further
// requests wait in its queue. A service is saturated if most of its slots are in use.
//
// An endpoint that has recently served an object is warm for it: it has the object
// cached and answers faster. Requests for one object are therefore sent to one
// endpoint, the object's home, which every VM computes by the same weighted rendezvous
// hash of object and endpoint, without exchanging messages.
//
// Independently of objects, an endpoint that started recently is cold until its
// ColdUntil, and all VMs together may send it only a limited rate of requests. An
// endpoint that fails, sheds a request or does not answer is suspended for a short
// time, in which it gets requests only if no other endpoint may run them.
//
// A region-bound request may run only in the home regions of its route or workspace.
// Other requests avoid a region whose capacity is needed for region-bound ones. During
// a move to a new version of a service, the caller of Place states which of the versions
// may run the request; see package canary.
//
// All costs are in milliseconds. The package does no I/O.
package balance

import (
	"math/rand/v2"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/hashing"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/canary"
	"baobabladder.example/baobabladder/internal/world/directory"
	"baobabladder.example/baobabladder/internal/world/routing"
)

// refusalRetryAfter is the Retry-After of refusals.
const refusalRetryAfter = 250 * clock.Millis(1)

// Request is a request for which an endpoint is to be chosen.
type Request struct {
	Route     *routing.Route
	Workspace *routing.Workspace
	Service   *routing.Service
	// Object identifies the object that the request is about; empty if unknown.
	Object string
	// Kilobytes is the size of the request's body.
	Kilobytes float64
	// Remaining is the time left until the deadline.
	Remaining clock.Millis
	// Versions restricts which versions may run the request.
	Versions canary.Choice
	// ExcludedEndpoints holds the IDs of endpoints that must not be chosen, because
	// earlier attempts were sent to them.
	ExcludedEndpoints []string
	// IsRepeated reports that Place has refused the request before, so that it is no new
	// arrival. Place sets it; a caller that passes a copy must keep it.
	IsRepeated bool
}

// ColdLimit bounds the requests per second that all VMs together send to a cold
// endpoint: rate*Overage + Slack, where rate is the service's ColdRate.
type ColdLimit struct {
	Overage float64
	Slack   float64
}

// VM is one of the VMs that send requests to endpoints.
type VM struct {
	Name, Region string
	// Unavailable reports that the VM is lost, stopping or not ready yet.
	Unavailable bool
}

// Balancer chooses endpoints for requests. VM, Region, DataCentre and ColdLimit must be
// set.
type Balancer struct {
	Clock clock.Clock
	// VM is this VM's name; Region and DataCentre are its location.
	VM, Region, DataCentre string
	ColdLimit              ColdLimit
	// OnRoom, if not nil, is called when requests for the service may find room that was
	// not there before: one has ended, or the load or the directory was updated. It is
	// called without the lock and may call the Balancer.
	OnRoom func(service string)
	// OnReserved, if not nil, is called once for each request that Place has refused while
	// an endpoint had only room that is reserved for higher priorities. It is called
	// without the lock.
	OnReserved func(service string)

	mu sync.Mutex
	// directory is the last argument of UpdateDirectory, or nil. Guarded by mu.
	directory *directory.Directory
	// states holds the state of each endpoint of the directory, by ID. Guarded by mu.
	states map[string]*endpointState
	// statements holds what endpoints said of themselves, by ID. Guarded by mu.
	statements map[string]*statement
	// vms holds all VMs, including this one; vmsByRegion counts them by region.
	// availableVMs holds this VM and the others that are available. Guarded by mu.
	availableVMs []rankedVM
	// limitDemands is the last argument of UpdateLimitDemands. sharesVersion rises with
	// each change that the shares of limits depend on. Guarded by mu.
	vms           []VM
	limitDemands  map[string]map[string]float64
	sharesVersion int64
	vmsByRegion   map[string]float64
	// slotsByRegion counts the slots of each service in each region, slotsByService in
	// all regions together. Guarded by mu.
	slotsByRegion  map[serviceRegion]float64
	slotsByService map[string]float64
	// reservations holds the load of region-bound requests. Guarded by mu.
	reservations map[serviceRegion]*reservation
	// affinities maps an object to the endpoint that last served it. Guarded by mu.
	affinities map[string]affinity
	// runTimes holds the average run times. Guarded by mu.
	runTimes map[runTimeKey]*runTime
	// demands holds the demand of this VM's requests, by service. Guarded by mu.
	demands map[string]*serviceDemand
}

// UpdateDirectory replaces the directory of endpoints. An endpoint with a new address
// or start time begins with a fresh state. An endpoint whose address was found to
// belong to another is eligible again once its entry has changed.
func (b *Balancer) UpdateDirectory(newest *directory.Directory) {
	b.updateDirectory(newest)
	b.notifyRoom(newest)
}

func (b *Balancer) updateDirectory(newest *directory.Directory) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	b.directory = newest
	b.countSlots()
	states := map[string]*endpointState{}
	for _, endpoints := range newest.Services {
		ofService := make([]*endpointState, 0, len(endpoints))
		for _, e := range endpoints {
			state := b.states[e.ID]
			if state == nil || state.endpoint.Started != e.Started || state.endpoint.Address != e.Address {
				state = &endpointState{reportedLoad: -1, hash: hashing.Strings(e.ID), slowdown: 1}
			}
			state.said = b.statementOf(&e, now)
			if state.isAddressReused && state.endpoint.Revision != e.Revision {
				state.isAddressReused = false
			}
			state.endpoint = e
			states[e.ID] = state
			ofService = append(ofService, state)
		}
		rankForReserve(ofService)
	}
	b.states = states
	b.forgetStatements(now)
}

// UpdatePeers sets the number of requests that the other VMs have in flight on each
// endpoint, by endpoint ID, and the list of all VMs.
func (b *Balancer) UpdatePeers(running map[string]int, vms []VM) {
	b.notifyRoom(b.updatePeers(running, vms))
}

// updatePeers makes the changes of UpdatePeers and returns the directory.
func (b *Balancer) updatePeers(running map[string]int, vms []VM) *directory.Directory {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setVMs(vms)
	now := b.Clock.Now()
	for id, state := range b.states {
		state.othersInFlight, state.othersUpdatedAt = running[id], now
	}
	return b.directory
}

// Running returns the number of requests that this VM has in flight on each endpoint,
// by endpoint ID, without endpoints that have none.
func (b *Balancer) Running() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	running := map[string]int{}
	for id, state := range b.states {
		if len(state.inFlightSince) > 0 {
			running[id] = len(state.inFlightSince)
		}
	}
	return running
}

// Addresses returns the addresses of up to count endpoints that are not leaving, chosen at
// random.
func (b *Balancer) Addresses(count int) (addresses []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, state := range b.states {
		if !state.isLeaving() && !state.isAddressReused {
			addresses = append(addresses, state.endpoint.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(count, len(addresses))]
}

// Place chooses an endpoint for the request. The error is a *reason.Refusal that states
// that the request has not run; see also LacksCapacity.
func (b *Balancer) Place(request *Request) (*Grant, error) {
	wasRepeated := request.IsRepeated
	grant, rejected, err := b.place(request)
	if rejected.reserved > 0 && !wasRepeated && b.OnReserved != nil {
		b.OnReserved(request.Service.Name)
	}
	return grant, err
}

// place makes the choice of Place. rejected counts the endpoints that could not be chosen for
// a request that is refused.
func (b *Balancer) place(request *Request) (grant *Grant, rejected rejections, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	if b.directory == nil {
		return nil, rejected, reason.NotRun(reason.NotReady, refusalRetryAfter, "no endpoint is known yet")
	}
	if request.Remaining <= 0 {
		return nil, rejected, reason.NotRun(reason.DeadlinePassed, 0, "the deadline passed before an endpoint was chosen")
	}
	b.recordArrival(request, now)
	selected := b.selectEndpoint(request, now, false)
	if selected.isEmpty() && !selected.rejected.lacksCapacity() {
		selected = b.selectEndpoint(request, now, true)
	}
	if selected.isEmpty() && request.Versions.Pack {
		// No endpoint of the new version can run the request now, so the old version
		// runs it.
		request.Versions = canary.Choice{Not: request.Versions.Only}
		selected = b.selectEndpoint(request, now, false)
	}
	if selected.preferred != nil && selected.preferred != selected.best.state {
		selected.preferred.said.limit.addDemand(now)
	}
	if selected.isEmpty() {
		rejected = selected.rejected
		q := b.newQuery(request, now)
		load, slots := b.capacity(&q, b.directory.Services[request.Service.Name])
		refusal := reason.NotRun(rejected.reason(), rejected.retryAfter(), "no endpoint of %s can run the request in time: %.0f requests on %.0f slots; %s",
			request.Service.Name, load, slots, rejected)
		refusal.LacksCapacity = rejected.lacksCapacity()
		request.IsRepeated = true
		return nil, rejected, refusal
	}
	return b.grant(request, selected.best, now), rejected, nil
}
