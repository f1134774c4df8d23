package divide

import (
	"cmp"
	"slices"

	"baobabladder.example/baobabladder/internal/world/contract"
)

const (
	// floorDivisor sets aside total/floorDivisor in equal parts for quiet VMs.
	floorDivisor = 8
	// capDivisor bounds a VM's share to total/capDivisor, rounded up to one unit,
	// while more than one VM is listed. A listed VM that does not report can then
	// hold back only that much.
	capDivisor = 2

	// Weights of an endpoint's slots by where the VM stands.
	sameDataCentreWeight = 8
	sameRegionWeight     = 4
	elsewhereWeight      = 1
	// idleDemand is the slot demand, in thousandths, of a VM that asks for none.
	idleDemand = 250
)

// claim is what one VM's demand is worth in a deal.
type claim struct {
	weight int64
	// share is what dealing gave the VM.
	share contract.Share
}

// unitOf returns the smallest useful part of a resource's size. A share of less
// than a request of burst could never admit one.
func unitOf(kind contract.Kind) int64 {
	if kind == contract.KindRate {
		return contract.Request
	}
	return 1
}

// capOf returns the most that one VM may hold of a total.
func capOf(kind contract.Kind, total contract.Share, listed int) contract.Share {
	if listed <= 1 {
		return total
	}
	unit := unitOf(kind)
	units := (total.Size/unit + capDivisor - 1) / capDivisor
	limit := contract.Share{Rate: (total.Rate + capDivisor - 1) / capDivisor, Size: units * unit}
	if units <= 1 && kind == contract.KindRate {
		// The few VMs that hold a unit must be able to use the whole rate.
		limit.Rate = total.Rate
	}
	return limit
}

// dealRate splits a rate and burst by weight. Part of both goes out evenly, so
// that a quiet VM can serve its first caller. The size goes out in whole units,
// and a VM without one gets no rate, which it could not use.
func dealRate(kind contract.Kind, total contract.Share, claims []claim, listed int) {
	limit := capOf(kind, total, listed)
	weights := withFloor(claims)
	unit := unitOf(kind)
	sizes := proportion(total.Size/unit, weights, limit.Size/unit)
	for i := range claims {
		claims[i].share.Size = sizes[i] * unit
		if sizes[i] == 0 {
			weights[i] = 0
		}
	}
	rates := proportion(total.Rate, weights, limit.Rate)
	for i := range claims {
		claims[i].share.Rate = rates[i]
	}
}

// weightScale is what the weights of withFloor sum to.
const weightScale = 1 << 20

// withFloor scales the claims to weightScale and adds the floor.
func withFloor(claims []claim) []int64 {
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
		part := float64(claims[i].weight) / float64(sum) * float64(weightScale-floor)
		weights[i] = max(1, int64(part)+floor/int64(len(claims)))
	}
	return weights
}

// proportion splits total by weight, nobody above limit, and gives what the
// limit cuts off to the others. The order of the weights breaks ties.
func proportion(total int64, weights []int64, limit int64) []int64 {
	parts := make([]int64, len(weights))
	left := total
	for left > 0 {
		var sum int64
		for i, weight := range weights {
			if parts[i] < limit {
				sum += weight
			}
		}
		if sum == 0 {
			return parts
		}
		given := giveWhole(left, sum, weights, parts, limit)
		if given == 0 {
			giveSingles(left, weights, parts, limit)
			return parts
		}
		left -= given
	}
	return parts
}

// giveWhole gives each VM below the limit the whole part of its proportion.
func giveWhole(left, sum int64, weights, parts []int64, limit int64) (given int64) {
	for i, weight := range weights {
		if parts[i] >= limit {
			continue
		}
		part := int64(float64(left) * (float64(weight) / float64(sum)))
		part = min(part, limit-parts[i], left-given)
		parts[i] += part
		given += part
	}
	return given
}

// giveSingles gives single units to the heaviest first.
func giveSingles(left int64, weights, parts []int64, limit int64) {
	order := make([]int, 0, len(weights))
	for i, weight := range weights {
		if weight > 0 && parts[i] < limit {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	for _, i := range order {
		if left == 0 {
			return
		}
		parts[i]++
		left--
	}
}

// dealSlots gives out an endpoint's slots one by one, each to the VM whose
// weight is greatest against what it has.
func dealSlots(total int64, claims []claim, listed int) {
	limit := capOf(contract.KindSlots, contract.Share{Size: total}, listed).Size
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

// slotWeight is a VM's claim to an endpoint's slots: demand, in thousandths of a
// slot, weighed by nearness.
func slotWeight(endpoint, holder Place, demand int64) int64 {
	weight := int64(elsewhereWeight)
	switch {
	case endpoint.DataCentre == holder.DataCentre:
		weight = sameDataCentreWeight
	case endpoint.Region == holder.Region:
		weight = sameRegionWeight
	}
	return weight * (idleDemand + demand)
}
