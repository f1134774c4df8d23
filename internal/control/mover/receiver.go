package mover

import (
	"context"
	"sync"

	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/base/account"
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/move"
	"baobabladder.example/baobabladder/internal/policy/retry"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// ReceiverName is the name under which Receiver is registered for net/rpc.
const ReceiverName = "Mover"

var (
	errorNamespace = errorx.NewNamespace("mover")
	// ErrStaleTerm is returned for a request under a term that is older than the
	// newest known one: another VM has taken the lease since.
	ErrStaleTerm = errorNamespace.NewType("old_term")
)

// CollectRequest is the lease holder's request for a VM's evidence and suspensions.
type CollectRequest struct {
	From vm.ID
	Term int64
	// Suspensions are those that the holder has.
	Suspensions []move.Suspension
}

// CollectReply is a VM's evidence and suspensions.
type CollectReply struct {
	VM          vm.ID
	Evidence    []move.Evidence
	Suspensions []move.Suspension
}

// Report is what a VM sends to its peers without a request.
type Report struct {
	From vm.ID
	// Evidence is empty if no failed request was recorded since the last report.
	Evidence    []move.Evidence
	Suspensions []move.Suspension
}

// ReportReply confirms a report and returns the peer's own suspensions.
type ReportReply struct {
	VM          vm.ID
	Suspensions []move.Suspension
}

// Receiver serves peers over net/rpc. Register it under ReceiverName.
type Receiver struct {
	Mover *Mover
}

// Collect replies with this VM's evidence and suspensions. It refuses stale terms
// with ErrStaleTerm.
func (r *Receiver) Collect(request *CollectRequest, reply *CollectReply) error {
	if !r.Mover.acceptTerm(request.Term) {
		return ErrStaleTerm.New("term %d of %s is over", request.Term, request.From.Name)
	}
	r.Mover.applySuspensions(request.Suspensions)
	*reply = r.Mover.ownReply()
	return nil
}

// Report stores a peer's evidence and suspensions.
func (r *Receiver) Report(report *Report, reply *ReportReply) error {
	if len(report.Evidence) > 0 {
		r.Mover.Guard.SetPeerEvidence(report.From.Name, report.Evidence)
	}
	r.Mover.applySuspensions(report.Suspensions)
	reply.VM = r.Mover.Self
	reply.Suspensions = r.Mover.Guard.Suspensions()
	return nil
}

// acceptTerm records a term and reports whether it is not older than the newest known
// one.
func (m *Mover) acceptTerm(term int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term < m.term {
		return false
	}
	m.term = term
	return true
}

func (m *Mover) ownReply() CollectReply {
	return CollectReply{VM: m.Self, Evidence: m.Guard.Evidence(), Suspensions: m.Guard.Suspensions()}
}

// applySuspensions applies the suspensions of peers and records those that are new in
// the decision log.
func (m *Mover) applySuspensions(suspensions []move.Suspension) {
	for _, suspension := range suspensions {
		if m.Guard.Suspend(suspension) {
			m.recordSuspension(suspension)
		}
	}
}

func (m *Mover) recordSuspension(suspension move.Suspension) {
	if m.Decisions == nil {
		return
	}
	m.Decisions.Add(account.Decision{
		What:    "version_suspended",
		Subject: suspension.Service + "/" + suspension.To,
		Why:     "found by " + suspension.VM + " on route " + suspension.Route + ": " + suspension.Why,
	})
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

// peerBackoff is the backoff of a peer whose last call failed, and the time until
// which it is not called.
type peerBackoff struct {
	backoff retry.Backoff
	until   clock.Millis
}

func (m *Mover) canCall(peer vm.ID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry := m.peerBackoffs[peer]
	return entry == nil || m.Clock.Now() >= entry.until
}

func (m *Mover) recordCall(peer vm.ID, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		delete(m.peerBackoffs, peer)
		return
	}
	entry := m.peerBackoffs[peer]
	if entry == nil {
		entry = &peerBackoff{backoff: retry.Backoff{Max: maxBackoff}}
		if m.peerBackoffs == nil {
			m.peerBackoffs = map[vm.ID]*peerBackoff{}
		}
		m.peerBackoffs[peer] = entry
	}
	entry.until = m.Clock.Now() + entry.backoff.NextDelay()
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

// collect requests the evidence and suspensions of all reachable peers and adds this
// VM's own. isComplete reports whether every listed VM replied.
func (m *Mover) collect(ctx context.Context, term int64) (replies []CollectReply, isComplete bool) {
	m.acceptTerm(term)
	replies = append(replies, m.ownReply())
	var mu sync.Mutex
	request := &CollectRequest{From: m.Self, Term: term, Suspensions: m.Guard.Suspensions()}
	forEachPeer(m.View().ReachablePeers(), func(member membership.Member) {
		reply := CollectReply{}
		if m.call(ctx, member, "Collect", request, &reply) != nil {
			return
		}
		m.Guard.SetPeerEvidence(reply.VM.Name, reply.Evidence)
		m.applySuspensions(reply.Suspensions)
		mu.Lock()
		defer mu.Unlock()
		replies = append(replies, reply)
	})
	return replies, len(replies) == 1+len(m.View().Peers())
}

func (m *Mover) call(ctx context.Context, member membership.Member, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	return m.Peers.Call(ctx, member.PeerAddress, ReceiverName+"."+method, args, reply)
}

// forEachPeer calls do for each member, at most maxParallelCalls at a time, and waits
// for all calls.
func forEachPeer(members []membership.Member, do func(member membership.Member)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxParallelCalls)
	for _, member := range members {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			do(member)
		})
	}
	group.Wait()
}
