// Package inflight tracks calls in flight to other VMs, so that a VM makes at most one
// call of a kind to each of them at a time.
package inflight

import "sync"

// Set is the set of VMs to which a call of one kind is in flight. Its zero value is empty and
// ready to use.
type Set struct {
	mu sync.Mutex
	// names holds the names of the VMs. Guarded by mu.
	names map[string]bool
}

// Begin adds a VM and reports whether no call to it was in flight. If it returns true, End
// must be called after the call.
func (s *Set) Begin(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.names[name] {
		return false
	}
	if s.names == nil {
		s.names = map[string]bool{}
	}
	s.names[name] = true
	return true
}

// End removes a VM.
func (s *Set) End(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.names, name)
}
