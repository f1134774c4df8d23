package node

import (
	"fmt"

	"github.com/uber-go/tally/v4"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/logging"
	"baobabladder.example/baobabladder/internal/base/metric"
	"baobabladder.example/baobabladder/internal/control/roster"
	"baobabladder.example/baobabladder/internal/entry/gateway"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/world/routing"
)

// latencyBuckets are the upper bounds of the latency histogram: 10 ms and eleven more,
// each twice the previous one.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets((10 * clock.Millis(1)).Duration(), 2, 12)

// latencyRecorder returns a function that records a request's duration in the
// histogram of its kind of work and outcome.
func latencyRecorder(registry *metric.Registry) func(work, outcome string, took clock.Millis) {
	return func(work, outcome string, took clock.Millis) {
		registry.Scope.Tagged(map[string]string{"work": work, "outcome": outcome}).
			Histogram("request_seconds", latencyBuckets).RecordDuration(took.Duration())
	}
}

// outcomeRecorder returns a function that counts attempts at endpoints by outcome.
func outcomeRecorder(registry *metric.Registry) func(outcome string) {
	return func(outcome string) {
		registry.Scope.Tagged(map[string]string{"outcome": outcome}).Counter("endpoint_outcomes").Inc(1)
	}
}

// oddityRecorder returns a function that counts what is unusual about attempts.
func oddityRecorder(registry *metric.Registry) func(oddity gateway.Oddity) {
	return func(oddity gateway.Oddity) {
		registry.Scope.Tagged(map[string]string{"kind": string(oddity)}).Counter("endpoint_oddities").Inc(1)
	}
}

// limitedSendRecorder returns a function that counts sends to endpoints that have
// named a limit: the first of each request, and its retries.
func limitedSendRecorder(registry *metric.Registry) func(isRetry bool) {
	return func(isRetry bool) {
		attempt := "first"
		if isRetry {
			attempt = "retry"
		}
		registry.Scope.Tagged(map[string]string{"attempt": attempt}).Counter("limited_sends").Inc(1)
	}
}

// headRecorder returns a function that counts refused heads by cause.
func headRecorder(registry *metric.Registry) func(cause caller.HeadCause) {
	return func(cause caller.HeadCause) {
		cause.Count(registry.Scope)
	}
}

// reservedRecorder returns a function that counts the requests that found only room which is
// reserved for higher priorities.
func reservedRecorder(registry *metric.Registry) func(service string) {
	return func(service string) {
		registry.Scope.Tagged(map[string]string{"service": service}).Counter("reserved_refusals").Inc(1)
	}
}

// onUndelivered counts and logs an answer that was not delivered.
func (n *Node) onUndelivered(undelivered caller.Undelivered) {
	undelivered.Count(n.metrics.Scope)
	if n.gateway.LogBudget.Allow(logging.KindUndelivered) {
		undelivered.LogTo(n.Log)
	}
}

// interruptedRecorder returns a function that counts the requests that the end of the VM
// interrupts, by kind of work.
func interruptedRecorder(registry *metric.Registry) func(work string) {
	return func(work string) {
		registry.Scope.Tagged(map[string]string{"work": work}).Counter("interrupted_requests").Inc(1)
	}
}

// waitRecorder returns a function that records the waits for room at endpoints, by the rank of
// the request ("WORKSPACE.ROUTE") and how the wait ended.
func waitRecorder(registry *metric.Registry) func(rank routing.Rank, outcome gateway.WaitOutcome, waited clock.Millis) {
	return func(rank routing.Rank, outcome gateway.WaitOutcome, waited clock.Millis) {
		registry.Scope.Tagged(map[string]string{"rank": fmt.Sprintf("%d.%d", rank.Workspace, rank.Route), "outcome": string(outcome)}).
			Histogram("room_wait_seconds", latencyBuckets).RecordDuration(waited.Duration())
	}
}

// reportGauges updates the gauges on the VM's knowledge and demand.
func (n *Node) reportGauges(members []roster.Member) {
	scope := n.metrics.Scope
	if table := n.gateway.Table(); table != nil {
		scope.Gauge("configuration_version").Update(float64(table.Version))
	}
	reachable := 0
	for _, member := range members {
		if member.Reachable && member.ID.Name != n.id.Name {
			reachable++
		}
	}
	scope.Gauge("peers_heard").Update(float64(reachable))
	scope.Gauge("endpoints_known").Update(float64(n.objects.countEndpoints()))
	cutOff := 0.0
	if n.reach.IsCutOff() {
		cutOff = 1
	}
	scope.Gauge("cut_off").Update(cutOff)
	scope.Gauge("waiting_requests").Update(float64(n.gateway.Waiting.Count()))
	scope.Gauge("requests_blocked").Update(float64(n.blocklist.Count()))
	scope.Gauge("store_era").Update(float64(n.Platform.Era()))
	scope.Gauge("endpoints_limited").Update(float64(len(n.balancer.LimitUses())))
	for _, feed := range n.feeds {
		age, isKnown := feed.Age()
		if !isKnown {
			age = n.clock.Now() - n.startedAt
		}
		scope.Tagged(map[string]string{"kind": feed.Kind}).Gauge("knowledge_age_seconds").Update(float64(age) / float64(clock.Second))
	}
	for workspace, demand := range n.quota.Demand() {
		scope.Tagged(map[string]string{"workspace": workspace}).Gauge("workspace_demand").Update(demand)
	}
}

// dropRecorder returns a function that counts dropped log lines by kind.
func dropRecorder(registry *metric.Registry) func(kind logging.Kind, count int64) {
	return func(kind logging.Kind, count int64) {
		registry.Scope.Tagged(map[string]string{"kind": string(kind)}).Counter("log_lines_dropped").Inc(count)
	}
}
