// Package follower keeps a VM's copy of the configuration up to date. In each
// data centre one VM watches the store and pushes changes to the other VMs there;
// in each region one of them also reads the platform's list of VMs and the
// store's revision. Every VM compares its copy with its peers' at each heartbeat
// and fetches what it misses.
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

// Times of following the store.
const (
	// watchWait bounds one watch; up to a quarter more is random, so that watches
	// don't end together.
	watchWait    = 8 * clock.Second
	listInterval = 1 * clock.Second
	// callGrace is how much longer than its wait a call may take.
	callGrace = 1500 * clock.Millis(1)
	// retryDelay is the least delay after a failed call; as much again is random.
	retryDelay = 700 * clock.Millis(1)
	// idleDelay is how often a VM that does not watch looks whether it should.
	idleDelay = 200 * clock.Millis(1)
	// takeoverSpread is how much random delay each VM of a data centre adds before
	// it takes over the watch, so that not all do at once.
	takeoverSpread = 50 * clock.Millis(1)
	pageTimeout    = 2 * clock.Second
	pushTimeout    = 2 * clock.Second
	pushRetryDelay = 200 * clock.Millis(1)
	// maxPushes bounds the calls of one push that are under way at once.
	maxPushes = 32
	// maxLocalPushes bounds the pushes to the data centre under way at once.
	maxLocalPushes = 4
	// maxProbes bounds the probes that wait for a watch to catch up.
	maxProbes = 16
)

var (
	errorNamespace = errorx.NewNamespace("follower")
	errPreceded    = errorNamespace.NewType("preceded").New("another VM of the data centre follows the store")
)

// probePrefix starts no key: a listing under it is the store's revision alone.
const probePrefix = "probe/"

// ReceiverName is the name under which peers call a Receiver.
const ReceiverName = "Follower"

// Store is the part of the store's client that a Follower uses.
type Store interface {
	Watch(ctx context.Context, prefixes []string, after int64, wait clock.Millis) (store.Listing, error)
	VMs(ctx context.Context) (store.VMList, error)
	List(ctx context.Context, prefix string) (store.Listing, error)
}

// probe is the store's revision at some moment after sent.
type probe struct {
	sent     clock.Millis
	revision int64
}

// FetchRequest asks for what changed after a revision.
type FetchRequest struct{ After int64 }

// PushRequest offers changes to a peer.
type PushRequest struct {
	// After is the revision that Page's objects follow.
	After int64
	Page  replica.Page
}

// PushReply is the reply to a Push.
type PushReply struct{ Summary replica.Summary }

// Follower is one VM's part in following the store. All exported fields must be
// set, but for those said to be optional.
type Follower struct {
	Replica   *replica.Replica
	Freshness *freshness.Freshness
	Heartbeat *heartbeat.Heartbeat
	Store     Store
	Peers     heartbeat.Caller
	Clock     clock.Clock
	Log       logrus.FieldLogger
	// Jitter returns a number from 0 up to below n; optional.
	Jitter func(n clock.Millis) clock.Millis
	// Retries counts failed calls of the store by reason; optional.
	Retries *metric.ReasonCounters
	// Spawn runs something beside the caller; nil starts a goroutine. Tests that
	// are driven by hand run it at once. It is optional.
	Spawn func(run func())

	// ready never goes back to false.
	ready atomic.Bool
	// localPushes counts the pushes to the data centre under way.
	localPushes atomic.Int32
	// first lets one fetch of the whole content run at a time.
	first sync.Mutex

	mu sync.Mutex
	// merged holds, by address, the last summary of a peer whose content is all in
	// the copy. Guarded by mu.
	merged map[string]replica.Summary
	// probes holds those that the copy has not caught up with. Guarded by mu.
	probes []probe
	// watchFailed says that the last watch got no answer. Guarded by mu.
	watchFailed bool
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { f.repeat(ctx, f.IsWatcher, f.Watch, 0) })
	group.Go(func() { f.repeat(ctx, f.IsListReader, f.ReadList, listInterval) })
	group.Wait()
}

// repeat calls step while it is this VM's turn.
func (f *Follower) repeat(ctx context.Context, isTurn func() bool, step func(ctx context.Context) error, pause clock.Millis) {
	watching := false
	for ctx.Err() == nil {
		if !isTurn() {
			watching = false
			_ = clock.Sleep(ctx, idleDelay)
			continue
		}
		members := f.localMembers()
		if !watching {
			watching = true
			_ = clock.Sleep(ctx, f.jitter(takeoverSpread*clock.Millis(members)))
			continue
		}
		wait := pause
		if err := step(ctx); err != nil {
			f.Log.WithError(err).WithField("reason", reason.StoreUnavailable).Debug("following the store failed")
			if f.Retries != nil {
				f.Retries.Inc(reason.StoreUnavailable)
			}
			// In an outage all VMs of a data centre try, so the delay grows with them.
			delay := retryDelay * clock.Millis((members+3)/4)
			wait = delay + f.jitter(delay)
		}
		_ = clock.Sleep(ctx, wait)
	}
}

