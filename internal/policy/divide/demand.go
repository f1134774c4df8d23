package divide

import (
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/contract"
)

const (
	// minDemandWindow and maxDemandWindow limit the time constant of the moving
	// average of demand.
	minDemandWindow = 5 * clock.Second
	maxDemandWindow = 1 * clock.Minute
	// demandWindowRequests is the number of requests at the full rate over which
	// a workspace's demand is averaged. If it were averaged over fewer, random
	// variation would look like a change of demand.
	demandWindowRequests = 100
	// minSampleInterval is the shortest time between two samples.
	minSampleInterval = 200 * clock.Millis(1)
	// maxSilence is how long a VM may send no report before its demand starts to
	// fall.
	maxSilence = 1 * clock.Second
	// unmetWeight is how much more demand that the VM's share did not meet
	// weighs than demand that it met: it is added to the weight of 1 that all
	// demand has.
	unmetWeight = 2
	// minChangeDivisor sets the hysteresis: a new allocation of a rate or a link
	// is used only if it changes the rate of some VM by more than
	// total/minChangeDivisor.
	minChangeDivisor = 16
	// minAllocationInterval is the shortest time between two allocations of a rate
	// while the VMs and the limits stay the same.
	minAllocationInterval = 2 * clock.Second
	// minUnmetSlotRate is the unmet demand, in thousandths of a request per second,
	// from which an endpoint's slots are allocated anew.
	minUnmetSlotRate = 500
)

// demandWindow returns the time constant for the resource's demand.
func (s *resourceState) demandWindow(kind contract.Kind) clock.Millis {
	if kind != contract.KindRate || s.total.Rate == 0 {
		return minDemandWindow
	}
	full := clock.Millis(demandWindowRequests * contract.TokensPerRequest * int64(clock.Second) / s.total.Rate)
	return min(max(full, minDemandWindow), maxDemandWindow)
}

// rateMeter converts a growing counter into a moving average per second.
type rateMeter struct {
	count      int64
	observedAt clock.Millis
	perSecond  int64
	isStarted  bool
}

// observe records the value of the counter at now. The first value yields no
// rate, as there is no earlier one to compare it with.
func (m *rateMeter) observe(now clock.Millis, count int64, window clock.Millis) {
	if !m.isStarted {
		m.isStarted, m.count, m.observedAt = true, count, now
		return
	}
	elapsed := now - m.observedAt
	if elapsed < minSampleInterval || count < m.count {
		return
	}
	sample := (count - m.count) * int64(clock.Second) / int64(elapsed)
	weight := min(elapsed, window)
	m.perSecond += (sample - m.perSecond) * int64(weight) / int64(window)
	m.count, m.observedAt = count, now
}

// rate returns the moving average. It falls while nothing is observed, because a
// VM without new requests does not report. Reading it takes no sample, because
// observe would then ignore a report that arrives within minSampleInterval.
func (m *rateMeter) rate(now, window clock.Millis) int64 {
	silence := now - m.observedAt - maxSilence
	if silence <= 0 {
		return m.perSecond
	}
	return m.perSecond * int64(max(0, window-silence)) / int64(window)
}

// demand returns the demand of a VM's callers for a resource, in the resource's own
// units per second; for slots, in thousandths of a slot.
func (v *vmAllocation) demand(kind contract.Kind, now, window clock.Millis) int64 {
	if kind == contract.KindSlots {
		return v.inUse*slotUnit + min(v.unmet.rate(now, window)*unmetWeight*slotUnit, maxUnmetSlotDemand)
	}
	return v.asked.rate(now, window) + v.unmet.rate(now, window)*unmetWeight
}

const (
	// slotUnit is the slot demand for one slot.
	slotUnit = 1000
	// maxUnmetSlotDemand limits the part of unmet requests in the demand for an
	// endpoint's slots.
	maxUnmetSlotDemand = 16 * slotUnit
)

// isAllocationDue reports whether the resource must be allocated anew.
func (a *Allocator) isAllocationDue(resource contract.Resource, state *resourceState) bool {
	if !state.isAllocated || a.membershipChanged || state.allocatedTotal != state.total {
		return true
	}
	now := a.clock.Now()
	if resource.Kind() != contract.KindSlots {
		return now-state.allocatedAt >= minAllocationInterval
	}
	for _, allocation := range state.allocations {
		if allocation.unmet.rate(now, minDemandWindow)*slotUnit >= minUnmetSlotRate {
			return true
		}
	}
	return false
}

// allocate computes the share of each VM that has reported. It keeps the previous
// allocation if the difference is too small.
func (a *Allocator) allocate(resource contract.Resource, state *resourceState) {
	names := make([]string, 0, len(a.names))
	claims := make([]claim, 0, len(a.names))
	now := a.clock.Now()
	kind := resource.Kind()
	for _, name := range a.names {
		member := a.members[name]
		if !member.hasReported {
			continue
		}
		weight := state.allocation(name).demand(kind, now, state.demandWindow(kind))
		if kind == contract.KindSlots {
			weight = slotWeight(state.total.Location, member.location, weight)
		}
		names = append(names, name)
		claims = append(claims, claim{
			weight: weight, hasShare: state.allocation(name).desired.Size > 0, isDivider: name == a.self,
			isExcluded: state.total.excludesRegion(kind, member.location.Region),
		})
	}
	if len(names) == 0 {
		return
	}
	if kind == contract.KindSlots {
		allocateSlots(state.total.Size, claims, len(a.names))
	} else {
		allocateRate(kind, state.total.Share, claims, len(a.names))
	}
	hasPrevious := state.isAllocated && !a.membershipChanged && state.allocatedTotal == state.total
	if hasPrevious && !isChangeLarge(kind, state, names, claims) {
		return
	}
	for i, name := range names {
		state.allocations[name].desired = claims[i].share
	}
	a.reallocated = append(a.reallocated, resource)
	state.isAllocated, state.allocatedTotal, state.allocatedAt = true, state.total, now
}

// isChangeLarge reports whether the new allocation in claims differs enough from
// the current one to be used. Any change of slots is enough.
func isChangeLarge(kind contract.Kind, state *resourceState, names []string, claims []claim) bool {
	for i, name := range names {
		current, ideal := state.allocations[name].desired, claims[i].share
		if kind == contract.KindSlots {
			if current.Size != ideal.Size {
				return true
			}
			continue
		}
		if max(current.Rate-ideal.Rate, ideal.Rate-current.Rate) > state.total.Rate/minChangeDivisor {
			return true
		}
	}
	return false
}
