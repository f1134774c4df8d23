// Package quota limits workspaces to their rate and burst over all VMs together, by
// one of two methods.
//
// With an Owner, one VM holds the token bucket of a workspace for all VMs. While the
// workspace is far below its limit, the VMs admit its requests and report them to the
// owner afterwards. Otherwise the owner is strict about the workspace: a VM needs a
// token, granted by the owner, for each request it admits.
//
// A Limiter needs no owner: it holds what a VM may admit without asking. Each VM has a
// bucket of its own, refilled at an equal share of the workspace's rate, which holds
// little. So all VMs together admit at most the limit by it, whichever of them reach each
// other, and an owner that grants the limit less the shares of the VMs that it does not
// reach exceeds it by no more than what these buckets hold.
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
	// A VM's bucket holds bucketSpan of its share of the rate, and bucketBase tokens, so
	// that requests which come together are admitted.
	bucketSpan = 300 * clock.Millis(1)
	bucketBase = 1
	// initialTokens is the most that a new bucket has. It is small because a restarted VM
	// must not admit again what it had admitted before.
	initialTokens = 2
	// peersWait is the wait of a refusal while this VM does not know its peers.
	peersWait = 500 * clock.Millis(1)
)

// Limiter admits requests within this VM's share of each limit. The zero value is ready
// for use.
type Limiter struct {
	Clock clock.Clock
	// NeedsPeers is set if this VM may have peers that it does not know yet. It has no share
	// then until SetPeers is called, as otherwise each VM would have the whole limit.
	NeedsPeers bool

	mu sync.Mutex
	// buckets holds the bucket of each requested workspace, by name. Guarded by mu.
	buckets map[string]*bucket
	// peers is the number of other VMs. hasPeers is set once it is known. Both are guarded
	// by mu.
	peers    int
	hasPeers bool
}

// bucket is the token bucket for this VM's share of a workspace's limit.
type bucket struct {
	tokens     float64
	refilledAt clock.Millis
	// demand is the smoothed number of requests per second, as of demandUpdatedAt.
	demand          float64
	demandUpdatedAt clock.Millis
}

// SetPeers sets the number of other VMs that have a share, those included that do not reach
// this VM.
func (l *Limiter) SetPeers(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers, l.hasPeers = count, true
}

// Observe counts one request towards this VM's demand for the workspace.
func (l *Limiter) Observe(workspace *routing.Workspace) {
	if !workspace.HasRateLimit() {
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
	if !workspace.HasRateLimit() {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	b, rate := l.bucket(workspace.Name, now), l.share(workspace)
	b.refill(now, rate)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	if rate <= 0 {
		return peersWait, false
	}
	return clock.Millis((1-b.tokens)/max(rate, 1e-3)*float64(clock.Second)) + 1, false
}

// Share returns the fraction of each limit that this VM may use without asking.
func (l *Limiter) Share() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fraction()
}

// fraction returns the fraction of each limit that this VM may use without asking. The caller
// must hold mu.
func (l *Limiter) fraction() float64 {
	if l.NeedsPeers && !l.hasPeers {
		return 0
	}
	return 1 / float64(1+l.peers)
}

// Fill fills the workspace's bucket. It must be called only if the workspace's owner allows
// it, which is far from the limit then.
func (l *Limiter) Fill(workspace *routing.Workspace) {
	if !workspace.HasRateLimit() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(workspace.Name, l.Clock.Now())
	b.tokens = bucketSize(l.share(workspace))
}

// Spent returns how many tokens the workspace's bucket lacks: what this VM has admitted
// beyond its share of the rate.
func (l *Limiter) Spent(workspace *routing.Workspace) (tokens float64) {
	if !workspace.HasRateLimit() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	b, rate := l.bucket(workspace.Name, now), l.share(workspace)
	b.refill(now, rate)
	return bucketSize(rate) - b.tokens
}

// Refund returns the token that Admit took for a request that did not run.
func (l *Limiter) Refund(workspace *routing.Workspace) {
	if !workspace.HasRateLimit() {
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

// share returns this VM's part of the workspace's rate, in requests per second. The caller
// must hold mu.
func (l *Limiter) share(workspace *routing.Workspace) float64 {
	return workspace.Rate * l.fraction()
}

// refill adds the tokens for the time since the last call. rate is the VM's share, in
// requests per second.
func (b *bucket) refill(now clock.Millis, rate float64) {
	elapsed := float64(now-b.refilledAt) / float64(clock.Second)
	b.tokens = min(b.tokens+elapsed*rate, bucketSize(rate))
	b.refilledAt = now
}

// bucketSize returns how many tokens a bucket holds that is refilled at a rate.
func bucketSize(rate float64) float64 {
	return bucketBase + rate*float64(bucketSpan)/float64(clock.Second)
}
