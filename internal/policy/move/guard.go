package move

import (
	"sort"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
)

const (
	// canaryRunning bounds a VM's requests on the new version of one route at one
	// time, until it is judged: a version that hangs gives no answers to learn from.
	canaryRunning = 4
	// canaryRequests bounds a VM's requests on the new version of one route until
	// it is judged, whatever its traffic.
	canaryRequests = 200
	// checkInterval is how often answers that do not fail are looked at.
	checkInterval = 100 * clock.Millis(1)
	// maxCredit bounds saved credit, in thousandths of a request.
	maxCredit = 2 * FullShare
)

// Peers carries word of faults to the other VMs. Its methods must not block.
type Peers interface {
	// Suspend tells all peers that a version's fault shows.
	Suspend(suspension Suspension)
	// Report tells all peers what this VM saw, after a failure.
	Report(evidence []Evidence)
}

// Guard chooses versions on one VM and stops a bad one. Its zero value is ready.
type Guard struct {
	Clock clock.Clock
	// VM is this VM's name.
	VM string
	// Peers may be nil.
	Peers Peers

	mu sync.Mutex
	// services holds what is known of each service's move. Guarded by mu.
	services map[string]*watch
}

// watch is one service's move on this VM.
type watch struct {
	// state is nil until the move's state is known.
	state *State
	// suspension is the first word of a fault in the attempt, or nil.
	suspension *Suspension
	// cap is the service's shift cap in thousandths a second.
	cap int64
	// level is the new version's share at levelAt, in thousandths; it rises to the
	// state's share under cap. While falling it is the share not yet allowed on
	// the old version.
	level   int64
	levelAt clock.Millis
	routes  map[string]*routeWatch
	peers   map[string]peerEvidence
}

// peerEvidence is what a peer sent last. As it mostly does so after a
// failure, it would look worse with each good answer that it has had since.
type peerEvidence struct {
	evidence []Evidence
	// own holds, for each of the evidence's, how many good answers of the new
	// version this VM itself had on the route at the time.
	own []int64
}

// routeWatch is one route's counts.
type routeWatch struct {
	// credit is what the new version has earned and not used, in thousandths of a
	// request. Each request earns the share in force; a request on the new version
	// costs a whole. So over any count the share is never exceeded.
	credit int64
	// oldCredit is the same for the old version while traffic falls back to it.
	oldCredit int64
	// running and sent count requests on the new version, sent since the attempt
	// began.
	running, sent int64
	minute        window
	tenMinutes    window
	stage         VersionCounts
	whole         VersionCounts
	cold          []ColdAnswer
	checkedAt     clock.Millis
}

// Update gives the guard the service's document in force and the state of its
// move, which is nil if there is none. An older attempt's state is ignored, and
// so is one that would take an attempt back from its end.
func (g *Guard) Update(service *document.Service, state *State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.watch(service.Name)
	now := g.Clock.Now()
	w.settle(now)
	w.cap = int64(service.ShiftCap)
	if state == nil || w.isOlder(state) {
		return
	}
	if w.state == nil || w.state.Attempt != state.Attempt {
		w.begin(state, now)
	}
	if w.state.Step != state.Step {
		w.clearStage()
	}
	w.state = state
}

func (w *watch) isOlder(state *State) bool {
	if w.state == nil {
		return false
	}
	if state.Attempt != w.state.Attempt {
		return state.Attempt < w.state.Attempt
	}
	switch w.state.Stage {
	case RolledBack:
		return state.Stage != RolledBack
	case Done:
		return !state.IsFinal()
	default:
		return false
	}
}

// begin starts an attempt. A VM that starts while a move is under way joins at
// the share in force: that shifts nothing.
func (w *watch) begin(state *State, now clock.Millis) {
	switch {
	case w.state == nil || w.state.isReversed(state.From, state.To) && w.stopped():
		w.level = int64(state.Share)
	case w.state.isReversed(state.From, state.To) && w.state.Stage != Done:
		w.level = FullShare - w.level
	default:
		w.level = 0
	}
	w.levelAt = now
	w.state = state
	w.routes = map[string]*routeWatch{}
	w.peers = map[string]peerEvidence{}
	if w.suspension != nil && w.suspension.Attempt != state.Attempt {
		w.suspension = nil
	}
}

func (w *watch) clearStage() {
	for _, route := range w.routes {
		route.stage.clear()
	}
}

// target is the share that the new version may have.
func (w *watch) target() int64 {
	if w.state == nil || w.stopped() {
		return 0
	}
	return int64(w.state.Share)
}

// stopped says that the new version may get nothing because of a fault.
func (w *watch) stopped() bool {
	return w.state.Stage == RolledBack || w.suspension != nil && w.suspension.Attempt >= w.state.Attempt
}

