// Package store implements an in-memory stand-in for the platform's object store, for
// tests, the demo and local runs. It serves the same HTTP API: object versions,
// conditional updates, watches, and a list of VMs that lags behind its changes. It
// enforces a budget of calls per second, keeps call statistics, and injects faults on
// request.
package store

import (
	"sort"
	"strings"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	wire "baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// Store is the stand-in for the object store. Create it with New and set its exported
// fields before the first call.
type Store struct {
	Clock clock.Clock
	// Budget limits the calls per second; a limit of 0 means unlimited.
	Budget Budget
	// VMLag is the delay after which a change of the list of VMs becomes visible.
	VMLag clock.Millis

	mu sync.Mutex
	// objects holds the objects by key, removed ones as tombstones. Guarded by mu.
	objects map[string]wire.Object
	// changedAt[i] is the time at which the change with revision i+1 took effect. The
	// values never decrease. Guarded by mu.
	changedAt []clock.Millis
	// vms holds the visible list of VMs by name. Guarded by mu.
	vms map[string]vm.VM
	// pendingVMChanges holds the changes of vms that are not visible yet, in order.
	// Guarded by mu.
	pendingVMChanges []vmChange
	// changed is closed and replaced at each change of objects or faults, to wake the
	// waiting watches. Guarded by mu.
	changed chan struct{}
	// faults holds the current faults. Guarded by mu.
	faults Faults
	// previousListing is the listing that the next watch gets again under
	// Faults.WatchReorder, or nil. Guarded by mu.
	previousListing *wire.Listing

	meter meter
}

// New returns an empty store with DefaultBudget.
func New() *Store {
	return &Store{Budget: DefaultBudget, objects: map[string]wire.Object{}, vms: map[string]vm.VM{}, changed: make(chan struct{})}
}

// Objects returns the objects whose keys start with prefix, sorted by key, without
// removed ones. It ignores faults and does not count as a call.
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

// update stores object, or a tombstone if object.Deleted is set, if the stored object is
// at version ifVersion; 0 requires that there is no object or only a tombstone. It
// returns the new version, or false if the stored version differs.
func (s *Store) update(object wire.Object, ifVersion int64) (version int64, updated bool) {
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
	s.notifyWatches()
	return object.Version, true
}

// notifyWatches wakes the waiting watches. The caller must hold mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns the object at key, and false if it does not exist or was removed.
func (s *Store) get(key string) (object wire.Object, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, found = s.objects[key]
	return object, found && !object.Deleted
}

// changesSince returns the objects, tombstones included, with one of the prefixes that
// changed after the revision after and at least minAge ago, oldest change first. Younger
// changes are not covered by the revision of the listing either. The channel is closed at
// the next change of objects or faults.
func (s *Store) changesSince(prefixes []string, after int64, minAge clock.Millis) (listing wire.Listing, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	visibleUntil := s.Clock.Now() - minAge
	visible := sort.Search(len(s.changedAt), func(i int) bool { return s.changedAt[i] > visibleUntil })
	listing = wire.Listing{Revision: int64(visible), Objects: []wire.Object{}}
	for key, object := range s.objects {
		if object.Version > after && object.Version <= listing.Revision && hasAnyPrefix(key, prefixes) {
			listing.Objects = append(listing.Objects, object)
		}
	}
	sort.Slice(listing.Objects, func(i, j int) bool { return listing.Objects[i].Version < listing.Objects[j].Version })
	return listing, s.changed
}

func hasAnyPrefix(key string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}
