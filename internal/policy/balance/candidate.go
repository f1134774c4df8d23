package balance

import (
	"fmt"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/reason"
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
)

// candidate is an endpoint with its estimated cost for a request. Times and cost are in
// milliseconds.
type candidate struct {
	state    *endpointState
	cost     float64
	expected float64
	typical  float64
	wait     float64
	timing   Timing
	isWarm   bool
	isHome   bool
	pace     pacedRun
}

// query holds a request and the values that are shared by all endpoints compared for it.
type query struct {
	request *Request
	now     clock.Millis
	run     *runTime
	// warmEndpoint is the ID of the endpoint that recently served the object, or empty.
	warmEndpoint string
	rule         reserveRule
	// meanRun is the mean run time of the requests in the endpoints' queues, in
	// milliseconds.
	meanRun float64
}

// newQuery returns the query for a request. The caller must hold mu.
func (b *Balancer) newQuery(request *Request, now clock.Millis) query {
	q := query{request: request, now: now, run: b.runTime(request, now)}
	q.meanRun = (q.run.cached + q.run.uncached) / 2
	if object := request.affinityKey(); object != "" {
		if recent, known := b.affinities[object]; known && now-recent.lastUsedAt < affinityTTL {
			q.warmEndpoint = recent.endpoint
		}
	}
	return q
}

// selection is the result of comparing the endpoints for a request.
type selection struct {
	// best is the candidate with the lowest cost; its state is nil if there is none.
	best candidate
	// preferred is the endpoint that would be the object's home if no endpoint had
	// reached its limit; nil if that makes no difference.
	preferred *endpointState
	rejected  rejections
}

// isEmpty reports whether no endpoint can run the request.
func (s *selection) isEmpty() bool { return s.best.state == nil }

// selectEndpoint compares the endpoints for a request. It considers suspended ones only if
// includeSuspended is set. The caller must hold mu.
func (b *Balancer) selectEndpoint(request *Request, now clock.Millis, includeSuspended bool) (s selection) {
	endpoints := b.directory.Services[request.Service.Name]
	q := b.newQuery(request, now)
	var home *endpointState
	q.rule = b.reserveRule(request, now)
	home, s.preferred = b.home(request, endpoints, q.rule, now)
	if home == nil && q.rule.isUrgent {
		home, s.preferred = b.home(request, endpoints, reserveRule{}, now)
	}
	load, slots := b.capacity(&q, endpoints)
	// In a saturated service, a run on an endpoint that is not warm, and so takes longer,
	// would delay other requests by more than the request gains.
	isSaturated := home != nil && load > saturationThreshold*slots
	for i := range endpoints {
		state := b.states[endpoints[i].ID]
		switch {
		case state == nil || !b.isEligible(request, state):
			s.rejected.ineligible++
			continue
		case now < state.said.pausedUntil:
			s.rejected.addPaused(state.said.pausedUntil - now)
			continue
		case !includeSuspended && state.isSuspended(now):
			s.rejected.suspended++
			continue
		case state.endpoint.ColdUntil > now && (now < state.nextColdRequestAt || !b.isColdSender(request.Service, state)):
			s.rejected.cold++
			continue
		}
		if wait, ok := b.isWithinLimit(state, now); !ok {
			s.rejected.addLimited(wait)
			continue
		}
		c := b.estimate(&q, state, state == home)
		switch {
		case int(state.load(now)) >= state.slots(now)+maxQueueLength:
			s.rejected.full++
			continue
		case q.rule.excludes(state):
			s.rejected.reserved++
			continue
		case isSaturated && !c.isWarm && !c.isHome && (!q.rule.isUrgent || c.wait > 0):
			s.rejected.notWarm++
			continue
		case (isSaturated || q.rule.fraction > 0) && c.expected > float64(request.Remaining):
			s.rejected.slow++
			continue
		}
		if c.expected > float64(request.Remaining) {
			c.cost += deadlineMissCost * float64(request.Route.TargetLatency)
		}
		if request.Versions.Pack {
			c.cost += b.packCost(request, state, endpoints, now)
		}
		if s.isEmpty() || c.cost < s.best.cost {
			s.best = c
		}
	}
	return s
}

// rejections counts the endpoints that cannot be chosen for a request, by cause.
type rejections struct {
	// ineligible endpoints must not run the request at all; see isEligible.
	ineligible, suspended, cold, full int
	// notWarm endpoints are neither warm for the object nor its home, while the service is
	// saturated. slow endpoints are not expected to answer before the deadline; they are
	// rejected only while the service is saturated or has a reserve for the request.
	notWarm, slow int
	// reserved endpoints are reserved for requests of higher priorities.
	reserved int
	// limited endpoints have named a limit, of which this VM has no token left. It has
	// the first one again after limitWait.
	limited   int
	limitWait clock.Millis
	// paused endpoints want no requests from this VM. The first pause ends after pauseWait.
	paused    int
	pauseWait clock.Millis
}

// addPaused counts an endpoint whose pause ends after wait.
func (r *rejections) addPaused(wait clock.Millis) {
	if r.paused == 0 || wait < r.pauseWait {
		r.pauseWait = wait
	}
	r.paused++
}

