package placement

import (
	"context"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/move"
)

const (
	// maxWaiters limits the waiting requests of one service.
	maxWaiters = 256
	// maxSpillDelay limits the time for which a request waits for a local slot
	// before it may use a remote region.
	maxSpillDelay = 50 * clock.Millis(1)
	// borrowInterval is how often the next waiter asks peers for a slot.
	borrowInterval = 20 * clock.Millis(1)
	// usageHalfLife is the half-life of a workspace's past usage.
	usageHalfLife = 1 * clock.Second
	// usageUnit is the usage of one request.
	usageUnit = 1 << 16
)

// waiter is a request that waits for a slot.
type waiter struct {
	request  *Request
	choice   move.Choice
	deadline clock.Millis
	// spillAt is the time from which the waiter may use a remote region.
	spillAt clock.Millis
	// granted receives the grant. Its capacity is 1.
	granted chan *Grant
	// dropped is closed when the waiter is removed from a full queue.
	dropped chan struct{}
}

// queue holds the waiting requests of a service. It is searched linearly, as
// maxWaiters keeps it short.
type queue struct {
	waiters []*waiter
	// usage holds the recent usage of each workspace.
	usage map[string]*workspaceUsage
}

// workspaceUsage is a decaying count of a workspace's placed requests.
type workspaceUsage struct {
	amount    int64
	updatedAt clock.Millis
}

// decayed returns the count with the decay up to now, in units of usageUnit.
func (u *workspaceUsage) decayed(now clock.Millis) int64 {
	halvings := int64(now-u.updatedAt) / int64(usageHalfLife)
	if halvings > 40 {
		return 0
	}
	return u.amount >> halvings
}

// addUsage adds a placed request to the usage of its workspace.
func (s *serviceState) addUsage(workspace string, now clock.Millis) {
	if s.queue.usage == nil {
		s.queue.usage = map[string]*workspaceUsage{}
	}
	usage := s.queue.usage[workspace]
	if usage == nil {
		usage = &workspaceUsage{updatedAt: now}
		s.queue.usage[workspace] = usage
	}
	if now-usage.updatedAt >= usageHalfLife {
		usage.amount = usage.decayed(now)
		usage.updatedAt = now
	}
	usage.amount += usageUnit
}

// relativeUsage returns the recent usage of a workspace in proportion to its
// configured rate. Requests on public routes, which have no workspace, count as a
// workspace with a rate of one request per second.
func (s *serviceState) relativeUsage(workspace string, now clock.Millis) int64 {
	usage := s.queue.usage[workspace]
	if usage == nil {
		return 0
	}
	rate := int64(1000)
	if configured := s.service.Workspace(workspace); configured != nil {
		rate = max(configured.Rate, 1)
	}
	return usage.decayed(now) * 1000 / rate
}

// nextWaiter returns the index of the waiter to serve next: among the waiters of
// the workspace with the lowest relative usage, the one with the earliest
// deadline. It returns -1 if the queue is empty.
func (s *serviceState) nextWaiter(now clock.Millis) (index int) {
	index = -1
	for i, w := range s.queue.waiters {
		if index < 0 || s.isServedBefore(w, s.queue.waiters[index], now) {
			index = i
		}
	}
	return index
}

// waiterToDrop returns the index of the waiter to drop when the queue is full:
// the last one in the serving order.
func (s *serviceState) waiterToDrop(now clock.Millis) (index int) {
	index = -1
	for i, w := range s.queue.waiters {
		if index < 0 || s.isServedBefore(s.queue.waiters[index], w, now) {
			index = i
		}
	}
	return index
}

// isServedBefore reports whether waiter a comes before b in the serving order:
// the lower relative usage of its workspace first, then the earlier deadline.
func (s *serviceState) isServedBefore(a, b *waiter, now clock.Millis) bool {
	usageA, usageB := s.relativeUsage(a.request.Workspace, now), s.relativeUsage(b.request.Workspace, now)
	if usageA != usageB {
		return usageA < usageB
	}
	return a.deadline < b.deadline
}

func (q *queue) remove(index int) *waiter {
	removed := q.waiters[index]
	q.waiters = append(q.waiters[:index], q.waiters[index+1:]...)
	return removed
}

