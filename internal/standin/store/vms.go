package store

import (
	"sort"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// vmChange is one change of the list of VMs.
type vmChange struct {
	// shownAt is when the change shows.
	shownAt clock.Millis
	vm      vm.VM
	dropped bool
}

// PutVM puts an entry into the platform's list or replaces it; it shows after
// VMLag.
func (s *Store) PutVM(v vm.VM) { s.changeVM(vmChange{vm: v}) }

// RemoveVM takes an entry off the platform's list after VMLag.
func (s *Store) RemoveVM(name string) { s.changeVM(vmChange{vm: vm.VM{Name: name}, dropped: true}) }

func (s *Store) changeVM(change vmChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change.shownAt = s.Clock.Now() + s.VMLag
	s.pending = append(s.pending, change)
}

// VMs returns the list as the platform shows it now, sorted by name.
func (s *Store) VMs() []vm.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	for len(s.pending) > 0 && s.pending[0].shownAt <= now {
		s.show(s.pending[0])
		s.pending = s.pending[1:]
	}
	list := make([]vm.VM, 0, len(s.vms))
	for _, v := range s.vms {
		list = append(list, v)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// show applies a change. Callers hold mu.
func (s *Store) show(change vmChange) {
	if change.dropped {
		delete(s.vms, change.vm.Name)
		return
	}
	s.vms[change.vm.Name] = change.vm
}
