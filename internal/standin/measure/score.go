package measure

import (
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"

	"baobabladder.example/baobabladder/internal/base/clock"
)

const (
	// maxLatencyMicros is the highest latency that a histogram records; longer ones
	// count as this.
	maxLatencyMicros = 120_000_000
	// histogramSignificantFigures is the precision of a histogram.
	histogramSignificantFigures = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, histogramSignificantFigures)
}

// Latency summarises the latencies of answered requests, in microseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	// FloorP99 is the 99th percentile of the floors of the same requests.
	FloorP99 int64 `json:"floor_p99_us"`
	// OverP50 and OverP99 are percentiles of the latency over the floor.
	OverP50 int64 `json:"over_p50_us"`
	OverP99 int64 `json:"over_p99_us"`

	// overFloor holds the latencies over the floor. A latency below the floor counts
	// as 0.
	overFloor *hdrhistogram.Histogram
}

// measureLatency summarises the latencies of the answered samples for which
// isIncluded returns true.
func measureLatency(completed []Sample, isIncluded func(sample *Sample) bool) Latency {
	latency, floor, over := newHistogram(), newHistogram(), newHistogram()
	for i := range completed {
		sample := &completed[i]
		if sample.Outcome != Answered || !isIncluded(sample) {
			continue
		}
		_ = latency.RecordValue(min(maxLatencyMicros, sample.LatencyMicros))
		_ = floor.RecordValue(sample.FloorMicros)
		_ = over.RecordValue(min(maxLatencyMicros, max(0, sample.LatencyMicros-sample.FloorMicros)))
	}
	return Latency{
		Count: latency.TotalCount(), P50: latency.ValueAtQuantile(50), P99: latency.ValueAtQuantile(99), FloorP99: floor.ValueAtQuantile(99),
		OverP50: over.ValueAtQuantile(50), OverP99: over.ValueAtQuantile(99), overFloor: over,
	}
}

// WorkspaceResult counts the requests of one workspace to one service by outcome.
// An empty workspace stands for the public look-ups.
type WorkspaceResult struct {
	Service   string `json:"service"`
	Workspace string `json:"workspace"`
	Sent      int    `json:"sent"`
	// WithinRate is how many of them a single token bucket with the workspace's whole
	// rate would admit.
	WithinRate int `json:"within"`
	InTime     int `json:"in_time"`
	// Refused and Failed count the requests with these outcomes. A request answered
	// after its deadline is in none of the three.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
}

// ServedShare returns the number of requests answered in time, divided by the number
// of those within the rate; 1 if there are none of these. It is capped at 1, because
// InTime also counts requests beyond the rate.
func (w *WorkspaceResult) ServedShare() float64 {
	if w.WithinRate == 0 {
		return 1
	}
	return min(1, float64(w.InTime)/float64(w.WithinRate))
}

// RefusedWithinRate returns the number of refusals that the rate does not explain:
// those in excess of the number of requests beyond the rate.
func (w *WorkspaceResult) RefusedWithinRate() int { return max(0, w.Refused-(w.Sent-w.WithinRate)) }

// workspaceResults counts samples by service and workspace, and sorts the results
// by the two.
func workspaceResults(completed []Sample) (results []WorkspaceResult) {
	type key struct{ service, workspace string }
	byKey := map[key]*WorkspaceResult{}
	for i := range completed {
		sample := &completed[i]
		k := key{sample.Service, sample.Workspace}
		if byKey[k] == nil {
			byKey[k] = &WorkspaceResult{Service: k.service, Workspace: k.workspace}
		}
		byKey[k].add(sample)
	}
	for _, result := range byKey {
		results = append(results, *result)
	}
	sort.Slice(results, func(i, j int) bool {
		a, b := &results[i], &results[j]
		return a.Service < b.Service || (a.Service == b.Service && a.Workspace < b.Workspace)
	})
	return results
}

func (w *WorkspaceResult) add(sample *Sample) {
	w.Sent++
	if sample.WithinRate {
		w.WithinRate++
	}
	switch {
	case sample.InTime():
		w.InTime++
	case sample.Outcome == Refused:
		w.Refused++
	case sample.Outcome == Failed:
		w.Failed++
	}
}

// worstWorkspace returns the result with the lowest served share, and the first of
// several equal ones. It skips public look-ups, as they belong to no workspace.
func worstWorkspace(results []WorkspaceResult) (worst WorkspaceResult) {
	lowest := 2.0
	for i := range results {
		if share := results[i].ServedShare(); results[i].Workspace != "" && share < lowest {
			lowest, worst = share, results[i]
		}
	}
	return worst
}

func refusedWithinRate(results []WorkspaceResult) (refused int) {
	for i := range results {
		if results[i].Workspace != "" {
			refused += results[i].RefusedWithinRate()
		}
	}
	return refused
}

// countReasons counts the requests that were not answered, by outcome and reason.
func countReasons(completed []Sample) map[string]int {
	counts := map[string]int{}
	for i := range completed {
		if sample := &completed[i]; sample.Outcome != Answered {
			counts[string(sample.Outcome)+" "+string(sample.Reason)]++
		}
	}
	return counts
}

// inTimeShares returns, for each second after the warm-up, the share of the
// requests sent in it that were answered in time.
func inTimeShares(completed []Sample) (shares []float64) {
	sent, inTime := map[int64]int{}, map[int64]int{}
	for i := range completed {
		second := (completed[i].SendAtMicros/1000 - int64(warmUpDuration)) / int64(clock.Second)
		sent[second]++
		if completed[i].InTime() {
			inTime[second]++
		}
	}
	for second := int64(0); sent[second] > 0; second++ {
		shares = append(shares, float64(inTime[second])/float64(sent[second]))
	}
	return shares
}
