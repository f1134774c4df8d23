package heartbeat

import (
	"encoding/json"
	"hash/fnv"
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// peerState is the state of one other entry VM.
type peerState struct {
	// vm is the VM as listed by the platform, with the addresses of its newest
	// incarnation.
	vm       vm.VM
	isListed bool
	// calledAt is when the VM last called this one, or replied to it while it was not
	// listed. It is valid if hasCalled is set.
	calledAt  clock.Millis
	hasCalled bool
	// incarnation is the newest known incarnation.
	incarnation vm.Incarnation
	// profile is the profile of the newest incarnation, or nil, and digest its
	// digest.
	profile *Profile
	digest  uint64
	// hasOurProfile is set if the newest incarnation has this VM's profile.
	hasOurProfile bool
	// reply is the newest reply, or nil. sentAt is when its request was sent,
	// receivedAt when the reply arrived.
	reply      *AskReply
	sentAt     clock.Millis
	receivedAt clock.Millis
	// isCaughtUp is set if this VM's copy has everything that the copy of the newest
	// incarnation had at some time.
	isCaughtUp bool
	// hasLeft is set if the newest incarnation accepts no more changes and this VM's
	// copy has everything that the peer's copy ever had.
	hasLeft bool
	// wasAsked is set once a heartbeat was scheduled for the peer. askedAt is when
	// the last one was.
	wasAsked bool
	askedAt  clock.Millis
	// isUnanswered is set if a request was sent since the newest reply arrived.
	// unansweredAt is when the first such request was sent.
	isUnanswered bool
	unansweredAt clock.Millis
	// reportedMissingAt is the time as of which a VM of the peer's data centre
	// reported the peer as unreachable, or 0.
	reportedMissingAt clock.Millis
	// failures counts the failed requests since the last reply.
	failures int
	// roundTrip is the smoothed round trip, in microseconds.
	roundTrip int64
}

// SetList replaces the platform's list, unless the known list is at least as new. asOf
// is the time as of which the given list was current.
func (h *Heartbeat) SetList(list []vm.VM, asOf clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.list != nil && asOf <= h.listAsOf {
		return
	}
	h.listAsOf = asOf
	digest := listDigest(list)
	if digest == h.listDigest {
		return
	}
	h.list, h.listDigest = append([]vm.VM{}, list...), digest
	h.dataCentres = groupByDataCentre(list)
	h.updateListed()
	listed := map[string]bool{}
	for _, v := range list {
		if v.Role == vm.RoleEntry && v.Name != h.ID.Name {
			listed[v.Name] = true
			h.addListed(v)
		}
	}
	for name, state := range h.peers {
		if state.isListed && !listed[name] {
			h.removed[name] = vm.ID{Name: name, Incarnation: state.incarnation}
			delete(h.peers, name)
		}
	}
}

// CaughtUp reports whether this VM has caught up with every peer, except those that
// have left and those to which maxFailures requests in a row failed. ready is the
// number of peers that it has caught up with and that were ready to serve; it is
// complete only if isCaughtUp is true.
func (h *Heartbeat) CaughtUp() (isCaughtUp bool, ready int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.list == nil {
		return false, 0
	}
	for _, state := range h.peers {
		switch {
		case state.hasLeft:
		case state.isCaughtUp && state.reply.Ready:
			ready++
		case !state.isCaughtUp && state.failures < maxFailures:
			return false, ready
		}
	}
	return true, ready
}

// recordCaller records a peer's call. A VM that calls before the platform lists it
// becomes a peer, so that heartbeats and changes are sent to it without delay.
// recordCaller reports whether the caller must send its profile.
func (h *Heartbeat) recordCaller(request AskRequest) (isProfileWanted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if request.Profile == nil {
		return !h.recordKnownCaller(request.Caller)
	}
	id := request.Profile.ID
	if id.Name == "" || id.Name == h.ID.Name {
		return false
	}
	if removed, found := h.removed[id.Name]; found && id.Incarnation <= removed.Incarnation {
		return true
	}
	state := h.peerStateOf(id.Name)
	state.calledAt, state.hasCalled = h.Clock.Now(), true
	state.applyProfile(request.Profile)
	return state.digest != request.Caller
}

// recordKnownCaller records a call of an incarnation whose profile is known, and
// reports whether it is. The caller must hold mu.
func (h *Heartbeat) recordKnownCaller(caller uint64) (isKnown bool) {
	for _, state := range h.peers {
		if state.profile != nil && state.digest == caller {
			state.calledAt, state.hasCalled = h.Clock.Now(), true
			return true
		}
	}
	return false
}

// applyReply records a reply, unless it is of an earlier incarnation or an earlier
// request than the newest one.
func (h *Heartbeat) applyReply(reply *AskReply, sent clock.Millis, roundTrip int64) {
	id := reply.Profile.ID
	name := id.Name
	if name == "" || name == h.ID.Name {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if removed, found := h.removed[name]; found && id.Incarnation <= removed.Incarnation {
		return
	}
	state := h.peerStateOf(name)
	if id.Incarnation < state.incarnation || (state.reply != nil && sent < state.sentAt) {
		return
	}
	if !state.isListed {
		state.calledAt, state.hasCalled = h.Clock.Now(), true
	}
	state.applyProfile(reply.Profile)
	h.recordProfileSent(reply.Profile.VM.PeerAddress, !reply.ProfileWanted)
	state.reply, state.sentAt, state.receivedAt, state.failures = reply, sent, h.Clock.Now(), 0
	state.isUnanswered = false
	h.recordClaims(name, reply.Leases, sent)
	h.recordMissing(state.vm.DataCentre, reply.Missing, sent)
	if state.roundTrip == 0 {
		state.roundTrip = roundTrip
	}
	state.roundTrip += (roundTrip - state.roundTrip) / 8
}

func (h *Heartbeat) recordFailure(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, state := range h.peers {
		if state.vm.PeerAddress == address {
			state.failures++
			state.hasOurProfile = false
		}
	}
}

// recordProfileSent records whether the VM at an address has this VM's profile. It
// does so for every peer with that address, as two names may share one address for a
// while. The caller must hold mu.
func (h *Heartbeat) recordProfileSent(address string, isSent bool) {
	for _, state := range h.peers {
		if state.vm.PeerAddress == address {
			state.hasOurProfile = isSent
		}
	}
}

// applyProfile records the addresses in the newest incarnation's profile, which the
// platform's list may not have yet.
func (s *peerState) applyProfile(profile *Profile) {
	if profile == s.profile || profile.ID.Incarnation < s.incarnation {
		return
	}
	if profile.ID.Incarnation > s.incarnation {
		s.isCaughtUp, s.hasLeft, s.hasOurProfile = false, false, false
	}
	s.incarnation = profile.ID.Incarnation
	s.profile, s.digest = profile, profile.digest()
	state := s.vm.State
	s.vm = profile.VM
	if s.isListed {
		s.vm.State = state
	}
}

// peerStateOf returns the peer's state, created if need be. The caller must hold mu.
func (h *Heartbeat) peerStateOf(name string) *peerState {
	if h.peers == nil {
		h.peers = map[string]*peerState{}
	}
	if h.removed == nil {
		h.removed = map[string]vm.ID{}
	}
	if h.peers[name] == nil {
		h.peers[name] = &peerState{}
	}
	return h.peers[name]
}

// addListed records a VM of the platform's list as a peer. The caller must hold mu.
func (h *Heartbeat) addListed(v vm.VM) {
	state := h.peerStateOf(v.Name)
	if state.incarnation == 0 {
		state.vm = v
	}
	state.vm.State = v.State
	state.isListed = true
	delete(h.removed, v.Name)
}

// confirmList records that the list with the given digest was current at a time.
func (h *Heartbeat) confirmList(digest uint64, asOf clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if digest == h.listDigest {
		h.listAsOf = max(h.listAsOf, asOf)
	}
}

// updateListed updates isListed after a change of the list. The caller must hold mu.
func (h *Heartbeat) updateListed() {
	listed := slices.ContainsFunc(h.list, func(v vm.VM) bool { return v.Role == vm.RoleEntry && v.Name == h.ID.Name })
	if listed && !h.isListed {
		h.listedAt = h.Clock.Now()
	}
	h.isListed = listed
}

func (h *Heartbeat) hasCalledRecently(state *peerState) bool {
	return state.hasCalled && h.Clock.Now()-state.calledAt < unlistedTimeout
}

// listDigest returns a hash of the list, never 0.
func listDigest(list []vm.VM) uint64 {
	hash := fnv.New64a()
	_ = json.NewEncoder(hash).Encode(list)
	return hash.Sum64() | 1
}
