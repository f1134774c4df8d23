package divider

import (
	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/policy/limit"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/vm"
)

var (
	errorNamespace = errorx.NewNamespace("divider")
	// ErrNotListed is returned for a call to a VM that is not in the membership view.
	ErrNotListed = errorNamespace.NewType("not_listed")
)

// TermRequest requests the newest term that a VM has seen.
type TermRequest struct {
	From vm.ID
}

// WakeRequest reports unmet demand to the divider.
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

// Receiver serves peers over net/rpc. Register it under ReceiverName.
type Receiver struct {
	Divider *Divider
}

// Offer accepts grants and replies with this VM's report. It returns an error if the
// offer is refused, for example for an old term.
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

// Take admits requests of a peer from this VM's share.
func (r *Receiver) Take(request *limit.TakeRequest, reply *limit.TakeReply) error {
	*reply = r.Divider.Limiter.Serve(*request)
	r.Divider.count("limit_admitted_for_peers", reply.Taken)
	return nil
}

// Lend lends a slot if the borrower's incarnation is the one in this VM's membership
// view; see contract.Holder.Lend.
func (r *Receiver) Lend(request *contract.LoanRequest, reply *contract.LoanReply) error {
	known := vm.Incarnation(0)
	if member := r.Divider.View().Member(request.Borrower.Name); member != nil {
		known = member.Incarnation
	}
	*reply = r.Divider.Holder.Lend(request, known)
	return nil
}

// Settle takes back the slots of loans that have ended; this VM is the lender.
func (r *Receiver) Settle(settlement *contract.Settlement, reply *SettleReply) error {
	r.Divider.Holder.Settle(settlement)
	reply.VM = r.Divider.Self
	return nil
}

// Wake starts a round that includes the calling VM, if this VM is the divider.
func (r *Receiver) Wake(request *WakeRequest, reply *WakeReply) error {
	r.Divider.receiveWake(request.From.Name)
	reply.VM = r.Divider.Self
	return nil
}
