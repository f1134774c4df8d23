package limit

import (
	"context"
	"slices"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/contract"
)

const (
	// maxWaiting bounds the requests of one workspace that wait for peers.
	maxWaiting = 256
	// maxBatch bounds the tokens asked of one peer at once.
	maxBatch = 64
	// maxPasses bounds how often one scan goes round the peers.
	maxPasses = 8
	// scanTimeout bounds a scan.
	scanTimeout = 2 * clock.Second
	// firstRest is how long a peer is left alone after a fruitless ask, at least.
	firstRest = 2 * clock.Millis(1)
	// maxRest bounds the rest, which doubles with each fruitless ask in a row.
	maxRest = 500 * clock.Millis(1)
	// unansweredRest is the rest of a peer that did not answer.
	unansweredRest = 1 * clock.Second
)

// gate is one workspace's way in.
type gate struct {
	resource contract.Resource
	part     *contract.Part
	peers    Peers
	clock    clock.Clock
	counters *counters

	mu sync.Mutex
	// waiting holds the requests that wait for a peer's token, oldest first; each
	// gets one value. Guarded by mu.
	waiting []chan bool
	// scanning says that one goroutine asks peers for all that wait. Guarded by mu.
	scanning bool
	// rests tells when a peer may be asked again. An over-rate workspace must not
	// cause a call for each request that it is refused. Guarded by mu.
	rests map[string]*rest
}

// rest is what a peer's last answers say about asking it again.
type rest struct {
	until clock.Millis
	// fruitless counts asks in a row that gave nothing.
	fruitless int
	// tokenAt is when the peer said it would have a token; 0 if it did not say.
	tokenAt clock.Millis
}

// admitRemotely reports whether a peer admitted the request.
func (g *gate) admitRemotely(ctx context.Context) bool {
	g.mu.Lock()
	if len(g.waiting) >= maxWaiting {
		g.mu.Unlock()
		return false
	}
	answer := make(chan bool, 1)
	g.waiting = append(g.waiting, answer)
	leads := !g.scanning
	g.scanning = true
	g.mu.Unlock()
	if leads {
		// The scan serves others too, so it does not end with this request.
		go g.scan(context.WithoutCancel(ctx))
	}
	select {
	case admitted := <-answer:
		return admitted
	case <-ctx.Done():
		return g.leave(answer)
	}
}

// leave ends a wait. A token that came at the last moment is still used.
func (g *gate) leave(answer chan bool) bool {
	g.mu.Lock()
	g.waiting = slices.DeleteFunc(g.waiting, func(c chan bool) bool { return c == answer })
	g.mu.Unlock()
	select {
	case admitted := <-answer:
		return admitted
	default:
		return false
	}
}

// scan asks the peers, nearest first, and then refuses all that still wait.
// Requests that come while it runs join it, so it goes round again as long as
// that gives tokens.
func (g *gate) scan(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout.Duration())
	defer cancel()
	for range maxPasses {
		if g.pass(ctx) == 0 {
			break
		}
	}
	g.finish()
}

// pass asks each peer once and returns how many tokens that gave.
func (g *gate) pass(ctx context.Context) (taken int64) {
	for _, peer := range g.peers.Near() {
		want := g.wanted()
		if want == 0 || ctx.Err() != nil {
			break
		}
		if !g.isResting(peer) {
			taken += g.ask(ctx, peer, want)
		}
	}
	return taken
}

func (g *gate) ask(ctx context.Context, peer string, want int64) (taken int64) {
	g.counters.asked.Inc(1)
	reply, err := g.peers.Take(ctx, peer, TakeRequest{Resource: g.resource, Want: want})
	if err != nil {
		g.counters.unanswered.Inc(1)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteLocked(peer, reply, err)
	for range reply.Taken {
		if len(g.waiting) == 0 {
			break
		}
		g.waiting[0] <- true
		g.waiting = g.waiting[1:]
	}
	return reply.Taken
}

// noteLocked remembers what an answer says about asking the peer again.
func (g *gate) noteLocked(peer string, reply TakeReply, err error) {
	if g.rests == nil {
		g.rests = map[string]*rest{}
	}
	known := g.rests[peer]
	if known == nil {
		known = &rest{}
		g.rests[peer] = known
	}
	now := g.clock.Now()
	switch {
	case err != nil:
		*known = rest{until: now + unansweredRest}
		return
	case reply.Taken > 0:
		known.fruitless = 0
	default:
		known.fruitless++
	}
	known.tokenAt = 0
	if reply.Wait != contract.Never {
		known.tokenAt = now + reply.Wait
	}
	pause := reply.Wait
	if known.fruitless > 0 {
		pause = max(pause, firstRest<<min(known.fruitless-1, 8))
	}
	known.until = now + min(pause, maxRest)
}

func (g *gate) isResting(peer string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.rests[peer]
	return known != nil && g.clock.Now() < known.until
}

func (g *gate) wanted() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(min(len(g.waiting), maxBatch))
}

// finish ends the scan and gives those that still wait a last try at the VM's
// own share, which may have filled meanwhile.
func (g *gate) finish() {
	g.mu.Lock()
	defer g.mu.Unlock()
	own, _ := g.part.TakeFor(int64(len(g.waiting)), contract.Request)
	for i, answer := range g.waiting {
		answer <- int64(i) < own
	}
	g.waiting = g.waiting[:0]
	g.scanning = false
}

// retryAfter returns when the VM's own share or a peer's, by its last word, has
// a token again.
func (g *gate) retryAfter(now clock.Millis) clock.Millis {
	soonest := g.part.Wait(contract.Request)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, known := range g.rests {
		if known.tokenAt > now {
			soonest = min(soonest, known.tokenAt-now)
		}
	}
	if soonest == contract.Never {
		return unknownRetryAfter
	}
	return max(soonest, minRetryAfter)
}
