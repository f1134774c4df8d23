// Package tracker keeps a VM's copy of the platform's objects: it lists a kind
// once, watches what changes, and fetches from peers what it misses while the
// store does not answer. A copy never goes back to an older revision.
package tracker

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
)

var (
	errorNamespace = errorx.NewNamespace("tracker")
	// ErrHistoryGone says that the store forgot the changes after a revision: the
	// kind must be listed again.
	ErrHistoryGone = errorNamespace.NewType("history_gone")
)

const (
	// watchWait is how long a watch waits for changes, probeWait that of the probe,
	// and followedWait that of a probe which others follow.
	watchWait    = 20 * clock.Second
	probeWait    = 8 * clock.Second
	followedWait = 1400 * clock.Millis(1)
	// batchPause lets changes that come together be read by one call, and burstPause
	// those of many endpoints that start, while changes come within burstSpan.
	batchPause = 120 * clock.Millis(1)
	burstPause = 300 * clock.Millis(1)
	burstSpan  = 1 * clock.Second
	firstRetry = 60 * clock.Millis(1)
	maxRetry   = 700 * clock.Millis(1)
	// lapseGrace is how long after an outage a removal is held back: entries that
	// lapsed meanwhile are written again by their owners within 2 s.
	lapseGrace = 2300 * clock.Millis(1)
	// shortestOutage is the shortest outage in which entries may lapse.
	shortestOutage = 2 * clock.Second
	// othersSpan is for how long another VM must be answered to show that the store
	// is there. At the end of an outage some VMs are answered before others.
	othersSpan = 1200 * clock.Millis(1)
)

// Object is one object of the platform.
type Object struct {
	Name     string
	Revision int64
	// Spec is what the owner wrote, Status what the system wrote.
	Spec, Status []byte
	Deleted      bool
}

// Source reads a kind of objects.
type Source interface {
	// List returns all objects of a kind and a revision to watch from.
	List(ctx context.Context, kind string) (objects []Object, revision int64, err error)
	// Watch waits for changes after a revision.
	Watch(ctx context.Context, kind string, after int64, wait clock.Millis) (objects []Object, revision int64, err error)
}

// Feed follows one kind.
type Feed struct {
	Kind   string
	Source Source
	Clock  clock.Clock
	Log    logrus.FieldLogger
	// Lapses, when set, says whether removals just after an outage of the store are
	// held back: owners write entries again that lapsed meanwhile.
	DelaysRemovals func() bool
	// Others, when set, says whether the store answers another VM. It is no outage of
	// the store then.
	CanPeerReachStore func() bool
	// Followed, when set, makes the feed the probe: it watches for a shorter time
	// than the others, as a watch may be held without a word while the store turns
	// this VM away. It says whether other VMs follow this one, and must not wait for
	// that.
	HasFollowers func() bool
	// Batch is the pause between two calls, 0 for a short one.
	BatchInterval clock.Millis
	// Changed is called after each change with all objects by name. It must not
	// change them.
	OnChange func(objects map[string]Object)
	Jitter   func(n clock.Millis) clock.Millis

	mu sync.Mutex
	// objects holds the copy. Guarded by mu.
	objects map[string]Object
	// revision is the store's that the copy is complete up to, 0 before the first
	// list. Guarded by mu.
	revision int64
	// newest is the revision of the newest change in the copy, and fetching says
	// that a peer is being asked for its copy. Guarded by mu.
	newest   int64
	fetching bool
	// merges counts how often the copy or its revision changed, and packed holds what
	// peers got since the last change, by the revision after which they asked. Guarded
	// by mu.
	merges int64
	packed map[int64][]byte
	// changes holds the newest changes of the copy, all of those after keptFrom; more
	// is closed at the next one. Guarded by mu.
	changes  []change
	keptFrom int64
	more     chan struct{}
	// pending holds removals that are held back, with the time of their removal.
	// Guarded by mu.
	pending map[string]clock.Millis
	// failing says that the last call failed; recoveredAt is when calls last
	// succeeded again. Guarded by mu.
	failing     bool
	recoveredAt clock.Millis
	// failedAt is when calls began to fail, and othersAt since when another VM was
	// answered meanwhile, 0 if none was. Guarded by mu.
	failedAt, othersAt clock.Millis
	// contactAt is when the last successful call was sent. Guarded by mu.
	contactAt clock.Millis
	// changedAt is when the copy last changed, and isBurst says that it had changed
	// just before. Guarded by mu.
	changedAt clock.Millis
	isBurst   bool
}

