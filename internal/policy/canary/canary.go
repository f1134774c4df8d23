// Package canary controls version moves: which part of a service's requests the new
// version gets while it is on trial, when the move is completed, and when the new
// version is rolled back. A trial begins when a VM first knows of the move, and its
// deadline is the MaxDuration of the move after that.
//
// A response is bad if it failed, came late or took much longer than is typical; a
// weight says how bad it is. A version is bad if its responses are bad more often than
// those of the old version, by more than a margin. Each VM stops sending requests to a
// bad version as soon as its own responses and those that its peers report show that it
// is bad. One of the VMs records the outcome.
package canary

import (
	"math"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/directory"
)

const (
	// evidenceDecayTime is the time constant with which the weight of a response
	// decays.
	evidenceDecayTime = 8 * clock.Second
	// minBad is the least sum of the weights of the new version's bad responses for a
	// rollback. Older responses count less, by evidenceDecayTime.
	minBad = 5
	// badRateMargin is by how much the new version's fraction of bad responses, by
	// weight, must exceed the old version's for a rollback.
	badRateMargin = 0.2
	// minTotalBad replaces minBad in a second comparison, of all responses since the
	// start of the trial without decay. It is needed because a service with few
	// requests has too few responses within evidenceDecayTime.
	minTotalBad = 4
	// minFailed and failureRateMargin are the corresponding limits in a third
	// comparison, of failed responses only. They are lower because a slow endpoint or
	// an object that is not cached makes responses late, but does not make them fail.
	minFailed         = 3
	failureRateMargin = 0.1
	// minFailedAtDeadline and failureRateMarginAtDeadline are the limits for failed
	// responses at the deadline. They favour a rollback, because to complete the move
	// to a bad version does more harm, as it then runs all requests, than to roll back
	// a good one, which then runs none.
	minFailedAtDeadline         = 2
	failureRateMarginAtDeadline = 0.12
	// failureDeviations is the number of standard deviations by which failures must
	// additionally exceed the expected number, to keep chance from causing a rollback.
	// failureDeviationsAtDeadline applies at the deadline.
	failureDeviations           = 2
	failureDeviationsAtDeadline = 1
	// completionLead is how long before its deadline a move is completed, to leave time
	// for recording the outcome.
	completionLead = 2500 * clock.Millis(1)
	// completionLeadDivisor bounds the lead of short moves to
	// MaxDuration/completionLeadDivisor.
	completionLeadDivisor = 4
	// packInterval is how long the same endpoints of a new version get its requests
	// before PackOffset grows.
	packInterval = 1500 * clock.Millis(1)
	// exposureMargin is the fraction of MaxShare that is used. The rest keeps the new
	// version's share below the limit.
	exposureMargin = 0.75
)

// Evidence is what one VM has observed about the versions of a service.
type Evidence struct {
	// To is the version on trial.
	To string
	// Age is how long ago the VM, or one of the peers that reported to it, first knew
	// of the move.
	Age clock.Millis
	// NewAnswers counts the responses of the new version and NewBad sums the weights of
	// its bad responses; see Result.weight. Both decay over time. OldAnswers and OldBad
	// are the same for the old version.
	NewAnswers, NewBad float64
	OldAnswers, OldBad float64
	// OldFailed counts failed responses of the old version. It decays over time.
	OldFailed float64
	// EverAnswers counts all responses of the new version since the VM first knew of
	// the move, EverBad sums the weights of the bad ones, and EverFailed counts the
	// failed ones. They do not decay.
	EverAnswers, EverBad, EverFailed float64
	// Whole counts the requests since the VM first knew of the move, Recent those of the
	// last seconds.
	Whole, Recent VersionCounts
	// Bad reports whether the VM has found the new version bad.
	Bad bool
}

