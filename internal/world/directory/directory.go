// Package directory describes the endpoints that register themselves: which
// there are, whom they serve and in what state they are. A Directory is an
// immutable picture; a newer one replaces it whole.
package directory

import (
	"slices"
	"strings"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// Endpoint is one run of one endpoint.
type Endpoint struct {
	// ID names the run. An endpoint may start again under the same ID.
	ID string
	// Started is the wall time of the run's start in Unix milliseconds, 0 if the
	// endpoint does not tell it.
	Started clock.Millis
	Service string
	// Address is IP:port. It may belong to another endpoint later.
	Address    string
	DataCentre string
	// Region is empty for a data centre that this VM does not know.
	Region  string
	Version string
	// Slots is how many requests the endpoint runs at once, at least 1.
	Slots int
	// Draining endpoints get no new work.
	Draining bool
	// ColdUntil is the time, by this VM's clock, until which the endpoint is cold.
	ColdUntil clock.Millis
	// Revision is the store's at the entry's last change.
	Revision int64
}

// Directory is a picture of all endpoints.
type Directory struct {
	// Services maps a service to its endpoints, sorted by ID.
	Services map[string][]Endpoint
	// Evacuated holds the data centres whose endpoints get nothing.
	Evacuated map[string]bool
	// Moves maps a service to the version move asked for it.
	Moves map[string]Move
}

// MoveState says how far a version move is.
type MoveState string

// The states of a move. A move without a state has only been asked for.
const (
	MoveRequested  MoveState = ""
	MoveRunning    MoveState = "running"
	MoveDone       MoveState = "done"
	MoveRolledBack MoveState = "taken_back"
)

// Move asks that a service's traffic goes to another version in a given time.
type Move struct {
	Service       string
	TargetVersion string
	// Within is the time that the move may take from when it was asked for.
	MaxDuration clock.Millis
	// SeenAt is when this VM first knew of the move, by its clock.
	FirstSeen clock.Millis
	// StartedWall is the wall time in Unix milliseconds at which the move's trial
	// began, by the VM that wrote it down; 0 before.
	StartedWall clock.Millis
	State       MoveState
	// Revision is the store's at the last change.
	Revision int64
}

// New builds a Directory of endpoints.
func New(endpoints []Endpoint, evacuated map[string]bool, moves map[string]Move) *Directory {
	d := &Directory{Services: map[string][]Endpoint{}, Evacuated: evacuated, Moves: moves}
	for _, e := range endpoints {
		d.Services[e.Service] = append(d.Services[e.Service], e)
	}
	for _, list := range d.Services {
		slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	}
	return d
}
