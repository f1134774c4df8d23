// Package canary controls version moves: which part of a service's requests the new
// version gets while it is on trial, when the move is completed, and when the new
// version is rolled back. A trial begins when a VM first knows of the move, and its
// deadline is the MaxDuration of the move after that.
//
// Requests are counted by how they ended; see Outcome. A version is bad if it fails, ends
// connections, or is slow or late more often than the old version on the same VM at the
// same time, by more than chance explains. Each of these is compared by itself. Each VM
// stops sending requests to a bad version as soon as its own requests and those that its
// peers report show that it is bad. At the deadline a doubt is enough. One of the VMs
// records the outcome.
//
// VMs that are killed lose what they have counted. So the evidence of all VMs is recorded
// beside the state of the move now and then, and a VM that starts again counts on from
// there. A trial of which too little was observed goes on beyond its deadline: that no
// fault is known says nothing then.
package canary

import (
	"math"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/hashing"
	"baobabladder.example/baobabladder/internal/world/directory"
)

const (
	// completionLead is how long before its deadline a move is completed, to leave time
	// for recording the outcome.
	completionLead = 1200 * clock.Millis(1)
	// completionLeadDivisor bounds the lead of short moves to
	// MaxDuration/completionLeadDivisor.
	completionLeadDivisor = 4
	// packInterval is how long the same endpoints of a new version get its requests
	// before PackOffset grows.
	packInterval = 3 * clock.Second
	// objectParts is the number of parts of a service's objects, one of which is tried, so
	// that the endpoints of the new version soon have the objects cached.
	objectParts = 4
	// exposureMargin is the fraction of MaxShare that is used. The rest keeps the new
	// version's share below the limit.
	exposureMargin = 0.75
	// extraMargin is the fraction of MaxExtra that is used, for a service of which the
	// share alone gives far fewer than enoughRequests requests.
	extraMargin    = 0.7
	enoughRequests = 50
	// maxCredit bounds the requests that a VM may send to the new version in sequence.
	maxCredit = 2
	// recordParts is how often the evidence is recorded in a trial, at least minRecordInterval
	// apart.
	recordParts       = 8
	minRecordInterval = 2 * clock.Second
	// minObservedDivisor gives the part of a trial, MaxDuration/minObservedDivisor, that must
	// have been observed before a move is completed.
	minObservedDivisor = 2
	// lateObserverDelay is how much later than others a VM that has not observed the whole
	// trial completes a move, so that it hears of the doubts of those that have.
	lateObserverDelay = 400 * clock.Millis(1)
	// learningTime is how long VMs take to learn of a move. A VM that has observed it since
	// then has observed the whole trial.
	learningTime = 1 * clock.Second
)

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
	// Evidence is the evidence of all VMs together, on which the verdict is based.
	Evidence Evidence
}

// Guard manages the version moves of all services on one VM. MaxShare must be set.
type Guard struct {
	Clock clock.Clock
	// VM is this VM's name.
	VM string
	// MaxShare is the maximum fraction of a service's requests that a new version may
	// get during its trial. MaxExtra is the number of requests, from all VMs together,
	// that it may get beyond that.
	MaxShare, MaxExtra float64
	// OnBad is called, with the Guard locked, when the VM finds a new version bad by the
	// given evidence of all VMs, or learns it from a peer; why says what showed it. Optional.
	OnBad func(move directory.Move, evidence Evidence, why string)

	mu sync.Mutex
	// vms is the number of VMs that send requests; 0 if it is not known yet. Guarded by mu.
	vms int
	// trials holds the trial of each service that has a move. Guarded by mu.
	trials map[string]*trial
}

