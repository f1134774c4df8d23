package balance

import (
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
)

// runTime holds the average time for which a request occupies an endpoint, in
// milliseconds: cached if the endpoint is warm for the object, uncached if not.
type runTime struct {
	uncached, cached float64
}

// runTimeKey identifies the requests that have a common run time: those of a service and kind
// of work, or only those of one route if route is not empty.
type runTimeKey struct {
	service string
	work    document.Work
	route   string
}

// runTime returns the average run times for a request. Where requests are treated by their
// urgency, routes of the same kind of work may take very different times, so it is that of
// the route. The caller must hold mu.
func (b *Balancer) runTime(request *Request, now clock.Millis) *runTime {
	if b.isOrdered(request.Service.Name, now) {
		return b.runTimeOf(routeKey(request), request)
	}
	return b.runTimeOf(workKey(request), request)
}

func workKey(request *Request) runTimeKey {
	return runTimeKey{service: request.Service.Name, work: request.Route.Work}
}

func routeKey(request *Request) runTimeKey {
	return runTimeKey{request.Service.Name, request.Route.Work, request.Route.Name}
}

// runTimeOf returns the run times of a key, which must be one of the request's. The caller
// must hold mu.
func (b *Balancer) runTimeOf(key runTimeKey, request *Request) *runTime {
	if b.runTimes == nil {
		b.runTimes = map[runTimeKey]*runTime{}
	}
	r := b.runTimes[key]
	if r == nil {
		target := float64(max(request.Route.TargetLatency, 1))
		r = &runTime{uncached: 1.4 * target, cached: 0.45 * target}
		b.runTimes[key] = r
	}
	return r
}

// updateRunTimes adds the run time of one request that did not queue, in milliseconds, to the
// averages of its service and of its route. The caller must hold mu.
func (b *Balancer) updateRunTimes(request *Request, took float64, isWarm bool) {
	b.runTimeOf(workKey(request), request).update(took, isWarm)
	b.runTimeOf(routeKey(request), request).update(took, isWarm)
}

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
