package replica

import (
	"maps"
	"slices"
	"sort"

	"baobabladder.example/baobabladder/internal/wire/store"
)

// PageBytes is the maximum total size of the keys and values in one Page, in
// bytes. A single object larger than this gets a separate page.
const PageBytes = 1 << 20

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
