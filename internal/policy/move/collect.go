package move

import (
	"sort"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// Evidence returns this VM's evidence for the attempts in progress, sorted by
// service and route.
func (g *Guard) Evidence() (all []Evidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	for _, m := range g.services {
		if m.state != nil && !m.state.IsFinal() {
			all = append(all, m.collectEvidence(now)...)
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

// collectEvidence returns a copy of the counts of all routes.
func (m *serviceMove) collectEvidence(now clock.Millis) (all []Evidence) {
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

// peerEvidence is the evidence that a peer sent last. A peer sends it mostly
// after a failure, so without a correction for the successes since then the new
// version would look worse than it is.
type peerEvidence struct {
	evidence []Evidence
	// ownSuccesses holds, for each entry of evidence, the number of successes of
	// the new version on the route at this VM when the evidence arrived.
	ownSuccesses []int64
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
