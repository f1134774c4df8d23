package move

import (
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/window"
)

const (
	// maxCanaryInFlight limits a VM's concurrent requests on the new version of a route
	// during the canary stage, because a version that hangs gives no responses in which
	// a fault could show.
	maxCanaryInFlight = 4
	// maxCanaryRequests limits a VM's requests on the new version of a route during
	// the canary stage, regardless of the traffic.
	maxCanaryRequests = 200
	// maxCredit limits unused credit, in thousandths of a request.
	maxCredit = 2 * FullShare
	// windowSpans is the number of spans into which a window is divided.
	windowSpans = 10
)

// countsWindow sums up counts over the last windowSpans spans.
type countsWindow = window.Sliding[VersionCounts, *VersionCounts]

// routeState holds the counts of one route.
type routeState struct {
	// newCredit is the unused credit of the new version, in thousandths of a
	// request. Each request adds the current share, and each request on the new
	// version takes FullShare. The new version's part of any number of requests
	// therefore never exceeds its share.
	newCredit int64
	// oldCredit is the same for the old version during a rollback.
	oldCredit int64
	// running counts this VM's requests in flight on the new version; sent
	// counts all that it sent there since the attempt began.
	running, sent int64
	minute        countsWindow
	tenMinutes    countsWindow
	stage         VersionCounts
	whole         VersionCounts
	coldResponses []ColdResponse
	checkedAt     clock.Millis
}

// takeNewCredit adds the share to the new version's credit and reports whether
// the request goes to the new version. If so, it takes FullShare from the
// credit.
func (r *routeState) takeNewCredit(share int64, stage Stage) bool {
	r.newCredit = min(r.newCredit+share, maxCredit)
	if r.newCredit < FullShare {
		return false
	}
	if stage == Canary && (r.running >= maxCanaryInFlight || r.sent >= maxCanaryRequests) {
		return false
	}
	r.newCredit -= FullShare
	r.running++
	r.sent++
	return true
}

// takeOldCredit lets traffic return to the old version at no more than the shift
// cap. It reports whether the request may use the old version.
func (r *routeState) takeOldCredit(share int64) bool {
	if share == 0 {
		return true
	}
	r.oldCredit = min(r.oldCredit+FullShare-share, maxCredit)
	if r.oldCredit < FullShare {
		return false
	}
	r.oldCredit -= FullShare
	return true
}

// finish ends a request that was chosen for the new version and counted as such.
// If the request was not sent to it after all, its credit is returned.
func (r *routeState) finish(choice Choice, outcome Outcome) {
	if !choice.isCounted {
		return
	}
	r.running--
	if !choice.IsNew || outcome == NotSent {
		r.sent--
		r.newCredit = min(r.newCredit+FullShare, maxCredit)
	}
}

// count adds the result of a request to the counts of the version that ran it.
func (r *routeState) count(choice Choice, isGood bool, micros int64, now clock.Millis) {
	isCold := choice.ColdEndpoint != ""
	for _, counts := range []*VersionCounts{r.minute.Advance(now), r.tenMinutes.Advance(now), &r.stage, &r.whole} {
		if choice.IsNew {
			counts.New.record(isGood, isCold, micros)
		} else {
			counts.Old.record(isGood, false, micros)
		}
	}
	if choice.IsNew && isGood && isCold {
		r.coldResponses = append(r.coldResponses, ColdResponse{Endpoint: choice.ColdEndpoint, Bucket: latencyBucket(micros)})
	}
}

// resolveOutcome decides what a request without a response shows about the version. A
// request that the caller cancelled counts as a slow response if it had taken too long
// already; otherwise it is ignored. A request that exceeded its deadline counts as a
// failure if it had taken too long, or if the old version's latency is not known yet;
// otherwise it is ignored. On a cold endpoint, such a request must have lasted
// coldHangBuckets longer to count.
func (r *routeState) resolveOutcome(outcome Outcome, micros int64, maxSlowdownPercent int, isCold bool) Outcome {
	if outcome != Abandoned && outcome != DeadlineExceeded {
		return outcome
	}
	at, isKnown := slowBucket(&r.whole.Old, maxSlowdownPercent)
	if isCold && outcome == DeadlineExceeded {
		at += coldHangBuckets
	}
	isSlow := isKnown && latencyBucket(micros) > at
	switch {
	case outcome == DeadlineExceeded && (isSlow || !isKnown):
		return Failed
	case outcome == Abandoned && isSlow:
		return Succeeded
	default:
		return NotSent
	}
}
