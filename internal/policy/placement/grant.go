package placement

import (
	"sync/atomic"

	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/policy/move"
)

// Grant is a slot held on an endpoint for one request.
type Grant struct {
	Endpoint document.Endpoint

	placer       *Placer
	state        *serviceState
	endpoint     *endpointState
	regionHealth *regionHealth
	service      *document.Service
	route        *document.Route
	choice       move.Choice
	// isReleased ensures that the slot is released only once.
	isReleased atomic.Bool
}

// Done releases the slot and records the result of the request. Only the first call
// has an effect.
func (g *Grant) Done(result Result) {
	if g.isReleased.Swap(true) {
		return
	}
	g.recordResult(result)
	g.placer.releaseSlot(g.endpoint)
	g.placer.recordOutcome(g.service, g.route, g.choice, versionOutcome(result.Outcome), result.Micros)
	g.placer.serveQueue(g.state)
}

// cancel releases the slot of a grant that is not used for a request.
func (g *Grant) cancel() {
	if g.isReleased.Swap(true) {
		return
	}
	g.placer.mu.Lock()
	g.endpoint.running--
	g.regionHealth.running--
	g.uncountColdRequest()
	g.placer.mu.Unlock()
	g.placer.releaseSlot(g.endpoint)
}

// uncountColdRequest removes the request from the endpoint's cold requests,
// because the endpoint did not run it and so has not warmed up by it. The caller
// must hold the placer's mutex.
func (g *Grant) uncountColdRequest() {
	if g.choice.ColdEndpoint != "" && g.endpoint.coldRequests > 0 {
		g.endpoint.coldRequests--
	}
}

func (g *Grant) recordResult(result Result) {
	g.placer.mu.Lock()
	defer g.placer.mu.Unlock()
	now := g.placer.Clock.Now()
	g.endpoint.running--
	if result.Outcome == Shed {
		g.uncountColdRequest()
	}
	g.endpoint.recordReport(result, now)
	if result.Outcome == Answered {
		g.state.observeLatency(g.route.Prefix, result.Micros)
	}
	isHang := g.endpoint.isHang(result.Micros)
	g.endpoint.record(result, now)
	if g.regionHealth.record(result, isHang, now) {
		g.state.markCold(g.endpoint.config.Region)
	}
}

// versionOutcome converts the outcome of a request to its outcome for the version.
func versionOutcome(outcome Outcome) move.Outcome {
	switch outcome {
	case Answered:
		return move.Succeeded
	case Cancelled:
		return move.Abandoned
	case DeadlineExceeded:
		return move.DeadlineExceeded
	default:
		return move.Failed
	}
}
