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
	"fmt"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/hashing"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/canary"
	"baobabladder.example/baobabladder/internal/world/directory"
	"baobabladder.example/baobabladder/internal/world/routing"
)

const (
	// occupancyCost is the cost to other requests of each millisecond that a request
	// occupies an endpoint's slot, in milliseconds.
	occupancyCost = 5
	// interRegionMillis and interDataCentreMillis estimate the round trip to another
	// region and to another data centre of the same region. interRegionKilobyteCost and
	// interDataCentreKilobyteCost are the cost of each transferred kilobyte, in
	// milliseconds.
	interRegionMillis           = 60
	interDataCentreMillis       = 3
	interRegionKilobyteCost     = 9
	interDataCentreKilobyteCost = 3
	// expectedResponseKilobytes is the assumed size of a response.
	expectedResponseKilobytes = 2
	// affinityTTL is how long after a request for an object its endpoint counts as
	// warm.
	affinityTTL = 30 * clock.Second
	// maxAffinities bounds the number of stored affinities; all are dropped beyond it.
	maxAffinities = 20_000
	// relocationAnnounceTime is how long a relocation is announced to peers.
	// maxAnnouncedRelocations bounds the relocations in one announcement.
	relocationAnnounceTime  = 2 * clock.Second
	maxAnnouncedRelocations = 64
	// maxQueueLength is how many requests may wait at an endpoint when all its slots
	// are in use.
	maxQueueLength = 12
	// saturationThreshold is the fraction of a service's slots in use above which a
	// request is sent only to the home of its object or to an endpoint that is warm for
	// the object.
	saturationThreshold = 0.6
	// deadlineMissCost is the cost of an endpoint that is expected to answer after the
	// deadline, in multiples of the route's target latency. Such a run is wasted and
	// occupies a slot.
	deadlineMissCost = 10
	// failureCost is the cost of a failure rate of 1, in multiples of the route's
	// target latency.
	failureCost = 2.5
	// refusalRetryAfter is the Retry-After of refusals.
	refusalRetryAfter = 250 * clock.Millis(1)
	// coldRequestInterval is the shortest time between two requests of one VM to a cold
	// endpoint. It is a little more than the second in which the limit counts requests.
	coldRequestInterval = 1080 * clock.Millis(1)
	// coldRateMargin is subtracted from a cold endpoint's limit to leave room for VMs
	// that this VM does not know yet.
	coldRateMargin = 0.75
)

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
}

// Balancer chooses endpoints for requests. VM, Region, DataCentre and ColdLimit must be
// set.
type Balancer struct {
	Clock clock.Clock
	// VM is this VM's name; Region and DataCentre are its location.
	VM, Region, DataCentre string
	ColdLimit              ColdLimit

	mu sync.Mutex
	// directory is the last argument of UpdateDirectory, or nil. Guarded by mu.
	directory *directory.Directory
	// states holds the state of each endpoint of the directory, by ID. Guarded by mu.
	states map[string]*endpointState
	// vms holds all VMs, including this one; vmsByRegion counts them by region. Guarded
	// by mu.
	vms         []VM
	vmsByRegion map[string]float64
	// slotsByRegion counts the slots of each service in each region, slotsByService in
	// all regions together. Guarded by mu.
	slotsByRegion  map[serviceRegion]float64
	slotsByService map[string]float64
	// reservations holds the load of region-bound requests. Guarded by mu.
	reservations map[serviceRegion]*reservation
	// affinities maps an object to the endpoint that last served it. Guarded by mu.
	affinities map[string]affinity
	// runTimes holds the average run times, by service and kind of work. Guarded by mu.
	runTimes map[string]*runTime
}

// runTime holds the average time for which a request occupies an endpoint, in
// milliseconds: cached if the endpoint is warm for the object, uncached if not.
type runTime struct {
	uncached, cached float64
}

