package contract_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/vm"
)

var (
	rate  = contract.RateResource("artes", "small")
	slots = contract.SlotsResource("artes", "e1")
	self  = vm.ID{Name: "vm1", Incarnation: 7}
	peer  = vm.ID{Name: "vm2", Incarnation: 3}
)

func newHolder(manual *clock.Manual) *contract.Holder {
	holder := &contract.Holder{Self: self, Clock: manual.Clock()}
	holder.Fence(1)
	return holder
}

func offer(term, seq int64, resource contract.Resource, share contract.Share, tokens int64) *contract.Offer {
	grant := contract.Grant{Resource: resource, Seq: seq, Share: share, Tokens: tokens}
	return &contract.Offer{Term: term, To: self.Incarnation, Grants: []contract.Grant{grant}}
}

func accept(g *WithT, holder *contract.Holder, o *contract.Offer) contract.Holding {
	report, err := holder.Accept(o)
	g.Expect(err).NotTo(HaveOccurred())
	return report.Holdings[0]
}

func TestRaisingAShareAddsNoTokensAndLoweringItDiscardsThem(t *testing.T) {
	g := NewWithT(t)
	manual := &clock.Manual{}
	holder := newHolder(manual)
	accept(g, holder, offer(1, 1, rate, contract.Share{Rate: 1000, Size: 5000}, 0))
	allocation := holder.Allocation(rate)
	g.Expect(allocation.Take(1000)).To(BeFalse())
	manual.Advance(clock.Minute)
	g.Expect(allocation.AvailableTokens()).To(Equal(int64(5000)))
	accept(g, holder, offer(1, 2, rate, contract.Share{Rate: 1000, Size: 9000}, 0))
	g.Expect(allocation.AvailableTokens()).To(Equal(int64(5000)))
	lowered := accept(g, holder, offer(1, 3, rate, contract.Share{Rate: 1000, Size: 2000}, 0))
	g.Expect(allocation.AvailableTokens()).To(Equal(int64(2000)))
	g.Expect(lowered.Surrendered).To(Equal(int64(3000)))
}

func TestRepeatedOrOlderGrantChangesNothing(t *testing.T) {
	g := NewWithT(t)
	holder := newHolder(&clock.Manual{})
	second := offer(2, 2, rate, contract.Share{Rate: 1, Size: 5000}, 3000)
	accept(g, holder, second)
	accept(g, holder, second)
	accept(g, holder, offer(2, 1, rate, contract.Share{Rate: 1, Size: 9000}, 1000))
	g.Expect(holder.Allocation(rate).AvailableTokens()).To(Equal(int64(3000)))
	g.Expect(holder.Allocation(rate).Share().Size).To(Equal(int64(5000)))
	accept(g, holder, offer(2, 3, rate, contract.Share{Rate: 1, Size: 5000}, 3500))
	g.Expect(holder.Allocation(rate).AvailableTokens()).To(Equal(int64(3500)))
}

func TestOlderTermIsRefused(t *testing.T) {
	g := NewWithT(t)
	holder := newHolder(&clock.Manual{})
	accept(g, holder, offer(3, 1, rate, contract.Share{Size: 1000}, 0))
	_, err := holder.Accept(&contract.Offer{Term: 2})
	g.Expect(err).To(MatchError(ContainSubstring("term 2 is older than 3")))
	holder.Fence(9)
	_, err = holder.Accept(&contract.Offer{Term: 8})
	g.Expect(err).To(HaveOccurred())
}

func TestGrantForAnotherIncarnationIsRefused(t *testing.T) {
	g := NewWithT(t)
	holder := newHolder(&clock.Manual{})
	misdirected := offer(1, 1, rate, contract.Share{Size: 1000}, 0)
	misdirected.To--
	_, err := holder.Accept(misdirected)
	g.Expect(err).To(HaveOccurred())
	g.Expect(holder.Allocation(rate).Share()).To(Equal(contract.Share{}))
}

func TestHolderRefusesOffersBeforeItIsFenced(t *testing.T) {
	g := NewWithT(t)
	holder := &contract.Holder{Self: self}
	_, err := holder.Accept(offer(5, 1, rate, contract.Share{Size: 1000}, 0))
	g.Expect(err).To(HaveOccurred())
	g.Expect(holder.Term()).To(BeZero())
}

func TestSlotsInUseStayCountedAfterTheShareIsLowered(t *testing.T) {
	g := NewWithT(t)
	holder := newHolder(&clock.Manual{})
	accept(g, holder, offer(1, 1, slots, contract.Share{Size: 3}, 0))
	allocation := holder.Allocation(slots)
	g.Expect(allocation.TakeSlot()).To(BeTrue())
	g.Expect(holder.Lend(&contract.LoanRequest{Borrower: peer, Candidates: []contract.Resource{slots}}, peer.Incarnation).Resource).To(Equal(slots))
	lowered := accept(g, holder, offer(1, 2, slots, contract.Share{Size: 1}, 0))
	g.Expect(lowered.Share.Size).To(Equal(int64(1)))
	g.Expect(lowered.MaxUsage().Size).To(Equal(int64(2)))
	g.Expect(allocation.TakeSlot()).To(BeFalse())
	allocation.ReleaseSlot()
	g.Expect(allocation.TakeSlot()).To(BeFalse())
}

