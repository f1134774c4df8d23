package placement

import (
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/world/contract"
)

const (
	// ejectFailures is the number of consecutive failures that ejects an
	// endpoint. The first ejection lasts baseEjection; each consecutive one
	// lasts twice as long, up to maxEjection.
	ejectFailures = 3
	baseEjection  = 1 * clock.Second
	maxEjection   = 30 * clock.Second
	// probationResponses is the number of responses that end the probation of an
	// endpoint.
	probationResponses = 3
	// maxColdRequests is the number of first requests that a cold endpoint may
	// run slowly.
	maxColdRequests = 3
	// exploreInterval is the number of selections in a group after which a cold
	// endpoint is preferred once.
	exploreInterval = 32
	// shedBackoff is how long an endpoint that shed a request gets no further
	// requests.
	shedBackoff = 50 * clock.Millis(1)
	// maxReportAge is the age above which a load report is ignored.
	maxReportAge = 2 * clock.Second
	// stuckReports is the number of consecutive equal reports, received while this
	// VM's own request count changed, after which an endpoint's reports are no
	// longer trusted.
	stuckReports = 8
	// hangFactor is the multiple of an endpoint's usual latency above which a request
	// without a response counts as a hang.
	hangFactor = 8
	// defaultLatencyMicros is the assumed latency of an endpoint that has not
	// answered yet.
	defaultLatencyMicros = 10_000
	// latencyDivisor divides the difference that each new latency adds to the
	// moving average.
	latencyDivisor = 8
)

// endpointState holds what this VM knows of one endpoint. Guarded by the placer's
// mutex.
type endpointState struct {
	config   document.Endpoint
	resource contract.Resource
	// group is the group of the endpoint's version; nil before the endpoint has
	// joined one.
	group *endpointGroup
	// isOpen is false if the platform reports the endpoint as leaving or a drain
	// applies to it.
	isOpen bool
	// running counts this VM's requests in flight on the endpoint.
	running int
	// latencyMicros is the moving average of the latency; 0 before the first response.
	latencyMicros int64
	// failures counts consecutive failures.
	failures int
	// ejections counts consecutive ejections; a response after the probation resets it.
	ejections int
	// pausedUntil is the end of an ejection or of the backoff after a shed request.
	pausedUntil clock.Millis
	isEjected   bool
	// responses counts responses since the start or the last ejection, up to
	// probationResponses. Below that, at most responses+1 requests are in flight.
	responses int
	// coldRequests counts this VM's requests since the start or the last ejection,
	// up to maxColdRequests. The endpoint may have been cold for these.
	coldRequests int
	// reportedRunning is the running count in the last report, received at
	// reportedAt; -1 if there is none.
	reportedRunning int
	reportedAt      clock.Millis
	// equalReports counts consecutive equal reports that arrived although
	// running differed from runningAtReport, its value at the report before.
	equalReports    int
	runningAtReport int
}

// isUsable reports whether this VM may send the endpoint a request now.
func (e *endpointState) isUsable(now clock.Millis) bool {
	if !e.isOpen || now < e.pausedUntil {
		return false
	}
	return e.responses >= probationResponses || e.running <= e.responses
}

// cost returns the selection cost; the endpoint with the lowest cost is used first.
// It is the expected latency, weighted by the load. A trusted report counts half as
// much as this VM's own requests in flight. A cold endpoint's own latency is not
// known yet, so its cost is based on the group's latency, with a surcharge that
// falls with each response. Only few endpoints are therefore cold at the same time,
// and the load on a cold endpoint grows slowly.
func (e *endpointState) cost(now clock.Millis) int64 {
	micros := e.expectedMicros()
	slots := int64(max(e.config.Slots, 1))
	cost := micros * (2*slots + 2*int64(e.running))
	if e.isReportTrusted(now) {
		cost += micros * int64(min(e.reportedRunning, e.config.Slots))
	}
	if e.responses < probationResponses {
		cost += cost * int64(probationResponses-e.responses) / (2 * probationResponses)
		if e.group != nil && e.group.isExploring {
			cost /= exploreInterval
		}
	}
	return cost * int64(1+e.failures)
}

// expectedMicros returns the expected latency of a request: the endpoint's own
// after the probation, before that the group's or the default.
func (e *endpointState) expectedMicros() int64 {
	if e.responses >= probationResponses {
		return e.latencyMicros
	}
	if e.group != nil && e.group.latencyMicros > 0 {
		return e.group.latencyMicros
	}
	return defaultLatencyMicros
}

// isReportTrusted reports whether the last load report may be used. It may not if
// it is too old, stuck or below the number of requests that this VM itself has in
// flight.
func (e *endpointState) isReportTrusted(now clock.Millis) bool {
	return e.reportedRunning >= 0 && now-e.reportedAt <= maxReportAge && e.equalReports < stuckReports && e.reportedRunning >= e.running
}

func (e *endpointState) recordReport(result Result, now clock.Millis) {
	if result.Running < 0 || result.Slots < 0 {
		return
	}
	switch {
	case result.Running != e.reportedRunning:
		e.equalReports = 0
	case e.running != e.runningAtReport:
		e.equalReports++
	}
	e.reportedRunning = result.Running
	e.reportedAt = now
	e.runningAtReport = e.running
}

// record updates the state with the result of a request.
func (e *endpointState) record(result Result, now clock.Millis) {
	switch result.Outcome {
	case Answered:
		e.recordResponse(result.Micros)
	case DeadlineExceeded, Cancelled:
		if e.isHang(result.Micros) {
			e.recordFailure(now)
		}
	case Shed:
		e.pausedUntil = max(e.pausedUntil, now+shedBackoff)
	default:
		e.recordFailure(now)
	}
}

// isHang reports whether a request that ended without a response had waited far longer
// than the endpoint usually takes. If every such request counted as a failure, callers
// with short deadlines would get healthy endpoints ejected.
func (e *endpointState) isHang(micros int64) bool {
	return micros > hangFactor*max(e.latencyMicros, defaultLatencyMicros)
}

func (e *endpointState) recordResponse(micros int64) {
	e.failures = 0
	if e.responses < probationResponses {
		e.latencyMicros = max(micros, 1)
	}
	e.latencyMicros = movingAverage(e.latencyMicros, micros)
	if e.isEjected {
		e.isEjected = false
		e.group.ejectedCount--
	}
	if e.responses < probationResponses {
		e.responses++
		return
	}
	e.ejections = 0
	if e.group != nil {
		e.group.latencyMicros = movingAverage(e.group.latencyMicros, micros)
	}
}

// movingAverage returns the moving average after one more value, at least 1.
func movingAverage(average, micros int64) int64 {
	if average == 0 {
		average = micros
	}
	return max(average+(micros-average)/latencyDivisor, 1)
}

// recordFailure ejects the endpoint after ejectFailures consecutive failures,
// for a time that doubles with each ejection. It ejects no more endpoints if too
// many of the group are ejected already, as the cause is then probably not the
// endpoint itself.
func (e *endpointState) recordFailure(now clock.Millis) {
	e.failures++
	if e.failures < ejectFailures {
		return
	}
	if !e.isEjected {
		if e.group == nil || !e.group.canEject() {
			return
		}
		e.isEjected = true
		e.group.ejectedCount++
	}
	pause := baseEjection << min(e.ejections, 5)
	e.pausedUntil = now + min(pause, maxEjection)
	e.ejections++
	e.responses, e.coldRequests = 0, 0
}
