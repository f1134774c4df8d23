package placement

import "baobabladder.example/baobabladder/internal/base/clock"

const (
	// lostFailures is how many failures in a row, over all of a region's
	// endpoints, make the region count as lost.
	lostFailures = 8
	lostFirst    = 1 * clock.Second
	lostLongest  = 8 * clock.Second
	// coldAnswers is how many answers a region needs after its return before it
	// gets more than one request for each answer.
	coldAnswers = 16
)

// health is what the VM saw of one region's endpoints together. Endpoints are
// ejected only up to a share of their group; a region that is down needs more.
type health struct {
	// alone says that there is no other region: it then never counts as lost.
	alone bool
	// running counts this VM's requests in the region.
	running int
	// failures counts failures since the last answer.
	failures int
	// losses counts how often in a row the region was found lost.
	losses int
	// lostUntil ends the time in which the region gets nothing.
	lostUntil clock.Millis
	lost      bool
	// answers counts answers since the region was lost, up to coldAnswers.
	answers int
}

// usable says whether the region may get a request now. A region that was lost
// is tried with one request, and then with one more for each answer.
func (h *health) usable(now clock.Millis) bool {
	if h.alone || !h.lost {
		return true
	}
	return now >= h.lostUntil && h.running <= h.answers
}

// note learns from a request's end. It reports whether the region was found lost.
func (h *health) note(result Result, isOverdue bool, now clock.Millis) (isLost bool) {
	h.running--
	switch result.Outcome {
	case Answered:
		h.answered()
	case DeadlineExceeded, Cancelled:
		return isOverdue && h.failed(now)
	case Shed:
	default:
		return h.failed(now)
	}
	return false
}

func (h *health) answered() {
	h.failures = 0
	if !h.lost {
		return
	}
	h.answers++
	if h.answers >= coldAnswers {
		h.lost = false
		h.losses = 0
	}
}

func (h *health) failed(now clock.Millis) (isLost bool) {
	h.failures++
	if h.failures < lostFailures && !h.lost {
		return false
	}
	if h.lost && now < h.lostUntil {
		return false
	}
	h.lost = true
	h.answers = 0
	h.lostUntil = now + min(lostFirst<<min(h.losses, 3), lostLongest)
	h.losses++
	return true
}
