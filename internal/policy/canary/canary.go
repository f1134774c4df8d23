// Package canary decides on version moves: how much of a service's traffic the
// new version gets while it is on trial, when the trial has passed, and when it
// is to be taken back. Every VM stops a bad version on what it knows itself and
// what its peers tell; one of them writes the outcome down.
package canary

import (
	"math"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/directory"
)

const (
	// evidenceSpan is how long an answer counts.
	evidenceSpan = 8 * clock.Second
	// minBad is how many bad answers it takes to take a version back.
	minBad = 5
	// worseBy is by how much the part of bad answers must be above the old
	// version's.
	worseBy = 0.2
	// minBadEver is minBad for all answers since the move began: a service with few
	// requests shows too few in evidenceSpan.
	minBadEver = 4
	// minFailed and failsMoreBy are the same for plain failures, which no slow endpoint
	// or cold object causes.
	minFailed   = 3
	failsMoreBy = 0.1
	// minFailedLast and failsMoreByLast are the same at the deadline: a version that is
	// completed wrongly runs all requests, one that is taken back wrongly none.
	minFailedLast   = 2
	failsMoreByLast = 0.12
	// failDeviations is how many standard deviations are left to chance.
	failDeviations     = 2
	failDeviationsLast = 1
	// finishEarly is how long before its deadline a move is completed. The rest is
	// for writing it down.
	finishEarly = 2500 * clock.Millis(1)
	// finishPart bounds finishEarly for short moves.
	finishPart = 4
	// packTurn is how long the same endpoints of a new version are filled.
	packTurn = 1500 * clock.Millis(1)
	// exposureMargin keeps the new version's part below what is allowed.
	exposureMargin = 0.75
)

// Evidence is what one VM saw of a service's versions lately.
type Evidence struct {
	// To is the version on trial.
	To string
	// Age is for how long the VM has known of the move.
	Age clock.Millis
	// NewAnswers and NewBad count answers of the new version, fading over time;
	// the old version's likewise.
	NewAnswers, NewBad float64
	OldAnswers, OldBad float64
	// OldFailed counts answers of the old version that failed, fading.
	OldFailed float64
	// EverAnswers, EverBad and EverFailed count answers of the new version without
	// fading, those that failed apart.
	EverAnswers, EverBad, EverFailed float64
	// Bad says that the VM found the new version bad.
	Bad bool
}

// Choice says which versions may run a request.
type Choice struct {
	// Only, if set, is the only version allowed.
	Only string
	// Not, if set, is a version that is not allowed.
	Not string
	// Pack says that few endpoints of the version are to be filled, one after the
	// other beginning with number Turn, and not all a little: some faults show only
	// under load.
	Pack       bool
	PackOffset int
}

// Allows says whether a version may run the request.
func (c Choice) Allows(version string) bool {
	return (c.Only == "" || version == c.Only) && (c.Not == "" || version != c.Not)
}

// Verdict is what is to be written down of a move.
type Verdict struct {
	Move  directory.Move
	State directory.MoveState
	Why   string
	// Evidence is that of all VMs, on which the verdict rests.
	Evidence Evidence
}

// Guard keeps the trials of one VM. Share must be set.
type Guard struct {
	Clock clock.Clock
	// Share is the part of a service's requests that a new version may get.
	MaxShare float64

	mu sync.Mutex
	// trials holds one trial for each service with a move. Guarded by mu.
	trials map[string]*trial
}

// trial is one VM's part in a move.
type trial struct {
	move     directory.Move
	evidence Evidence
	at       clock.Millis
	// peers is what the other VMs told last.
	peers map[string]Evidence
	// credit is how many requests the new version may still get.
	credit float64
}

// Update takes over the moves asked for.
func (g *Guard) Update(moves map[string]directory.Move) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.trials == nil {
		g.trials = map[string]*trial{}
	}
	for service, move := range moves {
		t := g.trials[service]
		if t == nil || t.move.TargetVersion != move.TargetVersion {
			t = &trial{evidence: Evidence{To: move.TargetVersion}, at: g.Clock.Now(), peers: map[string]Evidence{}}
			g.trials[service] = t
			t.move = move
			continue
		}
		seenAt := min(t.move.FirstSeen, move.FirstSeen)
		t.move = move
		t.move.FirstSeen = seenAt
	}
	for service := range g.trials {
		if _, found := moves[service]; !found {
			delete(g.trials, service)
		}
	}
}

// SetPeerEvidence takes over what a peer told.
func (g *Guard) SetPeerEvidence(vm string, heard map[string]Evidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	for service, evidence := range heard {
		t := g.trials[service]
		if t == nil || t.move.TargetVersion != evidence.To {
			continue
		}
		t.peers[vm] = evidence
		t.move.FirstSeen = min(t.move.FirstSeen, now-evidence.Age)
	}
}

// ClearPeerEvidence forgets what peers told, such as when others will tell the same.
func (g *Guard) ClearPeerEvidence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.trials {
		t.peers = map[string]Evidence{}
	}
}

// Choose says which versions may run the next request to a service.
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
	turn := int((g.Clock.Now() - t.move.FirstSeen) / packTurn)
	return Choice{Only: t.move.TargetVersion, Pack: true, PackOffset: max(turn, 0)}
}

// Late is what an answer that came late, or not in time, counts as, and Slow what one
// does that took far longer than usual: others than the version may be the cause,
// most so where the time that a route allows is hardly more than what is usual.
const (
	LateWeight = 0.75
	SlowWeight = 0.95
)