// Run follows the kind until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	retry := firstRetry
	needsList := true
	for ctx.Err() == nil {
		err := f.step(ctx, needsList)
		switch {
		case err == nil:
			needsList, retry = false, firstRetry
			_ = clock.Sleep(ctx, f.pause())
			continue
		case errorx.IsOfType(err, ErrHistoryGone):
			f.note("the store forgot its history, listing again", err)
			needsList = true
		default:
			f.fail(err)
		}
		_ = clock.Sleep(ctx, retry/2+f.jitter(retry))
		retry = min(2*retry, maxRetry)
	}
}

// pause returns how long to wait between two calls. Only those to the store are few.
func (f *Feed) pause() clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isBurst && f.isInContact() {
		return max(f.BatchInterval, burstPause)
	}
	return max(f.BatchInterval, batchPause)
}

func (f *Feed) jitter(n clock.Millis) clock.Millis {
	if f.Jitter == nil {
		return n / 2
	}
	return f.Jitter(n)
}

func (f *Feed) step(ctx context.Context, list bool) error {
	sent := f.Clock.Now()
	if list {
		objects, revision, err := f.Source.List(ctx, f.Kind)
		if err != nil {
			return err
		}
		f.succeed(sent)
		f.replace(objects, revision)
		return nil
	}
	objects, revision, err := f.Source.Watch(ctx, f.Kind, f.Revision(), f.wait())
	if err != nil {
		return err
	}
	f.succeed(sent)
	f.merge(objects, revision)
	return nil
}

// wait is shorter while removals are held back, so that they are settled in time.
func (f *Feed) wait() clock.Millis {
	isFollowed := f.HasFollowers != nil && f.HasFollowers()
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case len(f.pending) > 0 || f.failing:
		return lapseGrace / 4
	case isFollowed:
		return followedWait
	case f.HasFollowers != nil:
		return probeWait
	}
	return watchWait
}

func (f *Feed) note(what string, err error) {
	if f.Log != nil {
		f.Log.WithField("kind", f.Kind).WithError(err).Warn(what)
	}
}

func (f *Feed) fail(err error) {
	othersReach := f.CanPeerReachStore != nil && f.CanPeerReachStore()
	f.mu.Lock()
	now := f.Clock.Now()
	first := !f.failing
	if first {
		f.failing, f.failedAt, f.othersAt = true, now, 0
	}
	switch {
	case !othersReach:
		f.othersAt = 0
	case f.othersAt == 0:
		f.othersAt = now
	}
	f.wake()
	f.mu.Unlock()
	if first {
		f.note("lost the store", err)
	}
}

func (f *Feed) succeed(sent clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.contactAt = sent
	if !f.failing {
		return
	}
	f.failing = false
	now := f.Clock.Now()
	isOutage := now-f.failedAt >= shortestOutage && (f.othersAt == 0 || now-f.othersAt < othersSpan)
	if isOutage {
		f.recoveredAt = now
	}
	if f.Log != nil {
		f.Log.WithFields(logrus.Fields{"kind": f.Kind, "after_ms": now - f.failedAt, "is_outage": isOutage}).Info("regained the store")
	}
}

// Revision returns the revision that the copy is complete up to.
func (f *Feed) Revision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// HasStoreContact says whether the store itself answered the last call. A feed that
// follows a relay can't be followed.
func (f *Feed) HasStoreContact() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isInContact()
}

// indirect is a Source whose answers may be those of another VM.
type indirect interface{ IsDirect() bool }

