package heartbeat

import (
	"maps"
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/lease"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// View returns the current view of the membership; it is never nil.
func (h *Heartbeat) View() *membership.View {
	if view := h.view.Load(); view != nil {
		return view
	}
	return &membership.View{Self: h.ID.Name, Members: []membership.Member{{VM: h.Self, Incarnation: h.ID.Incarnation, Reachable: true}}}
}

// SetStoreContact records that the store replied to a request that was sent at the
// given time.
func (h *Heartbeat) SetStoreContact(sent clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.contactAt, h.hasContact = max(h.contactAt, sent), true
}

// ClearStoreContact records that a call to the store failed.
func (h *Heartbeat) ClearStoreContact() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hasContact = false
}

// Refresh rebuilds the view.
func (h *Heartbeat) Refresh() {
	age, known := h.Freshness.Age()
	self := membership.Member{
		VM: h.Self, Incarnation: h.ID.Incarnation, Reachable: true, Stopping: h.isStopping.Load(),
		Ready: h.isReady.Load(), Revision: h.Replica.Summary().Revision,
	}
	if known {
		self.StoreAge = age
	}
	if h.Claims != nil {
		self.Leases = dutiesOf(h.Claims())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	self.HasContact = h.hasRecentContact()
	view := &membership.View{Self: h.ID.Name, Members: []membership.Member{self}, Endpoints: map[string]vm.State{}}
	peers := []string{}
	for _, name := range slices.Sorted(maps.Keys(h.peers)) {
		state := h.peers[name]
		if !state.isListed && !h.hasCalledRecently(state) {
			delete(h.peers, name)
			continue
		}
		if !state.hasLeft {
			peers = append(peers, name)
		}
		view.Members = append(view.Members, h.memberOf(state))
	}
	slices.SortFunc(view.Members, func(a, b membership.Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	for _, v := range h.list {
		if v.Role == vm.RoleEndpoint {
			view.Endpoints[v.Name] = v.State
		}
	}
	for _, name := range slices.Sorted(maps.Keys(h.removed)) {
		view.Removed = append(view.Removed, h.removed[name])
	}
	// A VM that is not, or no longer, on the platform's list may miss a change even
	// if it has reached all listed VMs, so the peers count as unknown.
	if !h.isListed {
		peers = nil
	}
	h.Freshness.SetPeers(peers)
	h.view.Store(view)
}

// memberOf returns the peer as a member of the view. The caller must hold mu.
func (h *Heartbeat) memberOf(state *peerState) membership.Member {
	member := membership.Member{
		VM: state.vm, Incarnation: state.incarnation,
		Reachable: h.isReachable(state), RoundTrip: state.roundTrip,
	}
	if reply := state.reply; reply != nil {
		age := h.Clock.Now() - state.sentAt
		member.Stopping, member.Ready = reply.Stopping, reply.Ready
		member.StoreAge, member.Revision = reply.Age+age, reply.Summary.Revision
		member.HasContact = reply.HasContact && age < reachableTimeout
		member.Leases = dutiesOf(reply.Leases)
	}
	return member
}

// hasRecentContact reports whether the store replied to this VM less than
// contactTimeout ago. The caller must hold mu.
func (h *Heartbeat) hasRecentContact() bool {
	return h.hasContact && h.Clock.Now()-h.contactAt < contactTimeout
}

func dutiesOf(claims []lease.Claim) (names []string) {
	for _, claim := range claims {
		names = append(names, claim.Duty)
	}
	slices.Sort(names)
	return names
}