// IsWatcher says whether this VM is to follow the store for its data centre: no
// VM there with a lesser name has contact with the store.
func (f *Follower) IsWatcher() bool {
	return !f.isPreceded(func(m *membership.Member) bool { return m.DataCentre == f.Heartbeat.Self.DataCentre })
}

// IsListReader says whether this VM is to read the list of VMs and the store's
// revision for its region: it watches, and no VM of the region with a lesser name
// has contact with the store.
func (f *Follower) IsListReader() bool {
	return !f.isPreceded(func(m *membership.Member) bool { return m.Region == f.Heartbeat.Self.Region })
}

// isPreceded says whether a VM of a group with a lesser name follows the store.
func (f *Follower) isPreceded(isInGroup func(*membership.Member) bool) bool {
	members := f.Heartbeat.View().Members
	for i := range members {
		m := &members[i]
		if m.Name < f.Heartbeat.Self.Name && m.Reachable && m.HasContact && !m.Stopping && isInGroup(m) {
			return true
		}
	}
	return false
}

// Watch waits once for changes in the store and passes them on.
func (f *Follower) Watch(ctx context.Context) (err error) {
	wait := watchWait + f.jitter(watchWait/4)
	if f.isWatchFailed() {
		// A first short watch shows at once that the store is back.
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, (wait + callGrace).Duration())
	defer cancel()
	watching, handOver := context.WithCancelCause(ctx)
	defer handOver(nil)
	if wait > 0 {
		go f.endWhenPreceded(watching, handOver)
	}
	err = f.readChanges(watching, wait)
	if err != nil && context.Cause(watching) == errPreceded {
		return nil
	}
	return err
}

// endWhenPreceded ends a watch once another VM of the data centre follows the
// store: a VM that starts knows of no other yet and watches at first.
func (f *Follower) endWhenPreceded(ctx context.Context, end context.CancelCauseFunc) {
	for clock.Sleep(ctx, idleDelay) == nil {
		if !f.IsWatcher() {
			end(errPreceded)
			return
		}
	}
}

// readChanges asks the store for changes, merges them and passes them on.
func (f *Follower) readChanges(ctx context.Context, wait clock.Millis) (err error) {
	after := f.Replica.Summary().Revision
	sent := f.Clock.Now()
	listing, err := f.Store.Watch(ctx, replica.Prefixes(), after, wait)
	if err != nil && context.Cause(ctx) == errPreceded {
		return err
	}
	f.setWatchFailed(err != nil)
	if err != nil {
		f.Heartbeat.ClearStoreContact()
		return err
	}
	f.Heartbeat.SetStoreContact(sent)
	if _, err := f.Replica.Merge(listing); err != nil {
		f.Log.WithError(err).Error("an object in the store can't be read; its older value stays in force")
	}
	f.settleProbes()
	// A first listing is not pushed: peers fetch what they miss from it.
	if after > 0 && len(listing.Objects) > 0 {
		f.pushLocal(ctx, after)
	}
	return nil
}

// Probe reads the store's revision. A watch's answer may be an earlier one that
// comes late, so it does not tell as of when the copy is complete: that is known
// once the copy has reached a revision that was read by a plain call.
func (f *Follower) Probe(ctx context.Context) (err error) {
	sent := f.Clock.Now()
	listing, err := f.Store.List(ctx, probePrefix)
	if err != nil {
		f.Heartbeat.ClearStoreContact()
		return err
	}
	f.mu.Lock()
	f.probes = append(f.probes, probe{sent: sent, revision: listing.Revision})
	f.probes = f.probes[max(0, len(f.probes)-maxProbes):]
	watchFailed := f.watchFailed
	f.mu.Unlock()
	if !watchFailed {
		f.Heartbeat.SetStoreContact(sent)
	}
	if f.settleProbes() {
		return nil
	}
	// The store has moved on, perhaps by objects that the watch does not cover.
	return f.readChanges(ctx, 0)
}

// settleProbes counts the probes that the copy has caught up with, and reports
// whether none is left.
func (f *Follower) settleProbes() (settled bool) {
	revision := f.Replica.Summary().Revision
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probes = slices.DeleteFunc(f.probes, func(p probe) bool {
		if p.revision > revision {
			return false
		}
		f.Freshness.MarkComplete(p.sent)
		f.setReady("the store answered")
		return true
	})
	return len(f.probes) == 0
}

func (f *Follower) isWatchFailed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watchFailed
}

func (f *Follower) setWatchFailed(failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchFailed = failed
}

// ReadList reads the platform's list of VMs and the store's revision once.
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

// Ready says whether this VM knows enough to serve, and why not. During an
// outage of the store that takes the content of every peer that can be reached.
func (f *Follower) Ready() (ready bool, why string) {
	if f.ready.Load() {
		return true, ""
	}
	caughtUp, heard := f.Heartbeat.CaughtUp()
	switch {
	case caughtUp && heard > 0:
		f.setReady("all reachable peers answered")
		return true, ""
	case heard > 0:
		return false, "the store gives no answer, and not every reachable peer has been heard yet"
	}
	return false, "neither the store nor a peer that knows its content gives an answer"
}

