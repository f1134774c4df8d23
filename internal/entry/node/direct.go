package node

import (
	"context"
	"sync"

	"github.com/joomcode/errorx"
	"github.com/uber-go/tally/v4"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/tracker"
)

const (
	// turnedAwaySpan is how long a VM that the store did not answer is taken not to
	// reach it, unless it is answered before. Such a VM follows others meanwhile.
	turnedAwaySpan = 10 * clock.Second
	// doubtAfter is how long a watch must have waited to be in doubt when another call
	// fails: it may be held without a word as well.
	doubtAfter = 1200 * clock.Millis(1)
)

// errOtherFailed is why a watch ends that is in doubt.
var errOtherFailed = errorx.NewNamespace("node").NewType("other_call_failed")

// directSource calls the store, counts the calls and remembers whether the store
// answers this VM. The failure of one call ends the watches that are in doubt, so
// that one kind of objects that is asked for often shows for all of them that the
// store is lost.
type directSource struct {
	tracker.Source
	scope tally.Scope
	clock clock.Clock

	mu sync.Mutex
	// answeredAt and failedAt are when the last call ended that was answered, or was
	// not. Guarded by mu.
	answeredAt, failedAt clock.Millis
	hasFailed            bool
	// watches holds the watches under way by kind. Guarded by mu.
	watches map[string]watch
}

// watch is a watch under way.
type watch struct {
	since clock.Millis
	end   context.CancelCauseFunc
}

// List implements tracker.Source.
func (d *directSource) List(ctx context.Context, kind string) (objects []tracker.Object, revision int64, err error) {
	defer func() { d.note(kind, "list", err) }()
	return d.Source.List(ctx, kind)
}

// Watch implements tracker.Source. Each kind is watched by one feed.
func (d *directSource) Watch(ctx context.Context, kind string, after int64, wait clock.Millis) (objects []tracker.Object, revision int64, err error) {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	d.begin(kind, watch{d.clock.Now(), end})
	objects, revision, err = d.Source.Watch(ctx, kind, after, wait)
	d.end(kind)
	if err != nil && errorx.IsOfType(context.Cause(ctx), errOtherFailed) {
		// The call that failed is counted already.
		return nil, 0, context.Cause(ctx)
	}
	d.note(kind, "watch", err)
	return objects, revision, err
}

func (d *directSource) begin(kind string, began watch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.watches == nil {
		d.watches = map[string]watch{}
	}
	d.watches[kind] = began
}

func (d *directSource) end(kind string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watches, kind)
}

// note counts a call and remembers its outcome.
func (d *directSource) note(kind, call string, err error) {
	outcome := "answered"
	if err != nil && !errorx.IsOfType(err, tracker.ErrHistoryGone) {
		outcome = "failed"
	}
	d.mu.Lock()
	now := d.clock.Now()
	if outcome == "answered" {
		d.answeredAt = now
	} else {
		d.failedAt, d.hasFailed = now, true
		for other, began := range d.watches {
			if now-began.since >= doubtAfter {
				began.end(errOtherFailed.New("a call for kind %s failed while %s was watched", kind, other))
			}
		}
	}
	d.mu.Unlock()
	d.scope.Tagged(map[string]string{"kind": kind, "call": call, "outcome": outcome}).Counter("store_calls").Inc(1)
}

// mayReach says whether the store answers this VM, as far as it knows.
func (d *directSource) mayReach() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.hasFailed || d.answeredAt > d.failedAt || d.clock.Now()-d.failedAt > turnedAwaySpan
}
