// Package replica keeps a VM's copy of the configuration in the platform's
// store: documents, API keys and the state of version moves. Objects arrive
// from the store or from peers in any order. For each object the highest
// version wins, so the copy never reverts to an older state.
package replica

import (
	"encoding/json"
	"hash/fnv"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/hashing"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/key"
)

// MovePrefix is the prefix of the store keys that hold the states of version
// moves.
const MovePrefix = "moves/"

// PageBytes is the maximum total size of the keys and values in one Page, in
// bytes. A single object larger than this gets a separate page.
const PageBytes = 1 << 20

// Prefixes returns the store key prefixes of the objects that a replica holds.
func Prefixes() []string {
	return []string{document.ObjectPrefix, key.ObjectPrefix, MovePrefix}
}

// Service is the document of a service that is currently in force.
type Service struct {
	*document.Service
	Revision int64
}

// Snapshot is an immutable view of a replica.
type Snapshot struct {
	// Revision is the store revision up to which the snapshot is complete.
	Revision int64
	// Services is sorted by name.
	Services []Service
	// Fleet is nil until a fleet document is known.
	Fleet         *document.Fleet
	FleetRevision int64
	// Keys holds the keys by digest. A key counts as withdrawn as soon as its
	// withdrawal is pending.
	Keys map[key.Digest]key.Key
	// Moves holds the encoded state of each service's version move, by service
	// name.
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

// Match returns the service and route with the longest prefix of path, or nil.
func (s *Snapshot) Match(path string) (service *Service, route *document.Route) {
	for i := range s.Services {
		candidate := s.Services[i].Route(path)
		if candidate != nil && (route == nil || len(candidate.Prefix) > len(route.Prefix)) {
			service, route = &s.Services[i], candidate
		}
	}
	return service, route
}

// Summary identifies the content of a replica, so that two replicas can be
// compared without exchanging their objects.
type Summary struct {
	// Revision is the store revision up to which the replica is complete.
	Revision int64 `json:"revision"`
	// Digest covers the key and version of every object and the pending
	// withdrawals. Replicas with equal digests hold equal content.
	Digest uint64 `json:"digest"`
}

// Page is a part of a replica's content, in order of object version.
type Page struct {
	// Listing holds the objects. Its Revision is the revision up to which the
	// receiver is complete afterwards, provided that it was complete up to the
	// revision it asked to start after.
	Listing store.Listing `json:"listing"`
	// Next is the revision to start the next page after; 0 on the last page.
	Next int64 `json:"next"`
	// Pending holds the ids of API keys whose withdrawal was requested. The store
	// may not show the withdrawal yet.
	Pending []string `json:"pending,omitempty"`
}

// Replica is a copy of the configuration in which every object only moves to
// newer versions. Its zero value is empty and ready to use.
type Replica struct {
	snapshot atomic.Pointer[Snapshot]

	mu sync.Mutex
	// objects holds the newest known version of each object by store key,
	// including deleted objects. Guarded by mu.
	objects map[string]store.Object
	// documents holds the last valid text of each existing document, by store
	// key. Guarded by mu.
	documents map[string]parsedDocument
	// keys holds the last valid value of each existing API key, by store key.
	// Guarded by mu.
	keys map[string]key.Key
	// moves holds the value of each existing version move, by service name.
	// Guarded by mu.
	moves map[string]json.RawMessage
	// outdated marks the parts of the snapshot that must be rebuilt. Guarded by mu.
	outdated snapshotParts
	// pending holds the ids of API keys to treat as withdrawn. Ids are never
	// removed. Guarded by mu.
	pending map[string]bool
	// revision is the store revision up to which the copy is complete. It never
	// decreases. Guarded by mu.
	revision int64
	// digest is the exclusive or of the hashes of all objects and pending ids.
	// Guarded by mu.
	digest uint64
}

// snapshotParts marks parts of a snapshot as outdated.
type snapshotParts struct{ documents, keys, moves bool }

// parsedDocument is a document parsed from a store object.
type parsedDocument struct {
	document *document.Document
	revision int64
}

// Snapshot returns the current snapshot; it is never nil.
func (r *Replica) Snapshot() *Snapshot {
	if snapshot := r.snapshot.Load(); snapshot != nil {
		return snapshot
	}
	return &Snapshot{}
}

// Summary returns the replica's current summary.
func (r *Replica) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Summary{Revision: r.revision, Digest: r.digest}
}

