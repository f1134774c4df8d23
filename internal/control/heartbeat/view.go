package heartbeat

import (
	"maps"
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/lease"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// View returns the current view; it is never nil.
func (h *Heartbeat) View() *membership.View {
	if view := h.view.Load(); view != nil {
		return view
	}
	return &membership.View{Self: h.ID.Name, Members: []membership.Member{{VM: h.Self, Incarnation: h.ID.Incarnation, Reachable: true}}}
}

// SetStoreContact notes an answer of the store to a question sent at a time.
func (h *Heartbeat) SetStoreContact(sent clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.contactAt, h.hasContact = max(h.contactAt, sent), true
}

// ClearStoreContact notes that the store gave no answer.
func (h *Heartbeat) ClearStoreContact() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hasContact = false
}

// Refresh rebuilds the view.
func (h *Heartbeat) Refresh() {
	age, known := h.Freshness.Age()
	self := membership.Member{
		VM: h.Self, Incarnation: h.ID.Incarnation, Reachable: true, Stopping: h.stopping.Load(),
		Ready: h.ready.Load(), Revision: h.Replica.Summary().Revision,
	}
	if known {
		self.StoreAge = age
	}
	if h.Claims != nil {
		self.Leases = duties(h.Claims())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	self.HasContact = h.contact()
	view := &membership.View{Self: h.ID.Name, Members: []membership.Member{self}, Endpoints: map[string]vm.State{}}
	peers := []string{}
	for _, name := range slices.Sorted(maps.Keys(h.peers)) {
		state := h.peers[name]
		if !state.listed && !h.calledLately(state) {
			delete(h.peers, name)
			continue
		}
		if !state.left {
			peers = append(peers, name)
		}
		view.Members = append(view.Members, h.member(state))
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
	for _, name := range slices.Sorted(maps.Keys(h.gone)) {
		view.Removed = append(view.Removed, h.gone[name])
	}
	// A VM that the platform does not list, or not any more, can't conclude from
	// hearing the listed ones that it misses nothing.
	if !h.listed {
		peers = nil
	}
	h.Freshness.SetPeers(peers)
	h.view.Store(view)
}

// member describes a peer. Callers hold mu.
func (h *Heartbeat) member(state *peerState) membership.Member {
	member := membership.Member{
		VM: state.vm, Incarnation: state.incarnation,
		Reachable: h.isReachable(state), RoundTrip: state.roundTrip,
	}
	if answer := state.answer; answer != nil {
		age := h.Clock.Now() - state.sentAt
		member.Stopping, member.Ready = answer.Stopping, answer.Ready
		member.StoreAge, member.Revision = answer.Age+age, answer.Summary.Revision
		member.HasContact = answer.HasContact && age < reachableTime
		member.Leases = duties(answer.Leases)
	}
	return member
}

// contact says whether the store answered this VM lately. Callers hold mu.
func (h *Heartbeat) contact() bool {
	return h.hasContact && h.Clock.Now()-h.contactAt < contactTime
}

func duties(claims []lease.Claim) (names []string) {
	for _, claim := range claims {
		names = append(names, claim.Duty)
	}
	slices.Sort(names)
	return names
}
