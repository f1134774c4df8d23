package contract

import (
	"cmp"
	"maps"
	"slices"

	"baobabladder.example/baobabladder/internal/world/vm"
)

// lending is what one borrower's incarnation has of this VM's slots.
type lending struct {
	incarnation vm.Incarnation
	// next is the lowest loan that may still be made: a loan request that comes
	// after the settlement of its loan must not take a slot for ever.
	next int64
	open map[int64]Resource
}

// borrowing is what this VM has of one lender's slots.
type borrowing struct {
	// next is the next loan's number.
	next int64
	// open holds the loans in use or awaited; an awaited one has no resource yet.
	open map[int64]Borrowed
	// unsettled says that the lender has not confirmed the last settlement.
	unsettled bool
}

// Lend gives a slot of the first candidate that has a free one. known is the
// borrower's incarnation by the lender's own view, 0 without one. No other is
// lent to: BorrowerGone is told the last incarnation that the view had, so it
// would not take back the loan of one that the view never had.
func (h *Holder) Lend(request *LoanRequest, known vm.Incarnation) LoanReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	reply := LoanReply{Lender: h.Self}
	if request.Borrower.Incarnation != known {
		return reply
	}
	lending := h.lendingLocked(request.Borrower)
	if lending == nil || request.Loan < lending.next {
		return reply
	}
	if resource, repeated := lending.open[request.Loan]; repeated {
		reply.Resource = resource
		return reply
	}
	for _, candidate := range request.Candidates {
		if h.partLocked(candidate).lend() {
			lending.open[request.Loan] = candidate
			reply.Resource = candidate
			return reply
		}
	}
	return reply
}

// Settle takes back the loans that are over.
func (h *Holder) Settle(settlement *Settlement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	lending := h.lendingLocked(settlement.Borrower)
	if lending == nil {
		return
	}
	lending.next = max(lending.next, settlement.Next)
	for loan, resource := range lending.open {
		_, open := slices.BinarySearch(settlement.Open, loan)
		if loan < settlement.Next && !open {
			h.partLocked(resource).takeBack()
			delete(lending.open, loan)
		}
	}
}

// ReclaimLoans takes back all loans to the borrower's incarnations before since.
func (h *Holder) ReclaimLoans(name string, since vm.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	lending := h.lent[name]
	if lending == nil || lending.incarnation >= since {
		return
	}
	h.takeAllBackLocked(lending)
	lending.incarnation = since
	lending.next = 0
}

// lendingLocked returns the borrower's record, or nil for an old incarnation. A
// newer incarnation gives back all that the one before it had.
func (h *Holder) lendingLocked(borrower vm.ID) *lending {
	if h.lent == nil {
		h.lent = map[string]*lending{}
	}
	known := h.lent[borrower.Name]
	if known == nil {
		known = &lending{incarnation: borrower.Incarnation, open: map[int64]Resource{}}
		h.lent[borrower.Name] = known
	}
	if borrower.Incarnation < known.incarnation {
		return nil
	}
	if borrower.Incarnation > known.incarnation {
		h.takeAllBackLocked(known)
		known.incarnation = borrower.Incarnation
		known.next = 0
	}
	return known
}

func (h *Holder) takeAllBackLocked(lending *lending) {
	for _, resource := range lending.open {
		h.partLocked(resource).takeBack()
	}
	clear(lending.open)
}

// RequestLoan begins a loan from a lender. The awaited loan counts as borrowed until
// EndLoan, because the lender may have granted it.
func (h *Holder) RequestLoan(lender vm.ID, candidates []Resource) *LoanRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.loans == nil {
		h.loans = map[string]*borrowing{}
	}
	loans := h.loans[lender.Name]
	if loans == nil {
		loans = &borrowing{open: map[int64]Borrowed{}}
		h.loans[lender.Name] = loans
	}
	loan := loans.next
	loans.next++
	loans.open[loan] = Borrowed{Lender: lender, Count: 1}
	return &LoanRequest{Borrower: h.Self, Loan: loan, Candidates: candidates}
}

// AcceptLoanReply notes which slot the lender gave. It reports false, and ends the
// loan, if the lender gave none.
func (h *Holder) AcceptLoanReply(lender string, loan int64, reply *LoanReply) bool {
	if reply.Resource == "" {
		h.EndLoan(lender, loan)
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loans[lender].open[loan] = Borrowed{Lender: reply.Lender, Resource: reply.Resource, Count: 1}
	return true
}

// EndLoan ends a loan, used or not. The lender is told by Unsettled.
func (h *Holder) EndLoan(lender string, loan int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	loans := h.loans[lender]
	gave := loans.open[loan].Resource != ""
	delete(loans.open, loan)
	loans.unsettled = true
	if !gave {
		return
	}
	select {
	case h.endedLocked() <- struct{}{}:
	default:
	}
}

// LoansEnded tells that borrowed slots were given back since it was last read,
// so that their lenders can have the use of them at once.
func (h *Holder) LoansEnded() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.endedLocked()
}

func (h *Holder) endedLocked() chan struct{} {
	if h.ended == nil {
		h.ended = make(chan struct{}, 1)
	}
	return h.ended
}

// UnconfirmedSettlements returns the settlements that lenders have not confirmed, by lender.
func (h *Holder) UnconfirmedSettlements() map[string]*Settlement {
	h.mu.Lock()
	defer h.mu.Unlock()
	settlements := map[string]*Settlement{}
	for lender, loans := range h.loans {
		if loans.unsettled {
			settlements[lender] = &Settlement{Borrower: h.Self, Next: loans.next, Open: slices.Sorted(maps.Keys(loans.open))}
		}
	}
	return settlements
}

// ConfirmSettlement notes that the lender confirmed a settlement. Loans that ended since
// it was made leave a newer one.
func (h *Holder) ConfirmSettlement(lender string, settlement *Settlement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	loans := h.loans[lender]
	same := loans.next == settlement.Next && len(loans.open) == len(settlement.Open)
	loans.unsettled = loans.unsettled && !same
}

// ForgetLender forgets that a lender which is gone awaits a settlement.
func (h *Holder) ForgetLender(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if loans := h.loans[name]; loans != nil {
		loans.unsettled = false
	}
}

// borrowedLocked counts open loans by lender and resource, sorted.
func (h *Holder) borrowedLocked() []Borrowed {
	var all []Borrowed
	for _, loans := range h.loans {
		for _, loan := range loans.open {
			all = append(all, loan)
		}
	}
	slices.SortFunc(all, compareBorrowed)
	counted := all[:0]
	for _, loan := range all {
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
