package limit

import (
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
	// maxScanInterval bounds the time between two scans, because shares may grow
	// meanwhile.
	maxScanInterval = 100 * clock.Millis(1)
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
