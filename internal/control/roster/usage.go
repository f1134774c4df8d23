package roster

import (
	"context"
	"slices"
	"sync"

	"baobabladder.example/baobabladder/internal/policy/usage"
)

// usageLink returns the link that selects which counts are stated to a peer. If isCallee is set, the peer called
// this VM; see stateFor.
func (r *Roster) usageLink(self *State, peer string, isCallee bool) usage.Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.usesRelays() {
		return usage.LinkDirect
	}
	region := r.registered[peer].Region
	switch {
	case region != r.Self.Region:
		return usage.LinkRegion
	case slices.Contains(r.currentView(self).relays[region], peer):
		return usage.LinkDirect
	case isCallee || r.isRelay(r.Self.Name, self):
		return usage.LinkFollower
	default:
		return usage.LinkDirect
	}
}

// receiveUsage applies the part of a peer's state that is about usage.
func (r *Roster) receiveUsage(state *State) {
	if r.Usage == nil || len(state.Usage) == 0 {
		return
	}
	if err := r.Usage.Receive(state.ID, state.Usage); err != nil && r.Log != nil {
		r.Log.WithError(err).WithField("peer", state.ID.Name).Warn("reading a peer's counts of requests failed")
	}
}

// ExchangeUsage exchanges states with all VMs to which this VM states its counts. It returns
// when all exchanges have ended; ctx limits them.
func (r *Roster) ExchangeUsage(ctx context.Context) {
	r.cachedSelf.Store(nil)
	targets := r.targets()
	r.mu.Lock()
	if !r.usesRelays() {
		for name, listed := range r.registered {
			if name != r.Self.Name {
				targets[name] = listed.PeerAddress
			}
		}
	}
	r.mu.Unlock()
	var group sync.WaitGroup
	for name, address := range targets {
		group.Go(func() { r.exchange(ctx, name, address) })
	}
	group.Wait()
}

var _ Usage = (*usage.Collector)(nil)
