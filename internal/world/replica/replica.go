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
	"strconv"
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

// Prefixes returns the store key prefixes of the objects that a replica holds.
func Prefixes() []string {
	return []string{document.ObjectPrefix, key.ObjectPrefix, MovePrefix}
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

// hash returns a 64-bit hash of an object's key and version.
func hash(objectKey string, version int64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(objectKey))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(strconv.AppendInt(nil, version, 10))
	return hashing.Mix(h.Sum64())
}
