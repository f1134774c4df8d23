package move

import (
	"fmt"
	"math"
	"sort"

	"baobabladder.example/baobabladder/internal/policy/likelihood"
)

const (
	// bucketsPerOctave sets the resolution of latencies to about 9%.
	bucketsPerOctave = 8
	// bucketCount spans 100 µs to about 1,600 s.
	bucketCount     = 192
	minBucketMicros = 100

	// minFailures is the least number of failures that can show a fault. A
	// single one may be chance.
	minFailures = 2
	// minSlowResponses is the least number of slow responses that can show a fault.
	minSlowResponses = 3
	// minRateDifference is the least difference, in thousandths, between the
	// failure rates of the new and the old version that counts as a fault, even if
	// the difference is certain.
	minRateDifference = 5
	// sequentialTestRatio is the likelihood ratio above which the sequential test
	// finds a fault: how much likelier the failures are for a faulty version of
	// unknown failure rate than for one as good as the old one. A good version
	// exceeds it in at most one of sequentialTestRatio attempts, no matter how
	// often it is tested.
	sequentialTestRatio = 4500
	// slowTestRatio is the same for slow responses. It is smaller because a version within
	// its latency limit usually has far fewer of them than expectedSlowShare.
	slowTestRatio = 500
	// failureMaxP is a significance level: failures that are less probable than that, for a
	// version as good as the old one, are not attributed to chance. It is strict because
	// every VM tests again and again.
	failureMaxP = 3e-6
	// doubtMaxP is the significance level for failures if a step must end without
	// enough responses.
	doubtMaxP = 0.05
	// minWindowResponses bounds the number of windows for which the sequential test
	// corrects: a window counts as one with at least that many responses of the new
	// version.
	minWindowResponses = 10
	// toleratedFailureRate is the failure rate that the sequential test accepts for
	// any version.
	toleratedFailureRate = 0.01
	// minOldResponses is the number of responses from which the old version's latency
	// counts as known.
	minOldResponses = 10
	// maxColdResponses is the number of an endpoint's first responses that may be slow
	// because the endpoint is cold.
	maxColdResponses = 3
	// coldHangBuckets is how much longer, in latency buckets, a request on a cold
	// endpoint must last than a slow response to count as a hang.
	coldHangBuckets = 3 * bucketsPerOctave
	// expectedSlowShare is the expected share of responses above the 90th percentile. It
	// counts as much as slowShareWeight responses of the old version.
	expectedSlowShare = 0.1
	slowShareWeight   = 2
)

// Counts holds the results of one version's requests on a route.
type Counts struct {
	Answers  int64
	Failures int64
	// Latency counts successful responses by latency bucket, except the new version's
	// responses from cold endpoints. It may be shorter than bucketCount.
	Latency []int64
}

// VersionCounts holds the counts of both versions over the same time.
type VersionCounts struct {
	New Counts
	Old Counts
}

// Evidence holds the results that one VM got on one route in the current attempt.
type Evidence struct {
	Service string
	Attempt int64
	Route   string
	// Minute and TenMinutes cover the last minute and the last ten minutes,
	// Stage the time since the current step began on that VM. A fault that
	// starts late shows in a short window, a rare one in a long window.
	Minute, TenMinutes, Stage VersionCounts
	// Whole covers the attempt. Its counts of the old version are used where a
	// shorter window has too few.
	Whole VersionCounts
	// StageStep is the step to which Stage belongs.
	StageStep int
	// Cold holds the latencies of the new version's first responses from each endpoint,
	// at most maxColdResponses for each start of an endpoint that the VM knows of.
	// These responses are in no Latency of the counts above.
	Cold []ColdResponse
}

// ColdResponse is a response from an endpoint that may not have been warmed up.
type ColdResponse struct {
	Endpoint string
	// Bucket is the latency bucket.
	Bucket int
}

// add adds the counts of other to c.
func (c *Counts) add(other *Counts) {
	c.Answers += other.Answers
	c.Failures += other.Failures
	for len(c.Latency) < len(other.Latency) {
		c.Latency = append(c.Latency, 0)
	}
	for i, n := range other.Latency {
		c.Latency[i] += n
	}
}

// record counts one request. The latencies of failures and of responses from cold
// endpoints are left out.
func (c *Counts) record(isGood, isCold bool, micros int64) {
	c.Answers++
	switch {
	case !isGood:
		c.Failures++
	case !isCold:
		c.recordLatency(latencyBucket(micros))
	}
}

func (c *Counts) recordLatency(at int) {
	for len(c.Latency) <= at {
		c.Latency = append(c.Latency, 0)
	}
	c.Latency[at]++
}

