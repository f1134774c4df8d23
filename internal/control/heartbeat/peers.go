package heartbeat

import (
	"encoding/json"
	"hash/fnv"
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// peerState is what is known of one other entry VM.
type peerState struct {
	// vm is what the platform's list says, with the addresses of the newest run.
	vm     vm.VM
	listed bool
	// calledAt is when the VM last called.
	calledAt clock.Millis
	called   bool
	// incarnation is the newest one heard of.
	incarnation vm.Incarnation
	// profile is what the newest run said of itself, or nil, and digest its digest.
	profile *Profile
	digest  uint64
	// told says that the newest run has this VM's profile.
	told bool
	// answer is the newest answer, or nil; sentAt is when its question was sent
	// and heardAt when it came.
	answer  *AskReply
	sentAt  clock.Millis
	heardAt clock.Millis
	// caughtUp says that this VM's copy once held all that the peer held.
	caughtUp bool
	// left says that this run accepts no more changes, and that this VM's copy
	// holds all that it ever held.
	left bool
	// asked says that the peer was chosen to be asked, and askedAt when it last was.
	asked   bool
	askedAt clock.Millis
	// unanswered says that a question sent after the newest answer's has no answer;
	// unansweredAt is when the first such was sent.
	unanswered   bool
	unansweredAt clock.Millis
	// missedAt is as of when a VM of the peer's data centre missed the peer, or 0.
	missedAt clock.Millis
	// failures counts questions without an answer since the last answer.
	failures int
	// roundTrip is smoothed, in microseconds.
	roundTrip int64
}

// SetList takes over the platform's list as of a time, unless a newer one is
// known.
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
	h.centres = centresOf(list)
	h.noteListed()
	listed := map[string]bool{}
	for _, v := range list {
		if v.Role == vm.RoleEntry && v.Name != h.ID.Name {
			listed[v.Name] = true
			h.addListed(v)
		}
	}
	for name, state := range h.peers {
		if state.listed && !listed[name] {
			h.gone[name] = vm.ID{Name: name, Incarnation: state.incarnation}
			delete(h.peers, name)
		}
	}
}

// CaughtUp reports whether this VM's copy has held all that every listed peer
// held, but for those that gave no answer to several questions. heard counts the
// peers that answered and were ready to serve.
func (h *Heartbeat) CaughtUp() (caughtUp bool, heard int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.list == nil {
		return false, 0
	}
	for _, state := range h.peers {
		switch {
		case state.left:
		case state.caughtUp && state.answer.Ready:
			heard++
		case !state.caughtUp && state.failures < enoughFailures:
			return false, heard
		}
	}
	return true, heard
}

// noteCaller makes a VM that calls before the platform lists it a peer, so that
// it is reached and asked at once. It reports whether the caller's profile is
// wanted.
func (h *Heartbeat) noteCaller(question AskRequest) (wanted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if question.Profile == nil {
		return !h.noteKnownCaller(question.Caller)
	}
	id := question.Profile.ID
	if id.Name == "" || id.Name == h.ID.Name {
		return false
	}
	if gone, found := h.gone[id.Name]; found && id.Incarnation <= gone.Incarnation {
		return true
	}
	state := h.state(id.Name)
	state.calledAt, state.called = h.Clock.Now(), true
	state.learnRun(question.Profile)
	return state.digest != question.Caller
}

// noteKnownCaller notes a call of a run whose profile is known, and reports
// whether it is. Callers hold mu.
func (h *Heartbeat) noteKnownCaller(caller uint64) (known bool) {
	for _, state := range h.peers {
		if state.profile != nil && state.digest == caller {
			state.calledAt, state.called = h.Clock.Now(), true
			return true
		}
	}
	return false
}

// take notes an answer.
func (h *Heartbeat) take(answer *AskReply, sent clock.Millis, roundTrip int64) {
	id := answer.Profile.ID
	name := id.Name
	if name == "" || name == h.ID.Name {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if gone, found := h.gone[name]; found && id.Incarnation <= gone.Incarnation {
		return
	}
	state := h.state(name)
	if id.Incarnation < state.incarnation || (state.answer != nil && sent < state.sentAt) {
		return
	}
	if !state.listed {
		state.calledAt, state.called = h.Clock.Now(), true
	}
	state.learnRun(answer.Profile)
	h.noteTold(answer.Profile.VM.PeerAddress, !answer.ProfileWanted)
	state.answer, state.sentAt, state.heardAt, state.failures = answer, sent, h.Clock.Now(), 0
	state.unanswered = false
	h.noteClaims(name, answer.Leases, sent)
	h.noteMissing(state.vm.DataCentre, answer.Missing, sent)
	if state.roundTrip == 0 {
		state.roundTrip = roundTrip
	}
	state.roundTrip += (roundTrip - state.roundTrip) / 8
}

func (h *Heartbeat) fail(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, state := range h.peers {
		if state.vm.PeerAddress == address {
			state.failures++
			state.told = false
		}
	}
}

// noteTold notes whether who answers at an address has this VM's profile. Two
// names may stand for one address for a while. Callers hold mu.
func (h *Heartbeat) noteTold(address string, told bool) {
	for _, state := range h.peers {
		if state.vm.PeerAddress == address {
			state.told = told
		}
	}
}

// learnRun takes over the addresses that the newest run of a VM tells of itself,
// which the platform's list may not know yet.
func (s *peerState) learnRun(profile *Profile) {
	if profile == s.profile || profile.ID.Incarnation < s.incarnation {
		return
	}
	if profile.ID.Incarnation > s.incarnation {
		s.caughtUp, s.left, s.told = false, false, false
	}
	s.incarnation = profile.ID.Incarnation
	s.profile, s.digest = profile, profile.digest()
	state := s.vm.State
	s.vm = profile.VM
	if s.listed {
		s.vm.State = state
	}
}

// state returns the peer's state, made if need be. Callers hold mu.
func (h *Heartbeat) state(name string) *peerState {
	if h.peers == nil {
		h.peers = map[string]*peerState{}
	}
	if h.gone == nil {
		h.gone = map[string]vm.ID{}
	}
	if h.peers[name] == nil {
		h.peers[name] = &peerState{}
	}
	return h.peers[name]
}

// addListed takes over an entry of the platform's list. Callers hold mu.
func (h *Heartbeat) addListed(v vm.VM) {
	state := h.state(v.Name)
	if state.incarnation == 0 {
		state.vm = v
	}
	state.vm.State = v.State
	state.listed = true
	delete(h.gone, v.Name)
}

// confirmList notes that the list with the given digest was right at a time.
func (h *Heartbeat) confirmList(digest uint64, asOf clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if digest == h.listDigest {
		h.listAsOf = max(h.listAsOf, asOf)
	}
}

// noteListed notes whether the platform's list has this VM. Callers hold mu.
func (h *Heartbeat) noteListed() {
	listed := slices.ContainsFunc(h.list, func(v vm.VM) bool { return v.Role == vm.RoleEntry && v.Name == h.ID.Name })
	if listed && !h.listed {
		h.listedAt = h.Clock.Now()
	}
	h.listed = listed
}

func (h *Heartbeat) calledLately(state *peerState) bool {
	return state.called && h.Clock.Now()-state.calledAt < unlistedTime
}

// listDigest returns a hash of the list that is not 0.
func listDigest(list []vm.VM) uint64 {
	hash := fnv.New64a()
	_ = json.NewEncoder(hash).Encode(list)
	return hash.Sum64() | 1
}
