package tracker

import (
	"context"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// ReceiverName names the receiver of fetches.
const ReceiverName = "Tracker"

const (
	fetchMethod = ReceiverName + ".Fetch"
	// fetchDelay gives a VM's own watch time to bring what a peer knows already.
	fetchDelay   = 400 * clock.Millis(1)
	fetchTimeout = 2 * clock.Second
)

// Receiver gives peers this VM's copies.
type Receiver struct{ feeds map[string]*Feed }

// NewReceiver returns the receiver of the given feeds.
func NewReceiver(feeds ...*Feed) *Receiver {
	r := &Receiver{feeds: map[string]*Feed{}}
	for _, feed := range feeds {
		r.feeds[feed.Kind] = feed
	}
	return r
}

// Fetch replies with this VM's copy of a kind.
func (r *Receiver) Fetch(kind string, reply *Changes) (err error) {
	if feed := r.feeds[kind]; feed != nil {
		*reply, err = feed.reply(feed.whole())
	}
	return err
}

// Caller calls peers; see peer.Client.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// CatchUp fetches a peer's copy if the peer knows of a change that this VM's own
// watch does not bring soon.
func (f *Feed) CatchUp(ctx context.Context, peers Caller, address string, known int64) {
	if known <= f.NewestChange() || !f.beginFetch() {
		return
	}
	defer f.endFetch()
	if clock.Sleep(ctx, fetchDelay) != nil || known <= f.NewestChange() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	var fetched Changes
	if err := peers.Call(ctx, address, fetchMethod, f.Kind, &fetched); err != nil {
		f.note("fetching a peer's copy failed", err)
		return
	}
	objects, err := fetched.all()
	if err != nil {
		f.note("reading a peer's copy failed", err)
		return
	}
	f.Adopt(objects, fetched.Revision)
	if f.Log != nil {
		f.Log.WithField("kind", f.Kind).WithField("revision", fetched.Revision).Info("took over a peer's copy")
	}
}

func (f *Feed) beginFetch() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fetching {
		return false
	}
	f.fetching = true
	return true
}

func (f *Feed) endFetch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetching = false
}

// NewestChange returns the revision of the newest change that the copy holds.
func (f *Feed) NewestChange() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}
