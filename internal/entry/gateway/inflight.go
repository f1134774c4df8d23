package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/logging"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/wire/caller"
)

// PlannedStop is when a VM that is stopping began to stop, and when it ends.
type PlannedStop struct{ Begin, End clock.Millis }

// InterruptAt returns when the requests that are still in flight are interrupted.
func (p PlannedStop) InterruptAt() clock.Millis {
	return p.End - min(maxInterruptedAnswerTime, (p.End-p.Begin)/interruptedAnswerDivisor)
}

// The answers to interrupted requests are written just before the end of the VM, for a part of
// the whole stop.
const (
	// interruptedAnswerDivisor gives that part, maxInterruptedAnswerTime bounds it.
	interruptedAnswerDivisor = 25
	maxInterruptedAnswerTime = 200 * clock.Millis(1)
)

// errVMEnds is the cause with which the end of the VM interrupts a request.
var errVMEnds = errors.New("this VM ends before the request has ended")

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

// Interrupt ends the requests in flight. Their callers get refusals, unless a response has
// begun.
func (g *Gateway) Interrupt() {
	for _, c := range g.inFlight.all() {
		c.interrupt(errVMEnds)
	}
}

// isInterrupted reports whether the end of the VM interrupted the request with context ctx.
func isInterrupted(ctx context.Context) bool { return context.Cause(ctx) == errVMEnds }

// interrupted returns the error of a request, with the reason if the end of the VM has
// interrupted it.
func interrupted(ctx context.Context, err error) error {
	if err == nil || !isInterrupted(ctx) {
		return err
	}
	copied := *caller.AsRefusal(err)
	copied.Reason, copied.Detail, copied.RetryAfter = reason.Stopping, errVMEnds.Error(), stoppingRetryAfter
	return &copied
}

// afterInterrupt returns the error of a request that has ended, and counts the request if
// the end of the VM has interrupted it and it may have run.
func (c *call) afterInterrupt(ctx context.Context, err error) error {
	err = interrupted(ctx, err)
	if err != nil && isInterrupted(ctx) && caller.AsRefusal(err).Ran != reason.RanNo {
		c.recordInterrupted()
	}
	return err
}

// recordInterrupted counts a request that the end of the VM interrupts.
func (c *call) recordInterrupted() {
	if c.gateway.RecordInterrupted != nil {
		c.gateway.RecordInterrupted(string(c.route.Work))
	}
}

// RecordUnfinished logs and counts the requests that are in flight although they were
// interrupted. It must be called just before the VM ends.
func (g *Gateway) RecordUnfinished() {
	for _, c := range g.inFlight.all() {
		c.recordInterrupted()
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
