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
	// unreachableSpan is how long after a failed call the store counts as unreachable
	// for this VM, unless a later call succeeds. The VM reads from other VMs meanwhile.
	unreachableSpan = 10 * clock.Second
	// suspectAfter is how long a watch must have run to be cancelled when another call
	// fails: the store may be holding it without ever responding.
	suspectAfter = 1200 * clock.Millis(1)
)

// errOtherCallFailed is the cause with which a watch is cancelled when another call
// has failed.
var errOtherCallFailed = errorx.NewNamespace("node").NewType("other_call_failed")

// storeSource calls the store, counts the calls and tracks whether the store is
// reachable from this VM. A failed call cancels the watches that have run for
// suspectAfter, so that the kind with the shortest watches detects an outage for all
// kinds.
type storeSource struct {
	tracker.Source
	scope tally.Scope
	clock clock.Clock

	mu sync.Mutex
	// succeededAt and failedAt are when the last successful and the last failed call
	// ended; failedAt is valid only if hasFailed. All three are guarded by mu.
	succeededAt, failedAt clock.Millis
	hasFailed             bool
	// watches holds the running watches by kind. Guarded by mu.
	watches map[string]watch
}

// watch is a running watch.
type watch struct {
	since  clock.Millis
	cancel context.CancelCauseFunc
}

// List implements tracker.Source.
func (s *storeSource) List(ctx context.Context, kind string) (objects []tracker.Object, revision int64, err error) {
	defer func() { s.recordCall(kind, "list", err) }()
	return s.Source.List(ctx, kind)
}

// Watch implements tracker.Source. At most one watch of a kind may run at a time.
func (s *storeSource) Watch(ctx context.Context, kind string, after int64, wait clock.Millis) (objects []tracker.Object, revision int64, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.addWatch(kind, watch{s.clock.Now(), cancel})
	objects, revision, err = s.Source.Watch(ctx, kind, after, wait)
	s.removeWatch(kind)
	if err != nil && errorx.IsOfType(context.Cause(ctx), errOtherCallFailed) {
		// The failed call has been counted already.
		return nil, 0, context.Cause(ctx)
	}
	s.recordCall(kind, "watch", err)
	return objects, revision, err
}

func (s *storeSource) addWatch(kind string, w watch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watches == nil {
		s.watches = map[string]watch{}
	}
	s.watches[kind] = w
}

func (s *storeSource) removeWatch(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watches, kind)
}

// recordCall counts a call, records when it ended and, if it failed, cancels the
// watches that have run for suspectAfter.
func (s *storeSource) recordCall(kind, call string, err error) {
	outcome := "answered"
	if err != nil && !errorx.IsOfType(err, tracker.ErrHistoryGone) && !errorx.IsOfType(err, tracker.ErrEraChanged) {
		outcome = "failed"
	}
	s.mu.Lock()
	now := s.clock.Now()
	if outcome == "answered" {
		s.succeededAt = now
	} else {
		s.failedAt, s.hasFailed = now, true
		for other, w := range s.watches {
			if now-w.since >= suspectAfter {
				w.cancel(errOtherCallFailed.New("a call for kind %s failed while %s was watched", kind, other))
			}
		}
	}
	s.mu.Unlock()
	s.scope.Tagged(map[string]string{"kind": kind, "call": call, "outcome": outcome}).Counter("store_calls").Inc(1)
}

// canReachStore reports whether the store is reachable, judging by the calls so far.
func (s *storeSource) canReachStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.hasFailed || s.succeededAt > s.failedAt || s.clock.Now()-s.failedAt > unreachableSpan
}
