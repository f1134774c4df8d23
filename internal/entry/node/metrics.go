package node

import (
	"github.com/uber-go/tally/v4"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/logging"
	"baobabladder.example/baobabladder/internal/base/metric"
	"baobabladder.example/baobabladder/internal/control/roster"
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

// reportGauges shows what the VM knows.
func (n *Node) reportGauges(members []roster.Member) {
	scope := n.metrics.Scope
	if table := n.gateway.Table(); table != nil {
		scope.Gauge("configuration_version").Update(float64(table.Version))
	}
	heard := 0
	for _, member := range members {
		if member.Reachable && member.ID.Name != n.id.Name {
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