// enqueue adds w. If the queue is full, it drops the last waiter in the serving
// order, which belongs to the workspace with the highest relative usage.
func (s *serviceState) enqueue(w *waiter, now clock.Millis) {
	s.queue.waiters = append(s.queue.waiters, w)
	if len(s.queue.waiters) <= maxWaiters {
		return
	}
	close(s.queue.remove(s.waiterToDrop(now)).dropped)
}

// spillDelay returns how long a request waits for a local slot before it may use a
// remote region: half the latency to the nearest remote region, at most
// maxSpillDelay. The cost of waiting first is then less than twice that of the best
// choice in hindsight.
func (s *serviceState) spillDelay() clock.Millis {
	for i := range s.regions {
		if s.regions[i].isRemote {
			return min(s.regions[i].latency/2, maxSpillDelay)
		}
	}
	return 0
}

// slotWait returns how long a request with the given remaining time waits for a
// slot. The wait grows with the remaining time, because requests with a long
// deadline hold slots for long, and other such requests have to wait for these
// slots.
func slotWait(remaining clock.Millis) clock.Millis {
	wait := min(remaining/queueWaitDivisor, maxQueueWait)
	return min(max(wait, minQueueWait), remaining)
}

// waitForSlot queues request until it gets a slot, its wait ends or ctx is done.
func (p *Placer) waitForSlot(ctx context.Context, request *Request, choice move.Choice) (*Grant, reason.Reason) {
	// Queue a copy, so that requests that don't wait are not allocated on the heap.
	queued := *request
	w := &waiter{request: &queued, choice: choice, granted: make(chan *Grant, 1), dropped: make(chan struct{})}
	p.mu.Lock()
	now := p.Clock.Now()
	state := p.serviceState(request.Service, choice)
	w.deadline = now + slotWait(request.Remaining)
	w.spillAt = now + state.spillDelay()
	state.enqueue(w, now)
	p.mu.Unlock()
	poll := time.NewTicker(pollInterval.Duration())
	defer poll.Stop()
	borrowAt := now + borrowInterval
	for {
		p.serveQueue(state)
		select {
		case grant := <-w.granted:
			return grant, ""
		case <-w.dropped:
			return nil, reason.RegionFull
		case <-ctx.Done():
			return p.dequeue(state, w), reason.DeadlinePassed
		case <-poll.C:
		}
		now = p.Clock.Now()
		if now >= w.deadline {
			return p.dequeue(state, w), reason.RegionFull
		}
		if now < borrowAt {
			continue
		}
		borrowAt = now + borrowInterval
		if grant := p.borrow(ctx, request, choice, w); grant != nil {
			return p.finishBorrow(state, w, grant), ""
		}
	}
}

// finishBorrow removes w from the queue and returns the borrowed grant. If w was
// granted one of this VM's own slots in the meantime, it returns that grant and
// cancels the borrowed one.
func (p *Placer) finishBorrow(state *serviceState, w *waiter, borrowed *Grant) *Grant {
	own := p.dequeue(state, w)
	if own == nil {
		return borrowed
	}
	borrowed.cancel()
	return own
}

// dequeue removes w from the queue. It returns the grant that w received in the
// meantime, or nil.
func (p *Placer) dequeue(state *serviceState, w *waiter) *Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range state.queue.waiters {
		if state.queue.waiters[i] == w {
			state.queue.remove(i)
			return nil
		}
	}
	select {
	case grant := <-w.granted:
		return grant
	default:
		return nil
	}
}

// serveQueue gives free slots to waiters in serving order. A waiter for which no
// slot is free does not block the next ones, but serveQueue stops after four of
// them.
func (p *Placer) serveQueue(state *serviceState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(state.queue.waiters) == 0 {
		return
	}
	now := p.Clock.Now()
	// Rebuild the index if the documents or the membership have changed.
	p.serviceState(state.service, move.Choice{From: state.fromVersion, To: state.toVersion})
	state.shift.rollWindow(now)
	var skipped []*waiter
	for len(state.queue.waiters) > 0 && len(skipped) < 4 {
		w := state.queue.remove(state.nextWaiter(now))
		grant, _ := p.tryVersions(state, w.request, w.choice, now, now >= w.spillAt)
		if grant == nil {
			skipped = append(skipped, w)
			continue
		}
		w.granted <- grant
	}
	state.queue.waiters = append(state.queue.waiters, skipped...)
}
