// Package reason defines the fixed identifiers of every refusal and retry. A reason
// appears unchanged in the response to the caller, in the metric's label and in the log
// line, so that one search finds all three.
package reason

import (
	"fmt"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// Reason is the identifier of the cause of a refusal or retry.
type Reason string

// Reasons for refusing or retrying a request.
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
	RequestBlocked     Reason = "request_blocked"
	VersionWithdrawn   Reason = "version_withdrawn"
	TooManyConnections Reason = "too_many_connections"
	OutOfMemory        Reason = "out_of_memory"
	Stopping           Reason = "stopping"
	NotReady           Reason = "not_ready"
	Internal           Reason = "internal"
)

// Ran states whether a refused request ran.
type Ran string

// Values of Ran. RanNo is used only if no byte of the request can have reached
// an endpoint, or if the endpoint itself reported that the request did
// not run.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Refusal is the error for a request that gets no endpoint's response.
type Refusal struct {
	Reason Reason
	Ran    Ran
	// RetryAfter is the time after which a retry may succeed. 0 stands for a
	// refusal that a retry cannot change.
	RetryAfter clock.Millis
	// LacksCapacity reports that only other requests stand in the way of this one. It is
	// not sent to the caller.
	LacksCapacity bool
	// Detail is an explanation for people. It must not contain an API key.
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

// MayHaveRun returns a Refusal of a request that may or may not have run.
func MayHaveRun(why Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: why, Ran: RanUnknown, Detail: fmt.Sprintf(format, args...)}
}

// OverAttempts returns the refusal of a request whose last attempt was refused with r. It
// states "not run" only if no earlier attempt may have run the request.
func (r *Refusal) OverAttempts(mayHaveRun bool) *Refusal {
	if r.Ran != RanNo || !mayHaveRun {
		return r
	}
	copied := *r
	copied.Ran = RanUnknown
	return &copied
}
