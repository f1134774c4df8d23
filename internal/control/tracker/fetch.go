package tracker

import (
	"context"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// ReceiverName is the name under which Receiver is registered for net/rpc.
const ReceiverName = "Tracker"

const (
	fetchMethod = ReceiverName + ".Fetch"
	// catchUpDelay is how long CatchUp waits for the VM's own watch to return a
	// change that a peer already has, before it fetches the peer's copy.
	catchUpDelay = 400 * clock.Millis(1)
	fetchTimeout = 2 * clock.Second
	// fetchPatience is how long a fetch, with catchUpDelay before it, keeps the feed from
	// fetching from another peer. It is shorter than a fetch may take, since the peer may
	// have stopped replying.
	fetchPatience = 900 * clock.Millis(1)
)

// Receiver serves this VM's copies to peers over net/rpc.
type Receiver struct{ feeds map[string]*Feed }

// NewReceiver returns a Receiver that serves the given feeds.
func NewReceiver(feeds ...*Feed) *Receiver {
	r := &Receiver{feeds: map[string]*Feed{}}
	for _, feed := range feeds {
		r.feeds[feed.Kind] = feed
	}
	return r
}

// Fetch replies with this VM's whole copy of a kind.
func (r *Receiver) Fetch(kind string, reply *Changes) (err error) {
	if feed := r.feeds[kind]; feed != nil {
		*reply, err = feed.reply(feed.fullCopy())
	}
	return err
}

// PeerCaller calls peers; see peer.Client.
type PeerCaller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// CatchUp fetches the copy of the peer at address if this VM's own watch does not
// return a change up to the revision known, which the peer has, within catchUpDelay.
// A fetch that does not end within fetchPatience does not keep it from fetching from
// another peer.
func (f *Feed) CatchUp(ctx context.Context, peers PeerCaller, address string, known int64) {
	if known <= f.NewestChange() || !f.beginFetch() {
		return
	}
	defer f.endFetch()
	if clock.Sleep(ctx, catchUpDelay) != nil || known <= f.NewestChange() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	var fetched Changes
	if err := peers.Call(ctx, address, fetchMethod, f.Kind, &fetched); err != nil {
		f.warn("fetching a peer's copy failed; keeping this VM's copy", err)
		return
	}
	objects, err := fetched.unpack()
	if err != nil {
		f.warn("unpacking a peer's copy failed; keeping this VM's copy", err)
		return
	}
	f.Adopt(objects, fetched.Revision, fetched.Leaving)
	f.abandonWatch(f.runningWatch())
	if f.Log != nil {
		f.Log.WithField("kind", f.Kind).WithField("revision", fetched.Revision).Info("fetched a peer's copy")
	}
}

func (f *Feed) beginFetch() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	if f.fetches > 0 && now-f.fetchBeganAt < fetchPatience {
		return false
	}
	f.fetches++
	f.fetchBeganAt = now
	return true
}

func (f *Feed) endFetch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetches--
}

// NewestChange returns the revision of the newest change in the copy.
func (f *Feed) NewestChange() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}
