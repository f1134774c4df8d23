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
	// maxWholeAnswer bounds answers that are read whole before their first byte goes
	// to the caller, so that a cut one can be tried again or refused.
	maxWholeAnswer = 256 << 10
	copyBytes      = 32 << 10
)

// run sends the request until an answer was passed on or no try is left.
func (c *call) run(ctx context.Context) error {
	for tries := 1; ; tries++ {
		err := c.try(ctx)
		if err == nil {
			return nil
		}
		refusal := caller.AsRefusal(err)
		c.doubtful = c.doubtful || refusal.Ran != reason.RanNo
		if !c.mayTryAgain(ctx, tries, refusal) {
			return c.honest(refusal)
		}
		c.gateway.RetryCounters.Inc(refusal.Reason)
	}
}

// honest returns a refusal that says "not run" only if that is true of every try.
func (c *call) honest(refusal *reason.Refusal) error {
	if !c.doubtful {
		c.gateway.Quota.Return(c.workspace)
		return refusal
	}
	if refusal.Ran != reason.RanNo {
		return refusal
	}
	copied := *refusal
	copied.Ran = reason.RanUnknown
	return &copied
}

// mayTryAgain decides on another try. A request that may have run is sent again
// only if running twice does no harm.
func (c *call) mayTryAgain(ctx context.Context, tries int, refusal *reason.Refusal) bool {
	if c.answering || ctx.Err() != nil || c.isSpent() || tries >= max(c.route.MaxAttempts, 1) {
		return false
	}
	if refusal.Ran != reason.RanNo && !c.mayRepeat() {
		return false
	}
	switch refusal.Reason {
	case reason.EndpointFailed, reason.EndpointShed, reason.AnswerCut, reason.AnswerCrossed:
		return c.gateway.RetryBudget.TakeRetry(c.service.Name)
	}
	return false
}

// try sends the request once.
func (c *call) try(ctx context.Context) (err error) {
	if c.request.Context().Err() != nil {
		return reason.NotRun(reason.CallerGone, 0, "the caller went away")
	}
	grant, err := c.gateway.Balancer.Place(&balance.Request{
		Route: c.route, Workspace: c.workspace, Service: c.service, Object: c.object,
		Kilobytes: float64(c.length) / kilobyte, Remaining: left(ctx),
		Versions: c.gateway.Canary.Choose(c.service.Name), ExcludedEndpoints: c.tried,
	})
	if err != nil {
		return err
	}
	sent := c.gateway.Clock.Now()
	status := 0
	result := balance.Result{Outcome: balance.Cancelled, Running: -1}
	defer func() {
		grant.Done(result)
		took := c.gateway.Clock.Now() - sent
		c.judge(grant, result.Outcome, took)
		if c.gateway.RecordOutcome != nil {
			c.gateway.RecordOutcome(string(result.Outcome))
		}
		c.steps = append(c.steps, step{at: sent - c.arrived, basis: grant.Basis, end: result.Outcome, took: took, status: status, err: err})
		if err != nil {
			c.tried = append(c.tried, grant.Endpoint.ID)
		}
	}()
	answer, err := c.send(ctx, grant)
	if err != nil {
		result.Outcome, result.Running, result.Waiting = failure(err)
		return err
	}
	status = answer.Status
	result.Running, result.Waiting = parseLoad(answer.Load)
	err = c.pass(ctx, answer)
	_ = answer.Body.Close()
	result.Outcome = outcome(answer, err)
	return err
}

// judge counts the answer for the service's version move.
func (c *call) judge(grant *balance.Grant, outcome balance.Outcome, took clock.Millis) {
	if grant.IsCold {
		return
	}
	bad := 0.0
	switch {
	case outcome == balance.Failed:
		bad = 1
	case outcome == balance.DeadlineExceeded && !grant.IsPastTypical(took):
		// The request had little time left, which is no fault of the endpoint.
		return
	case (outcome == balance.DeadlineExceeded || outcome == balance.Answered) && grant.IsSlow(took):
		bad = canary.SlowWeight
	case outcome == balance.DeadlineExceeded:
		bad = canary.LateWeight
	case outcome != balance.Answered:
		return
	}
	c.gateway.Canary.Record(c.service.Name, grant.Endpoint.Version, bad)
}

