package divide

import (
	"cmp"
	"slices"

	"baobabladder.example/baobabladder/internal/world/contract"
)

const (
	// floorDivisor sets the floor: total/floorDivisor is divided equally among
	// the VMs, whatever their demand, to give VMs with little demand a share
	// too.
	floorDivisor = 8
	// capDivisor limits a VM's share to total/capDivisor, rounded up to a whole unit,
	// in a fleet of at least that many VMs. It limits how much of a total the others
	// cannot use while a listed VM does not report.
	capDivisor = 3

	// smallCapDivisor replaces capDivisor for rates whose burst is below
	// smallBurst requests, and in a fleet of two VMs.
	smallCapDivisor = 2
	smallBurst      = 32

	// minBurstPerVM is the burst per VM, in requests, below which a rate is
	// divided among fewer VMs. A token bucket loses the tokens that arrive while
	// it is full, and many small buckets lose many more than a few large ones.
	minBurstPerVM = 8

	// Weights of an endpoint's slots by the location of the VM.
	sameDataCentreWeight = 8
	sameRegionWeight     = 4
	otherRegionWeight    = 1
	// idleSlotDemand is the slot demand, in thousandths of a slot, of a VM without
	// demand.
	idleSlotDemand = 250
)

// claim is the input and the result of an allocation for one VM.
type claim struct {
	weight int64
	// hasShare is true if the VM got a share in the previous allocation.
	hasShare bool
	// isDivider is true if the VM runs the allocator. While the divider is down,
	// no shares are moved, so the few units of a small rate are better held by
	// other VMs.
	isDivider bool
	// isExcluded is true if the VM cannot use the resource.
	isExcluded bool
	// share is the share allocated to the VM.
	share contract.Share
}

// minUnit returns the smallest useful part of a resource's size, in the units of
// the size. For a rate that is one request, as a smaller bucket could never
// admit one.
func minUnit(kind contract.Kind) int64 {
	if kind == contract.KindRate {
		return contract.TokensPerRequest
	}
	return 1
}

// maxShare returns the most that one VM may hold of a total.
func maxShare(kind contract.Kind, total contract.Share, listed int) contract.Share {
	unit := minUnit(kind)
	divisor := int64(min(capDivisor, max(listed, 1)))
	if kind == contract.KindRate && total.Size/unit < smallBurst {
		divisor = min(divisor, smallCapDivisor)
	}
	units := (total.Size/unit + divisor - 1) / divisor
	limit := contract.Share{Rate: (total.Rate + divisor - 1) / divisor, Size: units * unit}
	if units <= 1 && kind == contract.KindRate {
		// The few VMs that hold a unit must be able to use the whole rate.
		limit.Rate = total.Rate
	}
	return limit
}

// allocateRate splits a rate and its burst by weight. A part of both is split
// evenly, so that a VM without demand can admit its first request. The burst is
// split into whole units, and a VM without a unit gets no rate, as it could not
// use it.
func allocateRate(kind contract.Kind, total contract.Share, claims []claim, listed int) {
	limit := maxShare(kind, total, listed)
	weights := weightsWithFloor(claims)
	unit := minUnit(kind)
	if kind == contract.KindRate {
		keepHeaviest(weights, claims, max(smallCapDivisor, total.Size/unit/minBurstPerVM))
	}
	sizes := splitByWeight(total.Size/unit, weights, limit.Size/unit)
	for i := range claims {
		claims[i].share.Size = sizes[i] * unit
		if sizes[i] == 0 {
			weights[i] = 0
		}
	}
	rates := splitByWeight(total.Rate, weights, limit.Rate)
	for i := range claims {
		claims[i].share.Rate = rates[i]
	}
}

