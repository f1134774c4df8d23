package gateway

import (
	"context"
	"errors"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/balance"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
)

// sendWithRetries sends the request until a response was relayed or no retry is
// possible. While this VM is cut off from all endpoints, it forwards the request, and also
// if it did not reach an endpoint.
func (c *call) sendWithRetries(ctx context.Context) error {
	for attempts := 1 + c.earlierAttempts; ; attempts++ {
		if c.isCutOff() {
			if alternates := c.alternates(); len(alternates) > 0 {
				return c.forward(ctx, alternates)
			}
			if c.hasLostLinks() {
				return c.finalRefusal(reason.NotRun(reason.NoEndpoint, alternateRetryAfter, "neither this VM nor another one reaches endpoints"))
			}
		}
		err := c.sendOnce(ctx)
		if err == nil {
			return nil
		}
		refusal := caller.AsRefusal(err)
		if refusal.Ran != reason.RanNo {
			c.mayHaveRun = true
			c.ranAttempts++
		}
		if !c.canRetry(ctx, attempts, refusal) {
			if alternates := c.alternatesAfter(ctx, refusal); len(alternates) > 0 {
				return c.forward(ctx, alternates)
			}
			return c.finalRefusal(refusal)
		}
		c.gateway.RetryCounters.Inc(refusal.Reason)
	}
}

// finalRefusal returns the refusal for the caller. If no attempt may have run the request,
// its token goes back to the quota.
func (c *call) finalRefusal(refusal *reason.Refusal) error {
	if !c.mayHaveRun {
		c.refund()
	}
	return refusal.OverAttempts(c.mayHaveRun)
}

// canRetry reports whether to retry, and takes the retry from the budget. A request
// that may have run is retried only if it is idempotent.
func (c *call) canRetry(ctx context.Context, attempts int, refusal *reason.Refusal) bool {
	if c.responseStarted || ctx.Err() != nil || c.isBodyConsumed() || attempts >= max(c.route.MaxAttempts, 1) {
		return false
	}
	if refusal.Ran != reason.RanNo && !c.isIdempotent() {
		return false
	}
	if c.gateway.Blocklist.Find(c.digest).Ends > 0 || !c.canFinish(ctx) {
		return false
	}
	switch refusal.Reason {
	case reason.EndpointFailed, reason.EndpointShed, reason.AnswerCut, reason.AnswerCrossed:
		return c.gateway.RetryBudget.TakeRetry(c.service.Name)
	}
	return false
}

// sendOnce chooses an endpoint, sends the request there and relays the response.
func (c *call) sendOnce(ctx context.Context) (err error) {
	if c.request.Context().Err() != nil {
		return reason.NotRun(reason.CallerGone, 0, "the caller went away")
	}
	grant, err := c.place(ctx)
	if err != nil {
		return err
	}
	c.recordLimitedSend(grant)
	c.sentTo.Store(&grant.Endpoint.ID)
	defer c.sentTo.Store(nil)
	sentAt := c.gateway.Clock.Now()
	status := 0
	var trace endpoint.Trace
	result := balance.Result{Outcome: balance.Cancelled, Running: -1}
	endReach := c.beginReach()
	counted := c.beginUsage(grant)
	defer func() {
		grant.Done(result)
		endReach(status, result.Outcome)
		counted.end(err, &trace)
		took := c.gateway.Clock.Now() - sentAt
		c.recordCanaryResult(grant, result.Outcome, status, took)
		if c.gateway.RecordOutcome != nil {
			c.gateway.RecordOutcome(string(result.Outcome))
		}
		endpointEnded := c.recordEnd(err, grant.Endpoint.Address, sentAt)
		c.attempts = append(c.attempts, attempt{
			startedAfter: sentAt - c.arrived, basis: grant.Basis, outcome: result.Outcome, duration: took,
			status: status, notRunStatus: notRunStatus(err), trace: trace,
			endpointEnded: endpointEnded, endpointLeaving: result.IsLeaving, err: err,
		})
		c.recordOddities(status, &trace)
		if err != nil {
			c.triedEndpoints = append(c.triedEndpoints, grant.Endpoint.ID)
		}
	}()
	ctx, cancel := c.untilLinksAreLost(ctx)
	defer cancel()
	response, err := c.send(ctx, grant, &trace)
	counted.recordAnswer(response)
	if err != nil {
		result = failedResult(err)
		return withCause(ctx, err)
	}
	status = response.Status
	result.Limit, result.IsLeaving, result.Pause = balance.ParseLimit(response.Limit), response.IsLeaving, response.Pause
	parseLoad(response.Load, &result)
	err = c.relayResponse(ctx, response)
	_ = response.Body.Close()
	result.Outcome = responseOutcome(response, err)
	err = withCause(ctx, err)
	if result.Outcome == balance.Answered {
		c.gateway.Blocklist.RecordAnswer(c.digest)
	}
	return err
}

