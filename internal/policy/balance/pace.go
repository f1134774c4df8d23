package balance

import (
	"math"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// UsualPace is the pace of an endpoint on whose machine work takes as long as usual.
const UsualPace = 100

const (
	// paceDecayTime is the time constant with which a stated pace loses weight.
	// Slow periods of a machine last about 0.6 s.
	paceDecayTime = 400 * clock.Millis(1)
	// maxPaceAge is the age from which a stated pace has no weight; less than 1/100 of it
	// is left by then.
	maxPaceAge = 5 * paceDecayTime
	// minJudgedPace is how far from the usual a pace must be, as a factor, for an answer to
	// show whether it holds. Run times vary by about as much.
	minJudgedPace = 1.25
	// overduePace is how many times the time expected at the stated pace an answer takes
	// that does not confirm it.
	overduePace = 2
	// trustDivisor is the divisor in the moving average of the trust in an endpoint's
	// statements: each answer counts for 1/trustDivisor.
	trustDivisor = 4
)

// paceState is what an endpoint states of the pace of its machine. Its zero value is that of
// an endpoint that has stated none. Guarded by the balancer's mutex.
type paceState struct {
	// stated is how many times as long as usual work takes, as the endpoint stated at
	// statedAt. It is 0 before that.
	stated   float64
	statedAt clock.Millis
	// distrust is the smoothed fraction of answers that did not confirm the stated pace.
	distrust float64
}

// set records a pace that the endpoint stated.
func (p *paceState) set(pace int, now clock.Millis) {
	p.stated, p.statedAt = float64(pace)/UsualPace, now
}

// weight returns the weight of the stated pace by its age: 0 without one or if it is too old.
func (p *paceState) weight(now clock.Millis) float64 {
	age := now - p.statedAt
	if p.stated == 0 || age >= maxPaceAge {
		return 0
	}
	return math.Exp(-float64(age) / float64(paceDecayTime))
}

// statedFactor returns how many times as long as usual work takes on the endpoint by its
// statement, which has the given weight. It is exactly 1 without a statement, or with one that
// has no weight.
func (p *paceState) statedFactor(weight float64) float64 {
	if weight == 0 {
		return 1
	}
	return 1 + (p.stated-1)*weight
}

// trusted returns the part of a stated factor that is trusted.
func (p *paceState) trusted(stated float64) float64 { return 1 + (stated-1)*(1-p.distrust) }

// judge compares an answer with the pace at which it was run. took is the time without the
// round trip, and cached and uncached are the times expected at the usual pace; they are
// equal if it is known which of them applies. An answer that fits the usual pace better, or
// that is long overdue at the stated pace, lowers the trust in the endpoint's statements.
func (p *paceState) judge(pace, took, cached, uncached float64) {
	if pace < minJudgedPace && pace > 1/minJudgedPace || took <= 0 || cached <= 0 || uncached <= 0 {
		return
	}
	distance := func(expected float64) float64 { return math.Abs(math.Log(took / expected)) }
	atPace := min(distance(pace*cached), distance(pace*uncached))
	asUsual := min(distance(cached), distance(uncached))
	unconfirmed := 0.0
	if asUsual < atPace || took > overduePace*pace*uncached {
		unconfirmed = 1
	}
	p.distrust += (unconfirmed - p.distrust) / trustDivisor
}

// slots returns the number of requests that the endpoint runs at once: the registered number,
// or what it lately reported if that is less.
func (s *endpointState) slots(now clock.Millis) int {
	if s.reportedSlots > 0 && s.reportedSlots < s.endpoint.Slots && now-s.reportedAt < maxReportAge {
		return s.reportedSlots
	}
	return s.endpoint.Slots
}

// pacedRun is what a grant keeps of the pace of its endpoint, to learn from the answer.
type pacedRun struct {
	// statedFactor is the pace that the endpoint stated before the run, weighted by its
	// age, and weight that weight.
	statedFactor, weight float64
	// unpaced and roundTrip are the expected response time at the usual pace and the part
	// of it that does not depend on the pace, in milliseconds.
	unpaced, roundTrip float64
}

// learn adds the time of an answer that did not queue to the average run times and to the
// endpoint's slowdown. It first takes the pace out of that time, so that a slow moment of the
// endpoint's machine is not learned as its usual speed nor as the run time of the service. The
// caller must hold mu.
func (g *Grant) learn(took float64, statedPace int, now clock.Millis) {
	run, pace := g.balancer.runTime(g.request, now), &g.state.pace
	expected := g.expected
	if stated := g.pace.mean(statedPace); stated != 1 {
		ran := max(took-g.pace.roundTrip, 0)
		took, expected = g.pace.roundTrip+ran/pace.trusted(stated), g.pace.unpaced
		cached, uncached := run.cached*g.state.slowdown, run.uncached*g.state.slowdown
		if g.isWarm {
			uncached = cached
		}
		if !g.IsCold {
			pace.judge(stated, ran, cached, uncached)
		}
	}
	if !g.IsCold {
		g.balancer.updateRunTimes(g.request, took, g.isWarm)
	}
	g.state.updateSlowdown(took / max(expected, 1))
}

// mean returns the mean pace of a run whose answer stated the given pace, or none if that is 0.
// The pace stated before the run counts less the older it was then.
func (p *pacedRun) mean(statedPace int) float64 {
	if statedPace == 0 {
		return p.statedFactor
	}
	before := p.statedFactor - 1 + p.weight
	return (before + float64(statedPace)/UsualPace) / (p.weight + 1)
}
