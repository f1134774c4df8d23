package endpoint

import (
	"encoding/json"
	"net/http"
	"strings"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// Faults is the set of faults that the endpoint injects. The zero value is a healthy
// endpoint.
type Faults struct {
	// Leaving sets the state in load reports to leaving. The endpoint still runs the
	// requests that arrive.
	Leaving  bool          `json:"leaving,omitempty"`
	Version  VersionFault  `json:"version"`
	Response ResponseFault `json:"answer"`
	Report   ReportFault   `json:"report"`
}

// VersionFault simulates a faulty version. It affects a request only if all of After,
// MinRunning and PathPrefix hold.
type VersionFault struct {
	// Fail makes the endpoint respond with status 500 after the service time.
	Fail bool `json:"fail,omitempty"`
	// SlowPercent is how much longer the service time is, in percent.
	SlowPercent int `json:"slow_percent,omitempty"`
	// After is the time from setting the fault until it takes effect.
	After clock.Millis `json:"after_ms,omitempty"`
	// MinRunning is the number of requests that must hold a slot for the fault to
	// take effect.
	MinRunning int `json:"min_running,omitempty"`
	// PathPrefix limits the fault to requests whose path has this prefix.
	PathPrefix string `json:"route,omitempty"`
}

// ResponseFaultKind names a fault that is injected into responses.
type ResponseFaultKind string

// The kinds of response faults.
const (
	// LateResponse delays the response, even beyond the request's deadline.
	LateResponse ResponseFaultKind = "late"
	// MismatchedResponse sends the id and body of the response to another request.
	MismatchedResponse ResponseFaultKind = "crossed"
	// TruncatedResponse sends fewer bytes than Content-Length and closes the
	// connection.
	TruncatedResponse ResponseFaultKind = "cut"
	// DuplicateResponse sends the response twice on the same connection.
	DuplicateResponse ResponseFaultKind = "double"
)

// ResponseFault injects a fault into the responses to requests that ran.
type ResponseFault struct {
	// Kind is the fault; an empty Kind injects none.
	Kind ResponseFaultKind `json:"kind,omitempty"`
	// Every limits the fault to one in Every responses, counted over all paths; 0 means
	// every response.
	Every int `json:"every,omitempty"`
	// Delay is the delay of a LateResponse.
	Delay clock.Millis `json:"delay_ms,omitempty"`
	// PathPrefix limits the fault to requests whose path has this prefix.
	PathPrefix string `json:"route,omitempty"`
}

// ReportFault falsifies the load in load reports and in the load header.
type ReportFault struct {
	// Lag reports the load as it was this long ago.
	Lag clock.Millis `json:"lag_ms,omitempty"`
	// Frozen reports the load as it was when the faults were set.
	Frozen bool `json:"frozen,omitempty"`
	// Running, if set, is reported as the number of running requests.
	Running *int `json:"running,omitempty"`
}

// SetFaults replaces the current faults. If Leaving becomes true, the counts of runs
// while leaving start again from 0.
func (e *Endpoint) SetFaults(faults Faults) {
	now := e.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if faults.Leaving && !e.faults.Leaving {
		e.leavingSince = now
		e.counts.RunsWhileLeaving, e.counts.LastRunWhileLeaving = 0, 0
	}
	e.faults, e.faultsSetAt = faults, now
}

// Faults returns the current faults.
func (e *Endpoint) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// activeVersionFault returns the version fault that affects a request for path now, or
// the zero value if none does.
func (e *Endpoint) activeVersionFault(path string) VersionFault {
	now := e.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	fault := e.faults.Version
	if now-e.faultsSetAt < fault.After || e.running < fault.MinRunning || !strings.HasPrefix(path, fault.PathPrefix) {
		return VersionFault{}
	}
	return fault
}

// serveControl serves the control API of the stand-in. It returns false for all other
// requests.
func (e *Endpoint) serveControl(w http.ResponseWriter, request *http.Request) bool {
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
