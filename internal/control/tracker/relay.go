package tracker

import (
	"context"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/pack"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	watchMethod = ReceiverName + ".Watch"
	// maxChanges bounds the changes that a feed keeps for VMs that follow it.
	maxChanges = 1024
	// packThreshold is the number of objects from which a reply is packed.
	packThreshold = 4
	// maxRelayWait bounds how long a relay waits for changes. relayMargin is the
	// additional time for its reply.
	maxRelayWait = 1000 * clock.Millis(1)
	relayMargin  = 500 * clock.Millis(1)
	// If relays reply but none of them reaches the store, a VM calls the store itself:
	// once directDelay has passed since the last reply of the store or of a relay
	// that reached it, and then at most every directInterval.
	directDelay    = 1000 * clock.Millis(1)
	directInterval = 2 * clock.Second
)

// WatchRequest requests the changes of a kind after a revision.
type WatchRequest struct {
	Kind  string
	After int64
	Wait  clock.Millis
}

// Changes is the reply to a Watch or a Fetch: the changes after a revision or the
// whole copy.
type Changes struct {
	// Objects holds up to packThreshold-1 objects. More objects are in Packed; see
	// pack.
	Objects  []Object
	Packed   []byte
	Revision int64
	// InContact is set if the store answers the replying VM directly, not through
	// another relay.
	InContact bool
	// Leaving names the objects of a whole copy that the platform has removed and that the
	// VM keeps for a while; see removalDelay.
	Leaving []string
	// HistoryGone is set if the relay no longer has all changes after the requested
	// revision.
	HistoryGone bool
}

// change is a changed object and the revision that the copy had after the change.
type change struct {
	object   Object
	revision int64
}

// RelaySource is a Source for one feed that calls the relays of the VM's region
// instead of the store, so that the number of calls to the store does not grow with
// the fleet. It calls the store if the VM is a relay itself or has no relays.
type RelaySource struct {
	Store  Source
	Peers  PeerCaller
	Relays func() (others []vm.VM, isRelay bool)
	Clock  clock.Clock

	mu sync.Mutex
	// repliedAt is when a relay with contact to the store, or the store, last
	// replied. directCallAt is when the store was last called because no relay reached
	// it. Guarded by mu.
	repliedAt, directCallAt clock.Millis
	// isDirect is set if the last reply came from the store itself. Guarded by mu.
	isDirect bool
}

// List implements Source.
func (r *RelaySource) List(ctx context.Context, kind string) (objects []Object, revision int64, err error) {
	var copied Changes
	isRelayed, err := r.callRelays(ctx, fetchMethod, kind, fetchTimeout, &copied)
	if err != nil {
		return nil, 0, err
	}
	if isRelayed {
		objects, err = copied.unpack()
		return objects, copied.Revision, err
	}
	objects, revision, err = r.Store.List(ctx, kind)
	r.recordReply(err, true)
	return objects, revision, err
}

// Watch implements Source. A relay's wait is short, so that a relay that is cut off
// delays changes only briefly.
func (r *RelaySource) Watch(ctx context.Context, kind string, after int64, wait clock.Millis) (objects []Object, revision int64, err error) {
	relayWait := min(wait, maxRelayWait)
	var changes Changes
	isRelayed, err := r.callRelays(ctx, watchMethod, WatchRequest{kind, after, relayWait}, relayWait+relayMargin, &changes)
	switch {
	case err != nil:
		return nil, 0, err
	case isRelayed && changes.HistoryGone:
		return nil, 0, ErrHistoryGone.New("the relay no longer keeps the changes after the requested revision")
	case isRelayed:
		objects, err = changes.unpack()
		return objects, changes.Revision, err
	}
	objects, revision, err = r.Store.Watch(ctx, kind, after, wait)
	r.recordReply(err, true)
	return objects, revision, err
}

// callRelays calls the relays in turn until one with contact to the store replies.
// isRelayed is false and err is nil if the caller must call the store instead: if this
// VM is a relay, if no relay replies, and at intervals of directInterval if all
// replies are without contact. Between these intervals it returns
// ErrStoreUnreachable, so that not all VMs call the store in an outage.
func (r *RelaySource) callRelays(ctx context.Context, method string, args any, timeout clock.Millis, reply *Changes) (isRelayed bool, err error) {
	relays, isRelay := r.Relays()
	if isRelay || len(relays) == 0 {
		return false, nil
	}
	hasReplied := false
	for _, relay := range relays {
		*reply = Changes{}
		if err := r.call(ctx, relay, method, args, reply, timeout); err != nil {
			continue
		}
		hasReplied = true
		if reply.InContact {
			r.recordReply(nil, false)
			return true, nil
		}
	}
	if !hasReplied || r.canCallStore() {
		return false, nil
	}
	return false, ErrStoreUnreachable.New("no relay reaches the store")
}