// addLimited counts an endpoint from which this VM has the next token after wait.
func (r *rejections) addLimited(wait clock.Millis) {
	if r.limited == 0 || wait < r.limitWait {
		r.limitWait = wait
	}
	r.limited++
}

// String returns the counts as text for a refusal.
func (r rejections) String() string {
	text := fmt.Sprintf("endpoints closed %d, suspended %d, cold %d, full %d, without the object %d, too slow %d, at their limit %d, paused %d",
		r.ineligible, r.suspended, r.cold, r.full, r.notWarm, r.slow, r.limited, r.paused)
	if r.reserved > 0 {
		text += fmt.Sprintf(", reserved for higher priorities %d", r.reserved)
	}
	return text
}

// reason returns the reason of the refusal: RegionFull if an endpoint could run the
// request but lacks capacity or has asked for a pause, else NoEndpoint.
func (r rejections) reason() reason.Reason {
	if r.lacksCapacity() || r.paused > 0 {
		return reason.RegionFull
	}
	return reason.NoEndpoint
}

// lacksCapacity reports whether an endpoint could run the request but for other requests.
func (r rejections) lacksCapacity() bool { return r.full+r.notWarm+r.slow+r.reserved+r.limited > 0 }

// retryAfter returns the Retry-After of the refusal. It is longer than usual only if
// nothing but limits and pauses stands in the way.
func (r rejections) retryAfter() clock.Millis {
	switch {
	case r.full+r.notWarm+r.slow+r.reserved+r.suspended+r.cold > 0:
		return refusalRetryAfter
	case r.limited > 0:
		return max(refusalRetryAfter, min(r.limitWait, maxLimitRetryAfter))
	default:
		return max(refusalRetryAfter, r.pauseWait)
	}
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
	if int(state.load(now)) >= state.slots(now) {
		position += count
	}
	return packCostStep * float64(position)
}

// capacity returns the estimated number of requests on the endpoints that are neither
// draining nor suspended nor evacuated, and the number of their slots that requests of
// the query's kind can use. The caller must hold mu.
func (b *Balancer) capacity(q *query, endpoints []directory.Endpoint) (load, slots float64) {
	for i := range endpoints {
		state := b.states[endpoints[i].ID]
		if state == nil || state.isLeaving() || state.isSuspended(q.now) || b.directory.Evacuated[state.endpoint.DataCentre] {
			continue
		}
		load += state.load(q.now)
		slots += min(state.usableSlots(q.run, q.now), float64(state.slots(q.now)))
	}
	return load, slots
}

// isEligible reports whether the endpoint may run the request, whatever its load. The
// caller must hold mu.
func (b *Balancer) isEligible(request *Request, state *endpointState) bool {
	e := &state.endpoint
	if state.isLeaving() || state.isAddressReused || b.directory.Evacuated[e.DataCentre] || !request.Versions.Allows(e.Version) {
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
func (b *Balancer) estimate(q *query, state *endpointState, isHome bool) candidate {
	request, run, now := q.request, q.run, q.now
	c := candidate{state: state, isHome: isHome}
	runMillis, longRun := run.uncached, run.uncached
	switch {
	case q.warmEndpoint == state.endpoint.ID:
		runMillis, longRun, c.isWarm = run.cached, run.cached, true
	case isHome && !request.Versions.Pack:
		runMillis = run.cached
	}
	if state.endpoint.ColdUntil > now {
		runMillis, longRun = 2*runMillis, 2*longRun
	}
	runMillis, longRun = runMillis*state.slowdown, longRun*state.slowdown
	slots := float64(state.slots(now))
	if over := state.load(now) + 1 - slots; over > 0 {
		c.wait = over / slots * q.meanRun * state.slowdown
	}
	roundTrip, perKilobyte := 0.0, 0.0
	switch {
	case state.endpoint.Region != b.Region:
		roundTrip, perKilobyte = interRegionMillis, interRegionKilobyteCost
	case state.endpoint.DataCentre != b.DataCentre:
		roundTrip, perKilobyte = interDataCentreMillis, interDataCentreKilobyteCost
	}
	// The timing is at the usual pace: its readers apply the pace that the answer states.
	c.timing = Timing{RoundTrip: clock.Millis(roundTrip), Wait: clock.Millis(c.wait), Run: clock.Millis(runMillis), LongRun: clock.Millis(longRun)}
	typicalRun := run.uncached
	weight := state.pace.weight(now)
	c.pace = pacedRun{state.pace.statedFactor(weight), weight, roundTrip + c.wait + runMillis, roundTrip}
	if c.pace.statedFactor != 1 {
		// The work that waits there runs at the same pace.
		factor := state.pace.trusted(c.pace.statedFactor)
		runMillis *= factor
		c.wait *= factor
		typicalRun *= max(factor, 1)
	}
	c.expected = roundTrip + c.wait + runMillis
	c.typical = roundTrip + c.wait + typicalRun
	c.cost = c.expected + occupancyCost*runMillis + perKilobyte*(request.Kilobytes+expectedResponseKilobytes) + state.currentFailureRate(now)*failureCost*float64(request.Route.TargetLatency)
	if !request.isRegionBound() {
		c.cost += (1 - b.unreservedFraction(request.Service.Name, state.endpoint.Region, now)) * reservationCost * float64(request.Route.TargetLatency)
	}
	return c
}
