package heartbeat

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
)

const (
	// defaultMaxAsked bounds the peers asked in each Interval once there are more.
	defaultMaxAsked = 8
	// minRotating is how many of them at least are asked in turn.
	minRotating = 2
	// listSpreadTime is how long a new list takes to be known to all VMs.
	listSpreadTime = 5 * clock.Second
	// enoughFailures is how many questions without an answer make a peer that has
	// not been heard count as out of reach.
	enoughFailures = 3
	// unansweredTime is how long a question may wait before its peer counts as out
	// of reach.
	unansweredTime = reachableTime - Interval
)

// DueTargets returns the addresses to ask now, by name: all of them in a small fleet. In
// a larger one it is those that the VM needs to hear in every round, and of the
// others those that were asked longest ago, by halves from the VM's own data
// centre and from the other data centres in turn.
func (h *Heartbeat) DueTargets() map[string]string {
	targets := h.Targets()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isBounded() {
		due := h.choose()
		maps.DeleteFunc(targets, func(name, _ string) bool { return !due[name] })
	}
	h.noteAsked(targets)
	return targets
}

// newTargets returns the addresses of the peers that were never asked, by name.
func (h *Heartbeat) newTargets() map[string]string {
	targets := h.Targets()
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(targets, func(name, _ string) bool { return h.peers[name] == nil || h.peers[name].asked })
	h.noteAsked(targets)
	return targets
}

// noteAsked notes which peers are asked now. Callers hold mu.
func (h *Heartbeat) noteAsked(targets map[string]string) {
	for name := range targets {
		if state := h.peers[name]; state != nil {
			state.asked, state.askedAt = true, h.Clock.Now()
		}
	}
}

// isBounded says whether only a part of the peers is asked in each round. A VM
// that the platform does not list yet, or only of late, asks all, so that all know
// of it: it may accept changes. Callers hold mu.
func (h *Heartbeat) isBounded() bool {
	return len(h.peers) > h.maxAsked() && h.listed && h.Clock.Now()-h.listedAt >= listSpreadTime
}

func (h *Heartbeat) maxAsked() int {
	if h.MaxPeersPerRound > 0 {
		return h.MaxPeersPerRound
	}
	return defaultMaxAsked
}

// choose returns the names of the peers to ask in this round. Callers hold mu.
func (h *Heartbeat) choose() (due map[string]bool) {
	due = map[string]bool{}
	for _, name := range []string{h.follower(h.isLocal), h.follower(h.isInRegion)} {
		if name != "" {
			due[name] = true
		}
	}
	slots := max(minRotating, h.maxAsked()-len(due))
	var local []string
	remote := map[string][]string{}
	for name, state := range h.peers {
		switch {
		case due[name]:
		case state.isOwedAQuestion():
			due[name] = true
		case h.isLocal(state):
			local = append(local, name)
		default:
			remote[state.vm.DataCentre] = append(remote[state.vm.DataCentre], name)
		}
	}
	h.sortByTurn(local)
	local = local[:min(len(local), (slots+1)/2)]
	for _, name := range append(local, h.remoteTurn(remote, slots-len(local))...) {
		due[name] = true
	}
	return due
}

// isOwedAQuestion says whether a peer is asked in every round: one that is not
// listed, because only its own word counts for it, and one whose content this VM
// does not have yet, unless it can't be reached.
func (s *peerState) isOwedAQuestion() bool {
	return !s.listed || (!s.caughtUp && !s.left && s.failures < enoughFailures)
}

// follower returns the VM of a group that follows the store, as far as it is
// known: the first by name that has contact. Callers hold mu.
func (h *Heartbeat) follower(isInGroup func(*peerState) bool) (first string) {
	for name, state := range h.peers {
		if !isInGroup(state) || !h.isReachable(state) || !state.answer.HasContact {
			continue
		}
		if name < h.ID.Name && (first == "" || name < first) {
			first = name
		}
	}
	return first
}

func (h *Heartbeat) isLocal(state *peerState) bool { return state.vm.DataCentre == h.Self.DataCentre }

func (h *Heartbeat) isInRegion(state *peerState) bool { return state.vm.Region == h.Self.Region }

// remoteTurn returns up to n peers of other data centres, from as many of them as
// it can. Callers hold mu.
func (h *Heartbeat) remoteTurn(remote map[string][]string, n int) (chosen []string) {
	lastAsked := map[string]clock.Millis{}
	for centre, names := range remote {
		h.sortByTurn(names)
		lastAsked[centre] = h.peers[names[len(names)-1]].askedAt
	}
	centres := slices.Collect(maps.Keys(remote))
	slices.SortFunc(centres, func(a, b string) int {
		return cmp.Or(cmp.Compare(lastAsked[a], lastAsked[b]), cmp.Compare(h.order(a), h.order(b)))
	})
	for i := 0; len(chosen) < n && len(centres) > 0; i++ {
		centres = slices.DeleteFunc(centres, func(centre string) bool { return len(remote[centre]) <= i })
		for _, centre := range centres {
			chosen = append(chosen, remote[centre][i])
		}
	}
	return chosen[:min(max(n, 0), len(chosen))]
}

// sortByTurn puts those first that were asked longest ago. Callers hold mu.
func (h *Heartbeat) sortByTurn(names []string) {
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(h.peers[a].askedAt, h.peers[b].askedAt), cmp.Compare(h.order(a), h.order(b)))
	})
}

// order breaks ties in another way at each VM, so that not all ask the same one.
func (h *Heartbeat) order(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(h.ID.Name + " " + name))
	return hash.Sum64()
}

// isReachable says whether a peer answers. One that is asked in turn counts as
// reachable between its questions, unless a VM of its data centre missed it after
// its last answer. Callers hold mu.
func (h *Heartbeat) isReachable(state *peerState) bool {
	if state.answer == nil || state.left {
		return false
	}
	now := h.Clock.Now()
	if now-state.sentAt < reachableTime {
		return true
	}
	if !h.isBounded() || state.missedAt > state.sentAt {
		return false
	}
	return !state.unanswered || now-state.unansweredAt < unansweredTime
}
