package tracker

import (
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// fullCopy returns the copy, sorted by name, as a reply to peers.
func (f *Feed) fullCopy() unpackedReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := unpackedReply{
		Changes: Changes{Revision: f.revision, InContact: f.hasStoreContact(), Leaving: slices.Sorted(maps.Keys(f.pendingRemovals))},
		after:   fullCopyRevision, mergeCount: f.mergeCount,
	}
	if a.Packed = f.packedReplies[fullCopyRevision]; a.Packed != nil {
		return a
	}
	for _, name := range slices.Sorted(maps.Keys(f.objects)) {
		a.Objects = append(a.Objects, f.objects[name])
	}
	return a
}

// Adopt replaces the copy by a peer's copy if that is newer. leaving names the objects in it
// that have been removed, which the peer keeps for a while; see removalDelay.
func (f *Feed) Adopt(objects []Object, revision int64, leaving []string) {
	f.mergeMu.Lock()
	defer f.mergeMu.Unlock()
	if revision <= f.Revision() {
		return
	}
	f.mergeListing(objects, revision)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range leaving {
		// What has a later revision was written again after the removal.
		if known, found := f.objects[name]; found && known.Revision <= revision {
			f.pendingRemovals[name] = f.Clock.Now() + removalDelay
		}
	}
}

// applyListing merges a listing; objects that it does not contain count as removed,
// unless the store has just come back from a copy.
func (f *Feed) applyListing(objects []Object, revision int64) {
	f.mergeMu.Lock()
	defer f.mergeMu.Unlock()
	f.mergeListing(objects, revision)
}

// mergeReply merges a reply with the changes after a revision. A late reply that tells
// less than the copy has learnt meanwhile is ignored, and of one that tells more, what is
// no news.
func (f *Feed) mergeReply(after int64, objects []Object, revision int64) {
	f.mergeMu.Lock()
	defer f.mergeMu.Unlock()
	switch known := f.Revision(); {
	case known <= after:
		f.merge(objects, revision)
	case revision > known:
		f.mu.Lock()
		objects = f.news(objects)
		f.mu.Unlock()
		f.merge(objects, revision)
	}
}

// news returns the objects that tell of a later moment than the copy knows. The copy is
// complete up to its revision. So an object that it lacks and that last changed at or before
// that revision has been removed since: it comes from a listing that took long, or from a late
// reply, and nothing would remove it again, as the next watch begins at the copy's revision.
// The same holds for an object whose removal is delayed. The caller must hold mu.
func (f *Feed) news(objects []Object) (newer []Object) {
	for _, object := range objects {
		_, found := f.objects[object.Name]
		_, isLeaving := f.pendingRemovals[object.Name]
		isInCopy := found && !isLeaving
		if isInCopy || object.Deleted || object.Revision > f.revision || f.mayBeRestored(object) {
			newer = append(newer, object)
		}
	}
	return newer
}

// mayBeRestored reports whether an object may be one of those that the copy refused while
// the store had just come back from a copy, and not one that has been removed since. The
// caller must hold mu.
func (f *Feed) mayBeRestored(object Object) bool {
	removed, found := f.removals[object.Name]
	return f.graceUntil > 0 && (!found || removed.object.Revision < object.Revision)
}

// mergeListing is applyListing for callers that hold mergeMu.
func (f *Feed) mergeListing(objects []Object, revision int64) {
	f.logIgnored(objects, revision)
	f.mu.Lock()
	f.beginGrace(revision)
	if f.isGrace() {
		objects = f.keepAcknowledged(objects)
	} else {
		objects = f.withRemovals(objects, revision)
		if revision < f.revision {
			objects = f.news(objects)
		}
		f.graceUntil = 0
	}
	f.mu.Unlock()
	f.merge(objects, revision)
}

// withRemovals adds to a listing the removals of the objects that it does not contain. The
// caller must hold mu.
func (f *Feed) withRemovals(listed []Object, revision int64) []Object {
	isListed := map[string]bool{}
	for _, object := range listed {
		isListed[object.Name] = true
	}
	for name := range f.objects {
		if !isListed[name] {
			listed = append(listed, Object{Name: name, Revision: revision, Deleted: true})
		}
	}
	return listed
}