func (c *call) send(ctx context.Context, grant *balance.Grant) (*endpoint.Response, error) {
	header := c.request.Header.Clone()
	header.Del(c.gateway.Headers.Workspace)
	if c.workspace != nil {
		header.Set(c.gateway.Headers.Workspace, c.workspace.Name)
	}
	header.Set(c.gateway.Headers.Endpoint, grant.Endpoint.ID)
	return c.gateway.Client.Send(ctx, grant.Endpoint.Address, &endpoint.Request{
		Method: c.request.Method,
		Target: c.request.RequestURI,
		Host:   c.request.Host,
		Header: header,
		ID:     c.id,
		Body:   c.body(),
		Length: c.length,
	})
}

// left returns the time to ctx's deadline.
func left(ctx context.Context) clock.Millis {
	deadline, _ := ctx.Deadline()
	return clock.FromDuration(time.Until(deadline))
}

// failure tells the balancer how a request ended that got no answer.
func failure(err error) (outcome balance.Outcome, running, waiting int) {
	if shed, ok := fault.As[*endpoint.NotRunError](err); ok {
		running, waiting = parseLoad(shed.Load)
		if shed.Status == http.StatusMisdirectedRequest {
			return balance.Moved, running, waiting
		}
		return balance.Shed, running, waiting
	}
	refusal := caller.AsRefusal(err)
	switch refusal.Reason {
	case reason.DeadlinePassed:
		return balance.DeadlineExceeded, -1, 0
	case reason.CallerGone, reason.BodyShort, reason.BodyTooSlow, reason.BodyTooLarge:
		return balance.Cancelled, -1, 0
	}
	if refusal.Ran == reason.RanNo {
		return balance.Unreachable, -1, 0
	}
	return balance.Failed, -1, 0
}

func outcome(answer *endpoint.Response, err error) balance.Outcome {
	if err != nil {
		result, _, _ := failure(err)
		return result
	}
	if answer.Status >= http.StatusInternalServerError {
		return balance.Failed
	}
	return balance.Answered
}

// parseLoad reads an endpoint's "running,waiting,slots"; running is -1 without a
// report.
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

// pass passes an answer on to the caller. One whose length is not known, or that
// is small, is read whole first.
func (c *call) pass(ctx context.Context, answer *endpoint.Response) error {
	if c.request.Method == http.MethodHead {
		c.writeHead(answer, answer.Length)
		return nil
	}
	if answer.Length > maxWholeAnswer {
		return c.passStream(answer, nil)
	}
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxWholeAnswer))
	if err != nil {
		return err
	}
	if answer.Length < 0 && len(content) == maxWholeAnswer {
		return c.passStream(answer, content)
	}
	if answer.Status >= http.StatusInternalServerError && c.mayAnswerBetter(ctx) {
		return reason.MayHaveRun(reason.EndpointFailed, "the endpoint answered with status %d", answer.Status)
	}
	c.writeHead(answer, int64(len(content)))
	if _, err := c.w.Write(content); err != nil {
		return errCallerGone
	}
	return nil
}

// mayAnswerBetter says whether a failure that an endpoint gave is worth another
// try.
func (c *call) mayAnswerBetter(ctx context.Context) bool {
	return c.mayRepeat() && len(c.tried)+1 < c.route.MaxAttempts && left(ctx) > c.route.TargetLatency
}

var errCallerGone error = &reason.Refusal{Reason: reason.CallerGone, Ran: reason.RanYes, Detail: "the caller went away before its answer was whole"}

func (c *call) passStream(answer *endpoint.Response, first []byte) error {
	c.writeHead(answer, answer.Length)
	if _, err := c.w.Write(first); err != nil {
		return errCallerGone
	}
	buffer := make([]byte, copyBytes)
	for {
		n, err := answer.Body.Read(buffer)
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

// writeHead writes an answer's head. A negative length is not declared.
func (c *call) writeHead(answer *endpoint.Response, length int64) {
	c.answering = true
	header := c.w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	if header.Get("Content-Type") == "" {
		// net/http would guess one.
		header["Content-Type"] = nil
	}
	if length >= 0 && answer.Status != http.StatusNoContent && answer.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.w.WriteHeader(answer.Status)
}
