package canary

import (
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/window"
)

// Outcome is how a request on a version ended.
type Outcome int

// Outcomes of requests.
const (
	// Good is a whole answer that did not take much longer than is typical.
	Good Outcome = iota
	// Late is the outcome if the deadline passed before the answer, though there was time
	// for a typical run.
	Late
	// Slow is the outcome if the request took much longer than is typical.
	Slow
	// Failed is an answer by which the endpoint reports a failure.
	Failed
	// Ended is the outcome if the connection ended before the answer was whole. The cause
	// may be the version, the request, the link or the endpoint's VM.
	Ended
)

// Result is what is known of a request that a version ran.
type Result struct {
	Outcome Outcome
	// IsTight reports that the request had hardly more time than it was expected to need,
	// so that a good version may be late with it too.
	IsTight bool
}

// Counts holds the number of a version's requests by outcome.
type Counts struct {
	// Answers counts all requests, including those that got no answer.
	Answers int `json:"answers"`
	Failed  int `json:"failed"`
	Ended   int `json:"ended"`
	// Tight counts the requests with tight time, TightLate those of them that were slow or
	// late. Slow and Late count the others by Outcome.
	Tight     int `json:"tight"`
	TightLate int `json:"tight_late"`
	Slow      int `json:"slow"`
	Late      int `json:"late"`
}

// VersionCounts holds the counts of both versions over the same time.
type VersionCounts struct {
	New, Old Counts
}

func (c *Counts) record(result Result) {
	c.Answers++
	if result.IsTight {
		c.Tight++
	}
	switch {
	case result.Outcome == Failed:
		c.Failed++
	case result.Outcome == Ended:
		c.Ended++
	case result.Outcome == Good:
	case result.IsTight:
		c.TightLate++
	case result.Outcome == Slow:
		c.Slow++
	default:
		c.Late++
	}
}

// maxAnswers is more than a trial can have, and small enough for sums.
const maxAnswers = 1 << 40

// isValid reports whether the counts are of requests that each ended in one way.
func (c *Counts) isValid() bool {
	for _, count := range []int{c.Failed, c.Ended, c.Tight, c.TightLate, c.Slow, c.Late} {
		if count < 0 || count > c.Answers {
			return false
		}
	}
	return c.Answers <= maxAnswers && c.Tight >= c.TightLate && c.Failed+c.Ended+c.TightLate+c.Slow+c.Late <= c.Answers
}

// add adds the requests that other counts.
func (c *Counts) add(other *Counts) {
	c.Answers += other.Answers
	c.Failed += other.Failed
	c.Ended += other.Ended
	c.Tight += other.Tight
	c.TightLate += other.TightLate
	c.Slow += other.Slow
	c.Late += other.Late
}

// Add adds the requests that other counts.
func (v *VersionCounts) Add(other *VersionCounts) {
	v.New.add(&other.New)
	v.Old.add(&other.Old)
}

// Clear sets all counts to 0.
func (v *VersionCounts) Clear() { *v = VersionCounts{} }

// recentSpan times recentSpans is the length of the window of recent requests.
const (
	recentSpan  = clock.Second
	recentSpans = 4
)

// recentCounts sums up counts over the last recentSpans spans.
type recentCounts = window.Sliding[VersionCounts, *VersionCounts]
