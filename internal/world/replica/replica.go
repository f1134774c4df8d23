// Package replica keeps a VM's copy of the configuration that the platform's
// store holds: documents, keys and the state of version moves. Copies arrive
// from the store or from peers in any order; an object's version decides, so
// that nothing ever reverts.
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

// MovePrefix starts the store keys of the states of version moves.
const MovePrefix = "moves/"

// PageBytes bounds the keys and values in one Page; a single larger object makes
// a page of its own.
const PageBytes = 1 << 20

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
	// Keys holds a key as withdrawn also while its withdrawal is pending.
	Keys map[key.Digest]key.Key
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

// Summary tells two replicas apart without their objects.
type Summary struct {
	// Revision is the store's revision up to which the replica is complete.
	Revision int64 `json:"revision"`
	// Digest covers key and version of every object and the pending withdrawals.
	// Equal digests mean equal content.
	Digest uint64 `json:"digest"`
}

// Page is a part of a replica's content, in order of version.
type Page struct {
	// Listing's Revision says up to where the receiver is complete, if it was
	// complete up to the revision that it asked after.
	Listing store.Listing `json:"listing"`
	// Next is what to ask after for the next page; 0 on the last page.
	Next int64 `json:"next"`
	// Pending holds the ids of keys whose withdrawal was asked for while its
	// outcome in the store is not known here.
	Pending []string `json:"pending,omitempty"`
}

// Replica is a copy that only moves forward. Its zero value is empty.
type Replica struct {
	snapshot atomic.Pointer[Snapshot]

	mu sync.Mutex
	// objects holds the newest known version of each object, removals included.
	// Guarded by mu.
	objects map[string]store.Object
	// documents holds the last readable text of each live document, by object
	// key. Guarded by mu.
	documents map[string]parsedDocument
	// keys holds the last readable value of each live key, by object key.
	// Guarded by mu.
	keys map[string]key.Key
	// moves holds the value of each live move, by service name. Guarded by mu.
	moves map[string]json.RawMessage
	// stale tells which parts of the snapshot are to be rebuilt. Guarded by mu.
	stale staleParts
	// pending holds the ids of keys to treat as withdrawn. An id never leaves.
	// Guarded by mu.
	pending map[string]bool
	// revision never falls. Guarded by mu.
	revision int64
	// digest is the exclusive or of the hashes of all objects and pending ids.
	// Guarded by mu.
	digest uint64
}

// staleParts marks parts of a snapshot.
type staleParts struct{ documents, keys, moves bool }

// parsedDocument is a document that was read from an object.
type parsedDocument struct {
	document *document.Document
	revision int64
}

// Snapshot returns the current view; it is never nil.
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

// Merge takes over objects that are newer than the copy's, and notes that the
// copy is then complete up to revision. It reports whether anything changed. An
// object that can't be read leaves its older value in force.
func (r *Replica) Merge(listing store.Listing) (changed bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed, err = r.merge(listing.Objects)
	r.revision = max(r.revision, listing.Revision)
	r.publish(changed)
	return changed, err
}

// MergePage merges a peer's page that was asked for after the given revision. A
// page after a revision that the copy is not complete up to leaves the copy's
// revision as it is.
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

// WithdrawKeys treats the keys with the given ids as withdrawn from now on, before
// the store says so, and for as long as the process runs.
func (r *Replica) WithdrawKeys(ids ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.withdraw(ids) {
		r.publish(true)
	}
}

// ChangesSince returns the objects changed after revision, with what the copy is
// complete up to.
func (r *Replica) ChangesSince(revision int64) (listing store.Listing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return store.Listing{Revision: r.revision, Objects: r.after(revision)}
}

// Page returns the objects changed after revision, up to PageBytes of them.
func (r *Replica) Page(revision int64) (page Page) {
	r.mu.Lock()
	defer r.mu.Unlock()
	objects := r.after(revision)
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

// PendingWithdrawals returns the ids of the keys that are treated as withdrawn, sorted.
func (r *Replica) PendingWithdrawals() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.pending))
}

