package gateway

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/logging"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/balance"
	"baobabladder.example/baobabladder/internal/wire/caller"
)

// step is one try of a request: what was decided, on what, and how it ended.
type step struct {
	// at is when the endpoint was chosen, after the request's arrival.
	at     clock.Millis
	basis  balance.Basis
	end    balance.Outcome
	took   clock.Millis
	status int
	err    error
}

// report logs what became of the request, with one line for each try. Requests
// that went well are sampled.
func (c *call) report(err error) {
	log := c.gateway.Log
	if log == nil {
		return
	}
	kind, keep := c.kind(err)
	if !keep || !c.gateway.LogBudget.Allow(kind) {
		return
	}
	for i := range c.steps {
		log.WithFields(c.steps[i].fields(c.id, i+1)).Info("try")
	}
	fields := c.fields()
	fields["kind"] = kind
	fields["tries"] = len(c.steps)
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

// kind says which budget pays for the request's lines, and whether it is logged.
func (c *call) kind(err error) (kind logging.Kind, keep bool) {
	switch {
	case err != nil && caller.AsRefusal(err).Reason == reason.RateExceeded:
		return logging.KindRateLimited, true
	case err != nil && caller.AsRefusal(err).Ran == reason.RanNo:
		return logging.KindRefused, true
	case err != nil:
		return logging.KindOutcomeUnknown, true
	case c.status() >= http.StatusInternalServerError:
		return logging.KindFailed, true
	case len(c.steps) > 1:
		return logging.KindRetried, true
	case c.route != nil && c.gateway.Clock.Now()-c.arrived > c.route.TargetLatency:
		return logging.KindSlow, true
	default:
		return logging.KindSampled, logging.IsSampled(c.id)
	}
}

// status is that of the answer that was passed on, 0 without one.
func (c *call) status() int {
	if len(c.steps) == 0 {
		return 0
	}
	return c.steps[len(c.steps)-1].status
}

// fields are what a log line says of a try.
func (s *step) fields(id string, number int) logrus.Fields {
	fields := logrus.Fields{
		"request_id": id, "try": number, "at_ms": s.at, "endpoint": s.basis.Endpoint, "data_centre": s.basis.DataCentre,
		"endpoint_version": s.basis.Version, "directory_revision": s.basis.Revision, "why": s.basis.Why,
		"load": s.basis.Load, "load_age_ms": s.basis.LoadAge, "slots": s.basis.Slots, "expected_ms": int64(s.basis.Expected),
		"is_cold": s.basis.Cold, "outcome": s.end, "took_ms": s.took,
	}
	if s.status > 0 {
		fields["status"] = s.status
	}
	if s.err != nil {
		fields["error"] = s.err.Error()
	}
	return fields
}