// keepHeaviest sets all but the count heaviest weights to 0. Among equal weights,
// the first ones are kept. A VM that has a share already ranks higher, so that the
// few requests of a small workspace don't move its share from VM to VM. The divider
// ranks last.
func keepHeaviest(weights []int64, claims []claim, count int64) {
	if count >= int64(len(weights)) {
		return
	}
	order := make([]int, len(weights))
	ranks := make([]int64, len(weights))
	for i := range order {
		order[i] = i
		ranks[i] = weights[i]
		if claims[i].isDivider {
			ranks[i] = 0
		} else if claims[i].hasShare {
			ranks[i] += weightScale / count
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(ranks[b], ranks[a]) })
	for _, i := range order[count:] {
		weights[i] = 0
	}
}

// weightScale is the sum of the weights that weightsWithFloor returns.
const weightScale = 1 << 20

// weightsWithFloor returns the weights of the claims, scaled to a sum of
// weightScale, which includes the floor; see floorDivisor. An excluded claim
// gets no weight.
func weightsWithFloor(claims []claim) []int64 {
	weights := make([]int64, len(claims))
	var sum int64
	for i := range claims {
		sum += claims[i].weight
	}
	floor := int64(weightScale / floorDivisor)
	if sum == 0 {
		floor, sum = weightScale, 1
	}
	for i := range claims {
		amount := float64(claims[i].weight) / float64(sum) * float64(weightScale-floor)
		weights[i] = max(1, int64(amount)+floor/int64(len(claims)))
		if claims[i].isExcluded {
			weights[i] = 0
		}
	}
	return weights
}

// splitByWeight splits total in proportion to the weights, with at most limit
// for each VM, and splits what exceeds the limit among the others. Units that
// remain after rounding down go to the heaviest weights first, to equal ones in
// their order.
func splitByWeight(total int64, weights []int64, limit int64) []int64 {
	parts := make([]int64, len(weights))
	remaining := total
	for remaining > 0 {
		var sum int64
		for i, weight := range weights {
			if parts[i] < limit {
				sum += weight
			}
		}
		if sum == 0 {
			return parts
		}
		given := addWholeParts(remaining, sum, weights, parts, limit)
		if given == 0 {
			addSingleUnits(remaining, weights, parts, limit)
			return parts
		}
		remaining -= given
	}
	return parts
}

// addWholeParts gives each VM below the limit its proportion of remaining,
// rounded down, and returns the sum of these parts. sum is the sum of the
// weights of these VMs.
func addWholeParts(remaining, sum int64, weights, parts []int64, limit int64) (given int64) {
	for i, weight := range weights {
		if parts[i] >= limit {
			continue
		}
		amount := int64(float64(remaining) * (float64(weight) / float64(sum)))
		amount = min(amount, limit-parts[i], remaining-given)
		parts[i] += amount
		given += amount
	}
	return given
}

// addSingleUnits adds one unit to each VM below the limit, the heaviest first,
// until none remains.
func addSingleUnits(remaining int64, weights, parts []int64, limit int64) {
	order := make([]int, 0, len(weights))
	for i, weight := range weights {
		if weight > 0 && parts[i] < limit {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	for _, i := range order {
		if remaining == 0 {
			return
		}
		parts[i]++
		remaining--
	}
}

// allocateSlots allocates an endpoint's slots one by one, each to the VM with the
// greatest ratio of its weight to the slots it would then have.
func allocateSlots(total int64, claims []claim, listed int) {
	limit := maxShare(contract.KindSlots, contract.Share{Size: total}, listed).Size
	for range total {
		best := -1
		for i := range claims {
			if claims[i].share.Size >= limit {
				continue
			}
			if best < 0 || claims[i].weight*(claims[best].share.Size+1) > claims[best].weight*(claims[i].share.Size+1) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		claims[best].share.Size++
	}
}

// slotWeight returns a VM's weight for the slots of an endpoint: its demand, in
// thousandths of a slot, multiplied by a factor for its proximity.
func slotWeight(endpoint, vm Location, demand int64) int64 {
	weight := int64(otherRegionWeight)
	switch {
	case endpoint.DataCentre == vm.DataCentre:
		weight = sameDataCentreWeight
	case endpoint.Region == vm.Region:
		weight = sameRegionWeight
	}
	return weight * (idleSlotDemand + demand)
}
