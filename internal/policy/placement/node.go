package placement

import (
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/world/contract"
)

const (
	// ejectFailures is how many failures in a row eject an endpoint.
	ejectFailures = 3
	ejectFirst    = 1 * clock.Second
	ejectLongest  = 30 * clock.Second
	// probationAnswers is how many answers end a probation or a cold start.
	probationAnswers = 3
	// coldRuns is how many requests a cold start may slow down.
	coldRuns = 3
	// exploreInterval is how many choices in a group it takes until a cold endpoint
	// is preferred once.
	exploreInterval = 32
	// shedPause keeps an endpoint that shed a request from the next ones.
	shedPause = 50 * clock.Millis(1)
	// reportAge is how old a report may be to count.
	reportAge = 2 * clock.Second
	// frozenReports is how many equal reports in a row, while the VM's own count
	// changed, make a report source untrusted.
	frozenReports = 8
	// overdueFactor is how many times an endpoint's usual latency shows a hang.
	overdueFactor = 8
	// defaultMicros stands for the latency of an endpoint not yet used.
	defaultMicros = 10_000
	// latencyWeight is the divisor of the latency average's new part.
	latencyWeight = 8
)

// node is what the VM knows of one endpoint. The placer's mutex guards it.
type node struct {
	endpoint document.Endpoint
	resource contract.Resource
	// group is nil until the node belongs to a plan.
	group *members
	// open says that neither the platform nor a drain closes the endpoint.
	open bool
	// running counts this VM's requests on the endpoint.
	running int
	// micros is the smoothed latency; 0 before the first answer.
	micros int64
	// failures counts failures since the last answer.
	failures int
	// ejections counts ejections since the endpoint was last healthy.
	ejections int
	// pausedUntil ends an ejection or a pause after shedding.
	pausedUntil clock.Millis
	ejected     bool
	// answers counts answers since the start or the last ejection, up to
	// probationAnswers: below it the endpoint gets one request at a time.
	answers int
	// sent counts requests of this VM since the start or the last ejection, up to
	// coldRuns: those run on a cold endpoint.
	sent int
	// reported is the last report's running count at reportedAt; -1 for none.
	reported   int
	reportedAt clock.Millis
	// equalReports counts equal reports in a row that came while running changed.
	equalReports  int
	runningBefore int
}

// usable says whether the endpoint may get a request of this VM now.
func (n *node) usable(now clock.Millis) bool {
	if !n.open || now < n.pausedUntil {
		return false
	}
	return n.answers >= probationAnswers || n.running <= n.answers
}

// cost orders endpoints: the smallest is used first. It is the expected time,
// grown by what runs there; a trusted report of a fuller endpoint weighs less
// than the VM's own count. A cold endpoint's own time is not known yet: it counts
// with its group's, and costs the more the fewer answers it gave. So few endpoints
// are cold at one time, and cold ones take their share slowly.
func (n *node) cost(now clock.Millis) int64 {
	micros := n.expected()
	slots := int64(max(n.endpoint.Slots, 1))
	cost := micros * (2*slots + 2*int64(n.running))
	if n.trusted(now) {
		cost += micros * int64(min(n.reported, n.endpoint.Slots))
	}
	if n.answers < probationAnswers {
		cost += cost * int64(probationAnswers-n.answers) / (2 * probationAnswers)
		if n.group != nil && n.group.isExploring {
			cost /= exploreInterval
		}
	}
	return cost * int64(1+n.failures)
}

// expected is the time that a request is expected to take.
func (n *node) expected() int64 {
	if n.answers >= probationAnswers {
		return n.micros
	}
	if n.group != nil && n.group.micros > 0 {
		return n.group.micros
	}
	return defaultMicros
}

// trusted says whether the last report may be used: not when it is old, frozen
// or below what the VM itself has running there.
func (n *node) trusted(now clock.Millis) bool {
	return n.reported >= 0 && now-n.reportedAt <= reportAge && n.equalReports < frozenReports && n.reported >= n.running
}

func (n *node) report(result Result, now clock.Millis) {
	if result.Running < 0 || result.Slots < 0 {
		return
	}
	switch {
	case result.Running != n.reported:
		n.equalReports = 0
	case n.running != n.runningBefore:
		n.equalReports++
	}
	n.reported = result.Running
	n.reportedAt = now
	n.runningBefore = n.running
}

// note learns from a request's end.
func (n *node) note(result Result, now clock.Millis) {
	switch result.Outcome {
	case Answered:
		n.answered(result.Micros)
	case DeadlineExceeded, Cancelled:
		if n.isOverdue(result.Micros) {
			n.failed(now)
		}
	case Shed:
		n.pausedUntil = max(n.pausedUntil, now+shedPause)
	default:
		n.failed(now)
	}
}

// isOverdue says that a request which ended without an answer had waited far
// longer than the endpoint takes. A caller's short deadlines must not make its
// endpoints look bad.
func (n *node) isOverdue(micros int64) bool {
	return micros > overdueFactor*max(n.micros, defaultMicros)
}

func (n *node) answered(micros int64) {
	n.failures = 0
	if n.answers < probationAnswers {
		n.micros = max(micros, 1)
	}
	n.micros = smooth(n.micros, micros)
	if n.ejected {
		n.ejected = false
		n.group.ejected--
	}
	if n.answers < probationAnswers {
		n.answers++
		return
	}
	n.ejections = 0
	if n.group != nil {
		n.group.micros = smooth(n.group.micros, micros)
	}
}

// smooth returns the moving average after one more value.
func smooth(average, micros int64) int64 {
	if average == 0 {
		average = micros
	}
	return max(average+(micros-average)/latencyWeight, 1)
}

// failed ejects the endpoint after some failures in a row, unless too large a
// share of its group is ejected already: then the fault is hardly its own.
func (n *node) failed(now clock.Millis) {
	n.failures++
	if n.failures < ejectFailures {
		return
	}
	if !n.ejected {
		if n.group == nil || !n.group.mayEject() {
			return
		}
		n.ejected = true
		n.group.ejected++
	}
	pause := ejectFirst << min(n.ejections, 5)
	n.pausedUntil = now + min(pause, ejectLongest)
	n.ejections++
	n.answers, n.sent = 0, 0
}
