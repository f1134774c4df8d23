package usage

import (
	"context"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	policy "baobabladder.example/baobabladder/internal/policy/usage"
)

// freeze takes the counts of the windows that are ready and stores them. One write stores all
// of them and removes the windows that were acknowledged or given up.
func (s *Sender) freeze(ctx context.Context) {
	term, _, isHeld := s.Duty.Tenure()
	if !isHeld || s.Clock.Now() < s.storeRetryAt {
		return
	}
	next := s.stored(term)
	if next.Next == 0 {
		next.Next = max(s.FirstWindow(), s.Collector.Next())
	}
	if next.Next == 0 {
		return
	}
	totals := s.freezeReady(&next)
	if len(totals) == 0 {
		return
	}
	s.mu.Lock()
	next.Remove(s.isDone)
	s.mu.Unlock()
	givenUp := next.Trim()
	encoded, err := next.Encode()
	if err == nil {
		err = s.Duty.SetState(ctx, encoded)
	}
	if err != nil {
		// These windows were not sent, so the next attempt may freeze them with other counts.
		s.storeRetryAt = s.Clock.Now() + storeRetryPause
		if ctx.Err() == nil {
			s.Log.WithError(err).WithField("windows", len(totals)).Warn("storing frozen windows failed; retrying")
		}
		return
	}
	s.mu.Lock()
	s.progress = next
	for window := range s.done {
		if window < next.Next-doneRetention {
			delete(s.done, window)
		}
	}
	s.mu.Unlock()
	s.Collector.SetNext(next.Next)
	for _, window := range givenUp {
		// A call that was in flight during the write may have had the window acknowledged.
		if s.markDone(window) {
			s.logGivenUp(window, "too many windows are frozen and not acknowledged")
		}
	}
	for _, frozen := range totals {
		s.logFrozen(&frozen)
	}
}

// doneRetention is the number of windows for which Sender.done is kept. A store that comes back
// from a copy may list windows again that were acknowledged or given up.
const doneRetention = 1000

// frozenTotal is the sum with which a window was frozen.
type frozenTotal struct {
	policy.Total
	window policy.Window
}

// freezeReady freezes the windows that are ready and returns their sums.
func (s *Sender) freezeReady(next *policy.Progress) (totals []frozenTotal) {
	wall := s.Ledger.Wall()
	open := s.Schedule.WindowAt(wall)
	if skipped := next.SkipTo(open); skipped > 0 {
		s.count("given_up", int64(skipped))
		s.Log.WithFields(logrus.Fields{"windows": skipped, "next_window": next.Next}).
			Error("usage windows are given up: more have passed than can be reported late")
	}
	for next.Next < open {
		total := s.Collector.Sum(next.Next)
		if total.Lacking > 0 && wall < s.Schedule.LatestFreeze(next.Next) {
			break
		}
		totals = append(totals, frozenTotal{total, next.Next})
		next.Freeze(total.Counts)
	}
	return totals
}

// logFrozen logs a window that was frozen.
func (s *Sender) logFrozen(frozen *frozenTotal) {
	s.count("frozen", 1)
	s.Scope.Gauge("usage_vms_lacking").Update(float64(frozen.Lacking))
	requests := int64(0)
	for _, count := range frozen.Counts {
		requests += count
	}
	line := s.Log.WithFields(logrus.Fields{
		"window_id": frozen.window, "workspaces": len(frozen.Counts), "requests": requests,
		"vms": frozen.VMs, "vms_lacking": frozen.Lacking, "unstated_estimate": frozen.Unstated,
	})
	isFromBefore := frozen.window < s.FleetStart()
	switch {
	case isFromBefore:
		s.count("partial", 1)
		line.Warn("froze a usage window in which none of the VMs ran; what others counted is lost")
	case frozen.Lacking == 0:
		line.Info("froze a usage window")
	case float64(frozen.Lacking) > s.Tolerance*float64(frozen.VMs):
		s.count("partial", 1)
		line.Warn("froze a usage window that may lack more than is tolerated")
	default:
		s.count("partial", 1)
		line.Info("froze a usage window without the last counts of some VMs")
	}
}

// giveUp ends the calls for a window that is not reported.
func (s *Sender) giveUp(window policy.Window, why string) {
	s.setDone(window)
	s.logGivenUp(window, why)
}

func (s *Sender) logGivenUp(window policy.Window, why string) {
	s.count("given_up", 1)
	s.Log.WithFields(logrus.Fields{"window_id": window, "why": why}).Error("a usage window is given up")
}

// ageOf returns the time since a window's end, which is negative before it.
func (s *Sender) ageOf(window policy.Window) clock.Millis {
	return s.Ledger.Wall() - clock.Millis(window+1)*s.Schedule.Length
}