// clear resets c and keeps its memory.
func (c *Counts) clear() {
	c.Answers, c.Failures = 0, 0
	clear(c.Latency)
}

// Add adds the counts of other to c.
func (c *VersionCounts) Add(other *VersionCounts) {
	c.New.add(&other.New)
	c.Old.add(&other.Old)
}

// Clear resets c and keeps its memory.
func (c *VersionCounts) Clear() {
	c.New.clear()
	c.Old.clear()
}

func latencyBucket(micros int64) int {
	if micros <= minBucketMicros {
		return 0
	}
	at := int(bucketsPerOctave * math.Log2(float64(micros)/minBucketMicros))
	return min(at, bucketCount-1)
}

// successes returns the number of responses that were not failures.
func (c *Counts) successes() int64 { return c.Answers - c.Failures }

// latencyCount returns the number of responses with a recorded latency.
func (c *Counts) latencyCount() (count int64) {
	for _, n := range c.Latency {
		count += n
	}
	return count
}

// percentile90 returns the bucket of the 90th percentile.
func (c *Counts) percentile90() int {
	remaining := c.latencyCount() / 10
	for i := len(c.Latency) - 1; i >= 0; i-- {
		remaining -= c.Latency[i]
		if remaining < 0 {
			return i
		}
	}
	return 0
}

// countAbove returns the number of responses in higher latency buckets than at.
func (c *Counts) countAbove(at int) (count int64) {
	for i := at + 1; i < len(c.Latency); i++ {
		count += c.Latency[i]
	}
	return count
}

// slowBucket returns the bucket above which a response is slow. It returns false if too
// few responses of the old version are known.
func slowBucket(old *Counts, maxSlowdownPercent int) (at int, isKnown bool) {
	if old.latencyCount() < minOldResponses {
		return 0, false
	}
	factor := 1 + float64(maxSlowdownPercent)/100
	return old.percentile90() + int(math.Ceil(bucketsPerOctave*math.Log2(factor))), true
}

// fault returns a description of the new version's fault in the counts of one
// window, or "" if there is none. attempt holds the counts of the whole attempt.
func (c *VersionCounts) fault(attempt *VersionCounts, maxSlowdownPercent int) string {
	if c.hasFailureFault(attempt) {
		return fmt.Sprintf("%d of %d failed, of the old version %d of %d", c.New.Failures, c.New.Answers, c.Old.Failures, c.Old.Answers)
	}
	if slowCount, isFault := c.slowResponses(attempt, maxSlowdownPercent); isFault {
		return fmt.Sprintf("%d of %d were more than %d%% slower than nine in ten of the old version", slowCount, c.New.latencyCount(), maxSlowdownPercent)
	}
	return ""
}

// hasFailureFault compares the failure rates of the versions. A fault that affects both
// versions alike, such as a region that is down, is not attributed to the new version.
// The sequential test finds large differences from few responses. The binomial test
// finds small differences from many responses: if the versions were alike, the failures
// would be distributed in proportion to the responses.
//
// The sequential test allows for repeated tests of the same and further responses.
// Every window of the attempt is another opportunity for a false positive, so a short
// window is tested more strictly the more such windows there were.
func (c *VersionCounts) hasFailureFault(attempt *VersionCounts) bool {
	if c.New.Failures < minFailures {
		return false
	}
	oldRate := ratio(c.Old.Failures, c.Old.Answers)
	if ratio(c.New.Failures, c.New.Answers)-oldRate < minRateDifference/1000.0 {
		return false
	}
	expected := max(toleratedFailureRate, oldRate, ratio(attempt.Old.Failures, attempt.Old.Answers))
	windows := windowCount(c.New.Answers, attempt.New.Answers)
	if likelihood.Ratio(c.New.Failures, c.New.Answers, expected) >= math.Log(sequentialTestRatio*windows) {
		return true
	}
	part := ratio(c.New.Answers, c.New.Answers+c.Old.Answers)
	return likelihood.IsUnlikely(c.New.Failures, c.New.Failures+c.Old.Failures, part, failureMaxP)
}

// isDoubtful reports whether there are too many failures to proceed without more
// responses, although they don't prove a fault.
func (c *VersionCounts) isDoubtful() bool {
	expected := max(toleratedFailureRate, ratio(c.Old.Failures, c.Old.Answers))
	return c.New.Failures > 0 && likelihood.IsUnlikely(c.New.Failures, c.New.Answers, expected, doubtMaxP)
}

