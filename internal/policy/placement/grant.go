package placement

import (
	"sync/atomic"

	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/policy/move"
)

// Grant is a slot taken on an endpoint for one request.
type Grant struct {
	Endpoint document.Endpoint

	placer  *Placer
	plan    *plan
	node    *node
	health  *health
	service *document.Service
	route   *document.Route
	choice  move.Choice
	// ended makes sure that a slot is given back once.
	ended atomic.Bool
}

// Done gives the slot back and notes how the request went. Only the first call
// counts.
func (g *Grant) Done(result Result) {
	if g.ended.Swap(true) {
		return
	}
	g.finish(result)
	g.placer.giveBack(g.node)
	g.placer.record(g.service, g.route, g.choice, moveOutcome(result.Outcome), result.Micros)
	g.placer.serveQueue(g.plan)
}

// undo gives back a slot that no request used.
func (g *Grant) undo() {
	if g.ended.Swap(true) {
		return
	}
	g.placer.mu.Lock()
	g.node.running--
	g.health.running--
	g.unsend()
	g.placer.mu.Unlock()
	g.placer.giveBack(g.node)
}

// unsend takes back that the request ran on a cold endpoint. Callers hold the
// placer's mutex.
func (g *Grant) unsend() {
	if g.choice.ColdEndpoint != "" && g.node.sent > 0 {
		g.node.sent--
	}
}

func (g *Grant) finish(result Result) {
	g.placer.mu.Lock()
	defer g.placer.mu.Unlock()
	now := g.placer.Clock.Now()
	g.node.running--
	if result.Outcome == Shed {
		g.unsend()
	}
	g.node.report(result, now)
	if result.Outcome == Answered {
		g.plan.observe(g.route.Prefix, result.Micros)
	}
	isOverdue := g.node.isOverdue(result.Micros)
	g.node.note(result, now)
	if g.health.note(result, isOverdue, now) {
		g.plan.cool(g.node.endpoint.Region)
	}
}

// moveOutcome says what an outcome tells about a version.
func moveOutcome(outcome Outcome) move.Outcome {
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
