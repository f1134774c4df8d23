// Package usage counts the requests that endpoints began to run, by workspace and by
// window of wall time, over all VMs.
//
// Each VM has a Ledger of its own requests. VMs exchange what their ledgers hold as
// statements, which a Collector keeps and sums. The holder of the duty freezes the counts
// of one window after the other with Progress, and then reports them. A statement is
// cumulative: it replaces what its author stated before, so a message that is lost or comes
// twice changes no sum.
//
// The package does no I/O.
package usage

import "baobabladder.example/baobabladder/internal/base/clock"

// Window is the number of a window. Window k begins k times Schedule.Length after the start
// of 1970.
type Window int64

// Schedule says when windows begin and when they are due.
type Schedule struct {
	// Length is the length of a window, Due the time after a window's end at which its
	// report must have been made.
	Length, Due clock.Millis
}

// freezeMargin is the time before a window is due at which its counts are taken even if VMs
// have not stated theirs. It leaves time for a change of the duty's holder and for retries.
const freezeMargin = 3 * clock.Second

// WindowAt returns the window of a wall time.
func (s Schedule) WindowAt(wall clock.Millis) Window { return Window(wall / s.Length) }

// end returns the wall time at which a window ends.
func (s Schedule) end(window Window) clock.Millis { return clock.Millis(window+1) * s.Length }

// LatestFreeze returns the wall time at which a window's counts are taken at the latest.
func (s Schedule) LatestFreeze(window Window) clock.Millis {
	return s.end(window) + max(s.Due-freezeMargin, s.Due/2)
}

// IsLate reports whether a report made at a wall time is late.
func (s Schedule) IsLate(window Window, wall clock.Millis) bool {
	return wall > s.end(window)+s.Due
}

// Counts is the number of requests by workspace.
type Counts map[string]int64

// total returns the sum over the workspaces.
func (c Counts) total() (sum int64) {
	for _, count := range c {
		sum += count
	}
	return sum
}

// add adds other to c.
func (c Counts) add(other Counts) {
	for workspace, count := range other {
		c[workspace] += count
	}
}
