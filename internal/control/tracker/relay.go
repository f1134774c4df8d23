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
	// keptChanges is how many changes a feed keeps for peers that follow it.
	keptChanges = 1024
	// manyObjects is from how many objects on they are packed.
	manyObjects = 4
	// relayWait is how long a relay waits for changes, and relayMargin how much
	// longer its reply may take.
	relayWait   = 1000 * clock.Millis(1)
	relayMargin = 500 * clock.Millis(1)
	// patience is how long a VM waits for its relays to reach the store, and
	// directPause the time between its own calls afterwards.
	patience    = 1000 * clock.Millis(1)
	directPause = 2 * clock.Second
)

// WatchRequest asks a relay for changes.
type WatchRequest struct {
	Kind  string
	After int64
	Wait  clock.Millis
}

// Changes is a reply to a peer: the changes after a revision, or the whole copy.
type Changes struct {
	// Objects holds few objects, Packed more of them, see pack.
	Objects  []Object
	Packed   []byte
	Revision int64
	// InContact says that the store answers the VM.
	InContact bool
	// HistoryGone says that the relay does not keep the changes asked for.
	HistoryGone bool
}

// change is an object that changed the copy, which was complete up to upTo then.
type change struct {
	object Object
	upTo   int64
}

// RelaySource is a Source that asks the relays of a VM's region in place of the store,
// so that the store's calls do not grow with the fleet. Where the VM is a relay
// itself, or has none, it asks the store. It serves one feed.
type RelaySource struct {
	Store  Source
	Peers  Caller
	Relays func() (others []vm.VM, isRelay bool)
	Clock  clock.Clock

	mu sync.Mutex
	// answeredAt is when a relay or the store last answered, and directAt when the
	// store was last asked because no relay reached it. Guarded by mu.
	answeredAt, directAt clock.Millis
	// isDirect says that the last answer was the store's own. Guarded by mu.
	isDirect bool
}

// List implements Source.
func (r *RelaySource) List(ctx context.Context, kind string) (objects []Object, revision int64, err error) {
	var copied Changes
	isRelayed, err := r.ask(ctx, fetchMethod, kind, fetchTimeout, &copied)
	if err != nil {
		return nil, 0, err
	}
	if isRelayed {
		objects, err = copied.all()
		return objects, copied.Revision, err
	}
	objects, revision, err = r.Store.List(ctx, kind)
	r.note(err, true)
	return objects, revision, err
}

// Watch implements Source. A relay is asked for a short time only, so that one
// that is cut off delays no change for long.
func (r *RelaySource) Watch(ctx context.Context, kind string, after int64, wait clock.Millis) (objects []Object, revision int64, err error) {
	short := min(wait, relayWait)
	var changes Changes
	isRelayed, err := r.ask(ctx, watchMethod, WatchRequest{kind, after, short}, short+relayMargin, &changes)
	switch {
	case err != nil:
		return nil, 0, err
	case isRelayed && changes.HistoryGone:
		return nil, 0, ErrHistoryGone.New("no relay keeps the changes asked for")
	case isRelayed:
		objects, err = changes.all()
		return objects, changes.Revision, err
	}
	objects, revision, err = r.Store.Watch(ctx, kind, after, wait)
	r.note(err, true)
	return objects, revision, err
}

// ask asks one relay after the other until one replies that reaches the store.
// isRelayed is false if the store is to be asked: by a relay, where no relay
// answers at all, and now and then where none reaches the store.
func (r *RelaySource) ask(ctx context.Context, method string, args any, timeout clock.Millis, reply *Changes) (isRelayed bool, err error) {
	others, isRelay := r.Relays()
	if isRelay || len(others) == 0 {
		return false, nil
	}
	hasReplied := false
	for _, relay := range others {
		*reply = Changes{}
		if err := r.call(ctx, relay, method, args, reply, timeout); err != nil {
			continue
		}
		hasReplied = true
		if reply.InContact {
			r.note(nil, false)
			return true, nil
		}
	}
	if !hasReplied || r.mayAskStore() {
		return false, nil
	}
	return false, ErrStoreUnreachable.New("no relay reaches the store")
}

