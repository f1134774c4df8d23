// Package divide decides how the limits of the whole fleet are divided into
// shares of its entry VMs. The limits are those of package contract: rates of
// workspaces, slots of endpoints and bandwidth of links. For each VM, the
// Allocator tracks the most that the VM may hold. It raises a share only as far
// as the sum over all VMs, including those that are unreachable or removed,
// stays within the limit. The package does no I/O: its caller delivers the
// offers to the VMs and their reports to the Allocator.
//
// One VM at a time, the divider, holds a lease and runs an Allocator for the
// term of the lease. It works in rounds. In each round, Plan allocates resources
// anew where that is due and returns an offer for each VM. The offer contains
// grants, which set new shares, and asks for a report of what the VM holds. The
// report confirms the grants that the VM has applied. A VM that has reported in
// a term refuses offers of older terms.
//
// VMs lend each other slots without the divider. A slot stays counted for the VM
// whose share it belongs to until the borrower has returned it.
package divide

import (
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// Member is a VM on the platform's list.
type Member struct {
	vm.ID
	Location
}

// Allocator divides the limits during one lease term. Create it with New. It must
// not be used concurrently.
type Allocator struct {
	term  int64
	self  string
	clock clock.Clock
	// round is incremented by each Plan.
	round int64
	// names holds the names of the listed VMs, sorted.
	names     []string
	members   map[string]*memberState
	resources []contract.Resource
	states    map[contract.Resource]*resourceState
	removed   []*removedVM
	// removedCount counts the VMs that were removed from the list.
	removedCount int
	// hadHoldings is true if any VM held a share, or used slots, in its first
	// report of this term. If none did, the whole fleet has just started.
	hadHoldings bool
	// hadUncertainHoldings is the result of hasUncertainHoldings in the last Plan.
	hadUncertainHoldings bool
	// reallocated holds the resources that the last Plan allocated anew, sorted.
	reallocated []contract.Resource
	// membershipChanged is true if all resources must be allocated anew because of
	// a change of the listed or the reporting VMs.
	membershipChanged bool
}

// memberState holds what the allocator knows of a listed VM.
type memberState struct {
	id       vm.ID
	location Location
	// hasReported is true once the VM has reported in this term; from then on it
	// refuses offers of older terms. Until then its holdings are unknown.
	hasReported bool
	// reportedRound is the last round for which the VM has reported.
	reportedRound int64
	borrowed      []contract.Borrowed
	// offeredAt is when the last offer to the VM was planned; unansweredOffers
	// counts the offers since its last report.
	offeredAt        clock.Millis
	unansweredOffers int
	// isActive is true if the last report contained a change, the VM has
	// restarted or it asked for an offer.
	isActive bool
}

// resourceState holds the allocations of one resource.
type resourceState struct {
	total Total
	// allocatedTotal is the total of the last allocation, which happened at
	// allocatedAt.
	allocatedTotal Total
	isAllocated    bool
	allocatedAt    clock.Millis
	// isStable is true if planning the resource again would change nothing until
	// a report or a new limit arrives, or until the average demand has fallen
	// since reportedAt, the time of the last report.
	isStable   bool
	reportedAt clock.Millis
	// freeTokens are the tokens that VMs have surrendered and that were not granted
	// again. They never exceed the size that no VM may hold.
	freeTokens  int64
	allocations map[string]*vmAllocation
}

// vmAllocation is the allocation of a resource to one VM.
type vmAllocation struct {
	// initialShare is the share in the VM's first report of this term. Slots in use
	// above the share are not included: after the total was lowered they may exceed
	// it, so they prove nothing about what other VMs hold.
	initialShare contract.Share
	// maxHeld is the most that the VM may hold: the maximum of what it reported
	// when it confirmed the grant ackedSeq, and of all later grants.
	maxHeld contract.Share
	// desired is the share that the last allocation computed. granted is the share
	// in the last grant: it is lowered to desired at once, and raised as far as the
	// total allows.
	desired, granted contract.Share
	// seq is the sequence number of the last grant, ackedSeq that of the last grant
	// that the VM confirmed.
	seq, ackedSeq int64
	// tokensGranted and tokensSurrendered are the sums of the tokens sent to and
	// returned by the VM in this term.
	tokensGranted, tokensSurrendered int64
	// asked measures the demand of the VM's callers, and unmet the part of it
	// that the VM's share did not meet.
	asked rateMeter
	unmet rateMeter
	// inUse is the number of slots that the VM's requests used at its last
	// report, including borrowed ones.
	inUse int64
	// busy is the number of the VM's own slots that were in use or lent at its
	// last report.
	busy int64
}

// removedVM is a VM that was removed from the list or restarted. It is kept
// until every other VM listed at that time has reported which of the removed
// VM's slots it still borrows.
type removedVM struct {
	id vm.ID
	// round is the first round whose reports show what is still borrowed.
	round int64
	// awaited holds the VMs whose reports are awaited, with their incarnations.
	awaited map[string]vm.Incarnation
	// maxSlots is the most that the VM may have held of each endpoint's slots.
	maxSlots map[contract.Resource]int64
}

// New returns the allocator that the VM named self runs in a term. It knows no
// VMs and no limits yet.
func New(term int64, self string, clock clock.Clock) *Allocator {
	return &Allocator{
		term: term, self: self, clock: clock,
		members: map[string]*memberState{}, states: map[contract.Resource]*resourceState{},
	}
}

// Term returns the lease term.
func (a *Allocator) Term() int64 { return a.term }

// Reallocated returns the resources that the last Plan allocated anew, sorted.
func (a *Allocator) Reallocated() []contract.Resource { return a.reallocated }

// Unreported returns the listed VMs that have not reported in this term, sorted.
func (a *Allocator) Unreported() []string {
	var names []string
	for _, name := range a.names {
		if !a.members[name].hasReported {
			names = append(names, name)
		}
	}
	return names
}

// SetMembers sets the VMs on the platform's list. VMs that are no longer listed
// are removed. removedCount is the number of VMs that this VM has seen being
// removed from the list.
func (a *Allocator) SetMembers(members []Member, removedCount int) {
	a.removedCount = max(a.removedCount, removedCount)
	listed := map[string]bool{}
	for i := range members {
		member := &members[i]
		listed[member.Name] = true
		m := a.members[member.Name]
		if m == nil {
			m = &memberState{id: vm.ID{Name: member.Name}}
			a.members[member.Name] = m
			a.membershipChanged = true
		}
		m.location = member.Location
		if member.Incarnation > m.id.Incarnation {
			// A restarted VM holds nothing until it gets an offer.
			m.isActive = true
		}
	}
	for _, name := range a.names {
		if !listed[name] {
			a.removeVM(name)
			delete(a.members, name)
			a.removedCount++
		}
	}
	a.names = a.names[:0]
	for name := range a.members {
		a.names = append(a.names, name)
	}
	slices.Sort(a.names)
}

// removeVM frees the shares of a VM that was removed or restarted. Its slots stay
// counted as long as other VMs may borrow them.
func (a *Allocator) removeVM(name string) {
	removed := &removedVM{id: a.members[name].id, round: a.round + 1, awaited: map[string]vm.Incarnation{}, maxSlots: map[contract.Resource]int64{}}
	for resource, state := range a.states {
		if size := a.maxHeldBy(resource, state, name).Size; size > 0 && resource.Kind() == contract.KindSlots {
			removed.maxSlots[resource] = size
		}
	}
	for _, state := range a.states {
		delete(state.allocations, name)
	}
	for other, member := range a.members {
		if other != name {
			removed.awaited[other] = member.id.Incarnation
		}
	}
	if len(removed.maxSlots) > 0 && len(removed.awaited) > 0 {
		a.removed = append(a.removed, removed)
	}
	a.membershipChanged = true
}

// maxHeldBy returns the most that a listed VM may hold of a resource.
func (a *Allocator) maxHeldBy(resource contract.Resource, state *resourceState, name string) contract.Share {
	if !a.members[name].hasReported {
		return a.maxHeldByUnreported(resource, state)
	}
	if allocation := state.allocations[name]; allocation != nil {
		return allocation.maxHeld
	}
	return contract.Share{}
}

// SetTotals sets the limits in force.
func (a *Allocator) SetTotals(totals map[contract.Resource]Total) {
	for resource, total := range totals {
		a.state(resource).setTotal(total)
	}
	for resource, state := range a.states {
		if _, inForce := totals[resource]; !inForce {
			state.setTotal(Total{Location: state.total.Location})
		}
	}
}

func (s *resourceState) setTotal(total Total) {
	s.isStable = s.isStable && total == s.total
	s.total = total
}

func (a *Allocator) state(resource contract.Resource) *resourceState {
	state := a.states[resource]
	if state == nil {
		state = &resourceState{allocations: map[string]*vmAllocation{}}
		a.states[resource] = state
		at, _ := slices.BinarySearch(a.resources, resource)
		a.resources = slices.Insert(a.resources, at, resource)
	}
	return state
}

func (s *resourceState) allocation(name string) *vmAllocation {
	allocation := s.allocations[name]
	if allocation == nil {
		allocation = &vmAllocation{}
		s.allocations[name] = allocation
	}
	return allocation
}

// ApplyReport applies a VM's report. It ignores reports of other terms and of older
// incarnations.
func (a *Allocator) ApplyReport(report *contract.Report) {
	member := a.members[report.VM.Name]
	if member == nil || report.Term != a.term || report.VM.Incarnation < member.id.Incarnation {
		return
	}
	if report.VM.Incarnation > member.id.Incarnation {
		if member.hasReported {
			a.removeVM(report.VM.Name)
		}
		*member = memberState{id: report.VM, location: member.location}
	}
	if !member.hasReported && !report.Full {
		return
	}
	for i := range report.Holdings {
		a.applyHolding(member, &report.Holdings[i])
	}
	if !member.hasReported {
		member.hasReported = true
		a.membershipChanged = true
	}
	if report.Round >= member.reportedRound {
		member.reportedRound = report.Round
		member.borrowed = report.Borrowed
		member.unansweredOffers = 0
		member.isActive = len(report.Holdings) > 0
	}
	a.confirmRemovals(report)
}

// applyHolding applies one resource's part of a VM's report.
func (a *Allocator) applyHolding(member *memberState, holding *contract.Holding) {
	state := a.state(holding.Resource)
	allocation := state.allocation(member.id.Name)
	now := a.clock.Now()
	state.isStable, state.reportedAt = false, now
	window := state.demandWindow(holding.Resource.Kind())
	allocation.asked.observe(now, holding.Asked, window)
	allocation.unmet.observe(now, holding.Unmet, window)
	allocation.inUse, allocation.busy = holding.InUse, holding.Busy
	if !member.hasReported {
		a.hadHoldings = a.hadHoldings || holding.MaxUsage() != contract.Share{}
		allocation.initialShare, allocation.maxHeld = holding.Share, holding.MaxUsage()
		allocation.granted = holding.Share
		allocation.desired = holding.Share
		return
	}
	if holding.Surrendered > allocation.tokensSurrendered {
		state.freeTokens += holding.Surrendered - allocation.tokensSurrendered
		allocation.tokensSurrendered = holding.Surrendered
	}
	if holding.Seq == allocation.seq && allocation.seq > 0 {
		allocation.ackedSeq = holding.Seq
		allocation.maxHeld = holding.MaxUsage().Max(allocation.granted)
	}
}

// confirmRemovals records that the VM has reported which slots of removed VMs it
// still borrows.
func (a *Allocator) confirmRemovals(report *contract.Report) {
	for _, removed := range a.removed {
		if report.Round >= removed.round {
			delete(removed.awaited, report.VM.Name)
		}
	}
	a.removed = slices.DeleteFunc(a.removed, func(r *removedVM) bool { return len(r.awaited) == 0 })
}

// stopAwaitingRemoved stops waiting for reports from VMs that were themselves
// removed or restarted.
func (a *Allocator) stopAwaitingRemoved() {
	for _, removed := range a.removed {
		for name, incarnation := range removed.awaited {
			member := a.members[name]
			if member == nil || member.id.Incarnation > incarnation && incarnation > 0 {
				delete(removed.awaited, name)
			}
		}
	}
	a.removed = slices.DeleteFunc(a.removed, func(r *removedVM) bool { return len(r.awaited) == 0 })
}

const (
	// maxUnansweredOffers is the number of unanswered offers after which a VM is
	// asked for a full report.
	maxUnansweredOffers = 8
	// idleOfferInterval is the time between two offers to a VM whose reports
	// contain no changes.
	idleOfferInterval = 2 * clock.Second
)

// VMOffer is an offer to be sent to one VM.
type VMOffer struct {
	VM    vm.ID
	Offer contract.Offer
}

// Plan moves shares and returns the offers to send, sorted by VM name. Every
// listed VM gets an offer, except those whose latest reports contained no
// changes; these get one every idleOfferInterval. Grants are repeated in each
// offer until the VM confirms them.
func (a *Allocator) Plan() []VMOffer {
	a.round++
	a.reallocated = nil
	a.stopAwaitingRemoved()
	offerToAll := a.membershipChanged || len(a.removed) > 0
	offers := make([]VMOffer, len(a.names))
	isSettling := make([]bool, len(a.names))
	for i, name := range a.names {
		member := a.members[name]
		offers[i] = VMOffer{VM: member.id, Offer: contract.Offer{Term: a.term, From: a.self, Round: a.round, To: member.id.Incarnation}}
		// A lost report may have contained a change that later reports don't
		// repeat.
		offers[i].Offer.Full = !member.hasReported || member.unansweredOffers >= maxUnansweredOffers
	}
	isUncertain := offerToAll || a.hasUncertainHoldings()
	for _, resource := range a.resources {
		state := a.states[resource]
		if state.isStable && !isUncertain && !a.hadUncertainHoldings && !a.canDemandFall(resource, state) {
			continue
		}
		a.planResource(resource, state)
		state.isStable = true
		for i, name := range a.names {
			allocation := state.allocations[name]
			if allocation == nil || !a.members[name].hasReported {
				continue
			}
			if allocation.ackedSeq < allocation.seq {
				offers[i].Offer.Grants = append(offers[i].Offer.Grants, contract.Grant{Resource: resource, Seq: allocation.seq, Share: allocation.granted, Tokens: allocation.tokensGranted})
			}
			isMoving := allocation.ackedSeq < allocation.seq || allocation.maxHeld != allocation.granted
			isSettling[i] = isSettling[i] || isMoving
			state.isStable = state.isStable && !isMoving && allocation.granted == allocation.desired
		}
	}
	a.membershipChanged, a.hadUncertainHoldings = false, isUncertain
	due := offers[:0]
	for i, name := range a.names {
		if offerToAll || isSettling[i] || a.members[name].isOfferDue(a.clock.Now()) {
			a.members[name].offeredAt = a.clock.Now()
			a.members[name].unansweredOffers++
			due = append(due, offers[i])
		}
	}
	return due
}

// hasUncertainHoldings reports whether some VM has not reported its holdings yet or
// borrows slots. Any resource may then have to be planned.
func (a *Allocator) hasUncertainHoldings() bool {
	for _, member := range a.members {
		if !member.hasReported || len(member.borrowed) > 0 {
			return true
		}
	}
	return false
}

// canDemandFall reports whether the moving averages of demand may still fall, and
// with them the shares of a rate or a link.
func (a *Allocator) canDemandFall(resource contract.Resource, state *resourceState) bool {
	return resource.Kind() != contract.KindSlots && a.clock.Now()-state.reportedAt <= maxDemandWindow+maxSilence+minAllocationInterval
}

// isOfferDue reports whether the VM should get an offer, according to its last
// report and the time since the last offer.
func (m *memberState) isOfferDue(now clock.Millis) bool {
	return !m.hasReported || m.unansweredOffers > 0 || m.isActive || len(m.borrowed) > 0 || now-m.offeredAt >= idleOfferInterval
}

// MarkActive makes the next Plan return an offer for a VM that has notified the
// divider of demand above its share.
func (a *Allocator) MarkActive(name string) {
	if member := a.members[name]; member != nil {
		member.isActive = true
	}
}

// planResource allocates the resource anew if that is due, and changes its
// grants. It raises grants only if there is a quorum and as far as the total
// allows.
func (a *Allocator) planResource(resource contract.Resource, state *resourceState) {
	if a.isAllocationDue(resource, state) {
		a.allocate(resource, state)
	}
	for _, name := range a.names {
		if allocation := state.allocations[name]; allocation != nil {
			allocation.lowerGrant()
		}
	}
	a.limitSlotGrants(resource, state)
	if !a.hasQuorum() {
		return
	}
	available := state.total.Share.Minus(a.totalHeld(resource, state)).Minus(a.maxHeldByUnreported(resource, state))
	state.freeTokens = min(state.freeTokens, available.Size)
	if available == (contract.Share{}) {
		return
	}
	for _, name := range a.names {
		if allocation := state.allocations[name]; allocation != nil {
			remaining := allocation.raiseGrant(available)
			tokens := min(state.freeTokens, available.Size-remaining.Size)
			allocation.tokensGranted += tokens
			state.freeTokens -= tokens
			available = remaining
		}
	}
}

// hasQuorum reports whether a majority of the listed VMs has reported in this term
// and thus refuses offers of older terms. Every new incarnation then learns this
// term from one of them before it accepts a grant.
func (a *Allocator) hasQuorum() bool {
	return 2*(len(a.names)-len(a.Unreported())) > len(a.names)
}

// FenceQuorum returns the number of peers that a new incarnation must have asked
// for the newest term. It overlaps with the majority that must have reported before
// an allocator raises any share, so at least one of those peers knows the term.
func FenceQuorum(listed int) int {
	return min(listed-1, listed/2+1)
}

// lowerGrant sends the VM a smaller grant if it holds more than desired. The first
// grant of a term is sent in any case: the VM may use slots above its share, and
// only a confirmed grant shows when these become free.
func (v *vmAllocation) lowerGrant() {
	lowered := v.granted.Min(v.desired)
	if lowered != v.granted || v.seq == 0 {
		v.granted = lowered
		v.seq++
	}
}

// limitSlotGrants lowers each grant that would exceed the total together with what
// the other VMs hold. This happens after a document lowered the total: slots in use
// above a VM's grant become free only when their requests end.
func (a *Allocator) limitSlotGrants(resource contract.Resource, state *resourceState) {
	if resource.Kind() != contract.KindSlots {
		return
	}
	sum := a.maxUsedThroughRemoved(resource)
	for _, allocation := range state.allocations {
		sum += allocation.expectedSlots()
	}
	if sum <= state.total.Size {
		return
	}
	for _, name := range a.names {
		allocation := state.allocations[name]
		if allocation == nil {
			continue
		}
		others := sum - allocation.expectedSlots()
		allowed := max(0, state.total.Size-others)
		if allocation.granted.Size > allowed {
			allocation.granted.Size = allowed
			allocation.seq++
		}
		sum = others + allocation.expectedSlots()
	}
}

// expectedSlots returns the number of slots that the VM will hold after it has
// confirmed its last grant, as far as is known.
func (v *vmAllocation) expectedSlots() int64 {
	return max(v.granted.Size, v.busy)
}

// raiseGrant grants the VM more, up to what is available, and returns what
// remains available. Raising a grant up to maxHeld takes nothing from what is
// available, as that much is counted for the VM already.
func (v *vmAllocation) raiseGrant(available contract.Share) (remaining contract.Share) {
	raised := v.desired.Min(v.maxHeld.Plus(available)).Max(v.granted)
	if raised == v.granted {
		return available
	}
	v.granted = raised
	v.seq++
	before := v.maxHeld
	v.maxHeld = v.maxHeld.Max(raised)
	return available.Minus(v.maxHeld.Minus(before))
}

// totalHeld returns the most that the VMs which have reported may hold of a
// resource together. For slots it includes what may be in use through removed
// VMs.
func (a *Allocator) totalHeld(resource contract.Resource, state *resourceState) (sum contract.Share) {
	for _, allocation := range state.allocations {
		sum = sum.Plus(allocation.maxHeld)
	}
	if resource.Kind() == contract.KindSlots {
		sum.Size += a.maxUsedThroughRemoved(resource)
	}
	return sum
}

// maxUsedThroughRemoved returns the most slots that may still be in use because
// VMs that were removed or restarted lent them.
func (a *Allocator) maxUsedThroughRemoved(resource contract.Resource) (sum int64) {
	for _, removed := range a.removed {
		sum += removed.maxSlots[resource]
	}
	return sum + a.orphanedLoans(resource)
}

// orphanedLoans returns the number of slots that VMs borrow from VM incarnations
// that are not known to run: their VM is not listed, was restarted or has not
// reported in this term. A loan whose reply is still awaited names no resource
// and may be of any.
func (a *Allocator) orphanedLoans(resource contract.Resource) (sum int64) {
	for _, member := range a.members {
		for _, borrowed := range member.borrowed {
			lender := a.members[borrowed.Lender.Name]
			if lender != nil && lender.hasReported && lender.id == borrowed.Lender {
				continue
			}
			if borrowed.Resource == resource || borrowed.Resource == "" {
				sum += borrowed.Count
			}
		}
	}
	return sum
}

// maxHeldByUnreported returns the most that the listed VMs without a report in
// this term may hold together: what the other VMs did not hold in their first
// reports. If the whole fleet has just started, that would be everything, so
// then each VM without a report counts with at most maxShare. For slots, each
// removed VM counts like this too, as it may have lent its slots.
func (a *Allocator) maxHeldByUnreported(resource contract.Resource, state *resourceState) contract.Share {
	count := 0
	for _, member := range a.members {
		if !member.hasReported {
			count++
		}
	}
	if count == 0 {
		return contract.Share{}
	}
	rest := state.total.Share
	for _, allocation := range state.allocations {
		rest = rest.Minus(allocation.initialShare)
	}
	if a.hadHoldings {
		// A VM may hold more than maxShare: slots in use since before a document
		// lowered the total.
		return rest
	}
	if resource.Kind() == contract.KindSlots {
		count += a.removedCount
	}
	// The VM may have been granted its share when fewer VMs were listed.
	limit := maxShare(resource.Kind(), state.total.Share, min(len(a.names), smallCapDivisor))
	return rest.Min(contract.Share{Rate: limit.Rate * int64(count), Size: limit.Size * int64(count)})
}
