package endpoint

import (
	"encoding/json"
	"net/http"
	"strings"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// Faults are what goes wrong. The zero value is a healthy endpoint.
type Faults struct {
	// Leaving says in reports that the endpoint leaves; it still runs what comes.
	Leaving bool         `json:"leaving,omitempty"`
	Version VersionFault `json:"version"`
	Answer  AnswerFault  `json:"answer"`
	Report  ReportFault  `json:"report"`
}

// VersionFault is a bad version. It shows only where all of its conditions hold.
type VersionFault struct {
	// Fail answers 500 after the service time.
	Fail bool `json:"fail,omitempty"`
	// SlowPercent lengthens the service time.
	SlowPercent int `json:"slow_percent,omitempty"`
	// After is how long the fault takes to show.
	After clock.Millis `json:"after_ms,omitempty"`
	// MinRunning is how many requests must hold slots for the fault to show.
	MinRunning int `json:"min_running,omitempty"`
	// Route starts the paths concerned.
	PathPrefix string `json:"route,omitempty"`
}

// AnswerFaultKind is a way in which answers go wrong.
type AnswerFaultKind string

// The kinds of bad answers.
const (
	// LateAnswer comes late, whatever the request's deadline.
	LateAnswer AnswerFaultKind = "late"
	// CrossedAnswer has the id and body of another request.
	MismatchedAnswer AnswerFaultKind = "crossed"
	// CutAnswer is shorter than its declared length.
	TruncatedAnswer AnswerFaultKind = "cut"
	// DoubleAnswer comes twice on the same connection.
	DuplicateAnswer AnswerFaultKind = "double"
)

// AnswerFault spoils the answers to requests that ran.
type AnswerFault struct {
	// Kind is empty for no fault.
	Kind AnswerFaultKind `json:"kind,omitempty"`
	// Every is how many answers there are to each bad one; 0 spoils all.
	Every int `json:"every,omitempty"`
	// Delay is how late a late answer is.
	Delay clock.Millis `json:"delay_ms,omitempty"`
	// Route starts the paths concerned.
	PathPrefix string `json:"route,omitempty"`
}

// ReportFault spoils load reports and the load header.
type ReportFault struct {
	// Lag shows the load as it was this long ago.
	Lag clock.Millis `json:"lag_ms,omitempty"`
	// Frozen shows the load as it was when the fault was set.
	Frozen bool `json:"frozen,omitempty"`
	// Running, if set, is shown instead of the truth.
	Running *int `json:"running,omitempty"`
}

// SetFaults replaces the faults in force.
func (e *Endpoint) SetFaults(faults Faults) {
	now := e.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if faults.Leaving && !e.faults.Leaving {
		e.leavingAt = now
		e.counts.RunsWhileLeaving, e.counts.LastRunWhileLeaving = 0, 0
	}
	e.faults, e.faultsAt = faults, now
}

// Faults returns the faults in force.
func (e *Endpoint) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// versionFault returns the version's fault as it shows for a path now.
func (e *Endpoint) versionFault(path string) VersionFault {
	now := e.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	fault := e.faults.Version
	if now-e.faultsAt < fault.After || e.running < fault.MinRunning || !strings.HasPrefix(path, fault.PathPrefix) {
		return VersionFault{}
	}
	return fault
}

// isControl serves the stand-in's own paths.
func (e *Endpoint) isControl(w http.ResponseWriter, request *http.Request) bool {
	switch request.Method + " " + request.URL.Path {
	case "GET /standin/faults":
		writeJSON(w, e.Faults())
	case "GET /standin/counts":
		writeJSON(w, e.Counts())
	case "PUT /standin/faults":
		var faults Faults
		decoder := json.NewDecoder(request.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return true
		}
		e.SetFaults(faults)
	default:
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
