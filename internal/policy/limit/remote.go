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
	// DefaultMaxWait is the MaxWait of the Limiter in an entry VM. It covers the time
	// for which the share of a failed VM is unavailable, until the platform removes the
	// VM from its list.
	DefaultMaxWait = 3 * clock.Second

	// maxQueueTime bounds a queue to the requests that can be admitted in that time.
	// Without this bound, the requests of a workspace that exceeds a high rate would
	// wait for MaxWait before they are refused.
	maxQueueTime = 1 * clock.Second
	// baseQueueLimit is added to the number of requests that can be admitted in
	// maxQueueTime; maxQueueLimit bounds the sum.
	baseQueueLimit = 32
	maxQueueLimit  = 2048
	// maxEstimateAge bounds the time for which a peer's tokens are extrapolated from
	// its last reply.
	maxEstimateAge = 1 * clock.Minute
	// fullnessStep is the resolution, in thousandths, at which the shares of peers are
	// compared by how full they are. Among equally full shares the nearest peer comes
	// first. fullnessSteps is the value of a full share.
	fullnessStep  = 250
	fullnessSteps = 1000 / fullnessStep
	// maxBatch bounds the number of tokens requested from one peer at once.
	maxBatch = 512
	// maxScanPasses bounds how often one scan asks all peers. A scan is one call of
	// askPeers.
	maxScanPasses = 8
	// maxPeerWait bounds how long a peer may delay its reply. It is well below the
	// timeout of the call.
	maxPeerWait = 120 * clock.Millis(1)
	// maxScanInterval bounds the time between two scans, because shares may grow
	// meanwhile.
	maxScanInterval = 100 * clock.Millis(1)
	// minBackoff is the backoff for a peer after its first reply without tokens.
	minBackoff = 2 * clock.Millis(1)
	// maxDoublings bounds how often the backoff doubles with consecutive replies
	// without tokens, and maxBackoff bounds the backoff, including the wait that the
	// peer reported.
	maxDoublings = 5
	maxBackoff   = 500 * clock.Millis(1)
	// timeoutBackoff is the backoff for a peer that did not reply in time.
	timeoutBackoff = 1 * clock.Second
)

// workspaceLimiter admits the requests of one workspace to one service. Requests that
// find the VM's share empty wait in a queue, which one goroutine serves with tokens of
// the VM's own share and with tokens of peers.
type workspaceLimiter struct {
	resource   contract.Resource
	allocation *contract.Allocation
	limiter    *Limiter
	counters   *counters

	mu sync.Mutex
	// waiters is the queue of requests that wait for a token, oldest first. Guarded by
	// mu.
	waiters []waiter
	// lastQueued is the number of the request that joined the queue last. Guarded by mu.
	lastQueued int64
	// hasWaiters reports whether the queue is not empty. New requests must then join
	// the queue, as they would otherwise take the tokens for which older requests wait.
	hasWaiters atomic.Bool
	// isServing reports whether the goroutine that serves the queue is running. Guarded
	// by mu.
	isServing bool
	// peers holds what is known about the share of each peer and when to ask it again.
	// It keeps a workspace over its rate from causing a call to a peer for each refused
	// request. Guarded by mu.
	peers map[string]*peerState
	// peerAdmissions counts the requests admitted with tokens of peers. Guarded by mu.
	peerAdmissions perSecondCounter
}

// perSecondCounter counts events in the current second and in the previous one.
type perSecondCounter struct {
	since             clock.Millis
	current, previous int64
}

func (c *perSecondCounter) add(now clock.Millis, events int64) {
	if now-c.since >= clock.Second {
		c.since, c.previous, c.current = now, c.current, 0
	}
	c.current += events
}

// waiter is a request in the queue.
type waiter struct {
	// number counts the requests of the workspace in the order in which they joined.
	number int64
	// admitted receives at most one value.
	admitted chan bool
	// isFromPeer reports whether the request is a TakeRequest of a peer. It only gets
	// tokens of this VM's share, because the peer asks other VMs itself.
	isFromPeer bool
}

