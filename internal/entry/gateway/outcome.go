package gateway

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/balance"
	"baobabladder.example/baobabladder/internal/policy/canary"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
)

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
	HasTypicalTime() bool
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
	case outcome == balance.Answered && !timing.HasTypicalTime():
		// It would not have counted if it had been late, so it must not count as good.
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
	parseLoad(notRun.Load, &result)
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
	case reason.BadRequest, reason.CallerGone, reason.BodyShort, reason.BodyTooSlow, reason.BodyTooLarge:
		return balance.Cancelled
	}
	if refusal.Ran == reason.RanNo {
		return balance.Unreachable
	}
	return balance.Failed
}

// responseOutcome returns the outcome of an attempt that got a response; err is the error of
// relaying it. A response that was withheld counts by its status.
func responseOutcome(response *endpoint.Response, err error) balance.Outcome {
	if _, isWithheld := fault.As[*unstatedPromiseError](err); err != nil && !isWithheld {
		return failureOutcome(err)
	}
	if response.Status >= http.StatusInternalServerError {
		return balance.Failed
	}
	return balance.Answered
}

// minPace and maxPace bound the pace that an endpoint can state.
const (
	minPace = 10
	maxPace = 10_000
)

// parseLoad parses an endpoint's load report, "running,waiting,slots" or
// "running,waiting,slots,pace", into the result. Running is -1 if there is no valid report.
// A number of slots or a pace that makes no sense is left out of an otherwise valid one.
func parseLoad(load string, result *balance.Result) {
	running, rest, _ := strings.Cut(load, ",")
	waiting, rest, _ := strings.Cut(rest, ",")
	slots, rest, _ := strings.Cut(rest, ",")
	pace, _, _ := strings.Cut(rest, ",")
	var isRunning, isWaiting bool
	result.Running, isRunning = parseFigure(running, 0, math.MaxInt32)
	result.Waiting, isWaiting = parseFigure(waiting, 0, math.MaxInt32)
	if !isRunning || !isWaiting {
		result.Running, result.Waiting = -1, 0
		return
	}
	result.Slots, _ = parseFigure(slots, 1, math.MaxInt32)
	if figure, err := strconv.ParseFloat(strings.TrimSpace(pace), 64); err == nil && figure >= minPace && figure <= maxPace {
		result.Pace = int(math.Round(figure))
	}
}

// parseFigure parses one figure of a load report. It is 0 if it is not within the bounds.
func parseFigure(text string, lowest, highest int) (figure int, ok bool) {
	figure, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || figure < lowest || figure > highest {
		return 0, false
	}
	return figure, true
}

// notRunStatus returns the status with which the endpoint stated that it did not run the
// request, or 0.
func notRunStatus(err error) int {
	if notRun, ok := fault.As[*endpoint.NotRunError](err); ok {
		return notRun.Status
	}
	return 0
}

// Oddity is what is unusual about an attempt, as a label of a metric.
type Oddity string

// Values of Oddity. Each endpoint.Defect is one too.
const (
	// DiscardedAnswer is an answer to another request that came first.
	DiscardedAnswer Oddity = "discarded_answer"
	// RepeatedID is an id that a kept connection had carried before, which was not used.
	RepeatedID Oddity = "repeated_id"
	// UnstatedPromise is an answer whose status promises that the request did not run,
	// without the endpoint's statement that it did not.
	UnstatedPromise Oddity = "unstated_promise"
)

// recordOddities counts what is unusual about an attempt; status is that of the endpoint's
// answer, or 0.
func (c *call) recordOddities(status int, trace *endpoint.Trace) {
	if c.gateway.RecordOddity == nil {
		return
	}
	if trace.DiscardedAnswers > 0 {
		c.gateway.RecordOddity(DiscardedAnswer)
	}
	if trace.IsIDRepeated {
		c.gateway.RecordOddity(RepeatedID)
	}
	if trace.Defect != "" {
		c.gateway.RecordOddity(Oddity(trace.Defect))
	}
	if isPromise(status) {
		c.gateway.RecordOddity(UnstatedPromise)
	}
}

// isPromise reports whether a caller takes the status for the promise that its request has
// not run and will not.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
