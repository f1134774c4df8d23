// Package follower keeps a VM's copy of the configuration up to date. In each data
// centre one VM, the watcher, watches the store and pushes changes to the other VMs
// there. In each region one of the watchers, the list reader, also reads the
// platform's list of VMs and the store's revision. At each heartbeat a VM compares its
// copy with that of the peer, by the summary in the reply, and fetches what its own
// copy lacks. A summary has the revision of the store up to which a copy is complete
// and a digest of its content.
package follower

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/metric"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/control/freshness"
	"baobabladder.example/baobabladder/internal/control/heartbeat"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/replica"
)

// Durations of calls and delays.
const (
	// watchWait is the wait of a watch. Up to a quarter more is added at random, so
	// that the watches of VMs don't end together.
	watchWait = 8 * clock.Second
	// listInterval is the time between two reads of the platform's list.
	listInterval = 1 * clock.Second
	// callGrace is how much longer than its wait a call may take.
	callGrace = 1500 * clock.Millis(1)
	// retryDelay is the least delay after a failed call. Up to as much again is added
	// at random.
	retryDelay = 700 * clock.Millis(1)
	// turnCheckInterval is how often a VM checks whether it should start or end a
	// watch.
	turnCheckInterval = 200 * clock.Millis(1)
	// takeoverJitter times the number of VMs in the data centre bounds the random
	// delay before a VM becomes the watcher, so that not all VMs of a data centre
	// start to watch at the same time.
	takeoverJitter = 50 * clock.Millis(1)
	// pageTimeout bounds the fetch of one page from a peer.
	pageTimeout = 2 * clock.Second
	// pushTimeout bounds one attempt to push to all remaining peers, and
	// pushRetryDelay is the delay before the next attempt.
	pushTimeout    = 2 * clock.Second
	pushRetryDelay = 200 * clock.Millis(1)
	// maxParallelPushes bounds the calls in flight of one push.
	maxParallelPushes = 32
	// maxLocalPushes bounds the pushes to the data centre in flight.
	maxLocalPushes = 4
	// maxProbes bounds the probes with a revision that the copy has not reached yet.
	maxProbes = 16
)

var (
	errorNamespace  = errorx.NewNamespace("follower")
	errOtherWatcher = errorNamespace.NewType("preceded").New("another VM of the data centre watches the store")
	errMalformed    = errorNamespace.NewType("malformed")
)

// probePrefix is not the prefix of any key, so a listing under it has only the store's
// revision.
const probePrefix = "probe/"

// Store is the part of the store's client that a Follower uses.
type Store interface {
	Watch(ctx context.Context, prefixes []string, after int64, wait clock.Millis) (store.Listing, error)
	VMs(ctx context.Context) (store.VMList, error)
	List(ctx context.Context, prefix string) (store.Listing, error)
}

// storeProbe is the result of a probe: a revision of the store and when the request
// that read it was sent.
type storeProbe struct {
	sent     clock.Millis
	revision int64
}

// Follower keeps one VM's copy of the configuration up to date. All exported fields
// must be set, except those marked optional.
type Follower struct {
	Replica   *replica.Replica
	Freshness *freshness.Freshness
	Heartbeat *heartbeat.Heartbeat
	Store     Store
	Peers     heartbeat.PeerCaller
	Clock     clock.Clock
	Log       logrus.FieldLogger
	// Jitter returns a number from 0 up to below n; optional.
	Jitter func(n clock.Millis) clock.Millis
	// Retries counts the failed calls to the store by reason; optional.
	Retries *metric.ReasonCounters
	// Spawn runs a function concurrently; nil starts a goroutine. Tests on a manual
	// clock call it synchronously. It is optional.
	Spawn func(run func())

	// isReady is set once this VM can serve and is never reset.
	isReady atomic.Bool
	// localPushes counts the pushes to the data centre in flight.
	localPushes atomic.Int32
	// initialFetch is held while the whole content is fetched, so that only one such
	// fetch runs at a time.
	initialFetch sync.Mutex

	mu sync.Mutex
	// caughtUpWith holds, by address, the last summary of a peer of which the copy
	// has all content. Guarded by mu.
	caughtUpWith map[string]replica.Summary
	// probes holds the probes with a revision that the copy has not reached yet.
	// Guarded by mu.
	probes []storeProbe
	// hasWatchFailed is set if the last watch failed. Guarded by mu.
	hasWatchFailed bool
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { f.runOnTurn(ctx, f.IsWatcher, f.Watch, 0) })
	group.Go(func() { f.runOnTurn(ctx, f.IsListReader, f.ReadList, listInterval) })
	group.Wait()
}

