package mover

import (
	"context"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/move"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// reportInterval is the time between two updates of the guard, each with reports
// to peers.
const reportInterval = 100 * clock.Millis(1)

func (m *Mover) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		m.UpdateGuard()
		m.SendReports(ctx)
		m.pause(ctx)
	}
}

// pause waits for reportInterval or until there are evidence or suspensions to send.
func (m *Mover) pause(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, reportInterval.Duration())
	defer cancel()
	select {
	case <-waitCtx.Done():
	case <-m.reportsDue.C():
	}
}

// Suspend implements move.Peers: it sends a suspension found by this VM's guard to
// the peers.
func (m *Mover) Suspend(suspension move.Suspension) {
	m.recordSuspension(suspension)
	m.reportsDue.Notify()
}

// Report implements move.Peers: it sends evidence to the peers. Only the newest
// evidence is kept, since it includes the earlier evidence.
func (m *Mover) Report(evidence []move.Evidence) {
	m.mu.Lock()
	m.pendingEvidence = evidence
	m.mu.Unlock()
	m.reportsDue.Notify()
}

// SendReports sends new evidence of failures to all peers, and the suspensions in
// force to the peers that have not confirmed them. So a peer that was cut off or has
// restarted receives them again.
func (m *Mover) SendReports(ctx context.Context) {
	suspensions := m.Guard.Suspensions()
	m.mu.Lock()
	evidence := m.pendingEvidence
	m.pendingEvidence = nil
	m.mu.Unlock()
	generation := generationOf(suspensions)
	var due []membership.Member
	for _, member := range m.View().ReachablePeers() {
		isDue := len(evidence) > 0 || !m.hasConfirmed(member.ID(), generation)
		if isDue && m.canCall(member.ID()) {
			due = append(due, member)
		}
	}
	report := &Report{From: m.Self, Evidence: evidence, Suspensions: suspensions}
	forEachPeer(due, func(member membership.Member) {
		reply := ReportReply{}
		err := m.call(ctx, member, "Report", report, &reply)
		m.recordCall(member.ID(), err)
		if err != nil {
			return
		}
		m.applySuspensions(reply.Suspensions)
		m.recordConfirmed(member.ID(), generation)
	})
}

// generationOf returns the generation of a set of suspensions: the sum of their
// attempts. It increases with each new suspension, because only the newest attempt of
// each service is kept and attempts only increase.
func generationOf(suspensions []move.Suspension) (generation int64) {
	for i := range suspensions {
		generation += suspensions[i].Attempt
	}
	return generation
}

func (m *Mover) hasConfirmed(peer vm.ID, generation int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	confirmed, known := m.confirmedGenerations[peer]
	return known && confirmed == generation
}

func (m *Mover) recordConfirmed(peer vm.ID, generation int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.confirmedGenerations == nil {
		m.confirmedGenerations = map[vm.ID]int64{}
	}
	m.confirmedGenerations[peer] = generation
}
