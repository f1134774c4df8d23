// Package freshness tracks how old a VM's copy of the configuration is. A VM that is
// cut off may miss the withdrawal of a key, so it refuses requests with keys once its
// copy is too old. In an outage of the store the copy does not become too old: the VM
// still reaches every other VM, and only a VM can accept a change, so it knows that it
// misses none.
package freshness

import (
	"sync"
	"sync/atomic"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// MaxAge is the age up to which the copy counts as fresh.
const MaxAge = 4 * clock.Second

// Freshness keeps the time as of which this VM's copy is complete: every change
// accepted before that time is in the copy. The time is by this VM's clock and is the
// send time of some request, so no clocks of different VMs are compared. The
// monotonic clock also advances while a VM is paused, so after a pause the age of the
// copy includes the pause.
//
// The zero value represents a copy of unknown age.
type Freshness struct {
	Clock clock.Clock

	// asOf is the time as of which the copy is complete, or nil if it is unknown. It
	// never decreases.
	asOf atomic.Pointer[clock.Millis]

	mu sync.Mutex
	// peersAsOf holds, for each peer, the latest time as of which this VM's copy has
	// everything that the peer's copy had. Guarded by mu.
	peersAsOf map[string]clock.Millis
	// peers holds the other VMs that may accept changes; nil if they are not known.
	// Guarded by mu.
	peers []string
}

// MarkComplete records that the copy is complete as of a time: the send time of a
// request to the store, or the time as of which a peer's copy is complete, once this
// copy has everything that the peer's has.
func (f *Freshness) MarkComplete(asOf clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.markComplete(asOf)
}

// MarkPeerComplete records that the copy has everything that a peer's copy had at a
// time.
func (f *Freshness) MarkPeerComplete(peer string, asOf clock.Millis) {
	f.MarkPeersComplete(map[string]clock.Millis{peer: asOf})
}

// MarkPeersComplete records, for each peer, that the copy has everything that the
// peer's copy had at its time.
func (f *Freshness) MarkPeersComplete(asOfByPeer map[string]clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peersAsOf == nil {
		f.peersAsOf = map[string]clock.Millis{}
	}
	for peer, asOf := range asOfByPeer {
		if before, found := f.peersAsOf[peer]; !found || asOf > before {
			f.peersAsOf[peer] = asOf
		}
	}
	f.markCompleteFromPeers()
}

// PeerCompleteAsOf returns the time as of which the copy has everything that a peer's
// copy had.
func (f *Freshness) PeerCompleteAsOf(peer string) (asOf clock.Millis, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	asOf, found = f.peersAsOf[peer]
	return asOf, found
}

// SetPeers sets the names of the other VMs that may accept changes. A nil list states
// that they are unknown, an empty list that there are none.
func (f *Freshness) SetPeers(names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers = names
	f.markCompleteFromPeers()
}

// Age returns the age of the copy. known is false if it is unknown.
func (f *Freshness) Age() (age clock.Millis, known bool) {
	asOf := f.asOf.Load()
	if asOf == nil {
		return 0, false
	}
	return f.Clock.Now() - *asOf, true
}

// IsFresh reports whether requests with keys may be served.
func (f *Freshness) IsFresh() bool {
	age, known := f.Age()
	return known && age <= MaxAge
}

// markCompleteFromPeers marks the copy complete as of the earliest of the peers'
// times, if there is one for every peer. A change accepted before that time is in the
// copy of the VM that accepted it, and so in this VM's copy. The caller must hold mu.
func (f *Freshness) markCompleteFromPeers() {
	if f.peers == nil {
		return
	}
	earliest := f.Clock.Now()
	for _, peer := range f.peers {
		at, found := f.peersAsOf[peer]
		if !found {
			return
		}
		earliest = min(earliest, at)
	}
	f.markComplete(earliest)
}

// markComplete is MarkComplete for callers that hold mu.
func (f *Freshness) markComplete(asOf clock.Millis) {
	if before := f.asOf.Load(); before == nil || asOf > *before {
		f.asOf.Store(&asOf)
	}
}
