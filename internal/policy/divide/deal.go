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
	// in a fleet of at least as many VMs. A listed VM that does not report can then
	// hold back only so much.
	capDivisor = 3

	// smallCapDivisor takes capDivisor's place for bursts below smallBurst requests,
	// and in a fleet of two VMs.
	smallCapDivisor = 2
	smallBurst      = 32

	// minDepth is the burst, in requests, below which a rate is divided among fewer
	// VMs. A bucket loses what flows in while it is full, and many shallow ones
	// lose much more than a few deep ones.
	minDepth = 8

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
	// holds says that the VM was dealt a part before.
	holds bool
	// isDivider says that the VM keeps the ledger. While it is dead nobody moves
	// shares, so the few shares of a small rate are better held by others.
	isDivider bool
	// excluded says that the VM cannot use the resource.
	excluded bool
	// share is what dealing gave the VM.
	share contract.Share
}

// unitOf returns the smallest useful part of a resource's size. A share of less
// than a request of burst could never admit one.
func unitOf(kind contract.Kind) int64 {
	if kind == contract.KindRate {
		return contract.TokensPerRequest
	}
	return 1
}

// capOf returns the most that one VM may hold of a total.
func capOf(kind contract.Kind, total contract.Share, listed int) contract.Share {
	unit := unitOf(kind)
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

// dealRate splits a rate and burst by weight. Part of both goes out evenly, so
// that a quiet VM can serve its first caller. The size goes out in whole units,
// and a VM without one gets no rate, which it could not use.
func dealRate(kind contract.Kind, total contract.Share, claims []claim, listed int) {
	limit := capOf(kind, total, listed)
	weights := withFloor(claims)
	unit := unitOf(kind)
	if kind == contract.KindRate {
		keepHeaviest(weights, claims, max(smallCapDivisor, total.Size/unit/minDepth))
	}
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

// keepHeaviest sets all weights but the count heaviest to 0. Equal ones keep
// their order, and a VM that holds a share counts for more: the few requests of a
// small workspace must not send its share from VM to VM.
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
		} else if claims[i].holds {
			ranks[i] += weightScale / count
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(ranks[b], ranks[a]) })
	for _, i := range order[count:] {
		weights[i] = 0
	}
}

// weightScale is what the weights of withFloor sum to.
const weightScale = 1 << 20

// withFloor scales the claims to weightScale and adds the floor. An excluded claim
// has no weight.
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
		if claims[i].excluded {
			weights[i] = 0
		}
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
func slotWeight(endpoint, holder Location, demand int64) int64 {
	weight := int64(elsewhereWeight)
	switch {
	case endpoint.DataCentre == holder.DataCentre:
		weight = sameDataCentreWeight
	case endpoint.Region == holder.Region:
		weight = sameRegionWeight
	}
	return weight * (idleDemand + demand)
}