// Merge stores the objects that are newer than the copy's and marks the copy as
// complete up to the listing's revision. It reports whether anything changed.
// If an object is invalid, its last valid value stays in force, the remaining
// objects are merged and an error is returned.
func (r *Replica) Merge(listing store.Listing) (changed bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed, err = r.merge(listing.Objects)
	r.revision = max(r.revision, listing.Revision)
	r.publish(changed)
	return changed, err
}

// MergePage merges a page that was requested from a peer with the given
// starting revision. If the copy is not complete up to that revision, the
// copy's revision stays unchanged.
func (r *Replica) MergePage(page Page, after int64) (changed bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed, err = r.merge(page.Listing.Objects)
	if after <= r.revision {
		r.revision = max(r.revision, page.Listing.Revision)
	}
	if r.withdraw(page.Pending) {
		changed = true
	}
	r.publish(changed)
	return changed, err
}

// WithdrawKeys treats the API keys with the given ids as withdrawn from now on,
// before the store confirms it and for as long as the process runs.
func (r *Replica) WithdrawKeys(ids ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.withdraw(ids) {
		r.publish(true)
	}
}

// ChangesSince returns the objects changed after revision, and the revision up
// to which the copy is complete.
func (r *Replica) ChangesSince(revision int64) (listing store.Listing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return store.Listing{Revision: r.revision, Objects: r.changedAfter(revision)}
}

// Page returns the objects changed after revision, up to PageBytes of them.
func (r *Replica) Page(revision int64) (page Page) {
	r.mu.Lock()
	defer r.mu.Unlock()
	objects := r.changedAfter(revision)
	size := 0
	for i, object := range objects {
		size += len(object.Key) + len(object.Value)
		if size > PageBytes && i > 0 {
			objects = objects[:i]
			page.Next = objects[i-1].Version
			break
		}
	}
	page.Listing = store.Listing{Revision: r.revision, Objects: objects}
	if page.Next > 0 {
		page.Listing.Revision = min(r.revision, page.Next)
	}
	page.Pending = slices.Sorted(maps.Keys(r.pending))
	return page
}

// PendingWithdrawals returns the ids of the API keys that WithdrawKeys or a
// peer's page marked as withdrawn, sorted.
func (r *Replica) PendingWithdrawals() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.pending))
}

