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
	// manyChanges is from how many changes on they are packed.
	manyChanges = 4
	// relayWait is how long a relay waits for changes, and relayMargin how much
	// longer its reply may take.
	relayWait   = 1000 * clock.Millis(1)
	relayMargin = 500 * clock.Millis(1)
	// patience is how long a VM waits for its relays to reach the store, and
	// directPause the time between its own calls afterwards.
	patience    = 1000 * clock.Millis(1)
	directPause = 2 * clock.Second
)

// Wanted asks a relay for changes.
type Wanted struct {
	Kind  string
	After int64
	Wait  clock.Millis
}

// Changes is a relay's reply.
type Changes struct {
	// Objects holds few changes, Packed more of them, see pack.
	Objects  []Object
	Packed   []byte
	Revision int64
	// InContact says that the store answers the relay.
	InContact bool
	// HistoryGone says that the relay does not keep the changes asked for.
	HistoryGone bool
}

// change is an object that changed the copy, which was complete up to upTo then.
type change struct {
	object Object
	upTo   int64
}

// Relayed is a Source that asks the relays of a VM's region in place of the store,
// so that the store's calls do not grow with the fleet. Where the VM is a relay
// itself, or has none, it asks the store. It serves one feed.
type Relayed struct {
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
func (r *Relayed) List(ctx context.Context, kind string) (objects []Object, revision int64, err error) {
	var copied Copy
	isRelayed, err := r.ask(ctx, fetchMethod, kind, fetchTimeout, func() any { copied = Copy{}; return &copied }, func() bool { return copied.InContact })
	if err != nil {
		return nil, 0, err
	}
	if isRelayed {
		objects, err = copied.unpack()
		return objects, copied.Revision, err
	}
	objects, revision, err = r.Store.List(ctx, kind)
	r.note(err, true)
	return objects, revision, err
}

// Watch implements Source. A relay is asked for a short time only, so that one
// that is cut off delays no change for long.
func (r *Relayed) Watch(ctx context.Context, kind string, after int64, wait clock.Millis) (objects []Object, revision int64, err error) {
	short := min(wait, relayWait)
	var changes Changes
	isRelayed, err := r.ask(ctx, watchMethod, Wanted{kind, after, short}, short+relayMargin, func() any { changes = Changes{}; return &changes }, func() bool { return changes.InContact })
	switch {
	case err != nil:
		return nil, 0, err
	case isRelayed && changes.HistoryGone:
		return nil, 0, ErrHistoryGone.New("no relay keeps the changes asked for")
	case isRelayed:
		if len(changes.Packed) > 0 {
			err = pack.Decode(changes.Packed, &changes.Objects)
		}
		return changes.Objects, changes.Revision, err
	}
	objects, revision, err = r.Store.Watch(ctx, kind, after, wait)
	r.note(err, true)
	return objects, revision, err
}

// ask asks one relay after the other until one replies that reaches the store.
// isRelayed is false if the store is to be asked: by a relay, where no relay
// answers at all, and now and then where none reaches the store.
func (r *Relayed) ask(ctx context.Context, method string, args any, timeout clock.Millis, reply func() any, isInContact func() bool) (isRelayed bool, err error) {
	others, isRelay := r.Relays()
	if isRelay || len(others) == 0 {
		return false, nil
	}
	hasReplied := false
	for _, relay := range others {
		if err := r.call(ctx, relay, method, args, reply(), timeout); err != nil {
			continue
		}
		hasReplied = true
		if isInContact() {
			r.note(nil, false)
			return true, nil
		}
	}
	if !hasReplied || r.mayAskStore() {
		return false, nil
	}
	return false, ErrNoContact.New("no relay reaches the store")
}

func (r *Relayed) note(err error, isDirect bool) {
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
func (r *Relayed) mayAskStore() bool {
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
func (r *Relayed) IsDirect() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isDirect
}

func (r *Relayed) call(ctx context.Context, relay vm.VM, method string, args, reply any, timeout clock.Millis) error {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	return r.Peers.Call(ctx, relay.PeerAddress, method, args, reply)
}

// ErrNoContact says that a relay does not reach the store itself. Its followers
// do not ask the store then: in an outage all of them would.
var ErrNoContact = errorNamespace.NewType("no_contact")

// Watch replies with the changes after a revision, as soon as there is one.
func (r *Receiver) Watch(wanted Wanted, reply *Changes) error {
	feed := r.feeds[wanted.Kind]
	if feed == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), wanted.Wait.Duration())
	defer cancel()
	*reply = feed.changesAfter(ctx, wanted.After)
	return feed.packChanges(wanted.After, reply)
}

// packedChanges is what several peers ask for that know the same.
type packedChanges struct {
	after, upTo int64
	packed      []byte
}

// packChanges packs changes, if they are many.
func (f *Feed) packChanges(after int64, changes *Changes) (err error) {
	if len(changes.Objects) < manyChanges {
		return nil
	}
	f.mu.Lock()
	last := f.packedChanges
	f.mu.Unlock()
	if last == nil || last.after != after || last.upTo != changes.Revision {
		last = &packedChanges{after: after, upTo: changes.Revision}
		if last.packed, err = pack.Encode(changes.Objects); err != nil {
			return err
		}
		f.mu.Lock()
		f.packedChanges = last
		f.mu.Unlock()
	}
	changes.Objects, changes.Packed = nil, last.packed
	return nil
}

// changesAfter waits until the copy has changes after a revision, the store is
// lost, or ctx ends.
func (f *Feed) changesAfter(ctx context.Context, after int64) Changes {
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
func (f *Feed) keptAfter(after int64) (changes Changes, more chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.more == nil {
		f.more = make(chan struct{})
	}
	changes = Changes{Revision: max(f.revision, after), InContact: f.isInContact()}
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