// peerState is the state of a peer's share by the peer's latest replies.
type peerState struct {
	// retryAt is the time from which the peer may be asked again.
	retryAt clock.Millis
	// emptyReplies counts consecutive replies without tokens.
	emptyReplies int
	// nextTokenAt is the time at which the peer expects its next token, or 0 if
	// unknown.
	nextTokenAt clock.Millis
	// share and tokens are the peer's share and the tokens in it, at repliedAt.
	share     contract.Share
	tokens    int64
	repliedAt clock.Millis
}

// fullness returns an estimate of the part of the peer's token bucket that is filled
// now, in thousandths.
func (s *peerState) fullness(now clock.Millis) int64 {
	if s.share.Size == 0 {
		return 0
	}
	refilled := s.share.Rate * int64(min(now-s.repliedAt, maxEstimateAge)) / int64(clock.Second)
	return min(s.tokens+refilled, s.share.Size) * 1000 / s.share.Size
}

// takeOwn takes a token of the VM's own share for a request and reports whether there
// was one. It takes none while older requests wait in the queue.
func (w *workspaceLimiter) takeOwn() bool {
	if w.hasWaiters.Load() {
		w.allocation.AddUnmet(contract.TokensPerRequest)
		return false
	}
	return w.allocation.Take(contract.TokensPerRequest)
}

// waitForToken queues the request and reports whether it was admitted, with a token of
// the VM's own share or a peer's, within the maximum wait.
func (w *workspaceLimiter) waitForToken(ctx context.Context) bool {
	if w.limiter.MaxWait > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, maxWait(ctx, w.limiter.MaxWait))
		defer cancel()
	}
	return w.wait(ctx, false)
}

// admitForPeer queues a peer's request and reports whether it was admitted within
// maxWait.
func (w *workspaceLimiter) admitForPeer(maxWait clock.Millis) bool {
	ctx, cancel := context.WithTimeout(context.Background(), maxWait.Duration())
	defer cancel()
	return w.wait(ctx, true)
}

// wait queues a request until it is admitted or ctx ends, and reports whether it was
// admitted. If the queue is full, the request is not admitted.
func (w *workspaceLimiter) wait(ctx context.Context, isFromPeer bool) bool {
	w.mu.Lock()
	if len(w.waiters) >= w.queueLimitLocked() {
		w.mu.Unlock()
		return false
	}
	admitted := make(chan bool, 1)
	w.lastQueued++
	w.setWaitersLocked(append(w.waiters, waiter{number: w.lastQueued, admitted: admitted, isFromPeer: isFromPeer}))
	starts := !w.isServing
	w.isServing = true
	w.mu.Unlock()
	if starts {
		// The goroutine serves all queued requests, so it must not end with the context
		// of this one.
		go w.serveWaiters(context.WithoutCancel(ctx))
	}
	select {
	case ok := <-admitted:
		return ok
	case <-ctx.Done():
		return w.removeWaiter(admitted)
	}
}

// maxWait returns the maximum wait of a request. It leaves at least half of the time
// until ctx's deadline for running the request.
func maxWait(ctx context.Context, limit clock.Millis) time.Duration {
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		return limit.Duration()
	}
	return min(limit.Duration(), time.Until(deadline)/2)
}

// queueLimitLocked returns the maximum length of the queue: about as many requests as
// can be admitted within maxQueueTime. Most requests beyond a workspace's rate are
// therefore refused immediately.
func (w *workspaceLimiter) queueLimitLocked() int {
	perSecond := w.allocation.Share().Rate/contract.TokensPerRequest + max(w.peerAdmissions.previous, w.peerAdmissions.current)
	servable := perSecond * int64(min(w.limiter.MaxWait, maxQueueTime)) / int64(clock.Second)
	return int(min(baseQueueLimit+servable, maxQueueLimit))
}

