// Package quota holds workspaces to their rate and burst over all VMs. Each VM
// admits from a token bucket of its own, whose rate and size are the part of the
// limit that its share of the demand is of all VMs' demand. VMs tell each other
// their demand; one that is not heard keeps its last share for a while, so that
// a cut-off VM and the others together stay within the limit.
package quota

import (
	"math"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/routing"
)

const (
	// demandSpan smooths the demand.
	demandSpan = 2 * clock.Second
	// floorPart is the part of a rate that counts as demand where there is less, so
	// that a quiet VM can serve its first caller.
	floorPart = 0.04
	// firstTokens is what a bucket starts with: a restart must not give the burst
	// again.
	firstTokens = 2
)

// PeerDemand is one other VM's demand in requests a second, by workspace. Demand
// is nil for a VM that was never heard.
type PeerDemand struct {
	VM     string
	Demand map[string]float64
}

// Limiter admits requests. Its zero value is ready.
type Limiter struct {
	Clock clock.Clock

	mu sync.Mutex
	// buckets holds one bucket for each workspace asked for. Guarded by mu.
	buckets map[string]*bucket
	// peers is the newest given to Update. Guarded by mu.
	peers []PeerDemand
}

type bucket struct {
	tokens float64
	at     clock.Millis
	// demand is the smoothed number of requests a second at seenAt.
	demand float64
	seenAt clock.Millis
}

// UpdatePeers takes over the other VMs' demand.
func (l *Limiter) UpdatePeers(peers []PeerDemand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers = peers
}

// Observe counts one request as demand.
func (l *Limiter) Observe(workspace *routing.Workspace) {
	if workspace == nil || workspace.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	b := l.bucket(workspace.Name, now)
	b.demand = b.demand*math.Exp(-float64(now-b.seenAt)/float64(demandSpan)) + float64(clock.Second)/float64(demandSpan)
	b.seenAt = now
}

// Admit takes one request out of the workspace's share. It returns how long the
// caller should wait if there is none left.
func (l *Limiter) Admit(workspace *routing.Workspace) (wait clock.Millis, ok bool) {
	if workspace == nil || workspace.Rate <= 0 {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	b := l.bucket(workspace.Name, now)
	part := l.part(workspace, b.demandAt(now))
	rate := workspace.Rate * part
	size := max(workspace.Burst*part, 1)
	elapsed := float64(now-b.at) / float64(clock.Second)
	b.tokens = min(b.tokens+elapsed*rate, size)
	b.at = now
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	return clock.Millis((1-b.tokens)/max(rate, 1e-3)*float64(clock.Second)) + 1, false
}

// Refund gives back what Admit took for a request that did not run.
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

// Demand returns this VM's demand in requests a second, by workspace.
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

func (l *Limiter) bucket(name string, now clock.Millis) *bucket {
	if l.buckets == nil {
		l.buckets = map[string]*bucket{}
	}
	b := l.buckets[name]
	if b == nil {
		b = &bucket{tokens: firstTokens, at: now, seenAt: now}
		l.buckets[name] = b
	}
	return b
}

func (b *bucket) demandAt(now clock.Millis) float64 {
	return b.demand * math.Exp(-float64(now-b.seenAt)/float64(demandSpan))
}

// part returns this VM's share of a workspace's limit. Callers hold mu.
func (l *Limiter) part(workspace *routing.Workspace, demand float64) float64 {
	floor := workspace.Rate * floorPart
	own := max(demand, floor)
	all := own
	for _, peer := range l.peers {
		if peer.Demand == nil {
			all += max(own, floor)
			continue
		}
		all += max(peer.Demand[workspace.Name], floor)
	}
	return own / all
}
