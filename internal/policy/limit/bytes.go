package limit

import (
	"context"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/contract"
)

const (
	// linkPoll bounds each wait for a link's bytes, because shares may grow.
	linkPoll = 50 * clock.Millis(1)
	// linkPiece is the most bytes taken from a link at once.
	linkPiece = 64 << 10
	// shortRest is how long a peer that had fewer bytes than were asked for is not
	// asked again.
	shortRest = 20 * clock.Millis(1)
)

// linkGate asks peers for bytes of one link.
type linkGate struct {
	mu sync.Mutex
	// asking says that a question is under way. One at a time bounds the bytes that
	// peers have spent and that are not sent yet. Guarded by mu.
	asking bool
	// rests tells until when a peer is not asked. Guarded by mu.
	rests map[string]clock.Millis
}

// Wait paces an upload or an answer: it returns when bytes of the link's shares were taken, or
// with ctx's error.
func (l *Limiter) Wait(ctx context.Context, resource contract.Resource, bytes int64) error {
	part := l.Holder.Allocation(resource)
	for {
		bytes -= l.TakeBytes(ctx, resource, bytes)
		if bytes <= 0 {
			return nil
		}
		wait := min(part.Wait(pieceOf(part, bytes)), linkPoll)
		if err := clock.Sleep(ctx, max(wait, 1)); err != nil {
			return err
		}
	}
}

// TakeBytes takes up to most bytes of a link that may be sent now: of the VM's own
// share, and of the shares of peers when that is short. Peers spend the bytes at
// that moment, so none are kept for later; a lost answer loses them.
func (l *Limiter) TakeBytes(ctx context.Context, resource contract.Resource, most int64) (taken int64) {
	part := l.Holder.Allocation(resource)
	for taken < most {
		piece := pieceOf(part, most-taken)
		if part.Take(piece) {
			taken += piece
			continue
		}
		fromPeers := l.bytesOfPeers(ctx, resource, min(most-taken, linkPiece))
		taken += fromPeers
		if fromPeers == 0 {
			return taken
		}
	}
	return taken
}

// pieceOf returns how many bytes to take at once from the VM's own share.
func pieceOf(part *contract.Allocation, bytes int64) int64 {
	return min(bytes, linkPiece, max(1, part.Share().Size))
}

// bytesOfPeers asks the peers at the link's ends in turn until one gives bytes.
// Other regions have none.
func (l *Limiter) bytesOfPeers(ctx context.Context, resource contract.Resource, want int64) int64 {
	if l.Peers == nil {
		return 0
	}
	gate := l.linkGate(resource)
	if !gate.begin() {
		return 0
	}
	defer gate.end()
	for _, peer := range l.Peers.NearLink(resource) {
		if gate.isResting(peer, l.Clock.Now()) {
			continue
		}
		if taken := l.askForBytes(ctx, gate, peer, TakeRequest{Resource: resource, Want: want}); taken > 0 {
			return taken
		}
	}
	return 0
}

func (l *Limiter) askForBytes(ctx context.Context, gate *linkGate, peer string, request TakeRequest) int64 {
	counters := l.metrics()
	counters.asked.Inc(1)
	reply, err := l.Peers.Take(ctx, peer, request)
	now := l.Clock.Now()
	switch {
	case err != nil:
		counters.unanswered.Inc(1)
		gate.rest(peer, now+unansweredRest)
		return 0
	case reply.Taken == 0:
		gate.rest(peer, now+min(max(reply.Wait, shortRest), maxRest))
	case reply.Taken < request.Want:
		gate.rest(peer, now+shortRest)
	}
	counters.bytesFromPeers.Inc(reply.Taken)
	return reply.Taken
}

// serveBytes spends up to want bytes of this VM's share for a peer.
func (l *Limiter) serveBytes(request TakeRequest) TakeReply {
	part := l.Holder.Allocation(request.Resource)
	taken, wait := part.TakeUpTo(min(request.Want, linkPiece))
	return TakeReply{Taken: taken, Wait: wait, Share: part.Share(), Left: part.AvailableTokens()}
}

func (l *Limiter) linkGate(resource contract.Resource) *linkGate {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links == nil {
		l.links = map[contract.Resource]*linkGate{}
	}
	known := l.links[resource]
	if known == nil {
		known = &linkGate{rests: map[string]clock.Millis{}}
		l.links[resource] = known
	}
	return known
}

func (g *linkGate) begin() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.asking {
		return false
	}
	g.asking = true
	return true
}

func (g *linkGate) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asking = false
}

func (g *linkGate) rest(peer string, until clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rests[peer] = until
}

func (g *linkGate) isResting(peer string, now clock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	until, known := g.rests[peer]
	return known && now < until
}