// slowResponses returns the number of the new version's slow responses. It also reports
// whether these are more than chance explains, given that a tenth of the responses may be
// slow, or more if the old version's are at the same time. The old version's latency in the
// attempt is the baseline if there are too few of its responses in c.
//
// As with failures, the test allows for repeated tests and for the number of windows.
func (c *VersionCounts) slowResponses(attempt *VersionCounts, maxSlowdownPercent int) (count int64, isFault bool) {
	baseline := &c.Old
	if baseline.latencyCount() < minOldResponses {
		baseline = &attempt.Old
	}
	at, isKnown := slowBucket(baseline, maxSlowdownPercent)
	if !isKnown {
		return 0, false
	}
	count = c.New.countAbove(at)
	if count < minSlowResponses {
		return count, false
	}
	responses := c.New.latencyCount()
	windows := windowCount(responses, attempt.New.latencyCount())
	return count, likelihood.Ratio(count, responses, c.Old.slowShare(at)) >= math.Log(slowTestRatio*windows)
}

// slowShare returns the share of responses above a latency bucket that a version must be
// expected to have, at least expectedSlowShare.
func (c *Counts) slowShare(at int) float64 {
	slow := float64(c.countAbove(at)) + slowShareWeight*expectedSlowShare
	return max(expectedSlowShare, slow/float64(c.latencyCount()+slowShareWeight))
}

// windowCount returns how many windows with that many responses of the new version the
// attempt has had.
func windowCount(responses, ofAttempt int64) float64 {
	return max(ratio(ofAttempt, max(responses, minWindowResponses)), 1)
}

func ratio(part, total int64) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}

// fault returns a description of the new version's fault on the route, or "" if
// there is none.
func (e *Evidence) fault(maxSlowdownPercent int) string {
	for _, counts := range []*VersionCounts{&e.Minute, &e.TenMinutes, &e.Stage, &e.Whole} {
		if reason := counts.fault(&e.Whole, maxSlowdownPercent); reason != "" {
			return reason
		}
	}
	return ""
}

// attemptOnly returns the evidence of the whole attempt without the shorter
// windows.
func (e *Evidence) attemptOnly() Evidence {
	return Evidence{Service: e.Service, Attempt: e.Attempt, Route: e.Route, Whole: e.Whole, Cold: e.Cold}
}

// Pool sums up the evidence of several VMs for each route of one attempt, sorted by
// route. Stage counts of another step are left out. Of the first responses that all VMs
// got from an endpoint, the slowest are left out, because the endpoint may have been
// cold; see addWarmResponses.
func Pool(all []Evidence, service string, attempt int64, step int) (pooled []Evidence) {
	byRoute := map[string]*Evidence{}
	for i := range all {
		evidence := &all[i]
		if evidence.Service != service || evidence.Attempt != attempt {
			continue
		}
		sum := byRoute[evidence.Route]
		if sum == nil {
			sum = &Evidence{Service: service, Attempt: attempt, Route: evidence.Route, StageStep: step}
			byRoute[evidence.Route] = sum
		}
		sum.Minute.Add(&evidence.Minute)
		sum.TenMinutes.Add(&evidence.TenMinutes)
		sum.Whole.Add(&evidence.Whole)
		if evidence.StageStep == step {
			sum.Stage.Add(&evidence.Stage)
		}
		sum.Cold = append(sum.Cold, evidence.Cold...)
	}
	addWarmResponses(byRoute)
	for _, sum := range byRoute {
		pooled = append(pooled, *sum)
	}
	sort.Slice(pooled, func(i, j int) bool { return pooled[i].Route < pooled[j].Route })
	return pooled
}

// addWarmResponses counts those of the first responses from each endpoint that a cold
// start cannot explain: all except the maxColdResponses slowest, regardless of their
// route.
func addWarmResponses(byRoute map[string]*Evidence) {
	type routeResponse struct {
		bucket int
		sum    *Evidence
	}
	byEndpoint := map[string][]routeResponse{}
	for _, sum := range byRoute {
		for _, cold := range sum.Cold {
			byEndpoint[cold.Endpoint] = append(byEndpoint[cold.Endpoint], routeResponse{cold.Bucket, sum})
		}
		sum.Cold = nil
	}
	for _, responses := range byEndpoint {
		sort.Slice(responses, func(i, j int) bool {
			if responses[i].bucket != responses[j].bucket {
				return responses[i].bucket > responses[j].bucket
			}
			return responses[i].sum.Route < responses[j].sum.Route
		})
		for _, response := range responses[min(maxColdResponses, len(responses)):] {
			response.sum.Whole.New.recordLatency(response.bucket)
		}
	}
}
