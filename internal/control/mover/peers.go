package mover

import (
	"context"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/retry"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	// callTimeout bounds a call to a peer.
	callTimeout = 500 * clock.Millis(1)
	// maxParallelCalls bounds the calls to peers in flight.
	maxParallelCalls = 32
)

func (m *Mover) call(ctx context.Context, member membership.Member, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	return m.Peers.Call(ctx, member.PeerAddress, ReceiverName+"."+method, args, reply)
}

// forEachPeer calls do for each member, at most maxParallelCalls at a time, and waits
// for all calls.
func forEachPeer(members []membership.Member, do func(member membership.Member)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxParallelCalls)
	for _, member := range members {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			do(member)
		})
	}
	group.Wait()
}

// peerBackoff is the backoff of a peer whose last call failed, and the time until
// which it is not called.
type peerBackoff struct {
	backoff retry.Backoff
	until   clock.Millis
}

func (m *Mover) canCall(peer vm.ID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry := m.peerBackoffs[peer]
	return entry == nil || m.Clock.Now() >= entry.until
}

func (m *Mover) recordCall(peer vm.ID, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		delete(m.peerBackoffs, peer)
		return
	}
	entry := m.peerBackoffs[peer]
	if entry == nil {
		entry = &peerBackoff{backoff: retry.Backoff{Max: maxBackoff}}
		if m.peerBackoffs == nil {
			m.peerBackoffs = map[vm.ID]*peerBackoff{}
		}
		m.peerBackoffs[peer] = entry
	}
	entry.until = m.Clock.Now() + entry.backoff.NextDelay()
}
