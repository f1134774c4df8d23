package metric_test

import (
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"baobabladder.example/baobabladder/internal/base/metric"
	"baobabladder.example/baobabladder/internal/base/reason"
)

// metricsPage closes a registry and returns its metrics page.
func metricsPage(registry *metric.Registry) string {
	_ = registry.Close()
	recorder := httptest.NewRecorder()
	registry.ServeHTTP(recorder, nil)
	return recorder.Body.String()
}

func TestMetricsAreServedInThePrometheusFormat(t *testing.T) {
	g := NewWithT(t)
	registry := metric.New()
	metric.NewReasonCounters(registry.Scope, "refusals").Inc(reason.RegionFull)
	registry.Scope.Gauge("peers_heard").Update(7)
	histogram := registry.Scope.Tagged(map[string]string{"work": "order"}).Histogram("request_seconds", tally.ValueBuckets{0.1, 1})
	for _, seconds := range []float64{0.05, 0.5, 0.6, 20} {
		histogram.RecordValue(seconds)
	}
	g.Expect(metricsPage(registry)).To(Equal(`# HELP baobabladder_peers_heard Other VMs that were heard lately.
# TYPE baobabladder_peers_heard gauge
baobabladder_peers_heard 7
# HELP baobabladder_refusals Requests that got no endpoint's answer, by reason.
# TYPE baobabladder_refusals counter
baobabladder_refusals{reason="region_full"} 1
# HELP baobabladder_request_seconds Time from a request's arrival to its answer's end, by kind of work and outcome.
# TYPE baobabladder_request_seconds histogram
baobabladder_request_seconds_bucket{work="order",le="0.1"} 1
baobabladder_request_seconds_bucket{work="order",le="1"} 3
baobabladder_request_seconds_bucket{work="order",le="+Inf"} 4
baobabladder_request_seconds_count{work="order"} 4
`))
}

// The reference documentation must list the same metrics, with the same help
// texts, as the code.
func TestEachMetricIsInTheReference(t *testing.T) {
	g := NewWithT(t)
	text, err := os.ReadFile("../../../docs/reference/metrics.md")
	g.Expect(err).NotTo(HaveOccurred())
	for _, name := range metric.Names() {
		g.Expect(string(text)).To(ContainSubstring("| `baobabladder_" + name + "` |"))
		g.Expect(string(text)).To(ContainSubstring(strings.TrimSuffix(metric.Help("baobabladder_"+name), ".")))
	}
	g.Expect(strings.Count(string(text), "| `baobabladder_")).To(Equal(len(metric.Names())))
}
