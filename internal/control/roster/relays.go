package roster

import (
	"slices"
	"sort"

	"baobabladder.example/baobabladder/internal/base/hashing"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// relaysPerRegion is how many VMs of a region speak for it.
const relaysPerRegion = 2

// standing is how well a VM suits as a relay.
type standing int

const (
	// reaching VMs are heard, and the store answers them.
	reaching standing = iota
	// standby VMs are heard, or were never called.
	standby
	// missing VMs were heard once.
	missing
	unfit
)

// chooseRelays returns the relays of each region: the first of each data centre in
// turn, the best suited before the others. Callers hold mu.
func (r *Roster) chooseRelays(known map[string]VMStatus, self *State) map[string][]string {
	relays := map[string][]string{}
	candidates := r.candidates()
	standings := r.standings(candidates, known, self)
	for wanted := reaching; wanted < unfit; wanted++ {
		for i, name := range candidates {
			region := r.listed[name].Region
			if len(relays[region]) < relaysPerRegion && standings[i] == wanted {
				relays[region] = append(relays[region], name)
			}
		}
	}
	return relays
}

// standings returns how well each candidate suits. Where all VMs start together they
// hear some before others, and would take these for relays: in the first moments none
// goes before one that was not heard yet and may be there. Callers hold mu.
func (r *Roster) standings(candidates []string, known map[string]VMStatus, self *State) []standing {
	standings := make([]standing, len(candidates))
	hasJustStarted := r.Clock.Now()-r.listedAt < r.lostAfter()
	isWaitedFor := map[string]bool{}
	for i, name := range candidates {
		region := r.listed[name].Region
		standings[i] = r.standing(name, known, self)
		if hasJustStarted && isWaitedFor[region] {
			standings[i] = max(standings[i], standby)
		}
		if _, isKnown := known[name]; !isKnown && name != r.Self.Name && standings[i] == standby {
			isWaitedFor[region] = true
		}
	}
	return standings
}

// candidates returns the registered VMs in the order in which they become relays:
// the first of each data centre by name, then the second of each. A data centre
// that is cut off so has a relay soon. Callers hold mu.
func (r *Roster) candidates() []string {
	names := make([]string, 0, len(r.listed))
	for name := range r.listed {
		names = append(names, name)
	}
	sort.Strings(names)
	turns, counts := make(map[string]int, len(names)), map[string]int{}
	for _, name := range names {
		dataCentre := r.listed[name].DataCentre
		turns[name] = counts[dataCentre]
		counts[dataCentre]++
	}
	sort.SliceStable(names, func(i, j int) bool { return turns[names[i]] < turns[names[j]] })
	return names
}

func (r *Roster) standing(name string, known map[string]VMStatus, self *State) standing {
	brief, isKnown := known[name]
	if name == r.Self.Name {
		brief, isKnown = briefOf(self, true), true
	}
	switch {
	case brief.Heard && brief.Stopping:
		return unfit
	case brief.Heard && brief.Contact:
		return reaching
	case brief.Heard:
		return standby
	case r.Clock.Now() < r.silentUntil[name]:
		return unfit
	case !isKnown:
		return standby
	default:
		return missing
	}
}

// isRelay says whether a VM of this VM's region is one of its relays. Callers hold
// mu.
func (r *Roster) isRelay(name string, self *State) bool {
	return slices.Contains(r.view(self).relays[r.Self.Region], name)
}

// source names the relay that tells this VM what the others of the region run.
// Callers hold mu.
func (r *Roster) source(self *State) string {
	relays := r.view(self).relays[r.Self.Region]
	if len(relays) == 0 {
		return ""
	}
	return relays[r.firstOf(relays)]
}

// firstOf returns which of its relays this VM asks first.
func (r *Roster) firstOf(relays []string) int {
	return int(hashing.Strings(r.Self.Name) % uint64(max(len(relays), 1)))
}

// Relays returns the relays of this VM's region but for itself, and whether it is
// one. Not all VMs have the same first. In a small fleet every VM is its own relay.
func (r *Roster) Relays() (others []vm.VM, isRelay bool) {
	self := r.self()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isLarge() || r.isRelay(r.Self.Name, &self) {
		return nil, true
	}
	names := r.view(&self).relays[r.Self.Region]
	first := r.firstOf(names)
	for i := range names {
		others = append(others, r.listed[names[(first+i)%len(names)]])
	}
	return others, false
}

// HasFollowers says whether this VM is a relay in a large fleet.
func (r *Roster) HasFollowers() bool {
	self := r.self()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isLarge() && r.isRelay(r.Self.Name, &self)
}

// DutyCandidates returns the VMs among which duties for all are divided: all that were
// heard in a small fleet, and the relays in a large one. isMost says whether this
// VM knows of more than half of the registered VMs.
func (r *Roster) DutyCandidates(members []Member) (deciders []Member, isMost bool) {
	self := r.self()
	r.mu.Lock()
	isLarge, relays, listed := r.isLarge(), r.view(&self).relays, len(r.listed)
	r.mu.Unlock()
	heard := 0
	for _, member := range members {
		if !member.Reachable {
			continue
		}
		heard++
		if !member.Ready || member.Stopping {
			continue
		}
		if !isLarge || slices.Contains(relays[member.VM.Region], member.ID.Name) {
			deciders = append(deciders, member)
		}
	}
	return deciders, heard*2 > listed
}
