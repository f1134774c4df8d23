package gateway

import (
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

// recordAnswer records that the head of a response came. response is nil if the endpoint did
// not run the attempt or has not answered.
func (a *countedAttempt) recordAnswer(response *endpoint.Response) {
	if a == nil || response == nil {
		return
	}
	a.ending.AnsweredAt, a.ending.Load = a.gateway.Clock.Now(), readUsageLoad(response.Load)
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

// readUsageLoad returns what a load report says of the endpoint's occupancy and pace.
func readUsageLoad(report string) (load usage.Load) {
	var stated balance.Result
	parseLoad(report, &stated)
	if stated.Running < 0 || stated.Slots == 0 {
		return usage.Load{}
	}
	load = usage.Load{Occupancy: usage.HasNoFreeSlot, Pace: stated.Pace}
	if stated.Waiting == 0 && stated.Running < stated.Slots {
		load.Occupancy = usage.HasFreeSlot
	}
	return load
}
