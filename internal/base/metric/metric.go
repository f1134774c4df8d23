// Package metric collects the counters, gauges and histograms of a process
// through tally and serves them in the Prometheus text format.
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

// reportInterval is the maximum delay before a change of a metric is visible on
// the metrics page.
const reportInterval = 500 * clock.Millis(1)

// Registry holds the metrics of a process. Create it with New.
type Registry struct {
	// Scope is the tally scope in which all metrics are created.
	Scope  tally.Scope
	closer func() error

	mu sync.Mutex
	// families holds the reported metrics by name. Guarded by mu.
	families map[string]*family
}

// Prometheus metric types.
const (
	counterType   = "counter"
	gaugeType     = "gauge"
	histogramType = "histogram"
)

// family holds all series of one metric name.
type family struct {
	kind string
	// values holds the current value of each counter or gauge, by formatted
	// labels.
	values map[string]float64
	// buckets holds the number of samples in each bucket of a histogram, by
	// formatted labels and the bucket's upper bound.
	buckets map[string]map[float64]int64
}

// New returns a Registry that collects metrics until Close is called.
func New() *Registry {
	registry := &Registry{families: map[string]*family{}}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{Prefix: prefix, Separator: "_", Reporter: registry, OmitCardinalityMetrics: true}, reportInterval.Duration())
	registry.Scope = scope
	registry.closer = closer.Close
	return registry
}

// prefix is the prefix of every metric name.
const prefix = "baobabladder"

// Close collects the metrics a last time and stops collecting.
func (r *Registry) Close() error { return r.closer() }

// ServeHTTP serves all metrics in the Prometheus text format, sorted by name.
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

// writeBuckets writes one histogram. The count of a bucket is cumulative, as
// Prometheus expects. There is no sum, because tally reports only counts.
func writeBuckets(text *strings.Builder, name, labels string, buckets map[float64]int64) {
	separator := ","
	if labels == "" {
		separator = ""
	}
	var cumulative int64
	for _, upper := range slices.Sorted(maps.Keys(buckets)) {
		cumulative += buckets[upper]
		bound := fmt.Sprintf("%g", upper)
		if upper >= overflowBound {
			continue
		}
		fmt.Fprintf(text, "%s_bucket{%s%sle=%q} %d\n", name, labels, separator, bound, cumulative)
	}
	fmt.Fprintf(text, "%s_bucket{%s%sle=\"+Inf\"} %d\n%s_count%s %d\n", name, labels, separator, cumulative, name, braced(labels), cumulative)
}

// overflowBound is greater than every finite bucket bound, in seconds. Buckets
// from it on belong to +Inf.
const overflowBound = 1e9

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

// family returns the family with the given name, creating it if needed. The
// caller must hold mu.
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
	r.family(name, counterType).values[formatLabels(tags)] += float64(value)
}

// ReportGauge implements tally.StatsReporter.
func (r *Registry) ReportGauge(name string, tags map[string]string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.family(name, gaugeType).values[formatLabels(tags)] = value
}

// ReportTimer implements tally.StatsReporter. It records the sum in seconds and
// the count.
func (r *Registry) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.family(name+"_sum_seconds", counterType).values[formatLabels(tags)] += interval.Seconds()
	r.family(name+"_count", counterType).values[formatLabels(tags)]++
}

// ReportHistogramValueSamples implements tally.StatsReporter.
func (r *Registry) ReportHistogramValueSamples(name string, tags map[string]string, _ tally.Buckets, _, upper float64, samples int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	buckets := r.family(name, histogramType).buckets
	labels := formatLabels(tags)
	if buckets[labels] == nil {
		buckets[labels] = map[float64]int64{}
	}
	buckets[labels][upper] += samples
}

// ReportHistogramDurationSamples implements tally.StatsReporter. Bounds are in
// seconds.
func (r *Registry) ReportHistogramDurationSamples(name string, tags map[string]string, buckets tally.Buckets, lower, upper time.Duration, samples int64) {
	r.ReportHistogramValueSamples(name, tags, buckets, lower.Seconds(), upper.Seconds(), samples)
}

func formatLabels(tags map[string]string) string {
	pairs := make([]string, 0, len(tags))
	for tag, value := range tags {
		pairs = append(pairs, fmt.Sprintf("%s=%q", tag, value))
	}
	sort.Strings(pairs)
	return strings.Join(pairs, ",")
}

// ReasonCounters holds one counter per reason, created on first use. Create it
// with NewReasonCounters.
type ReasonCounters struct {
	scope tally.Scope
	name  string
	// counters maps each reason.Reason to its tally.Counter.
	counters sync.Map
}

// NewReasonCounters returns the counters with the given metric name and the tag
// "reason".
func NewReasonCounters(scope tally.Scope, name string) *ReasonCounters {
	return &ReasonCounters{scope: scope, name: name}
}

// Inc increments the counter of a reason.
func (r *ReasonCounters) Inc(cause reason.Reason) {
	counter, found := r.counters.Load(cause)
	if !found {
		created := r.scope.Tagged(map[string]string{"reason": string(cause)}).Counter(r.name)
		counter, _ = r.counters.LoadOrStore(cause, created)
	}
	counter.(tally.Counter).Inc(1)
}
