// Package caller speaks HTTP to callers. It accepts their connections, bounds
// what they may send and how slowly, reads their keys, says how a refusal reads
// and which VMs to use, and stops without cutting a request.
package caller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/metric"
	"baobabladder.example/baobabladder/internal/base/reason"
)

// Headers of a refusal, beside its JSON body.
const (
	ReasonHeader = "Refusal-Reason"
	RanHeader    = "Request-Ran"
)

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Reason       reason.Reason `json:"reason"`
	Ran          reason.Ran    `json:"ran"`
	RetryAfterMs clock.Millis  `json:"retry_after_ms,omitempty"`
	Detail       string        `json:"detail"`
}

// RefusalWriter answers, counts and logs refusals, all by the same word. Its zero
// value only answers.
type RefusalWriter struct {
	// Counters is the metric "refusals".
	Counters *metric.ReasonCounters
	Log      logrus.FieldLogger
	// Exact gives Retry-After in fractions of a second, and refusals that are not
	// the request's own fault one of two statuses: 503 if the request has not run
	// and 502 or 504 if it may have.
	GatewayStatuses bool
}

// Refuse answers with a refusal, and counts and logs it with fields.
func (r *RefusalWriter) Refuse(w http.ResponseWriter, err error, fields logrus.Fields) {
	refusal := AsRefusal(err)
	r.Record(refusal, fields)
	if !r.GatewayStatuses {
		Refuse(w, refusal)
		return
	}
	write(w, refusal, exactStatus(refusal), strconv.FormatFloat(float64(refusal.RetryAfter)/float64(clock.Second), 'f', 3, 64))
}

// exactStatus returns a status that promises "not run" only if that is true.
func exactStatus(refusal *reason.Refusal) int {
	status := HTTPStatus(refusal.Reason)
	switch status {
	case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
		if refusal.Ran == reason.RanNo {
			return http.StatusServiceUnavailable
		}
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if refusal.Ran != reason.RanNo {
			return http.StatusBadGateway
		}
	}
	return status
}

// Record counts and logs a refusal that can't be answered, or is answered
// elsewhere.
func (r *RefusalWriter) Record(refusal *reason.Refusal, fields logrus.Fields) {
	if r.Counters != nil {
		r.Counters.Inc(refusal.Reason)
	}
	if r.Log != nil {
		r.Log.WithFields(fields).WithFields(logrus.Fields{"reason": refusal.Reason, "ran": refusal.Ran}).Info(refusal.Detail)
	}
}

// AsRefusal returns the refusal in err's chain. An error without one is an
// internal error, whose text the caller does not see.
func AsRefusal(err error) *reason.Refusal {
	if refusal, ok := fault.As[*reason.Refusal](err); ok {
		return refusal
	}
	return reason.MayHaveRun(reason.Internal, "internal error")
}

// Refuse writes err as a refusal.
func Refuse(w http.ResponseWriter, err error) {
	refusal := AsRefusal(err)
	write(w, refusal, HTTPStatus(refusal.Reason), retryAfter(refusal))
}

// write writes a refusal with the given status and Retry-After.
func write(w http.ResponseWriter, refusal *reason.Refusal, status int, retryAfter string) {
	text := encode(refusal)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(text)))
	header.Set(ReasonHeader, string(refusal.Reason))
	header.Set(RanHeader, string(refusal.Ran))
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", retryAfter)
	}
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func encode(refusal *reason.Refusal) []byte {
	text, _ := json.Marshal(refusalBody{refusal.Reason, refusal.Ran, refusal.RetryAfter, refusal.Detail})
	return append(text, '\n')
}

// retryAfter returns whole seconds, rounded up, as HTTP wants them.
func retryAfter(refusal *reason.Refusal) string {
	return strconv.FormatInt(int64((refusal.RetryAfter+clock.Second-1)/clock.Second), 10)
}

// HTTPStatus returns the HTTP status of a refusal.
func HTTPStatus(why reason.Reason) int {
	switch why {
	case reason.BadRequest, reason.BodyShort, reason.OrderIDMissing, reason.KeyDoubled, reason.KeyMisplaced:
		return http.StatusBadRequest
	case reason.KeyMissing, reason.KeyUnknown, reason.KeyWithdrawn:
		return http.StatusUnauthorized
	case reason.WorkspaceUnknown:
		return http.StatusForbidden
	case reason.RouteUnknown:
		return http.StatusNotFound
	case reason.OrderIDReused, reason.OrderRunning, reason.OrderDone:
		return http.StatusConflict
	case reason.HeadTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case reason.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case reason.BodyTooSlow, reason.HeadTooSlow:
		return http.StatusRequestTimeout
	case reason.RateExceeded:
		return http.StatusTooManyRequests
	case reason.DeadlinePassed:
		return http.StatusGatewayTimeout
	case reason.EndpointFailed, reason.AnswerCut, reason.AnswerCrossed, reason.CallerGone:
		return http.StatusBadGateway
	case reason.Internal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}