// Grant is the endpoint chosen for one request. Done must be called when the request
// has ended.
type Grant struct {
	Endpoint directory.Endpoint
	// IsCold reports whether the endpoint was cold when it was chosen.
	IsCold bool

	balancer *Balancer
	state    *endpointState
	request  *Request
	sentAt   clock.Millis
	// expected is the expected response time in milliseconds, including the round trip
	// and the time in the endpoint's queue.
	expected float64
	// typical is the expected response time in milliseconds of an endpoint that is not
	// warm for the object, including the round trip and the time in the queue.
	typical float64
	// hadFreeSlot reports whether the request was expected to start without queueing,
	// isWarm whether the endpoint was warm for the object.
	hadFreeSlot, isWarm bool
	isDone              bool
	// Basis is the information on which the choice was made.
	Basis Basis
}

// Basis is the information on which a choice was made, for the log.
type Basis struct {
	Endpoint, DataCentre, Version string
	// Revision is the store revision at which the endpoint's directory entry last
	// changed.
	Revision int64
	// Why is "home" if the endpoint is the object's home, else "warm" if it recently
	// served the object. It is "room" if neither holds, so that only the other costs
	// counted.
	Why string
	// Load is the estimated number of requests on the endpoint, running or queued, when
	// it had Slots slots. LoadAge is the age of the information that Load is based on.
	Load    int
	LoadAge clock.Millis
	Slots   int
	// Expected is the expected response time in milliseconds.
	Expected float64
	IsCold   bool
}

// Outcome is the way in which a request to an endpoint ended.
type Outcome string

// Outcomes of requests.
const (
	Answered Outcome = "answered"
	Failed   Outcome = "failed"
	// Shed requests were refused by the endpoint, which did not run them.
	Shed Outcome = "shed"
	// Moved is the outcome if the address now belongs to another endpoint.
	Moved Outcome = "moved"
	// Unreachable is the outcome if no connection to the endpoint could be made.
	Unreachable      Outcome = "unreachable"
	DeadlineExceeded Outcome = "late"
	Cancelled        Outcome = "cancelled"
)

// Result describes how a request to an endpoint ended.
type Result struct {
	Outcome Outcome
	// Running and Waiting are the numbers of requests that the endpoint reported with
	// its response; Running is -1 if it reported none.
	Running, Waiting int
}

// UpdateDirectory replaces the directory of endpoints. An endpoint with a new address
// or start time begins with a fresh state. An endpoint whose address was found to
// belong to another is eligible again once its entry has changed.
func (b *Balancer) UpdateDirectory(newest *directory.Directory) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.directory = newest
	b.countSlots()
	states := map[string]*endpointState{}
	for _, endpoints := range newest.Services {
		for _, e := range endpoints {
			state := b.states[e.ID]
			if state == nil || state.endpoint.Started != e.Started || state.endpoint.Address != e.Address {
				state = &endpointState{reportedLoad: -1, hash: hashing.Strings(e.ID), slowdown: 1}
			}
			if state.isAddressReused && state.endpoint.Revision != e.Revision {
				state.isAddressReused = false
			}
			state.endpoint = e
			states[e.ID] = state
		}
	}
	b.states = states
}

// UpdatePeers sets the number of requests that the other VMs have in flight on each
// endpoint, by endpoint ID, and the list of all VMs.
func (b *Balancer) UpdatePeers(running map[string]int, vms []VM) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = vms
	b.vmsByRegion = map[string]float64{}
	for _, vm := range vms {
		b.vmsByRegion[vm.Region]++
	}
	now := b.Clock.Now()
	for id, state := range b.states {
		state.othersInFlight, state.othersUpdatedAt = running[id], now
	}
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

// Place chooses an endpoint for the request. The error is a *reason.Refusal that states
// that the request has not run.
func (b *Balancer) Place(request *Request) (*Grant, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	if b.directory == nil {
		return nil, reason.NotRun(reason.NotReady, refusalRetryAfter, "no endpoint is known yet")
	}
	if request.Remaining <= 0 {
		return nil, reason.NotRun(reason.DeadlinePassed, 0, "the deadline passed before an endpoint was chosen")
	}
	if request.isRegionBound() {
		b.reserve(request, now)
	}
	chosen, rejected := b.cheapest(request, now, false)
	if chosen.state == nil && rejected.reason() == reason.NoEndpoint {
		chosen, rejected = b.cheapest(request, now, true)
	}
	if chosen.state == nil && request.Versions.Pack {
		// No endpoint of the new version can run the request now, so the old version
		// runs it.
		request.Versions = canary.Choice{Not: request.Versions.Only}
		chosen, rejected = b.cheapest(request, now, false)
	}
	if chosen.state == nil {
		load, slots := b.capacity(b.directory.Services[request.Service.Name], now)
		return nil, reason.NotRun(rejected.reason(), refusalRetryAfter, "no endpoint of %s can run the request in time: %.0f requests on %.0f slots; %s",
			request.Service.Name, load, slots, rejected)
	}
	return b.grant(request, chosen, now), nil
}

