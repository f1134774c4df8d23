package roster

import "baobabladder.example/baobabladder/internal/world/vm"

// PreferredVMs returns the serving VMs that a caller in a data centre should use:
// those of its data centre if there are at least two, else those of its region if
// there is any, else all.
func PreferredVMs(members []Member, region, dataCentre string) []vm.VM {
	var local, regional, all []vm.VM
	for _, member := range members {
		if !member.Reachable || !member.Ready || member.Stopping {
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
