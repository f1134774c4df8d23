package limit

import (
	"cmp"
	"context"
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/contract"
)

const (
	// maxBatch bounds the number of tokens requested from one peer at once.
	maxBatch = 512
	// maxScanPasses bounds how often one scan asks all peers. A scan is one call of
	// askPeers.
	maxScanPasses = 8
	// maxPeerWait bounds how long a peer may delay its reply. It is well below the
	// timeout of the call.
	maxPeerWait = 120 * clock.Millis(1)
)

// waitAtPeer sends a TakeRequest to the peer that expects a token first, and lets it
// delay its reply until then. It returns false without a call if this VM's own share
// will have a token earlier, no peer expects one within maxPeerWait, or all queued
// requests come from peers.
func (w *workspaceLimiter) waitAtPeer(ctx context.Context) bool {
	now := w.limiter.Clock.Now()
	ownWait := w.allocation.Wait(contract.TokensPerRequest)
	w.mu.Lock()
	firstPeer, at := "", now+min(ownWait, maxPeerWait)
	for peer, state := range w.peers {
		if state.nextTokenAt > now && state.nextTokenAt < at {
			firstPeer, at = peer, state.nextTokenAt
		}
	}
	w.mu.Unlock()
	if firstPeer == "" || w.tokensWanted() == 0 {
		return false
	}
	w.sendTake(ctx, firstPeer, TakeRequest{Resource: w.resource, Want: 1, Patience: min(ownWait, maxPeerWait)})
	return true
}

// askPeers asks the peers for tokens for all queued requests, those with the fullest
// shares first. As requests may join the queue meanwhile, it repeats the pass as long
// as a pass yields tokens, at most maxScanPasses times.
func (w *workspaceLimiter) askPeers(ctx context.Context) {
	for range maxScanPasses {
		if w.askPeersOnce(ctx) == 0 {
			return
		}
	}
}

// askPeersOnce asks each peer that is not backing off once and returns the number of
// tokens received.
func (w *workspaceLimiter) askPeersOnce(ctx context.Context) (taken int64) {
	for _, peer := range w.peersByFullness() {
		want := w.tokensWanted()
		if want == 0 {
			break
		}
		if !w.isBackingOff(peer) {
			taken += w.askPeer(ctx, peer, want)
		}
	}
	return taken
}

// peersByFullness returns the reachable peers, ordered by the estimated fullness of
// their shares, because tokens that flow into a full share are lost. A peer that has
// not been asked yet counts as full. Equally full peers stay in the order of distance,
// nearest first.
func (w *workspaceLimiter) peersByFullness() []string {
	if w.limiter.Peers == nil {
		return nil
	}
	peers := w.limiter.Peers.NearestPeers()
	now := w.limiter.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	fullness := func(peer string) int64 {
		if state := w.peers[peer]; state != nil {
			return state.fullness(now) / fullnessStep
		}
		return fullnessSteps
	}
	slices.SortStableFunc(peers, func(a, b string) int { return cmp.Compare(fullness(b), fullness(a)) })
	return peers
}

func (w *workspaceLimiter) askPeer(ctx context.Context, peer string, want int64) (taken int64) {
	return w.sendTake(ctx, peer, TakeRequest{Resource: w.resource, Want: want})
}

// sendTake sends a request to one peer and admits queued requests with the tokens that
// it returns. Requests that join the queue meanwhile get none of them: the peer may have
// spent the tokens before they came, and then more could run in a time window than rate
// and burst allow. Requests that were sent by peers get none either.
func (w *workspaceLimiter) sendTake(ctx context.Context, peer string, request TakeRequest) (taken int64) {
	w.mu.Lock()
	lastQueued := w.lastQueued
	w.mu.Unlock()
	w.counters.peersAsked.Inc(1)
	reply, err := w.limiter.Peers.Take(ctx, peer, request)
	if err != nil {
		w.counters.peersUnanswered.Inc(1)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordReplyLocked(peer, reply, err)
	w.peerAdmissions.add(w.limiter.Clock.Now(), reply.Taken)
	w.admitLocked(reply.Taken, func(queued waiter) bool { return queued.number <= lastQueued && !queued.isFromPeer })
	return reply.Taken
}

// recordReplyLocked updates the state of a peer after a reply, or after an error.
func (w *workspaceLimiter) recordReplyLocked(peer string, reply TakeReply, err error) {
	if w.peers == nil {
		w.peers = map[string]*peerState{}
	}
	if w.peers[peer] == nil {
		w.peers[peer] = &peerState{}
	}
	now := w.limiter.Clock.Now()
	if err != nil {
		*w.peers[peer] = peerState{retryAt: now + timeoutBackoff}
		return
	}
	w.peers[peer].record(reply, now)
}

func (w *workspaceLimiter) isBackingOff(peer string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := w.peers[peer]
	return state != nil && w.limiter.Clock.Now() < state.retryAt
}

// tokensWanted returns the number of queued requests that were not sent by peers, at
// most maxBatch.
func (w *workspaceLimiter) tokensWanted() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	own := 0
	for _, waiter := range w.waiters {
		if !waiter.isFromPeer {
			own++
		}
	}
	return int64(min(own, maxBatch))
}

// retryAfter returns the time until the VM's own share or a peer's, according to its
// last reply, has a token again.
func (w *workspaceLimiter) retryAfter(now clock.Millis) clock.Millis {
	soonest := w.allocation.Wait(contract.TokensPerRequest)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, peer := range w.peers {
		if peer.nextTokenAt > now {
			soonest = min(soonest, peer.nextTokenAt-now)
		}
	}
	if soonest == contract.Never {
		return unknownRetryAfter
	}
	return max(soonest, minRetryAfter)
}
