package gateway

import (
	"context"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/balance"
	"baobabladder.example/baobabladder/internal/policy/waiting"
	"baobabladder.example/baobabladder/internal/world/key"
	"baobabladder.example/baobabladder/internal/world/routing"
)

// WaitOutcome is how a wait for room ended, as a label of a metric. Each waiting.Cause is one
// too.
type WaitOutcome string

// Values of WaitOutcome.
const (
	// WaitGranted: an endpoint had room.
	WaitGranted WaitOutcome = "granted"
	// WaitRefused: no endpoint may run the request any more, whatever its load.
	WaitRefused    WaitOutcome = "refused"
	WaitCallerLeft WaitOutcome = "caller_left"
	WaitStopped    WaitOutcome = "stopped"
	// WaitDeadline: the deadline passed before the request was given up as late.
	WaitDeadline WaitOutcome = "deadline"
	// WaitCutOff: the VM has lost its links to all endpoints.
	WaitCutOff WaitOutcome = "cut_off"
)

// nonIdempotentMargin is how many times its expected run must be left after its wait for a
// request that must not run twice: if it ends at its deadline, it is unknown whether it ran.
const nonIdempotentMargin = 1.2

// waiter is a call that waits for room at an endpoint.
type waiter struct {
	waiting.Request
	call *call
	// request belongs to the dispatcher until result has an element. Its route and workspace
	// are those of table.
	request *balance.Request
	table   *routing.Table
	// deadline is that of the call. Request.Deadline may be earlier by nonIdempotentMargin.
	deadline clock.Millis
	// result gets one element when the request is removed from its queue, unless the call
	// removes it.
	result chan placement
}

// placement is the end of a wait: a grant or an error.
type placement struct {
	grant   *balance.Grant
	err     error
	outcome WaitOutcome
}

// place chooses an endpoint for the request. If none has room, the request waits until one
// has, as far as that is allowed.
func (c *call) place(ctx context.Context) (*balance.Grant, error) {
	g := c.gateway
	request := &balance.Request{
		Route: c.route, Workspace: c.workspace, Service: c.service, Object: c.object,
		Kilobytes: float64(c.bodyLength) / kilobyte, Remaining: remainingTime(ctx),
		Versions: g.Canary.Choose(c.service.Name, c.object), ExcludedEndpoints: c.triedEndpoints,
	}
	if g.Waiting == nil {
		return g.Balancer.Place(request)
	}
	rank := routing.RankOf(c.route, c.workspace)
	changes := g.dispatcher.changes.Load()
	mayTry := g.Waiting.Begin(c.service.Name, rank)
	if mayTry {
		grant, err := g.Balancer.Place(request)
		if err == nil {
			return grant, nil
		}
		g.Waiting.Withdraw(c.service.Name, rank)
		if !balance.LacksCapacity(err) || !g.Balancer.QueuesAllowed(c.service.Name) {
			return nil, err
		}
	}
	w := c.newWaiter(ctx, request, rank)
	cause, displaced := g.Waiting.Add(&w.Request)
	for _, r := range displaced {
		g.dispatcher.refuse(r, waiting.Displaced)
	}
	if cause != "" {
		c.recordWait(rank, WaitOutcome(cause), 0)
		return nil, w.refusal(cause)
	}
	// Room may have appeared after Place found none, and before the request was in the queue.
	g.dispatcher.begin(g, c.service.Name, !mayTry || g.dispatcher.changes.Load() != changes)
	return c.awaitRoom(ctx, w)
}

func (c *call) newWaiter(ctx context.Context, request *balance.Request, rank routing.Rank) *waiter {
	w := &waiter{call: c, request: request, table: c.table, result: make(chan placement, 1)}
	w.deadline = c.gateway.Clock.Now() + remainingTime(ctx)
	run := c.gateway.Balancer.ExpectedRun(request)
	w.Request = waiting.Request{
		Service: c.service.Name, Rank: rank, Bytes: int64(len(c.bufferedBody)),
		Target: c.arrived + c.route.TargetLatency, Deadline: w.deadline, Run: run, Owner: w,
	}
	if !c.isIdempotent() {
		w.Deadline -= clock.Millis((nonIdempotentMargin - 1) * float64(run))
	}
	return w
}

