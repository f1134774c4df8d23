package tracker

import (
	"context"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// runningWatch is a watch that waits for changes after a revision.
type runningWatch struct {
	after  int64
	since  clock.Millis
	cancel context.CancelCauseFunc
}

// beginWatch records that a watch begins. endWatch must be called when it has ended.
func (f *Feed) beginWatch(parent context.Context) (context.Context, *runningWatch) {
	ctx, cancel := context.WithCancelCause(parent)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running = &runningWatch{f.revision, f.Clock.Now(), cancel}
	return ctx, f.running
}

func (f *Feed) endWatch(watch *runningWatch) {
	f.mu.Lock()
	f.running = nil
	f.mu.Unlock()
	watch.cancel(nil)
}

func (f *Feed) runningWatch() *runningWatch {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running
}

// abandonWatch cancels a watch of the store that still runs although the copy has newer
// changes from elsewhere, and reports whether it did. A new watch begins at once.
func (f *Feed) abandonWatch(watch *runningWatch) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if watch == nil || f.running != watch || f.newest <= watch.after || !f.isDirect() {
		return false
	}
	waited := f.Clock.Now() - watch.since
	watch.cancel(ErrOverdue.New("no reply to a watch of %s after %d ms, and the copy has newer changes", f.Kind, waited))
	if f.Log != nil {
		f.Log.WithFields(logrus.Fields{"kind": f.Kind, "after_revision": watch.after, "newest": f.newest, "waited_ms": waited}).
			Warn("a watch of the store did not return a change; watching anew")
	}
	return true
}
