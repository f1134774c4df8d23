package measure

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"

	"baobabladder.example/baobabladder/internal/base/reason"
)

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes.
const (
	Answered Outcome = "answered"
	// Refused is a refusal with a reason; Failed is anything else, no answer
	// included.
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
)

// Sample is one request's end.
type Sample struct {
	*Request
	Outcome Outcome
	Reason  reason.Reason
	// Micros is the caller's latency, resends included.
	LatencyMicros int64
}

// InTime says that the answer came within the route's deadline.
func (s *Sample) InTime() bool {
	return s.Outcome == Answered && s.LatencyMicros <= int64(s.Deadline)*1000
}

// samples collects the ends of requests.
type samples struct {
	mu sync.Mutex
	// ended is in the order of the ends. Guarded by mu.
	ended []Sample
	open  atomic.Int64
}

func (s *samples) add(sample Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = append(s.ended, sample)
}

// endOf returns how a request ended, given what the last entry VM said.
func endOf(got *answer, err error) (Outcome, reason.Reason) {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return Failed, "caller_timeout"
	case err != nil:
		return Failed, "no_answer"
	case got.reason != "":
		return Refused, got.reason
	case got.status != http.StatusOK:
		return Failed, "endpoint_status"
	}
	return Answered, ""
}
