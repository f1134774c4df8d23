package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/balance"
	"baobabladder.example/baobabladder/internal/policy/canary"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
)

const (
	// maxBufferedResponse is the size in bytes up to which a response is read into
	// memory before its first byte is sent to the caller, so that a truncated one can
	// be retried or refused.
	maxBufferedResponse = 256 << 10
	copyBufferBytes     = 32 << 10
)

// sendWithRetries sends the request until a response was relayed or no retry is
// possible. While this VM is cut off from all endpoints, it forwards the request, and also
// if it did not reach an endpoint.
func (c *call) sendWithRetries(ctx context.Context) error {
	for attempts := 1 + c.earlierAttempts; ; attempts++ {
		if c.isCutOff() {
			if helpers := c.helpers(); len(helpers) > 0 {
				return c.forward(ctx, helpers)
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
			if helpers := c.helpersAfter(ctx, refusal); len(helpers) > 0 {
				return c.forward(ctx, helpers)
			}
			return c.finalRefusal(refusal)
		}
		c.gateway.RetryCounters.Inc(refusal.Reason)
	}
}

// finalRefusal returns the refusal for the caller, which states "not run" only if that
// holds for every attempt. In that case the request's token goes back to the quota.
func (c *call) finalRefusal(refusal *reason.Refusal) error {
	if !c.mayHaveRun {
		c.refund()
		return refusal
	}
	if refusal.Ran != reason.RanNo {
		return refusal
	}
	copied := *refusal
	copied.Ran = reason.RanUnknown
	return &copied
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
	grant, err := c.gateway.Balancer.Place(&balance.Request{
		Route: c.route, Workspace: c.workspace, Service: c.service, Object: c.object,
		Kilobytes: float64(c.bodyLength) / kilobyte, Remaining: remainingTime(ctx),
		Versions: c.gateway.Canary.Choose(c.service.Name, c.object), ExcludedEndpoints: c.triedEndpoints,
	})
	if err != nil {
		return err
	}
	c.recordLimitedSend(grant)
	sentAt := c.gateway.Clock.Now()
	status := 0
	result := balance.Result{Outcome: balance.Cancelled, Running: -1}
	endReach := c.beginReach()
	defer func() {
		grant.Done(result)
		endReach(status > 0 || result.Outcome == balance.Shed || result.Outcome == balance.Moved, result.Outcome == balance.Unreachable)
		took := c.gateway.Clock.Now() - sentAt
		c.recordCanaryResult(grant, result.Outcome, status, took)
		if c.gateway.RecordOutcome != nil {
			c.gateway.RecordOutcome(string(result.Outcome))
		}
		endpointEnded := c.recordEnd(err, sentAt)
		c.attempts = append(c.attempts, attempt{
			startedAfter: sentAt - c.arrived, basis: grant.Basis, outcome: result.Outcome, duration: took, status: status,
			endpointEnded: endpointEnded, endpointLeaving: result.IsLeaving, err: err,
		})
		if err != nil {
			c.triedEndpoints = append(c.triedEndpoints, grant.Endpoint.ID)
		}
	}()
	ctx, cancel := c.untilLinksAreLost(ctx)
	defer cancel()
	response, err := c.send(ctx, grant)
	if err != nil {
		result = failedResult(err)
		return linksLost(ctx, err)
	}
	status = response.Status
	result.Limit, result.IsLeaving, result.Pause = balance.ParseLimit(response.Limit), response.IsLeaving, response.Pause
	result.Running, result.Waiting = parseLoad(response.Load)
	err = c.relayResponse(ctx, response)
	_ = response.Body.Close()
	result.Outcome = responseOutcome(response, err)
	err = linksLost(ctx, err)
	if err == nil && response.Status < http.StatusInternalServerError {
		c.gateway.Blocklist.RecordAnswer(c.digest)
	}
	return err
}

// errLinksLost is the cause with which an attempt is cancelled when this VM has lost its
// links to all endpoints.
var errLinksLost error = reason.MayHaveRun(reason.EndpointFailed, "this VM has lost its links to all endpoints")

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

// linksLost returns errLinksLost in place of the error of an attempt that was cancelled for
// it, and any other error unchanged.
func linksLost(ctx context.Context, err error) error {
	if err != nil && context.Cause(ctx) == errLinksLost {
		return errLinksLost
	}
	return err
}

// beginReach records that a request is sent to an endpoint. The function that it returns
// records how the request ended.
func (c *call) beginReach() (end func(isAnswered, isUnreached bool)) {
	if c.gateway.Reach == nil {
		return func(bool, bool) {}
	}
	c.gateway.Reach.Begin()
	return c.gateway.Reach.End
}

// recordEnd records on the blocklist that an attempt ended with its endpoint, if it did, and
// reports whether it did.
func (c *call) recordEnd(err error, sentAt clock.Millis) (endpointEnded bool) {
	if _, endpointEnded = fault.As[*endpoint.EndedError](err); !endpointEnded {
		return false
	}
	if c.gateway.Blocklist.RecordEnd(c.digest, sentAt) && c.gateway.OnBlock != nil {
		c.gateway.OnBlock()
	}
	return true
}

// recordCanaryResult counts an attempt for the service's version move. Attempts at cold
// endpoints, which are still warming up, don't count. status is 0 without a response.
func (c *call) recordCanaryResult(grant *balance.Grant, outcome balance.Outcome, status int, took clock.Millis) {
	if grant.IsCold {
		return
	}
	if result, ok := canaryResult(grant, outcome, status, took); ok {
		c.gateway.Canary.Record(c.service.Name, grant.Endpoint.Version, result)
	}
}

// timing compares the time that an attempt took with the usual one; see balance.Grant.
type timing interface {
	IsTight() bool
	IsPastTypical(took clock.Millis) bool
	IsSlow(took clock.Millis) bool
}

// canaryResult returns what an attempt shows about the version that ran it; ok is false if
// it shows nothing.
func canaryResult(timing timing, outcome balance.Outcome, status int, took clock.Millis) (result canary.Result, ok bool) {
	result.IsTight = timing.IsTight()
	// An endpoint may answer itself that the deadline has passed.
	isLate := outcome == balance.DeadlineExceeded || outcome == balance.Failed && status == http.StatusGatewayTimeout
	switch {
	case isLate && !timing.IsPastTypical(took):
		// The deadline passed before an endpoint usually responds: the request came
		// with too little time left, which is not the endpoint's fault.
		return canary.Result{}, false
	case (isLate || outcome == balance.Answered) && timing.IsSlow(took):
		result.Outcome = canary.Slow
	case isLate:
		result.Outcome = canary.Late
	case outcome == balance.Failed && status >= http.StatusInternalServerError:
		result.Outcome = canary.Failed
	case outcome == balance.Failed:
		result.Outcome = canary.Ended
	case outcome != balance.Answered:
		return canary.Result{}, false
	}
	return result, true
}

// recordLimitedSend counts a send to an endpoint that has named a limit.
func (c *call) recordLimitedSend(grant *balance.Grant) {
	if grant.Basis.Limit.Statement == balance.LimitNamed && c.gateway.RecordLimitedSend != nil {
		c.gateway.RecordLimitedSend(len(c.attempts) > 0)
	}
}

func (c *call) send(ctx context.Context, grant *balance.Grant) (*endpoint.Response, error) {
	request := c.outgoingRequest()
	request.Header.Set(c.gateway.Headers.Endpoint, grant.Endpoint.ID)
	return c.gateway.Client.Send(ctx, grant.Endpoint.Address, request)
}

// outgoingRequest returns the request as it leaves this VM, without the header that names
// an endpoint.
func (c *call) outgoingRequest() *endpoint.Request {
	header := c.request.Header.Clone()
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

// failedResult returns the result of an attempt without a complete response.
func failedResult(err error) balance.Result {
	notRun, ok := fault.As[*endpoint.NotRunError](err)
	if !ok {
		return balance.Result{Outcome: failureOutcome(err), Running: -1}
	}
	result := balance.Result{Outcome: balance.Shed, IsLeaving: notRun.IsLeaving, Pause: notRun.Pause}
	if notRun.Status == http.StatusMisdirectedRequest {
		result.Outcome = balance.Moved
	}
	result.Running, result.Waiting = parseLoad(notRun.Load)
	if notRun.Limit != "" {
		// An endpoint that did not run a request may leave its limit out.
		result.Limit = balance.ParseLimit(notRun.Limit)
	}
	return result
}

// failureOutcome returns the outcome of an attempt that got no response, or only a part
// of one.
func failureOutcome(err error) balance.Outcome {
	refusal := caller.AsRefusal(err)
	switch refusal.Reason {
	case reason.DeadlinePassed:
		return balance.DeadlineExceeded
	case reason.CallerGone, reason.BodyShort, reason.BodyTooSlow, reason.BodyTooLarge:
		return balance.Cancelled
	}
	if refusal.Ran == reason.RanNo {
		return balance.Unreachable
	}
	return balance.Failed
}

func responseOutcome(response *endpoint.Response, err error) balance.Outcome {
	if err != nil {
		return failureOutcome(err)
	}
	if response.Status >= http.StatusInternalServerError {
		return balance.Failed
	}
	return balance.Answered
}

// parseLoad parses an endpoint's load report, "running,waiting,slots". running is -1
// if there is no valid report.
func parseLoad(load string) (running, waiting int) {
	parts := strings.Split(load, ",")
	if len(parts) < 2 {
		return -1, 0
	}
	running, err := strconv.Atoi(strings.TrimSpace(parts[0]))
	if err != nil || running < 0 {
		return -1, 0
	}
	waiting, err = strconv.Atoi(strings.TrimSpace(parts[1]))
	if err != nil || waiting < 0 {
		return -1, 0
	}
	return running, waiting
}

// relayResponse relays a response to the caller. A response of up to
// maxBufferedResponse bytes is read whole first; a longer one is streamed.
func (c *call) relayResponse(ctx context.Context, response *endpoint.Response) error {
	if c.request.Method == http.MethodHead {
		c.writeResponseHead(response, response.Length)
		return nil
	}
	if response.Length > maxBufferedResponse {
		return c.relayStream(response, nil)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedResponse))
	if err != nil {
		return err
	}
	if response.Length < 0 && len(content) == maxBufferedResponse {
		return c.relayStream(response, content)
	}
	if response.Status >= http.StatusInternalServerError && c.canRetryFailedResponse(ctx) {
		return reason.MayHaveRun(reason.EndpointFailed, "the endpoint answered with status %d", response.Status)
	}
	c.writeResponseHead(response, int64(len(content)))
	if _, err := c.w.Write(content); err != nil {
		return errCallerGone
	}
	return nil
}

// canRetryFailedResponse reports whether to retry after a response with a 5xx status:
// the request is idempotent and was not forwarded, an attempt is left, and so is more than
// the route's target latency.
func (c *call) canRetryFailedResponse(ctx context.Context) bool {
	return c.forwardedTo == "" && c.isIdempotent() && c.earlierAttempts+len(c.triedEndpoints)+1 < c.route.MaxAttempts && remainingTime(ctx) > c.route.TargetLatency
}

var errCallerGone error = &reason.Refusal{Reason: reason.CallerGone, Ran: reason.RanYes, Detail: "the caller went away before its answer was whole"}

func (c *call) relayStream(response *endpoint.Response, prefix []byte) error {
	c.writeResponseHead(response, response.Length)
	if _, err := c.w.Write(prefix); err != nil {
		return errCallerGone
	}
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if _, err := c.w.Write(buffer[:n]); err != nil {
				return errCallerGone
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// writeResponseHead writes a response's status and headers. A negative length is not
// declared.
func (c *call) writeResponseHead(response *endpoint.Response, length int64) {
	c.responseStarted = true
	header := c.w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	if header.Get("Content-Type") == "" {
		// Keeps net/http from guessing a type.
		header["Content-Type"] = nil
	}
	if length >= 0 && response.Status != http.StatusNoContent && response.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.w.WriteHeader(response.Status)
}
