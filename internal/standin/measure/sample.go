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

// The outcomes of a request.
const (
	Answered Outcome = "answered"
	// Refused is a refusal with a reason.
	Refused Outcome = "refused"
	// Failed covers everything else: no response, a timeout, or an endpoint's response
	// with a status other than 200.
	Failed Outcome = "failed"
)

// Sample is the outcome of one request.
type Sample struct {
	*Request
	Outcome Outcome
	Reason  reason.Reason
	// LatencyMicros is the latency that the caller saw, retries included, in
	// microseconds.
	LatencyMicros int64
}

// InTime reports whether the request was answered within its deadline.
func (s *Sample) InTime() bool {
	return s.Outcome == Answered && s.LatencyMicros <= int64(s.Deadline)*1000
}

// samples collects the outcomes of requests.
type samples struct {
	mu sync.Mutex
	// completed is in the order in which the requests completed. Guarded by mu.
	completed []Sample
	inFlight  atomic.Int64
}

func (s *samples) add(sample Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completed = append(s.completed, sample)
}

// classify returns the outcome of a request, and the reason if it was not answered,
// from the last entry VM's reply or the last error.
func classify(response *vmResponse, err error) (Outcome, reason.Reason) {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return Failed, "caller_timeout"
	case err != nil:
		return Failed, "no_answer"
	case response.reason != "":
		return Refused, response.reason
	case response.status != http.StatusOK:
		return Failed, "endpoint_status"
	}
	return Answered, ""
}
