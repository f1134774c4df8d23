package placement

import "baobabladder.example/baobabladder/internal/base/clock"

const (
	// downFailures is the number of consecutive failures, over all endpoints of a
	// region, after which the region is considered down.
	downFailures = 8
	// baseDownTime is how long a region gets no requests after it was found
	// down. The time doubles with each consecutive outage, up to maxDownTime.
	baseDownTime = 1 * clock.Second
	maxDownTime  = 8 * clock.Second
	// recoveryResponses is the number of responses after which a region that was down
	// is considered up. Until then the number of requests in flight is limited by the
	// responses so far.
	recoveryResponses = 16
)

// regionHealth holds the results that this VM got from all endpoints of a region. It is
// needed because ejections are limited to a share of each endpoint group, so they
// cannot stop the requests to a region that is down.
type regionHealth struct {
	// isOnlyRegion is true if there is no other region; the region is then never
	// considered down.
	isOnlyRegion bool
	// running counts this VM's requests in flight on endpoints of the region.
	running int
	// failures counts consecutive failures.
	failures int
	// outages counts how often the region was found down since its last recovery.
	outages int
	// downUntil is the time before which a region that is down gets no requests.
	downUntil clock.Millis
	isDown    bool
	// responses counts responses since the region was found down.
	responses int
}

// isUsable reports whether the region may get a request now. A region that was down
// first gets a single request as a probe; each response raises the number of requests
// in flight by one.
func (h *regionHealth) isUsable(now clock.Millis) bool {
	if h.isOnlyRegion || !h.isDown {
		return true
	}
	return now >= h.downUntil && h.running <= h.responses
}

// record updates the state with the result of a request. It reports whether the
// region was found down.
func (h *regionHealth) record(result Result, isHang bool, now clock.Millis) (isDown bool) {
	h.running--
	switch result.Outcome {
	case Answered:
		h.recordResponse()
	case DeadlineExceeded, Cancelled:
		return isHang && h.recordFailure(now)
	case Shed:
	default:
		return h.recordFailure(now)
	}
	return false
}

func (h *regionHealth) recordResponse() {
	h.failures = 0
	if !h.isDown {
		return
	}
	h.responses++
	if h.responses >= recoveryResponses {
		h.isDown = false
		h.outages = 0
	}
}

func (h *regionHealth) recordFailure(now clock.Millis) (isDown bool) {
	h.failures++
	if h.failures < downFailures && !h.isDown {
		return false
	}
	if h.isDown && now < h.downUntil {
		return false
	}
	h.isDown = true
	h.responses = 0
	h.downUntil = now + min(baseDownTime<<min(h.outages, 3), maxDownTime)
	h.outages++
	return true
}
