package balance

import (
	"math"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/directory"
)

const (
	// failuresToSuspend is the number of consecutive failures that suspend an endpoint.
	// A failure to connect suspends it at once. The first suspension lasts
	// firstSuspension; each following one lasts twice as long, up to maxSuspension.
	failuresToSuspend = 3
	firstSuspension   = 600 * clock.Millis(1)
	maxSuspension     = 6 * clock.Second
	// shedSuspension is how long an endpoint with no free slots is suspended after it
	// has shed a request.
	shedSuspension = 150 * clock.Millis(1)
	// maxReportAge is how long the load that an endpoint reported is used.
	maxReportAge = 700 * clock.Millis(1)
	// failureDecayTime is the time constant with which the failure rate decays.
	failureDecayTime = 4 * clock.Second
	// failureWeight is the weight of the newest result in the failure rate.
	failureWeight = 0.25
	// hangTimeout is how long an endpoint with requests in flight may send no response
	// before it counts as hung.
	hangTimeout = 1500 * clock.Millis(1)
	// slowdownDivisor is the divisor in the moving average of the slowdown: a new value
	// counts for 1/slowdownDivisor. minSlowdown and maxSlowdown bound the average.
	slowdownDivisor = 4
	minSlowdown     = 0.7
	maxSlowdown     = 8
)

// endpointState holds what this VM knows of one endpoint. Guarded by the balancer's
// mutex.
type endpointState struct {
	endpoint directory.Endpoint
	hash     uint64
	// reserveRank is the endpoint's position in the order in which the endpoints of its service
	// and region are reserved: from 0 to below 1, or 1 if it is the region's only one.
	reserveRank float64
	// inFlightSince holds the send times of this VM's requests in flight.
	inFlightSince []clock.Millis
	// othersInFlight is the number of requests that other VMs have in flight, as of
	// othersUpdatedAt.
	othersInFlight  int
	othersUpdatedAt clock.Millis
	// reportedLoad is the number of running and waiting requests that the endpoint
	// reported at reportedAt, or -1 if it has not reported any. inFlightAtReport is the
	// number of this VM's requests in flight at that time. reportedSlots is the number of
	// slots in that report, or 0 without one.
	reportedLoad     int
	reportedSlots    int
	reportedAt       clock.Millis
	inFlightAtReport int
	// consecutiveFailures counts failures since the last success, and
	// consecutiveSuspensions the suspensions since then.
	consecutiveFailures, consecutiveSuspensions int
	suspendedUntil                              clock.Millis
	// failureRate is the smoothed fraction of requests that failed, as of
	// failureRateUpdatedAt.
	failureRate          float64
	failureRateUpdatedAt clock.Millis
	// slowdown is the smoothed ratio of actual to expected response times of requests
	// that did not queue.
	slowdown     float64
	pace         paceState
	lastAnswerAt clock.Millis
	// isAddressReused reports whether another endpoint now has the address.
	isAddressReused bool
	// nextColdRequestAt is the earliest time of this VM's next request while the
	// endpoint is cold.
	nextColdRequestAt clock.Millis
	// said is what the endpoint said of itself. It outlives the state if the directory
	// loses the endpoint for a while.
	said *statement
}

// load returns the estimated number of requests on the endpoint, running or queued,
// from all VMs.
func (s *endpointState) load(now clock.Millis) float64 {
	own := len(s.inFlightSince)
	if s.reportedLoad >= 0 && now-s.reportedAt < maxReportAge {
		return float64(max(s.reportedLoad+own-s.inFlightAtReport, own))
	}
	return float64(own + s.othersInFlight)
}

// loadAt returns the time of the information that load is based on.
func (s *endpointState) loadAt(now clock.Millis) clock.Millis {
	if s.reportedLoad >= 0 && now-s.reportedAt < maxReportAge {
		return s.reportedAt
	}
	return s.othersUpdatedAt
}

// isSuspended reports whether the endpoint must get no requests for now, because it
// failed, shed a request, is hung or has asked for a pause.
func (s *endpointState) isSuspended(now clock.Millis) bool {
	return now < s.suspendedUntil || now < s.said.pausedUntil || s.isHung(now)
}

// isHung reports whether the endpoint has sent no response for hangTimeout while
// requests were in flight.
func (s *endpointState) isHung(now clock.Millis) bool {
	return len(s.inFlightSince) > 0 && now-max(s.inFlightSince[0], s.lastAnswerAt) > hangTimeout
}

// removeInFlight removes one request in flight that was sent at start.
func (s *endpointState) removeInFlight(start clock.Millis) {
	for i := range s.inFlightSince {
		if s.inFlightSince[i] == start {
			s.inFlightSince = append(s.inFlightSince[:i], s.inFlightSince[i+1:]...)
			return
		}
	}
}

// currentFailureRate returns the failure rate, decayed to now.
func (s *endpointState) currentFailureRate(now clock.Millis) float64 {
	if s.failureRate == 0 {
		return 0
	}
	return s.failureRate * math.Exp(-float64(now-s.failureRateUpdatedAt)/float64(failureDecayTime))
}

// updateSlowdown adds the ratio of actual to expected response time of a request that
// did not queue.
func (s *endpointState) updateSlowdown(ratio float64) {
	s.slowdown = min(max(s.slowdown*(1+(ratio-1)/slowdownDivisor), minSlowdown), maxSlowdown)
}

// recordResult updates the state with the result of a request. An endpoint that shed a
// request although it reported free slots, or reported nothing, is treated as failing.
func (s *endpointState) recordResult(result Result, now clock.Millis) {
	if result.Running >= 0 {
		s.reportedLoad, s.reportedAt, s.inFlightAtReport = result.Running+result.Waiting, now, len(s.inFlightSince)
		s.reportedSlots = result.Slots
	}
	if result.Pace > 0 {
		s.pace.set(result.Pace, now)
	}
	s.said.record(result, now)
	switch result.Outcome {
	case Answered:
		s.lastAnswerAt = now
		s.consecutiveFailures, s.consecutiveSuspensions = 0, 0
		s.failureRate = s.currentFailureRate(now) * (1 - failureWeight)
		s.failureRateUpdatedAt = now
	case Cancelled:
	case Moved:
		s.isAddressReused = true
	case Shed:
		s.lastAnswerAt = now
		if result.Running < 0 || result.Running+result.Waiting < s.slots(now) {
			s.recordFailure(now)
			return
		}
		s.suspendedUntil = max(s.suspendedUntil, now+shedSuspension)
	case Unreachable:
		s.consecutiveFailures = failuresToSuspend
		s.recordFailure(now)
	default:
		s.recordFailure(now)
	}
}

// recordFailure counts a failure. From failuresToSuspend consecutive failures on, it
// suspends the endpoint.
func (s *endpointState) recordFailure(now clock.Millis) {
	s.failureRate = s.currentFailureRate(now)*(1-failureWeight) + failureWeight
	s.failureRateUpdatedAt = now
	s.consecutiveFailures++
	if s.consecutiveFailures < failuresToSuspend {
		return
	}
	s.suspendedUntil = now + min(firstSuspension<<min(s.consecutiveSuspensions, 4), maxSuspension)
	s.consecutiveSuspensions++
}