// Choice restricts the versions that may run a request.
type Choice struct {
	// Only is the only version allowed, if not empty.
	Only string
	// Not is a version that is not allowed, if not empty.
	Not string
	// Pack concentrates the requests on few endpoints of the version, which are filled
	// one after the other, beginning at index PackOffset. If the requests were spread
	// over all endpoints, faults that occur only under load would not show.
	Pack       bool
	PackOffset int
}

// Allows reports whether a version may run the request.
func (c Choice) Allows(version string) bool {
	return (c.Only == "" || version == c.Only) && (c.Not == "" || version != c.Not)
}

// Verdict is a change of a move's state that one of the VMs must record.
type Verdict struct {
	Move   directory.Move
	State  directory.MoveState
	Reason string
	// Evidence is the combined evidence of all VMs on which the verdict is based.
	Evidence Evidence
}

// Guard manages the version moves of all services on one VM. MaxShare must be set.
type Guard struct {
	Clock clock.Clock
	// MaxShare is the maximum fraction of a service's requests that a new version may
	// get during its trial.
	MaxShare float64
	// OnBad is called, with the Guard locked, when the VM finds a new version bad by the
	// given evidence of all VMs, or learns it from a peer; optional.
	OnBad func(move directory.Move, evidence Evidence, peer string)

	mu sync.Mutex
	// trials holds the trial of each service that has a move. Guarded by mu.
	trials map[string]*trial
}

// trial is the state of one move on this VM.
type trial struct {
	move      directory.Move
	evidence  Evidence
	decayedAt clock.Millis
	recent    recentCounts
	// peers holds the latest evidence of each peer.
	peers map[string]Evidence
	// credit is the number of requests that may be sent to the new version now.
	credit float64
	// onBad is the Guard's OnBad.
	onBad func(move directory.Move, evidence Evidence, peer string)
}

// Update replaces the moves, which are by service.
func (g *Guard) Update(moves map[string]directory.Move) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.trials == nil {
		g.trials = map[string]*trial{}
	}
	for service, move := range moves {
		t := g.trials[service]
		if t == nil || t.move.TargetVersion != move.TargetVersion {
			t = &trial{evidence: Evidence{To: move.TargetVersion}, decayedAt: g.Clock.Now(), peers: map[string]Evidence{}, onBad: g.OnBad}
			g.trials[service] = t
			t.move = move
			continue
		}
		firstSeen := min(t.move.FirstSeen, move.FirstSeen)
		t.move = move
		t.move.FirstSeen = firstSeen
	}
	for service := range g.trials {
		if _, found := moves[service]; !found {
			delete(g.trials, service)
		}
	}
}

// SetPeerEvidence sets the latest evidence of a peer, by service. vm is the name of the
// peer or, for the combined evidence of a region, identifies the region.
func (g *Guard) SetPeerEvidence(vm string, reported map[string]Evidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	for service, evidence := range reported {
		t := g.trials[service]
		if t == nil || t.move.TargetVersion != evidence.To {
			continue
		}
		t.peers[vm] = evidence
		t.move.FirstSeen = min(t.move.FirstSeen, now-evidence.Age)
	}
}

// ClearPeerEvidence removes the evidence of all peers. It must be called when the same
// evidence will be reported under other names, as it would then count twice.
func (g *Guard) ClearPeerEvidence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.trials {
		t.peers = map[string]Evidence{}
	}
}

// Choose returns the versions that may run the next request to a service.
func (g *Guard) Choose(service string) Choice {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.trials[service]
	if t == nil {
		return Choice{}
	}
	switch t.move.State {
	case directory.MoveDone:
		return Choice{Only: t.move.TargetVersion}
	case directory.MoveRolledBack:
		return Choice{Not: t.move.TargetVersion}
	}
	if t.isBad(g.Clock.Now()) {
		return Choice{Not: t.move.TargetVersion}
	}
	t.credit = min(t.credit+g.MaxShare*exposureMargin, 2)
	if t.credit < 1 {
		return Choice{Not: t.move.TargetVersion}
	}
	t.credit--
	offset := int((g.Clock.Now() - t.move.FirstSeen) / packInterval)
	return Choice{Only: t.move.TargetVersion, Pack: true, PackOffset: max(offset, 0)}
}