// candidate is an endpoint with its estimated cost for a request. Times and cost are in
// milliseconds.
type candidate struct {
	state    *endpointState
	cost     float64
	expected float64
	typical  float64
	wait     float64
	isWarm   bool
	isHome   bool
}

// cheapest returns the candidate with the lowest cost, and the number of endpoints
// rejected for each cause. It considers suspended endpoints only if includeSuspended is
// set. The caller must hold mu.
func (b *Balancer) cheapest(request *Request, now clock.Millis, includeSuspended bool) (best candidate, rejected rejections) {
	endpoints := b.directory.Services[request.Service.Name]
	home := b.home(request, endpoints, now)
	isSaturated := home != nil && b.isSaturated(endpoints, now)
	for i := range endpoints {
		state := b.states[endpoints[i].ID]
		switch {
		case state == nil || !b.isEligible(request, state):
			rejected.ineligible++
			continue
		case !includeSuspended && state.isSuspended(now):
			rejected.suspended++
			continue
		case state.endpoint.ColdUntil > now && (now < state.nextColdRequestAt || !b.isColdSender(request.Service, state)):
			rejected.cold++
			continue
		}
		c := b.estimate(request, state, state == home, now)
		switch {
		case int(state.load(now)) >= state.endpoint.Slots+maxQueueLength:
			rejected.full++
			continue
		case isSaturated && !c.isWarm && !c.isHome:
			rejected.notWarm++
			continue
		case isSaturated && c.expected > float64(request.Remaining):
			rejected.slow++
			continue
		}
		if c.expected > float64(request.Remaining) {
			c.cost += deadlineMissCost * float64(request.Route.TargetLatency)
		}
		if request.Versions.Pack {
			c.cost += b.packCost(request, state, endpoints, now)
		}
		if best.state == nil || c.cost < best.cost {
			best = c
		}
	}
	return best, rejected
}

// rejections counts the endpoints that cannot be chosen for a request, by cause.
type rejections struct {
	// ineligible endpoints must not run the request at all; see isEligible.
	ineligible, suspended, cold, full int
	// While the service is saturated, endpoints are also rejected if they are neither
	// warm for the object nor its home, or are too slow to answer before the deadline.
	notWarm, slow int
}

// String returns the counts as text for a refusal.
func (r rejections) String() string {
	return fmt.Sprintf("endpoints closed %d, suspended %d, cold %d, full %d, without the object %d, too slow %d",
		r.ineligible, r.suspended, r.cold, r.full, r.notWarm, r.slow)
}

// reason returns the reason of the refusal: RegionFull if an endpoint could run the
// request but lacks capacity, else NoEndpoint.
func (r rejections) reason() reason.Reason {
	if r.full+r.notWarm+r.slow > 0 {
		return reason.RegionFull
	}
	return reason.NoEndpoint
}

// packCostStep is larger than any difference between the other costs, in milliseconds.
const packCostStep = 1e6

// packCost returns a cost that makes requests of a version on trial fill one endpoint
// after the other. The eligible endpoints are ordered by hash, beginning at PackOffset
// and wrapping around; those without a free slot come last. The caller must hold mu.
func (b *Balancer) packCost(request *Request, state *endpointState, endpoints []directory.Endpoint, now clock.Millis) float64 {
	position, count := 0, 0
	for i := range endpoints {
		other := b.states[endpoints[i].ID]
		if other == nil || !b.isEligible(request, other) {
			continue
		}
		count++
		if other.hash < state.hash {
			position++
		}
	}
	position = (position + count - request.Versions.PackOffset%max(count, 1)) % max(count, 1)
	if int(state.load(now)) >= state.endpoint.Slots {
		position += count
	}
	return packCostStep * float64(position)
}

