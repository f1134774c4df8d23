package measure

import (
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"

	"baobabladder.example/baobabladder/internal/base/clock"
)

const (
	// maxMicros is the largest latency that a histogram tells apart.
	maxMicros = 120_000_000
	// histogramDigits is how many significant figures a histogram keeps.
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicros, histogramDigits)
}

// Latency is what answered requests took. All times are in microseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	// FloorP99 is the 99th percentile of the same requests' floors.
	FloorP99 int64 `json:"floor_p99_us"`
	// OverP50 and OverP99 are percentiles of each request's latency over its own
	// floor.
	OverP50 int64 `json:"over_p50_us"`
	OverP99 int64 `json:"over_p99_us"`

	over *hdrhistogram.Histogram
}

// measureLatency takes the answered samples that isWanted picks.
func measureLatency(ended []Sample, isWanted func(sample *Sample) bool) Latency {
	all, floor, over := newHistogram(), newHistogram(), newHistogram()
	for i := range ended {
		sample := &ended[i]
		if sample.Outcome != Answered || !isWanted(sample) {
			continue
		}
		_ = all.RecordValue(min(maxMicros, sample.LatencyMicros))
		_ = floor.RecordValue(sample.Floor)
		_ = over.RecordValue(min(maxMicros, max(0, sample.LatencyMicros-sample.Floor)))
	}
	return Latency{
		Count: all.TotalCount(), P50: all.ValueAtQuantile(50), P99: all.ValueAtQuantile(99), FloorP99: floor.ValueAtQuantile(99),
		OverP50: over.ValueAtQuantile(50), OverP99: over.ValueAtQuantile(99), over: over,
	}
}

// WorkspaceResult is how a workspace fared at a service. An empty workspace is the open
// look-ups.
type WorkspaceResult struct {
	Service   string `json:"service"`
	Workspace string `json:"workspace"`
	Sent      int    `json:"sent"`
	// Within is how many of them one bucket with the whole rate would admit.
	WithinRate int `json:"within"`
	InTime     int `json:"in_time"`
	// Refused and Failed are requests without an endpoint's good answer.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
}

// ServedShare is the share of the requests within the rate that were answered
// in time. What was answered beyond the rate does not count.
func (f *WorkspaceResult) ServedShare() float64 {
	if f.WithinRate == 0 {
		return 1
	}
	return min(1, float64(f.InTime)/float64(f.WithinRate))
}

// RefusedWithinRate is how many refusals can't be explained by the rate.
func (f *WorkspaceResult) RefusedWithinRate() int { return max(0, f.Refused-(f.Sent-f.WithinRate)) }

// fates sums samples up by service and workspace, sorted.
func fates(ended []Sample) (list []WorkspaceResult) {
	type place struct{ service, workspace string }
	byPlace := map[place]*WorkspaceResult{}
	for i := range ended {
		sample := &ended[i]
		at := place{sample.Service, sample.Workspace}
		if byPlace[at] == nil {
			byPlace[at] = &WorkspaceResult{Service: at.service, Workspace: at.workspace}
		}
		byPlace[at].add(sample)
	}
	for _, fate := range byPlace {
		list = append(list, *fate)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := &list[i], &list[j]
		return a.Service < b.Service || (a.Service == b.Service && a.Workspace < b.Workspace)
	})
	return list
}

func (f *WorkspaceResult) add(sample *Sample) {
	f.Sent++
	if sample.WithinRate {
		f.WithinRate++
	}
	switch {
	case sample.InTime():
		f.InTime++
	case sample.Outcome == Refused:
		f.Refused++
	case sample.Outcome == Failed:
		f.Failed++
	}
}

// worst returns the workspace with the least served share; the first one of
// equals. Open look-ups belong to no workspace.
func worst(list []WorkspaceResult) (found WorkspaceResult) {
	least := 2.0
	for i := range list {
		if share := list[i].ServedShare(); list[i].Workspace != "" && share < least {
			least, found = share, list[i]
		}
	}
	return found
}

func refusedInside(list []WorkspaceResult) (refused int) {
	for i := range list {
		if list[i].Workspace != "" {
			refused += list[i].RefusedWithinRate()
		}
	}
	return refused
}

// reasons counts the ends without an answer by outcome and reason.
func reasons(ended []Sample) map[string]int {
	counts := map[string]int{}
	for i := range ended {
		if sample := &ended[i]; sample.Outcome != Answered {
			counts[string(sample.Outcome)+" "+string(sample.Reason)]++
		}
	}
	return counts
}

// secondShares returns the share answered in time of what was sent in each
// second after the warm-up.
func secondShares(ended []Sample) (shares []float64) {
	sent, inTime := map[int64]int{}, map[int64]int{}
	for i := range ended {
		second := (ended[i].SendAt/1000 - int64(warmTime)) / int64(clock.Second)
		sent[second]++
		if ended[i].InTime() {
			inTime[second]++
		}
	}
	for second := int64(0); sent[second] > 0; second++ {
		shares = append(shares, float64(inTime[second])/float64(sent[second]))
	}
	return shares
}