// settle moves level towards the target under the cap.
func (w *watch) settle(now clock.Millis) {
	target := w.target()
	if w.cap == 0 || w.cap >= FullShare || w.level == target {
		w.level = target
		w.levelAt = now
		return
	}
	most := w.cap * int64(now-w.levelAt) / int64(clock.Second)
	// The time that most stands for, no more: what is rounded off counts later.
	w.levelAt += clock.Millis(most) * clock.Second / clock.Millis(w.cap)
	if w.level < target {
		w.level = min(w.level+most, target)
	} else {
		w.level = max(w.level-most, target)
	}
}

// Choose says which versions may run a request of the service on the route. The
// choice must come back through Record.
func (g *Guard) Choose(service *document.Service, route *document.Route) Choice {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.services[service.Name]
	if len(service.Moves) == 0 {
		return w.withoutMove()
	}
	move := &service.Moves[0]
	choice := Choice{To: move.To, From: move.From}
	if w == nil || w.state == nil {
		return choice
	}
	if w.state.contradicts(move) {
		choice = Choice{To: w.state.To, From: w.state.From}
	}
	if w.state.To != choice.To || w.state.From != choice.From {
		return choice
	}
	choice.attempt = w.state.Attempt
	w.settle(g.Clock.Now())
	r := w.route(route.Prefix)
	switch {
	case w.stopped():
		choice.IsRefused = !r.allowsOld(w.level)
	case w.state.Stage == Done && w.level >= FullShare:
		choice.IsNew, choice.IsNewOnly = true, true
	default:
		choice.IsNew = r.allowsNew(w.level, w.state.Stage)
		choice.counted = choice.IsNew
	}
	return choice
}

// withoutMove is the choice where the document asks for no move. A version whose
// move was broken off or taken back stays out until a document names it again.
func (w *watch) withoutMove() Choice {
	if w == nil || w.state == nil || w.state.Stage == Done {
		return Choice{}
	}
	return Choice{To: w.state.To}
}

func (r *routeWatch) allowsNew(share int64, stage Stage) bool {
	r.credit = min(r.credit+share, maxCredit)
	if r.credit < FullShare {
		return false
	}
	if stage == Canary && (r.running >= canaryRunning || r.sent >= canaryRequests) {
		return false
	}
	r.credit -= FullShare
	r.running++
	r.sent++
	return true
}

// allowsOld lets traffic fall back to the old version under the cap.
func (r *routeWatch) allowsOld(level int64) bool {
	if level == 0 {
		return true
	}
	r.oldCredit = min(r.oldCredit+FullShare-level, maxCredit)
	if r.oldCredit < FullShare {
		return false
	}
	r.oldCredit -= FullShare
	return true
}

// Record notes how a request went whose choice For or Old made final.
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
	w := g.services[service]
	if w == nil || w.state == nil || choice.attempt != w.state.Attempt {
		return nil, nil
	}
	r := w.route(prefix)
	r.giveBack(choice, outcome)
	now := g.Clock.Now()
	outcome = r.settled(outcome, micros, w.state.SlowPercent, choice.ColdEndpoint != "")
	if outcome == NotSent {
		return nil, nil
	}
	isGood := outcome == Succeeded
	for _, pair := range []*VersionCounts{r.minute.roll(now), r.tenMinutes.roll(now), &r.stage, &r.whole} {
		if choice.IsNew {
			pair.New.record(isGood, choice.ColdEndpoint != "", micros)
		} else {
			pair.Old.record(isGood, false, micros)
		}
	}
	if choice.IsNew && isGood && choice.ColdEndpoint != "" {
		r.cold = append(r.cold, ColdAnswer{Endpoint: choice.ColdEndpoint, Bucket: bucket(micros)})
	}
	if !choice.IsNew || w.state.IsFinal() {
		return nil, nil
	}
	suspension := g.check(w, r, prefix, now, !isGood)
	if isGood {
		return suspension, nil
	}
	return suspension, g.evidence(w, now)
}

// giveBack ends a counted request. One that did not go to the new version after
// all leaves its credit for the next.
func (r *routeWatch) giveBack(choice Choice, outcome Outcome) {
	if !choice.counted {
		return
	}
	r.running--
	if !choice.IsNew || outcome == NotSent {
		r.sent--
		r.credit = min(r.credit+FullShare, maxCredit)
	}
}

// settled says what a request tells that ended without an answer. One that was
// given up tells nothing, unless it had already taken too long: then it counts as
// a slow answer. One that met its deadline early tells nothing either; at a cold
// endpoint that takes far longer.
func (r *routeWatch) settled(outcome Outcome, micros int64, slowPercent int, isCold bool) Outcome {
	if outcome != Abandoned && outcome != DeadlineExceeded {
		return outcome
	}
	at, known := slowBucket(&r.whole.Old, slowPercent)
	if isCold && outcome == DeadlineExceeded {
		at += coldFactor
	}
	isSlow := known && bucket(micros) > at
	switch {
	case outcome == DeadlineExceeded && (isSlow || !known):
		return Failed
	case outcome == Abandoned && isSlow:
		return Succeeded
	default:
		return NotSent
	}
}

