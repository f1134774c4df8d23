package contract

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/vm"
)

var (
	errorNamespace = errorx.NewNamespace("contract")
	// ErrStale says that an offer is of an older term, or for another incarnation.
	ErrStale = errorNamespace.NewType("stale")
	// ErrNotFenced says that the VM does not yet know the fleet's newest term.
	ErrNotFenced = errorNamespace.NewType("not_fenced")
)

// Allocation is one VM's share of one resource, ready for use. Its methods may be
// called from any goroutine.
type Allocation struct {
	clock clock.Clock

	mu sync.Mutex
	// bucket holds the tokens; for slots only its share is used. Guarded by mu.
	bucket bucket
	// inUse and lent count own slots. A slot is given out only while their sum is
	// below the share, and it stays counted until it is free. Guarded by mu.
	inUse, lent int64
	// term and seq name the last grant taken over. Guarded by mu.
	term, seq int64
	// given and surrendered are the sums of tokens that came and went with grants
	// in term. Guarded by mu.
	given, surrendered int64
	// asked and unmet only grow. Guarded by mu.
	asked, unmet int64
	// running counts slots in use by own requests, borrowed ones included.
	// Guarded by mu.
	running int64
	// changed says that the part differs from its last report. Guarded by mu.
	changed bool
	// reportedUnmet is what unmet was in the last report. Guarded by mu.
	reportedUnmet int64
}

// Take removes amount tokens if the share has them.
func (p *Allocation) Take(amount int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked += amount
	p.changed = true
	if p.bucket.take(p.clock.Now(), amount) {
		return true
	}
	p.unmet += amount
	return false
}

// TakeMultiple removes up to want times amount for a peer's callers and returns how
// many times it could, with the wait until it can again.
func (p *Allocation) TakeMultiple(want, amount int64) (taken int64, wait clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for taken < want && p.bucket.take(now, amount) {
		taken++
	}
	return taken, p.bucket.wait(now, amount)
}

// TakeUpTo removes at most most tokens for a peer's callers. It returns how many it
// removed, with the wait until one more is there.
func (p *Allocation) TakeUpTo(most int64) (taken int64, wait clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.bucket.fill(now)
	taken = max(0, min(most, p.bucket.level/levelUnit))
	p.bucket.level -= taken * levelUnit
	return taken, p.bucket.wait(now, 1)
}

// Wait returns how long it takes until the share has amount tokens.
func (p *Allocation) Wait(amount int64) clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bucket.wait(p.clock.Now(), amount)
}

// AvailableTokens returns the whole tokens in the share, in the units of its size.
func (p *Allocation) AvailableTokens() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bucket.fill(p.clock.Now())
	return p.bucket.level / levelUnit
}

// Share returns the granted share.
func (p *Allocation) Share() Share {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bucket.share
}

// FreeSlots returns how many own slots are free.
func (p *Allocation) FreeSlots() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int(max(0, p.bucket.share.Size-p.inUse-p.lent))
}

// TakeSlot takes an own free slot.
func (p *Allocation) TakeSlot() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked++
	p.changed = true
	if p.inUse+p.lent >= p.bucket.share.Size {
		p.unmet++
		return false
	}
	p.inUse++
	p.running++
	return true
}

// ReleaseSlot gives back an own slot.
func (p *Allocation) ReleaseSlot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse--
	p.running--
	p.changed = true
}

// AddUnmet counts an amount, or slots, wanted and not there.
func (p *Allocation) AddUnmet(amount int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked += amount
	p.unmet += amount
	p.changed = true
}

// AddRunning counts requests that began (or, negative, ended) on a borrowed slot.
func (p *Allocation) AddRunning(change int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running += change
	p.changed = true
}

func (p *Allocation) lend() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse+p.lent >= p.bucket.share.Size {
		return false
	}
	p.lent++
	p.changed = true
	return true
}

func (p *Allocation) takeBack() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lent--
	p.changed = true
}

// grant takes over a grant that is newer than the last one.
func (p *Allocation) grant(term int64, grant *Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if term < p.term || (term == p.term && grant.Seq <= p.seq) {
		return
	}
	if term > p.term {
		p.given, p.surrendered = 0, 0
	}
	p.term, p.seq = term, grant.Seq
	p.surrendered += p.bucket.set(p.clock.Now(), grant.Share, max(0, grant.Tokens-p.given))
	p.given = max(p.given, grant.Tokens)
	p.changed = true
}

