package balance

import (
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/world/directory"
)

// LacksCapacity reports whether err is a refusal by Place for which only other requests
// are the cause: the request may get an endpoint when some of them have ended.
func LacksCapacity(err error) bool {
	refusal, ok := fault.As[*reason.Refusal](err)
	return ok && refusal.LacksCapacity
}

// QueuesAllowed reports whether requests for the service that find no room may wait at this
// VM: its endpoints state their pace, or some are reserved for the most urgent requests.
func (b *Balancer) QueuesAllowed(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isOrdered(service, b.Clock.Now())
}

// isOrdered reports whether the choices for a service take account of the urgency of its
// requests. For other services all requests are treated alike. The caller must hold mu.
func (b *Balancer) isOrdered(service string, now clock.Millis) bool {
	d := b.demands[service]
	return d != nil && (d.statesPace(now) || d.reserve > 0)
}

// ExpectedRun returns the expected time from sending the request to its answer, if it need
// not queue at the endpoint. The endpoint is assumed to be in this VM's region, and warm for
// the request's object only if it served the object recently.
func (b *Balancer) ExpectedRun(request *Request) clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	return clock.Millis(interDataCentreMillis+b.expectedRun(request, b.Clock.Now())) + 1
}

// expectedRun returns the expected run time of the request in milliseconds; see ExpectedRun.
// The caller must hold mu.
func (b *Balancer) expectedRun(request *Request, now clock.Millis) float64 {
	run := b.runTimeOf(routeKey(request), request)
	recent, known := b.affinities[request.affinityKey()]
	if known && request.Object != "" && now-recent.lastUsedAt < affinityTTL {
		if state := b.states[recent.endpoint]; state != nil && !state.isLeaving() {
			return run.cached
		}
	}
	return run.uncached
}

// notifyRoom calls OnRoom for each service of the directory. The caller must not hold mu.
func (b *Balancer) notifyRoom(current *directory.Directory) {
	if b.OnRoom == nil || current == nil {
		return
	}
	for service := range current.Services {
		b.OnRoom(service)
	}
}
