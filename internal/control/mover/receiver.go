package mover

import (
	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/policy/move"
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