// isSaturated reports whether so many of a service's slots are in use that a run on an
// endpoint which is not warm, and so takes longer, would delay other requests by more
// than the request gains. The caller must hold mu.
func (b *Balancer) isSaturated(endpoints []directory.Endpoint, now clock.Millis) bool {
	load, slots := b.capacity(endpoints, now)
	return load > saturationThreshold*slots
}

// capacity returns the estimated number of requests on the endpoints that are neither
// draining nor suspended nor evacuated, and the number of their slots. The caller must
// hold mu.
func (b *Balancer) capacity(endpoints []directory.Endpoint, now clock.Millis) (load, slots float64) {
	for i := range endpoints {
		state := b.states[endpoints[i].ID]
		if state == nil || state.endpoint.Draining || state.isSuspended(now) || b.directory.Evacuated[state.endpoint.DataCentre] {
			continue
		}
		load += state.load(now)
		slots += float64(state.endpoint.Slots)
	}
	return load, slots
}

// isColdSender reports whether this VM may send requests to a cold endpoint. As many
// VMs may as requests per second are allowed, each sending one request per second. VMs
// of the endpoint's region come first. The caller must hold mu.
func (b *Balancer) isColdSender(service *routing.Service, state *endpointState) bool {
	allowed := int(max(service.ColdRate*b.ColdLimit.Overage+b.ColdLimit.Slack-coldRateMargin, 1))
	if len(b.vms) <= allowed {
		return true
	}
	higherRanked := 0
	own := coldSenderRank(VM{b.VM, b.Region}, state)
	for _, vm := range b.vms {
		if vm.Name != b.VM && coldSenderRank(vm, state) > own {
			higherRanked++
		}
	}
	return higherRanked < allowed
}

// coldSenderRank returns the rank of a VM among the senders to a cold endpoint; higher
// ranks come first. All VMs compute the same ranks.
func coldSenderRank(vm VM, state *endpointState) uint64 {
	score := hashing.Mix(hashing.Strings(vm.Name)^state.hash) >> 1
	if vm.Region == state.endpoint.Region {
		score |= 1 << 63
	}
	return score
}

// isEligible reports whether the endpoint may run the request, whatever its load. The
// caller must hold mu.
func (b *Balancer) isEligible(request *Request, state *endpointState) bool {
	e := &state.endpoint
	if e.Draining || state.isAddressReused || b.directory.Evacuated[e.DataCentre] || !request.Versions.Allows(e.Version) {
		return false
	}
	for _, excluded := range request.ExcludedEndpoints {
		if excluded == e.ID {
			return false
		}
	}
	return routing.IsRegionAllowed(request.Route, request.Workspace, e.Region)
}

// estimate returns an endpoint as a candidate for a request, with its expected response
// time and cost. The caller must hold mu.
func (b *Balancer) estimate(request *Request, state *endpointState, isHome bool, now clock.Millis) candidate {
	run := b.runTime(request)
	c := candidate{state: state, isHome: isHome}
	runMillis := run.uncached
	recent, known := b.affinities[request.Object]
	switch {
	case request.Object != "" && known && recent.endpoint == state.endpoint.ID && now-recent.lastUsedAt < affinityTTL:
		runMillis, c.isWarm = run.cached, true
	case isHome:
		runMillis = run.cached
	}
	if state.endpoint.ColdUntil > now {
		runMillis *= 2
	}
	runMillis *= state.slowdown
	slots := float64(state.endpoint.Slots)
	if over := state.load(now) + 1 - slots; over > 0 {
		c.wait = over / slots * (run.cached + run.uncached) / 2 * state.slowdown
	}
	roundTrip, perKilobyte := 0.0, 0.0
	switch {
	case state.endpoint.Region != b.Region:
		roundTrip, perKilobyte = interRegionMillis, interRegionKilobyteCost
	case state.endpoint.DataCentre != b.DataCentre:
		roundTrip, perKilobyte = interDataCentreMillis, interDataCentreKilobyteCost
	}
	c.expected = roundTrip + c.wait + runMillis
	c.typical = roundTrip + c.wait + run.uncached
	c.cost = c.expected + occupancyCost*runMillis + perKilobyte*(request.Kilobytes+expectedResponseKilobytes) + state.currentFailureRate(now)*failureCost*float64(request.Route.TargetLatency)
	if !request.isRegionBound() {
		c.cost += (1 - b.unreservedFraction(request.Service.Name, state.endpoint.Region, now)) * reservationCost * float64(request.Route.TargetLatency)
	}
	return c
}