// errLinksLost is the cause with which an attempt is cancelled when this VM has lost its
// links to all endpoints.
var errLinksLost = errors.New("this VM has lost its links to all endpoints")

// untilLinksAreLost returns a context for one attempt. That of a request which may be
// repeated is cancelled when this VM has lost its links to all endpoints.
func (c *call) untilLinksAreLost(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.gateway.Reach == nil || !c.isIdempotent() {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(c.gateway.Reach.Lost(), func() { cancel(errLinksLost) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// withCause returns the error of an attempt, with the reason if it was cancelled because
// this VM has lost its links or ends.
func withCause(ctx context.Context, err error) error {
	if err == nil || context.Cause(ctx) != errLinksLost {
		return interrupted(ctx, err)
	}
	copied := *caller.AsRefusal(err)
	copied.Reason, copied.Detail = reason.EndpointFailed, errLinksLost.Error()
	return &copied
}

// beginReach records that a request is sent to an endpoint. The function that it returns
// records how the request ended; status is 0 if no response was read.
func (c *call) beginReach() (end func(status int, outcome balance.Outcome)) {
	reach := c.gateway.Reach
	if reach == nil {
		return func(int, balance.Outcome) {}
	}
	reach.Begin()
	return func(status int, outcome balance.Outcome) {
		isAnswered := status > 0 || outcome == balance.Shed || outcome == balance.Moved
		reach.End(isAnswered, outcome == balance.Unreachable)
	}
}

// recordEnd records on the blocklist that an attempt ended with its endpoint, if it did, and
// reports whether it did. An endpoint that only closed the connection has not ended.
func (c *call) recordEnd(err error, address string, sentAt clock.Millis) (endpointEnded bool) {
	if _, isClosed := fault.As[*endpoint.EndedError](err); !isClosed || !c.hasEnded(address) {
		return false
	}
	if c.gateway.Blocklist.RecordEnd(c.digest, sentAt) && c.gateway.OnBlock != nil {
		c.gateway.OnBlock()
	}
	return true
}

// hasEnded reports whether an endpoint that closed a connection has ended.
func (c *call) hasEnded(address string) bool {
	reach := c.gateway.Reach
	return reach == nil || reach.HasEnded(context.WithoutCancel(c.request.Context()), address)
}

// recordLimitedSend counts a send to an endpoint that has named a limit.
func (c *call) recordLimitedSend(grant *balance.Grant) {
	if grant.Basis.Limit.Statement == balance.LimitNamed && c.gateway.RecordLimitedSend != nil {
		c.gateway.RecordLimitedSend(len(c.attempts) > 0)
	}
}

// send sends the request to the endpoint of the grant and fills in trace.
func (c *call) send(ctx context.Context, grant *balance.Grant, trace *endpoint.Trace) (*endpoint.Response, error) {
	request := c.outgoingRequest()
	request.Trace = trace
	request.Header.Set(c.gateway.Headers.Endpoint, grant.Endpoint.ID)
	return c.gateway.Client.Send(ctx, grant.Endpoint.Address, request)
}

// outgoingRequest returns the request as it leaves this VM, without the header that names
// an endpoint. What concerns the caller's connection is removed before this VM sets its own
// headers: a caller's Connection header may name any of them.
func (c *call) outgoingRequest() *endpoint.Request {
	header := c.request.Header.Clone()
	endpoint.RemoveConnectionHeaders(header)
	header.Del(c.gateway.Headers.Workspace)
	if c.workspace != nil {
		header.Set(c.gateway.Headers.Workspace, c.workspace.Name)
	}
	return &endpoint.Request{
		Method: c.request.Method,
		Target: c.request.RequestURI,
		Host:   c.request.Host,
		Header: header,
		ID:     c.id,
		Body:   c.newBodyReader(),
		Length: c.bodyLength,
	}
}

// remainingTime returns the time to ctx's deadline.
func remainingTime(ctx context.Context) clock.Millis {
	deadline, _ := ctx.Deadline()
	return clock.FromDuration(time.Until(deadline))
}