func (r *RelaySource) recordReply(err error, isDirect bool) {
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.repliedAt = r.Clock.Now()
	r.isDirect = isDirect
}

// canCallStore reports whether the store may be called although no relay reaches it,
// as the store may be refusing only the relays. It records the call.
func (r *RelaySource) canCallStore() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if now-r.repliedAt < directDelay || now-r.directCallAt < directInterval {
		return false
	}
	r.directCallAt = now
	return true
}

// IsDirect reports whether the last reply came from the store itself.
func (r *RelaySource) IsDirect() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isDirect
}

func (r *RelaySource) call(ctx context.Context, relay vm.VM, method string, args, reply any, timeout clock.Millis) error {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	return r.Peers.Call(ctx, relay.PeerAddress, method, args, reply)
}

// ErrStoreUnreachable is returned if relays reply but none of them reaches the store.
// The VM does not call the store then, because in an outage all VMs would.
var ErrStoreUnreachable = errorNamespace.NewType("no_contact")

// Watch replies with the changes after a revision. If there are none, it waits for up
// to the requested time.
func (r *Receiver) Watch(request WatchRequest, reply *Changes) (err error) {
	feed := r.feeds[request.Kind]
	if feed == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), request.Wait.Duration())
	defer cancel()
	*reply, err = feed.reply(feed.waitForChanges(ctx, request.After))
	return err
}

// unpackedReply is a reply to a peer before its objects are packed.
type unpackedReply struct {
	Changes
	// after is the requested revision, fullCopyRevision for the whole copy.
	// mergeCount is the feed's mergeCount when the reply was built.
	after, mergeCount int64
}

// fullCopyRevision is less than every revision. As the requested revision it selects
// the whole copy.
const fullCopyRevision = -1

// reply returns the reply as it is sent. Many objects are packed, once for all peers
// that request the same.
func (f *Feed) reply(a unpackedReply) (changes Changes, err error) {
	if len(a.Objects) < packThreshold {
		return a.Changes, nil
	}
	f.mu.Lock()
	packed := f.packedReplies[a.after]
	isCurrent := f.mergeCount == a.mergeCount
	f.mu.Unlock()
	if packed == nil || !isCurrent {
		if packed, err = pack.Encode(a.Objects); err != nil {
			return Changes{}, err
		}
		f.cachePacked(&a, packed)
	}
	a.Objects, a.Packed = nil, packed
	return a.Changes, nil
}

func (f *Feed) cachePacked(a *unpackedReply, packed []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mergeCount != a.mergeCount {
		return
	}
	if f.packedReplies == nil {
		f.packedReplies = map[int64][]byte{}
	}
	f.packedReplies[a.after] = packed
}

// unpack returns the objects of a reply, unpacked if need be.
func (c *Changes) unpack() (objects []Object, err error) {
	if len(c.Packed) == 0 {
		return c.Objects, nil
	}
	err = pack.Decode(c.Packed, &objects)
	return objects, err
}

// waitForChanges returns the changes after a revision. If there are none, it waits
// until there are, contact with the store is lost or ctx ends.
func (f *Feed) waitForChanges(ctx context.Context, after int64) unpackedReply {
	for {
		changes, changed := f.changesNow(after)
		if len(changes.Objects) > 0 || changes.HistoryGone || !changes.InContact {
			return changes
		}
		select {
		case <-ctx.Done():
			return changes
		case <-changed:
		}
	}
}

// changesNow returns the recorded changes after a revision and a channel that is
// closed at the next change.
func (f *Feed) changesNow(after int64) (changes unpackedReply, changed chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	changes = unpackedReply{Changes: Changes{Revision: max(f.revision, after), InContact: f.hasStoreContact()}, after: after, mergeCount: f.mergeCount}
	changes.HistoryGone = after < f.changesFrom
	for _, recorded := range f.changes {
		if recorded.revision > after {
			changes.Objects = append(changes.Objects, recorded.object)
		}
	}
	return changes, f.changed
}

// appendChanges records changes for VMs that follow this one and drops the oldest
// beyond maxChanges. The caller must hold mu.
func (f *Feed) appendChanges(objects []Object, revision int64) {
	for _, object := range objects {
		f.changes = append(f.changes, change{object, revision})
	}
	if excess := len(f.changes) - maxChanges; excess > 0 {
		f.changesFrom = f.changes[excess-1].revision
		f.changes = append([]change(nil), f.changes[excess:]...)
	}
	f.notifyWaiters()
}

// notifyWaiters wakes the calls of waitForChanges. The caller must hold mu.
func (f *Feed) notifyWaiters() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}