// removeWaiter removes a request whose wait has ended. It reports whether the request
// was admitted just before.
func (w *workspaceLimiter) removeWaiter(admitted chan bool) bool {
	w.mu.Lock()
	w.setWaitersLocked(slices.DeleteFunc(w.waiters, func(queued waiter) bool { return queued.admitted == admitted }))
	w.mu.Unlock()
	select {
	case ok := <-admitted:
		return ok
	default:
		return false
	}
}

// serveWaiters asks peers for tokens and admits queued requests until the queue is
// empty. If MaxWait is 0, it asks the peers once and then refuses the remaining
// requests.
func (w *workspaceLimiter) serveWaiters(ctx context.Context) {
	for {
		w.askPeers(ctx)
		if w.stopIfIdle() {
			return
		}
		if !w.waitAtPeer(ctx) {
			_ = clock.Sleep(ctx, w.scanDelay())
		}
		w.admitFromOwnShare()
	}
}

// stopIfIdle reports whether the queue is empty, so that serveWaiters must return. If
// MaxWait is 0, it refuses the queued requests first.
func (w *workspaceLimiter) stopIfIdle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.limiter.MaxWait == 0 {
		for _, waiter := range w.waiters {
			waiter.admitted <- false
		}
		w.setWaitersLocked(nil)
	}
	w.isServing = len(w.waiters) > 0
	return !w.isServing
}

// scanDelay returns the time until the next scan, which is when the VM's own share has
// a token or a peer may be asked again, but at most maxScanInterval.
func (w *workspaceLimiter) scanDelay() clock.Millis {
	now := w.limiter.Clock.Now()
	delay := min(w.allocation.Wait(contract.TokensPerRequest), maxScanInterval)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, peer := range w.peers {
		if peer.retryAt > now {
			delay = min(delay, peer.retryAt-now)
		}
	}
	return max(delay, 1)
}

// admitFromOwnShare admits queued requests with tokens of the VM's own share.
func (w *workspaceLimiter) admitFromOwnShare() {
	w.mu.Lock()
	defer w.mu.Unlock()
	taken, _ := w.allocation.TakeMultiple(int64(len(w.waiters)), contract.TokensPerRequest)
	w.admitLocked(taken, func(waiter) bool { return true })
}

// admitLocked admits the oldest queued requests for which mayAdmit returns true, one for
// each token.
func (w *workspaceLimiter) admitLocked(tokens int64, mayAdmit func(waiter) bool) {
	remaining := w.waiters[:0:0]
	for _, waiter := range w.waiters {
		if tokens > 0 && mayAdmit(waiter) {
			waiter.admitted <- true
			tokens--
			continue
		}
		remaining = append(remaining, waiter)
	}
	w.setWaitersLocked(remaining)
}

func (w *workspaceLimiter) setWaitersLocked(waiters []waiter) {
	w.waiters = waiters
	w.hasWaiters.Store(len(waiters) > 0)
}

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
	state := w.peers[peer]
	if state == nil {
		state = &peerState{}
		w.peers[peer] = state
	}
	now := w.limiter.Clock.Now()
	switch {
	case err != nil:
		*state = peerState{retryAt: now + timeoutBackoff}
		return
	case reply.Taken > 0:
		state.emptyReplies = 0
	default:
		state.emptyReplies++
	}
	state.share, state.tokens, state.repliedAt = reply.Share, reply.Left, now
	state.nextTokenAt = 0
	if reply.Wait != contract.Never {
		state.nextTokenAt = now + reply.Wait
	}
	backoff := reply.Wait
	if state.emptyReplies > 0 {
		backoff = max(backoff, minBackoff<<min(state.emptyReplies-1, maxDoublings))
	}
	state.retryAt = now + min(backoff, maxBackoff)
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
