// Package reason holds the fixed words by which the system names every refusal
// and retry. The same word stands in the caller's answer, in the counter and in
// the log line, so that one search finds all three.
package reason

import (
	"fmt"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// Reason is one fixed word.
type Reason string

// Reasons for refusing a request.
const (
	BadRequest         Reason = "bad_request"
	HeadTooLarge       Reason = "head_too_large"
	HeadTooSlow        Reason = "head_too_slow"
	BodyTooLarge       Reason = "body_too_large"
	BodyTooSlow        Reason = "body_too_slow"
	BodyShort          Reason = "body_short"
	RouteUnknown       Reason = "route_unknown"
	KeyMissing         Reason = "key_missing"
	KeyUnknown         Reason = "key_unknown"
	KeyWithdrawn       Reason = "key_withdrawn"
	KeyDoubled         Reason = "key_doubled"
	KeyMisplaced       Reason = "key_misplaced"
	WorkspaceUnknown   Reason = "workspace_unknown"
	StateStale         Reason = "state_stale"
	RateExceeded       Reason = "rate_exceeded"
	RegionFull         Reason = "region_full"
	LinkFull           Reason = "link_full"
	NoEndpoint         Reason = "no_endpoint"
	DeadlinePassed     Reason = "deadline_passed"
	OrderIDMissing     Reason = "order_id_missing"
	OrderIDReused      Reason = "order_id_reused"
	OrderRunning       Reason = "order_running"
	OrderDone          Reason = "order_done"
	CallerGone         Reason = "caller_gone"
	StoreUnavailable   Reason = "store_unavailable"
	EndpointFailed     Reason = "endpoint_failed"
	EndpointShed       Reason = "endpoint_shed"
	AnswerCut          Reason = "answer_cut"
	AnswerCrossed      Reason = "answer_crossed"
	VersionWithdrawn   Reason = "version_withdrawn"
	TooManyConnections Reason = "too_many_connections"
	Stopping           Reason = "stopping"
	NotReady           Reason = "not_ready"
	Internal           Reason = "internal"
)

// Ran says whether a refused request may have had an effect.
type Ran string

// The values of Ran. RanNo is said only when no byte of the request can have
// reached an endpoint, or the endpoint itself said that it did not run it.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Refusal is the error for a request that got no endpoint's answer.
type Refusal struct {
	Reason Reason
	Ran    Ran
	// RetryAfter is when a resend may succeed; 0 means that it will not help.
	RetryAfter clock.Millis
	// Detail is for people. It never holds a key.
	Detail string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s", r.Reason, r.Ran, r.Detail)
}

// NotRun returns a Refusal of a request that did not run.
func NotRun(why Reason, retryAfter clock.Millis, format string, args ...any) *Refusal {
	return &Refusal{Reason: why, Ran: RanNo, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// MayHaveRun returns a Refusal of a request whose outcome is not known.
func MayHaveRun(why Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: why, Ran: RanUnknown, Detail: fmt.Sprintf(format, args...)}
}
