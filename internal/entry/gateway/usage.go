package gateway

import (
	"strconv"
	"strings"

	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/balance"
	"baobabladder.example/baobabladder/internal/policy/usage"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
)

// countedAttempt is an attempt that is counted as usage. Its methods do nothing if it is nil.
type countedAttempt struct {
	gateway *Gateway
	attempt *usage.Attempt
	ending  usage.Ending
}

// beginUsage records that an attempt is sent. It returns nil if usage is not counted or the
// request has no workspace.
func (c *call) beginUsage(grant *balance.Grant) *countedAttempt {
	if c.gateway.Usage == nil || c.workspace == nil {
		return nil
	}
	timing := grant.Timing
	return &countedAttempt{gateway: c.gateway, attempt: c.gateway.Usage.Begin(c.workspace.Name, usage.Expectation{
		RoundTrip: timing.RoundTrip, Wait: timing.Wait, Run: timing.Run, LongRun: timing.LongRun,
	})}
}

// recordAnswer records that the head of a response came, which is nil if the endpoint did not
// run the attempt or has not answered.
func (a *countedAttempt) recordAnswer(response *endpoint.Response) {
	if a == nil || response == nil {
		return
	}
	a.ending.AnsweredAt, a.ending.Pace = a.gateway.Clock.Now(), parsePace(response.Load)
}

// end records that the attempt has ended with err.
func (a *countedAttempt) end(err error, trace *endpoint.Trace) {
	if a == nil {
		return
	}
	a.ending.SentAt = trace.SentAt
	a.ending.IsNotRun = a.ending.AnsweredAt == 0 && err != nil && caller.AsRefusal(err).Ran == reason.RanNo
	a.attempt.End(a.ending)
}

// minPace and maxPace bound the pace that is taken from a load report.
const (
	minPace = 10
	maxPace = 10_000
)

// parsePace returns the pace of a load report, "running,waiting,slots,pace", or 0 if it has
// none.
func parsePace(load string) int {
	parts := strings.Split(load, ",")
	if len(parts) != 4 {
		return 0
	}
	pace, err := strconv.Atoi(strings.TrimSpace(parts[3]))
	if err != nil || pace < minPace || pace > maxPace {
		return 0
	}
	return pace
}
