// Package caller is the HTTP server for callers. It accepts connections, limits the
// size of requests and the time they take to arrive, extracts keys, formats refusals,
// lists the entry VMs to use, and shuts down without aborting a request. A refusal is
// the response to a request that is not served. It states the reason and whether the
// request may have run; see package reason.
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

// Headers of a refusal. They repeat fields of its JSON body.
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

// RefusalWriter writes, counts and logs refusals under the same reason. Its zero value
// only writes them.
type RefusalWriter struct {
	// Counters is the metric "refusals"; optional.
	Counters *metric.ReasonCounters
	// Log is optional.
	Log logrus.FieldLogger
	// GatewayStatuses selects a Retry-After in fractions of a second and, for refusals
	// that the request did not cause, a status that shows whether the request may have
	// run: 503 if it has not, 502 or 504 if it may have.
	GatewayStatuses bool
}

// Refuse writes err as a refusal, counts it and logs it with fields.
func (r *RefusalWriter) Refuse(w http.ResponseWriter, err error, fields logrus.Fields) {
	refusal := AsRefusal(err)
	r.Record(refusal, fields)
	if !r.GatewayStatuses {
		Refuse(w, refusal)
		return
	}
	writeRefusal(w, refusal, gatewayStatus(refusal), strconv.FormatFloat(float64(refusal.RetryAfter)/float64(clock.Second), 'f', 3, 64))
}

// gatewayStatus returns an HTTP status that implies "not run" only if refusal.Ran is
// RanNo.
func gatewayStatus(refusal *reason.Refusal) int {
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

// Record counts and logs a refusal without writing it.
func (r *RefusalWriter) Record(refusal *reason.Refusal, fields logrus.Fields) {
	if r.Counters != nil {
		r.Counters.Inc(refusal.Reason)
	}
	if r.Log != nil {
		r.Log.WithFields(fields).WithFields(logrus.Fields{"reason": refusal.Reason, "ran": refusal.Ran}).Info(refusal.Detail)
	}
}

// ErrLeft is the refusal of a request whose caller left while it was being answered.
var ErrLeft error = &reason.Refusal{Reason: reason.CallerGone, Ran: reason.RanYes, Detail: "the caller went away before its answer was whole"}

// AsRefusal returns the refusal in the chain of err. For an error without one it
// returns an Internal refusal that does not contain the text of err.
func AsRefusal(err error) *reason.Refusal {
	if refusal, ok := fault.As[*reason.Refusal](err); ok {
		return refusal
	}
	return reason.MayHaveRun(reason.Internal, "internal error")
}

// Refuse writes err as a refusal.
func Refuse(w http.ResponseWriter, err error) {
	refusal := AsRefusal(err)
	writeRefusal(w, refusal, HTTPStatus(refusal.Reason), formatRetryAfter(refusal))
}

// writeRefusal writes a refusal with the given status and Retry-After value.
func writeRefusal(w http.ResponseWriter, refusal *reason.Refusal, status int, retryAfter string) {
	body := encodeRefusal(refusal)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(ReasonHeader, string(refusal.Reason))
	header.Set(RanHeader, string(refusal.Ran))
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", retryAfter)
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func encodeRefusal(refusal *reason.Refusal) []byte {
	text, _ := json.Marshal(refusalBody{refusal.Reason, refusal.Ran, refusal.RetryAfter, refusal.Detail})
	return append(text, '\n')
}

// formatRetryAfter returns the Retry-After value of a refusal: whole seconds, rounded
// up.
func formatRetryAfter(refusal *reason.Refusal) string {
	return strconv.FormatInt(int64((refusal.RetryAfter+clock.Second-1)/clock.Second), 10)
}

// HTTPStatus returns the HTTP status of a refusal with the given reason.
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
	case reason.EndpointFailed, reason.AnswerCut, reason.AnswerCrossed, reason.CallerGone, reason.RequestBlocked:
		return http.StatusBadGateway
	case reason.Internal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}
