package move

import (
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
)

// checkInterval is the shortest time between two checks of the evidence after
// responses that did not fail. Each failure is followed by a check.
const checkInterval = 100 * clock.Millis(1)

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

// record counts the result. It returns a new suspension and the evidence that the peers
// must get after a failure, each nil if there is none.
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
	r.count(choice, isGood, micros, now)
	if !choice.IsNew || m.state.IsFinal() {
		return nil, nil
	}
	suspension := g.checkFault(m, r, prefix, now, !isGood)
	if isGood {
		return suspension, nil
	}
	return suspension, m.collectEvidence(now)
}

// checkFault suspends the version if the evidence of this VM, alone or together
// with that of the peers, shows a fault. It returns the new suspension, or nil. The
// caller must hold mu.
func (g *Guard) checkFault(m *serviceMove, r *routeState, prefix string, now clock.Millis, isUrgent bool) *Suspension {
	if m.suspension != nil || !isUrgent && now-r.checkedAt < checkInterval {
		return nil
	}
	r.checkedAt = now
	reason := m.fault(m.collectEvidence(now), prefix)
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
