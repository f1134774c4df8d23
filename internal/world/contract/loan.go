package contract

import (
	"cmp"
	"maps"
	"slices"

	"baobabladder.example/baobabladder/internal/world/vm"
)

// borrowerLoans holds the loans of this VM's slots to one incarnation of a
// borrower.
type borrowerLoans struct {
	incarnation vm.Incarnation
	// next is the lowest loan number that may still be granted. It makes a loan
	// request that arrives after the settlement of its loan fail; the slot would
	// otherwise never be returned.
	next int64
	open map[int64]Resource
}

// lenderLoans holds this VM's loans from one lender.
type lenderLoans struct {
	// next is the number of the next loan.
	next int64
	// open holds the loans that are in use or requested, by number. A requested
	// loan has no resource until the lender replies.
	open map[int64]Borrowed
	// unsettled reports whether the lender has yet to confirm that it knows which
	// loans have ended.
	unsettled bool
}

// Lend lends a slot of the first candidate that has a free one. A repeated
// request gets the same slot. known is the borrower's incarnation in this VM's
// membership view, or 0 if it has none. Requests of any other incarnation get
// no slot: ReclaimLoans is called with the last incarnation in that view, so it
// would not reclaim the loans of an incarnation that never appeared there.
func (h *Holder) Lend(request *LoanRequest, known vm.Incarnation) LoanReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	reply := LoanReply{Lender: h.Self}
	if request.Borrower.Incarnation != known {
		return reply
	}
	loans := h.borrowerLoansLocked(request.Borrower)
	if loans == nil || request.Loan < loans.next {
		return reply
	}
	if resource, repeated := loans.open[request.Loan]; repeated {
		reply.Resource = resource
		return reply
	}
	for _, candidate := range request.Candidates {
		if h.allocationLocked(candidate).lend() {
			loans.open[request.Loan] = candidate
			reply.Resource = candidate
			return reply
		}
	}
	return reply
}

// Settle reclaims the slots of loans that have ended.
func (h *Holder) Settle(settlement *Settlement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	loans := h.borrowerLoansLocked(settlement.Borrower)
	if loans == nil {
		return
	}
	loans.next = max(loans.next, settlement.Next)
	for loan, resource := range loans.open {
		_, open := slices.BinarySearch(settlement.Open, loan)
		if loan < settlement.Next && !open {
			h.allocationLocked(resource).reclaim()
			delete(loans.open, loan)
		}
	}
}

// ReclaimLoans reclaims all slots lent to the borrower's incarnations before
// since.
func (h *Holder) ReclaimLoans(name string, since vm.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	loans := h.loansByBorrower[name]
	if loans == nil || loans.incarnation >= since {
		return
	}
	h.reclaimAllLocked(loans)
	loans.incarnation = since
	loans.next = 0
}

// borrowerLoansLocked returns the borrower's loans, or nil if its incarnation
// is outdated. For a newer incarnation it first reclaims all slots lent to the
// previous one. The caller must hold mu.
func (h *Holder) borrowerLoansLocked(borrower vm.ID) *borrowerLoans {
	if h.loansByBorrower == nil {
		h.loansByBorrower = map[string]*borrowerLoans{}
	}
	loans := h.loansByBorrower[borrower.Name]
	if loans == nil {
		loans = &borrowerLoans{incarnation: borrower.Incarnation, open: map[int64]Resource{}}
		h.loansByBorrower[borrower.Name] = loans
	}
	if borrower.Incarnation < loans.incarnation {
		return nil
	}
	if borrower.Incarnation > loans.incarnation {
		h.reclaimAllLocked(loans)
		loans.incarnation = borrower.Incarnation
		loans.next = 0
	}
	return loans
}

func (h *Holder) reclaimAllLocked(loans *borrowerLoans) {
	for _, resource := range loans.open {
		h.allocationLocked(resource).reclaim()
	}
	clear(loans.open)
}

