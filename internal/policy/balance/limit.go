package balance

import (
	"math"
	"strconv"
	"strings"
)

// LimitStatement is what a response says of the endpoint's limit.
type LimitStatement int

// Statements of responses about limits.
const (
	// LimitUnstated: there was no response, or it does not show whether there is a
	// limit.
	LimitUnstated LimitStatement = iota
	// LimitNone: the endpoint names no limit, or no longer.
	LimitNone
	// LimitNamed: the endpoint names a limit.
	LimitNamed
)

// Limit is the rate of requests that an endpoint takes from all VMs together. An
// endpoint that needs relief names it in its responses, and leaves it out once it no
// longer holds.
type Limit struct {
	Statement LimitStatement
	// Rate is in requests per second, and 0 unless Statement is LimitNamed.
	Rate float64
}

// ParseLimit returns the limit that a response names: a decimal number of requests per
// second, or an empty text for none. Any other text shows nothing.
func ParseLimit(text string) Limit {
	if text == "" {
		return Limit{Statement: LimitNone}
	}
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return Limit{}
	}
	return Limit{LimitNamed, rate}
}

// LimitUse describes what this VM does with a limit that an endpoint has named.
type LimitUse struct {
	// Rate is the limit in requests per second, for all VMs together.
	Rate float64
	// FirstSends counts the requests that this VM sent to the endpoint since it named a
	// limit, Retries those that it had sent elsewhere before.
	FirstSends, Retries int
}

// LimitUses returns the limits that endpoints have named, by endpoint ID.
func (b *Balancer) LimitUses() map[string]LimitUse {
	b.mu.Lock()
	defer b.mu.Unlock()
	uses := map[string]LimitUse{}
	for id, state := range b.states {
		if state.limit.Statement == LimitNamed {
			uses[id] = LimitUse{state.limit.Rate, state.limitedFirstSends, state.limitedRetries}
		}
	}
	return uses
}

// setLimit replaces the endpoint's limit and starts new counts with a new one.
func (s *endpointState) setLimit(newest Limit) {
	if newest.Statement == LimitUnstated {
		return
	}
	if s.limit.Statement != newest.Statement {
		s.limitedFirstSends, s.limitedRetries = 0, 0
	}
	s.limit = newest
}

// countLimitedSend counts a request that is sent while the endpoint has a limit.
func (s *endpointState) countLimitedSend(isRetry bool) {
	switch {
	case s.limit.Statement != LimitNamed:
	case isRetry:
		s.limitedRetries++
	default:
		s.limitedFirstSends++
	}
}
