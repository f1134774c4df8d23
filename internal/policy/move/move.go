// Package move decides how traffic goes from one version of a service to
// another. It has two parts. The Guard, on every VM, chooses the version of each
// request and stops using a version at once when its fault shows. Advance, run
// by the one VM that holds the mover's lease, takes the move from stage to stage
// or back. The package does no input or output.
package move

import (
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
)

// Stage is how far a move is.
type Stage string

// The stages of a move. TakenBack is final for an attempt; Done is followed only
// by TakenBack, if a VM found a fault before it heard of the end.
const (
	// Waiting is the time before the move's start.
	Waiting Stage = "waiting"
	// Canary is the first stage with traffic: a small share, until the version is
	// judged.
	Canary Stage = "canary"
	// Rising is any later stage below the whole.
	Ramping    Stage = "rising"
	Done       Stage = "done"
	RolledBack Stage = "taken_back"
)

// FullShare is all of a route's traffic, in thousandths.
const FullShare = 1000

// CanaryShare is the new version's share until it is judged, in thousandths.
const CanaryShare = 50

// steps are the shares in thousandths that a move goes through. The last one
// keeps some traffic on the old version, so that the two can still be compared.
var steps = []int{CanaryShare, 100, 200, 400, 700, 950}

// State is the state of a service's move, kept in the store as moves/SERVICE.
type State struct {
	Service string `json:"service"`
	// Attempt is the document revision at which the move began. It names the
	// attempt: a version taken back gets traffic again only in a later attempt.
	Attempt int64 `json:"attempt"`
	// Revision is the newest document revision that the state takes account of.
	Revision    int64        `json:"revision"`
	From        string       `json:"from"`
	To          string       `json:"to"`
	Start       clock.Millis `json:"start"`
	By          clock.Millis `json:"by"`
	SlowPercent int          `json:"slow_percent"`
	Stage       Stage        `json:"stage"`
	// Step is the place in the list of shares, from 0.
	Step int `json:"step"`
	// Share is the new version's share of each route, in thousandths.
	Share int `json:"share"`
	// Began is the wall time at which the first traffic was allowed.
	TrafficStartedAt clock.Millis `json:"began"`
	// Since is the wall time at which the stage began.
	StageStartedAt clock.Millis `json:"since"`
	// Term is the lease term under which the state was written. It never falls.
	Term int64 `json:"term"`
	// WriteID names the write, so that a lost answer can be settled.
	WriteID string `json:"write_id"`
	// History holds the latest changes, oldest first.
	History []Change `json:"history"`
}

// Change is one change of a move's stage.
type Change struct {
	At clock.Millis `json:"at"`
	// VM is the mover that made the change.
	VM    string `json:"vm"`
	Term  int64  `json:"term"`
	Stage Stage  `json:"stage"`
	Share int    `json:"share"`
	Why   string `json:"why"`
}

// IsFinal says that the attempt has come to its end.
func (s *State) IsFinal() bool { return s.Stage == Done || s.Stage == RolledBack }

// contradicts says whether a move would start from a version that does not carry
// the traffic, as its own move is not over or was taken back. To follow such a
// move would put all of the traffic on that version at once.
func (s *State) contradicts(move *document.Move) bool {
	return s.Stage != Done && s.To == move.From
}

// isReversed says whether other is the way back of the state's move.
func (s *State) isReversed(from, to string) bool { return s.From == to && s.To == from }

// matches says whether the state is about exactly this move.
func (s *State) matches(move *document.Move) bool {
	return s.From == move.From && s.To == move.To && s.Start == move.Start && s.By == move.Deadline && s.SlowPercent == move.MaxSlowdownPercent
}

// Suspension is one VM's word that a version's fault shows.
type Suspension struct {
	Service string
	// Attempt is the State's.
	Attempt int64
	To      string
	Route   string
	// VM found the fault.
	VM  string
	Why string
}

// Choice is which versions may run a request.
type Choice struct {
	// To is the new version, or empty where no version is to be told apart.
	To string
	// From is the old version; empty stands for all but To.
	From string
	// New says that the request goes to the new version, else to any other.
	IsNew bool
	// Final says that the old version gets nothing any more.
	IsNewOnly bool
	// Refuse says that the request can go to neither version now.
	IsRefused bool
	// Cold names the endpoint that ran the request if it may have been cold, else
	// it is empty. Answers of cold endpoints do not show that a version is slow.
	ColdEndpoint string
	// attempt is the State's.
	attempt int64
	// counted says that the request counts as one of the new version's.
	counted bool
}

// CanFallBack says that the old version may run the request if the new one can't.
func (c Choice) CanFallBack() bool { return c.IsNew && !c.IsNewOnly }

// ForOldVersion returns the choice of the old version.
func (c Choice) ForOldVersion() Choice {
	c.IsNew = false
	return c
}

// ForVersion returns the choice as it came out, given the version that runs the request.
func (c Choice) ForVersion(version string) Choice {
	c.IsNew = c.To != "" && version == c.To
	return c
}

// Outcome is what a request's end says about its version.
type Outcome string

// The outcomes of a request.
const (
	Succeeded Outcome = "good"
	Failed    Outcome = "bad"
	// Abandoned is a request that its caller gave up: its time counts if it was
	// already too long.
	Abandoned Outcome = "abandoned"
	// Late is a request that its deadline ended: a failure, unless less time than
	// the old version needs had passed.
	DeadlineExceeded Outcome = "late"
	// Unused is a request that was sent nowhere.
	NotSent Outcome = "unused"
)
