package endpoint

import (
	"fmt"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// maxLoadSamples limits the length of loadHistory, and so the past that ReportFault.Lag
// and ReportFault.Frozen can report.
const maxLoadSamples = 4096

// Report is the load report of an endpoint. Running is the number of requests that hold a
// slot, Slots the value of Endpoint.Slots.
type Report struct {
	Name    string   `json:"name"`
	Version string   `json:"version"`
	State   vm.State `json:"state"`
	Running int      `json:"running"`
	Slots   int      `json:"slots"`
}

// loadSample is the number of requests that held a slot from a point in time until the
// next sample.
type loadSample struct {
	at      clock.Millis
	running int
}

// Report returns the load report, changed as the current faults demand.
func (e *Endpoint) Report() Report {
	now := e.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	report := Report{Name: e.Name, Version: e.Version, State: vm.StateLive, Running: e.reportedRunning(now), Slots: e.Slots}
	if e.faults.Leaving {
		report.State = vm.StateLeaving
	}
	return report
}

// loadHeader returns the value of the load header, "running/slots", as in the report.
func (e *Endpoint) loadHeader() string {
	report := e.Report()
	return fmt.Sprintf("%d/%d", report.Running, report.Slots)
}

// reportedRunning returns the number of running requests to report. The caller must hold
// mu.
func (e *Endpoint) reportedRunning(now clock.Millis) int {
	fault := e.faults.Report
	switch {
	case fault.Running != nil:
		return *fault.Running
	case fault.Frozen:
		return e.runningAt(e.faultsSetAt)
	case fault.Lag > 0:
		return e.runningAt(now - fault.Lag)
	default:
		return e.running
	}
}

// runningAt returns the number of running requests at a past time. The caller must hold
// mu.
func (e *Endpoint) runningAt(at clock.Millis) (running int) {
	for _, load := range e.loadHistory {
		if load.at > at {
			break
		}
		running = load.running
	}
	return running
}

// recordLoad appends the current number of running requests to loadHistory. When the
// history is full, it drops the older half first. The caller must hold mu.
func (e *Endpoint) recordLoad() {
	if len(e.loadHistory) >= maxLoadSamples {
		e.loadHistory = append([]loadSample(nil), e.loadHistory[maxLoadSamples/2:]...)
	}
	e.loadHistory = append(e.loadHistory, loadSample{e.Clock.Now(), e.running})
}