// UnconfirmedWithdrawals returns the ids of the keys that are treated as withdrawn while the
// store does not show them withdrawn yet, sorted.
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

// Object returns the newest known version of the object at key.
func (r *Replica) Object(key string) (object store.Object, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	object, found = r.objects[key]
	return object, found && !object.Deleted
}

// after returns the objects changed after revision in order of version. Callers
// hold mu.
func (r *Replica) after(revision int64) (objects []store.Object) {
	for _, object := range r.objects {
		if object.Version > revision {
			objects = append(objects, object)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Version < objects[j].Version })
	return objects
}

// merge takes over newer objects. Callers hold mu.
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
		if e := r.read(object); e != nil {
			err = errorx.Decorate(e, "reading object %s at version %d", object.Key, object.Version)
		}
	}
	return changed, err
}

// withdraw adds pending ids. Callers hold mu.
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
		r.stale.keys = true
		changed = true
	}
	return changed
}

// read parses an object's value. Callers hold mu.
func (r *Replica) read(object store.Object) error {
	if service, found := strings.CutPrefix(object.Key, MovePrefix); found {
		r.stale.moves = true
		setOrDelete(r.moves, service, json.RawMessage(object.Value), object.Deleted)
		return nil
	}
	if strings.HasPrefix(object.Key, key.ObjectPrefix) {
		r.stale.keys = true
		k, err := readKey(object)
		if err == nil {
			setOrDelete(r.keys, object.Key, k, object.Deleted)
		}
		return err
	}
	if strings.HasPrefix(object.Key, document.ObjectPrefix) {
		r.stale.documents = true
		parsed, err := readDocument(object)
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

// readKey reads a key; a removal reads as the zero Key.
func readKey(object store.Object) (k key.Key, err error) {
	if object.Deleted {
		return key.Key{}, nil
	}
	err = json.Unmarshal(object.Value, &k)
	return k, err
}

// readDocument reads and checks a document; a removal reads as the zero value.
func readDocument(object store.Object) (parsed parsedDocument, err error) {
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

// publish replaces the snapshot if there is something new to show. Callers hold
// mu.
func (r *Replica) publish(changed bool) {
	old := r.Snapshot()
	if !changed {
		if old.Revision != r.revision {
			same := *old
			same.Revision = r.revision
			r.snapshot.Store(&same)
		}
		return
	}
	// Parts without a change are shared with the old snapshot, which is immutable.
	next := *old
	next.Revision = r.revision
	if r.stale.documents {
		next.Services, next.Fleet, next.FleetRevision = nil, nil, 0
		for _, parsed := range r.documents {
			next.addDocument(parsed)
		}
		sort.Slice(next.Services, func(i, j int) bool { return next.Services[i].Name < next.Services[j].Name })
	}
	if r.stale.keys {
		next.Keys = make(map[key.Digest]key.Key, len(r.keys))
		for _, k := range r.keys {
			k.Withdrawn = k.Withdrawn || r.pending[k.ID]
			next.Keys[k.Digest] = k
		}
	}
	if r.stale.moves {
		next.Moves = maps.Clone(r.moves)
	}
	r.stale = staleParts{}
	r.snapshot.Store(&next)
}

func (s *Snapshot) addDocument(parsed parsedDocument) {
	if parsed.document.Fleet != nil {
		s.Fleet, s.FleetRevision = parsed.document.Fleet, parsed.revision
		return
	}
	s.Services = append(s.Services, Service{Service: parsed.document.Service, Revision: parsed.revision})
}

// hash maps an object's key and version to 64 bits.
func hash(objectKey string, version int64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(objectKey))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(strconv.AppendInt(nil, version, 10))
	return hashing.Mix(h.Sum64())
}
