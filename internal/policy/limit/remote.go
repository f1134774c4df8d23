package limit

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/contract"
)

const (
	// DefaultMaxWait is a Limiter's MaxWait in an entry VM. It spans the time in
	// which a dead VM's share is lost, until the platform's list drops the VM.
	DefaultMaxWait = 3 * clock.Second

	// queueSpan bounds a queue to what may be served in that time, so that a
	// workspace of a high rate that is exceeded does not wait for MaxWait.
	queueSpan = 1 * clock.Second
	// minWaiting and maxWaiting bound the limit on one workspace's queue.
	minWaiting = 32
	maxWaiting = 2048
	// longestEstimate bounds the time over which a peer's tokens are estimated.
	longestEstimate = 1 * clock.Minute
	// Shares count as equally full within fullnessStep thousandths, so that nearness
	// decides among them.
	fullnessStep  = 250
	fullnessSteps = 1000 / fullnessStep
	// maxBatch bounds the tokens asked of one peer at once.
	maxBatch = 512
	// maxPasses bounds how often one scan goes round the peers.
	maxPasses = 8
	// longestPatience bounds how long a peer keeps a question. It is well within
	// the time after which a question counts as not answered.
	longestPatience = 120 * clock.Millis(1)
	// longestPause bounds the pause between two scans, because shares may grow.
	longestPause = 100 * clock.Millis(1)
	// firstRest is how long a peer is left alone after a fruitless ask, at least.
	firstRest = 2 * clock.Millis(1)
	// maxDoublings bounds how often the rest doubles with fruitless asks in a row,
	// and maxRest bounds it in all.
	maxDoublings = 5
	maxRest      = 500 * clock.Millis(1)
	// unansweredRest is the rest of a peer that did not answer.
	unansweredRest = 1 * clock.Second
)

// gate is one workspace's way in.
type gate struct {
	resource contract.Resource
	part     *contract.Allocation
	limiter  *Limiter
	counters *counters

	mu sync.Mutex
	// waiting holds the requests that wait for a token, oldest first. Guarded by mu.
	waiting []waiter
	// hasQueue says that requests wait, so that new ones queue behind them.
	hasQueue atomic.Bool
	// pumping says that one goroutine looks for tokens for all that wait. Guarded
	// by mu.
	pumping bool
	// rests tells when a peer may be asked again. An over-rate workspace must not
	// cause a call for each request that it is refused. Guarded by mu.
	rests map[string]*rest
	// fromPeers counts what peers admitted. Guarded by mu.
	fromPeers secondCount
}

// secondCount counts events in the current second and in the one before it.
type secondCount struct {
	since         clock.Millis
	current, last int64
}

func (c *secondCount) add(now clock.Millis, events int64) {
	if now-c.since >= clock.Second {
		c.since, c.last, c.current = now, c.current, 0
	}
	c.current += events
}

// waiter is one request that waits.
type waiter struct {
	// answer gets at most one value.
	answer chan bool
	// foreign says that the request waits at a peer, which looks for tokens
	// elsewhere itself.
	foreign bool
}

// rest is what a peer's last answers say about asking it again.
type rest struct {
	until clock.Millis
	// fruitless counts asks in a row that gave nothing.
	fruitless int
	// tokenAt is when the peer said it would have a token; 0 if it did not say.
	tokenAt clock.Millis
	// share and left are what the peer held at heardAt.
	share   contract.Share
	left    int64
	heardAt clock.Millis
}

// fullness estimates how full the peer's share is now, in thousandths.
func (r *rest) fullness(now clock.Millis) int64 {
	if r.share.Size == 0 {
		return 0
	}
	flowed := r.share.Rate * int64(min(now-r.heardAt, longestEstimate)) / int64(clock.Second)
	return min(r.left+flowed, r.share.Size) * 1000 / r.share.Size
}

// takeOwnFirst takes a token of the VM's own share, unless others wait for it.
func (g *gate) takeOwnFirst() bool {
	if g.hasQueue.Load() {
		g.part.AddUnmet(contract.TokensPerRequest)
		return false
	}
	return g.part.Take(contract.TokensPerRequest)
}