// runOnTurn calls step repeatedly while isTurn reports true.
func (f *Follower) runOnTurn(ctx context.Context, isTurn func() bool, step func(ctx context.Context) error, pause clock.Millis) {
	isWatching := false
	for ctx.Err() == nil {
		if !isTurn() {
			isWatching = false
			_ = clock.Sleep(ctx, turnCheckInterval)
			continue
		}
		members := f.countLocalMembers()
		if !isWatching {
			isWatching = true
			_ = clock.Sleep(ctx, f.jitter(takeoverJitter*clock.Millis(members)))
			continue
		}
		wait := pause
		if err := step(ctx); err != nil {
			f.Log.WithError(err).WithField("reason", reason.StoreUnavailable).Debug("reading from the store failed; retrying after a delay")
			if f.Retries != nil {
				f.Retries.Inc(reason.StoreUnavailable)
			}
			// In an outage all VMs of a data centre retry, so the delay grows with
			// their number.
			delay := retryDelay * clock.Millis((members+3)/4)
			wait = delay + f.jitter(delay)
		}
		_ = clock.Sleep(ctx, wait)
	}
}

// IsWatcher reports whether this VM is the watcher of its data centre: no reachable
// VM there with a lesser name has contact with the store.
func (f *Follower) IsWatcher() bool {
	return !f.hasPrecedingVM(func(m *membership.Member) bool { return m.DataCentre == f.Heartbeat.Self.DataCentre })
}

// IsListReader reports whether this VM is the list reader of its region: no reachable
// VM of the region with a lesser name has contact with the store. A list reader is
// also a watcher.
func (f *Follower) IsListReader() bool {
	return !f.hasPrecedingVM(func(m *membership.Member) bool { return m.Region == f.Heartbeat.Self.Region })
}

// hasPrecedingVM reports whether a reachable VM of a group has a lesser name and
// contact with the store, and is not stopping.
func (f *Follower) hasPrecedingVM(isInGroup func(*membership.Member) bool) bool {
	members := f.Heartbeat.View().Members
	for i := range members {
		member := &members[i]
		if member.Name < f.Heartbeat.Self.Name && member.Reachable && member.HasContact && !member.Stopping && isInGroup(member) {
			return true
		}
	}
	return false
}

// Watch waits once for changes in the store, merges them and pushes them to the data
// centre.
func (f *Follower) Watch(ctx context.Context) (err error) {
	wait := watchWait + f.jitter(watchWait/4)
	if f.lastWatchFailed() {
		// A watch without a wait shows immediately whether the store is back.
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, (wait + callGrace).Duration())
	defer cancel()
	watchCtx, end := context.WithCancelCause(ctx)
	defer end(nil)
	if wait > 0 {
		go f.endOnOtherWatcher(watchCtx, end)
	}
	err = f.readChanges(watchCtx, wait)
	if err != nil && context.Cause(watchCtx) == errOtherWatcher {
		return nil
	}
	return err
}

// endOnOtherWatcher ends a watch once another VM of the data centre is the watcher. It
// is needed because a VM that has just started does not know the other VMs yet and so
// watches at first.
func (f *Follower) endOnOtherWatcher(ctx context.Context, end context.CancelCauseFunc) {
	for clock.Sleep(ctx, turnCheckInterval) == nil {
		if !f.IsWatcher() {
			end(errOtherWatcher)
			return
		}
	}
}