// logIgnored logs how many objects of a listing are older than those of the copy, by
// their revisions, and are not merged.
func (f *Feed) logIgnored(objects []Object, revision int64) {
	f.mu.Lock()
	ignored, copied := 0, f.revision
	for _, object := range objects {
		if known, found := f.objects[object.Name]; found && object.Revision < known.Revision {
			ignored++
		}
	}
	f.mu.Unlock()
	if f.Log != nil && (ignored > 0 || revision < copied) {
		f.Log.WithFields(logrus.Fields{"kind": f.Kind, "revision": revision, "copy_revision": copied, "ignored": ignored}).
			Warn("a listing is older than the copy")
	}
}

// merge merges changes into the copy and calls OnChange if the copy changed. The caller
// must hold mergeMu.
func (f *Feed) merge(objects []Object, revision int64) {
	// DelaysRemovals may call methods of the feed, so it is called without mu.
	delaysRemovals := f.DelaysRemovals != nil && f.DelaysRemovals()
	f.mu.Lock()
	isFirst := f.revision == 0
	isNewEra := EraOf(revision) > EraOf(f.revision)
	if f.objects == nil {
		f.objects, f.pendingRemovals = map[string]Object{}, map[string]clock.Millis{}
	}
	var merged []Object
	for _, object := range objects {
		f.newest = max(f.newest, object.Revision)
		if f.mergeObject(object, delaysRemovals) {
			merged = append(merged, object)
		}
	}
	merged = append(merged, f.applyDueRemovals()...)
	if len(merged) > 0 || revision > f.revision {
		f.mergeCount++
		f.packedReplies = nil
	}
	f.revision = max(f.revision, revision)
	f.isBurst = len(merged) > 0 && f.Clock.Now()-f.changedAt < burstSpan
	if len(merged) > 0 {
		f.changedAt = f.Clock.Now()
	}
	switch {
	case isFirst || isNewEra:
		// VMs that follow this one must list again.
		f.changes, f.changesFrom = nil, f.revision
		f.notifyWaiters()
	case len(merged) > 0:
		f.appendChanges(merged, f.revision)
	}
	var copied map[string]Object
	if isFirst || len(merged) > 0 {
		copied = maps.Clone(f.objects)
	}
	f.mu.Unlock()
	if copied != nil && f.OnChange != nil {
		f.OnChange(copied)
	}
}

// mergeObject merges one object and reports whether the copy changed. The caller must
// hold mu.
func (f *Feed) mergeObject(object Object, delaysRemovals bool) bool {
	known, found := f.objects[object.Name]
	if found && object.Revision < known.Revision {
		return false
	}
	isChanged := !found || object.Revision > known.Revision
	if !object.Deleted {
		if isChanged {
			// Its owner has written it again. What is listed as it was before says nothing
			// of the removal.
			delete(f.pendingRemovals, object.Name)
		}
		f.objects[object.Name] = object
		return isChanged
	}
	if !found {
		return false
	}
	now := f.Clock.Now()
	if delaysRemovals && f.recoveredAt > 0 && now-f.recoveredAt < removalDelay {
		f.pendingRemovals[object.Name] = f.recoveredAt + removalDelay
		return false
	}
	f.recordRemoval(known)
	delete(f.objects, object.Name)
	return true
}

// applyDueRemovals removes the objects whose delayed removal is due and returns them.
// The caller must hold mu.
func (f *Feed) applyDueRemovals() (removed []Object) {
	now := f.Clock.Now()
	for name, at := range f.pendingRemovals {
		if now >= at {
			removed = append(removed, Object{Name: name, Revision: f.objects[name].Revision, Deleted: true})
			f.recordRemoval(f.objects[name])
			delete(f.pendingRemovals, name)
			delete(f.objects, name)
		}
	}
	return removed
}
