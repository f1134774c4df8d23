package balance

import (
	"math"

	"baobabladder.example/baobabladder/internal/base/clock"
)

const (
	// limitMaxAge is the age of its last reading above which a limit is stale. A VM with
	// a share may have no requests for the endpoint, so that nobody learns that the limit
	// was lifted. All VMs then share it evenly until one of them has read it again.
	limitMaxAge = 30 * clock.Second
	// unknownVersion is the shareVersion of a share that must be computed anew.
	unknownVersion = -1
	// maxLimitRetryAfter bounds the Retry-After of refusals for want of tokens. Another
	// VM may have some.
	maxLimitRetryAfter = 1 * clock.Second
	// limitDemandDecayTime is the time constant of the smoothed demand for an endpoint.
	limitDemandDecayTime = 3 * clock.Second
)

// limitState is what this VM knows of one endpoint's limit, and its token bucket. Its
// zero value is that of an endpoint that has stated nothing. Guarded by the balancer's
// mutex.
type limitState struct {
	stated Limit
	// readAt is when a VM received the response with the statement, changedAt when this
	// VM learned of another statement than before.
	readAt, changedAt clock.Millis
	// replaced is an earlier limit that may still bind.
	replaced replacedLimit
	// share is this VM's part of the limit, computed at the balancer's sharesVersion of that
	// number.
	share        limitShare
	shareVersion int64
	tokens       float64
	refilledAt   clock.Millis
	// demand is the smoothed number of requests per second for which this VM would have
	// chosen the endpoint, as of demandAt.
	demand   float64
	demandAt clock.Millis
	// firstSends and retries count the requests sent since the limit was named; see
	// LimitUse.
	firstSends, retries int
}

func (l *limitState) isNamed() bool { return l.stated.Statement == LimitNamed }

// isRecent reports whether peers should learn of the statement: a limit that was
// read within the given time, or the end of one that this VM learned of within it.
func (l *limitState) isRecent(age, now clock.Millis) bool {
	if l.isNamed() {
		return now-l.readAt < age
	}
	return l.stated.Statement == LimitNone && now-l.changedAt < age
}

// set replaces the statement by one that was read at readAt, unless a newer one is known.
func (l *limitState) set(stated Limit, readAt, now clock.Millis) {
	isFirst := l.stated.Statement == LimitUnstated
	if stated.Statement == LimitUnstated || isFirst && stated.Statement == LimitNone || !isFirst && readAt < l.readAt {
		return
	}
	l.readAt = readAt
	if stated == l.stated {
		return
	}
	l.replaced.change(l.stated, stated, readAt)
	if l.stated.Statement != stated.Statement && !l.replaced.holds(now) {
		l.firstSends, l.retries = 0, 0
		l.share, l.tokens, l.refilledAt = limitShare{}, 1, now
	}
	l.stated, l.changedAt, l.shareVersion = stated, now, unknownVersion
}

// refreshLimit brings the share and the tokens of an endpoint with a limit up to date. The
// caller must hold mu.
func (b *Balancer) refreshLimit(state *endpointState, now clock.Millis) {
	l := &state.said.limit
	l.refill(now)
	isStale := now-l.readAt > limitMaxAge
	if l.shareVersion == b.sharesVersion && l.share.isStale == isStale {
		return
	}
	last := l.share
	l.share, l.shareVersion = b.limitShare(state, isStale, now), b.sharesVersion
	isNew := last == limitShare{}
	switch {
	case isStale && !last.isStale:
		// The VMs take turns, rather than all try the endpoint at once.
		l.tokens = l.share.position
	case l.share.rate == 0 || last.rate == 0 && !isNew:
		// The VM has no share, or one that another VM may have used.
		l.tokens = 0
	}
	l.tokens = min(l.tokens, l.share.depth)
}

// refill adds the tokens for the time since the last call.
func (l *limitState) refill(now clock.Millis) {
	if l.share.depth > 0 {
		l.tokens = min(l.tokens+l.share.rate*float64(now-l.refilledAt)/float64(clock.Second), l.share.depth)
	}
	l.refilledAt = now
}

// isWithinLimit reports whether this VM may send a request to the endpoint now, as far as
// its limit is concerned. If not, wait is the time until it may. The caller must hold mu.
func (b *Balancer) isWithinLimit(state *endpointState, now clock.Millis) (wait clock.Millis, ok bool) {
	if !state.said.limit.binds(now) {
		return 0, true
	}
	b.refreshLimit(state, now)
	l := &state.said.limit
	switch {
	case l.tokens >= 1:
		return 0, true
	case l.share.rate <= 0:
		return maxLimitRetryAfter, false
	}
	return clock.Millis((1-l.tokens)/l.share.rate*float64(clock.Second)) + 1, false
}

// takeLimitToken takes the token of a request that is sent to the endpoint. The caller
// must hold mu.
func (b *Balancer) takeLimitToken(state *endpointState, isRetry bool, now clock.Millis) {
	l := &state.said.limit
	if !l.binds(now) {
		return
	}
	l.tokens--
	l.addDemand(now)
	if isRetry {
		l.retries++
		return
	}
	l.firstSends++
}

// usableSlots returns the number of the endpoint's slots that the fleet can fill within
// its limit with runs of the given length. All VMs compute the same number.
func (s *endpointState) usableSlots(run *runTime, now clock.Millis) float64 {
	slots := float64(s.endpoint.Slots)
	rate, ok := s.said.limit.binding(now)
	if !ok {
		return slots
	}
	return min(slots, rate*(run.cached+run.uncached)/2/float64(clock.Second))
}

// addDemand counts a request for which this VM would choose the endpoint.
func (l *limitState) addDemand(now clock.Millis) {
	l.demand, l.demandAt = l.currentDemand(now)+float64(clock.Second)/float64(limitDemandDecayTime), now
}

// currentDemand returns the demand, decayed to now.
func (l *limitState) currentDemand(now clock.Millis) float64 {
	return l.demand * math.Exp(-float64(now-l.demandAt)/float64(limitDemandDecayTime))
}

// LimitDemand returns the requests per second that this VM would send to each endpoint
// that has named a limit, by endpoint ID.
func (b *Balancer) LimitDemand() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	demand := map[string]float64{}
	for id, state := range b.states {
		if state.said.limit.binds(now) {
			demand[id] = state.said.limit.currentDemand(now)
		}
	}
	return demand
}