// UnconfirmedWithdrawals returns the ids of the API keys that are treated as
// withdrawn although their objects do not show it yet, sorted.
func (r *Replica) UnconfirmedWithdrawals() (ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.pending {
		if k, found := r.keys[key.ObjectPrefix+id]; found && !k.Withdrawn {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Object returns the newest known version of the object at key. found is false
// if the object is unknown or deleted.
func (r *Replica) Object(key string) (object store.Object, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	object, found = r.objects[key]
	return object, found && !object.Deleted
}

// changedAfter returns the objects changed after revision, in order of version.
// The caller must hold mu.
func (r *Replica) changedAfter(revision int64) (objects []store.Object) {
	for _, object := range r.objects {
		if object.Version > revision {
			objects = append(objects, object)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Version < objects[j].Version })
	return objects
}

// merge stores newer objects. The caller must hold mu.
func (r *Replica) merge(objects []store.Object) (changed bool, err error) {
	if r.objects == nil {
		r.objects = map[string]store.Object{}
		r.documents = map[string]parsedDocument{}
		r.keys = map[string]key.Key{}
		r.moves = map[string]json.RawMessage{}
	}
	for _, object := range objects {
		old := r.objects[object.Key]
		if object.Version <= old.Version {
			continue
		}
		changed = true
		if old.Version > 0 {
			r.digest ^= hash(old.Key, old.Version)
		}
		r.digest ^= hash(object.Key, object.Version)
		r.objects[object.Key] = object
		if loadErr := r.load(object); loadErr != nil {
			err = errorx.Decorate(loadErr, "reading object %s at version %d", object.Key, object.Version)
		}
	}
	return changed, err
}

// withdraw adds ids to pending. The caller must hold mu.
func (r *Replica) withdraw(ids []string) (changed bool) {
	for _, id := range ids {
		if r.pending[id] {
			continue
		}
		if r.pending == nil {
			r.pending = map[string]bool{}
		}
		r.pending[id] = true
		r.digest ^= hash("pending/"+id, 0)
		r.outdated.keys = true
		changed = true
	}
	return changed
}

// load parses an object's value and updates the map for its kind. The caller
// must hold mu.
func (r *Replica) load(object store.Object) error {
	if service, found := strings.CutPrefix(object.Key, MovePrefix); found {
		r.outdated.moves = true
		setOrDelete(r.moves, service, json.RawMessage(object.Value), object.Deleted)
		return nil
	}
	if strings.HasPrefix(object.Key, key.ObjectPrefix) {
		r.outdated.keys = true
		k, err := parseKey(object)
		if err == nil {
			setOrDelete(r.keys, object.Key, k, object.Deleted)
		}
		return err
	}
	if strings.HasPrefix(object.Key, document.ObjectPrefix) {
		r.outdated.documents = true
		parsed, err := parseDocument(object)
		if err == nil {
			setOrDelete(r.documents, object.Key, parsed, object.Deleted)
		}
		return err
	}
	return nil
}

func setOrDelete[V any](values map[string]V, name string, value V, deleted bool) {
	if deleted {
		delete(values, name)
		return
	}
	values[name] = value
}

// parseKey parses an API key. A deleted object yields the zero Key.
func parseKey(object store.Object) (k key.Key, err error) {
	if object.Deleted {
		return key.Key{}, nil
	}
	err = json.Unmarshal(object.Value, &k)
	return k, err
}

// parseDocument parses and validates a document. A deleted object yields the
// zero value.
func parseDocument(object store.Object) (parsed parsedDocument, err error) {
	if object.Deleted {
		return parsedDocument{}, nil
	}
	var record document.Record
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return parsedDocument{}, err
	}
	parsed.revision = record.Revision
	parsed.document, err = document.Parse([]byte(record.Text))
	return parsed, err
}

// publish replaces the snapshot if the copy's content or revision changed. The
// caller must hold mu.
func (r *Replica) publish(changed bool) {
	old := r.Snapshot()
	if !changed {
		if old.Revision != r.revision {
			updated := *old
			updated.Revision = r.revision
			r.snapshot.Store(&updated)
		}
		return
	}
	// Unchanged parts are shared with the old snapshot, which is immutable.
	next := *old
	next.Revision = r.revision
	if r.outdated.documents {
		next.Services, next.Fleet, next.FleetRevision = nil, nil, 0
		for _, parsed := range r.documents {
			next.addDocument(parsed)
		}
		sort.Slice(next.Services, func(i, j int) bool { return next.Services[i].Name < next.Services[j].Name })
	}
	if r.outdated.keys {
		next.Keys = make(map[key.Digest]key.Key, len(r.keys))
		for _, k := range r.keys {
			k.Withdrawn = k.Withdrawn || r.pending[k.ID]
			next.Keys[k.Digest] = k
		}
	}
	if r.outdated.moves {
		next.Moves = maps.Clone(r.moves)
	}
	r.outdated = snapshotParts{}
	r.snapshot.Store(&next)
}

func (s *Snapshot) addDocument(parsed parsedDocument) {
	if parsed.document.Fleet != nil {
		s.Fleet, s.FleetRevision = parsed.document.Fleet, parsed.revision
		return
	}
	s.Services = append(s.Services, Service{Service: parsed.document.Service, Revision: parsed.revision})
}

// hash returns a 64-bit hash of an object's key and version.
func hash(objectKey string, version int64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(objectKey))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(strconv.AppendInt(nil, version, 10))
	return hashing.Mix(h.Sum64())
}
