package move

import (
	"sort"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
)

const (
	// maxCanaryInFlight limits a VM's concurrent requests on the new version of a route
	// during the canary stage, because a version that hangs gives no responses in which
	// a fault could show.
	maxCanaryInFlight = 4
	// maxCanaryRequests limits a VM's requests on the new version of a route during
	// the canary stage, regardless of the traffic.
	maxCanaryRequests = 200
	// checkInterval is the shortest time between two checks of the evidence after
	// responses that did not fail. Each failure is followed by a check.
	checkInterval = 100 * clock.Millis(1)
	// maxCredit limits unused credit, in thousandths of a request.
	maxCredit = 2 * FullShare
)

// Peers notifies the other VMs of faults. Its methods must not block.
type Peers interface {
	// Suspend sends a suspension to all peers.
	Suspend(suspension Suspension)
	// Report sends this VM's evidence to all peers after a failure.
	Report(evidence []Evidence)
}

// Guard selects the version for each request on one VM and stops using a faulty
// version. Its zero value is ready for use.
type Guard struct {
	Clock clock.Clock
	// VM is the name of this VM.
	VM string
	// Peers may be nil.
	Peers Peers

	mu sync.Mutex
	// services holds the state of each service's move by service. Guarded by mu.
	services map[string]*serviceMove
}

// serviceMove is the state of one service's move on this VM.
type serviceMove struct {
	// state is nil until the stored state of the move is known.
	state *State
	// suspension is the first suspension in the attempt, or nil.
	suspension *Suspension
	// shiftCap is the service's shift cap in thousandths per second.
	shiftCap int64
	// share is the new version's share at shareUpdatedAt, in thousandths. It
	// rises to the share in state at no more than shiftCap. During a rollback it
	// falls at that rate, and FullShare minus share is the part of the traffic
	// that the old version may get.
	share          int64
	shareUpdatedAt clock.Millis
	routes         map[string]*routeState
	peers          map[string]peerEvidence
}

// peerEvidence is the evidence that a peer sent last. A peer sends it mostly
// after a failure, so without a correction for the successes since then the new
// version would look worse than it is.
type peerEvidence struct {
	evidence []Evidence
	// ownSuccesses holds, for each entry of evidence, the number of successes of
	// the new version on the route at this VM when the evidence arrived.
	ownSuccesses []int64
}

// Update sets the service's document in force and the stored state of its move,
// which is nil if there is none. It ignores the state of an older attempt and a
// state that would resume an attempt that has ended.
func (g *Guard) Update(service *document.Service, state *State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.serviceMove(service.Name)
	now := g.Clock.Now()
	m.updateShare(now)
	m.shiftCap = int64(service.ShiftCap)
	if state == nil || m.isOutdated(state) {
		return
	}
	if m.state == nil || m.state.Attempt != state.Attempt {
		m.startAttempt(state, now)
	}
	if m.state.Step != state.Step {
		m.clearStage()
	}
	m.state = state
}

// isOutdated reports whether the guard must ignore a stored state: that of an
// older attempt, or one that would resume an attempt that has ended.
func (m *serviceMove) isOutdated(state *State) bool {
	if m.state == nil {
		return false
	}
	if state.Attempt != m.state.Attempt {
		return state.Attempt < m.state.Attempt
	}
	switch m.state.Stage {
	case RolledBack:
		return state.Stage != RolledBack
	case Done:
		return !state.IsFinal()
	default:
		return false
	}
}

// startAttempt starts an attempt. If the VM starts during a move, it begins with
// the current share of the move, because the other VMs send that share already.
func (m *serviceMove) startAttempt(state *State, now clock.Millis) {
	switch {
	case m.state == nil || m.state.isReversed(state.From, state.To) && m.isStopped():
		m.share = int64(state.Share)
	case m.state.isReversed(state.From, state.To) && m.state.Stage != Done:
		m.share = FullShare - m.share
	default:
		m.share = 0
	}
	m.shareUpdatedAt = now
	m.state = state
	m.routes = map[string]*routeState{}
	m.peers = map[string]peerEvidence{}
	if m.suspension != nil && m.suspension.Attempt != state.Attempt {
		m.suspension = nil
	}
}

func (m *serviceMove) clearStage() {
	for _, route := range m.routes {
		route.stage.Clear()
	}
}

// targetShare returns the share that the new version may reach, in thousandths.
func (m *serviceMove) targetShare() int64 {
	if m.state == nil || m.isStopped() {
		return 0
	}
	return int64(m.state.Share)
}

// isStopped reports whether the new version may get no requests because of a fault.
func (m *serviceMove) isStopped() bool {
	return m.state.Stage == RolledBack || m.suspension != nil && m.suspension.Attempt >= m.state.Attempt
}

