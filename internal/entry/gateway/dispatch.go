package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/balance"
	"baobabladder.example/baobabladder/internal/policy/waiting"
)

const (
	// dispatchInterval is the time after which waiting requests are tried again if nothing
	// was notified, as pauses and limits of endpoints end without notice.
	dispatchInterval = 50 * clock.Millis(1)
	// maxTriesForRoom bounds the requests of a service that are tried in vain when room may
	// have appeared, as each is compared with all endpoints.
	maxTriesForRoom = 8
	// dispatchPauseFactor gives the pause after each dispatch in multiples of its duration, so
	// that dispatches take about a fifth of a core, or more if they take so long that the pause
	// is cut to dispatchInterval. With 1,800 endpoints, one choice takes
	// 0.2 to 0.5 ms.
	dispatchPauseFactor = 4
)

// dispatcher gives waiting requests room at endpoints. Its goroutine runs only while requests
// wait. The zero value is ready to use.
type dispatcher struct {
	// changes counts the calls of NotifyRoom.
	changes atomic.Int64

	mu sync.Mutex
	// isRunning reports whether the goroutine runs. changed holds the services that may have
	// room since it last looked, and wake has an element if there are any. Guarded by mu.
	isRunning bool
	changed   map[string]struct{}
	wake      chan struct{}
}

// NotifyRoom tells the gateway that requests for the service may find room that was not there
// before. It returns at once.
func (g *Gateway) NotifyRoom(service string) {
	d := &g.dispatcher
	d.changes.Add(1)
	if g.Waiting == nil || g.Waiting.Count() == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isRunning {
		d.markChanged(service)
	}
}

// markChanged wakes the goroutine for a service. The caller must hold mu.
func (d *dispatcher) markChanged(service string) {
	d.changed[service] = struct{}{}
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// begin starts the goroutine unless it runs. It must be called after a request was added to
// its queue. isChanged reports whether there may be room for it already.
func (d *dispatcher) begin(g *Gateway, service string, isChanged bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isRunning {
		d.isRunning, d.changed, d.wake = true, map[string]struct{}{}, make(chan struct{}, 1)
		go d.run(g, d.wake)
	}
	if isChanged {
		d.markChanged(service)
	}
}

func (d *dispatcher) run(g *Gateway, wake <-chan struct{}) {
	ticker := time.NewTicker(dispatchInterval.Duration())
	defer ticker.Stop()
	pass := &dispatchPass{gateway: g}
	var services []string
	for !d.endIfIdle(g) {
		select {
		case <-wake:
			services = d.takeChanged(services[:0])
		case <-ticker.C:
			services = g.Waiting.Services(services[:0])
		}
		startedAt := g.Clock.Micros()
		for _, service := range services {
			pass.run(service)
		}
		took := time.Duration(g.Clock.Micros()-startedAt) * time.Microsecond
		time.Sleep(min(dispatchPauseFactor*took, dispatchInterval.Duration()))
	}
}

// endIfIdle marks the goroutine as ended and returns true if no request waits. A request that
// is added afterwards starts it again.
func (d *dispatcher) endIfIdle(g *Gateway) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isRunning = g.Waiting.Count() > 0
	return !d.isRunning
}

// takeChanged appends the services that may have room, and forgets them.
func (d *dispatcher) takeChanged(services []string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for service := range d.changed {
		services = append(services, service)
	}
	clear(d.changed)
	return services
}

// refuse ends the wait of a request that was removed from its queue.
func (d *dispatcher) refuse(r *waiting.Request, cause waiting.Cause) {
	w := r.Owner.(*waiter)
	w.result <- placement{err: w.refusal(cause), outcome: WaitOutcome(cause)}
}

// dispatchPass tries the waiting requests of one service. It is reused to keep its buffers.
type dispatchPass struct {
	gateway *Gateway
	// failed holds the requests for which there was no room in this pass.
	failed []*waiter
	// requests is a buffer.
	requests []*waiting.Request
}

func (p *dispatchPass) run(service string) {
	g := p.gateway
	p.failed = p.failed[:0]
	p.endWaits(service)
	p.requests = g.Waiting.RemoveLate(service, p.requests[:0])
	for _, r := range p.requests {
		g.dispatcher.refuse(r, waiting.Late)
	}
	for len(p.failed) < maxTriesForRoom {
		r := g.Waiting.Next(service, p.isSkipped)
		if r == nil {
			break
		}
		p.try(r.Owner.(*waiter))
	}
	clear(p.failed)
	clear(p.requests)
}

// endWaits ends the waits of requests that must not be sent any more by this VM.
func (p *dispatchPass) endWaits(service string) {
	g := p.gateway
	_, isStopping := g.plannedStop()
	isCutOff := g.Reach != nil && g.Reach.IsCutOff()
	table, now := g.Table(), g.Clock.Now()
	p.requests = g.Waiting.All(service, p.requests[:0])
	for _, r := range p.requests {
		w := r.Owner.(*waiter)
		if err := w.refresh(table); err != nil {
			p.end(w, placement{err: err, outcome: WaitRefused})
		}
		switch {
		case isCutOff:
			p.end(w, placement{err: reason.NotRun(reason.NoEndpoint, alternateRetryAfter, "this VM lost its links while the request waited for room"), outcome: WaitCutOff})
		case isStopping && !w.call.canFinishIn(w.deadline-now):
			p.end(w, placement{err: stoppingRefusal(), outcome: WaitStopped})
		}
	}
}

// end ends the wait of a request, unless it has ended.
func (p *dispatchPass) end(w *waiter, end placement) {
	if p.gateway.Waiting.Remove(&w.Request) {
		w.result <- end
	}
}

// isSkipped reports whether this pass has tried the request in vain, or one like it that had at
// least as much time left.
func (p *dispatchPass) isSkipped(r *waiting.Request) bool {
	w := r.Owner.(*waiter)
	for _, failed := range p.failed {
		if failed == w || failed.isLike(w) && failed.deadline >= w.deadline {
			return true
		}
	}
	return false
}

// isLike reports whether the same endpoints may run both requests.
func (w *waiter) isLike(other *waiter) bool {
	x, y := w.request, other.request
	return x.Route == y.Route && x.Workspace == y.Workspace && x.Object == y.Object && x.Versions == y.Versions &&
		len(x.ExcludedEndpoints) == 0 && len(y.ExcludedEndpoints) == 0
}

// try gives a request room if there is any. The request may have left its queue.
func (p *dispatchPass) try(w *waiter) {
	g := p.gateway
	w.request.Remaining = w.deadline - g.Clock.Now()
	w.request.Versions = g.Canary.Recheck(w.Service, w.request.Versions)
	grant, err := g.Balancer.Place(w.request)
	switch {
	case err == nil && g.Waiting.Grant(&w.Request):
		w.result <- placement{grant: grant, outcome: WaitGranted}
	case err == nil:
		cancelGrant(grant)
	case balance.LacksCapacity(err):
		p.failed = append(p.failed, w)
	default:
		p.end(w, placement{err: err, outcome: WaitRefused})
	}
}
