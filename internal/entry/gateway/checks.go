package gateway

import (
	"context"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/blocklist"
)

const (
	// stoppingRetryAfter is the Retry-After of a VM that is stopping: any other may serve
	// the request at once.
	stoppingRetryAfter = 50 * clock.Millis(1)
	// slowResponseTimes is how many times the route's target latency a slow response takes.
	slowResponseTimes = 2.5
)

// identify sets the digest. It must be called after readBody.
func (c *call) identify() {
	identity := blocklist.Request{
		Method: c.request.Method, Host: c.request.Host, Target: c.request.RequestURI, Body: c.bufferedBody, Length: c.bodyLength,
	}
	if c.workspace != nil {
		identity.Workspace = c.workspace.Name
	}
	if c.streamedBody != nil {
		identity.Body = c.streamedBody.prefix
	}
	c.digest = identity.Digest()
}

// checkBlocklist refuses a request that ends endpoints. While it is not certain that the
// request ends them, the caller is told when to come back. Once it is, the answer is
// final: the same request has run before, and has not been answered.
func (c *call) checkBlocklist() error {
	block, endTrial := c.gateway.Blocklist.Admit(c.digest)
	if block.Ends == 0 {
		c.endTrial = endTrial
		return nil
	}
	c.refund()
	refusal := reason.NotRun(reason.RequestBlocked, block.Remaining, "%d endpoints ended while they ran the same request", block.Ends)
	if block.IsCertain() {
		refusal.Ran, refusal.RetryAfter = reason.RanUnknown, 0
	}
	return refusal
}

// refund returns the request's token to the quota, if this VM took it.
func (c *call) refund() {
	if !c.isForwarded {
		c.gateway.Quota.Refund(c.workspace)
	}
}

// checkStop refuses a request that the VM, which is stopping, may not finish before it ends.
func (c *call) checkStop(ctx context.Context) error {
	if c.canFinish(ctx) {
		return nil
	}
	return stoppingRefusal()
}

func stoppingRefusal() *reason.Refusal {
	return reason.NotRun(reason.Stopping, stoppingRetryAfter, "this VM ends before the request may be answered, use another one")
}

// canFinish reports whether another attempt of the request may be made before the VM ends:
// its deadline passes before the VM interrupts it, or it will usually be answered before that
// and an estimate is enough.
func (c *call) canFinish(ctx context.Context) bool { return c.canFinishIn(remainingTime(ctx)) }

// canFinishIn reports the same for a request with the given time to its deadline.
func (c *call) canFinishIn(remaining clock.Millis) bool {
	stop, isStopping := c.gateway.plannedStop()
	if !isStopping {
		return true
	}
	needed, now := remaining, c.gateway.Clock.Now()
	if c.isEstimateEnough(&stop, now) {
		needed = min(needed, clock.Millis(slowResponseTimes*float64(c.route.TargetLatency)))
	}
	return stop.InterruptAt()-now >= needed
}

// isEstimateEnough reports whether the request may be sent although the end of the VM may
// interrupt it. Callers may repeat an idempotent request, and a request that no other VM may serve
// would only be lost by a refusal. In the first half of a stop one of the two is enough; later,
// when what is left is hardly more than the estimate, both are needed. A body that is forwarded while it is received may take any time.
func (c *call) isEstimateEnough(stop *PlannedStop, now clock.Millis) bool {
	if c.streamedBody != nil || c.route.TargetLatency <= 0 {
		return false
	}
	if isLate := now >= (stop.Begin+stop.End)/2; isLate {
		return c.isIdempotent() && !c.gateway.hasOtherVM()
	}
	return c.isIdempotent() || !c.gateway.hasOtherVM()
}

// hasOtherVM reports whether another VM serves callers.
func (g *Gateway) hasOtherVM() bool {
	return g.Alternates != nil && len(g.Alternates(1, func(string) bool { return true })) > 0
}
