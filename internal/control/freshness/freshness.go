// Package freshness tells how old a VM's knowledge is. A VM that is cut off may
// miss the withdrawal of a key, so it refuses keyed work once its knowledge is
// too old. It can tell being cut off from an outage of the store: in an outage
// it still hears every other VM, and nothing is accepted but through a VM.
package freshness

import (
	"sync"
	"sync/atomic"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// MaxAge is the age up to which knowledge counts as fresh.
const MaxAge = 4 * clock.Second

// Freshness keeps the time as of which this VM's copy is complete: every change
// accepted before it is in the copy. The time is by this VM's clock and comes
// from the moments at which questions were sent, so no clocks are compared. A
// VM that was stopped finds its knowledge as old as the stop was long, since
// the monotonic clock runs on.
//
// Its zero value knows nothing.
type Freshness struct {
	Clock clock.Clock

	// asOf is nil until there has been any word; it never falls.
	asOf atomic.Pointer[clock.Millis]

	mu sync.Mutex
	// heard holds, for each peer, when the question was sent whose answer showed
	// that all that the peer held is in this VM's copy. Guarded by mu.
	heard map[string]clock.Millis
	// peers holds the VMs that may accept changes, this one left out; nil if they
	// are not known. Guarded by mu.
	peers []string
}

// MarkComplete notes that the copy is complete as of a time: a question to the store
// was sent then, or a peer's word was that old.
func (f *Freshness) MarkComplete(asOf clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.learn(asOf)
}

// MarkPeerComplete notes that the copy holds all that a peer held at a time.
func (f *Freshness) MarkPeerComplete(peer string, asOf clock.Millis) {
	f.MarkPeersComplete(map[string]clock.Millis{peer: asOf})
}

// MarkPeersComplete notes that the copy holds all that each peer held at its time.
func (f *Freshness) MarkPeersComplete(heard map[string]clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.heard == nil {
		f.heard = map[string]clock.Millis{}
	}
	for peer, asOf := range heard {
		if before, found := f.heard[peer]; !found || asOf > before {
			f.heard[peer] = asOf
		}
	}
	f.learnFromAll()
}

// PeerCompleteAsOf returns the time as of which the copy holds all that a peer held.
func (f *Freshness) PeerCompleteAsOf(peer string) (asOf clock.Millis, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	asOf, found = f.heard[peer]
	return asOf, found
}

// SetPeers tells which other VMs may accept changes. An empty list that is not
// nil says that there are none.
func (f *Freshness) SetPeers(names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers = names
	f.learnFromAll()
}

// Age returns how old the VM's knowledge is; known is false if it never had any.
func (f *Freshness) Age() (age clock.Millis, known bool) {
	asOf := f.asOf.Load()
	if asOf == nil {
		return 0, false
	}
	return f.Clock.Now() - *asOf, true
}

// IsFresh says whether keyed work may be done.
func (f *Freshness) IsFresh() bool {
	age, known := f.Age()
	return known && age <= MaxAge
}

// learnFromAll draws the conclusion from having heard all peers: a change
// accepted before the earliest of the times is held by the VM that accepted it,
// hence is in this VM's copy. Callers hold mu.
func (f *Freshness) learnFromAll() {
	if f.peers == nil {
		return
	}
	earliest := f.Clock.Now()
	for _, peer := range f.peers {
		at, found := f.heard[peer]
		if !found {
			return
		}
		earliest = min(earliest, at)
	}
	f.learn(earliest)
}

func (f *Freshness) learn(asOf clock.Millis) {
	if before := f.asOf.Load(); before == nil || asOf > *before {
		f.asOf.Store(&asOf)
	}
}
