package tracker

import (
	"bytes"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// The store may come back from a copy that is some seconds old. Everything that it has
// acknowledged since the copy is then lost, until its owner writes it again, and the
// store's numbers go back and are given out again. Each return begins a new era.
const (
	// revisionsPerEra separates the eras in a Revision, so that every revision of an era
	// is above all of the eras before.
	revisionsPerEra = 1_000_000_000_000
	// restoreGrace is how long after the store's return a copy keeps what its owner may
	// not have written again yet.
	restoreGrace = 8 * clock.Second
	// removalMemory is how long a removal is remembered, in case that the removed object
	// comes back with the store.
	removalMemory = 30 * clock.Second
)

// ErrEraChanged is returned by a watch if the store came back from a copy since the
// requested revision: the kind must be listed again.
var ErrEraChanged = errorNamespace.NewType("era_changed")

// RevisionInEra returns the revision for a number that the store gave out in an era.
func RevisionInEra(era, number int64) int64 { return era*revisionsPerEra + number }

// EraOf returns the era of a revision.
func EraOf(revision int64) int64 { return revision / revisionsPerEra }

// NumberOf returns the store's own number for a revision.
func NumberOf(revision int64) int64 { return revision % revisionsPerEra }

// removal is a removed object, as it was, and when it was removed.
type removal struct {
	object Object
	at     clock.Millis
}

// IsConfirmed reports whether the store has shown the object since it last came back from
// a copy.
func (f *Feed) IsConfirmed(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, found := f.objects[name]
	return found && EraOf(known.Revision) >= EraOf(f.revision)
}

// beginGrace begins a grace if a listing at the given revision is the first one after the
// store's return. The caller must hold mu.
func (f *Feed) beginGrace(revision int64) {
	if f.revision > 0 && EraOf(revision) > EraOf(f.revision) {
		f.graceUntil = f.Clock.Now() + restoreGrace
	}
}

// isGrace reports whether owners may still have to write again what the store lost. The
// caller must hold mu.
func (f *Feed) isGrace() bool { return f.Clock.Now() < f.graceUntil }

// mustSettle reports whether a grace is over, so that the kind must be listed to drop what
// no owner has written again.
func (f *Feed) mustSettle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.graceUntil > 0 && !f.isGrace()
}

// keepAcknowledged returns the objects of a listing that replace those of the copy while
// the grace lasts. Others of the listing are older than what the copy has or had.
// Objects that are not listed stay, or, if owners renew them, are removed after
// removalDelay. The caller must hold mu.
func (f *Feed) keepAcknowledged(listed []Object) (accepted []Object) {
	now := f.Clock.Now()
	isListed := map[string]bool{}
	for _, object := range listed {
		isListed[object.Name] = true
		if f.acceptsRestored(object, now) {
			accepted = append(accepted, object)
		}
	}
	kept := len(listed) - len(accepted)
	for name := range f.objects {
		if isListed[name] {
			continue
		}
		kept++
		if _, isPending := f.pendingRemovals[name]; f.DelaysRemovals != nil && !isPending {
			f.pendingRemovals[name] = now + removalDelay
		}
	}
	if f.Log != nil {
		f.Log.WithFields(logrus.Fields{"kind": f.Kind, "listed": len(listed), "kept": kept}).
			Info("the store came back from a copy; keeping what it had acknowledged")
	}
	return accepted
}

// acceptsRestored reports whether an object that is listed after the store's return
// replaces what the copy has or had of it. The caller must hold mu.
func (f *Feed) acceptsRestored(listed Object, now clock.Millis) bool {
	if NumberOf(listed.Revision) > NumberOf(f.revision) {
		// The store went back to a number that the copy had passed, so this one was given
		// out later.
		return true
	}
	if known, found := f.objects[listed.Name]; found {
		isConfirmed := EraOf(known.Revision) >= EraOf(listed.Revision)
		return isConfirmed || known.hasContentOf(&listed) || f.isNewer(listed, known)
	}
	removed, found := f.removals[listed.Name]
	return !found || now-removed.at > removalMemory || f.isNewer(listed, removed.object)
}

// hasContentOf reports whether both objects have the same content.
func (o *Object) hasContentOf(other *Object) bool {
	return bytes.Equal(o.Spec, other.Spec) && bytes.Equal(o.Status, other.Status)
}

func (f *Feed) isNewer(object, other Object) bool {
	return f.IsNewer != nil && f.IsNewer(object, other)
}

// recordRemoval remembers a removed object and forgets old removals. The caller must hold
// mu.
func (f *Feed) recordRemoval(removed Object) {
	now := f.Clock.Now()
	if f.removals == nil {
		f.removals = map[string]removal{}
	}
	for name, earlier := range f.removals {
		if now-earlier.at > removalMemory {
			delete(f.removals, name)
		}
	}
	f.removals[removed.Name] = removal{removed, now}
}
