// Package usage reports the counts of each window once to the deployment's metering
// interface, from the VM that holds the duty. A window is frozen by storing its report's
// exact body with the duty, before it is first sent. So a report that is repeated, by this
// VM or by a later holder, is the same in every byte.
package usage

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"baobabladder.example/baobabladder/internal/base/clock"
	policy "baobabladder.example/baobabladder/internal/policy/usage"
)

const (
	// stepInterval is the time between two checks for work. Most checks make no call.
	stepInterval = 100 * clock.Millis(1)
	// CallTimeout limits a call of the metering interface. It allows for answers that take 70
	// times as long as usual, and leaves time for the next call within a renewed tenure.
	CallTimeout = 800 * clock.Millis(1)
	// firstRetryPause is the pause after a call that was not acknowledged. It doubles up to
	// maxRetryPause.
	firstRetryPause = 200 * clock.Millis(1)
	maxRetryPause   = 2 * clock.Second
	// storeRetryPause is the pause after a write to the store that failed.
	storeRetryPause = 1 * clock.Second
	// maxRejections is the number of rejections after which a window is given up; see
	// isRejection.
	maxRejections = 5
	// paceFactor is the ratio of the interval between two calls to the shortest one that
	// CallsPerSecond allows.
	paceFactor = 2
)

// Duty is the duty of reporting usage; see duty.Duty.
type Duty interface {
	// Tenure returns the term and until when this VM may act, by Clock.Boottime.
	Tenure() (term int64, until clock.Millis, isHeld bool)
	State() []byte
	SetState(ctx context.Context, state []byte) error
}

// Report is one call of the metering interface.
type Report struct {
	// Holder is the name of this VM, Term the fencing token.
	Holder string
	Term   int64
	Body   []byte
	// MaySend is asked just before bytes leave. A process that was suspended since the call
	// began may no longer hold the duty.
	MaySend func() bool
}

// Client calls the metering interface.
type Client interface {
	// Report returns the status of the answer. It sends the report at most once, and no byte
	// of it after ctx has ended.
	Report(ctx context.Context, report Report) (status int, err error)
}

// Sender freezes and sends the reports while this VM holds the duty. All exported fields but
// Clock must be set.
type Sender struct {
	// Self is the name of this VM.
	Self      string
	Duty      Duty
	Client    Client
	Collector *policy.Collector
	Ledger    *policy.Ledger
	Schedule  policy.Schedule
	// CallsPerSecond is the most calls a second that the interface takes. Tolerance is the fraction by
	// which a count may be wrong.
	CallsPerSecond, Tolerance float64
	// FirstWindow returns the first window to report if none ever was; 0 if it is not known
	// yet.
	FirstWindow func() policy.Window
	// FleetStart returns the window in which the VM that has run longest started. Counts of
	// earlier windows were lost with the VMs that ended.
	FleetStart func() policy.Window
	Clock      clock.Clock
	Log        logrus.FieldLogger
	Scope      tally.Scope

	mu sync.Mutex
	// progress is the state that was stored last in term, by this VM or before it. It is
	// kept when the tenure ends: after the store came back from a copy, it may be newer than
	// what is stored. Guarded by mu.
	progress policy.Progress
	term     int64
	// done holds the windows that were acknowledged or given up. They are removed from
	// progress with the next window that is frozen. Guarded by mu.
	done map[policy.Window]bool
	// retryAt is when the next call may be made, pause the pause after the last one that
	// failed, rejections how often the oldest window was rejected. All are reset when a window
	// is acknowledged or given up. Guarded by mu.
	retryAt, pause clock.Millis
	rejections     int
	// storeRetryAt is when the store may be written again after a failure. Only freeze uses
	// it.
	storeRetryAt clock.Millis
}

// Run freezes and sends reports until ctx ends. When it returns, no call is in flight.
func (s *Sender) Run(ctx context.Context) {
	var group sync.WaitGroup
	// A store that answers late must not delay reports that are frozen.
	for _, step := range []func(context.Context){s.freeze, s.send, s.tick} {
		group.Go(func() {
			for clock.Sleep(ctx, stepInterval) == nil {
				step(ctx)
			}
		})
	}
	group.Wait()
}

func (s *Sender) tick(context.Context) { s.Ledger.Tick() }

// IsHeld reports whether this VM holds the duty.
func (s *Sender) IsHeld() bool {
	_, _, isHeld := s.Duty.Tenure()
	return isHeld
}

// stored returns a copy of the state that was stored last in a term. It reads the state of
// the duty when the term is new.
func (s *Sender) stored(term int64) policy.Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != term {
		s.load()
		s.term = term
	}
	return s.progress.Clone()
}

// load replaces progress by the state of the duty. If the store came back from a copy, that
// may be older than what VMs know: windows that were frozen since may have been reported, and
// other counts for them would be a second, different report. The caller must hold mu.
func (s *Sender) load() {
	found, err := policy.DecodeProgress(s.Duty.State())
	if err != nil {
		s.Log.WithError(err).Error("the stored state of usage reports cannot be read; windows that were frozen and not reported are lost")
	}
	if s.progress.Next > found.Next {
		s.Log.WithFields(logrus.Fields{"stored_next": found.Next, "known_next": s.progress.Next}).
			Warn("the store has an older state of usage reports than this VM, which continues with its own")
		found = s.progress
	}
	if known := s.Collector.Next(); found.Next > 0 && known > found.Next {
		s.Log.WithFields(logrus.Fields{"stored_next": found.Next, "known_next": known}).
			Error("the store has an older state of usage reports than the VMs; windows that another VM has frozen are skipped")
		found.Next = known
	}
	s.progress = found
}

// setDone records that a window needs no more calls.
func (s *Sender) setDone(window policy.Window) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addDone(window)
	s.retryAt, s.pause, s.rejections = s.Clock.Now()+s.callInterval(), 0, 0
}

// markDone records that a window needs no more calls, without an effect on the pause before the
// calls for others. It returns false if that was known.
func (s *Sender) markDone(window policy.Window) (isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addDone(window)
}

// addDone adds a window to done. The caller must hold mu.
func (s *Sender) addDone(window policy.Window) (isNew bool) {
	if s.done == nil {
		s.done = map[policy.Window]bool{}
	}
	isNew = !s.done[window]
	s.done[window] = true
	return isNew
}

// isDone reports whether a window needs no more calls. The caller must hold mu.
func (s *Sender) isDone(window policy.Window) bool { return s.done[window] }

// callInterval returns the least time between two calls.
func (s *Sender) callInterval() clock.Millis {
	rate := s.CallsPerSecond
	if rate <= 0 {
		rate = 1
	}
	return clock.Millis(paceFactor * float64(clock.Second) / rate)
}

// count counts a window under an outcome.
func (s *Sender) count(outcome string, windows int64) {
	s.Scope.Tagged(map[string]string{"outcome": outcome}).Counter("usage_windows").Inc(windows)
}
