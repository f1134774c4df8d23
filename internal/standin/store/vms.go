package store

import (
	"sort"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// vmChange is a change of the list of VMs: the VM to add or replace, or the name of the
// VM to remove.
type vmChange struct {
	// visibleAt is the time from which the list includes the change.
	visibleAt clock.Millis
	vm        vm.VM
	removed   bool
}

// PutVM adds a VM to the platform's list or replaces its entry. The change becomes
// visible after VMLag.
func (s *Store) PutVM(v vm.VM) { s.changeVM(vmChange{vm: v}) }

// RemoveVM removes a VM from the platform's list. The change becomes visible after VMLag.
func (s *Store) RemoveVM(name string) { s.changeVM(vmChange{vm: vm.VM{Name: name}, removed: true}) }

func (s *Store) changeVM(change vmChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change.visibleAt = s.Clock.Now() + s.VMLag
	s.pendingVMChanges = append(s.pendingVMChanges, change)
}

// VMs applies the pending changes that are due and returns the visible list, sorted by
// name.
func (s *Store) VMs() []vm.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	for len(s.pendingVMChanges) > 0 && s.pendingVMChanges[0].visibleAt <= now {
		s.applyVMChange(s.pendingVMChanges[0])
		s.pendingVMChanges = s.pendingVMChanges[1:]
	}
	list := make([]vm.VM, 0, len(s.vms))
	for _, v := range s.vms {
		list = append(list, v)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// applyVMChange applies a change to the visible list. The caller must hold mu.
func (s *Store) applyVMChange(change vmChange) {
	if change.removed {
		delete(s.vms, change.vm.Name)
		return
	}
	s.vms[change.vm.Name] = change.vm
}
