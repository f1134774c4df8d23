package heartbeat

import (
	"maps"
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/lease"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	// wordWantedAge is the age of this VM's knowledge from which on it wants
	// peers' words.
	wordWantedAge = 1500 * clock.Millis(1)
	// claimWantedAge is the same for the newest claim of a duty.
	claimWantedAge = 1500 * clock.Millis(1)
	// relayedTime is how long a claim is passed on.
	relayedTime = 10 * clock.Second
)

// RelayedClaim is a claim that a VM heard of, from its holder or through others.
type RelayedClaim struct {
	Claim lease.Claim
	// Age is the time since the question was sent that the holder answered.
	Age clock.Millis
}

// RelayedState is what a VM passes on of others, to a peer that asks for it.
type RelayedState struct {
	// Words has an element for each data centre of the platform's list, sorted by
	// name. It is 0, or 1 more than an age: the VM's copy holds all that each
	// listed VM of the data centre held that long ago. The ages were taken before
	// the answer's Summary. It is empty if the peer knows another list.
	Words []clock.Millis
	// Claims holds the newest claim of each duty, sorted by duty.
	Claims []RelayedClaim
}

// heardClaim is a claim as of a time.
type heardClaim struct {
	claim lease.Claim
	asOf  clock.Millis
}

// PeerClaim returns the newest claim that a peer made of a duty, and its age.
func (h *Heartbeat) PeerClaim(duty string) (newest lease.Claim, age clock.Millis, found bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	heard, found := h.claims[duty]
	return heard.claim, h.Clock.Now() - heard.asOf, found
}

// noteClaims takes over what a peer says of its own leases. Callers hold mu.
func (h *Heartbeat) noteClaims(holder string, claims []lease.Claim, asOf clock.Millis) {
	maps.DeleteFunc(h.claims, func(_ string, heard heardClaim) bool {
		return heard.claim.Holder.Name == holder && heard.asOf <= asOf
	})
	for _, claim := range claims {
		h.noteClaim(claim, asOf)
	}
}

func (h *Heartbeat) noteClaim(claim lease.Claim, asOf clock.Millis) {
	if claim.Holder.Name == h.ID.Name {
		return
	}
	if h.claims == nil {
		h.claims = map[string]heardClaim{}
	}
	known, found := h.claims[claim.Duty]
	if !found || claim.Term > known.claim.Term || (claim.Term == known.claim.Term && asOf > known.asOf) {
		h.claims[claim.Duty] = heardClaim{claim: claim, asOf: asOf}
	}
}

// wantsRelayed says whether this VM is to ask for others' words: it does not hear
// all peers itself, and knows too little by other ways. Callers hold mu.
func (h *Heartbeat) wantsRelayed() bool {
	if !h.isBounded() {
		return false
	}
	if age, known := h.Freshness.Age(); !known || age > wordWantedAge {
		return true
	}
	for _, heard := range h.claims {
		if h.Clock.Now()-heard.asOf > claimWantedAge {
			return true
		}
	}
	return len(h.claims) == 0
}

// relayed returns what this VM passes on. The caller takes the copy's summary
// after it. Callers hold mu.
func (h *Heartbeat) relayed(sameList bool) *RelayedState {
	relayed := &RelayedState{}
	if sameList {
		for _, centre := range h.centres {
			relayed.Words = append(relayed.Words, h.word(centre))
		}
	}
	for _, duty := range slices.Sorted(maps.Keys(h.claims)) {
		heard := h.claims[duty]
		if age := h.Clock.Now() - heard.asOf; age < relayedTime {
			relayed.Claims = append(relayed.Claims, RelayedClaim{Claim: heard.claim, Age: age})
		}
	}
	return relayed
}

// answerRelayed returns what the question asks for of others, or nil.
func (h *Heartbeat) answerRelayed(question AskRequest) *RelayedState {
	if !question.Wants {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.relayed(h.list != nil && h.listDigest == question.ListDigest)
}

// noteRelayed takes over what a peer passed on, once its content is in this VM's
// copy.
func (h *Heartbeat) noteRelayed(answer *AskReply, question AskRequest, sent clock.Millis) {
	if answer.Relayed == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, heard := range answer.Relayed.Claims {
		h.noteClaim(heard.Claim, sent-heard.Age)
	}
	if h.listDigest == question.ListDigest {
		h.takeWords(answer.Relayed.Words, sent)
	}
}

// word returns the element of Relayed.Words for a data centre. Callers hold mu.
func (h *Heartbeat) word(centre []string) clock.Millis {
	now := h.Clock.Now()
	oldest := now
	for _, name := range centre {
		state := h.peers[name]
		if name == h.ID.Name || (state != nil && state.left) {
			continue
		}
		at, heard := h.Freshness.PeerCompleteAsOf(name)
		if !heard {
			return 0
		}
		oldest = min(oldest, at)
	}
	return now - oldest + 1
}

// takeWords counts the words of a peer whose content is in this VM's copy; sent
// is when the question was sent. Callers hold mu.
func (h *Heartbeat) takeWords(words []clock.Millis, sent clock.Millis) {
	if len(words) != len(h.centres) {
		return
	}
	heard := map[string]clock.Millis{}
	for i, centre := range h.centres {
		if words[i] == 0 {
			continue
		}
		for _, name := range centre {
			heard[name] = sent - words[i] + 1
		}
	}
	h.Freshness.MarkPeersComplete(heard)
}

// missing returns the VMs of this VM's data centre that it can't reach. Callers
// hold mu.
func (h *Heartbeat) missing() (names []string) {
	if !h.isBounded() {
		return nil
	}
	for name, state := range h.peers {
		if h.isLocal(state) && state.listed && !state.left && state.unanswered && !h.isReachable(state) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// noteMissing takes over what a peer says of its data centre. Callers hold mu.
func (h *Heartbeat) noteMissing(centre string, names []string, asOf clock.Millis) {
	for name, state := range h.peers {
		if state.vm.DataCentre != centre || asOf < state.missedAt {
			continue
		}
		state.missedAt = 0
		if slices.Contains(names, name) {
			state.missedAt = asOf
		}
	}
}

// centresOf returns the names of the entry VMs of each data centre, in order of
// the data centres' names.
func centresOf(list []vm.VM) (centres [][]string) {
	byName := map[string][]string{}
	for _, v := range list {
		if v.Role == vm.RoleEntry {
			byName[v.DataCentre] = append(byName[v.DataCentre], v.Name)
		}
	}
	for _, centre := range slices.Sorted(maps.Keys(byName)) {
		centres = append(centres, byName[centre])
	}
	return centres
}
