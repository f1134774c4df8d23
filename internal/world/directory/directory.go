// Package directory describes the registered endpoints: which ones exist, which
// service each belongs to, and its state. A Directory is an immutable snapshot
// and is replaced as a whole.
package directory

import (
	"slices"
	"strings"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// Endpoint describes one run of an endpoint's process.
type Endpoint struct {
	// ID identifies the endpoint. A restarted endpoint may register under the
	// same ID.
	ID string
	// Started is the wall time at which the run started, in Unix milliseconds, or
	// 0 if the endpoint does not report it.
	Started clock.Millis
	Service string
	// Address is IP:port. The platform may assign it to another endpoint later.
	Address    string
	DataCentre string
	// Region is empty if this VM does not know the region of the data centre.
	Region  string
	Version string
	// Slots is the number of requests that the endpoint runs concurrently, at
	// least 1.
	Slots int
	// Draining reports whether the endpoint must receive no new requests.
	Draining bool
	// ColdUntil is the end of the endpoint's warm-up, by this VM's clock.
	ColdUntil clock.Millis
	// Revision is the store's revision at the last change of the entry.
	Revision int64
}

// Directory is an immutable snapshot of all endpoints.
type Directory struct {
	// Services holds the endpoints of each service, sorted by ID.
	Services map[string][]Endpoint
	// Evacuated is the set of data centres whose endpoints must receive no
	// requests.
	Evacuated map[string]bool
	// Moves holds the requested version move of each service.
	Moves map[string]Move
}

// MoveState is the progress of a version move.
type MoveState string

// States of a version move. A move without a state has been requested but not
// started.
const (
	MoveRequested  MoveState = ""
	MoveRunning    MoveState = "running"
	MoveDone       MoveState = "done"
	MoveRolledBack MoveState = "taken_back"
)

// Progress returns how far the state is. The progress of a move never decreases.
func (s MoveState) Progress() int {
	switch s {
	case MoveRequested:
		return 0
	case MoveRunning:
		return 1
	default:
		return 2
	}
}

// Move is a request to shift a service's traffic to another version gradually
// within a given time.
type Move struct {
	Service       string
	TargetVersion string
	// MaxDuration is the time that the move may take, counted from its request.
	MaxDuration clock.Millis
	// FirstSeen is the time at which this VM first saw the move, by its clock.
	FirstSeen clock.Millis
	// StartedWall is the wall time at which the new version began to receive
	// traffic, in Unix milliseconds, as recorded by the VM that started the move.
	// It is 0 until then.
	StartedWall clock.Millis
	State       MoveState
	// IsStateLost reports that the store no longer has the state, because it came back
	// from a copy.
	IsStateLost bool
	// IsStateUnreadable reports that another writer spoiled the state in the store.
	IsStateUnreadable bool
	// Revision is the store's revision at the last change of the move.
	Revision int64
}

// New returns a Directory of the given endpoints, evacuated data centres and
// version moves, by service.
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
