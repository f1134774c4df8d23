package endpoint

import (
	"fmt"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// keptReports bounds how far back a lagging report can look.
const keptReports = 4096

// Report is what an endpoint says of itself.
type Report struct {
	Name    string   `json:"name"`
	Version string   `json:"version"`
	State   vm.State `json:"state"`
	Running int      `json:"running"`
	Slots   int      `json:"slots"`
}

// loadAt is how many requests held a slot from some time on.
type loadAt struct {
	at      clock.Millis
	running int
}

// Report returns the load report, which a fault may spoil.
func (e *Endpoint) Report() Report {
	now := e.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	report := Report{Name: e.Name, Version: e.Version, State: vm.StateLive, Running: e.reported(now), Slots: e.Slots}
	if e.faults.Leaving {
		report.State = vm.StateLeaving
	}
	return report
}

// loadHeader returns "running/slots" as reported.
func (e *Endpoint) loadHeader() string {
	report := e.Report()
	return fmt.Sprintf("%d/%d", report.Running, report.Slots)
}

// reported returns the running count to show. Callers hold mu.
func (e *Endpoint) reported(now clock.Millis) int {
	fault := e.faults.Report
	switch {
	case fault.Running != nil:
		return *fault.Running
	case fault.Frozen:
		return e.runningAt(e.faultsAt)
	case fault.Lag > 0:
		return e.runningAt(now - fault.Lag)
	default:
		return e.running
	}
}

// runningAt returns the running count at a past time. Callers hold mu.
func (e *Endpoint) runningAt(at clock.Millis) (running int) {
	for _, load := range e.reports {
		if load.at > at {
			break
		}
		running = load.running
	}
	return running
}

// noteLoad keeps the running count for later reports. Callers hold mu.
func (e *Endpoint) noteLoad() {
	if len(e.reports) >= keptReports {
		e.reports = append([]loadAt(nil), e.reports[keptReports/2:]...)
	}
	e.reports = append(e.reports, loadAt{e.Clock.Now(), e.running})
}