// isInContact is InContact for callers that hold mu.
func (f *Feed) isInContact() bool {
	source, mayBeIndirect := f.Source.(indirect)
	return !f.failing && f.revision > 0 && (!mayBeIndirect || source.IsDirect())
}

// Age returns the time since the last call that the store answered was sent.
func (f *Feed) Age() clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Clock.Now() - f.contactAt
}

// whole returns the copy, sorted by name, for peers that miss it.
func (f *Feed) whole() answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := answer{Changes: Changes{Revision: f.revision, InContact: f.isInContact()}, after: wholeCopy, merges: f.merges}
	if a.Packed = f.packed[wholeCopy]; a.Packed != nil {
		return a
	}
	for _, name := range slices.Sorted(maps.Keys(f.objects)) {
		a.Objects = append(a.Objects, f.objects[name])
	}
	return a
}

// Adopt takes over a peer's copy if it is newer.
func (f *Feed) Adopt(objects []Object, revision int64) {
	if revision > f.Revision() {
		f.replace(objects, revision)
	}
}

// replace takes a listing. What it lacks was removed.
func (f *Feed) replace(objects []Object, revision int64) {
	listed := map[string]bool{}
	for _, object := range objects {
		listed[object.Name] = true
	}
	f.mu.Lock()
	for name := range f.objects {
		if !listed[name] {
			objects = append(objects, Object{Name: name, Revision: revision, Deleted: true})
		}
	}
	f.mu.Unlock()
	f.merge(objects, revision)
}

// merge takes changes over into the copy and tells of them.
func (f *Feed) merge(objects []Object, revision int64) {
	// Who answers this may ask for the feed's state.
	mayLapse := f.DelaysRemovals != nil && f.DelaysRemovals()
	f.mu.Lock()
	isFirst := f.revision == 0
	if f.objects == nil {
		f.objects, f.pending = map[string]Object{}, map[string]clock.Millis{}
	}
	var taken []Object
	for _, object := range objects {
		f.newest = max(f.newest, object.Revision)
		if f.take(object, mayLapse) {
			taken = append(taken, object)
		}
	}
	taken = append(taken, f.settle()...)
	if len(taken) > 0 || revision > f.revision {
		f.merges++
		f.packed = nil
	}
	f.revision = max(f.revision, revision)
	f.isBurst = len(taken) > 0 && f.Clock.Now()-f.changedAt < burstSpan
	if len(taken) > 0 {
		f.changedAt = f.Clock.Now()
	}
	switch {
	case isFirst:
		f.keptFrom = f.revision
		f.wake()
	case len(taken) > 0:
		f.keep(taken, f.revision)
	}
	var copied map[string]Object
	if isFirst || len(taken) > 0 {
		copied = maps.Clone(f.objects)
	}
	f.mu.Unlock()
	if copied != nil && f.OnChange != nil {
		f.OnChange(copied)
	}
}

// take merges one object and reports whether the copy changed. Callers hold mu.
func (f *Feed) take(object Object, mayLapse bool) bool {
	known, found := f.objects[object.Name]
	if found && object.Revision < known.Revision {
		return false
	}
	if !object.Deleted {
		delete(f.pending, object.Name)
		f.objects[object.Name] = object
		return !found || object.Revision != known.Revision
	}
	if !found {
		return false
	}
	now := f.Clock.Now()
	if mayLapse && f.recoveredAt > 0 && now-f.recoveredAt < lapseGrace {
		f.pending[object.Name] = f.recoveredAt + lapseGrace
		return false
	}
	delete(f.objects, object.Name)
	return true
}

// settle carries out removals that were held back long enough, and returns them.
// Callers hold mu.
func (f *Feed) settle() (removed []Object) {
	now := f.Clock.Now()
	for name, at := range f.pending {
		if now >= at {
			removed = append(removed, Object{Name: name, Revision: f.objects[name].Revision, Deleted: true})
			delete(f.pending, name)
			delete(f.objects, name)
		}
	}
	return removed
}