// RequestLoan starts a loan and returns the request to send to the lender. The
// loan counts as borrowed until EndLoan, because the lender may have granted it
// even if its reply is lost.
func (h *Holder) RequestLoan(lender vm.ID, candidates []Resource) *LoanRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.loansByLender == nil {
		h.loansByLender = map[string]*lenderLoans{}
	}
	loans := h.loansByLender[lender.Name]
	if loans == nil {
		loans = &lenderLoans{open: map[int64]Borrowed{}}
		h.loansByLender[lender.Name] = loans
	}
	loan := loans.next
	loans.next++
	loans.open[loan] = Borrowed{Lender: lender, Count: 1}
	return &LoanRequest{Borrower: h.Self, Loan: loan, Candidates: candidates}
}

// AcceptLoanReply records the slot that the lender granted and reports whether
// there is one. If the lender granted none, it ends the loan.
func (h *Holder) AcceptLoanReply(lender string, loan int64, reply *LoanReply) bool {
	if reply.Resource == "" {
		h.EndLoan(lender, loan)
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loansByLender[lender].open[loan] = Borrowed{Lender: reply.Lender, Resource: reply.Resource, Count: 1}
	return true
}

// EndLoan ends a loan, whether granted or not. UnconfirmedSettlements then
// reports it to the lender.
func (h *Holder) EndLoan(lender string, loan int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	loans := h.loansByLender[lender]
	granted := loans.open[loan].Resource != ""
	delete(loans.open, loan)
	loans.unsettled = true
	if granted {
		h.loansEnded.Notify()
	}
}

// LoansEnded returns a channel that receives a value after borrowed slots were
// released, so that their lenders can be notified and reuse them at once.
func (h *Holder) LoansEnded() <-chan struct{} { return h.loansEnded.C() }

// UnconfirmedSettlements returns the settlements that lenders have not
// confirmed, by lender.
func (h *Holder) UnconfirmedSettlements() map[string]*Settlement {
	h.mu.Lock()
	defer h.mu.Unlock()
	settlements := map[string]*Settlement{}
	for lender, loans := range h.loansByLender {
		if loans.unsettled {
			settlements[lender] = &Settlement{Borrower: h.Self, Next: loans.next, Open: slices.Sorted(maps.Keys(loans.open))}
		}
	}
	return settlements
}

// ConfirmSettlement records that the lender confirmed a settlement. If more
// loans have ended since that settlement was made, a new settlement remains to
// be confirmed.
func (h *Holder) ConfirmSettlement(lender string, settlement *Settlement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	loans := h.loansByLender[lender]
	isCurrent := loans.next == settlement.Next && len(loans.open) == len(settlement.Open)
	loans.unsettled = loans.unsettled && !isCurrent
}

// ForgetLender stops reporting settlements to a lender that no longer exists.
func (h *Holder) ForgetLender(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if loans := h.loansByLender[name]; loans != nil {
		loans.unsettled = false
	}
}

// borrowedLocked counts open loans by lender and resource, sorted. The caller
// must hold mu.
func (h *Holder) borrowedLocked() []Borrowed {
	var open []Borrowed
	for _, loans := range h.loansByLender {
		for _, loan := range loans.open {
			open = append(open, loan)
		}
	}
	slices.SortFunc(open, compareBorrowed)
	counted := open[:0]
	for _, loan := range open {
		last := len(counted) - 1
		if last >= 0 && compareBorrowed(counted[last], loan) == 0 {
			counted[last].Count++
			continue
		}
		counted = append(counted, loan)
	}
	return counted
}

func compareBorrowed(a, b Borrowed) int {
	switch {
	case a.Lender.Name != b.Lender.Name:
		return cmp.Compare(a.Lender.Name, b.Lender.Name)
	case a.Lender.Incarnation != b.Lender.Incarnation:
		return int(a.Lender.Incarnation - b.Lender.Incarnation)
	}
	return cmp.Compare(a.Resource, b.Resource)
}