// updateShare moves share towards the target at no more than shiftCap.
func (m *serviceMove) updateShare(now clock.Millis) {
	target := m.targetShare()
	if m.shiftCap == 0 || m.shiftCap >= FullShare || m.share == target {
		m.share = target
		m.shareUpdatedAt = now
		return
	}
	maxChange := m.shiftCap * int64(now-m.shareUpdatedAt) / int64(clock.Second)
	// Advance only by the time to which maxChange corresponds, so that the fraction
	// that was rounded off counts later.
	m.shareUpdatedAt += clock.Millis(maxChange) * clock.Second / clock.Millis(m.shiftCap)
	if m.share < target {
		m.share = min(m.share+maxChange, target)
	} else {
		m.share = max(m.share-maxChange, target)
	}
}

// Choose returns which versions may run a request of the service on the route. The
// choice must be passed to Record when the request has ended.
func (g *Guard) Choose(service *document.Service, route *document.Route) Choice {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.services[service.Name]
	if len(service.Moves) == 0 {
		return m.choiceWithoutMove()
	}
	move := &service.Moves[0]
	choice := Choice{To: move.To, From: move.From}
	if m == nil || m.state == nil {
		return choice
	}
	if m.state.isSourceUnserved(move) {
		choice = Choice{To: m.state.To, From: m.state.From}
	}
	if m.state.To != choice.To || m.state.From != choice.From {
		return choice
	}
	choice.attempt = m.state.Attempt
	m.updateShare(g.Clock.Now())
	r := m.route(route.Prefix)
	switch {
	case m.isStopped():
		choice.IsRefused = !r.takeOldCredit(m.share)
	case m.state.Stage == Done && m.share >= FullShare:
		choice.IsNew, choice.IsNewOnly = true, true
	default:
		choice.IsNew = r.takeNewCredit(m.share, m.state.Stage)
		choice.isCounted = choice.IsNew
	}
	return choice
}

// choiceWithoutMove returns the choice if the document contains no move. A version
// whose move was cancelled or rolled back gets no requests until a document names
// it again.
func (m *serviceMove) choiceWithoutMove() Choice {
	if m == nil || m.state == nil || m.state.Stage == Done {
		return Choice{}
	}
	return Choice{To: m.state.To}
}

// Record records the result of a request. The choice must have been completed
// with ForVersion or ForOldVersion, unless the outcome is NotSent.
func (g *Guard) Record(service *document.Service, route *document.Route, choice Choice, outcome Outcome, micros int64) {
	suspension, evidence := g.record(service.Name, route.Prefix, choice, outcome, micros)
	if g.Peers == nil {
		return
	}
	if suspension != nil {
		g.Peers.Suspend(*suspension)
	}
	if evidence != nil {
		g.Peers.Report(evidence)
	}
}

func (g *Guard) record(service, prefix string, choice Choice, outcome Outcome, micros int64) (*Suspension, []Evidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.services[service]
	if m == nil || m.state == nil || choice.attempt != m.state.Attempt {
		return nil, nil
	}
	r := m.route(prefix)
	r.finish(choice, outcome)
	now := g.Clock.Now()
	outcome = r.resolveOutcome(outcome, micros, m.state.MaxSlowdownPercent, choice.ColdEndpoint != "")
	if outcome == NotSent {
		return nil, nil
	}
	isGood := outcome == Succeeded
	for _, counts := range []*VersionCounts{r.minute.Advance(now), r.tenMinutes.Advance(now), &r.stage, &r.whole} {
		if choice.IsNew {
			counts.New.record(isGood, choice.ColdEndpoint != "", micros)
		} else {
			counts.Old.record(isGood, false, micros)
		}
	}
	if choice.IsNew && isGood && choice.ColdEndpoint != "" {
		r.coldResponses = append(r.coldResponses, ColdResponse{Endpoint: choice.ColdEndpoint, Bucket: latencyBucket(micros)})
	}
	if !choice.IsNew || m.state.IsFinal() {
		return nil, nil
	}
	suspension := g.checkFault(m, r, prefix, now, !isGood)
	if isGood {
		return suspension, nil
	}
	return suspension, g.collectEvidence(m, now)
}

// checkFault suspends the version if the evidence of this VM, alone or together
// with that of the peers, shows a fault. It returns the new suspension, or nil. The
// caller must hold mu.
func (g *Guard) checkFault(m *serviceMove, r *routeState, prefix string, now clock.Millis, isUrgent bool) *Suspension {
	if m.suspension != nil || !isUrgent && now-r.checkedAt < checkInterval {
		return nil
	}
	r.checkedAt = now
	reason := m.fault(g.collectEvidence(m, now), prefix)
	if reason == "" {
		return nil
	}
	m.updateShare(now)
	m.suspension = &Suspension{Service: m.state.Service, Attempt: m.state.Attempt, To: m.state.To, Route: prefix, VM: g.VM, Why: reason}
	return m.suspension
}

