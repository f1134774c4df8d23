package contract

import "baobabladder.example/baobabladder/internal/world/vm"

// Grant sets one VM's share of a resource.
type Grant struct {
	Resource Resource
	// Seq numbers the grants of a resource to a VM within a term, from 1.
	Seq   int64
	Share Share
	// Tokens is the sum of all tokens granted to the VM during the term, in the
	// units of Share.Size. They are tokens that other VMs surrendered. Because it
	// is a running sum, a grant may be repeated or skipped without a token being
	// added twice or lost.
	Tokens int64
}

// Offer asks a VM to apply grants and to report its holdings. An offer without
// grants only asks for the report. A VM refuses offers of a term older than the
// newest that it has seen.
type Offer struct {
	Term int64
	// From is the name of the VM that sends the offer and keeps the ledger of
	// shares.
	From string
	// To is the incarnation that the grants are for. 0 stands for any incarnation
	// and is allowed only without grants.
	To vm.Incarnation
	// Round numbers the divider's rounds of offers within the term.
	Round int64
	// Full asks for all holdings instead of only those that changed.
	Full   bool
	Grants []Grant
}

// Holding is a VM's report of its use of one resource.
type Holding struct {
	Resource Resource
	// Seq is the number of the last grant applied in the report's term, or 0 if
	// there is none.
	Seq int64
	// Share is the share set by the last grant. Slots above it that are still in
	// use or lent are counted only in Busy; see MaxUsage.
	Share Share
	// Surrendered is the sum of the tokens discarded from the VM's share by
	// grants that lowered it in the report's term.
	Surrendered int64
	// Asked and Unmet are totals since the VM's process started: the demand of
	// the VM's own callers, and the part of it that the VM's own share could not
	// supply. The unit is thousandths of requests for a workspace, bytes for a
	// link and requests for slots.
	Asked int64
	Unmet int64
	// Busy is the number of the VM's own slots that are in use or lent.
	Busy int64
	// InUse is the number of slots in use by the VM's requests, including
	// borrowed slots.
	InUse int64
}

// MaxUsage returns the most that the VM may use until the next grant. Slots
// above the share that are in use or lent stay in use until their requests end.
func (h *Holding) MaxUsage() Share {
	return Share{Rate: h.Share.Rate, Size: max(h.Share.Size, h.Busy)}
}

// Borrowed is the number of slots of one resource that a VM has borrowed from a
// lender. It includes loans that were requested but not yet replied to, since the
// lender may have granted them.
type Borrowed struct {
	Lender   vm.ID
	Resource Resource
	Count    int64
}

// Report is the reply to an Offer.
type Report struct {
	VM    vm.ID
	Term  int64
	Round int64
	// Full reports whether Holdings is complete. Otherwise it holds only the
	// resources that changed or were granted.
	Full     bool
	Holdings []Holding
	// Borrowed is always complete, also if Full is false.
	Borrowed []Borrowed
}

// LoanRequest asks another VM for one free slot of any of the candidates.
type LoanRequest struct {
	Borrower vm.ID
	// Loan is the borrower's number for this loan. A borrower never reuses a
	// number, except to repeat the same request.
	Loan       int64
	Candidates []Resource
}

// LoanReply identifies the slot lent. Resource is empty if no slot was free.
type LoanReply struct {
	Lender   vm.ID
	Resource Resource
}

// Settlement informs a lender which loans have ended: all loans with a number
// below Next that are not in Open. Ended loans never reopen, so a settlement
// may be repeated or arrive late.
type Settlement struct {
	Borrower vm.ID
	Next     int64
	// Open holds the numbers of the open loans, sorted.
	Open []int64
}
