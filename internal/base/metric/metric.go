// Package metric collects the counters and gauges of a process through tally and
// shows them in the Prometheus text format.
package metric

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
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
	// families holds what was reported, by name. Guarded by mu.
	families map[string]*family
}

// Types of metrics.
const (
	counterType   = "counter"
	gaugeType     = "gauge"
	histogramType = "histogram"
)

// family is all series of one name.
type family struct {
	kind string
	// values holds the last sum or level by label.
	values map[string]float64
	// buckets holds the samples of a histogram by label and upper bound.
	buckets map[string]map[float64]int64
}

// New returns a Registry that reports until Close.
func New() *Registry {
	registry := &Registry{families: map[string]*family{}}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{Prefix: prefix, Separator: "_", Reporter: registry, OmitCardinalityMetrics: true}, reportInterval.Duration())
	registry.Scope = scope
	registry.closer = closer.Close
	return registry
}

// prefix starts the name of each metric.
const prefix = "baobabladder"

// Close reports once more and stops.
func (r *Registry) Close() error { return r.closer() }

// ServeHTTP shows all metrics in the Prometheus text format, sorted.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_, _ = w.Write([]byte(r.text()))
}

func (r *Registry) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(r.families)) {
		f := r.families[name]
		fmt.Fprintf(&text, "# HELP %s %s\n# TYPE %s %s\n", name, Help(name), name, f.kind)
		for _, labels := range slices.Sorted(maps.Keys(f.values)) {
			fmt.Fprintf(&text, "%s%s %g\n", name, braced(labels), f.values[labels])
		}
		for _, labels := range slices.Sorted(maps.Keys(f.buckets)) {
			writeBuckets(&text, name, labels, f.buckets[labels])
		}
	}
	return text.String()
}

// writeBuckets writes one histogram; its buckets count what they hold and all
// below. The sum is not known: tally reports only counts.
func writeBuckets(text *strings.Builder, name, labels string, buckets map[float64]int64) {
	separator := ","
	if labels == "" {
		separator = ""
	}
	var below int64
	for _, upper := range slices.Sorted(maps.Keys(buckets)) {
		below += buckets[upper]
		bound := fmt.Sprintf("%g", upper)
		if upper >= overflow {
			continue
		}
		fmt.Fprintf(text, "%s_bucket{%s%sle=%q} %d\n", name, labels, separator, bound, below)
	}
	fmt.Fprintf(text, "%s_bucket{%s%sle=\"+Inf\"} %d\n%s_count%s %d\n", name, labels, separator, below, name, braced(labels), below)
}

// overflow is above every real bound, in seconds.
const overflow = 1e9

func braced(labels string) string {
	if labels == "" {
		return ""
	}
	return "{" + labels + "}"
}

// Capabilities implements tally.StatsReporter.
func (r *Registry) Capabilities() tally.Capabilities { return r }

// Reporting implements tally.Capabilities.
func (r *Registry) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (r *Registry) Tagging() bool { return true }

// Flush implements tally.StatsReporter.
func (r *Registry) Flush() {}

// family returns the family of a name. Callers hold mu.
func (r *Registry) family(name, kind string) *family {
	f := r.families[name]
	if f == nil {
		f = &family{kind: kind, values: map[string]float64{}, buckets: map[string]map[float64]int64{}}
		r.families[name] = f
	}
	return f
}

// ReportCounter implements tally.StatsReporter.
func (r *Registry) ReportCounter(name string, tags map[string]string, value int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.family(name, counterType).values[label(tags)] += float64(value)
}

// ReportGauge implements tally.StatsReporter.
func (r *Registry) ReportGauge(name string, tags map[string]string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.family(name, gaugeType).values[label(tags)] = value
}

// ReportTimer implements tally.StatsReporter; it keeps sum and count.
func (r *Registry) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.family(name+"_sum_seconds", counterType).values[label(tags)] += interval.Seconds()
	r.family(name+"_count", counterType).values[label(tags)]++
}

// ReportHistogramValueSamples implements tally.StatsReporter.
func (r *Registry) ReportHistogramValueSamples(name string, tags map[string]string, _ tally.Buckets, _, upper float64, samples int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	buckets := r.family(name, histogramType).buckets
	labels := label(tags)
	if buckets[labels] == nil {
		buckets[labels] = map[float64]int64{}
	}
	buckets[labels][upper] += samples
}

// ReportHistogramDurationSamples implements tally.StatsReporter; bounds are in
// seconds.
func (r *Registry) ReportHistogramDurationSamples(name string, tags map[string]string, buckets tally.Buckets, lower, upper time.Duration, samples int64) {
	r.ReportHistogramValueSamples(name, tags, buckets, lower.Seconds(), upper.Seconds(), samples)
}

func label(tags map[string]string) string {
	pairs := make([]string, 0, len(tags))
	for tag, value := range tags {
		pairs = append(pairs, fmt.Sprintf("%s=%q", tag, value))
	}
	sort.Strings(pairs)
	return strings.Join(pairs, ",")
}

// ReasonCounters is one counter for each reason, made at first use. Make it with
// ByReason.
type ReasonCounters struct {
	scope tally.Scope
	name  string
	// counters maps a reason.Reason to its tally.Counter.
	counters sync.Map
}

// NewReasonCounters returns the counters called name, tagged with a reason.
func NewReasonCounters(scope tally.Scope, name string) *ReasonCounters {
	return &ReasonCounters{scope: scope, name: name}
}

// Inc counts one occurrence.
func (r *ReasonCounters) Inc(why reason.Reason) {
	counter, found := r.counters.Load(why)
	if !found {
		made := r.scope.Tagged(map[string]string{"reason": string(why)}).Counter(r.name)
		counter, _ = r.counters.LoadOrStore(why, made)
	}
	counter.(tally.Counter).Inc(1)
}