// fault returns a description of the version's fault on a route, or "" if there is
// none. A fault may show on one VM only, so this VM's own evidence is also tested
// alone: successes on other VMs must not hide the fault. Together with the peers'
// evidence only the whole attempt is tested, as the peers' newest responses are not
// known here. The mover, which collects them, tests the shorter windows.
func (m *serviceMove) fault(own []Evidence, prefix string) string {
	all := m.peerAttemptEvidence()
	for i := range own {
		all = append(all, own[i].attemptOnly())
	}
	for _, evidence := range [][]Evidence{own, all} {
		for _, pooled := range Pool(evidence, m.state.Service, m.state.Attempt, m.state.Step) {
			if pooled.Route != prefix {
				continue
			}
			if reason := pooled.fault(m.state.MaxSlowdownPercent); reason != "" {
				return reason
			}
		}
	}
	return ""
}

// peerAttemptEvidence returns the peers' evidence of the attempt, extrapolated
// to now: each peer is assumed to have had as many successes since it sent its
// evidence as this VM.
func (m *serviceMove) peerAttemptEvidence() (all []Evidence) {
	for _, peer := range m.peers {
		for i := range peer.evidence {
			evidence := peer.evidence[i].attemptOnly()
			evidence.Whole.New.Answers += m.route(evidence.Route).whole.New.successes() - peer.ownSuccesses[i]
			all = append(all, evidence)
		}
	}
	return all
}

// Suspend applies a suspension from a peer. It reports whether the suspension was
// new.
func (g *Guard) Suspend(suspension Suspension) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.serviceMove(suspension.Service)
	if m.state != nil && suspension.Attempt < m.state.Attempt {
		return false
	}
	if m.suspension != nil && m.suspension.Attempt >= suspension.Attempt {
		return false
	}
	m.updateShare(g.Clock.Now())
	m.suspension = &suspension
	return true
}

// Suspensions returns the suspensions in force, sorted by service.
func (g *Guard) Suspensions() (suspensions []Suspension) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.services {
		if m.suspension != nil {
			suspensions = append(suspensions, *m.suspension)
		}
	}
	sort.Slice(suspensions, func(i, j int) bool { return suspensions[i].Service < suspensions[j].Service })
	return suspensions
}

// SetPeerEvidence replaces the evidence of a peer.
func (g *Guard) SetPeerEvidence(vm string, evidence []Evidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, m := range g.services {
		if m.state == nil {
			continue
		}
		merged := peerEvidence{}
		for i := range evidence {
			if evidence[i].Service == name && evidence[i].Attempt == m.state.Attempt {
				merged.evidence = append(merged.evidence, evidence[i])
				merged.ownSuccesses = append(merged.ownSuccesses, m.route(evidence[i].Route).whole.New.successes())
			}
		}
		if merged.evidence != nil {
			m.peers[vm] = merged
		}
	}
}

// Evidence returns this VM's evidence for the attempts in progress, sorted by
// service and route.
func (g *Guard) Evidence() (all []Evidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	for _, m := range g.services {
		if m.state != nil && !m.state.IsFinal() {
			all = append(all, g.collectEvidence(m, now)...)
		}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Service != all[j].Service {
			return all[i].Service < all[j].Service
		}
		return all[i].Route < all[j].Route
	})
	return all
}

// collectEvidence returns a copy of one service's counts. The caller must hold mu.
func (g *Guard) collectEvidence(m *serviceMove, now clock.Millis) (all []Evidence) {
	for prefix, r := range m.routes {
		evidence := Evidence{
			Service:    m.state.Service,
			Attempt:    m.state.Attempt,
			Route:      prefix,
			Minute:     r.minute.Sum(now),
			TenMinutes: r.tenMinutes.Sum(now),
			StageStep:  m.state.Step,
		}
		evidence.Stage.Add(&r.stage)
		evidence.Whole.Add(&r.whole)
		evidence.Cold = append(evidence.Cold, r.coldResponses...)
		all = append(all, evidence)
	}
	return all
}

func (g *Guard) serviceMove(service string) *serviceMove {
	if g.services == nil {
		g.services = map[string]*serviceMove{}
	}
	m := g.services[service]
	if m == nil {
		m = &serviceMove{}
		g.services[service] = m
	}
	return m
}

func (m *serviceMove) route(prefix string) *routeState {
	r := m.routes[prefix]
	if r == nil {
		r = &routeState{minute: countsWindow{Span: 6 * clock.Second, Count: windowSpans}, tenMinutes: countsWindow{Span: clock.Minute, Count: windowSpans}}
		m.routes[prefix] = r
	}
	return r
}
