package gateway

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/logging"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/balance"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
)

// attempt is one attempt of a request at an endpoint, kept for the log: the basis of
// the endpoint's choice, and how the attempt ended.
type attempt struct {
	// startedAfter is the time from the request's arrival to the choice of the
	// endpoint.
	startedAfter clock.Millis
	basis        balance.Basis
	outcome      balance.Outcome
	duration     clock.Millis
	// status is the status of the endpoint's answer, or 0; notRunStatus that of an answer
	// which states that the request did not run.
	status, notRunStatus int
	trace                endpoint.Trace
	// endpointEnded reports that the endpoint closed the connection before it answered.
	endpointEnded bool
	// endpointLeaving reports that the endpoint said in its response that it leaves.
	endpointLeaving bool
	err             error
}

// logRequest logs the request's result, after one line for each attempt. Requests
// that were answered in time on the first attempt are sampled.
func (c *call) logRequest(err error) {
	log := c.gateway.Log
	if log == nil {
		return
	}
	kind, isLogged := c.logKind(err)
	if !isLogged || !c.gateway.LogBudget.Allow(kind) {
		return
	}
	for i := range c.attempts {
		log.WithFields(c.attempts[i].logFields(c.id, i+1)).Info("try")
	}
	fields := c.logFields()
	fields["kind"] = kind
	fields["tries"] = len(c.attempts)
	if c.route != nil {
		fields["aim_ms"], fields["timeout_ms"] = c.route.TargetLatency, c.route.Timeout
	}
	if c.head.Deadline > 0 {
		fields["deadline_ms"] = c.head.Deadline
	}
	if err == nil {
		log.WithFields(fields).Info("answered")
		return
	}
	refusal := caller.AsRefusal(err)
	fields["reason"], fields["ran"], fields["retry_after_ms"] = refusal.Reason, refusal.Ran, refusal.RetryAfter
	log.WithFields(fields).Warn(refusal.Detail)
}

// logKind returns the kind of log line whose budget the request takes from, and
// whether the request is logged.
func (c *call) logKind(err error) (kind logging.Kind, isLogged bool) {
	switch {
	case err != nil && caller.AsRefusal(err).Reason == reason.RateExceeded:
		return logging.KindRateLimited, true
	case err != nil && caller.AsRefusal(err).Ran == reason.RanNo:
		return logging.KindRefused, true
	case err != nil:
		return logging.KindOutcomeUnknown, true
	case c.lastStatus() >= http.StatusInternalServerError:
		return logging.KindFailed, true
	case len(c.attempts) > 1:
		return logging.KindRetried, true
	case c.route != nil && c.gateway.Clock.Now()-c.arrived > c.route.TargetLatency:
		return logging.KindSlow, true
	default:
		return logging.KindSampled, logging.IsSampled(c.id)
	}
}

// lastStatus returns the status of the last attempt's response, or 0 without one.
func (c *call) lastStatus() int {
	if len(c.attempts) == 0 {
		return 0
	}
	return c.attempts[len(c.attempts)-1].status
}

// lastOutcome returns the outcome of the last attempt, or "" without one.
func (c *call) lastOutcome() balance.Outcome {
	if len(c.attempts) == 0 {
		return ""
	}
	return c.attempts[len(c.attempts)-1].outcome
}

// logFields returns the fields that describe the attempt in a log line.
func (a *attempt) logFields(id string, number int) logrus.Fields {
	fields := logrus.Fields{
		"request_id": id, "try": number, "at_ms": a.startedAfter, "endpoint": a.basis.Endpoint, "data_centre": a.basis.DataCentre,
		"endpoint_version": a.basis.Version, "directory_revision": a.basis.Revision, "why": a.basis.Why,
		"load": a.basis.Load, "load_age_ms": a.basis.LoadAge, "slots": a.basis.Slots, "expected_ms": int64(a.basis.Expected),
		"is_cold": a.basis.IsCold, "outcome": a.outcome, "took_ms": a.duration,
	}
	if a.basis.Limit.Statement == balance.LimitNamed {
		fields["limit_per_s"] = a.basis.Limit.Rate
	}
	if a.basis.Pace != balance.UsualPace {
		fields["pace"] = a.basis.Pace
	}
	if a.status > 0 {
		fields["status"] = a.status
	}
	if a.notRunStatus > 0 {
		fields["not_run_status"] = a.notRunStatus
	}
	a.addTrace(fields)
	if a.endpointLeaving {
		fields["endpoint_leaving"] = true
	}
	if a.endpointEnded {
		fields["endpoint_ended"] = true
	}
	if a.err != nil {
		fields["error"] = a.err.Error()
	}
	return fields
}

// addTrace adds how the attempt was sent.
func (a *attempt) addTrace(fields logrus.Fields) {
	fields["conn_requests"] = a.trace.ConnRequests
	if a.trace.IsIDRepeated {
		fields["id_repeated"] = true
	}
	if a.trace.Defect != "" {
		fields["answer_defect"] = a.trace.Defect
	}
	if a.trace.DiscardedAnswers > 0 {
		fields["discarded_answers"] = a.trace.DiscardedAnswers
	}
}