// readChanges requests changes from the store, merges them and pushes them to the
// data centre.
func (f *Follower) readChanges(ctx context.Context, wait clock.Millis) (err error) {
	after := f.Replica.Summary().Revision
	sent := f.Clock.Now()
	listing, err := f.Store.Watch(ctx, replica.Prefixes(), after, wait)
	if err != nil && context.Cause(ctx) == errOtherWatcher {
		return err
	}
	f.setWatchFailed(err != nil)
	if err != nil {
		f.Heartbeat.ClearStoreContact()
		return err
	}
	f.Heartbeat.SetStoreContact(sent)
	if _, err := f.Replica.Merge(listing); err != nil {
		f.Log.WithError(err).Error("decoding an object of the store failed; its older value stays in force")
	}
	f.confirmProbes()
	// A first listing is not pushed; peers fetch what they lack.
	if after > 0 && len(listing.Objects) > 0 {
		f.pushLocal(ctx, after)
	}
	return nil
}

// Probe reads the store's revision. The reply to a watch may be an earlier reply that
// arrives late, so it does not show as of when the copy is complete. That is known
// only once the copy has reached a revision that was read by a plain call.
func (f *Follower) Probe(ctx context.Context) (err error) {
	sent := f.Clock.Now()
	listing, err := f.Store.List(ctx, probePrefix)
	if err != nil {
		f.Heartbeat.ClearStoreContact()
		return err
	}
	f.mu.Lock()
	f.probes = append(f.probes, storeProbe{sent: sent, revision: listing.Revision})
	f.probes = f.probes[max(0, len(f.probes)-maxProbes):]
	hasWatchFailed := f.hasWatchFailed
	f.mu.Unlock()
	if !hasWatchFailed {
		f.Heartbeat.SetStoreContact(sent)
	}
	if f.confirmProbes() {
		return nil
	}
	// The store has a newer revision, perhaps only because of objects that the watch
	// does not cover.
	return f.readChanges(ctx, 0)
}

// confirmProbes marks the copy complete as of the probes whose revision it has
// reached, and reports whether no probe is left.
func (f *Follower) confirmProbes() (areAllConfirmed bool) {
	revision := f.Replica.Summary().Revision
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probes = slices.DeleteFunc(f.probes, func(p storeProbe) bool {
		if p.revision > revision {
			return false
		}
		f.Freshness.MarkComplete(p.sent)
		f.markReady("the copy has reached the store's revision")
		return true
	})
	return len(f.probes) == 0
}

func (f *Follower) lastWatchFailed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasWatchFailed
}

func (f *Follower) setWatchFailed(failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hasWatchFailed = failed
}

// ReadList reads the store's revision and the platform's list of VMs once.
func (f *Follower) ReadList(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callGrace.Duration())
	defer cancel()
	if err := f.Probe(ctx); err != nil {
		return err
	}
	sent := f.Clock.Now()
	list, err := f.Store.VMs(ctx)
	if err != nil {
		return err
	}
	f.Heartbeat.SetList(list.VMs, sent)
	f.Heartbeat.Refresh()
	return nil
}

// Ready reports whether this VM can serve, and if not, why. During an outage of the
// store it can serve once it has the content of every reachable peer and one of them
// is ready.
func (f *Follower) Ready() (ready bool, why string) {
	if f.isReady.Load() {
		return true, ""
	}
	isCaughtUp, readyPeers := f.Heartbeat.CaughtUp()
	switch {
	case isCaughtUp && readyPeers > 0:
		f.markReady("the copy has the content of all reachable peers")
		return true, ""
	case readyPeers > 0:
		return false, "the store gives no answer, and not every reachable peer has been heard yet"
	}
	return false, "neither the store nor a peer that knows its content gives an answer"
}

// markReady marks this VM as able to serve and logs why, if it was not marked yet.
func (f *Follower) markReady(why string) {
	if f.isReady.CompareAndSwap(false, true) {
		f.Heartbeat.SetReady()
		f.Log.WithField("revision", f.Replica.Summary().Revision).Info("ready to serve: " + why)
	}
}

func (f *Follower) jitter(n clock.Millis) clock.Millis {
	if f.Jitter == nil {
		return 0
	}
	return f.Jitter(n)
}
