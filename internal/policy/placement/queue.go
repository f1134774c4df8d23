package placement

import (
	"context"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/move"
)

const (
	// maxWaiters bounds one service's waiting requests.
	maxWaiters = 256
	// maxPatience bounds the wait for a near slot.
	maxPatience = 50 * clock.Millis(1)
	// borrowInterval is how often the next waiter asks peers for a slot.
	borrowInterval = 20 * clock.Millis(1)
	// servedHalfLife is how fast past service of a workspace stops counting.
	servedHalfLife = 1 * clock.Second
	// servedUnit is one request in the served counts.
	servedUnit = 1 << 16
)

// waiter is one request waiting for a slot.
type waiter struct {
	request  *Request
	choice   move.Choice
	deadline clock.Millis
	// spillAt is when the waiter may go to a far region.
	spillAt clock.Millis
	// granted receives the grant; it has room for one.
	granted chan *Grant
	// dropped is closed when the waiter had to make place.
	dropped chan struct{}
}

// queue holds a service's waiting requests, few enough to look through.
type queue struct {
	waiters []*waiter
	// workspaces holds what each workspace was served lately.
	workspaces map[string]*account
}

// account is a decaying count of a workspace's placed requests.
type account struct {
	served int64
	at     clock.Millis
}

// level returns the decayed count at now.
func (a *account) level(now clock.Millis) int64 {
	halves := int64(now-a.at) / int64(servedHalfLife)
	if halves > 40 {
		return 0
	}
	return a.served >> halves
}

// served counts one placed request of a workspace.
func (p *plan) served(workspace string, now clock.Millis) {
	if p.queue.workspaces == nil {
		p.queue.workspaces = map[string]*account{}
	}
	known := p.queue.workspaces[workspace]
	if known == nil {
		known = &account{at: now}
		p.queue.workspaces[workspace] = known
	}
	if now-known.at >= servedHalfLife {
		known.served = known.level(now)
		known.at = now
	}
	known.served += servedUnit
}

// excess returns how much a workspace was served lately for its rate. Requests
// of open routes, which have no workspace, count against the whole of it.
func (p *plan) excess(workspace string, now clock.Millis) int64 {
	known := p.queue.workspaces[workspace]
	if known == nil {
		return 0
	}
	rate := int64(1000)
	if stated := p.service.Workspace(workspace); stated != nil {
		rate = max(stated.Rate, 1)
	}
	return known.level(now) * 1000 / rate
}

// first returns the waiter to serve next: the worst-served workspace's, and of
// that the one with the earliest deadline.
func (p *plan) first(now clock.Millis) (at int) {
	at = -1
	for i, w := range p.queue.waiters {
		if at < 0 || p.goesBefore(w, p.queue.waiters[at], now) {
			at = i
		}
	}
	return at
}

// last returns the waiter to drop when the queue is full.
func (p *plan) last(now clock.Millis) (at int) {
	at = -1
	for i, w := range p.queue.waiters {
		if at < 0 || p.goesBefore(p.queue.waiters[at], w, now) {
			at = i
		}
	}
	return at
}

func (p *plan) goesBefore(a, b *waiter, now clock.Millis) bool {
	excessA, excessB := p.excess(a.request.Workspace, now), p.excess(b.request.Workspace, now)
	if excessA != excessB {
		return excessA < excessB
	}
	return a.deadline < b.deadline
}

func (q *queue) remove(at int) *waiter {
	removed := q.waiters[at]
	q.waiters = append(q.waiters[:at], q.waiters[at+1:]...)
	return removed
}

// push adds w; a full queue drops the waiter of the largest excess for it.
func (p *plan) push(w *waiter, now clock.Millis) {
	p.queue.waiters = append(p.queue.waiters, w)
	if len(p.queue.waiters) <= maxWaiters {
		return
	}
	close(p.queue.remove(p.last(now)).dropped)
}

// patience is how long a request waits for a near slot before it may go far:
// half of the way to the nearest far region, so that spilling costs less than
// twice the best choice made in hindsight.
func (p *plan) patience() clock.Millis {
	for i := range p.regions {
		if p.regions[i].far {
			return min(p.regions[i].latency/2, maxPatience)
		}
	}
	return 0
}

// slotWait is how long a request with some time remaining waits for a slot. Long
// requests hold slots for long, so those that wait for them need more time too.
func slotWait(remaining clock.Millis) clock.Millis {
	wait := min(remaining/queueWaitDivisor, maxQueueWait)
	return min(max(wait, queueWait), remaining)
}

// wait queues request until a slot is free, its time is over or ctx ends.
func (p *Placer) wait(ctx context.Context, request *Request, choice move.Choice) (*Grant, reason.Reason) {
	// A copy, so that requests which need not wait stay off the heap.
	waiting := *request
	w := &waiter{request: &waiting, choice: choice, granted: make(chan *Grant, 1), dropped: make(chan struct{})}
	p.mu.Lock()
	now := p.Clock.Now()
	plan := p.plan(request.Service, choice)
	w.deadline = now + slotWait(request.Remaining)
	w.spillAt = now + plan.patience()
	plan.push(w, now)
	p.mu.Unlock()
	poll := time.NewTicker(pollInterval.Duration())
	defer poll.Stop()
	borrowAt := now + borrowInterval
	for {
		p.serveQueue(plan)
		select {
		case grant := <-w.granted:
			return grant, ""
		case <-w.dropped:
			return nil, reason.RegionFull
		case <-ctx.Done():
			return p.leave(plan, w), reason.DeadlinePassed
		case <-poll.C:
		}
		now = p.Clock.Now()
		if now >= w.deadline {
			return p.leave(plan, w), reason.RegionFull
		}
		if now < borrowAt {
			continue
		}
		borrowAt = now + borrowInterval
		if grant := p.borrow(ctx, request, choice, w); grant != nil {
			return p.settle(plan, w, grant), ""
		}
	}
}

// settle ends w with a borrowed slot, unless one of this VM's own came meanwhile.
func (p *Placer) settle(plan *plan, w *waiter, borrowed *Grant) *Grant {
	own := p.leave(plan, w)
	if own == nil {
		return borrowed
	}
	borrowed.undo()
	return own
}

// leave takes w off the queue. A grant that came meanwhile is returned.
func (p *Placer) leave(plan *plan, w *waiter) *Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range plan.queue.waiters {
		if plan.queue.waiters[i] == w {
			plan.queue.remove(i)
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

// serveQueue gives free slots to waiting requests in the queue's order. A waiter
// that no free slot fits does not hold up the ones behind it.
func (p *Placer) serveQueue(plan *plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(plan.queue.waiters) == 0 {
		return
	}
	now := p.Clock.Now()
	p.plan(plan.service, move.Choice{From: plan.from, To: plan.to})
	plan.shift.tick(now)
	var passed []*waiter
	for len(plan.queue.waiters) > 0 && len(passed) < 4 {
		w := plan.queue.remove(plan.first(now))
		grant, _ := p.tryVersions(plan, w.request, w.choice, now, now >= w.spillAt)
		if grant == nil {
			passed = append(passed, w)
			continue
		}
		w.granted <- grant
	}
	plan.queue.waiters = append(plan.queue.waiters, passed...)
}
