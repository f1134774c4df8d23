package contract

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/wakeup"
	"baobabladder.example/baobabladder/internal/world/vm"
)

var (
	errorNamespace = errorx.NewNamespace("contract")
	// ErrStale is the type of errors for an offer of an older term or for another
	// incarnation of the VM.
	ErrStale = errorNamespace.NewType("stale")
	// ErrNotFenced is the type of errors for an offer that arrives before Fence
	// has been called, that is, before the VM knows the fleet's newest term.
	ErrNotFenced = errorNamespace.NewType("not_fenced")
)

// Allocation is this VM's share of one resource together with its current
// usage. Its methods are safe for concurrent use.
type Allocation struct {
	clock clock.Clock

	mu sync.Mutex
	// bucket holds the share and its tokens. Slots use only the share. Guarded by
	// mu.
	bucket bucket
	// inUse and lent count this VM's own slots that run its requests or are lent
	// to peers. A slot is handed out only while their sum is below the share, and
	// it stays counted until it is free again. Guarded by mu.
	inUse, lent int64
	// term and seq identify the last grant applied. Guarded by mu.
	term, seq int64
	// received and surrendered are the sums of the tokens that grants of term
	// added and removed. Guarded by mu.
	received, surrendered int64
	// asked and unmet are cumulative totals of this VM's demand and of the part
	// of it that the share could not supply. Guarded by mu.
	asked, unmet int64
	// running counts the slots in use by this VM's requests, including borrowed
	// slots. Guarded by mu.
	running int64
	// changed reports whether the allocation differs from its last report.
	// Guarded by mu.
	changed bool
	// reportedUnmet is the value of unmet in the last report. Guarded by mu.
	reportedUnmet int64
}

// Take removes amount tokens if the share has them, and reports whether it did.
// Otherwise it counts amount as unmet demand.
func (a *Allocation) Take(amount int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked += amount
	a.changed = true
	if a.bucket.take(a.clock.Now(), amount) {
		return true
	}
	a.unmet += amount
	return false
}

// TakeMultiple removes amount tokens up to want times for requests of a peer.
// It returns the number of times that the tokens sufficed, and the wait until
// amount tokens are available again. It does not count as this VM's own demand.
func (a *Allocation) TakeMultiple(want, amount int64) (taken int64, wait clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for taken < want && a.bucket.take(now, amount) {
		taken++
	}
	return taken, a.bucket.wait(now, amount)
}

// TakeUpTo removes at most most tokens for a peer. It returns the number
// removed and the wait until one more token is available. It does not count as
// this VM's own demand.
func (a *Allocation) TakeUpTo(most int64) (taken int64, wait clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.bucket.fill(now)
	taken = max(0, min(most, a.bucket.level/levelUnit))
	a.bucket.level -= taken * levelUnit
	return taken, a.bucket.wait(now, 1)
}

// Wait returns the time until the share has amount tokens.
func (a *Allocation) Wait(amount int64) clock.Millis {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bucket.wait(a.clock.Now(), amount)
}

// AvailableTokens returns the number of whole tokens in the share, in the units
// of Share.Size.
func (a *Allocation) AvailableTokens() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.fill(a.clock.Now())
	return a.bucket.level / levelUnit
}

// Share returns the share set by the last grant.
func (a *Allocation) Share() Share {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bucket.share
}

// FreeSlots returns the number of this VM's own slots that are free.
func (a *Allocation) FreeSlots() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int(max(0, a.bucket.share.Size-a.inUse-a.lent))
}

// TakeSlot takes one of this VM's own free slots. If none is free, it reports
// false and counts the slot as unmet demand.
func (a *Allocation) TakeSlot() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked++
	a.changed = true
	if a.inUse+a.lent >= a.bucket.share.Size {
		a.unmet++
		return false
	}
	a.inUse++
	a.running++
	return true
}

// ReleaseSlot releases a slot taken by TakeSlot.
func (a *Allocation) ReleaseSlot() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inUse--
	a.running--
	a.changed = true
}

// AddUnmet counts demand for an amount, or for a number of slots, that was not
// available.
func (a *Allocation) AddUnmet(amount int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked += amount
	a.unmet += amount
	a.changed = true
}

// AddRunning adds change to the number of running requests: positive for
// requests that started on a borrowed slot, negative for those that ended.
func (a *Allocation) AddRunning(change int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running += change
	a.changed = true
}

func (a *Allocation) lend() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inUse+a.lent >= a.bucket.share.Size {
		return false
	}
	a.lent++
	a.changed = true
	return true
}

func (a *Allocation) reclaim() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lent--
	a.changed = true
}

// grant applies a grant that is newer than the last one applied.
func (a *Allocation) grant(term int64, grant *Grant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if term < a.term || (term == a.term && grant.Seq <= a.seq) {
		return
	}
	if term > a.term {
		a.received, a.surrendered = 0, 0
	}
	a.term, a.seq = term, grant.Seq
	a.surrendered += a.bucket.setShare(a.clock.Now(), grant.Share, max(0, grant.Tokens-a.received))
	a.received = max(a.received, grant.Tokens)
	a.changed = true
}

// holding returns the allocation's entry for a report of the given term, and
// whether it changed since the last report.
func (a *Allocation) holding(resource Resource, term int64) (holding Holding, changed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	holding = Holding{Resource: resource, Share: a.bucket.share, Asked: a.asked, Unmet: a.unmet, InUse: a.running}
	if a.term == term {
		holding.Seq = a.seq
		holding.Surrendered = a.surrendered
	}
	holding.Busy = a.inUse + a.lent
	changed = a.changed
	a.changed = false
	a.reportedUnmet = a.unmet
	return holding, changed
}

