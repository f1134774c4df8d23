// Package lookup answers the callers' question which entry VMs to use. The
// answer is ranked for the caller: VMs of the region nearest to its address come
// first, in different data centres, and callers of one region are spread over
// that region's VMs. It does no input or output; readers take no lock.
package lookup

import (
	"hash/maphash"
	"maps"
	"net/netip"
	"slices"
	"sort"
	"strings"

	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// MaxVMs is how many VMs an answer names at most. Callers cache it, so it
// names enough for the death of one VM to cost a retry and no more.
const MaxVMs = 4

// nearAnswer is how many of them lie in the nearest region; the rest lie in the
// next ones, for the loss of a whole region.
const nearAnswer = 3

// spreadSeed makes a caller's place among the VMs stable within a process only:
// nothing depends on VMs agreeing about it.
var spreadSeed = maphash.MakeSeed()

// Ranking holds the VMs that may be named, by region. It is immutable.
type Ranking struct {
	// near maps a region to its ranked regions, nearest first, itself included.
	near map[string][]string
	// vms maps a region to its VMs. Neighbours in the list lie in different data
	// centres where that is possible.
	vms map[string][]vm.VM
	// fallback is the region assumed for callers whose block is unknown.
	fallback string
}

// EligibleVMs returns the members of view that callers may be told to use: those that
// are listed as live, reachable and not about to stop.
func EligibleVMs(view *membership.View) []vm.VM {
	named := make([]vm.VM, 0, len(view.Members))
	for _, member := range view.Members {
		if member.State == vm.StateLive && member.Reachable && !member.Stopping {
			named = append(named, member.VM)
		}
	}
	return named
}

// NewRanking ranks the VMs that callers may be told to use; see Named. Without a
// fleet document, which a nil fleet stands for, home goes first and no other
// region is known to be nearer than another.
func NewRanking(fleet *document.Fleet, named []vm.VM, home string) *Ranking {
	ranking := &Ranking{near: map[string][]string{}, vms: map[string][]vm.VM{}, fallback: home}
	for _, v := range named {
		ranking.vms[v.Region] = append(ranking.vms[v.Region], v)
	}
	for region, listed := range ranking.vms {
		ranking.vms[region] = interleave(listed)
	}
	others := slices.DeleteFunc(slices.Sorted(maps.Keys(ranking.vms)), func(name string) bool { return name == home })
	ranking.near[home] = append([]string{home}, others...)
	if fleet == nil {
		return ranking
	}
	for _, region := range fleet.Regions {
		ranking.near[region.Name] = nearest(fleet, region.Name)
	}
	return ranking
}

// nearest returns all regions by their round trip from one; regions without a
// link come last.
func nearest(fleet *document.Fleet, from string) []string {
	const noLink = int64(1) << 40
	distance := func(to string) int64 {
		if to == from {
			return -1
		}
		if link := fleet.Link(from, to); link != nil {
			return int64(link.Latency)
		}
		return noLink
	}
	names := make([]string, 0, len(fleet.Regions))
	for _, region := range fleet.Regions {
		names = append(names, region.Name)
	}
	sort.SliceStable(names, func(i, j int) bool { return distance(names[i]) < distance(names[j]) })
	return names
}

// interleave orders VMs so that neighbours lie in different data centres as far
// as possible.
func interleave(vms []vm.VM) []vm.VM {
	byDataCentre := map[string][]vm.VM{}
	for _, v := range vms {
		byDataCentre[v.DataCentre] = append(byDataCentre[v.DataCentre], v)
	}
	names := make([]string, 0, len(byDataCentre))
	for name, listed := range byDataCentre {
		names = append(names, name)
		slices.SortFunc(listed, func(a, b vm.VM) int { return strings.Compare(a.Name, b.Name) })
	}
	slices.Sort(names)
	mixed := make([]vm.VM, 0, len(vms))
	for len(mixed) < len(vms) {
		for _, name := range names {
			if listed := byDataCentre[name]; len(listed) > 0 {
				mixed = append(mixed, listed[0])
				byDataCentre[name] = listed[1:]
			}
		}
	}
	return mixed
}

// Pick returns up to MaxAnswer VMs for a caller with the given address in the
// given region, best first; "" is an unknown region.
func (r *Ranking) Pick(region string, address netip.Addr) []vm.VM {
	regions := r.near[region]
	if regions == nil {
		regions = r.near[r.fallback]
	}
	start := maphash.Comparable(spreadSeed, address)
	answer := make([]vm.VM, 0, MaxVMs)
	limit := nearAnswer
	for _, name := range regions {
		answer = appendFrom(answer, r.vms[name], start, limit)
		if len(answer) > 0 {
			limit = MaxVMs
		}
		if len(answer) == MaxVMs {
			break
		}
	}
	return answer
}

// appendFrom appends VMs from the caller's place in the list until the answer
// has limit.
func appendFrom(answer, vms []vm.VM, start uint64, limit int) []vm.VM {
	for i := 0; i < len(vms) && len(answer) < limit; i++ {
		answer = append(answer, vms[(start+uint64(i))%uint64(len(vms))])
	}
	return answer
}
