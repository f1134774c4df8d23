package usage

import (
	"context"
	"net/http"
	"strconv"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	policy "baobabladder.example/baobabladder/internal/policy/usage"
)

// send sends the oldest frozen window that needs a call, if one may be made now.
func (s *Sender) send(ctx context.Context) {
	term, until, isHeld := s.Duty.Tenure()
	if !isHeld {
		s.Scope.Gauge("usage_oldest_frozen_seconds").Update(0)
		return
	}
	s.stored(term)
	frozen, found := s.oldest()
	age := clock.Millis(0)
	if found {
		age = max(s.ageOf(frozen.Window), 0)
	}
	s.Scope.Gauge("usage_oldest_frozen_seconds").Update(float64(age) / float64(clock.Second))
	if !found || s.Clock.Now() < s.nextCallAt() || s.Clock.Boottime() > until-CallTimeout {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout.Duration())
	defer cancel()
	status, err := s.Client.Report(ctx, Report{
		Holder: s.Self, Term: term, Body: []byte(frozen.Body),
		MaySend: func() bool { return s.Clock.Boottime() < until },
	})
	s.record(&frozen, term, status, err)
}

// oldest returns the oldest frozen window that is neither acknowledged nor given up.
func (s *Sender) oldest() (frozen policy.Frozen, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, frozen := range s.progress.Frozen {
		if !s.isDone(frozen.Window) {
			return frozen, true
		}
	}
	return policy.Frozen{}, false
}

// nextCallAt returns when the next call may be made.
func (s *Sender) nextCallAt() clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryAt
}

// record evaluates the answer to a report.
func (s *Sender) record(frozen *policy.Frozen, term int64, status int, err error) {
	outcome := "no_answer"
	if err == nil {
		outcome = strconv.Itoa(status)
	}
	s.Scope.Tagged(map[string]string{"status": outcome}).Counter("usage_calls").Inc(1)
	line := s.Log.WithFields(logrus.Fields{"window_id": frozen.Window, "term": term, "status": outcome})
	if err == nil && status >= http.StatusOK && status < http.StatusMultipleChoices {
		s.setDone(frozen.Window)
		s.count("acknowledged", 1)
		if s.Schedule.IsLate(frozen.Window, s.Ledger.Wall()) {
			s.count("late", 1)
			line.WithField("age_ms", s.ageOf(frozen.Window)).Warn("a usage window was reported late")
			return
		}
		line.Info("reported a usage window")
		return
	}
	rejections := s.delayRetry(err == nil && isRejection(status))
	switch {
	case rejections == 0:
		line.WithError(err).Warn("reporting a usage window failed; retrying")
	case rejections < maxRejections:
		line.Error("the metering interface rejected a usage window; retrying")
	default:
		s.giveUp(frozen.Window, "the metering interface rejects it")
	}
}

// delayRetry sets when the next call may be made after one that failed, and returns how often
// the window was rejected so far, or 0 if it was not rejected now.
func (s *Sender) delayRetry(isRejected bool) (rejections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pause = min(max(2*s.pause, firstRetryPause), maxRetryPause)
	s.retryAt = s.Clock.Now() + max(s.pause, s.callInterval())
	if !isRejected {
		return 0
	}
	s.rejections++
	return s.rejections
}

// isRejection reports whether a status says that the same report will not be taken later
// either.
func isRejection(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout
}
