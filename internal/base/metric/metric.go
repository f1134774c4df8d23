// Package metric collects the counters and gauges of a process through tally and
// shows them on a page of text.
package metric

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/reason"
)

// reportInterval is how far the page may lag behind the counters.
const reportInterval = 500 * clock.Millis(1)

// Registry is the root of a process's metrics. Make it with New.
type Registry struct {
	// Scope is the root under which all metrics are made.
	Scope  tally.Scope
	closer func() error

	mu sync.Mutex
	// values holds the last reported sum or level by name and tags. Guarded by mu.
	values map[string]float64
}

// New returns a Registry that reports until Close.
func New() *Registry {
	registry := &Registry{values: map[string]float64{}}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{Prefix: "baobabladder", Separator: "_", Reporter: registry, OmitCardinalityMetrics: true}, reportInterval.Duration())
	registry.Scope = scope
	registry.closer = closer.Close
	return registry
}

// Close reports once more and stops.
func (r *Registry) Close() error { return r.closer() }

// ServeHTTP shows one "name{tag="value"} number" a line, sorted.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	lines := make([]string, 0, len(r.values))
	for name, value := range r.values {
		lines = append(lines, fmt.Sprintf("%s %g\n", name, value))
	}
	r.mu.Unlock()
	sort.Strings(lines)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, line := range lines {
		_, _ = w.Write([]byte(line))
	}
}

// Capabilities implements tally.StatsReporter.
func (r *Registry) Capabilities() tally.Capabilities { return r }

// Reporting implements tally.Capabilities.
func (r *Registry) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (r *Registry) Tagging() bool { return true }

// Flush implements tally.StatsReporter.
func (r *Registry) Flush() {}

// ReportCounter implements tally.StatsReporter.
func (r *Registry) ReportCounter(name string, tags map[string]string, value int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values[label(name, tags)] += float64(value)
}

// ReportGauge implements tally.StatsReporter.
func (r *Registry) ReportGauge(name string, tags map[string]string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values[label(name, tags)] = value
}

// ReportTimer implements tally.StatsReporter; it keeps sum and count.
func (r *Registry) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values[label(name+"_sum_seconds", tags)] += interval.Seconds()
	r.values[label(name+"_count", tags)]++
}

// ReportHistogramValueSamples implements tally.StatsReporter.
func (r *Registry) ReportHistogramValueSamples(name string, tags map[string]string, _ tally.Buckets, _, upper float64, samples int64) {
	r.ReportCounter(fmt.Sprintf("%s_upto_%g", name, upper), tags, samples)
}

// ReportHistogramDurationSamples implements tally.StatsReporter.
func (r *Registry) ReportHistogramDurationSamples(name string, tags map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64) {
	r.ReportCounter(fmt.Sprintf("%s_upto_%s", name, upper), tags, samples)
}

func label(name string, tags map[string]string) string {
	if len(tags) == 0 {
		return name
	}
	pairs := make([]string, 0, len(tags))
	for tag, value := range tags {
		pairs = append(pairs, fmt.Sprintf("%s=%q", tag, value))
	}
	sort.Strings(pairs)
	return name + "{" + strings.Join(pairs, ",") + "}"
}

// Reasons is one counter for each reason, made at first use. Make it with
// ByReason.
type Reasons struct {
	scope tally.Scope
	name  string
	// counters maps a reason.Reason to its tally.Counter.
	counters sync.Map
}

// ByReason returns the counters called name, tagged with a reason.
func ByReason(scope tally.Scope, name string) *Reasons {
	return &Reasons{scope: scope, name: name}
}

// Inc counts one occurrence.
func (r *Reasons) Inc(why reason.Reason) {
	counter, found := r.counters.Load(why)
	if !found {
		made := r.scope.Tagged(map[string]string{"reason": string(why)}).Counter(r.name)
		counter, _ = r.counters.LoadOrStore(why, made)
	}
	counter.(tally.Counter).Inc(1)
}
