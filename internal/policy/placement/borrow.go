package placement

import (
	"context"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/move"
	"baobabladder.example/baobabladder/internal/world/contract"
)

const (
	// borrowTimeout limits the wait for a slot lent by a peer.
	borrowTimeout = 20 * clock.Millis(1)
	// maxBorrowCandidates limits the endpoints that a borrow request to peers
	// names.
	maxBorrowCandidates = 16
)

// borrow asks peers for a slot in the local region. w is the request's entry in
// the queue, or nil if it is not queued. Only the waiter that is to be served
// next may borrow or, if the queue is empty, a request that is not queued.
func (p *Placer) borrow(ctx context.Context, request *Request, choice move.Choice, w *waiter) *Grant {
	if p.Slots == nil {
		return nil
	}
	candidates := p.borrowCandidates(request, choice, w)
	if len(candidates) == 0 {
		return nil
	}
	timeout := min(borrowTimeout, request.Remaining)
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	resource, lent := p.Slots.Borrow(ctx, candidates)
	if !lent {
		return nil
	}
	return p.acceptBorrowed(request, choice, resource)
}

// acceptBorrowed turns a borrowed slot into a grant, or releases it if the endpoint
// can no longer be used.
func (p *Placer) acceptBorrowed(request *Request, choice move.Choice, resource contract.Resource) *Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.serviceState(request.Service, choice)
	endpoint := state.byResource[resource]
	if endpoint == nil || !endpoint.isOpen || !state.shift.canPlace(endpoint.config.Region, state.nearestRegion()) {
		p.Slots.Release(resource)
		return nil
	}
	return p.newGrant(state, state.region(endpoint.config.Region), endpoint, request, choice, p.Clock.Now())
}

// borrowCandidates returns the endpoints in the local region on which request
// may borrow a slot, or nil if another waiter is to be served first.
func (p *Placer) borrowCandidates(request *Request, choice move.Choice, w *waiter) (candidates []contract.Resource) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.serviceState(request.Service, choice)
	now := p.Clock.Now()
	if next := state.nextWaiter(now); next >= 0 && state.queue.waiters[next] != w {
		return nil
	}
	for i := range state.regions {
		region := &state.regions[i]
		group := region.group(choice)
		if region.isRemote || !group.canServe(request) || !region.health.isUsable(now) {
			continue
		}
		start := int(p.nextRandom() % uint64(len(group.endpoints)))
		for j := range group.endpoints {
			endpoint := group.endpoints[(start+j)%len(group.endpoints)]
			if len(candidates) < maxBorrowCandidates && endpoint.isUsable(now) && !isExcluded(request.ExcludedEndpoints, endpoint) {
				candidates = append(candidates, endpoint.resource)
			}
		}
	}
	return candidates
}
