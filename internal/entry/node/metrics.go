package node

import (
	"context"
	"sync"

	"github.com/joomcode/errorx"
	"github.com/uber-go/tally/v4"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/logging"
	"baobabladder.example/baobabladder/internal/base/metric"
	"baobabladder.example/baobabladder/internal/control/roster"
	"baobabladder.example/baobabladder/internal/control/tracker"
)

// latencyBuckets are the upper bounds of the latency histogram.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets((10 * clock.Millis(1)).Duration(), 2, 12)

// latencies returns a function that puts an answer's time into the histogram of
// its kind of work and outcome.
func latencies(registry *metric.Registry) func(work, outcome string, took clock.Millis) {
	return func(work, outcome string, took clock.Millis) {
		registry.Scope.Tagged(map[string]string{"work": work, "outcome": outcome}).
			Histogram("request_seconds", latencyBuckets).RecordDuration(took.Duration())
	}
}

// outcomes returns a function that counts tries at endpoints.
func outcomes(registry *metric.Registry) func(outcome string) {
	return func(outcome string) {
		registry.Scope.Tagged(map[string]string{"outcome": outcome}).Counter("endpoint_outcomes").Inc(1)
	}
}

// directSource calls the store, counts the calls and remembers whether the store
// answers this VM.
type directSource struct {
	tracker.Source
	scope tally.Scope
	clock clock.Clock

	mu sync.Mutex
	// answeredAt and failedAt are when the last call ended that was answered, or was
	// not. Guarded by mu.
	answeredAt, failedAt clock.Millis
	hasFailed            bool
}

// List implements tracker.Source.
func (d *directSource) List(ctx context.Context, kind string) (objects []tracker.Object, revision int64, err error) {
	defer func() { d.note(kind, "list", err) }()
	return d.Source.List(ctx, kind)
}

// Watch implements tracker.Source.
func (d *directSource) Watch(ctx context.Context, kind string, after int64, wait clock.Millis) (objects []tracker.Object, revision int64, err error) {
	defer func() { d.note(kind, "watch", err) }()
	return d.Source.Watch(ctx, kind, after, wait)
}

func (d *directSource) note(kind, call string, err error) {
	isAnswer := err == nil || errorx.IsOfType(err, tracker.ErrHistoryGone)
	outcome := "answered"
	d.mu.Lock()
	if isAnswer {
		d.answeredAt = d.clock.Now()
	} else {
		outcome = "failed"
		d.failedAt, d.hasFailed = d.clock.Now(), true
	}
	d.mu.Unlock()
	d.scope.Tagged(map[string]string{"kind": kind, "call": call, "outcome": outcome}).Counter("store_calls").Inc(1)
}

// turnedAwaySpan is how long a VM that the store did not answer is taken not to
// reach it, unless it is answered before. Such a VM follows others meanwhile.
const turnedAwaySpan = 10 * clock.Second

// mayReach says whether the store answers this VM, as far as it knows.
func (d *directSource) mayReach() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.hasFailed || d.answeredAt > d.failedAt || d.clock.Now()-d.failedAt > turnedAwaySpan
}

// reportGauges shows what the VM knows.
func (n *Node) reportGauges(members []roster.Member) {
	scope := n.metrics.Scope
	if table := n.gateway.Table(); table != nil {
		scope.Gauge("configuration_version").Update(float64(table.Version))
	}
	heard := 0
	for _, member := range members {
		if member.Heard && member.ID.Name != n.id.Name {
			heard++
		}
	}
	scope.Gauge("peers_heard").Update(float64(heard))
	scope.Gauge("endpoints_known").Update(float64(n.known.countEndpoints()))
	for _, feed := range n.feeds {
		scope.Tagged(map[string]string{"kind": feed.Kind}).Gauge("knowledge_age_seconds").Update(float64(feed.Age()) / float64(clock.Second))
	}
	for workspace, demand := range n.quota.Demand() {
		scope.Tagged(map[string]string{"workspace": workspace}).Gauge("workspace_demand").Update(demand)
	}
}

// dropped returns a function that counts log lines that were not written.
func dropped(registry *metric.Registry) func(kind logging.Kind, count int64) {
	return func(kind logging.Kind, count int64) {
		registry.Scope.Tagged(map[string]string{"kind": string(kind)}).Counter("log_lines_dropped").Inc(count)
	}
}