// runTime returns the average run times of the request's service and kind of work. The
// caller must hold mu.
func (b *Balancer) runTime(request *Request) *runTime {
	if b.runTimes == nil {
		b.runTimes = map[string]*runTime{}
	}
	id := request.Service.Name + " " + string(request.Route.Work)
	r := b.runTimes[id]
	if r == nil {
		target := float64(max(request.Route.TargetLatency, 1))
		r = &runTime{uncached: 1.4 * target, cached: 0.45 * target}
		b.runTimes[id] = r
	}
	return r
}

// grant records a request in flight on the candidate's endpoint. The caller must hold
// mu.
func (b *Balancer) grant(request *Request, c candidate, now clock.Millis) *Grant {
	state := c.state
	g := &Grant{
		Endpoint: state.endpoint, IsCold: state.endpoint.ColdUntil > now, balancer: b, state: state, request: request,
		sentAt: now, expected: c.expected, typical: c.typical, hadFreeSlot: c.wait == 0, isWarm: c.isWarm,
	}
	g.Basis = newBasis(c, g.IsCold, now)
	if g.IsCold {
		state.nextColdRequestAt = now + coldRequestInterval
	}
	state.inFlightSince = append(state.inFlightSince, now)
	if request.Object != "" {
		b.recordAffinity(request.Object, state.endpoint.ID, !c.isHome, now)
	}
	return g
}

// newBasis returns the information on which the choice of a candidate is based.
func newBasis(c candidate, isCold bool, now clock.Millis) Basis {
	e := &c.state.endpoint
	why := "room"
	switch {
	case c.isHome:
		why = "home"
	case c.isWarm:
		why = "warm"
	}
	return Basis{
		Endpoint: e.ID, DataCentre: e.DataCentre, Version: e.Version, Revision: e.Revision, Why: why,
		Load: int(c.state.load(now)), LoadAge: now - c.state.loadAt(now), Slots: e.Slots, Expected: c.expected, IsCold: isCold,
	}
}

// Done records how the request ended. Only the first call has an effect.
func (g *Grant) Done(result Result) {
	b := g.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if g.isDone {
		return
	}
	g.isDone = true
	now := b.Clock.Now()
	g.state.removeInFlight(g.sentAt)
	took := float64(now - g.sentAt)
	if result.Outcome == Answered && g.hadFreeSlot && !g.IsCold {
		b.runTime(g.request).update(took, g.isWarm)
	}
	if g.hadFreeSlot && result.Outcome == Answered {
		g.state.updateSlowdown(took / max(g.expected, 1))
	}
	g.state.recordResult(result, now)
	if result.Outcome != Answered && result.Outcome != Cancelled && g.request.Object != "" {
		delete(b.affinities, g.request.Object)
	}
}

// slowFactor is how many times the typical response time a slow response takes.
const slowFactor = 2.2

// IsSlow reports whether a response took much longer than is typical of an endpoint
// that is not warm for the object. The endpoints of a new version are not warm for any
// object, so they are compared with that.
func (g *Grant) IsSlow(took clock.Millis) bool { return float64(took) > slowFactor*g.typical }

// IsPastTypical reports whether took has reached the typical response time of an
// endpoint that is not warm for the object.
func (g *Grant) IsPastTypical(took clock.Millis) bool { return float64(took) >= g.typical }

// averageDivisor is the divisor in the moving averages of run times: a new value counts
// for 1/averageDivisor.
const averageDivisor = 16

// update adds the run time of one request that did not queue, in milliseconds.
func (r *runTime) update(took float64, isWarm bool) {
	if isWarm {
		r.cached += (took - r.cached) / averageDivisor
		return
	}
	// A short run time shows that another VM's request had warmed the endpoint for the
	// object, so it does not show how long runs take that are not warm.
	if took > r.cached*1.5 {
		r.uncached += (took - r.uncached) / averageDivisor
	}
}
