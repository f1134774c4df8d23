// Package reach tells whether this VM reaches endpoints at all. A VM whose links to the
// endpoints are cut sees all of them fail at once, while other VMs reach them: requests
// hang, or connections are refused, or open connections live on while new ones fail.
//
// Answers and failures of requests only say when to look. Whether the VM is cut off is
// found by opening connections to several endpoints: it is if none can be opened.
package reach

import (
	"context"
	"slices"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
)

const (
	// silenceSpan is how long no endpoint may answer, while requests are in flight, until
	// the VM probes endpoints.
	silenceSpan = 400 * clock.Millis(1)
	// probeCount is the number of endpoints that are probed at once, and probeTimeout how
	// long a connection may take. All of them must fail in cutOffRounds rounds in sequence
	// for the VM to count as cut off, and one must succeed in reachedRounds rounds for it
	// to count as not cut off again.
	probeCount    = 4
	probeTimeout  = 300 * clock.Millis(1)
	cutOffRounds  = 2
	reachedRounds = 2
	// checkInterval is the time between two checks whether to probe, recoveryInterval the
	// time between two rounds while the VM is cut off. calmSpan is the least time between a
	// round in which an endpoint was reached and the next one.
	checkInterval    = 100 * clock.Millis(1)
	recoveryInterval = 500 * clock.Millis(1)
	calmSpan         = 1 * clock.Second
	// stalledFactor times probeTimeout is the duration from which a round shows nothing:
	// the process itself was paused.
	stalledFactor = 2
)

// Monitor tells whether this VM reaches endpoints. Probe and Addresses must be set.
type Monitor struct {
	Clock clock.Clock
	// Probe opens a connection to an address and closes it again.
	Probe func(ctx context.Context, address string) error
	// Addresses returns the addresses of up to count endpoints, chosen at random.
	Addresses func(count int) []string
	// OnChange is called when the VM begins or ceases to be cut off; optional.
	OnChange func(isCutOff bool)

	mu sync.Mutex
	// inFlight counts the requests in flight, since inFlightSince. lastAnswerAt is when an
	// endpoint last answered. All three are guarded by mu.
	inFlight      int
	inFlightSince clock.Millis
	lastAnswerAt  clock.Millis
	// isUnreached is set when no connection to an endpoint could be opened since the last
	// round of probes. Guarded by mu.
	isUnreached bool
	// nextRoundAt is the earliest time of the next round. Guarded by mu.
	nextRoundAt clock.Millis
	// isCutOff is the finding. opposing counts the latest rounds, in sequence, whose results
	// speak against it. Both are guarded by mu.
	isCutOff bool
	opposing int
	// lost is done once the VM is cut off and no endpoint answers; see Lost. endLost ends
	// it. Guarded by mu.
	lost    context.Context
	endLost context.CancelFunc
}

// IsCutOff reports whether this VM reaches no endpoint.
func (m *Monitor) IsCutOff() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isCutOff
}

// Lost returns a context that ends when the VM becomes cut off and the requests in flight get
// no answers either.
func (m *Monitor) Lost() context.Context {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lost == nil {
		m.lost, m.endLost = context.WithCancel(context.Background())
	}
	return m.lost
}

// Begin records that a request is sent to an endpoint. End must be called once for it.
func (m *Monitor) Begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inFlight == 0 {
		m.inFlightSince = m.Clock.Now()
	}
	m.inFlight++
}

// End records how a request ended: with an answer of the endpoint, or because no
// connection could be opened.
func (m *Monitor) End(isAnswered, isUnreached bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight--
	if isAnswered {
		m.lastAnswerAt = m.Clock.Now()
	}
	m.isUnreached = m.isUnreached || isUnreached
}

// Run probes endpoints when that is due, until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	for clock.Sleep(ctx, checkInterval) == nil {
		if m.isDue() {
			m.probeRound(ctx)
		}
	}
}

// isDue reports whether endpoints are to be probed now.
func (m *Monitor) isDue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	if now < m.nextRoundAt {
		return false
	}
	isSilent := m.inFlight > 0 && now-max(m.lastAnswerAt, m.inFlightSince) >= silenceSpan
	return m.isCutOff || m.opposing > 0 || m.isUnreached || isSilent
}

// probeRound probes endpoints and applies the result.
func (m *Monitor) probeRound(ctx context.Context) {
	startedAt := m.Clock.Now()
	addresses := m.Addresses(probeCount)
	if len(addresses) == 0 {
		return
	}
	m.mu.Lock()
	m.isUnreached = false
	m.mu.Unlock()
	isReached := m.reachesAny(ctx, addresses)
	if m.Clock.Now()-startedAt > stalledFactor*probeTimeout || ctx.Err() != nil {
		return
	}
	if m.apply(isReached) && m.OnChange != nil {
		m.OnChange(!isReached)
	}
}

// reachesAny reports whether a connection to any of the addresses can be opened.
func (m *Monitor) reachesAny(ctx context.Context, addresses []string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	results := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() { results <- m.Probe(ctx, address) }()
	}
	for range addresses {
		if err := <-results; err == nil {
			return true
		}
	}
	return false
}

// HasEnded reports whether the endpoint at the address, which has closed a connection, has
// ended: it takes no new connection though another endpoint does. If no endpoint does, this
// VM's links may be at fault, and nothing is known of the endpoint.
func (m *Monitor) HasEnded(ctx context.Context, address string) bool {
	if m.reachesAny(ctx, []string{address}) {
		return false
	}
	others := slices.DeleteFunc(m.Addresses(probeCount), func(other string) bool { return other == address })
	return m.reachesAny(ctx, others)
}

// apply applies the result of a round and reports whether isCutOff has changed.
func (m *Monitor) apply(isReached bool) (changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	isOpposing := isReached == m.isCutOff
	m.planRound(isOpposing)
	if !isOpposing {
		m.opposing = 0
		return false
	}
	m.opposing++
	if m.isCutOff && m.opposing < reachedRounds || !m.isCutOff && m.opposing < cutOffRounds {
		return false
	}
	m.isCutOff, m.opposing = !m.isCutOff, 0
	m.updateLost()
	return true
}

// planRound sets the time of the round after the current one. While the VM seems to become
// cut off, that is at once. The caller must hold mu.
func (m *Monitor) planRound(isOpposing bool) {
	now := m.Clock.Now()
	switch {
	case m.isCutOff:
		m.nextRoundAt = now + recoveryInterval
	case !isOpposing:
		m.nextRoundAt = now + calmSpan
	}
}

// updateLost ends the context of Lost, or drops it, after isCutOff has changed. The caller
// must hold mu.
func (m *Monitor) updateLost() {
	switch {
	case !m.isCutOff:
		m.lost = nil
	case m.lost != nil && m.Clock.Now()-m.lastAnswerAt >= silenceSpan:
		m.endLost()
	}
}
