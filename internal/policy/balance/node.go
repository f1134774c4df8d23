package balance

import (
	"math"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/directory"
)

const (
	// suspendFailures is how many failures in a row suspend an endpoint.
	suspendFailures = 3
	firstSuspension = 600 * clock.Millis(1)
	maxSuspension   = 6 * clock.Second
	shedPause       = 150 * clock.Millis(1)
	// reportAge is how long an endpoint's report counts.
	reportAge = 700 * clock.Millis(1)
	// errorSpan is how long a failure counts.
	errorSpan = 4 * clock.Second
	// errorWeight is one failure's part.
	errorWeight = 0.25
	// hungAfter is how long a request may be without an answer, while the endpoint
	// gives no other, until the endpoint counts as hung.
	hungAfter = 1500 * clock.Millis(1)
	// speedWeight is the divisor of a new value's part in the speed.
	speedWeight = 4
	minSpeed    = 0.7
	maxSpeed    = 8
)

// node is what this VM knows of one endpoint. The balancer's mutex guards it.
type node struct {
	endpoint directory.Endpoint
	hash     uint64
	// starts holds when this VM's requests on the endpoint were sent.
	starts []clock.Millis
	// others is what other VMs run there, as they had told by othersAt.
	others   int
	othersAt clock.Millis
	// reported is the endpoint's word on its running and waiting requests, at
	// reportedAt, when this VM had ownThen of its own there; -1 without one.
	reported   int
	reportedAt clock.Millis
	ownThen    int
	// failures counts failures in a row, suspensions how often in a row it was
	// suspended.
	failures, suspensions int
	suspendedUntil        clock.Millis
	// errorPart is the smoothed part of failures at errorAt.
	errorPart float64
	errorAt   clock.Millis
	// speed is how many times as long as expected the endpoint takes.
	speed      float64
	answeredAt clock.Millis
	// moved says that another endpoint has the address now.
	moved bool
	// coldNext is when the cold endpoint may get the next request from this VM.
	coldNext clock.Millis
}

// load is how many requests the endpoint is thought to hold.
func (n *node) load(now clock.Millis) float64 {
	own := len(n.starts)
	if n.reported >= 0 && now-n.reportedAt < reportAge {
		return float64(max(n.reported+own-n.ownThen, own))
	}
	return float64(own + n.others)
}

// loadAt is when what load rests on was learned.
func (n *node) loadAt(now clock.Millis) clock.Millis {
	if n.reported >= 0 && now-n.reportedAt < reportAge {
		return n.reportedAt
	}
	return n.othersAt
}

func (n *node) isSuspended(now clock.Millis) bool {
	return now < n.suspendedUntil || n.isHung(now)
}

// isHung says that the endpoint gives no answers.
func (n *node) isHung(now clock.Millis) bool {
	return len(n.starts) > 0 && now-max(n.starts[0], n.answeredAt) > hungAfter
}

func (n *node) end(start clock.Millis) {
	for i := range n.starts {
		if n.starts[i] == start {
			n.starts = append(n.starts[:i], n.starts[i+1:]...)
			return
		}
	}
}

// errors returns the part of failures, which fades.
func (n *node) errors(now clock.Millis) float64 {
	if n.errorPart == 0 {
		return 0
	}
	return n.errorPart * math.Exp(-float64(now-n.errorAt)/float64(errorSpan))
}

// learnSpeed takes in how many times as long as expected a request took that did
// not wait.
func (n *node) learnSpeed(ratio float64) {
	n.speed = min(max(n.speed*(1+(ratio-1)/speedWeight), minSpeed), maxSpeed)
}

// note learns from a request's end.
func (n *node) note(result Result, now clock.Millis) {
	if result.Running >= 0 {
		n.reported, n.reportedAt, n.ownThen = result.Running+result.Waiting, now, len(n.starts)
	}
	switch result.Outcome {
	case Answered:
		n.answeredAt = now
		n.failures, n.suspensions = 0, 0
		n.errorPart = n.errors(now) * (1 - errorWeight)
		n.errorAt = now
	case Cancelled:
	case Moved:
		n.moved = true
	case Shed:
		n.answeredAt = now
		if result.Running < 0 || result.Running+result.Waiting < n.endpoint.Slots {
			n.fail(now)
			return
		}
		n.suspendedUntil = max(n.suspendedUntil, now+shedPause)
	case Unreachable:
		n.failures = suspendFailures
		n.fail(now)
	default:
		n.fail(now)
	}
}

func (n *node) fail(now clock.Millis) {
	n.errorPart = n.errors(now)*(1-errorWeight) + errorWeight
	n.errorAt = now
	n.failures++
	if n.failures < suspendFailures {
		return
	}
	n.suspendedUntil = now + min(firstSuspension<<min(n.suspensions, 4), maxSuspension)
	n.suspensions++
}
