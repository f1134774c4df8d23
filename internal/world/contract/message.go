package contract

import "baobabladder.example/baobabladder/internal/world/vm"

// Grant sets one VM's share of a resource.
type Grant struct {
	Resource Resource
	// Seq counts the grants of a resource to a VM within a term, from 1.
	Seq   int64
	Share Share
	// Tokens is the sum of the tokens given to the VM in the term, in the units of
	// Share.Size: those that other VMs surrendered. A sum may be repeated or
	// overtaken without a token being added twice.
	Tokens int64
}

// Offer asks a VM to take over grants and to report. An offer without grants
// only asks for the report. A VM refuses the offers of a term older than any it
// has seen.
type Offer struct {
	Term int64
	// From is the name of the VM that keeps the ledger.
	From string
	// To is the incarnation that the grants are meant for; 0 means any, and is
	// allowed only without grants.
	To vm.Incarnation
	// Round counts the divider's rounds within its term.
	Round int64
	// Full asks for all holdings in place of those that changed.
	Full   bool
	Grants []Grant
}

// Holding is what a VM holds of a resource.
type Holding struct {
	Resource Resource
	// Seq is the last grant taken over in the report's term, 0 without one.
	Seq int64
	// Share is the share of the last grant. Slots in use or lent above it are in
	// Busy alone. See Most.
	Share Share
	// Surrendered is the sum of the tokens that cuts of the share took from the VM
	// in the report's term.
	Surrendered int64
	// Asked and Unmet count what the VM's own callers asked for, and what of it
	// the VM's own share could not give, since the VM's process began. For a
	// workspace they count thousandths of requests, for a link bytes, for slots
	// requests.
	Asked int64
	Unmet int64
	// Busy counts the VM's own slots that are in use or lent.
	Busy int64
	// InUse counts slots in use by the VM's own requests, borrowed ones included.
	InUse int64
}

// MaxUsage returns the most that the VM may use until the next grant: slots that are
// in use or lent above its share stay so until their requests end.
func (h *Holding) MaxUsage() Share {
	return Share{Rate: h.Share.Rate, Size: max(h.Share.Size, h.Busy)}
}

// Borrowed counts the slots that a VM has borrowed, or may have: a loan whose
// reply is still awaited counts.
type Borrowed struct {
	Lender   vm.ID
	Resource Resource
	Count    int64
}

// Report is a VM's answer to an Offer.
type Report struct {
	VM    vm.ID
	Term  int64
	Round int64
	// Full says that Holdings is complete; otherwise it has what changed.
	Full     bool
	Holdings []Holding
	// Borrowed is always complete.
	Borrowed []Borrowed
}

// LoanRequest asks for one free slot of any of the candidates.
type LoanRequest struct {
	Borrower vm.ID
	// Loan is the borrower's number for this loan; it never repeats one.
	Loan       int64
	Candidates []Resource
}

// LoanReply names the slot lent; an empty Resource means that none was free.
type LoanReply struct {
	Lender   vm.ID
	Resource Resource
}

// Settlement tells a lender which loans are over: each loan below Next that is
// not in Open. A settlement stays true for ever, so it may be repeated or late.
type Settlement struct {
	Borrower vm.ID
	Next     int64
	// Open is sorted.
	Open []int64
}