// Record counts an answer of a version. bad is 0 for a good one and 1 for a
// failure; see Late.
func (g *Guard) Record(service, version string, bad float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.trials[service]
	if t == nil {
		return
	}
	t.fade(g.Clock.Now())
	if version == t.move.TargetVersion {
		t.evidence.NewAnswers++
		t.evidence.NewBad += bad
		t.evidence.EverAnswers++
		t.evidence.EverBad += bad
		if bad >= 1 {
			t.evidence.EverFailed++
		}
		return
	}
	t.evidence.OldAnswers++
	t.evidence.OldBad += bad
	if bad >= 1 {
		t.evidence.OldFailed++
	}
}

// Evidence returns what this VM tells its peers, by service.
func (g *Guard) Evidence() map[string]Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	told := make(map[string]Evidence, len(g.trials))
	for service, t := range g.trials {
		if t.move.State == directory.MoveDone || t.move.State == directory.MoveRolledBack {
			continue
		}
		t.evidence.Bad = t.isBad(now)
		t.evidence.Age = now - t.move.FirstSeen
		told[service] = t.evidence
	}
	return told
}

// PendingVerdicts returns what is to be written down now.
func (g *Guard) PendingVerdicts() (verdicts []Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	for _, t := range g.trials {
		if t.move.State == directory.MoveDone || t.move.State == directory.MoveRolledBack {
			continue
		}
		if verdict, isDue := t.verdict(now); isDue {
			verdict.Move, verdict.Evidence = t.move, t.sum(now)
			verdicts = append(verdicts, verdict)
		}
	}
	return verdicts
}

func (t *trial) verdict(now clock.Millis) (verdict Verdict, isDue bool) {
	early := min(finishEarly, t.move.MaxDuration/finishPart)
	isOver := now-t.move.FirstSeen >= t.move.MaxDuration-early
	switch {
	case t.isBad(now):
		return Verdict{State: directory.MoveRolledBack, Why: "the new version answers worse than the old one"}, true
	case isOver && t.isDoubtful(now):
		t.evidence.Bad = true
		return Verdict{State: directory.MoveRolledBack, Why: "the new version failed more often than the old one until its deadline"}, true
	case isOver:
		return Verdict{State: directory.MoveDone, Why: "the new version answered as well as the old one until its deadline"}, true
	case t.move.State == directory.MoveRequested:
		return Verdict{State: directory.MoveRunning, Why: "the trial has begun"}, true
	default:
		return Verdict{}, false
	}
}

// MergeEvidence adds evidence on the same versions up.
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

// add counts the answers of another VM.
func (e *Evidence) add(other *Evidence) {
	e.NewAnswers += other.NewAnswers
	e.NewBad += other.NewBad
	e.OldAnswers += other.OldAnswers
	e.OldBad += other.OldBad
	e.OldFailed += other.OldFailed
	e.EverAnswers += other.EverAnswers
	e.EverBad += other.EverBad
	e.EverFailed += other.EverFailed
}

// isWorse says whether the new version answers worse than the old one.
func (e *Evidence) isWorse() bool {
	old := e.OldBad / max(e.OldAnswers, 1)
	switch {
	case e.NewBad >= minBad && e.NewBad > (old+worseBy)*e.NewAnswers:
		return true
	case e.EverBad >= minBadEver && e.EverBad > (old+worseBy)*e.EverAnswers:
		return true
	default:
		return e.failsMore(minFailed, failsMoreBy, failDeviations)
	}
}

// isDoubtful says whether the new version is not to be completed.
func (e *Evidence) isDoubtful() bool {
	return e.failsMore(minFailedLast, failsMoreByLast, failDeviationsLast)
}

// failsMore says whether the new version failed often enough, and in a greater part
// of its answers than the old one, beyond chance: some standard deviations of the
// failures expected from the old one's part.
func (e *Evidence) failsMore(least, by, deviations float64) bool {
	old := e.OldFailed / max(e.OldAnswers, 1)
	chance := deviations * math.Sqrt(old*e.EverAnswers)
	return e.EverFailed >= least && e.EverFailed > (old+by)*e.EverAnswers+chance
}

func (t *trial) fade(now clock.Millis) {
	factor := math.Exp(-float64(now-t.at) / float64(evidenceSpan))
	t.at = now
	t.evidence.NewAnswers *= factor
	t.evidence.NewBad *= factor
	t.evidence.OldAnswers *= factor
	t.evidence.OldBad *= factor
	t.evidence.OldFailed *= factor
}

// isBad judges on all VMs' evidence together. Once a version was found bad it
// stays so.
func (t *trial) isBad(now clock.Millis) bool {
	if t.evidence.Bad {
		return true
	}
	for _, heard := range t.peers {
		if heard.Bad {
			t.evidence.Bad = true
			return true
		}
	}
	sum := t.sum(now)
	t.evidence.Bad = sum.isWorse()
	return t.evidence.Bad
}

func (t *trial) isDoubtful(now clock.Millis) bool {
	sum := t.sum(now)
	return sum.isDoubtful()
}

// sum returns all VMs' evidence.
func (t *trial) sum(now clock.Millis) Evidence {
	t.fade(now)
	sum := t.evidence
	for _, heard := range t.peers {
		sum.add(&heard)
	}
	return sum
}