func (r *RelaySource) note(err error, isDirect bool) {
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answeredAt = r.Clock.Now()
	r.isDirect = isDirect
}

// mayAskStore says whether the store may be asked although relays say that it does
// not answer them: it may turn just them away.
func (r *RelaySource) mayAskStore() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if now-r.answeredAt < patience || now-r.directAt < directPause {
		return false
	}
	r.directAt = now
	return true
}

// IsDirect says whether the last answer was the store's own.
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

// ErrStoreUnreachable says that a relay does not reach the store itself. Its followers
// do not ask the store then: in an outage all of them would.
var ErrStoreUnreachable = errorNamespace.NewType("no_contact")

// Watch replies with the changes after a revision, as soon as there is one.
func (r *Receiver) Watch(wanted WatchRequest, reply *Changes) (err error) {
	feed := r.feeds[wanted.Kind]
	if feed == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), wanted.Wait.Duration())
	defer cancel()
	*reply, err = feed.reply(feed.changesAfter(ctx, wanted.After))
	return err
}

// answer is what a peer gets, before it is packed.
type answer struct {
	Changes
	// after is the revision after which the peer asked, wholeCopy for all objects;
	// merges is how often the feed had changed then.
	after, merges int64
}

// wholeCopy is before all revisions.
const wholeCopy = -1

// reply packs an answer if it holds many objects, once for all peers that ask for the
// same.
func (f *Feed) reply(a answer) (changes Changes, err error) {
	if len(a.Objects) < manyObjects {
		return a.Changes, nil
	}
	f.mu.Lock()
	packed := f.packed[a.after]
	isCurrent := f.merges == a.merges
	f.mu.Unlock()
	if packed == nil || !isCurrent {
		if packed, err = pack.Encode(a.Objects); err != nil {
			return Changes{}, err
		}
		f.keepPacked(&a, packed)
	}
	a.Objects, a.Packed = nil, packed
	return a.Changes, nil
}

func (f *Feed) keepPacked(a *answer, packed []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.merges != a.merges {
		return
	}
	if f.packed == nil {
		f.packed = map[int64][]byte{}
	}
	f.packed[a.after] = packed
}

// all returns the objects of a reply.
func (c *Changes) all() (objects []Object, err error) {
	if len(c.Packed) == 0 {
		return c.Objects, nil
	}
	err = pack.Decode(c.Packed, &objects)
	return objects, err
}

// changesAfter waits until the copy has changes after a revision, the store is
// lost, or ctx ends.
func (f *Feed) changesAfter(ctx context.Context, after int64) answer {
	for {
		changes, more := f.keptAfter(after)
		if len(changes.Objects) > 0 || changes.HistoryGone || !changes.InContact {
			return changes
		}
		select {
		case <-ctx.Done():
			return changes
		case <-more:
		}
	}
}

// keptAfter returns the changes after a revision and a channel that is closed at
// the next change.
func (f *Feed) keptAfter(after int64) (changes answer, more chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.more == nil {
		f.more = make(chan struct{})
	}
	changes = answer{Changes: Changes{Revision: max(f.revision, after), InContact: f.isInContact()}, after: after, merges: f.merges}
	changes.HistoryGone = after < f.keptFrom
	for _, kept := range f.changes {
		if kept.upTo > after {
			changes.Objects = append(changes.Objects, kept.object)
		}
	}
	return changes, f.more
}

// keep records changes for peers that follow this VM. Callers hold mu.
func (f *Feed) keep(objects []Object, upTo int64) {
	for _, object := range objects {
		f.changes = append(f.changes, change{object, upTo})
	}
	if over := len(f.changes) - keptChanges; over > 0 {
		f.keptFrom = f.changes[over-1].upTo
		f.changes = append([]change(nil), f.changes[over:]...)
	}
	f.wake()
}

// wake tells waiting peers that there is something new. Callers hold mu.
func (f *Feed) wake() {
	if f.more != nil {
		close(f.more)
		f.more = nil
	}
}