// hasUnmetDemand reports whether demand went unmet since the last report.
func (a *Allocation) hasUnmetDemand() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unmet > a.reportedUnmet
}

// Holder holds this VM's allocations of all resources for one incarnation of
// the VM. It starts with empty allocations and refuses offers until Fence is
// called. Self must be set.
type Holder struct {
	Self  vm.ID
	Clock clock.Clock

	// allocations is copied and replaced under mu, never modified, so that reads
	// need no lock.
	allocations atomic.Pointer[map[Resource]*Allocation]

	mu sync.Mutex
	// term is the newest term seen; offers of older terms are refused. Guarded by
	// mu.
	term int64
	// lastOfferFrom is the name of the VM whose offer was last accepted, at
	// lastOfferAt. Guarded by mu.
	lastOfferFrom string
	lastOfferAt   clock.Millis
	// fenced reports whether Fence has been called. Guarded by mu.
	fenced bool
	// loansByBorrower holds the loans of this VM's slots, by the borrower's name.
	// Guarded by mu.
	loansByBorrower map[string]*borrowerLoans
	// loansByLender holds this VM's loans from other VMs, by the lender's name.
	// Guarded by mu.
	loansByLender map[string]*lenderLoans
	// loansEnded is notified when borrowed slots were released.
	loansEnded wakeup.Signal
}

// Allocation returns the allocation of a resource, creating it on first use.
func (h *Holder) Allocation(resource Resource) *Allocation {
	if allocations := h.allocations.Load(); allocations != nil {
		if allocation := (*allocations)[resource]; allocation != nil {
			return allocation
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.allocationLocked(resource)
}

func (h *Holder) allocationLocked(resource Resource) *Allocation {
	updated := map[Resource]*Allocation{}
	if allocations := h.allocations.Load(); allocations != nil {
		if allocation := (*allocations)[resource]; allocation != nil {
			return allocation
		}
		updated = maps.Clone(*allocations)
	}
	allocation := &Allocation{clock: h.Clock, bucket: bucket{updatedAt: h.Clock.Now()}}
	updated[resource] = allocation
	h.allocations.Store(&updated)
	return allocation
}

// Holdings returns the resources of which this VM holds a nonzero share, sorted
// by resource.
func (h *Holder) Holdings() (holdings []Holding) {
	allocations := h.allocations.Load()
	if allocations == nil {
		return nil
	}
	for resource, allocation := range *allocations {
		if share := allocation.Share(); share != (Share{}) {
			holdings = append(holdings, Holding{Resource: resource, Share: share})
		}
	}
	slices.SortFunc(holdings, func(a, b Holding) int { return cmp.Compare(a.Resource, b.Resource) })
	return holdings
}

// Term returns the newest term seen.
func (h *Holder) Term() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.term
}

// Fence makes the holder refuse offers of terms before term from now on. A new
// incarnation must be fenced with the newest term known to its peers: otherwise
// a divider that was paused while another VM acquired the lease could still grant
// it a share that the new divider has given to another VM.
func (h *Holder) Fence(term int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.term = max(h.term, term)
	h.fenced = true
}

// Accept applies an offer's grants and returns the report that the offer asks
// for. It returns ErrNotFenced or ErrStale if the offer must not be applied.
func (h *Holder) Accept(offer *Offer) (report *Report, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !h.fenced:
		return nil, ErrNotFenced.New("%s does not know the newest term yet", h.Self.Name)
	case offer.Term < h.term:
		return nil, ErrStale.New("term %d is older than %d", offer.Term, h.term)
	case len(offer.Grants) > 0 && offer.To != h.Self.Incarnation:
		return nil, ErrStale.New("the grants are for incarnation %d, not %d", offer.To, h.Self.Incarnation)
	}
	h.term, h.lastOfferFrom, h.lastOfferAt = offer.Term, offer.From, h.Clock.Now()
	for i := range offer.Grants {
		h.allocationLocked(offer.Grants[i].Resource).grant(offer.Term, &offer.Grants[i])
	}
	return h.reportLocked(offer), nil
}

// DividerToNotify returns the name of the VM to notify that this VM has demand
// which its shares did not meet: the sender of the last accepted offer. It
// returns "" if there is no unmet demand, or if that offer is less than
// minOfferAge old.
func (h *Holder) DividerToNotify(minOfferAge clock.Millis) (divider string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	allocations := h.allocations.Load()
	if allocations == nil || h.Clock.Now()-h.lastOfferAt < minOfferAge {
		return ""
	}
	for _, allocation := range *allocations {
		if allocation.hasUnmetDemand() {
			return h.lastOfferFrom
		}
	}
	return ""
}

func (h *Holder) reportLocked(offer *Offer) *Report {
	report := &Report{VM: h.Self, Term: offer.Term, Round: offer.Round, Full: offer.Full, Borrowed: h.borrowedLocked()}
	allocations := h.allocations.Load()
	if allocations == nil {
		return report
	}
	granted := map[Resource]bool{}
	for i := range offer.Grants {
		granted[offer.Grants[i].Resource] = true
	}
	for resource, allocation := range *allocations {
		holding, changed := allocation.holding(resource, offer.Term)
		if changed || offer.Full || granted[resource] {
			report.Holdings = append(report.Holdings, holding)
		}
	}
	slices.SortFunc(report.Holdings, func(a, b Holding) int { return cmp.Compare(a.Resource, b.Resource) })
	return report
}
