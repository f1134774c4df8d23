// Package caller speaks HTTP to callers: how a refusal reads and which VMs a
// caller is told to use.
package caller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
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

// Refuse writes err as a refusal. An error that is no *reason.Refusal is
// answered as internal, and as one that may have run.
func Refuse(w http.ResponseWriter, err error) {
	refusal, ok := fault.As[*reason.Refusal](err)
	if !ok {
		refusal = reason.MayHaveRun(reason.Internal, "internal error")
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(ReasonHeader, string(refusal.Reason))
	header.Set(RanHeader, string(refusal.Ran))
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter + clock.Second - 1) / clock.Second
		header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(Status(refusal.Reason))
	_ = json.NewEncoder(w).Encode(refusalBody{refusal.Reason, refusal.Ran, refusal.RetryAfter, refusal.Detail})
}

// Status returns the HTTP status of a refusal.
func Status(why reason.Reason) int {
	switch why {
	case reason.BadRequest, reason.BodyShort, reason.OrderIDMissing, reason.KeyDoubled, reason.KeyMisplaced:
		return http.StatusBadRequest
	case reason.KeyMissing, reason.KeyUnknown, reason.KeyWithdrawn:
		return http.StatusUnauthorized
	case reason.WorkspaceUnknown:
		return http.StatusForbidden
	case reason.RouteUnknown:
		return http.StatusNotFound
	case reason.OrderIDReused, reason.OrderRunning:
		return http.StatusConflict
	case reason.HeadTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case reason.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case reason.BodyTooSlow:
		return http.StatusRequestTimeout
	case reason.RateExceeded:
		return http.StatusTooManyRequests
	case reason.DeadlinePassed:
		return http.StatusGatewayTimeout
	case reason.EndpointFailed, reason.AnswerCut, reason.AnswerCrossed:
		return http.StatusBadGateway
	case reason.Internal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}