// refresh makes the request follow the configuration in force, in which its key may be
// withdrawn or its home regions may have changed while it waited. The error is a refusal.
func (w *waiter) refresh(table *routing.Table) error {
	if w.table == table {
		return nil
	}
	c := w.call
	w.table = table
	route := table.Match(c.request.Host, c.request.URL.Path)
	if route == nil || route.Name != c.route.Name {
		return reason.NotRun(reason.NotReady, notReadyRetryAfter, "the request's route was withdrawn while it waited for room")
	}
	w.request.Route = route
	if c.workspace == nil {
		return nil
	}
	w.request.Workspace = table.Workspaces[c.workspace.Name]
	if w.request.Workspace == nil || !c.isForwarded && table.Keys[key.DigestOf(c.head.Key)] != w.request.Workspace {
		return reason.NotRun(reason.KeyUnknown, 0, "the request's key was withdrawn while it waited for room")
	}
	return nil
}

// awaitRoom waits for the placement of a request in its queue. The wait ends with ctx, and
// when the caller leaves.
func (c *call) awaitRoom(ctx context.Context, w *waiter) (*balance.Grant, error) {
	var end placement
	select {
	case end = <-w.result:
	case <-ctx.Done():
	case <-c.request.Context().Done():
	}
	isPlaced := end.grant != nil || end.err != nil
	if !isPlaced && !c.gateway.Waiting.Remove(&w.Request) {
		end = <-w.result
	}
	if end.err == nil {
		if outcome, err := c.endOfWait(ctx); err != nil {
			if end.grant != nil {
				cancelGrant(end.grant)
			}
			end = placement{nil, err, outcome}
		}
	}
	waited := c.gateway.Clock.Now() - w.Since
	c.hasWaited, c.waitedForRoom, c.waitingAhead = true, c.waitedForRoom+waited, max(c.waitingAhead, w.Ahead)
	c.recordWait(w.Rank, end.outcome, waited)
	return end.grant, end.err
}

// endOfWait returns why the request may not be sent any more after its wait; nil if it may.
func (c *call) endOfWait(ctx context.Context) (outcome WaitOutcome, err error) {
	switch {
	case c.request.Context().Err() != nil:
		return WaitCallerLeft, reason.NotRun(reason.CallerGone, 0, "the caller went away while the request waited for room")
	case isInterrupted(ctx) || !c.canFinish(ctx):
		return WaitStopped, stoppingRefusal()
	case ctx.Err() != nil:
		return WaitDeadline, reason.NotRun(reason.DeadlinePassed, 0, "the deadline passed while the request waited for room")
	}
	if block := c.gateway.Blocklist.Find(c.digest); block.Ends > 0 {
		return WaitRefused, reason.NotRun(reason.RequestBlocked, block.Remaining, "%d endpoints ended while they ran the same request", block.Ends)
	}
	return "", nil
}

func (c *call) recordWait(rank routing.Rank, outcome WaitOutcome, waited clock.Millis) {
	if c.gateway.RecordWait != nil {
		c.gateway.RecordWait(rank, outcome, waited)
	}
}

// refusal returns the refusal of a request that may not wait, or not any longer.
func (w *waiter) refusal(cause waiting.Cause) *reason.Refusal {
	text := map[waiting.Cause]string{
		waiting.Late:      "no room is expected in time, behind %d requests",
		waiting.Full:      "too many requests wait, %d of them ahead",
		waiting.Displaced: "too many requests wait, of which this one, with %d ahead, was turned away",
	}[cause]
	return reason.NotRun(reason.RegionFull, w.RetryAfter, "no endpoint of %s has room: "+text, w.Service, w.Ahead)
}

// cancelGrant returns a grant that is not used.
func cancelGrant(grant *balance.Grant) {
	grant.Done(balance.Result{Outcome: balance.Cancelled, Running: -1})
}
