package divider

import (
	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/policy/limit"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/vm"
)

var (
	errorNamespace = errorx.NewNamespace("divider")
	// ErrNotListed says that a VM is not in the platform's list.
	ErrNotListed = errorNamespace.NewType("not_listed")
)

// TermRequest asks for the newest term that a VM has seen.
type TermRequest struct {
	From vm.ID
}

// WakeRequest tells the divider that a VM has demand which its shares did not meet.
type WakeRequest struct {
	From vm.ID
}

// WakeReply confirms a WakeRequest.
type WakeReply struct {
	VM vm.ID
}

// SettleReply confirms a settlement.
type SettleReply struct {
	VM vm.ID
}

// Receiver answers peers over net/rpc. Register it under ReceiverName.
type Receiver struct {
	Divider *Divider
}

// Offer takes over grants and reports.
func (r *Receiver) Offer(offer *contract.Offer, report *contract.Report) error {
	accepted, err := r.Divider.Holder.Accept(offer)
	if err != nil {
		r.Divider.count("limits_offers_refused", 1)
		return err
	}
	*report = *accepted
	return nil
}

// Term returns the newest term that this VM has seen.
func (r *Receiver) Term(_ *TermRequest, term *int64) error {
	*term = r.Divider.Holder.Term()
	return nil
}

// Take admits a peer's requests from this VM's share.
func (r *Receiver) Take(request *limit.TakeRequest, reply *limit.TakeReply) error {
	*reply = r.Divider.Limiter.Serve(*request)
	r.Divider.count("limit_admitted_for_peers", reply.Taken)
	return nil
}

// Lend lends a slot, if this VM has heard of the borrower's incarnation.
func (r *Receiver) Lend(request *contract.LoanRequest, reply *contract.LoanReply) error {
	known := vm.Incarnation(0)
	if member := r.Divider.View().Member(request.Borrower.Name); member != nil {
		known = member.Incarnation
	}
	*reply = r.Divider.Holder.Lend(request, known)
	return nil
}

// Settle takes back loans that are over.
func (r *Receiver) Settle(settlement *contract.Settlement, reply *SettleReply) error {
	r.Divider.Holder.Settle(settlement)
	reply.VM = r.Divider.Self
	return nil
}

// Wake begins a round that asks the caller.
func (r *Receiver) Wake(request *WakeRequest, reply *WakeReply) error {
	r.Divider.wakeUp(request.From.Name)
	reply.VM = r.Divider.Self
	return nil
}
