// Package lookup selects the entry VMs that a caller is to use. The result is a list of
// VMs, ranked for the caller: those in the region nearest to its address come first, in
// different data centres, followed by VMs of the next region. Callers of one region are
// distributed over the VMs of that region. A Table maps the address to a region, and a
// Ranking the region to VMs. The package does no I/O; readers take no locks.
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

// MaxVMs is the maximum number of VMs in a list for a caller. Callers cache the list, so
// it holds several VMs: if one fails, a caller needs only a retry with the next one.
const MaxVMs = 4

// maxNearestVMs is the maximum number of VMs of the nearest region in such a list. The
// others are in the next regions, in case a whole region fails.
const maxNearestVMs = 3

// startSeed is the seed of the hash that maps a caller's address to the index in a
// region's list of VMs at which the caller's VMs begin. The index is the same only
// within this process, as the VMs need not agree on it.
var startSeed = maphash.MakeSeed()

// Ranking holds the VMs that callers may use, by region. It is immutable.
type Ranking struct {
	// regionsByDistance maps a region to all regions, nearest first, starting with
	// itself.
	regionsByDistance map[string][]string
	// vmsByRegion maps a region to its VMs, in the order of interleave.
	vmsByRegion map[string][]vm.VM
	// defaultRegion is the region assumed for callers whose region is unknown.
	defaultRegion string
}

// EligibleVMs returns the VMs of view that callers may use: those that are live in
// the platform's list, reachable and not stopping.
func EligibleVMs(view *membership.View) []vm.VM {
	eligible := make([]vm.VM, 0, len(view.Members))
	for _, member := range view.Members {
		if member.State == vm.StateLive && member.Reachable && !member.Stopping {
			eligible = append(eligible, member.VM)
		}
	}
	return eligible
}

// NewRanking returns a Ranking of the given VMs; see EligibleVMs. home is this VM's
// region, which is also assumed for callers in an unknown region. fleet is nil if there
// is no fleet document; distances are unknown then, so home comes first for all callers
// and the other regions follow in the order of their names.
func NewRanking(fleet *document.Fleet, eligible []vm.VM, home string) *Ranking {
	ranking := &Ranking{regionsByDistance: map[string][]string{}, vmsByRegion: map[string][]vm.VM{}, defaultRegion: home}
	for _, v := range eligible {
		ranking.vmsByRegion[v.Region] = append(ranking.vmsByRegion[v.Region], v)
	}
	for region, regionVMs := range ranking.vmsByRegion {
		ranking.vmsByRegion[region] = interleave(regionVMs)
	}
	others := slices.DeleteFunc(slices.Sorted(maps.Keys(ranking.vmsByRegion)), func(name string) bool { return name == home })
	ranking.regionsByDistance[home] = append([]string{home}, others...)
	if fleet == nil {
		return ranking
	}
	for _, region := range fleet.Regions {
		ranking.regionsByDistance[region.Name] = regionsByLatency(fleet, region.Name)
	}
	return ranking
}

// regionsByLatency returns all regions, ordered by the latency of their link from one
// region. Regions without a link to it come last.
func regionsByLatency(fleet *document.Fleet, from string) []string {
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

// interleave returns the VMs in an order in which adjacent ones are in different data
// centres where possible.
func interleave(vms []vm.VM) []vm.VM {
	byDataCentre := map[string][]vm.VM{}
	for _, v := range vms {
		byDataCentre[v.DataCentre] = append(byDataCentre[v.DataCentre], v)
	}
	names := make([]string, 0, len(byDataCentre))
	for name, dataCentreVMs := range byDataCentre {
		names = append(names, name)
		slices.SortFunc(dataCentreVMs, func(a, b vm.VM) int { return strings.Compare(a.Name, b.Name) })
	}
	slices.Sort(names)
	interleaved := make([]vm.VM, 0, len(vms))
	for len(interleaved) < len(vms) {
		for _, name := range names {
			if remaining := byDataCentre[name]; len(remaining) > 0 {
				interleaved = append(interleaved, remaining[0])
				byDataCentre[name] = remaining[1:]
			}
		}
	}
	return interleaved
}

// Pick returns up to MaxVMs VMs for a caller, best first. region is the region of the
// caller's address, or "" if it is unknown.
func (r *Ranking) Pick(region string, address netip.Addr) []vm.VM {
	regions := r.regionsByDistance[region]
	if regions == nil {
		regions = r.regionsByDistance[r.defaultRegion]
	}
	start := maphash.Comparable(startSeed, address)
	picked := make([]vm.VM, 0, MaxVMs)
	limit := maxNearestVMs
	for _, name := range regions {
		picked = appendVMs(picked, r.vmsByRegion[name], start, limit)
		if len(picked) > 0 {
			limit = MaxVMs
		}
		if len(picked) == MaxVMs {
			break
		}
	}
	return picked
}

// appendVMs appends VMs to picked until it has limit VMs. It goes through vms
// once, beginning at index start modulo the length.
func appendVMs(picked, vms []vm.VM, start uint64, limit int) []vm.VM {
	for i := 0; i < len(vms) && len(picked) < limit; i++ {
		picked = append(picked, vms[(start+uint64(i))%uint64(len(vms))])
	}
	return picked
}
