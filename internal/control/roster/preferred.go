package roster

import (
	"slices"

	"baobabladder.example/baobabladder/internal/world/vm"
)

// PreferredVMs returns the VMs that a caller in a data centre should use: those of its
// data centre if there are at least two, else those of its region if there is any, else
// all. VMs that are cut off from all endpoints count only if all are.
func PreferredVMs(members []Member, region, dataCentre string) []vm.VM {
	isUsable := (*Member).IsServing
	if !slices.ContainsFunc(members, func(m Member) bool { return isUsable(&m) }) {
		isUsable = func(m *Member) bool { return m.Reachable && m.Ready && !m.Stopping }
	}
	var local, regional, all []vm.VM
	for i := range members {
		member := &members[i]
		if !isUsable(member) {
			continue
		}
		all = append(all, member.VM)
		if member.VM.Region != region {
			continue
		}
		regional = append(regional, member.VM)
		if member.VM.DataCentre == dataCentre {
			local = append(local, member.VM)
		}
	}
	switch {
	case len(local) > 1:
		return local
	case len(regional) > 0:
		return regional
	default:
		return all
	}
}
