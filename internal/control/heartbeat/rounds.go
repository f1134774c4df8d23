package heartbeat

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
)

const (
	// defaultMaxPeersPerRound is the default of Heartbeat.MaxPeersPerRound.
	defaultMaxPeersPerRound = 8
	// minRotatingPeers is the least number of peers in a bounded round that are
	// chosen in turn.
	minRotatingPeers = 2
	// listPropagationTime bounds how long a new list takes to reach all VMs.
	listPropagationTime = 5 * clock.Second
	// maxFailures is the number of failed requests after which a peer without a reply
	// counts as unreachable.
	maxFailures = 3
	// unansweredTimeout is how long, in bounded rounds, a request may be without a
	// reply before its peer counts as unreachable.
	unansweredTimeout = reachableTimeout - Interval
)

// DueTargets returns the addresses for the next round of heartbeats, by name: all
// peers, unless the round is bounded. A bounded round has the peers that are due in
// every round and, of the others, those whose last heartbeat was sent least recently.
// Half of the latter are in the VM's own data centre, the other half in the other data
// centres in turn.
func (h *Heartbeat) DueTargets() map[string]string {
	targets := h.Targets()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isRoundBounded() {
		due := h.choosePeers()
		maps.DeleteFunc(targets, func(name, _ string) bool { return !due[name] })
	}
	h.recordAsked(targets)
	return targets
}

// newTargets returns the addresses of the peers to which no heartbeat was sent yet, by
// name.
func (h *Heartbeat) newTargets() map[string]string {
	targets := h.Targets()
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(targets, func(name, _ string) bool { return h.peers[name] == nil || h.peers[name].wasAsked })
	h.recordAsked(targets)
	return targets
}

// recordAsked records that heartbeats to targets are being sent. The caller must hold
// mu.
func (h *Heartbeat) recordAsked(targets map[string]string) {
	for name := range targets {
		if state := h.peers[name]; state != nil {
			state.wasAsked, state.askedAt = true, h.Clock.Now()
		}
	}
}

// isRoundBounded reports whether a round has only some of the peers. A VM that the
// platform does not list, or has listed for less than listPropagationTime, sends
// heartbeats to all peers. It may accept changes, so all peers must know of it even
// though their lists may lack it. The caller must hold mu.
func (h *Heartbeat) isRoundBounded() bool {
	return len(h.peers) > h.maxPeersPerRound() && h.isListed && h.Clock.Now()-h.listedAt >= listPropagationTime
}

func (h *Heartbeat) maxPeersPerRound() int {
	if h.MaxPeersPerRound > 0 {
		return h.MaxPeersPerRound
	}
	return defaultMaxPeersPerRound
}

// choosePeers returns the names of the peers of a bounded round. The caller must hold
// mu.
func (h *Heartbeat) choosePeers() (due map[string]bool) {
	due = map[string]bool{}
	for _, name := range []string{h.storeWatcher(h.isLocal), h.storeWatcher(h.isInRegion)} {
		if name != "" {
			due[name] = true
		}
	}
	slots := max(minRotatingPeers, h.maxPeersPerRound()-len(due))
	var local []string
	remote := map[string][]string{}
	for name, state := range h.peers {
		switch {
		case due[name]:
		case state.isDueEveryRound():
			due[name] = true
		case h.isLocal(state):
			local = append(local, name)
		default:
			remote[state.vm.DataCentre] = append(remote[state.vm.DataCentre], name)
		}
	}
	h.sortByLastAsked(local)
	local = local[:min(len(local), (slots+1)/2)]
	for _, name := range append(local, h.chooseRemote(remote, slots-len(local))...) {
		due[name] = true
	}
	return due
}

// isDueEveryRound reports whether a peer gets a heartbeat in every round. That is so
// for a peer that is not listed, because no other VM relays its state, and for a peer
// whose content this VM does not have yet, unless it is unreachable.
func (s *peerState) isDueEveryRound() bool {
	return !s.isListed || (!s.isCaughtUp && !s.hasLeft && s.failures < maxFailures)
}

// storeWatcher returns the name of the VM of a group that watches the store, as far as
// this VM knows: the first by name of the reachable VMs with contact to the store. It
// returns "" if none of them precedes this VM. The caller must hold mu.
func (h *Heartbeat) storeWatcher(isInGroup func(*peerState) bool) (watcher string) {
	for name, state := range h.peers {
		if !isInGroup(state) || !h.isReachable(state) || !state.reply.HasContact {
			continue
		}
		if name < h.ID.Name && (watcher == "" || name < watcher) {
			watcher = name
		}
	}
	return watcher
}

func (h *Heartbeat) isLocal(state *peerState) bool { return state.vm.DataCentre == h.Self.DataCentre }

func (h *Heartbeat) isInRegion(state *peerState) bool { return state.vm.Region == h.Self.Region }

// chooseRemote returns up to n peers of other data centres, from as many data centres
// as possible. The caller must hold mu.
func (h *Heartbeat) chooseRemote(remote map[string][]string, n int) (chosen []string) {
	lastAsked := map[string]clock.Millis{}
	for centre, names := range remote {
		h.sortByLastAsked(names)
		lastAsked[centre] = h.peers[names[len(names)-1]].askedAt
	}
	centres := slices.Collect(maps.Keys(remote))
	slices.SortFunc(centres, func(a, b string) int {
		return cmp.Or(cmp.Compare(lastAsked[a], lastAsked[b]), cmp.Compare(h.tieBreaker(a), h.tieBreaker(b)))
	})
	for i := 0; len(chosen) < n && len(centres) > 0; i++ {
		centres = slices.DeleteFunc(centres, func(centre string) bool { return len(remote[centre]) <= i })
		for _, centre := range centres {
			chosen = append(chosen, remote[centre][i])
		}
	}
	return chosen[:min(max(n, 0), len(chosen))]
}

// sortByLastAsked sorts peers by the time of their last heartbeat, oldest first. The
// caller must hold mu.
func (h *Heartbeat) sortByLastAsked(names []string) {
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(h.peers[a].askedAt, h.peers[b].askedAt), cmp.Compare(h.tieBreaker(a), h.tieBreaker(b)))
	})
}

// tieBreaker returns a number by which equal peers are ordered. It differs between
// VMs, so that not all of them choose the same peer.
func (h *Heartbeat) tieBreaker(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(h.ID.Name + " " + name))
	return hash.Sum64()
}

// isReachable reports whether a peer replies to heartbeats. In bounded rounds a peer
// stays reachable between its heartbeats, unless a VM of its data centre reported it
// as unreachable after its last reply. The caller must hold mu.
func (h *Heartbeat) isReachable(state *peerState) bool {
	if state.reply == nil || state.hasLeft {
		return false
	}
	now := h.Clock.Now()
	if now-state.sentAt < reachableTimeout {
		return true
	}
	if !h.isRoundBounded() || state.reportedMissingAt > state.sentAt {
		return false
	}
	return !state.isUnanswered || now-state.unansweredAt < unansweredTimeout
}
