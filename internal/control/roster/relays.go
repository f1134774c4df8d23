package roster

import (
	"slices"
	"sort"

	"baobabladder.example/baobabladder/internal/base/hashing"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// relaysPerRegion is the number of relays of each region.
const relaysPerRegion = 2

// suitability ranks a VM as a relay, the best first.
type suitability int

const (
	// suitsWithContact: the VM is reachable, and the store answers it.
	suitsWithContact suitability = iota
	// suitsWithoutContact: the VM is reachable without contact with the store, or no
	// exchange with it was tried yet.
	suitsWithoutContact
	// suitsIfNoOther: the VM was reachable before.
	suitsIfNoOther
	// unsuited: the VM is stopping, or it is unreachable and the last call to it
	// failed less than relayExclusionTime ago.
	unsuited
)

// chooseRelays returns the names of the relays of each region: the most suitable VMs,
// and among equals those that come first in candidates. The caller must hold mu.
func (r *Roster) chooseRelays(known map[string]VMStatus, self *State) map[string][]string {
	relays := map[string][]string{}
	candidates := r.candidates()
	ranks := r.suitabilities(candidates, known, self)
	for rank := suitsWithContact; rank < unsuited; rank++ {
		for i, name := range candidates {
			region := r.registered[name].Region
			if len(relays[region]) < relaysPerRegion && ranks[i] == rank {
				relays[region] = append(relays[region], name)
			}
		}
	}
	return relays
}

// suitabilities returns the suitability of each candidate. VMs that start together
// reach some of the others earlier than the rest, and would choose those as relays.
// So until lostAfter has passed since the first list of VMs, a candidate does not rank
// above an earlier candidate of its region that is registered but was not reached
// yet. The caller must hold mu.
func (r *Roster) suitabilities(candidates []string, known map[string]VMStatus, self *State) []suitability {
	ranks := make([]suitability, len(candidates))
	hasJustStarted := r.Clock.Now()-r.registeredAt < r.lostAfter()
	hasUnseenCandidate := map[string]bool{}
	for i, name := range candidates {
		region := r.registered[name].Region
		ranks[i] = r.suitabilityOf(name, known, self)
		if hasJustStarted && hasUnseenCandidate[region] {
			ranks[i] = max(ranks[i], suitsWithoutContact)
		}
		if _, isKnown := known[name]; !isKnown && name != r.Self.Name && ranks[i] == suitsWithoutContact {
			hasUnseenCandidate[region] = true
		}
	}
	return ranks
}

// candidates returns the registered VMs in the order in which they become relays: the
// first of each data centre by name, then the second of each, and so on. Once a data
// centre is cut off, its first VM thus becomes a relay there after a short time. The
// caller must hold mu.
func (r *Roster) candidates() []string {
	names := make([]string, 0, len(r.registered))
	for name := range r.registered {
		names = append(names, name)
	}
	sort.Strings(names)
	ranks, counts := make(map[string]int, len(names)), map[string]int{}
	for _, name := range names {
		dataCentre := r.registered[name].DataCentre
		ranks[name] = counts[dataCentre]
		counts[dataCentre]++
	}
	sort.SliceStable(names, func(i, j int) bool { return ranks[names[i]] < ranks[names[j]] })
	return names
}

// suitabilityOf returns the suitability of the named VM by itself. The caller must
// hold mu.
func (r *Roster) suitabilityOf(name string, known map[string]VMStatus, self *State) suitability {
	status, isKnown := known[name]
	if name == r.Self.Name {
		status, isKnown = statusOf(self, true), true
	}
	switch {
	case status.Heard && status.Stopping:
		return unsuited
	case status.Heard && status.Contact:
		return suitsWithContact
	case status.Heard:
		return suitsWithoutContact
	case r.Clock.Now() < r.excludedUntil[name]:
		return unsuited
	case !isKnown:
		return suitsWithoutContact
	default:
		return suitsIfNoOther
	}
}

// isRelay reports whether the named VM is a relay of this VM's region. The caller
// must hold mu.
func (r *Roster) isRelay(name string, self *State) bool {
	return slices.Contains(r.currentView(self).relays[r.Self.Region], name)
}

// runningSource returns the name of the relay from which this VM requests the
// region's requests in flight, or "" if there is none. The caller must hold mu.
func (r *Roster) runningSource(self *State) string {
	relays := r.currentView(self).relays[r.Self.Region]
	if len(relays) == 0 {
		return ""
	}
	return relays[r.firstRelayIndex(relays)]
}

// firstRelayIndex returns the index of the relay that this VM calls first. It depends
// on the VM's name, so that the relays share the load.
func (r *Roster) firstRelayIndex(relays []string) int {
	return int(hashing.Strings(r.Self.Name) % uint64(max(len(relays), 1)))
}

// Relays returns the other relays of this VM's region in the order in which to call
// them, and whether this VM is a relay itself. The order differs between VMs, so that
// the relays share the load. In a full mesh every VM counts as its own relay.
func (r *Roster) Relays() (others []vm.VM, isRelay bool) {
	self := r.currentState()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.usesRelays() || r.isRelay(r.Self.Name, &self) {
		return nil, true
	}
	names := r.currentView(&self).relays[r.Self.Region]
	first := r.firstRelayIndex(names)
	for i := range names {
		others = append(others, r.registered[names[(first+i)%len(names)]])
	}
	return others, false
}

// HasFollowers reports whether this VM is a relay that other VMs follow, which is
// never so in a full mesh.
func (r *Roster) HasFollowers() bool {
	self := r.currentState()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.usesRelays() && r.isRelay(r.Self.Name, &self)
}

// DutyCandidates returns the VMs among which fleet-wide duties, such as owning the
// quotas of workspaces, are divided: all serving VMs in a full mesh, the serving
// relays otherwise. hasMajority reports whether the reachable VMs, this one included,
// are more than half of the registered ones.
func (r *Roster) DutyCandidates(members []Member) (candidates []Member, hasMajority bool) {
	self := r.currentState()
	r.mu.Lock()
	usesRelays, relays, registered := r.usesRelays(), r.currentView(&self).relays, len(r.registered)
	r.mu.Unlock()
	reachable := 0
	for _, member := range members {
		if !member.Reachable {
			continue
		}
		reachable++
		if !member.Ready || member.Stopping {
			continue
		}
		if !usesRelays || slices.Contains(relays[member.VM.Region], member.ID.Name) {
			candidates = append(candidates, member)
		}
	}
	return candidates, reachable*2 > registered
}
