package gateway

import (
	"maps"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/logging"
)

// PlannedStop is when a VM that is stopping began to stop, and when it ends.
type PlannedStop struct{ Begin, End clock.Millis }

// plannedStop returns the VM's planned stop, if it is stopping.
func (g *Gateway) plannedStop() (stop PlannedStop, isStopping bool) {
	if g.PlannedStop == nil {
		return PlannedStop{}, false
	}
	return g.PlannedStop()
}

// inFlight holds the requests in flight, from the check of their keys to the end of their
// responses. Its zero value is ready to use.
type inFlight struct {
	mu sync.Mutex
	// calls is guarded by mu.
	calls map[*call]struct{}
}

// add adds a call. The function that it returns removes the call.
func (f *inFlight) add(c *call) (remove func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.calls == nil {
		f.calls = map[*call]struct{}{}
	}
	f.calls[c] = struct{}{}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.calls, c)
	}
}

// all returns the calls in flight.
func (f *inFlight) all() []*call {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.calls))
}

// RecordUnfinished logs and counts the requests in flight, which the end of the VM
// interrupts. It must be called just before the VM ends.
func (g *Gateway) RecordUnfinished() {
	for _, c := range g.inFlight.all() {
		if g.RecordInterrupted != nil {
			g.RecordInterrupted(string(c.route.Work))
		}
		if g.Log != nil && g.LogBudget.Allow(logging.KindOutcomeUnknown) {
			g.Log.WithFields(c.unfinishedFields()).Warn("the VM ends before the request has ended")
		}
	}
}

// unfinishedFields returns the fields that describe a call in flight in a log line. Its
// handler is running, so only what does not change any more may be read.
func (c *call) unfinishedFields() logrus.Fields {
	fields := logrus.Fields{"request_id": c.id, "route": c.route.Name, "after_ms": c.gateway.Clock.Now() - c.arrived}
	if c.workspace != nil {
		fields["workspace"] = c.workspace.Name
	}
	if c.isForwarded {
		fields["is_forwarded"] = true
	}
	if sentTo := c.sentTo.Load(); sentTo != nil {
		fields["sent_to"] = *sentTo
	}
	c.addStop(fields)
	return fields
}

// addStop adds, if the VM is stopping, how long after the beginning of the stop the request
// arrived, and how much time is left until the VM ends.
func (c *call) addStop(fields logrus.Fields) {
	if stop, isStopping := c.gateway.plannedStop(); isStopping {
		fields["since_stop_ms"], fields["until_end_ms"] = c.arrived-stop.Begin, stop.End-c.gateway.Clock.Now()
	}
}
