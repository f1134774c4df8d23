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
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/metric"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/control/freshness"
	"baobabladder.example/baobabladder/internal/control/heartbeat"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/replica"
	"baobabladder.example/baobabladder/internal/world/vm"
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
)

// probePrefix is not the prefix of any key, so a listing under it has only the store's
// revision.
const probePrefix = "probe/"

// ReceiverName is the name under which Receiver is registered for net/rpc.
const ReceiverName = "Follower"

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

// FetchRequest requests the changes after a revision.
type FetchRequest struct{ After int64 }

// PushRequest sends changes to a peer.
type PushRequest struct {
	// After is the revision after which Page has the changes.
	After int64
	Page  replica.Page
}

// PushReply is the reply to a PushRequest.
type PushReply struct{ Summary replica.Summary }

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

// CatchUp fetches what the copy of the peer at address has and this VM's copy lacks.
// isComplete reports whether the copy then has everything that reply summarises. It
// serves as heartbeat.CatchUp.
func (f *Follower) CatchUp(ctx context.Context, address string, reply *heartbeat.AskReply) (isComplete bool, err error) {
	defer fault.Annotate(&err, "catching up with %s", reply.Profile.ID.Name)
	if f.hasContentOf(address, reply.Summary) {
		return true, nil
	}
	if f.Replica.Summary().Revision == 0 {
		f.initialFetch.Lock()
		defer f.initialFetch.Unlock()
		if f.hasContentOf(address, reply.Summary) {
			return true, nil
		}
	}
	if err := f.fetchFrom(ctx, address); err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.caughtUpWith == nil {
		f.caughtUpWith = map[string]replica.Summary{}
	}
	f.caughtUpWith[address] = reply.Summary
	return true, nil
}

// hasContentOf reports whether the copy is known to have all content that a peer's
// summary covers.
func (f *Follower) hasContentOf(address string, peerSummary replica.Summary) bool {
	ownSummary := f.Replica.Summary()
	if peerSummary.Digest == ownSummary.Digest && peerSummary.Revision <= ownSummary.Revision {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.caughtUpWith[address] == peerSummary && peerSummary != replica.Summary{}
}

// fetchFrom merges everything that the peer at address has after this copy's
// revision, page by page.
func (f *Follower) fetchFrom(ctx context.Context, address string) (err error) {
	// The timeout of a heartbeat allows for one small reply only; pages may take
	// longer.
	ctx = context.WithoutCancel(ctx)
	for after := f.Replica.Summary().Revision; ; {
		page, err := f.fetchPage(ctx, address, after)
		if err != nil {
			return err
		}
		if _, err := f.Replica.MergePage(page, after); err != nil {
			f.Log.WithError(err).Error("decoding an object of a peer failed; its older value stays in force")
		}
		if page.Next == 0 {
			return nil
		}
		after = page.Next
	}
}

func (f *Follower) fetchPage(ctx context.Context, address string, after int64) (page replica.Page, err error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout.Duration())
	defer cancel()
	err = f.Peers.Call(ctx, address, ReceiverName+".Fetch", FetchRequest{After: after}, &page)
	return page, err
}

// pushLocal sends the changes after a revision to the reachable peers in this VM's
// data centre. It does not wait for them, because a peer that hangs must not delay
// the next watch. Peers that miss the push fetch the changes after their next
// heartbeat.
func (f *Follower) pushLocal(ctx context.Context, after int64) {
	var local []membership.Member
	for _, member := range f.Heartbeat.View().Peers() {
		if member.DataCentre == f.Heartbeat.Self.DataCentre && member.Reachable {
			local = append(local, member)
		}
	}
	if len(local) == 0 {
		return
	}
	if f.localPushes.Add(1) > maxLocalPushes {
		f.localPushes.Add(-1)
		return
	}
	push := PushRequest{After: after, Page: f.Replica.Page(after)}
	f.spawn(func() {
		defer f.localPushes.Add(-1)
		f.pushTo(context.WithoutCancel(ctx), local, push)
	})
}

func (f *Follower) spawn(run func()) {
	if f.Spawn != nil {
		f.Spawn(run)
		return
	}
	go run()
}

// PushAll sends the given objects and the pending withdrawals to all other members.
// It retries until each has confirmed or ctx ends. It returns the names of the
// members that have confirmed, this VM included, and of those that have not, both
// sorted.
func (f *Follower) PushAll(ctx context.Context, objects []store.Object) (confirmed, unconfirmed []string) {
	push := PushRequest{Page: replica.Page{Listing: store.Listing{Objects: objects}, Pending: f.Replica.PendingWithdrawals()}}
	confirmed = []string{f.Heartbeat.ID.Name}
	unconfirmed = []string{}
	remaining := f.Heartbeat.View().Peers()
	for len(remaining) > 0 {
		acknowledged := f.pushTo(ctx, remaining, push)
		confirmed = append(confirmed, acknowledged...)
		remaining = slices.DeleteFunc(remaining, func(m membership.Member) bool { return slices.Contains(acknowledged, m.Name) })
		if len(remaining) == 0 || clock.Sleep(ctx, pushRetryDelay) != nil {
			break
		}
	}
	for _, member := range remaining {
		unconfirmed = append(unconfirmed, member.Name)
	}
	slices.Sort(confirmed)
	return confirmed, unconfirmed
}

// pushTo pushes once to each member and returns the names of those that confirmed.
func (f *Follower) pushTo(ctx context.Context, members []membership.Member, push PushRequest) (confirmed []string) {
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, maxParallelPushes)
	ctx, cancel := context.WithTimeout(ctx, pushTimeout.Duration())
	defer cancel()
	for _, member := range members {
		slots <- struct{}{}
		group.Add(1)
		f.spawn(func() {
			defer group.Done()
			defer func() { <-slots }()
			var reply PushReply
			if err := f.Peers.Call(ctx, member.PeerAddress, ReceiverName+".Push", push, &reply); err != nil {
				f.Log.WithError(err).WithField("peer", member.Name).Debug("pushing changes to a peer failed; the peer fetches them after its next heartbeat")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			confirmed = append(confirmed, member.Name)
		})
	}
	group.Wait()
	return confirmed
}

// countLocalMembers returns the number of VMs in this VM's data centre that are not
// leaving, at least 1.
func (f *Follower) countLocalMembers() (count int) {
	for _, member := range f.Heartbeat.View().Members {
		if member.DataCentre == f.Heartbeat.Self.DataCentre && member.State != vm.StateLeaving {
			count++
		}
	}
	return max(count, 1)
}

func (f *Follower) jitter(n clock.Millis) clock.Millis {
	if f.Jitter == nil {
		return 0
	}
	return f.Jitter(n)
}

// Receiver serves peers over net/rpc.
type Receiver struct{ follower *Follower }

// NewReceiver returns the Receiver of a Follower. Register it under ReceiverName.
func NewReceiver(follower *Follower) *Receiver { return &Receiver{follower: follower} }

// Fetch replies with the changes after a revision.
func (r *Receiver) Fetch(request FetchRequest, page *replica.Page) error {
	*page = r.follower.Replica.Page(request.After)
	return nil
}

// Push merges changes. A reply without an error confirms that they are in force.
func (r *Receiver) Push(request PushRequest, reply *PushReply) error {
	if _, err := r.follower.Replica.MergePage(request.Page, request.After); err != nil {
		return err
	}
	reply.Summary = r.follower.Replica.Summary()
	return nil
}
