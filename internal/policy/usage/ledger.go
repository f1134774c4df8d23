package usage

import (
	"maps"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// maxWindows is the number of windows of which a Ledger and a Collector keep the counts,
// frozen ones aside.
const maxWindows = 32

// Ledger counts this VM's own attempts at endpoints. Schedule must be set.
type Ledger struct {
	Schedule Schedule
	Clock    clock.Clock
	// ReadWall reads the wall clock; nil selects Clock.Wall.
	ReadWall func() clock.Millis

	mu   sync.Mutex
	wall wallTime
	// counts holds the attempts that have ended, by the window of their begin. Guarded by
	// mu.
	counts map[Window]Counts
	// inFlight holds the attempts that have not ended. Guarded by mu.
	inFlight map[*Attempt]bool
	// hasEnded reports that no attempt follows. Guarded by mu.
	hasEnded bool
}

// Attempt is one attempt to have a request run by an endpoint.
type Attempt struct {
	ledger    *Ledger
	workspace string
	expected  Expectation
	sentAt    clock.Millis
}

// Begin records that an attempt is sent now. End must be called when it has ended.
func (l *Ledger) Begin(workspace string, expected Expectation) *Attempt {
	a := &Attempt{ledger: l, workspace: workspace, expected: expected, sentAt: l.Clock.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight == nil {
		l.inFlight = map[*Attempt]bool{}
	}
	l.inFlight[a] = true
	return a
}

// End records how the attempt ended. Only the first call has an effect.
//
// An attempt without an answer counts, unless the endpoint did not run it or this VM ended
// it before it likely began: an endpoint drops what waits in its queue when the connection is
// reset.
func (a *Attempt) End(ending Ending) {
	l := a.ledger
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.inFlight[a] {
		return
	}
	delete(l.inFlight, a)
	sentAt := max(ending.SentAt, a.sentAt)
	beganAt := sentAt + a.expected.likelyWait()
	if ending.AnsweredAt > 0 {
		beganAt = sentAt + a.expected.waitShownBy(max(ending.AnsweredAt-sentAt, 0), ending.Pace)
	}
	if ending.IsNotRun || ending.AnsweredAt == 0 && beganAt > now {
		return
	}
	l.add(a.workspace, beganAt)
}

// add counts an attempt. The caller must hold mu.
func (l *Ledger) add(workspace string, beganAt clock.Millis) {
	l.updateWall()
	window := l.Schedule.WindowAt(l.wall.at(beganAt))
	if l.counts == nil {
		l.counts = map[Window]Counts{}
	}
	if l.counts[window] == nil {
		l.counts[window] = Counts{}
	}
	l.counts[window][workspace]++
}

// updateWall compares the clocks. The caller must hold mu.
func (l *Ledger) updateWall() {
	read := l.ReadWall
	if read == nil {
		read = l.Clock.Wall
	}
	l.wall.update(l.Clock.Now(), read())
}

// Wall returns the wall time by which windows are told.
func (l *Ledger) Wall() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateWall()
	return l.wall.at(l.Clock.Now())
}

// Finish records that no attempt follows, so that every window is final.
func (l *Ledger) Finish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hasEnded = true
}

// ownWindow is the counts of one window by this VM.
type ownWindow struct {
	counts Counts
	// isFinal reports that the counts will not change.
	isFinal bool
}

// windows returns this VM's counts by window, up to the open window. Attempts in flight are
// counted once their begin is likely. It forgets windows that are too old.
func (l *Ledger) windows() (windows map[Window]ownWindow, open Window) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateWall()
	now := l.Clock.Now()
	open = l.Schedule.WindowAt(l.wall.at(now))
	maps.DeleteFunc(l.counts, func(window Window, _ Counts) bool { return window <= open-maxWindows })
	// An attempt in flight may have begun in the window of its send or in any later one.
	firstUnsure := open
	provisional := map[Window]Counts{}
	for a := range l.inFlight {
		firstUnsure = min(firstUnsure, l.Schedule.WindowAt(l.wall.at(a.sentAt)))
		beganAt := a.sentAt + a.expected.likelyWait()
		if beganAt > now {
			continue
		}
		window := l.Schedule.WindowAt(l.wall.at(beganAt))
		if provisional[window] == nil {
			provisional[window] = Counts{}
		}
		provisional[window][a.workspace]++
	}
	if l.hasEnded && len(l.inFlight) == 0 {
		firstUnsure = open + 1
	}
	windows = make(map[Window]ownWindow, maxWindows)
	for window := open - maxWindows + 1; window <= open; window++ {
		counts := Counts{}
		counts.add(l.counts[window])
		counts.add(provisional[window])
		windows[window] = ownWindow{counts, window < firstUnsure}
	}
	return windows, open
}
