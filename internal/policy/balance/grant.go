package balance

import (
	"math"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/directory"
)

// Grant is the endpoint chosen for one request. Done must be called when the request
// has ended.
type Grant struct {
	Endpoint directory.Endpoint
	// IsCold reports whether the endpoint was cold when it was chosen.
	IsCold bool

	balancer *Balancer
	state    *endpointState
	request  *Request
	// object is the request's affinityKey.
	object string
	sentAt clock.Millis
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
	pace                pacedRun
	// Basis is the information on which the choice was made.
	Basis Basis
	// Timing is the parts of the expected response time.
	Timing Timing
}

// Timing is the parts of an expected response time.
type Timing struct {
	// RoundTrip is the network's round trip, Wait the time in the endpoint's queue.
	RoundTrip, Wait clock.Millis
	// Run is the time for which the endpoint runs the request, LongRun the time if it turns
	// out not to be warm for the object. They are equal unless the endpoint is only thought to
	// be warm.
	Run, LongRun clock.Millis
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
	// Pace is how long work was expected to take on the endpoint's machine; see UsualPace.
	Pace   int
	IsCold bool
	// Limit is the limit that the endpoint had named.
	Limit Limit
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
	// Slots is the number of requests that the endpoint reported to run at once, and Pace
	// how long work takes on its machine at the moment, UsualPace being usual. Each is 0 if
	// the endpoint reported none.
	Slots, Pace int
	// Limit is what the response says of the endpoint's limit.
	Limit Limit
	// IsLeaving reports that the response says that the endpoint leaves. Pause is how long
	// it wants no requests from this VM by the response, or 0.
	IsLeaving bool
	Pause     clock.Millis
}

// grant records a request in flight on the candidate's endpoint. The caller must hold
// mu.
func (b *Balancer) grant(request *Request, c candidate, now clock.Millis) *Grant {
	state := c.state
	g := &Grant{
		Endpoint: state.endpoint, IsCold: state.endpoint.ColdUntil > now, balancer: b, state: state, request: request,
		object: request.affinityKey(), sentAt: now, expected: c.expected, typical: c.typical, hadFreeSlot: c.wait == 0, isWarm: c.isWarm, pace: c.pace,
	}
	g.Basis, g.Timing = newBasis(c, g.IsCold, now), c.timing
	if g.IsCold {
		state.nextColdRequestAt = now + coldRequestInterval
	}
	b.recordGrant(request, now)
	b.takeLimitToken(state, len(request.ExcludedEndpoints) > 0, now)
	state.inFlightSince = append(state.inFlightSince, now)
	if g.object != "" {
		b.recordAffinity(g.object, state.endpoint.ID, !c.isHome && !request.Versions.Pack, now)
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
		Load: int(c.state.load(now)), LoadAge: now - c.state.loadAt(now), Slots: c.state.slots(now), Expected: c.expected, IsCold: isCold,
		Pace: int(math.Round(UsualPace * c.state.pace.trusted(c.pace.statedFactor))), Limit: c.state.said.limit.stated,
	}
}

// Done records how the request ended. Only the first call has an effect.
func (g *Grant) Done(result Result) {
	if g.record(result) && g.balancer.OnRoom != nil {
		g.balancer.OnRoom(g.Endpoint.Service)
	}
}

// record records how the request ended. It reports whether that was not recorded before.
func (g *Grant) record(result Result) bool {
	b := g.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if g.isDone {
		return false
	}
	g.isDone = true
	now := b.Clock.Now()
	g.state.removeInFlight(g.sentAt)
	if result.Outcome == Answered && g.hadFreeSlot {
		g.learn(float64(now-g.sentAt), result.Pace, now)
	}
	if result.Pace > 0 {
		b.demand(g.Endpoint.Service).recordPace(now)
	}
	g.state.recordResult(result, now)
	if result.Outcome != Answered && result.Outcome != Cancelled && g.object != "" {
		delete(b.affinities, g.object)
	}
	return true
}

// slowFactor is how many times the typical response time a slow response takes.
// warmSlowFactor replaces it at an endpoint that is warm for the object, whose usual
// response takes a fraction of that time.
const (
	slowFactor     = 1.8
	warmSlowFactor = 1.35
)

// IsSlow reports whether a response took much longer than is typical of an endpoint
// that is not warm for the object. The endpoints of a new version are warm for few
// objects, so they are compared with that.
func (g *Grant) IsSlow(took clock.Millis) bool {
	if g.isWarm {
		return float64(took) > warmSlowFactor*g.typical
	}
	return float64(took) > slowFactor*g.typical
}

// IsPastTypical reports whether took has reached the typical response time of an
// endpoint that is not warm for the object.
func (g *Grant) IsPastTypical(took clock.Millis) bool { return float64(took) >= g.typical }

// HasTypicalTime reports whether the request, when it was sent, had as much time left as is
// typical of an endpoint that is not warm for the object.
func (g *Grant) HasTypicalTime() bool { return float64(g.request.Remaining) >= g.typical }

// tightFactor is how many times the expected response time a request must have left, or
// a good endpoint may miss the deadline too.
const tightFactor = 1.5

// IsTight reports whether the request, when it was sent, had hardly more time left than
// its response was expected to take.
func (g *Grant) IsTight() bool { return float64(g.request.Remaining) < tightFactor*g.expected }
