package caller

import (
	"time"

	"github.com/uber-go/tally/v4"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/reason"
)

// Limits are the limits of callers' heads and connections. A field of 0 selects the Server's
// own limit.
type Limits struct {
	// MaxHeadBytes bounds a head, from its first byte to the line that ends it; 0 selects
	// 16 KiB. Up to headAllowance bytes more are served.
	MaxHeadBytes int64
	HeadTimeout  clock.Millis
	IdleTimeout  clock.Millis
}

const (
	// headAllowance is how much larger than the limit a head may be, as net/http's servers
	// allow.
	headAllowance = 4 << 10
	// maxMaxHeadBytes bounds the limit of heads.
	maxMaxHeadBytes = 1 << 20
)

// SetLimits sets the limits that apply from the next head or idle time of each connection on.
func (s *Server) SetLimits(limits Limits) { s.limits.Store(&limits) }

// maxHeadBytes returns the limit of a head in force.
func (s *Server) maxHeadBytes() int {
	if limits := s.limits.Load(); limits != nil && limits.MaxHeadBytes > 0 {
		return int(min(limits.MaxHeadBytes, maxMaxHeadBytes))
	}
	return defaultMaxHeadBytes
}

// headTimeout returns the limit of the time of a head in force.
func (s *Server) headTimeout() time.Duration {
	if limits := s.limits.Load(); limits != nil && limits.HeadTimeout > 0 {
		return limits.HeadTimeout.Duration()
	}
	return orDefault(s.HeadTimeout, defaultHeadTimeout)
}

// idleTimeout returns the limit of the time between two requests in force.
func (s *Server) idleTimeout() time.Duration {
	if limits := s.limits.Load(); limits != nil && limits.IdleTimeout > 0 {
		return limits.IdleTimeout.Duration()
	}
	return orDefault(s.IdleTimeout, defaultIdleTimeout)
}

// HeadCause is why a request was refused, or its connection closed, before a handler began.
type HeadCause string

// The causes.
const (
	HeadTooLarge  HeadCause = "too_large"
	HeadTooSlow   HeadCause = "too_slow"
	HeadMalformed HeadCause = "malformed"
	// HeadNoMemory: the head found no memory.
	HeadNoMemory HeadCause = "no_memory"
	// HeadDisplaced: the connection was closed because its memory went to another one.
	HeadDisplaced HeadCause = "displaced"
	// HeadDisplacedConnection: the connection was closed before its first request, because
	// there were too many.
	HeadDisplacedConnection HeadCause = "displaced_connection"
)

// Count counts a refused head in the metric "heads_refused".
func (c HeadCause) Count(scope tally.Scope) {
	scope.Tagged(map[string]string{"cause": string(c)}).Counter("heads_refused").Inc(1)
}

// recordHead reports a refused head.
func (s *Server) recordHead(cause HeadCause) {
	if s.OnHeadRefused != nil {
		s.OnHeadRefused(cause)
	}
}

// headCauses maps the reasons of refusals that streams write to their causes.
var headCauses = map[reason.Reason]HeadCause{
	reason.HeadTooLarge: HeadTooLarge, reason.HeadTooSlow: HeadTooSlow, reason.BadRequest: HeadMalformed, reason.OutOfMemory: HeadNoMemory,
}
