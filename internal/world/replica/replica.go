// Package replica keeps a VM's copy of the configuration that the platform's
// store holds: documents, keys and the state of version moves. Copies arrive
// from the store or from peers in any order; an object's version decides, so
// that nothing ever reverts.
package replica

import (
	"encoding/json"
	"sort"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/key"
)

// MovePrefix starts the store keys of the states of version moves.
const MovePrefix = "moves/"

// Prefixes lists what a replica holds.
func Prefixes() []string {
	return []string{document.ObjectPrefix, key.ObjectPrefix, MovePrefix}
}

// Service is a service's document in force.
type Service struct {
	*document.Service
	Revision int64
}

// Snapshot is an immutable view of a replica.
type Snapshot struct {
	// Revision is the store's revision up to which the snapshot is complete.
	Revision int64
	// Services is sorted by name.
	Services []Service
	// Fleet is nil until a fleet document is known.
	Fleet         *document.Fleet
	FleetRevision int64
	Keys          map[key.Digest]key.Key
	// Moves holds the raw state of each service's move, by service name.
	Moves map[string]json.RawMessage
}

// Service returns the service with the given name, or nil.
func (s *Snapshot) Service(name string) *Service {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	return nil
}

// Match returns the service and route with the longest prefix of path.
func (s *Snapshot) Match(path string) (service *Service, route *document.Route) {
	for i := range s.Services {
		candidate := s.Services[i].Route(path)
		if candidate != nil && (route == nil || len(candidate.Prefix) > len(route.Prefix)) {
			service, route = &s.Services[i], candidate
		}
	}
	return service, route
}

// Replica is a copy that only moves forward. Its zero value is empty.
type Replica struct {
	snapshot atomic.Pointer[Snapshot]

	mu sync.Mutex
	// objects holds the newest known version of each object, removals included.
	// Guarded by mu.
	objects map[string]store.Object
	// revision never falls. Guarded by mu.
	revision int64
}

// Snapshot returns the current view; it is never nil.
func (r *Replica) Snapshot() *Snapshot {
	if snapshot := r.snapshot.Load(); snapshot != nil {
		return snapshot
	}
	return &Snapshot{}
}

// Merge takes over objects that are newer than the copy's, and notes that the
// copy is then complete up to revision. It reports whether anything changed. An
// object that can't be read leaves its older version in force.
func (r *Replica) Merge(listing store.Listing) (changed bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.objects == nil {
		r.objects = map[string]store.Object{}
	}
	for _, object := range listing.Objects {
		if object.Version > r.objects[object.Key].Version {
			r.objects[object.Key] = object
			changed = true
		}
	}
	if listing.Revision > r.revision {
		r.revision = listing.Revision
	}
	old := r.Snapshot()
	if !changed && old.Revision == r.revision {
		return false, nil
	}
	next, err := r.build(old, changed)
	r.snapshot.Store(next)
	return changed, err
}

// Since returns the objects changed after revision, with what the copy is
// complete up to.
func (r *Replica) Since(revision int64) (listing store.Listing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, object := range r.objects {
		if object.Version > revision {
			listing.Objects = append(listing.Objects, object)
		}
	}
	sort.Slice(listing.Objects, func(i, j int) bool { return listing.Objects[i].Version < listing.Objects[j].Version })
	listing.Revision = r.revision
	return listing
}

// build derives a snapshot from the objects. Callers hold mu.
func (r *Replica) build(old *Snapshot, changed bool) (next *Snapshot, err error) {
	if !changed {
		same := *old
		same.Revision = r.revision
		return &same, nil
	}
	next = &Snapshot{Revision: r.revision, Keys: map[key.Digest]key.Key{}, Moves: map[string]json.RawMessage{}}
	for objectKey, object := range r.objects {
		if object.Deleted {
			continue
		}
		if e := next.add(objectKey, object.Value); e != nil {
			err = errorx.Decorate(e, "reading object %s at version %d", objectKey, object.Version)
		}
	}
	sort.Slice(next.Services, func(i, j int) bool { return next.Services[i].Name < next.Services[j].Name })
	return next, err
}

func (s *Snapshot) add(objectKey string, value []byte) error {
	switch {
	case strings.HasPrefix(objectKey, document.ObjectPrefix):
		return s.addDocument(value)
	case strings.HasPrefix(objectKey, key.ObjectPrefix):
		var k key.Key
		if err := json.Unmarshal(value, &k); err != nil {
			return err
		}
		s.Keys[k.Digest] = k
	case strings.HasPrefix(objectKey, MovePrefix):
		s.Moves[strings.TrimPrefix(objectKey, MovePrefix)] = value
	}
	return nil
}

func (s *Snapshot) addDocument(value []byte) error {
	var record document.Record
	if err := json.Unmarshal(value, &record); err != nil {
		return err
	}
	parsed, err := document.Parse([]byte(record.Text))
	if err != nil {
		return err
	}
	if parsed.Fleet != nil {
		s.Fleet, s.FleetRevision = parsed.Fleet, record.Revision
		return nil
	}
	s.Services = append(s.Services, Service{Service: parsed.Service, Revision: record.Revision})
	return nil
}
