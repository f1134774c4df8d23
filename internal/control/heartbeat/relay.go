package heartbeat

import (
	"maps"
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/lease"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	// relayedWantedAge is the age of this VM's copy above which this VM requests
	// relayed state.
	relayedWantedAge = 1500 * clock.Millis(1)
	// claimWantedAge is the age of a known claim above which this VM requests relayed
	// state.
	claimWantedAge = 1500 * clock.Millis(1)
	// maxClaimAge is the age up to which a claim is relayed.
	maxClaimAge = 10 * clock.Second
)

// RelayedClaim is a lease claim that a VM received from the holder or by relay.
type RelayedClaim struct {
	Claim lease.Claim
	// Age is the time since the request was sent to which the holder replied with the
	// claim.
	Age clock.Millis
}

// RelayedState is what a VM relays about other VMs.
type RelayedState struct {
	// Words has one element for each data centre of the platform's list, sorted by
	// name. An element is an age plus 1, in milliseconds: the VM's copy has
	// everything that each listed VM of the data centre had that long ago. An element
	// is 0 if the age is unknown. The ages are taken before the reply's Summary, so
	// that the Summary covers at least the changes that the ages cover. Words is empty
	// if the peer has a different list.
	Words []clock.Millis
	// Claims holds the newest claim of each duty, sorted by duty.
	Claims []RelayedClaim
}

// timedClaim is a claim and the time as of which it is known.
type timedClaim struct {
	claim lease.Claim
	asOf  clock.Millis
}

// PeerClaim returns the newest claim of a duty by another VM, and its age.
func (h *Heartbeat) PeerClaim(duty string) (newest lease.Claim, age clock.Millis, found bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, found := h.claims[duty]
	return known.claim, h.Clock.Now() - known.asOf, found
}

// recordClaims replaces the claims of a peer by those in its reply. The caller must
// hold mu.
func (h *Heartbeat) recordClaims(holder string, claims []lease.Claim, asOf clock.Millis) {
	maps.DeleteFunc(h.claims, func(_ string, known timedClaim) bool {
		return known.claim.Holder.Name == holder && known.asOf <= asOf
	})
	for _, claim := range claims {
		h.recordClaim(claim, asOf)
	}
}

// recordClaim records a claim unless a newer claim of the duty is known. The caller must
// hold mu.
func (h *Heartbeat) recordClaim(claim lease.Claim, asOf clock.Millis) {
	if claim.Holder.Name == h.ID.Name {
		return
	}
	if h.claims == nil {
		h.claims = map[string]timedClaim{}
	}
	known, found := h.claims[claim.Duty]
	if !found || claim.Term > known.claim.Term || (claim.Term == known.claim.Term && asOf > known.asOf) {
		h.claims[claim.Duty] = timedClaim{claim: claim, asOf: asOf}
	}
}

// wantsRelayedState reports whether to request relayed state: if rounds are bounded
// and this VM's copy or its newest claims are too old. The caller must hold mu.
func (h *Heartbeat) wantsRelayedState() bool {
	if !h.isRoundBounded() {
		return false
	}
	if age, known := h.Freshness.Age(); !known || age > relayedWantedAge {
		return true
	}
	for _, known := range h.claims {
		if h.Clock.Now()-known.asOf > claimWantedAge {
			return true
		}
	}
	return len(h.claims) == 0
}

// newRelayedState returns what this VM relays. The reply's Summary must be taken
// afterwards; see RelayedState.Words. The caller must hold mu.
func (h *Heartbeat) newRelayedState(hasSameList bool) *RelayedState {
	relayed := &RelayedState{}
	if hasSameList {
		for _, centre := range h.dataCentres {
			relayed.Words = append(relayed.Words, h.dataCentreAge(centre))
		}
	}
	for _, duty := range slices.Sorted(maps.Keys(h.claims)) {
		known := h.claims[duty]
		if age := h.Clock.Now() - known.asOf; age < maxClaimAge {
			relayed.Claims = append(relayed.Claims, RelayedClaim{Claim: known.claim, Age: age})
		}
	}
	return relayed
}

// relayedStateFor returns the relayed state for a request, or nil if the request's
// Wants is not set.
func (h *Heartbeat) relayedStateFor(request AskRequest) *RelayedState {
	if !request.Wants {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newRelayedState(h.list != nil && h.listDigest == request.ListDigest)
}

// applyRelayed records what a peer relayed. The peer's content must be in this VM's
// copy already.
func (h *Heartbeat) applyRelayed(reply *AskReply, request AskRequest, sent clock.Millis) {
	if reply.Relayed == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, relayed := range reply.Relayed.Claims {
		h.recordClaim(relayed.Claim, sent-relayed.Age)
	}
	if h.listDigest == request.ListDigest {
		h.applyRelayedAges(reply.Relayed.Words, sent)
	}
}

// dataCentreAge returns the element of RelayedState.Words for a data centre. The
// caller must hold mu.
func (h *Heartbeat) dataCentreAge(centre []string) clock.Millis {
	now := h.Clock.Now()
	oldest := now
	for _, name := range centre {
		state := h.peers[name]
		if name == h.ID.Name || (state != nil && state.hasLeft) {
			continue
		}
		asOf, isKnown := h.Freshness.PeerCompleteAsOf(name)
		if !isKnown {
			return 0
		}
		oldest = min(oldest, asOf)
	}
	return now - oldest + 1
}

// applyRelayedAges counts the ages relayed by a peer for freshness. The peer's
// content must be in this VM's copy already; sent is when the request was sent. The
// caller must hold mu.
func (h *Heartbeat) applyRelayedAges(ages []clock.Millis, sent clock.Millis) {
	if len(ages) != len(h.dataCentres) {
		return
	}
	asOfByPeer := map[string]clock.Millis{}
	for i, centre := range h.dataCentres {
		if ages[i] == 0 {
			continue
		}
		for _, name := range centre {
			asOfByPeer[name] = sent - ages[i] + 1
		}
	}
	h.Freshness.MarkPeersComplete(asOfByPeer)
}

// unreachableLocalPeers returns the names of the VMs of this VM's data centre that it
// cannot reach. The caller must hold mu.
func (h *Heartbeat) unreachableLocalPeers() (names []string) {
	if !h.isRoundBounded() {
		return nil
	}
	for name, state := range h.peers {
		if h.isLocal(state) && state.isListed && !state.hasLeft && state.isUnanswered && !h.isReachable(state) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// recordMissing records which VMs of its data centre a peer cannot reach. The caller
// must hold mu.
func (h *Heartbeat) recordMissing(centre string, names []string, asOf clock.Millis) {
	for name, state := range h.peers {
		if state.vm.DataCentre != centre || asOf < state.reportedMissingAt {
			continue
		}
		state.reportedMissingAt = 0
		if slices.Contains(names, name) {
			state.reportedMissingAt = asOf
		}
	}
}

// groupByDataCentre returns the names of the entry VMs of each data centre, in order
// of the data centres' names.
func groupByDataCentre(list []vm.VM) (centres [][]string) {
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