// admitLater reports whether a token for the request came from a peer, or from
// the VM's own share within the longest wait.
func (g *gate) admitLater(ctx context.Context) bool {
	if g.limiter.MaxWait > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, longestWait(ctx, g.limiter.MaxWait))
		defer cancel()
	}
	return g.queue(ctx, false)
}

// serveLater reports whether this VM had a token for a peer's request in time.
func (g *gate) serveLater(patience clock.Millis) bool {
	ctx, cancel := context.WithTimeout(context.Background(), patience.Duration())
	defer cancel()
	return g.queue(ctx, true)
}

// queue waits for a token until ctx ends.
func (g *gate) queue(ctx context.Context, foreign bool) bool {
	g.mu.Lock()
	if len(g.waiting) >= g.queueLimitLocked() {
		g.mu.Unlock()
		return false
	}
	answer := make(chan bool, 1)
	g.setWaitingLocked(append(g.waiting, waiter{answer: answer, foreign: foreign}))
	begins := !g.pumping
	g.pumping = true
	g.mu.Unlock()
	if begins {
		// The pump serves others too, so it does not end with this request.
		go g.pump(context.WithoutCancel(ctx))
	}
	select {
	case admitted := <-answer:
		return admitted
	case <-ctx.Done():
		return g.leave(answer)
	}
}

// longestWait leaves a request at least half of its time to run.
func longestWait(ctx context.Context, longest clock.Millis) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return longest.Duration()
	}
	return min(longest.Duration(), time.Until(deadline)/2)
}

// queueLimitLocked bounds the queue to what may be served in time, so that most
// of what an over-rate workspace sends is refused at once.
func (g *gate) queueLimitLocked() int {
	perSecond := g.part.Share().Rate/contract.TokensPerRequest + max(g.fromPeers.last, g.fromPeers.current)
	served := perSecond * int64(min(g.limiter.MaxWait, queueSpan)) / int64(clock.Second)
	return int(min(minWaiting+served, maxWaiting))
}

// leave ends a wait. A token that came at the last moment is still used.
func (g *gate) leave(answer chan bool) bool {
	g.mu.Lock()
	g.setWaitingLocked(slices.DeleteFunc(g.waiting, func(w waiter) bool { return w.answer == answer }))
	g.mu.Unlock()
	select {
	case admitted := <-answer:
		return admitted
	default:
		return false
	}
}

// pump looks for tokens until nobody waits, or once if there is no waiting.
func (g *gate) pump(ctx context.Context) {
	for {
		g.scan(ctx)
		if g.isDone() {
			return
		}
		if !g.askPatiently(ctx) {
			_ = clock.Sleep(ctx, g.untilNextToken())
		}
		g.takeOwn()
	}
}

// isDone ends the pump if nobody waits any more.
func (g *gate) isDone() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limiter.MaxWait == 0 {
		for _, waiter := range g.waiting {
			waiter.answer <- false
		}
		g.setWaitingLocked(nil)
	}
	g.pumping = len(g.waiting) > 0
	return !g.pumping
}

// untilNextToken returns when to look again.
func (g *gate) untilNextToken() clock.Millis {
	now := g.limiter.Clock.Now()
	soonest := min(g.part.Wait(contract.TokensPerRequest), longestPause)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, known := range g.rests {
		if known.until > now {
			soonest = min(soonest, known.until-now)
		}
	}
	return max(soonest, 1)
}

// takeOwn serves those that wait from the VM's own share.
func (g *gate) takeOwn() {
	g.mu.Lock()
	defer g.mu.Unlock()
	taken, _ := g.part.TakeMultiple(int64(len(g.waiting)), contract.TokensPerRequest)
	g.serveLocked(taken, true)
}

// serveLocked admits the oldest that wait. Tokens of peers are not for foreign
// requests.
func (g *gate) serveLocked(tokens int64, foreignToo bool) {
	left := g.waiting[:0:0]
	for _, waiter := range g.waiting {
		if tokens > 0 && (foreignToo || !waiter.foreign) {
			waiter.answer <- true
			tokens--
			continue
		}
		left = append(left, waiter)
	}
	g.setWaitingLocked(left)
}