// LateWeight is the weight of a response that came late or missed its deadline.
// SlowWeight is the weight of a response that took much longer than is typical. Both
// are below 1, because the cause may be something other than the version. For late
// responses this is most likely if the route's timeout is hardly above the typical
// time.
const (
	LateWeight = 0.75
	SlowWeight = 0.95
)

// weight returns how bad a response is.
func (r Result) weight() float64 {
	switch r.Outcome {
	case Late:
		return LateWeight
	case Slow:
		return SlowWeight
	case Failed, Ended:
		return 1
	default:
		return 0
	}
}

// Record counts a request that a version ran.
func (g *Guard) Record(service, version string, result Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.trials[service]
	if t == nil {
		return
	}
	now := g.Clock.Now()
	t.decay(now)
	bad := result.weight()
	recent := t.recent.advance(now)
	if version == t.move.TargetVersion {
		t.evidence.Whole.New.record(result)
		recent.New.record(result)
		t.evidence.NewAnswers++
		t.evidence.NewBad += bad
		t.evidence.EverAnswers++
		t.evidence.EverBad += bad
		if bad >= 1 {
			t.evidence.EverFailed++
		}
		return
	}
	t.evidence.Whole.Old.record(result)
	recent.Old.record(result)
	t.evidence.OldAnswers++
	t.evidence.OldBad += bad
	if bad >= 1 {
		t.evidence.OldFailed++
	}
}

// Evidence returns this VM's evidence on the current trials, by service, for its peers.
func (g *Guard) Evidence() map[string]Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	evidence := make(map[string]Evidence, len(g.trials))
	for service, t := range g.trials {
		if t.move.State == directory.MoveDone || t.move.State == directory.MoveRolledBack {
			continue
		}
		t.evidence.Bad = t.isBad(now)
		t.evidence.Recent = t.recent.sum(now)
		t.evidence.Age = now - t.move.FirstSeen
		evidence[service] = t.evidence
	}
	return evidence
}

// PendingVerdicts returns the verdicts that are to be recorded now.
func (g *Guard) PendingVerdicts() (verdicts []Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	for _, t := range g.trials {
		if t.move.State == directory.MoveDone || t.move.State == directory.MoveRolledBack {
			continue
		}
		if verdict, hasVerdict := t.verdict(now); hasVerdict {
			verdict.Move, verdict.Evidence = t.move, t.totalEvidence(now)
			verdicts = append(verdicts, verdict)
		}
	}
	return verdicts
}

// verdict returns the move's next state; ok is false if the state does not change.
func (t *trial) verdict(now clock.Millis) (verdict Verdict, ok bool) {
	lead := min(completionLead, t.move.MaxDuration/completionLeadDivisor)
	isDue := now-t.move.FirstSeen >= t.move.MaxDuration-lead
	switch {
	case t.isBad(now):
		return Verdict{State: directory.MoveRolledBack, Reason: "the new version answers worse than the old one"}, true
	case isDue && t.failsAtDeadline(now):
		t.setBad(now, "")
		return Verdict{State: directory.MoveRolledBack, Reason: "the new version failed more often than the old one until its deadline"}, true
	case isDue:
		return Verdict{State: directory.MoveDone, Reason: "the new version answered as well as the old one until its deadline"}, true
	case t.move.State == directory.MoveRequested:
		return Verdict{State: directory.MoveRunning, Reason: "the trial has begun"}, true
	default:
		return Verdict{}, false
	}
}

// MergeEvidence combines the evidence of several VMs, by service. If it is about
// different versions of a service, only the evidence on the version that comes first in
// parts is kept.
func MergeEvidence(parts []map[string]Evidence) map[string]Evidence {
	sums := map[string]Evidence{}
	for _, part := range parts {
		for service, e := range part {
			sum, found := sums[service]
			if found && sum.To != e.To {
				continue
			}
			e.Age, e.Bad = max(sum.Age, e.Age), sum.Bad || e.Bad
			e.add(&sum)
			sums[service] = e
		}
	}
	return sums
}