// holding describes the part in a report of the term.
func (p *Allocation) holding(resource Resource, term int64) (holding Holding, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	holding = Holding{Resource: resource, Share: p.bucket.share, Asked: p.asked, Unmet: p.unmet, InUse: p.running}
	if p.term == term {
		holding.Seq = p.seq
		holding.Surrendered = p.surrendered
	}
	holding.Busy = p.inUse + p.lent
	changed = p.changed
	p.changed = false
	p.reportedUnmet = p.unmet
	return holding, changed
}

// isShort reports whether demand was not met since the last report.
func (p *Allocation) isShort() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unmet > p.reportedUnmet
}

// Holder is one incarnation's shares of all resources. It starts with nothing
// and takes no grant before Fence. Self must be set.
type Holder struct {
	Self  vm.ID
	Clock clock.Clock

	// parts is replaced, never changed, under mu.
	parts atomic.Pointer[map[Resource]*Allocation]

	mu sync.Mutex
	// term is the newest seen; older offers are refused. Guarded by mu.
	term int64
	// offeredBy is the VM whose offer was last taken over, at offeredAt. Guarded by mu.
	offeredBy string
	offeredAt clock.Millis
	// fenced says that term is what the fleet knew when the process began.
	// Guarded by mu.
	fenced bool
	// lent holds what each borrower has of this VM's slots. Guarded by mu.
	lent map[string]*lending
	// loans holds the loans from each lender that are not settled. Guarded by mu.
	loans map[string]*borrowing
	// ended holds a value when borrowed slots were given back lately. It is made at
	// first use. Guarded by mu; its value never changes after.
	ended chan struct{}
}

// Allocation returns the part of a resource, made at first use.
func (h *Holder) Allocation(resource Resource) *Allocation {
	if parts := h.parts.Load(); parts != nil {
		if part := (*parts)[resource]; part != nil {
			return part
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.partLocked(resource)
}

func (h *Holder) partLocked(resource Resource) *Allocation {
	grown := map[Resource]*Allocation{}
	if parts := h.parts.Load(); parts != nil {
		if part := (*parts)[resource]; part != nil {
			return part
		}
		grown = maps.Clone(*parts)
	}
	part := &Allocation{clock: h.Clock, bucket: bucket{at: h.Clock.Now()}}
	grown[resource] = part
	h.parts.Store(&grown)
	return part
}

// Holdings returns the resources of which this VM holds a share, sorted.
func (h *Holder) Holdings() (holdings []Holding) {
	parts := h.parts.Load()
	if parts == nil {
		return nil
	}
	for resource, part := range *parts {
		if share := part.Share(); share != (Share{}) {
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

// Fence refuses terms before term from now on. A new incarnation is fenced with
// the newest term that its peers know; without that a divider that was paused
// through a change of term could grant it what its successor has given away.
func (h *Holder) Fence(term int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.term = max(h.term, term)
	h.fenced = true
}

// Accept takes over an offer's grants and reports.
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
	h.term, h.offeredBy, h.offeredAt = offer.Term, offer.From, h.Clock.Now()
	for i := range offer.Grants {
		h.partLocked(offer.Grants[i].Resource).grant(offer.Term, &offer.Grants[i])
	}
	return h.reportLocked(offer), nil
}

// DividerToNotify returns the VM that is to be told that this one has demand which its shares
// did not meet, or "" if there is none or that VM asked within patience.
func (h *Holder) DividerToNotify(patience clock.Millis) (divider string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	parts := h.parts.Load()
	if parts == nil || h.Clock.Now()-h.offeredAt < patience {
		return ""
	}
	for _, part := range *parts {
		if part.isShort() {
			return h.offeredBy
		}
	}
	return ""
}

func (h *Holder) reportLocked(offer *Offer) *Report {
	report := &Report{VM: h.Self, Term: offer.Term, Round: offer.Round, Full: offer.Full, Borrowed: h.borrowedLocked()}
	parts := h.parts.Load()
	if parts == nil {
		return report
	}
	granted := map[Resource]bool{}
	for i := range offer.Grants {
		granted[offer.Grants[i].Resource] = true
	}
	for resource, part := range *parts {
		holding, changed := part.holding(resource, offer.Term)
		if changed || offer.Full || granted[resource] {
			report.Holdings = append(report.Holdings, holding)
		}
	}
	slices.SortFunc(report.Holdings, func(a, b Holding) int { return cmp.Compare(a.Resource, b.Resource) })
	return report
}