func (g *gate) setWaitingLocked(waiting []waiter) {
	g.waiting = waiting
	g.hasQueue.Store(len(waiting) > 0)
}

// askPatiently asks the peer that will have a token first to keep the question
// until then. It reports false if this VM will have one before, or nobody soon.
func (g *gate) askPatiently(ctx context.Context) bool {
	now := g.limiter.Clock.Now()
	own := g.part.Wait(contract.TokensPerRequest)
	g.mu.Lock()
	soonest, at := "", now+min(own, longestPatience)
	for peer, known := range g.rests {
		if known.tokenAt > now && known.tokenAt < at {
			soonest, at = peer, known.tokenAt
		}
	}
	g.mu.Unlock()
	if soonest == "" || g.wanted() == 0 {
		return false
	}
	g.askFor(ctx, soonest, TakeRequest{Resource: g.resource, Want: 1, Patience: min(own, longestPatience)})
	return true
}

// scan asks the peers, nearest first. Requests that come while it runs join it,
// so it goes round again as long as that gives tokens.
func (g *gate) scan(ctx context.Context) {
	for range maxPasses {
		if g.pass(ctx) == 0 {
			return
		}
	}
}

// pass asks each peer once and returns how many tokens that gave.
func (g *gate) pass(ctx context.Context) (taken int64) {
	for _, peer := range g.likeliest() {
		want := g.wanted()
		if want == 0 {
			break
		}
		if !g.isResting(peer) {
			taken += g.ask(ctx, peer, want)
		}
	}
	return taken
}

// likeliest returns the reachable peers, those first whose shares are fullest
// after what they last said, because a full one loses what flows in. A peer that
// has not been asked yet counts as full. Equal ones keep the order of nearness.
func (g *gate) likeliest() []string {
	if g.limiter.Peers == nil {
		return nil
	}
	peers := g.limiter.Peers.Near()
	now := g.limiter.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	fullness := func(peer string) int64 {
		if known := g.rests[peer]; known != nil {
			return known.fullness(now) / fullnessStep
		}
		return fullnessSteps
	}
	slices.SortStableFunc(peers, func(a, b string) int { return cmp.Compare(fullness(b), fullness(a)) })
	return peers
}

func (g *gate) ask(ctx context.Context, peer string, want int64) (taken int64) {
	return g.askFor(ctx, peer, TakeRequest{Resource: g.resource, Want: want})
}

func (g *gate) askFor(ctx context.Context, peer string, request TakeRequest) (taken int64) {
	g.counters.asked.Inc(1)
	reply, err := g.limiter.Peers.Take(ctx, peer, request)
	if err != nil {
		g.counters.unanswered.Inc(1)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteLocked(peer, reply, err)
	g.fromPeers.add(g.limiter.Clock.Now(), reply.Taken)
	g.serveLocked(reply.Taken, false)
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
	now := g.limiter.Clock.Now()
	switch {
	case err != nil:
		*known = rest{until: now + unansweredRest}
		return
	case reply.Taken > 0:
		known.fruitless = 0
	default:
		known.fruitless++
	}
	known.share, known.left, known.heardAt = reply.Share, reply.Left, now
	known.tokenAt = 0
	if reply.Wait != contract.Never {
		known.tokenAt = now + reply.Wait
	}
	pause := reply.Wait
	if known.fruitless > 0 {
		pause = max(pause, firstRest<<min(known.fruitless-1, maxDoublings))
	}
	known.until = now + min(pause, maxRest)
}

func (g *gate) isResting(peer string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.rests[peer]
	return known != nil && g.limiter.Clock.Now() < known.until
}

func (g *gate) wanted() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := 0
	for _, waiter := range g.waiting {
		if !waiter.foreign {
			own++
		}
	}
	return int64(min(own, maxBatch))
}

// retryAfter returns when the VM's own share or a peer's, by its last word, has
// a token again.
func (g *gate) retryAfter(now clock.Millis) clock.Millis {
	soonest := g.part.Wait(contract.TokensPerRequest)
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