// A loan request may arrive after the settlement of its loan. It must not take
// a slot, because the borrower would never return it.
func TestLateLoanRequestTakesNoSlot(t *testing.T) {
	g := NewWithT(t)
	holder := newHolder(&clock.Manual{})
	accept(g, holder, offer(1, 1, slots, contract.Share{Size: 1}, 0))
	holder.Settle(&contract.Settlement{Borrower: peer, Next: 1})
	late := &contract.LoanRequest{Borrower: peer, Loan: 0, Candidates: []contract.Resource{slots}}
	g.Expect(holder.Lend(late, peer.Incarnation).Resource).To(BeEmpty())
	g.Expect(holder.Allocation(slots).FreeSlots()).To(Equal(1))
}

func TestRepeatedLoanRequestTakesOneSlot(t *testing.T) {
	g := NewWithT(t)
	holder := newHolder(&clock.Manual{})
	accept(g, holder, offer(1, 1, slots, contract.Share{Size: 2}, 0))
	request := &contract.LoanRequest{Borrower: peer, Loan: 4, Candidates: []contract.Resource{slots}}
	g.Expect(holder.Lend(request, peer.Incarnation)).To(Equal(holder.Lend(request, peer.Incarnation)))
	g.Expect(holder.Allocation(slots).FreeSlots()).To(Equal(1))
}

func TestNewIncarnationOfBorrowerReleasesItsLoans(t *testing.T) {
	g := NewWithT(t)
	holder := newHolder(&clock.Manual{})
	accept(g, holder, offer(1, 1, slots, contract.Share{Size: 1}, 0))
	request := contract.LoanRequest{Borrower: peer, Candidates: []contract.Resource{slots}}
	g.Expect(holder.Lend(&request, request.Borrower.Incarnation).Resource).To(Equal(slots))
	request.Borrower.Incarnation++
	request.Loan++
	g.Expect(holder.Lend(&request, request.Borrower.Incarnation).Resource).To(Equal(slots))
	request.Borrower.Incarnation--
	request.Loan = 9
	g.Expect(holder.Lend(&request, request.Borrower.Incarnation).Resource).To(BeEmpty())
}

// A borrower may end before its new incarnation appears in the lender's
// membership view. Its loans are then reclaimed only up to the previous
// incarnation, so a slot lent to the new one would never be returned.
func TestUnknownIncarnationGetsNoSlot(t *testing.T) {
	g := NewWithT(t)
	holder := newHolder(&clock.Manual{})
	accept(g, holder, offer(1, 1, slots, contract.Share{Size: 1}, 0))
	unknown := vm.ID{Name: peer.Name, Incarnation: peer.Incarnation + 1}
	holder.Lend(&contract.LoanRequest{Borrower: unknown, Candidates: []contract.Resource{slots}}, peer.Incarnation)
	holder.ReclaimLoans(peer.Name, peer.Incarnation+1)
	g.Expect(holder.Allocation(slots).FreeSlots()).To(Equal(1))
	holder.Lend(&contract.LoanRequest{Borrower: unknown, Candidates: []contract.Resource{slots}}, 0)
	g.Expect(holder.Allocation(slots).FreeSlots()).To(Equal(1), "requested after the borrower was removed from the membership")
}

func TestRequestedLoanCountsAsBorrowed(t *testing.T) {
	g := NewWithT(t)
	holder := newHolder(&clock.Manual{})
	request := holder.RequestLoan(peer, []contract.Resource{slots})
	report, err := holder.Accept(&contract.Offer{Term: 1})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.Borrowed).To(Equal([]contract.Borrowed{{Lender: peer, Count: 1}}))
	holder.EndLoan(peer.Name, request.Loan)
	settlement := holder.UnconfirmedSettlements()[peer.Name]
	g.Expect(settlement).To(Equal(&contract.Settlement{Borrower: self, Next: 1}))
	holder.ConfirmSettlement(peer.Name, settlement)
	g.Expect(holder.UnconfirmedSettlements()).To(BeEmpty())
}

// Guards against a delay in returning slots: a slot borrowed for a request of a
// few milliseconds stayed counted until the next round, because the borrower's
// VM was not notified when a loan ended.
func TestEndedLoanIsSignalledAtOnce(t *testing.T) {
	g := NewWithT(t)
	holder := newHolder(&clock.Manual{})
	refused := holder.RequestLoan(peer, []contract.Resource{slots})
	g.Expect(holder.AcceptLoanReply(peer.Name, refused.Loan, &contract.LoanReply{Lender: peer})).To(BeFalse())
	g.Expect(holder.LoansEnded()).NotTo(Receive())
	for range 2 {
		given := holder.RequestLoan(peer, []contract.Resource{slots})
		g.Expect(holder.AcceptLoanReply(peer.Name, given.Loan, &contract.LoanReply{Lender: peer, Resource: slots})).To(BeTrue())
		holder.EndLoan(peer.Name, given.Loan)
	}
	g.Expect(holder.LoansEnded()).To(Receive())
	g.Expect(holder.LoansEnded()).NotTo(Receive())
	g.Expect(holder.UnconfirmedSettlements()).To(HaveKey(peer.Name))
}
