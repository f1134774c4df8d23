// Package move decides how traffic moves from one version of a service to
// another. It has two parts. The Guard, on every VM, selects the version for
// each request and stops using the new version as soon as a fault shows.
// Advance, called by the mover, which is the VM that holds the mover's lease,
// takes the move to its next stage or rolls it back. The package does no I/O.
//
// A move passes through steps, at each of which the new version gets a larger share of
// the traffic. The first step is the canary stage. An attempt is one run of a move
// through these steps. The evidence of an attempt is the number of responses, of
// failures and of responses by latency, for both versions. The new version has a fault
// if the evidence shows that it fails or is slow more often than the old one by more
// than chance explains. A VM that finds a fault suspends the version in the attempt and
// notifies the other VMs.
package move

import (
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
)

// Stage is the progress of a move.
type Stage string

// The stages of a move. RolledBack is final for an attempt. Done can change only to
// RolledBack, if a VM found a fault before it knew of the completion.
const (
	// Waiting is the time before the start time of the move.
	Waiting Stage = "waiting"
	// Canary is the first stage with traffic. The new version gets a small share until
	// it has given enough responses to be compared with the old version.
	Canary Stage = "canary"
	// Ramping is the stage of the later steps, up to the last one below the full
	// share.
	Ramping    Stage = "rising"
	Done       Stage = "done"
	RolledBack Stage = "taken_back"
)

// FullShare is all of a route's traffic, in thousandths.
const FullShare = 1000

// CanaryShare is the new version's share in the canary stage, in thousandths.
const CanaryShare = 50

// stepShares are the new version's shares at the steps of a move, in thousandths.
// The last one leaves some traffic on the old version, so that the two can still be
// compared.
var stepShares = []int{CanaryShare, 100, 200, 400, 700, 950}

// State is the state of a service's move, stored under the key moves/SERVICE.
type State struct {
	Service string `json:"service"`
	// Attempt is the document revision at which the attempt began, and identifies
	// it. A version that was rolled back gets traffic only in a later attempt.
	Attempt int64 `json:"attempt"`
	// Revision is the newest document revision that the state reflects.
	Revision           int64        `json:"revision"`
	From               string       `json:"from"`
	To                 string       `json:"to"`
	Start              clock.Millis `json:"start"`
	Deadline           clock.Millis `json:"by"`
	MaxSlowdownPercent int          `json:"slow_percent"`
	Stage              Stage        `json:"stage"`
	// Step is the index of the current step in stepShares.
	Step int `json:"step"`
	// Share is the new version's share of each route, in thousandths.
	Share int `json:"share"`
	// StartedAt is the wall-clock time from which the new version was allowed to
	// get traffic.
	StartedAt clock.Millis `json:"began"`
	// StageStartedAt is the wall-clock time at which the current stage or step
	// began.
	StageStartedAt clock.Millis `json:"since"`
	// Term is the lease term in which the state was written. It never decreases.
	Term int64 `json:"term"`
	// WriteID identifies the write. If the store's reply is lost, it shows whether
	// the write succeeded.
	WriteID string `json:"write_id"`
	// History holds the latest changes, oldest first.
	History []Change `json:"history"`
}

// Change is a change of a move's stage.
type Change struct {
	At clock.Millis `json:"at"`
	// VM is the mover that made the change.
	VM    string `json:"vm"`
	Term  int64  `json:"term"`
	Stage Stage  `json:"stage"`
	Share int    `json:"share"`
	Why   string `json:"why"`
}

// IsFinal reports whether the attempt has ended.
func (s *State) IsFinal() bool { return s.Stage == Done || s.Stage == RolledBack }

// isSourceUnserved reports whether a move would start from a version that does
// not serve all traffic, because the move to that version is not done or was
// rolled back. Such a move would shift all traffic to that version at once.
func (s *State) isSourceUnserved(move *document.Move) bool {
	return s.Stage != Done && s.To == move.From
}

// decides reports whether requests are divided by this state while a document orders
// the given move: it is the state of a move between the same versions, or of one that
// must end before the ordered one may start.
func (s *State) decides(move *document.Move) bool {
	return s.isSourceUnserved(move) || s.To == move.To && s.From == move.From
}

// isReversed reports whether a move between the given versions is the reverse of
// the state's move.
func (s *State) isReversed(from, to string) bool { return s.From == to && s.To == from }

// isSameMove reports whether the state belongs to exactly this move.
func (s *State) isSameMove(move *document.Move) bool {
	return s.From == move.From && s.To == move.To && s.Start == move.Start && s.Deadline == move.Deadline && s.MaxSlowdownPercent == move.MaxSlowdownPercent
}

// Suspension states that a VM found a fault in the new version, and that no VM may
// send it requests in the attempt.
type Suspension struct {
	Service string
	// Attempt is the State.Attempt in which the fault was found.
	Attempt int64
	To      string
	Route   string
	// VM is the VM that found the fault.
	VM  string
	Why string
}

// Choice states which versions may run a request.
type Choice struct {
	// To is the new version, or empty if versions are not distinguished.
	To string
	// From is the old version. If it is empty, every version except To is old.
	From string
	// IsNew is true if the request goes to the new version, and false if to the old
	// one.
	IsNew bool
	// IsNewOnly is true if the old version gets no requests any more.
	IsNewOnly bool
	// IsRefused is true if the request cannot use either version now.
	IsRefused bool
	// ColdEndpoint is the endpoint that ran the request if it may have been cold,
	// otherwise empty. The responses of cold endpoints don't show whether a version is
	// slow.
	ColdEndpoint string
	// attempt is the State.Attempt for which the choice was made.
	attempt int64
	// isCounted is true if the request counts towards the new version's requests.
	isCounted bool
}

// CanFallBack reports whether the old version may run the request if the new one
// cannot.
func (c Choice) CanFallBack() bool { return c.IsNew && !c.IsNewOnly }

// ForOldVersion returns the choice changed to the old version.
func (c Choice) ForOldVersion() Choice {
	c.IsNew = false
	return c
}

// ForVersion returns the choice for the version that actually runs the request.
func (c Choice) ForVersion(version string) Choice {
	c.IsNew = c.To != "" && version == c.To
	return c
}

// Outcome is what the result of a request shows about the version that ran it.
type Outcome string

// The outcomes of a request.
const (
	Succeeded Outcome = "good"
	Failed    Outcome = "bad"
	// Abandoned is a request that its caller cancelled. It counts as slow if it had
	// taken too long already.
	Abandoned Outcome = "abandoned"
	// DeadlineExceeded is a request whose deadline passed. It counts as a failure
	// unless it lasted no longer than a response that is not slow; it is then ignored.
	DeadlineExceeded Outcome = "late"
	// NotSent is a request that was not sent to any endpoint.
	NotSent Outcome = "unused"
)
