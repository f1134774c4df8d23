// Package quota limits workspaces to their rate and burst over all VMs together, by
// one of two methods.
//
// With an Owner, one VM holds the token bucket of a workspace for all VMs. While the
// workspace is far below its limit, the VMs admit its requests and report them to the
// owner afterwards. Otherwise the owner is strict about the workspace: a VM needs a
// token, granted by the owner, for each request it admits.
//
// A Limiter needs no owner: each VM has a token bucket of its own, with a share of the
// workspace's rate and burst. The share is the VM's part of the demand of all VMs,
// which VMs report to each other. The last demand reported by a VM must be passed to
// UpdatePeers for some time after its reports have ceased. A VM that is partitioned
// from the others therefore keeps its share, they keep theirs, and together they stay
// within the limit.
package quota

import (
	"math"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/routing"
)

const (
	// demandDecayTime is the time constant of the smoothed demand.
	demandDecayTime = 2 * clock.Second
	// minDemandFraction is the least demand assumed for a VM, as a fraction of the
	// workspace's rate. It gives a VM without demand tokens for its first request.
	minDemandFraction = 0.04
	// initialTokens is the number of tokens in a new bucket. It is small because a
	// restarted VM must not admit its part of the burst again.
	initialTokens = 2
)

// PeerDemand is the demand of callers at another VM, in requests per second by
// workspace. Demand is nil if the VM has never reported.
type PeerDemand struct {
	VM     string
	Demand map[string]float64
}

// Limiter admits requests within this VM's share of each limit. The zero value is ready
// for use.
type Limiter struct {
	Clock clock.Clock

	mu sync.Mutex
	// buckets holds the bucket of each requested workspace, by name. Guarded by mu.
	buckets map[string]*bucket
	// peers is the last argument of UpdatePeers. Guarded by mu.
	peers []PeerDemand
}

// bucket is the token bucket for this VM's share of a workspace's limit.
type bucket struct {
	tokens     float64
	refilledAt clock.Millis
	// demand is the smoothed number of requests per second, as of demandUpdatedAt.
	demand          float64
	demandUpdatedAt clock.Millis
}

// UpdatePeers replaces the demand of the other VMs.
func (l *Limiter) UpdatePeers(peers []PeerDemand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers = peers
}

// Observe counts one request towards this VM's demand for the workspace.
func (l *Limiter) Observe(workspace *routing.Workspace) {
	if workspace == nil || workspace.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	b := l.bucket(workspace.Name, now)
	b.demand = b.demand*math.Exp(-float64(now-b.demandUpdatedAt)/float64(demandDecayTime)) + float64(clock.Second)/float64(demandDecayTime)
	b.demandUpdatedAt = now
}

// Admit takes a token from the workspace's bucket. If there is none, ok is false and
// wait is the time until there will be one. A nil workspace, or one without a rate, is
// not limited.
func (l *Limiter) Admit(workspace *routing.Workspace) (wait clock.Millis, ok bool) {
	if workspace == nil || workspace.Rate <= 0 {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	b := l.bucket(workspace.Name, now)
	share := l.share(workspace, b.demandAt(now))
	rate := workspace.Rate * share
	size := max(workspace.Burst*share, 1)
	elapsed := float64(now-b.refilledAt) / float64(clock.Second)
	b.tokens = min(b.tokens+elapsed*rate, size)
	b.refilledAt = now
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	return clock.Millis((1-b.tokens)/max(rate, 1e-3)*float64(clock.Second)) + 1, false
}

// Refund returns the token that Admit took for a request that did not run.
func (l *Limiter) Refund(workspace *routing.Workspace) {
	if workspace == nil || workspace.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[workspace.Name]; b != nil {
		b.tokens++
	}
}

// Demand returns this VM's demand in requests per second, by workspace.
func (l *Limiter) Demand() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	demand := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		demand[name] = b.demandAt(now)
	}
	return demand
}

// bucket returns the bucket of a workspace, created at first use. The caller must hold
// mu.
func (l *Limiter) bucket(name string, now clock.Millis) *bucket {
	if l.buckets == nil {
		l.buckets = map[string]*bucket{}
	}
	b := l.buckets[name]
	if b == nil {
		b = &bucket{tokens: initialTokens, refilledAt: now, demandUpdatedAt: now}
		l.buckets[name] = b
	}
	return b
}

// demandAt returns the demand, decayed to now.
func (b *bucket) demandAt(now clock.Millis) float64 {
	return b.demand * math.Exp(-float64(now-b.demandUpdatedAt)/float64(demandDecayTime))
}

// share returns this VM's fraction of a workspace's limit, given this VM's demand in
// requests per second. The demand of a VM that has never reported is assumed to equal
// this VM's. The caller must hold mu.
func (l *Limiter) share(workspace *routing.Workspace, demand float64) float64 {
	minDemand := workspace.Rate * minDemandFraction
	own := max(demand, minDemand)
	total := own
	for _, peer := range l.peers {
		if peer.Demand == nil {
			total += max(own, minDemand)
			continue
		}
		total += max(peer.Demand[workspace.Name], minDemand)
	}
	return own / total
}
