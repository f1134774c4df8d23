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

// ReceiverName is the name under which peers call a Receiver.
const ReceiverName = "Mover"

var (
	errorNamespace = errorx.NewNamespace("mover")
	// ErrStaleTerm says that a mover's lease has gone to another VM.
	ErrStaleTerm = errorNamespace.NewType("old_term")
)

// CollectRequest is the lease holder's question.
type CollectRequest struct {
	From vm.ID
	Term int64
	// Suspensions are those that the holder knows of.
	Suspensions []move.Suspension
}

// CollectReply is what one VM saw.
type CollectReply struct {
	VM          vm.ID
	Evidence    []move.Evidence
	Suspensions []move.Suspension
}

// Report is what a VM tells its peers by itself.
type Report struct {
	From vm.ID
	// Evidence is empty if no failure was seen since the last report.
	Evidence    []move.Evidence
	Suspensions []move.Suspension
}

// ReportReply confirms a report and tells what the peer knows in turn.
type ReportReply struct {
	VM          vm.ID
	Suspensions []move.Suspension
}

// Receiver answers peers over net/rpc. Register it under ReceiverName.
type Receiver struct {
	Mover *Mover
}

// Collect returns what this VM saw.
func (r *Receiver) Collect(request *CollectRequest, reply *CollectReply) error {
	if !r.Mover.acceptTerm(request.Term) {
		return ErrStaleTerm.New("term %d of %s is over", request.Term, request.From.Name)
	}
	r.Mover.suspend(request.Suspensions)
	*reply = r.Mover.own()
	return nil
}

// Report takes over what a peer saw.
func (r *Receiver) Report(report *Report, reply *ReportReply) error {
	if len(report.Evidence) > 0 {
		r.Mover.Guard.SetPeerEvidence(report.From.Name, report.Evidence)
	}
	r.Mover.suspend(report.Suspensions)
	reply.VM = r.Mover.Self
	reply.Suspensions = r.Mover.Guard.Suspensions()
	return nil
}

func (m *Mover) acceptTerm(term int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term < m.term {
		return false
	}
	m.term = term
	return true
}

func (m *Mover) own() CollectReply {
	return CollectReply{VM: m.Self, Evidence: m.Guard.Evidence(), Suspensions: m.Guard.Suspensions()}
}

// suspend takes over peers' words of faults; news is passed on.
func (m *Mover) suspend(suspensions []move.Suspension) {
	for _, suspension := range suspensions {
		if m.Guard.Suspend(suspension) {
			m.accountSuspension(suspension)
		}
	}
}

func (m *Mover) accountSuspension(suspension move.Suspension) {
	if m.Account == nil {
		return
	}
	m.Account.Add(account.Decision{
		What:    "version_suspended",
		Subject: suspension.Service + "/" + suspension.To,
		Why:     "found by " + suspension.VM + " on route " + suspension.Route + ": " + suspension.Why,
	})
}

// Suspend implements move.Peers.
func (m *Mover) Suspend(suspension move.Suspension) {
	m.accountSuspension(suspension)
	m.signal()
}

// Report implements move.Peers. Only the newest evidence is kept: it covers what
// came before.
func (m *Mover) Report(evidence []move.Evidence) {
	m.mu.Lock()
	m.outbox = evidence
	m.mu.Unlock()
	m.signal()
}

// SendReports sends evidence of failures to all peers, and the suspensions in force to
// those that have not confirmed them: a peer that was cut off or has restarted is
// told again.
func (m *Mover) SendReports(ctx context.Context) {
	suspensions := m.Guard.Suspensions()
	m.mu.Lock()
	evidence := m.outbox
	m.outbox = nil
	m.mu.Unlock()
	generation := generationOf(suspensions)
	var due []membership.Member
	for _, member := range m.reachable() {
		isNews := len(evidence) > 0 || !m.isGreeted(member.ID(), generation)
		if isNews && m.mayCall(member.ID()) {
			due = append(due, member)
		}
	}
	report := &Report{From: m.Self, Evidence: evidence, Suspensions: suspensions}
	each(due, func(member membership.Member) {
		reply := ReportReply{}
		err := m.call(ctx, member, "Report", report, &reply)
		m.noteCall(member.ID(), err)
		if err != nil {
			return
		}
		m.suspend(reply.Suspensions)
		m.greet(member.ID(), generation)
	})
}

// peerWait is how long a peer that could not be told is left alone.
type peerWait struct {
	backoff retry.Backoff
	until   clock.Millis
}

func (m *Mover) mayCall(peer vm.ID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	wait := m.waits[peer]
	return wait == nil || m.Clock.Now() >= wait.until
}

func (m *Mover) noteCall(peer vm.ID, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		delete(m.waits, peer)
		return
	}
	wait := m.waits[peer]
	if wait == nil {
		wait = &peerWait{backoff: retry.Backoff{Max: longestWait}}
		if m.waits == nil {
			m.waits = map[vm.ID]*peerWait{}
		}
		m.waits[peer] = wait
	}
	wait.until = m.Clock.Now() + wait.backoff.NextDelay()
}

// generationOf grows with each suspension that becomes known: of each service
// only the newest attempt is kept, and attempts only grow.
func generationOf(suspensions []move.Suspension) (generation int64) {
	for i := range suspensions {
		generation += suspensions[i].Attempt
	}
	return generation
}

func (m *Mover) isGreeted(peer vm.ID, generation int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	confirmed, known := m.greeted[peer]
	return known && confirmed == generation
}

func (m *Mover) greet(peer vm.ID, generation int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.greeted == nil {
		m.greeted = map[vm.ID]int64{}
	}
	m.greeted[peer] = generation
}

// collect asks all VMs what they saw. complete says that each listed one
// answered.
func (m *Mover) collect(ctx context.Context, term int64) (replies []CollectReply, complete bool) {
	m.acceptTerm(term)
	replies = append(replies, m.own())
	var mu sync.Mutex
	request := &CollectRequest{From: m.Self, Term: term, Suspensions: m.Guard.Suspensions()}
	each(m.reachable(), func(member membership.Member) {
		reply := CollectReply{}
		if m.call(ctx, member, "Collect", request, &reply) != nil {
			return
		}
		m.Guard.SetPeerEvidence(reply.VM.Name, reply.Evidence)
		m.suspend(reply.Suspensions)
		mu.Lock()
		defer mu.Unlock()
		replies = append(replies, reply)
	})
	return replies, len(replies) == 1+len(m.View().Peers())
}

func (m *Mover) reachable() (members []membership.Member) {
	for _, member := range m.View().Peers() {
		if member.Reachable {
			members = append(members, member)
		}
	}
	return members
}

func (m *Mover) call(ctx context.Context, member membership.Member, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	return m.Caller.Call(ctx, member.PeerAddress, ReceiverName+"."+method, args, reply)
}

// each calls do for all members, some at a time, and waits for all.
func each(members []membership.Member, do func(member membership.Member)) {
	var all sync.WaitGroup
	slots := make(chan struct{}, maxParallel)
	for _, member := range members {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			do(member)
		})
	}
	all.Wait()
}
