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
	cause := context.Cause(ctx)
	switch {
	case err != nil && errorx.IsOfType(cause, errOtherCallFailed):
		// The failed call has been counted already.
		return nil, 0, cause
	case err != nil && errorx.IsOfType(cause, tracker.ErrOverdue):
		err = cause
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

// Outcomes of calls, as the metric store_calls names them.
const (
	callAnswered = "answered"
	callFailed   = "failed"
	callOverdue  = "overdue"
)

func callOutcome(err error) string {
	switch {
	case err == nil, errorx.IsOfType(err, tracker.ErrHistoryGone), errorx.IsOfType(err, tracker.ErrEraChanged):
		return callAnswered
	case errorx.IsOfType(err, tracker.ErrOverdue):
		return callOverdue
	default:
		return callFailed
	}
}

// recordCall counts a call, records when it ended and, if it failed or was overdue,
// cancels the watches that have run for suspectAfter.
func (s *storeSource) recordCall(kind, call string, err error) {
	outcome := callOutcome(err)
	s.mu.Lock()
	now := s.clock.Now()
	switch outcome {
	case callAnswered:
		s.succeededAt = now
	case callFailed:
		s.failedAt, s.hasFailed = now, true
		s.cancelWatches(now, errOtherCallFailed, "a call for kind "+kind+" failed")
	case callOverdue:
		s.cancelWatches(now, tracker.ErrOverdue, "a watch of kind "+kind+" was not answered")
	}
	s.mu.Unlock()
	s.scope.Tagged(map[string]string{"kind": kind, "call": call, "outcome": outcome}).Counter("store_calls").Inc(1)
}

// cancelWatches cancels the watches that have run for suspectAfter with a cause of the
// given type. The caller must hold mu.
func (s *storeSource) cancelWatches(now clock.Millis, cause *errorx.Type, event string) {
	for kind, w := range s.watches {
		if now-w.since >= suspectAfter {
			w.cancel(cause.New("%s while %s was watched", event, kind))
		}
	}
}

// checkSource makes the calls of a tracker.Checker, which do not wait for changes and
// run beside the watches.
type checkSource struct{ *storeSource }

// Watch implements tracker.Source.
func (s checkSource) Watch(ctx context.Context, kind string, after int64, wait clock.Millis) (objects []tracker.Object, revision int64, err error) {
	defer func() { s.recordCall(kind, "check", err) }()
	return s.Source.Watch(ctx, kind, after, wait)
}

// canReachStore reports whether the store is reachable, judging by the calls so far.
func (s *storeSource) canReachStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.hasFailed || s.succeededAt > s.failedAt || s.clock.Now()-s.failedAt > unreachableSpan
}
