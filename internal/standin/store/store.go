// Package store stands in for the platform's object store in tests, in the demo
// and in local runs: versions, conditional updates, watches and the lagging list
// of VMs, over the same HTTP calls. It keeps everything in memory, counts each
// call against a budget, and fails on command.
package store

import (
	"sort"
	"strings"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	wire "baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// Store is the stand-in. Make it with New; set its fields before the first call.
type Store struct {
	Clock clock.Clock
	// Budget is enforced; a zero rate is without limit.
	Budget Budget
	// VMLag is how late changes of the list of VMs show.
	VMLag clock.Millis

	mu sync.Mutex
	// objects holds live objects and removals by key. Guarded by mu.
	objects map[string]wire.Object
	// changedAt[i] is when the change with revision i+1 took effect. It never
	// decreases. Guarded by mu.
	changedAt []clock.Millis
	// vms is the platform's list by name, as shown now. Guarded by mu.
	vms map[string]vm.VM
	// pending holds changes of vms that do not show yet, in order. Guarded by mu.
	pending []vmChange
	// changed is closed and replaced at each change of objects or faults. Guarded by mu.
	changed chan struct{}
	// faults are in force now. Guarded by mu.
	faults Faults
	// earlier is the last answer of a watch while watches are reordered. Guarded by mu.
	earlier *wire.Listing

	meter meter
}

// New returns an empty store with DefaultBudget.
func New() *Store {
	return &Store{Budget: DefaultBudget, objects: map[string]wire.Object{}, vms: map[string]vm.VM{}, changed: make(chan struct{})}
}

// Objects returns the live objects whose keys start with prefix, sorted by key,
// past all faults and without counting a call.
func (s *Store) Objects(prefix string) (objects []wire.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, object := range s.objects {
		if !object.Deleted && strings.HasPrefix(key, prefix) {
			objects = append(objects, object)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Key < objects[j].Key })
	return objects
}

// change puts object in place if the stored one is at ifVersion.
func (s *Store) change(object wire.Object, ifVersion int64) (version int64, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[object.Key]
	if old.Deleted {
		old.Version = 0
	}
	if old.Version != ifVersion {
		return 0, false
	}
	s.changedAt = append(s.changedAt, s.Clock.Now())
	object.Version = int64(len(s.changedAt))
	s.objects[object.Key] = object
	s.announce()
	return object.Version, true
}

// announce wakes the waiting watches. Callers hold mu.
func (s *Store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns the live object at key.
func (s *Store) get(key string) (object wire.Object, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, found = s.objects[key]
	return object, found && !object.Deleted
}

// since returns the changes after a revision that are at least age old, and a
// channel that closes at the next change.
func (s *Store) since(prefixes []string, after int64, age clock.Millis) (listing wire.Listing, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shownUntil := s.Clock.Now() - age
	shown := sort.Search(len(s.changedAt), func(i int) bool { return s.changedAt[i] > shownUntil })
	listing = wire.Listing{Revision: int64(shown), Objects: []wire.Object{}}
	for key, object := range s.objects {
		if object.Version > after && object.Version <= listing.Revision && hasPrefix(key, prefixes) {
			listing.Objects = append(listing.Objects, object)
		}
	}
	sort.Slice(listing.Objects, func(i, j int) bool { return listing.Objects[i].Version < listing.Objects[j].Version })
	return listing, s.changed
}

func hasPrefix(key string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}
