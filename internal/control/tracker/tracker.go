// Package tracker keeps a VM's copy of the platform's objects. A Feed lists the
// objects of one kind once and then watches for changes, in the store itself or,
// through a RelaySource, at a relay of the VM's region (see package roster). A VM that
// watches at a relay follows the relay. While the store does not answer, a Feed
// fetches missing changes from peers. Each object and each copy has a revision: the
// revision of the store at the object's last change, and the one up to which the copy
// is complete. The revision of a copy never decreases: if the store comes back from a
// copy of its own, a new era begins, whose revisions are all above the earlier ones.
package tracker

import (
	"context"
	"sync"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
)

var (
	errorNamespace = errorx.NewNamespace("tracker")
	// ErrHistoryGone is returned by a watch if its source no longer has the changes
	// after the requested revision: the kind must be listed again.
	ErrHistoryGone = errorNamespace.NewType("history_gone")
	// ErrOverdue is the cause with which a watch is cancelled that has not returned a
	// change, although the source has it: the source may never reply.
	ErrOverdue = errorNamespace.NewType("overdue")
)

const (
	// maxWatchWait bounds the wait of a watch for changes. For the feed with
	// HasFollowers set the bound is probeWait, and relayProbeWait while other VMs
	// follow this one.
	maxWatchWait   = 20 * clock.Second
	probeWait      = 8 * clock.Second
	relayProbeWait = 1400 * clock.Millis(1)
	// batchPause is the pause between two calls, so that one call reads changes that
	// come together. burstPause is the longer pause while many endpoints start: if
	// changes come within burstSpan of each other.
	batchPause = 120 * clock.Millis(1)
	burstPause = 300 * clock.Millis(1)
	burstSpan  = 1 * clock.Second
	// minBackoff and maxBackoff bound the delay after a failed call, before jitter.
	minBackoff = 60 * clock.Millis(1)
	maxBackoff = 700 * clock.Millis(1)
	// After an outage, removals are delayed until removalDelay has passed: an entry
	// that expired in the outage is written again by its owner within 2 s.
	removalDelay = 2300 * clock.Millis(1)
	// minOutage is the shortest outage in which entries can expire.
	minOutage = 2 * clock.Second
	// peerContactSpan is how long the store must have answered another VM, while
	// calls of this VM fail, before the failure counts as this VM's own and not as an
	// outage of the store. A shorter time does not show this, because at the end of
	// an outage the store answers some VMs before others.
	peerContactSpan = 1200 * clock.Millis(1)
)

// Object is an object of the platform.
type Object struct {
	Name     string
	Revision int64
	// Spec is what the object's owner wrote, Status what the system wrote.
	Spec, Status []byte
	Deleted      bool
}

// Source reads objects of a kind.
type Source interface {
	// List returns all objects of a kind and the revision to watch from.
	List(ctx context.Context, kind string) (objects []Object, revision int64, err error)
	// Watch returns the changes after a revision. If there are none, it waits for up
	// to wait.
	Watch(ctx context.Context, kind string, after int64, wait clock.Millis) (objects []Object, revision int64, err error)
}

// Feed keeps the copy of one kind of objects.
type Feed struct {
	Kind   string
	Source Source
	Clock  clock.Clock
	Log    logrus.FieldLogger
	// DelaysRemovals reports whether removals just after an outage of the store are
	// delayed, because owners write expired entries again; optional.
	DelaysRemovals func() bool
	// CanPeerReachStore reports whether the store answers another VM. If so, a failed
	// call is not an outage of the store; optional.
	CanPeerReachStore func() bool
	// HasFollowers reports whether other VMs follow this one; optional. It must not
	// block. If the field is set, the feed is the one by which the VM detects that
	// the store does not answer it: its watches are shorter than those of other
	// feeds, because a store that refuses this VM may hold a watch without a reply.
	HasFollowers func() bool
	// IsNewer reports whether the owner certainly wrote object later than other, by what
	// they say themselves. Both have the same name, and the store came back from a copy
	// between them. If it is nil, none counts as newer.
	IsNewer func(object, other Object) bool
	// BatchInterval is the least pause between two calls; 0 selects batchPause.
	BatchInterval clock.Millis
	// OnChange is called after each change with all objects by name; it must not
	// modify the map.
	OnChange func(objects map[string]Object)
	Jitter   func(n clock.Millis) clock.Millis

	// mergeMu is held while changes are merged and passed to OnChange, so that no older
	// state of the copy is passed after a newer one. It is locked before mu.
	mergeMu sync.Mutex

	mu sync.Mutex
	// running is the watch that waits for a reply; nil if there is none. Guarded by mu.
	running *runningWatch
	// objects is the copy, by name. Guarded by mu.
	objects map[string]Object
	// revision is the revision of the store up to which the copy is complete, 0
	// before the first listing. Guarded by mu.
	revision int64
	// newest is the revision of the newest change in the copy. Guarded by mu.
	newest int64
	// fetches counts the fetches of peers' copies that run, of which the last one began at
	// fetchBeganAt. Guarded by mu.
	fetches      int
	fetchBeganAt clock.Millis
	// mergeCount counts the changes of the copy or its revision. packedReplies caches
	// the packed objects of replies to peers since the last change, by the requested
	// revision; see unpackedReply. Guarded by mu.
	mergeCount    int64
	packedReplies map[int64][]byte
	// changes holds the newest changes of the copy, complete for all revisions after
	// changesFrom. changed is closed at the next change. Guarded by mu.
	changes     []change
	changesFrom int64
	changed     chan struct{}
	// pendingRemovals holds the delayed removals with the time at which each takes
	// effect. Guarded by mu.
	pendingRemovals map[string]clock.Millis
	// removals holds the objects that were removed lately, by name. graceUntil is when
	// the copy stops keeping what the store lost when it came back from a copy; 0 if
	// that is over. Guarded by mu.
	removals   map[string]removal
	graceUntil clock.Millis
	// isFailing is set if the last call failed. recoveredAt is when calls last
	// succeeded again after an outage. Guarded by mu.
	isFailing   bool
	recoveredAt clock.Millis
	// failedAt is when calls began to fail. peersReachAt is the time since which the
	// store has answered another VM during the failure, 0 if it does not. Guarded by
	// mu.
	failedAt, peersReachAt clock.Millis
	// completeAt is the latest time at which the copy is known to have been complete: a
	// call to the store that was sent then has been answered, here or on a peer that
	// knows no newer change. It is valid if hasBeenComplete. Guarded by mu.
	completeAt      clock.Millis
	hasBeenComplete bool
	// changedAt is when the copy last changed. isBurst is set if the change before it
	// was less than burstSpan earlier. Guarded by mu.
	changedAt clock.Millis
	isBurst   bool
}

