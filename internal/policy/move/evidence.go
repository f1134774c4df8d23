package move

import (
	"fmt"
	"math"
	"sort"

	"baobabladder.example/baobabladder/internal/base/clock"
)

const (
	// bucketsPerOctave sets the resolution of latencies to about 9%.
	bucketsPerOctave = 8
	// bucketCount spans 100 us to about 1,600 s.
	bucketCount = 192
	firstMicros = 100

	// minFailures is how many failures show a fault: one may be chance.
	minFailures = 2
	// minSlow is how many slow answers show a fault.
	minSlow = 3
	// leastDifference is how much higher, in thousandths, the new version's failure
	// rate must be, however sure the difference is.
	leastDifference = 5
	// plainRatio is how many times likelier what was seen must be for a faulty
	// version, of unknown failure rate, than for one as good as the old one. A good version passes it
	// in the whole of an attempt, however often one looks, once in plainRatio times.
	plainRatio = 4500
	// fineChance and slowChance are how likely what was seen may be for a version as
	// good as the old one, so that it is still put down to chance. The fine test is
	// strict because it is made on every VM, over and over. The slow bound is loose
	// because versions within the bound have far fewer slow answers than
	// slowExpected.
	fineChance = 3e-6
	slowChance = 2e-3
	// doubtChance is the same where a version is let on without enough answers.
	doubtChance = 0.05
	// answersPerLook is the least number of answers of the new version that stands
	// for one look.
	answersPerLook = 10
	// plainRate is the failure rate that the plain test allows any version.
	plainRate = 0.01
	// exactLimit is up to how many tries chances are summed up exactly.
	exactLimit = 1000
	// chanceBound is how many standard deviations rule chance out beyond that.
	chanceBound = 5.0
	// minOld is how many answers of the old version make its latency known.
	minOld = 10
	// coldRuns is how many answers of an endpoint a cold start may slow down.
	coldRuns = 3
	// coldFactor is how much longer than a slow answer a request at a cold endpoint
	// must last to count as a hang, in buckets.
	coldFactor = 3 * bucketsPerOctave
	// slowExpected is the part of answers that lie over the 90th percentile.
	slowExpected = 0.1
)

// Counts is what one version's answers on a route came to.
type Counts struct {
	Answers  int64
	Failures int64
	// Latency counts good answers by latency bucket, but for the new version's from
	// cold endpoints; it may be shorter than bucketCount.
	Latency []int64
}

// VersionCounts is both versions' counts over the same time.
type VersionCounts struct {
	New Counts
	Old Counts
}

// Evidence is what one VM saw on one route in the current attempt.
type Evidence struct {
	Service string
	Attempt int64
	Route   string
	// Minute and TenMinutes cover the last ones, Stage the time since the stage
	// began at that VM. A late fault shows in a short one, a rare one in a long
	// one.
	Minute, TenMinutes, Stage VersionCounts
	// Whole covers the attempt. Its old counts stand in where a shorter time has
	// too few.
	Whole VersionCounts
	// StageStep is the step that Stage belongs to.
	StageStep int
	// Cold holds the latencies of the new version's first answers from each
	// endpoint, at most coldRuns for each start of an endpoint that the VM knows
	// of. The Latency of no Counts has them.
	Cold []ColdAnswer
}

// ColdAnswer is an answer of an endpoint that may not have warmed up.
type ColdAnswer struct {
	Endpoint string
	// Bucket is the latency's.
	Bucket int
}

// add adds other's counts to c.
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

// record counts one request. The latency of a failure and of a cold endpoint's
// answer is not counted.
func (c *Counts) record(isGood, isCold bool, micros int64) {
	c.Answers++
	switch {
	case !isGood:
		c.Failures++
	case !isCold:
		c.recordLatency(bucket(micros))
	}
}

func (c *Counts) recordLatency(at int) {
	for len(c.Latency) <= at {
		c.Latency = append(c.Latency, 0)
	}
	c.Latency[at]++
}

// clear empties c and keeps its memory.
func (c *Counts) clear() {
	c.Answers, c.Failures = 0, 0
	clear(c.Latency)
}

func (p *VersionCounts) add(other *VersionCounts) {
	p.New.add(&other.New)
	p.Old.add(&other.Old)
}

func (p *VersionCounts) clear() {
	p.New.clear()
	p.Old.clear()
}

