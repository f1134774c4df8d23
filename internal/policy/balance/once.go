package balance

import (
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
)

const (
	// onceMargin is how many times the expected response time a request that must not run
	// twice must have left. Run times vary, and an attempt that ends at the deadline
	// leaves its outcome unknown.
	onceMargin = 1.2
	// minKnownRuns is the number of runs from which a run time counts as known, and
	// knownRunTime how long it does after the last one. Without that bound a run time that
	// was learned too long would never be corrected, since the requests that could correct
	// it are refused.
	minKnownRuns = 8
	knownRunTime = 10 * clock.Second
)

// runsOnce reports whether the request must not run twice.
func (r *Request) runsOnce() bool { return r.Route.Work != document.WorkCatalogue }

// isKnown reports whether the run times were learned from enough recent runs.
func (r *runTime) isKnown(now clock.Millis) bool {
	return r.runs >= minKnownRuns && now-r.learnedAt < knownRunTime
}

// lateness tells whether a candidate may answer before the time left has passed.
type lateness int

const (
	inTime lateness = iota
	// lateByWait is a candidate that would be in time if the request need not queue.
	lateByWait
	lateByRun
)

// lateness returns whether the candidate is too late for a request that must not run twice,
// in services where requests are treated by their urgency. A home that this VM does not know
// to be warm is expected to take as long as runs do on average.
func (q *query) lateness(c *candidate) lateness {
	if !q.isOrdered || !q.request.runsOnce() || !q.run.isKnown(q.now) {
		return inTime
	}
	needed, left := c.expected, float64(q.request.Remaining)
	if c.isHome && !c.isWarm {
		needed += c.run * max(q.run.mean/max(q.run.cached, 1)-1, 0)
	}
	switch {
	case onceMargin*needed <= left:
		return inTime
	case onceMargin*(needed-c.wait) <= left:
		return lateByWait
	default:
		return lateByRun
	}
}