// trial is the state of one move on this VM.
type trial struct {
	move     directory.Move
	evidence Evidence
	recent   recentCounts
	// peers holds the latest evidence of each peer.
	peers map[string]Evidence
	// recorded is what is known from the store of the time before VMs started again; see
	// combined. lastRecordAge is the age of the newest record, or of the last try to write one.
	recorded      Evidence
	lastRecordAge clock.Millis
	// credit is the number of requests that may be sent to the new version now. shareCredit
	// is what MaxShare has added to it since startedAt, when this VM saw the move, and
	// creditedAt when the part of MaxExtra was last added.
	credit, shareCredit   float64
	startedAt, creditedAt clock.Millis
	// onBad is the Guard's OnBad.
	onBad func(move directory.Move, evidence Evidence, why string)
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
			g.trials[service] = g.newTrial(move)
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

// newTrial returns the trial of a move that this VM sees first. The VMs begin with
// different parts of a request, so that together they send as many as they may, even if
// each may send less than one.
func (g *Guard) newTrial(move directory.Move) *trial {
	now := g.Clock.Now()
	part := float64(hashing.Strings(g.VM, move.Service, move.TargetVersion)) / math.MaxUint64
	return &trial{
		move: move, evidence: Evidence{To: move.TargetVersion}, peers: map[string]Evidence{}, onBad: g.OnBad,
		recent: recentCounts{Span: recentSpan, Count: recentSpans}, credit: part, startedAt: now, creditedAt: now,
	}
}

// SetVMs sets the number of VMs that send requests.
func (g *Guard) SetVMs(count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.vms = count
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

// Choose returns the versions that may run the next request to a service. object is the
// object that the request is about; empty if unknown.
func (g *Guard) Choose(service, object string) Choice {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.trials[service]
	if t == nil {
		return Choice{}
	}
	if !t.isOn(g.Clock.Now()) {
		return t.withoutTrial()
	}
	share := g.MaxShare * exposureMargin
	t.shareCredit += share
	t.credit = min(t.credit+share+g.extraCredit(t), maxCredit)
	// Credit that tried objects do not use up goes to any object, so that the share is used.
	mayTry := t.credit >= maxCredit || t.credit >= 1 && t.isTried(object)
	if !mayTry {
		return Choice{Not: t.move.TargetVersion}
	}
	t.credit--
	offset := int((g.Clock.Now() - t.move.FirstSeen) / packInterval)
	return Choice{Only: t.move.TargetVersion, Pack: true, PackOffset: max(offset, 0)}
}

// Recheck returns the versions that may run a request which has waited since Choose returned
// earlier for it. The request is not counted again; it may be on trial only if it was before.
func (g *Guard) Recheck(service string, earlier Choice) Choice {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.trials[service]
	switch {
	case t == nil:
		return Choice{}
	case earlier.Pack && earlier.Only == t.move.TargetVersion && t.isOn(g.Clock.Now()):
		return earlier
	default:
		return t.withoutTrial()
	}
}

// isOn reports whether requests may be on trial. The caller must hold the guard's mu.
func (t *trial) isOn(now clock.Millis) bool {
	return t.move.State != directory.MoveDone && t.move.State != directory.MoveRolledBack && !t.isBad(now)
}

// withoutTrial returns the versions that may run a request that is not on trial. The caller
// must hold the guard's mu.
func (t *trial) withoutTrial() Choice {
	if t.move.State == directory.MoveDone {
		return Choice{Only: t.move.TargetVersion}
	}
	return Choice{Not: t.move.TargetVersion}
}

// extraCredit returns this VM's part of MaxExtra for the time since the last call. It is
// spread over the trial, because a fault may begin late, and is the less the more requests
// the share alone gives. The caller must hold mu.
func (g *Guard) extraCredit(t *trial) float64 {
	now := min(g.Clock.Now(), t.move.FirstSeen+t.move.MaxDuration)
	since := float64(now-t.creditedAt) / float64(t.move.MaxDuration)
	if g.vms == 0 || since <= 0 {
		return 0
	}
	t.creditedAt = now
	elapsed := float64(now-t.startedAt) / float64(t.move.MaxDuration)
	// ofShare is what the share will have given in the whole trial, over all VMs.
	ofShare := t.shareCredit / elapsed * float64(g.vms)
	lacking := max(1-ofShare/enoughRequests, 0)
	return g.MaxExtra * extraMargin / float64(g.vms) * since * lacking
}

// isTried reports whether requests about the object are tried before others.
func (t *trial) isTried(object string) bool {
	return object == "" || hashing.Strings(object, t.move.TargetVersion)%objectParts == 0
}

// Record counts a request that a version ran.
func (g *Guard) Record(service, version string, result Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.trials[service]
	if t == nil {
		return
	}
	whole, recent := &t.evidence.Whole, t.recent.Advance(g.Clock.Now())
	if version == t.move.TargetVersion {
		whole.New.record(result)
		recent.New.record(result)
		return
	}
	whole.Old.record(result)
	recent.Old.record(result)
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
		t.evidence.Recent = t.recent.Sum(now)
		t.evidence.Age, t.evidence.ObservedFrom = now-t.move.FirstSeen, t.observedFrom()
		evidence[service] = t.evidence
	}
	return evidence
}

// PendingVerdicts returns the verdicts that are to be recorded now. A verdict that keeps a
// move running is returned again only after a while, whether it could be recorded or not.
func (g *Guard) PendingVerdicts() (verdicts []Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	for _, t := range g.trials {
		if t.move.State == directory.MoveDone || t.move.State == directory.MoveRolledBack {
			continue
		}
		if verdict, hasVerdict := t.verdict(now); hasVerdict {
			t.lastRecordAge = now - t.move.FirstSeen
			verdict.Move, verdict.Evidence = t.move, t.totalEvidence(now)
			verdicts = append(verdicts, verdict)
		}
	}
	return verdicts
}

// verdict returns the move's next state, or its present one if only the evidence is to be
// recorded; ok is false if nothing is to be written.
func (t *trial) verdict(now clock.Millis) (verdict Verdict, ok bool) {
	isDue := t.isDue(now)
	switch {
	case t.isBad(now):
		return Verdict{State: directory.MoveRolledBack, Reason: "the new version answers worse than the old one"}, true
	case isDue && t.isDoubtful(now):
		return Verdict{State: directory.MoveRolledBack, Reason: "until its deadline the new version did not answer as well as the old one"}, true
	case isDue && t.mayComplete(now):
		return Verdict{State: directory.MoveDone, Reason: "the new version answered as well as the old one until its deadline"}, true
	case t.move.State == directory.MoveRequested:
		return Verdict{State: directory.MoveRunning, Reason: "the trial has begun"}, true
	case !isDue && t.isRecordDue(now):
		return Verdict{State: directory.MoveRunning, Reason: "the evidence is recorded"}, true
	default:
		return Verdict{}, false
	}
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
			t.setBad(now, "reported by "+name)
			return true
		}
	}
	if why := firstThat(compare(t.combined(now)), (*comparison).isFault); why != "" {
		t.setBad(now, why)
	}
	return t.evidence.Bad
}

// isDoubtful reports whether the new version must be rolled back at its deadline,
// according to the evidence of all VMs together. It is then bad from now on.
func (t *trial) isDoubtful(now clock.Millis) bool {
	why := firstThat(compare(t.combined(now)), (*comparison).isDoubt)
	if why != "" {
		t.setBad(now, why)
	}
	return why != ""
}

// setBad records that the new version is bad.
func (t *trial) setBad(now clock.Millis, why string) {
	t.evidence.Bad = true
	if t.onBad != nil {
		t.onBad(t.move, t.totalEvidence(now), why)
	}
}