// add adds the responses that another VM observed.
func (e *Evidence) add(other *Evidence) {
	e.NewAnswers += other.NewAnswers
	e.NewBad += other.NewBad
	e.OldAnswers += other.OldAnswers
	e.OldBad += other.OldBad
	e.OldFailed += other.OldFailed
	e.EverAnswers += other.EverAnswers
	e.EverBad += other.EverBad
	e.EverFailed += other.EverFailed
	e.Whole.add(&other.Whole)
	e.Recent.add(&other.Recent)
}

// isWorse reports whether the new version must be rolled back before its deadline.
func (e *Evidence) isWorse() bool {
	oldRate := e.OldBad / max(e.OldAnswers, 1)
	switch {
	case e.NewBad >= minBad && e.NewBad > (oldRate+badRateMargin)*e.NewAnswers:
		return true
	case e.EverBad >= minTotalBad && e.EverBad > (oldRate+badRateMargin)*e.EverAnswers:
		return true
	default:
		return e.failsMore(minFailed, failureRateMargin, failureDeviations)
	}
}

// failsAtDeadline reports whether the new version must be rolled back at its deadline.
func (e *Evidence) failsAtDeadline() bool {
	return e.failsMore(minFailedAtDeadline, failureRateMarginAtDeadline, failureDeviationsAtDeadline)
}

// failsMore reports whether the new version has at least minFailures failed responses,
// and its fraction of failed responses exceeds the old version's by more than margin
// plus chance. Chance is the given number of standard deviations of the number of
// failures expected at the old version's rate.
func (e *Evidence) failsMore(minFailures, margin, deviations float64) bool {
	oldRate := e.OldFailed / max(e.OldAnswers, 1)
	tolerance := deviations * math.Sqrt(oldRate*e.EverAnswers)
	return e.EverFailed >= minFailures && e.EverFailed > (oldRate+margin)*e.EverAnswers+tolerance
}

// decay applies the decay since the last call to this VM's evidence.
func (t *trial) decay(now clock.Millis) {
	factor := math.Exp(-float64(now-t.decayedAt) / float64(evidenceDecayTime))
	t.decayedAt = now
	t.evidence.NewAnswers *= factor
	t.evidence.NewBad *= factor
	t.evidence.OldAnswers *= factor
	t.evidence.OldBad *= factor
	t.evidence.OldFailed *= factor
}

// isBad reports whether the new version is bad, according to the evidence of all VMs
// together or because a peer has found it bad. A version that was found bad once stays
// bad.
func (t *trial) isBad(now clock.Millis) bool {
	if t.evidence.Bad {
		return true
	}
	for name, peer := range t.peers {
		if peer.Bad {
			t.setBad(now, name)
			return true
		}
	}
	if sum := t.totalEvidence(now); sum.isWorse() {
		t.setBad(now, "")
	}
	return t.evidence.Bad
}

// setBad records that the new version is bad. peer names the VM that reported it, if any.
func (t *trial) setBad(now clock.Millis, peer string) {
	t.evidence.Bad = true
	if t.onBad != nil {
		t.onBad(t.move, t.totalEvidence(now), peer)
	}
}

// failsAtDeadline reports whether the new version must be rolled back at its deadline,
// according to the evidence of all VMs together.
func (t *trial) failsAtDeadline(now clock.Millis) bool {
	sum := t.totalEvidence(now)
	return sum.failsAtDeadline()
}

// totalEvidence returns the combined evidence of all VMs.
func (t *trial) totalEvidence(now clock.Millis) Evidence {
	t.decay(now)
	sum := t.evidence
	sum.Age, sum.Recent = now-t.move.FirstSeen, t.recent.sum(now)
	for _, peer := range t.peers {
		sum.add(&peer)
	}
	return sum
}