func bucket(micros int64) int {
	if micros <= firstMicros {
		return 0
	}
	at := int(bucketsPerOctave * math.Log2(float64(micros)/firstMicros))
	return min(at, bucketCount-1)
}

// good counts the answers that were no failures.
func (c *Counts) good() int64 { return c.Answers - c.Failures }

// timed counts the answers that have a latency.
func (c *Counts) timed() (count int64) {
	for _, n := range c.Latency {
		count += n
	}
	return count
}

// percentile90 returns the bucket of the 90th percentile.
func (c *Counts) percentile90() int {
	rest := c.timed() / 10
	for i := len(c.Latency) - 1; i >= 0; i-- {
		rest -= c.Latency[i]
		if rest < 0 {
			return i
		}
	}
	return 0
}

// over counts answers that took longer than the bucket at stands for.
func (c *Counts) over(at int) (count int64) {
	for i := at + 1; i < len(c.Latency); i++ {
		count += c.Latency[i]
	}
	return count
}

// slowBucket returns the bucket over which an answer is slow, or false if too
// few of the old version's answers are known.
func slowBucket(old *Counts, slowPercent int) (at int, known bool) {
	if old.timed() < minOld {
		return 0, false
	}
	factor := 1 + float64(slowPercent)/100
	return old.percentile90() + int(math.Ceil(bucketsPerOctave*math.Log2(factor))), true
}

// fault returns what is wrong with the new version, or "", given both versions'
// counts in the whole attempt.
func (p *VersionCounts) fault(attempt *VersionCounts, slowPercent int) string {
	if p.fails(attempt) {
		return fmt.Sprintf("%d of %d failed, of the old version %d of %d", p.New.Failures, p.New.Answers, p.Old.Failures, p.Old.Answers)
	}
	if slow, is := p.slow(&attempt.Old, slowPercent); is {
		return fmt.Sprintf("%d of %d were more than %d%% slower than nine in ten of the old version", slow, p.New.timed(), slowPercent)
	}
	return ""
}

// fails compares failure rates. A fault that hits both versions as much, such as
// a lost region, is not the new version's. The plain test finds gross faults from
// a few answers. The fine test finds small ones from many: if the versions were
// alike, all failures would fall on them in proportion to their answers.
//
// The plain test is a sequential one: looking again at the same answers and more
// is allowed for. Each window that the attempt has had is one more chance to be
// wrong, so a short window is tested more strictly the more of them there were.
func (p *VersionCounts) fails(attempt *VersionCounts) bool {
	if p.New.Failures < minFailures {
		return false
	}
	oldRate := rate(p.Old.Failures, p.Old.Answers)
	if rate(p.New.Failures, p.New.Answers)-oldRate < leastDifference/1000.0 {
		return false
	}
	expected := max(plainRate, oldRate, rate(attempt.Old.Failures, attempt.Old.Answers))
	windows := max(rate(attempt.New.Answers, max(p.New.Answers, answersPerLook)), 1)
	if likelihoodRatio(p.New.Failures, p.New.Answers, expected) >= math.Log(plainRatio*windows) {
		return true
	}
	part := rate(p.New.Answers, p.New.Answers+p.Old.Answers)
	return isUnlikely(p.New.Failures, p.New.Failures+p.Old.Failures, part, fineChance)
}

// likelihoodRatio returns the logarithm of how many times likelier the failures
// are for a faulty version than at the expected rate. A faulty version's rate is
// taken to be the likelier the higher it is, a Beta(2, 1) prior. The ratio is a
// test martingale: at the expected rate it reaches n at any time with a chance of
// at most 1/n.
func likelihoodRatio(failures, answers int64, expected float64) float64 {
	f, n := float64(failures), float64(answers)
	if expected >= 1 || f <= n*expected {
		return 0
	}
	ofFailures, _ := math.Lgamma(f + 2)
	ofRest, _ := math.Lgamma(n - f + 1)
	ofAll, _ := math.Lgamma(n + 3)
	return math.Ln2 + ofFailures + ofRest - ofAll - f*math.Log(expected) - (n-f)*math.Log1p(-expected)
}

// isDoubtful says that the failures seen, though no proof of a fault, are too
// many for a version to be let on without more answers.
func (p *VersionCounts) isDoubtful() bool {
	expected := max(plainRate, rate(p.Old.Failures, p.Old.Answers))
	return p.New.Failures > 0 && isUnlikely(p.New.Failures, p.New.Answers, expected, doubtChance)
}