func (f *Follower) setReady(why string) {
	if f.ready.CompareAndSwap(false, true) {
		f.Heartbeat.SetReady()
		f.Log.WithField("revision", f.Replica.Summary().Revision).Info("ready to serve: " + why)
	}
}

// CatchUp fetches what the peer at address holds and this VM misses; it serves
// as heartbeat.CatchUp.
func (f *Follower) CatchUp(ctx context.Context, address string, answer *heartbeat.AskReply) (whole bool, err error) {
	defer fault.Annotate(&err, "catching up with %s", answer.Profile.ID.Name)
	if f.holds(address, answer.Summary) {
		return true, nil
	}
	if f.Replica.Summary().Revision == 0 {
		f.first.Lock()
		defer f.first.Unlock()
		if f.holds(address, answer.Summary) {
			return true, nil
		}
	}
	if err := f.fetch(ctx, address); err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.merged == nil {
		f.merged = map[string]replica.Summary{}
	}
	f.merged[address] = answer.Summary
	return true, nil
}

// holds says whether the copy has all of a peer's content.
func (f *Follower) holds(address string, theirs replica.Summary) bool {
	ours := f.Replica.Summary()
	if theirs.Digest == ours.Digest && theirs.Revision <= ours.Revision {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.merged[address] == theirs && theirs != replica.Summary{}
}

// fetch takes over all that the peer at address holds above this copy's
// revision, page by page.
func (f *Follower) fetch(ctx context.Context, address string) (err error) {
	// A heartbeat's time is for one small answer; pages may take longer.
	ctx = context.WithoutCancel(ctx)
	for after := f.Replica.Summary().Revision; ; {
		page, err := f.fetchPage(ctx, address, after)
		if err != nil {
			return err
		}
		if _, err := f.Replica.MergePage(page, after); err != nil {
			f.Log.WithError(err).Error("a peer's object can't be read; its older value stays in force")
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

// pushLocal sends what changed after a revision to the peers in this VM's data
// centre, without waiting for them: a frozen peer must not delay the next watch.
// Peers that miss it fetch it after their next heartbeat.
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

// PushAll sends the given objects and the pending withdrawals to all other
// members. It tries until each has confirmed or ctx ends, and returns the names
// of those that did and of the rest, sorted; this VM confirms by itself.
func (f *Follower) PushAll(ctx context.Context, objects []store.Object) (confirmed, rest []string) {
	push := PushRequest{Page: replica.Page{Listing: store.Listing{Objects: objects}, Pending: f.Replica.PendingWithdrawals()}}
	confirmed = []string{f.Heartbeat.ID.Name}
	rest = []string{}
	left := f.Heartbeat.View().Peers()
	for len(left) > 0 {
		done := f.pushTo(ctx, left, push)
		confirmed = append(confirmed, done...)
		left = slices.DeleteFunc(left, func(m membership.Member) bool { return slices.Contains(done, m.Name) })
		if len(left) == 0 || clock.Sleep(ctx, pushRetryDelay) != nil {
			break
		}
	}
	for _, member := range left {
		rest = append(rest, member.Name)
	}
	slices.Sort(confirmed)
	return confirmed, rest
}

// pushTo pushes once to each member and returns the names of those that took it.
func (f *Follower) pushTo(ctx context.Context, members []membership.Member, push PushRequest) (done []string) {
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, maxPushes)
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
				f.Log.WithError(err).WithField("peer", member.Name).Debug("pushing changes failed")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			done = append(done, member.Name)
		})
	}
	group.Wait()
	return done
}

func (f *Follower) localMembers() (n int) {
	for _, member := range f.Heartbeat.View().Members {
		if member.DataCentre == f.Heartbeat.Self.DataCentre && member.State != vm.StateLeaving {
			n++
		}
	}
	return max(n, 1)
}

func (f *Follower) jitter(n clock.Millis) clock.Millis {
	if f.Jitter == nil {
		return 0
	}
	return f.Jitter(n)
}

// Receiver serves peers over net/rpc.
type Receiver struct{ follower *Follower }

// NewReceiver returns what to register under ReceiverName.
func NewReceiver(follower *Follower) *Receiver { return &Receiver{follower: follower} }

// Fetch returns what changed after a revision.
func (r *Receiver) Fetch(fetch FetchRequest, page *replica.Page) error {
	*page = r.follower.Replica.Page(fetch.After)
	return nil
}

// Push merges offered changes. A reply without error says that they are in force.
func (r *Receiver) Push(push PushRequest, pushed *PushReply) error {
	if _, err := r.follower.Replica.MergePage(push.Page, push.After); err != nil {
		return err
	}
	pushed.Summary = r.follower.Replica.Summary()
	return nil
}
