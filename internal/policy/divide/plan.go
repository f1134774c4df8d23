package divide

import (
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/vm"
)

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