// isUnlikely says that at least count of all is less likely than bound, if each
// one has the given chance.
func isUnlikely(count, all int64, chance, bound float64) bool {
	n := float64(all)
	if chance >= 1 || float64(count) <= n*chance {
		return false
	}
	if all > exactLimit {
		return float64(count)-n*chance > chanceBound*math.Sqrt(n*chance*(1-chance))
	}
	total, _ := math.Lgamma(n + 1)
	var sum float64
	for i := count; i <= all; i++ {
		part, _ := math.Lgamma(float64(i) + 1)
		rest, _ := math.Lgamma(n - float64(i) + 1)
		sum += math.Exp(total - part - rest + float64(i)*math.Log(chance) + (n-float64(i))*math.Log1p(-chance))
	}
	return sum < bound
}

// slow counts the new version's slow answers and says whether more than chance
// allows lie over the bound, given that a tenth may.
func (p *VersionCounts) slow(baseline *Counts, slowPercent int) (count int64, is bool) {
	old := &p.Old
	if old.timed() < minOld {
		old = baseline
	}
	at, known := slowBucket(old, slowPercent)
	if !known {
		return 0, false
	}
	count = p.New.over(at)
	return count, count >= minSlow && isUnlikely(count, p.New.timed(), slowExpected, slowChance)
}

func rate(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// fault returns what is wrong with the new version on the route, or "".
func (e *Evidence) fault(slowPercent int) string {
	for _, pair := range []*VersionCounts{&e.Minute, &e.TenMinutes, &e.Stage, &e.Whole} {
		if why := pair.fault(&e.Whole, slowPercent); why != "" {
			return why
		}
	}
	return ""
}

// wholeOnly returns the evidence of the whole attempt alone.
func (e *Evidence) wholeOnly() Evidence {
	return Evidence{Service: e.Service, Attempt: e.Attempt, Route: e.Route, Whole: e.Whole, Cold: e.Cold}
}

// Pool adds up the evidence of several VMs for each route of one attempt, sorted
// by route. Evidence of another step counts in the short windows only. Of the
// first answers that all VMs had from an endpoint the slowest are left out.
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
		sum.Minute.add(&evidence.Minute)
		sum.TenMinutes.add(&evidence.TenMinutes)
		sum.Whole.add(&evidence.Whole)
		if evidence.StageStep == step {
			sum.Stage.add(&evidence.Stage)
		}
		sum.Cold = append(sum.Cold, evidence.Cold...)
	}
	addWarm(byRoute)
	for _, sum := range byRoute {
		pooled = append(pooled, *sum)
	}
	sort.Slice(pooled, func(i, j int) bool { return pooled[i].Route < pooled[j].Route })
	return pooled
}

// addWarm counts those of the first answers from each endpoint that a cold start
// can't explain: all but the coldRuns slowest, whichever route they were on.
func addWarm(byRoute map[string]*Evidence) {
	type routeAnswer struct {
		bucket int
		sum    *Evidence
	}
	byEndpoint := map[string][]routeAnswer{}
	for _, sum := range byRoute {
		for _, cold := range sum.Cold {
			byEndpoint[cold.Endpoint] = append(byEndpoint[cold.Endpoint], routeAnswer{cold.Bucket, sum})
		}
		sum.Cold = nil
	}
	for _, answers := range byEndpoint {
		sort.Slice(answers, func(i, j int) bool {
			if answers[i].bucket != answers[j].bucket {
				return answers[i].bucket > answers[j].bucket
			}
			return answers[i].sum.Route < answers[j].sum.Route
		})
		for _, answer := range answers[min(coldRuns, len(answers)):] {
			answer.sum.Whole.New.recordLatency(answer.bucket)
		}
	}
}

// window is a ring of spans whose sum covers the last ones.
type window struct {
	span  clock.Millis
	spans [10]VersionCounts
	// at is the number of the newest span since time 0.
	at int64
}

// roll forgets the spans that are over.
func (w *window) roll(now clock.Millis) *VersionCounts {
	at := int64(now / w.span)
	for gone := 0; w.at < at && gone < len(w.spans); gone++ {
		w.at++
		w.spans[w.at%int64(len(w.spans))].clear()
	}
	w.at = at
	return &w.spans[at%int64(len(w.spans))]
}

func (w *window) sum(now clock.Millis) (sum VersionCounts) {
	w.roll(now)
	for i := range w.spans {
		sum.add(&w.spans[i])
	}
	return sum
}
