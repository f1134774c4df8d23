package limit

import (
	"context"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/contract"
)

const (
	// maxLinkWait bounds each wait for bytes of a link. After it the share is checked
	// again, because it may have grown.
	maxLinkWait = 50 * clock.Millis(1)
	// maxLinkChunk is the maximum number of bytes taken from a link's share at once.
	maxLinkChunk = 64 << 10
	// shortfallBackoff is how long a peer is not asked again after it had fewer bytes
	// than it was asked for.
	shortfallBackoff = 20 * clock.Millis(1)
)

// linkPeers is the state of requests to peers for bytes of one link.
type linkPeers struct {
	mu sync.Mutex
	// isRequestInFlight reports whether a request to a peer is in flight. There is at
	// most one at a time, which bounds the bytes that peers have spent but this VM has
	// not sent yet. Guarded by mu.
	isRequestInFlight bool
	// retryAt is the time from which each peer may be asked again. Guarded by mu.
	retryAt map[string]clock.Millis
}

// Wait paces an upload or a response: it returns once it has taken the given number of
// bytes from the link's shares, or with ctx's error.
func (l *Limiter) Wait(ctx context.Context, resource contract.Resource, bytes int64) error {
	allocation := l.Holder.Allocation(resource)
	for {
		bytes -= l.TakeBytes(ctx, resource, bytes)
		if bytes <= 0 {
			return nil
		}
		wait := min(allocation.Wait(chunkSize(allocation, bytes)), maxLinkWait)
		if err := clock.Sleep(ctx, max(wait, 1)); err != nil {
			return err
		}
	}
}

// TakeBytes takes up to limit bytes of a link, which may be sent at once: from the VM's
// own share and, if that is empty, from the shares of peers. Peers spend the bytes when
// they are asked, so the caller must not keep them for later. If a reply is lost, its
// bytes are lost too.
func (l *Limiter) TakeBytes(ctx context.Context, resource contract.Resource, limit int64) (taken int64) {
	allocation := l.Holder.Allocation(resource)
	for taken < limit {
		chunk := chunkSize(allocation, limit-taken)
		if allocation.Take(chunk) {
			taken += chunk
			continue
		}
		peerBytes := l.takeFromPeers(ctx, resource, min(limit-taken, maxLinkChunk))
		taken += peerBytes
		if peerBytes == 0 {
			return taken
		}
	}
	return taken
}

// chunkSize returns how many bytes to take at once from the VM's own share.
func chunkSize(allocation *contract.Allocation, bytes int64) int64 {
	return min(bytes, maxLinkChunk, max(1, allocation.Share().Size))
}

// takeFromPeers asks the peers at the ends of the link, one after the other, until one
// has bytes, and returns how many it got. Peers in other regions have no share of the
// link.
func (l *Limiter) takeFromPeers(ctx context.Context, resource contract.Resource, want int64) int64 {
	if l.Peers == nil {
		return 0
	}
	link := l.linkPeers(resource)
	if !link.tryAcquire() {
		return 0
	}
	defer link.release()
	for _, peer := range l.Peers.NearestPeersAtLink(resource) {
		if link.isBackingOff(peer, l.Clock.Now()) {
			continue
		}
		if taken := l.takeFromPeer(ctx, link, peer, TakeRequest{Resource: resource, Want: want}); taken > 0 {
			return taken
		}
	}
	return 0
}

// takeFromPeer asks one peer for bytes and returns how many it got. A peer that did
// not reply, or had fewer bytes than requested, is not asked again for some time.
func (l *Limiter) takeFromPeer(ctx context.Context, link *linkPeers, peer string, request TakeRequest) int64 {
	counters := l.metrics()
	counters.peersAsked.Inc(1)
	reply, err := l.Peers.Take(ctx, peer, request)
	now := l.Clock.Now()
	switch {
	case err != nil:
		counters.peersUnanswered.Inc(1)
		link.backOff(peer, now+timeoutBackoff)
		return 0
	case reply.Taken == 0:
		link.backOff(peer, now+min(max(reply.Wait, shortfallBackoff), maxBackoff))
	case reply.Taken < request.Want:
		link.backOff(peer, now+shortfallBackoff)
	}
	counters.bytesFromPeers.Inc(reply.Taken)
	return reply.Taken
}

// serveBytes takes up to request.Want bytes of this VM's share for a peer.
func (l *Limiter) serveBytes(request TakeRequest) TakeReply {
	allocation := l.Holder.Allocation(request.Resource)
	taken, wait := allocation.TakeUpTo(min(request.Want, maxLinkChunk))
	return TakeReply{Taken: taken, Wait: wait, Share: allocation.Share(), Left: allocation.AvailableTokens()}
}

// linkPeers returns the state of requests for bytes of a link, created at first use.
func (l *Limiter) linkPeers(resource contract.Resource) *linkPeers {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links == nil {
		l.links = map[contract.Resource]*linkPeers{}
	}
	known := l.links[resource]
	if known == nil {
		known = &linkPeers{retryAt: map[string]clock.Millis{}}
		l.links[resource] = known
	}
	return known
}

// tryAcquire reports whether the caller may send requests to peers. If so, it must call
// release afterwards.
func (p *linkPeers) tryAcquire() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isRequestInFlight {
		return false
	}
	p.isRequestInFlight = true
	return true
}

func (p *linkPeers) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isRequestInFlight = false
}

// backOff sets the time until which the peer is not asked.
func (p *linkPeers) backOff(peer string, until clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryAt[peer] = until
}

func (p *linkPeers) isBackingOff(peer string, now clock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	until, known := p.retryAt[peer]
	return known && now < until
}
