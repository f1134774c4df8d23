package balance

import (
	"cmp"
	"math"
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
)

const (
	// prioritySeenTime is how long after its last request a route priority counts as one
	// of its service.
	prioritySeenTime = 10 * clock.Second
	// paceSeenTime is how long after the last stated pace the endpoints of a service
	// count as ones that state it. It outlasts the times without answers in an overload.
	paceSeenTime = 1 * clock.Minute
	// demandDecayTime is the time constant of the smoothed demand. A VM of a large fleet gets
	// one or two requests of a priority per second, of which 3 s would be too few.
	demandDecayTime = 8 * clock.Second
	// minQuietTime is how long no request of a priority must have come for its demand to
	// count as ended, and quietIntervals how many times the mean interval between its
	// requests. At random arrivals a gap of four intervals occurs once in 55 requests.
	minQuietTime   = 2 * clock.Second
	quietIntervals = 4
)

// serviceDemand is what the requests and answers of one service at this VM show of its
// demand. Guarded by the balancer's mutex.
type serviceDemand struct {
	// priorities has an entry for each route priority of recent requests, in ascending
	// order: the highest priority first.
	priorities []priorityDemand
	// reserve is the fraction of the endpoints that is reserved for the highest priority
	// with notable demand; see updateReserve.
	reserve float64
	// isPaceStated reports whether an endpoint has ever stated its pace, last at
	// paceStatedAt.
	isPaceStated bool
	paceStatedAt clock.Millis
}

// priorityDemand is the demand of the requests of one route priority for a service.
type priorityDemand struct {
	priority int
	// seenAt is when the last of these requests arrived.
	seenAt clock.Millis
	// arrived and granted are the numbers of requests that arrived and that got an
	// endpoint, work is the expected run time of those that arrived, without a cached
	// object, in milliseconds. All three are sums over the past, decayed to seenAt with
	// demandDecayTime.
	arrived, granted, work float64
	// target is the moving average of the target latencies of their routes, in
	// milliseconds.
	target float64
}

// demand returns the demand for a service. The caller must hold mu.
func (b *Balancer) demand(service string) *serviceDemand {
	d := b.demands[service]
	if d == nil {
		if b.demands == nil {
			b.demands = map[string]*serviceDemand{}
		}
		d = &serviceDemand{}
		b.demands[service] = d
	}
	return d
}

// recordArrival counts a request that is new to this VM, whether or not it then gets an
// endpoint. The caller must hold mu.
func (b *Balancer) recordArrival(request *Request, now clock.Millis) {
	if request.IsRepeated {
		return
	}
	if request.isRegionBound() {
		b.reserve(request, now)
	}
	p := b.demand(request.Service.Name).of(request.Route.Priority, now)
	decay := math.Exp(-float64(now-p.seenAt) / float64(demandDecayTime))
	work := b.runTimeOf(routeKey(request), request).uncached
	p.arrived, p.granted, p.work, p.seenAt = p.arrived*decay+1, p.granted*decay, p.work*decay+work, now
	p.target += (float64(request.Route.TargetLatency) - p.target) / p.arrived
}

// recordGrant counts a request that got an endpoint. The caller must hold mu.
func (b *Balancer) recordGrant(request *Request, now clock.Millis) {
	p := b.demand(request.Service.Name).of(request.Route.Priority, now)
	p.granted += math.Exp(float64(now-p.seenAt) / float64(demandDecayTime))
}

// of returns the entry of a priority. If there is none it adds one, and removes those of
// priorities that were not seen recently.
func (d *serviceDemand) of(priority int, now clock.Millis) *priorityDemand {
	compare := func(p priorityDemand, target int) int { return cmp.Compare(p.priority, target) }
	i, found := slices.BinarySearchFunc(d.priorities, priority, compare)
	if !found {
		d.priorities = slices.DeleteFunc(d.priorities, func(p priorityDemand) bool { return !p.isRecent(now) })
		i, _ = slices.BinarySearchFunc(d.priorities, priority, compare)
		d.priorities = slices.Insert(d.priorities, i, priorityDemand{priority: priority, seenAt: now})
	}
	return &d.priorities[i]
}

// isRecent reports whether requests of the priority still count.
func (p *priorityDemand) isRecent(now clock.Millis) bool { return now-p.seenAt < prioritySeenTime }

// load returns the number of requests in flight that the demand amounts to, if all requests
// get an endpoint. It is 0 once none has arrived for minQuietTime and for
// quietIntervals mean intervals.
func (p *priorityDemand) load(now clock.Millis) float64 {
	quiet := now - p.seenAt
	if quiet >= minQuietTime && float64(quiet)*p.arrived > quietIntervals*float64(demandDecayTime) {
		return 0
	}
	return p.work / float64(demandDecayTime) * math.Exp(-float64(quiet)/float64(demandDecayTime))
}

// isStarved reports whether so few of a priority's requests got an endpoint that they may use
// all endpoints. One request is added to each count, so that a single refusal shows nothing.
func (d *serviceDemand) isStarved(priority int, now clock.Millis) bool {
	arrived, granted, own := 1.0, 1.0, priorityDemand{}
	for i := range d.priorities {
		p := &d.priorities[i]
		decay := math.Exp(-float64(now-p.seenAt) / float64(demandDecayTime))
		arrived += p.arrived * decay
		granted += p.granted * decay
		if p.priority == priority {
			own = *p
		}
	}
	return (own.granted+1)*arrived < minServedShare*granted*(own.arrived+1)
}

// statesPace reports whether endpoints of the service state their pace.
func (d *serviceDemand) statesPace(now clock.Millis) bool {
	return d.isPaceStated && now-d.paceStatedAt < paceSeenTime
}

// recordPace records that an endpoint of the service stated its pace.
func (d *serviceDemand) recordPace(now clock.Millis) { d.isPaceStated, d.paceStatedAt = true, now }