// check suspends the version if the evidence of this VM, with what the peers
// sent, shows a fault. Callers hold mu.
func (g *Guard) check(w *watch, r *routeWatch, prefix string, now clock.Millis, atOnce bool) *Suspension {
	if w.suspension != nil || !atOnce && now-r.checkedAt < checkInterval {
		return nil
	}
	r.checkedAt = now
	why := w.fault(g.evidence(w, now), prefix)
	if why == "" {
		return nil
	}
	w.settle(now)
	w.suspension = &Suspension{Service: w.state.Service, Attempt: w.state.Attempt, To: w.state.To, Route: prefix, VM: g.VM, Why: why}
	return w.suspension
}

// fault returns what is wrong with the version on a route, or "". A fault may show
// at one VM only, so the VM's own evidence counts alone too: good answers elsewhere
// do not outweigh it. With the peers' only the whole attempt is looked at, as their
// newest answers are not known here; the mover, which collects them, looks at the
// shorter times.
func (w *watch) fault(own []Evidence, prefix string) string {
	all := w.wholes()
	for i := range own {
		all = append(all, own[i].wholeOnly())
	}
	for _, evidence := range [][]Evidence{own, all} {
		for _, pooled := range Pool(evidence, w.state.Service, w.state.Attempt, w.state.Step) {
			if pooled.Route != prefix {
				continue
			}
			if why := pooled.fault(w.state.SlowPercent); why != "" {
				return why
			}
		}
	}
	return ""
}

// wholes returns what peers sent of the attempt, as it should be now: each is
// taken to have had as many good answers since then as this VM.
func (w *watch) wholes() (all []Evidence) {
	for _, peer := range w.peers {
		for i := range peer.evidence {
			evidence := peer.evidence[i].wholeOnly()
			evidence.Whole.New.Answers += w.route(evidence.Route).whole.New.good() - peer.own[i]
			all = append(all, evidence)
		}
	}
	return all
}

// Suspend takes over a peer's word of a fault. It reports whether it was news.
func (g *Guard) Suspend(suspension Suspension) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.watch(suspension.Service)
	if w.state != nil && suspension.Attempt < w.state.Attempt {
		return false
	}
	if w.suspension != nil && w.suspension.Attempt >= suspension.Attempt {
		return false
	}
	w.settle(g.Clock.Now())
	w.suspension = &suspension
	return true
}

// Suspensions returns the words of faults in force, sorted by service.
func (g *Guard) Suspensions() (suspensions []Suspension) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.services {
		if w.suspension != nil {
			suspensions = append(suspensions, *w.suspension)
		}
	}
	sort.Slice(suspensions, func(i, j int) bool { return suspensions[i].Service < suspensions[j].Service })
	return suspensions
}

// SetPeerEvidence takes over a peer's evidence, in place of what it sent before.
func (g *Guard) SetPeerEvidence(vm string, evidence []Evidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, w := range g.services {
		if w.state == nil {
			continue
		}
		merged := peerEvidence{}
		for i := range evidence {
			if evidence[i].Service == name && evidence[i].Attempt == w.state.Attempt {
				merged.evidence = append(merged.evidence, evidence[i])
				merged.own = append(merged.own, w.route(evidence[i].Route).whole.New.good())
			}
		}
		if merged.evidence != nil {
			w.peers[vm] = merged
		}
	}
}

// Evidence returns what this VM saw in the attempts under way, sorted by service
// and route.
func (g *Guard) Evidence() (all []Evidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	for _, w := range g.services {
		if w.state != nil && !w.state.IsFinal() {
			all = append(all, g.evidence(w, now)...)
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

// evidence copies one service's counts. Callers hold mu.
func (g *Guard) evidence(w *watch, now clock.Millis) (all []Evidence) {
	for prefix, r := range w.routes {
		evidence := Evidence{
			Service:    w.state.Service,
			Attempt:    w.state.Attempt,
			Route:      prefix,
			Minute:     r.minute.sum(now),
			TenMinutes: r.tenMinutes.sum(now),
			StageStep:  w.state.Step,
		}
		evidence.Stage.add(&r.stage)
		evidence.Whole.add(&r.whole)
		evidence.Cold = append(evidence.Cold, r.cold...)
		all = append(all, evidence)
	}
	return all
}

func (g *Guard) watch(service string) *watch {
	if g.services == nil {
		g.services = map[string]*watch{}
	}
	w := g.services[service]
	if w == nil {
		w = &watch{}
		g.services[service] = w
	}
	return w
}

func (w *watch) route(prefix string) *routeWatch {
	r := w.routes[prefix]
	if r == nil {
		r = &routeWatch{minute: window{span: 6 * clock.Second}, tenMinutes: window{span: clock.Minute}}
		w.routes[prefix] = r
	}
	return r
}
