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
	// tickedAt is when Tick was called last. The process stood still from stalledFrom to
	// stalledUntil. Guarded by mu.
	tickedAt, stalledFrom, stalledUntil clock.Millis
	// finished is set when no more attempts will begin. Guarded by mu.
	finished bool
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
	if l.tickedAt > 0 {
		l.checkStall()
	}
	sentAt := max(ending.SentAt, a.sentAt)
	beganAt := sentAt + a.expected.likelyWait()
	if ending.AnsweredAt > 0 && !l.isAnswerDelayed(sentAt, ending.AnsweredAt) {
		beganAt = sentAt + a.expected.waitShownBy(max(ending.AnsweredAt-sentAt, 0), ending.Load)
	}
	if ending.IsNotRun || ending.AnsweredAt == 0 && beganAt > now {
		return
	}
	l.add(a.workspace, beganAt)
}

// maxTickPause is the longest time between two calls of Tick that is taken for a wait for the
// processor. After a longer one the process is taken to have been suspended.
const maxTickPause = 700 * clock.Millis(1)

// Tick detects suspensions of the process and jumps of the wall clock. It must be called about
// every 100 ms.
func (l *Ledger) Tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkStall()
	l.updateWall()
}

// checkStall records that the process stood still, if it did. The caller must hold mu.
func (l *Ledger) checkStall() {
	now := l.Clock.Now()
	if l.tickedAt > 0 && now-l.tickedAt > maxTickPause {
		l.stalledFrom, l.stalledUntil = l.tickedAt, now
	}
	l.tickedAt = now
}

// isAnswerDelayed reports whether an answer may have come while the process stood still, so
// that the time until it was read shows nothing. The caller must hold mu.
func (l *Ledger) isAnswerDelayed(sentAt, answeredAt clock.Millis) bool {
	return l.stalledUntil > 0 && sentAt <= l.stalledUntil && answeredAt >= l.stalledFrom &&
		answeredAt <= l.stalledUntil+maxTickPause
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

// updateWall checks whether the wall clock has jumped. The caller must hold mu.
func (l *Ledger) updateWall() {
	read := l.ReadWall
	if read == nil {
		read = l.Clock.Wall
	}
	l.wall.update(l.Clock.Now(), read())
}

// Wall returns the wall time that decides in which window an attempt is counted.
func (l *Ledger) Wall() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateWall()
	return l.wall.at(l.Clock.Now())
}

// Finish records that no more attempts will begin, so that all windows are final once the
// attempts in flight have ended.
func (l *Ledger) Finish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished = true
}

func (l *Ledger) isFinished() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.finished
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
	if l.finished && len(l.inFlight) == 0 {
		firstUnsure = open + 1
	}
	windows = make(map[Window]ownWindow, maxWindows)
	for window := open - maxWindows + 1; window <= open; window++ {
		counts := maps.Clone(l.counts[window])
		if counts == nil {
			counts = provisional[window]
		} else {
			counts.add(provisional[window])
		}
		windows[window] = ownWindow{counts, window < firstUnsure}
	}
	return windows, open
}
