package tracker

import (
	"context"
	"sync/atomic"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	watchMethod = ReceiverName + ".Watch"
	// keptChanges is how many changes a feed keeps for peers that follow it.
	keptChanges = 1024
	// relayWait is how long a relay waits for changes, and relayMargin how much
	// longer its reply may take.
	relayWait   = 1500 * clock.Millis(1)
	relayMargin = 600 * clock.Millis(1)
)

// Wanted asks a relay for changes.
type Wanted struct {
	Kind  string
	After int64
	Wait  clock.Millis
}

// Changes is a relay's reply.
type Changes struct {
	Objects  []Object
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
// itself, or has none, it asks the store.
type Relayed struct {
	Store  Source
	Peers  Caller
	Relays func() (others []vm.VM, isRelay bool)

	calls atomic.Int64
}

// List implements Source.
func (r *Relayed) List(ctx context.Context, kind string) (objects []Object, revision int64, err error) {
	relay, found := r.relay()
	if !found {
		return r.Store.List(ctx, kind)
	}
	var copied Copy
	if err := r.call(ctx, relay, fetchMethod, kind, &copied, fetchTimeout); err != nil {
		return r.Store.List(ctx, kind)
	}
	if !copied.InContact {
		return nil, 0, ErrNoContact.New("the relay %s does not reach the store", relay.Name)
	}
	return copied.Objects, copied.Revision, nil
}

// Watch implements Source. A relay is asked for a short time only, so that one
// that is cut off delays no change for long.
func (r *Relayed) Watch(ctx context.Context, kind string, after int64, wait clock.Millis) (objects []Object, revision int64, err error) {
	relay, found := r.relay()
	if !found {
		return r.Store.Watch(ctx, kind, after, wait)
	}
	wait = min(wait, relayWait)
	var changes Changes
	if err := r.call(ctx, relay, watchMethod, Wanted{kind, after, wait}, &changes, wait+relayMargin); err != nil {
		return r.Store.Watch(ctx, kind, after, wait)
	}
	switch {
	case !changes.InContact:
		return nil, 0, ErrNoContact.New("the relay %s does not reach the store", relay.Name)
	case changes.HistoryGone:
		return nil, 0, ErrHistoryGone.New("the relay %s does not keep the changes asked for", relay.Name)
	}
	return changes.Objects, changes.Revision, nil
}

// relay returns the relay to ask, the next one at each call.
func (r *Relayed) relay() (relay vm.VM, found bool) {
	others, isRelay := r.Relays()
	if isRelay || len(others) == 0 {
		return vm.VM{}, false
	}
	return others[int(r.calls.Add(1))%len(others)], true
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
	changes = Changes{Revision: max(f.revision, after), InContact: !f.failing && f.revision > 0}
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
