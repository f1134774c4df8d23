package divide

import (
	"baobabladder.example/baobabladder/internal/world/contract"
)

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
