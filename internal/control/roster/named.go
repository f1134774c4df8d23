package roster

import "baobabladder.example/baobabladder/internal/world/vm"

// PreferredVMs returns the VMs that a caller in a data centre should use: those of its
// data centre, or of its region if its data centre has fewer than two, or all.
func PreferredVMs(members []Member, region, dataCentre string) []vm.VM {
	var local, near, all []vm.VM
	for _, member := range members {
		if !member.Reachable || !member.Ready || member.Stopping {
			continue
		}
		all = append(all, member.VM)
		if member.VM.Region != region {
			continue
		}
		near = append(near, member.VM)
		if member.VM.DataCentre == dataCentre {
			local = append(local, member.VM)
		}
	}
	switch {
	case len(local) > 1:
		return local
	case len(near) > 0:
		return near
	default:
		return all
	}
}