// Run lists and watches the kind until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	backoff := minBackoff
	needsList := true
	for ctx.Err() == nil {
		err := f.callSource(ctx, needsList || f.mustSettle())
		switch {
		case err == nil:
			needsList, backoff = false, minBackoff
			_ = clock.Sleep(ctx, f.pause())
			continue
		case errorx.IsOfType(err, ErrEraChanged):
			needsList = true
		case errorx.IsOfType(err, ErrHistoryGone):
			f.warn("the source no longer has the changes after the copy's revision; listing the kind again", err)
			needsList = true
		default:
			f.recordFailure(err)
		}
		_ = clock.Sleep(ctx, backoff/2+f.jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// pause returns the time to wait before the next call. The longer pause of a burst
// applies only to calls to the store, to limit their number; calls to a relay keep
// the short one.
func (f *Feed) pause() clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isBurst && f.hasStoreContact() {
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

func (f *Feed) callSource(ctx context.Context, needsList bool) error {
	sent := f.Clock.Now()
	if needsList {
		objects, revision, err := f.Source.List(ctx, f.Kind)
		if err != nil {
			return err
		}
		f.recordSuccess(sent)
		f.applyListing(objects, revision)
		return nil
	}
	watchCtx, watch := f.beginWatch(ctx)
	objects, revision, err := f.Source.Watch(watchCtx, f.Kind, watch.after, f.watchTimeout())
	f.endWatch(watch)
	switch {
	case err != nil && errorx.IsOfType(context.Cause(watchCtx), ErrOverdue):
		return nil
	case err != nil:
		return err
	}
	f.recordSuccess(sent)
	f.mergeReply(watch.after, objects, revision)
	return nil
}

// watchTimeout returns how long the next watch may wait. It is short while removals
// are delayed, so that they take effect in time, and while calls fail.
func (f *Feed) watchTimeout() clock.Millis {
	isFollowed := f.HasFollowers != nil && f.HasFollowers()
	f.mu.Lock()
	defer f.mu.Unlock()
	longest := maxWatchWait
	switch {
	case len(f.pendingRemovals) > 0 || f.isFailing:
		return removalDelay / 4
	case isFollowed:
		longest = relayProbeWait
	case f.HasFollowers != nil:
		longest = probeWait
	}
	if f.graceUntil > 0 {
		longest = min(longest, max(f.graceUntil-f.Clock.Now(), 1))
	}
	return longest
}

func (f *Feed) warn(message string, err error) {
	if f.Log != nil {
		f.Log.WithField("kind", f.Kind).WithError(err).Warn(message)
	}
}

// recordFailure records a failed call, and when calls began to fail.
func (f *Feed) recordFailure(err error) {
	peerReaches := f.CanPeerReachStore != nil && f.CanPeerReachStore()
	f.mu.Lock()
	now := f.Clock.Now()
	isFirst := !f.isFailing
	if isFirst {
		f.isFailing, f.failedAt, f.peersReachAt = true, now, 0
	}
	switch {
	case !peerReaches:
		f.peersReachAt = 0
	case f.peersReachAt == 0:
		f.peersReachAt = now
	}
	f.notifyWaiters()
	f.mu.Unlock()
	if isFirst {
		f.warn("lost the store", err)
	}
}

// recordSuccess records a successful call that was sent at the given time. If calls
// failed before, it decides whether that was an outage of the store.
func (f *Feed) recordSuccess(sent clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isDirect() {
		f.setCompleteAt(sent)
	}
	if !f.isFailing {
		return
	}
	f.isFailing = false
	now := f.Clock.Now()
	isOutage := now-f.failedAt >= minOutage && (f.peersReachAt == 0 || now-f.peersReachAt < peerContactSpan)
	if isOutage {
		f.recoveredAt = now
	}
	if f.Log != nil {
		f.Log.WithFields(logrus.Fields{"kind": f.Kind, "after_ms": now - f.failedAt, "is_outage": isOutage}).Info("regained the store")
	}
}

// Revision returns the revision up to which the copy is complete.
func (f *Feed) Revision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// HasStoreContact reports whether the last call was successful and its reply came from
// the store itself. It is false for a feed that follows a relay, so a VM never follows a
// follower.
func (f *Feed) HasStoreContact() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasStoreContact()
}

// relayedSource is a Source whose replies may come from another VM.
type relayedSource interface{ IsDirect() bool }

// hasStoreContact is HasStoreContact for callers that hold mu.
func (f *Feed) hasStoreContact() bool {
	return !f.isFailing && f.revision > 0 && f.isDirect()
}

// isDirect reports whether the source's last reply came from the store itself.
func (f *Feed) isDirect() bool {
	source, canBeRelayed := f.Source.(relayedSource)
	return !canBeRelayed || source.IsDirect()
}
