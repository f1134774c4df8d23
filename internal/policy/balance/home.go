package balance

import (
	"math"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/hashing"
	"baobabladder.example/baobabladder/internal/world/directory"
	"baobabladder.example/baobabladder/internal/world/routing"
)

const (
	// homeWeight is the weight of endpoints in this VM's region, relative to those in
	// other regions, when the home of an object is chosen. uploadHomeWeight is the
	// weight for uploads, as sending their bodies between regions is expensive.
	homeWeight       = 5
	uploadHomeWeight = 40
	// minCapacityWeight and maxCapacityWeight bound the result of capacityWeight.
	minCapacityWeight = 0.05
	maxCapacityWeight = 3.0
	// reservationDecayTime is the time constant of the smoothed load of region-bound
	// requests.
	reservationDecayTime = 3 * clock.Second
	// reservationCost is the cost, for other requests, of a slot in a region whose
	// capacity is fully reserved for region-bound requests, in multiples of the route's
	// target latency. minUnreservedFraction is the fraction of a region's slots that is
	// never reserved.
	reservationCost       = 1
	minUnreservedFraction = 0.02
)

// serviceRegion identifies one service in one region.
type serviceRegion struct {
	service, region string
}

// reservation is the smoothed number of region-bound requests in flight for a service
// in a region. It is estimated from the requests that this VM receives, and includes
// refused ones.
type reservation struct {
	load float64
	at   clock.Millis
}

// currentLoad returns the load, decayed to now.
func (r *reservation) currentLoad(now clock.Millis) float64 {
	return r.load * math.Exp(-float64(now-r.at)/float64(reservationDecayTime))
}

// isRegionBound reports whether only the home regions of the route or the workspace may
// run the request.
func (r *Request) isRegionBound() bool {
	return len(r.Route.HomeRegions) > 0 || r.Workspace != nil && len(r.Workspace.HomeRegions) > 0
}

// countSlots counts the slots of the directory's endpoints. Draining and evacuated
// endpoints are included, so that an evacuation does not also move objects whose homes
// are elsewhere. The caller must hold mu.
func (b *Balancer) countSlots() {
	b.slotsByRegion, b.slotsByService = map[serviceRegion]float64{}, map[string]float64{}
	for service, endpoints := range b.directory.Services {
		for i := range endpoints {
			b.slotsByRegion[serviceRegion{service, endpoints[i].Region}] += float64(endpoints[i].Slots)
			b.slotsByService[service] += float64(endpoints[i].Slots)
		}
	}
}

// reserve adds a region-bound request to the reservations of the regions that may run
// it. The caller must hold mu.
func (b *Balancer) reserve(request *Request, now clock.Millis) {
	var regions []string
	for region := range b.vmsByRegion {
		if b.slotsByRegion[serviceRegion{request.Service.Name, region}] > 0 && routing.IsRegionAllowed(request.Route, request.Workspace, region) {
			regions = append(regions, region)
		}
	}
	if b.reservations == nil {
		b.reservations = map[serviceRegion]*reservation{}
	}
	load := b.runTime(request, now).cached / float64(max(len(regions), 1))
	for _, region := range regions {
		key := serviceRegion{request.Service.Name, region}
		r := b.reservations[key]
		if r == nil {
			r = &reservation{}
			b.reservations[key] = r
		}
		r.load, r.at = r.currentLoad(now)+load/float64(reservationDecayTime), now
	}
}

// unreservedFraction returns the fraction of a region's slots that region-bound
// requests leave to others. It assumes that every other VM receives as many of them as
// this one. The caller must hold mu.
func (b *Balancer) unreservedFraction(service, region string, now clock.Millis) float64 {
	key := serviceRegion{service, region}
	r := b.reservations[key]
	if r == nil || b.slotsByRegion[key] == 0 {
		return 1
	}
	reserved := r.currentLoad(now) * float64(max(len(b.vms), 1)) / (saturationThreshold * b.slotsByRegion[key])
	return max(1-reserved, minUnreservedFraction)
}

// capacityWeight returns the weight of a region in the choice of homes for objects
// requested in other regions. It is the square of the region's share of the service's
// slots divided by its share of the VMs: above 1 for a region that has more slots than
// its own VMs need, below 1 for one that has fewer. The caller must hold mu.
func (b *Balancer) capacityWeight(service, region string) float64 {
	vms, slots := b.vmsByRegion[region], b.slotsByService[service]
	if vms == 0 || slots == 0 {
		return 1
	}
	ratio := b.slotsByRegion[serviceRegion{service, region}] / slots * float64(len(b.vms)) / vms
	return min(max(ratio*ratio, minCapacityWeight), maxCapacityWeight)
}

// home returns the home of the request's object, or nil: the endpoint with the highest
// weighted rendezvous hash among the eligible endpoints that are neither suspended nor
// cold nor at their limit. preferred is the one among those at their limit too, if that is
// another. The rule restricts both. The caller must hold mu.
func (b *Balancer) home(request *Request, endpoints []directory.Endpoint, rule reserveRule, now clock.Millis) (home, preferred *endpointState) {
	if request.Object == "" {
		return nil, nil
	}
	objectHash := hashing.Strings(request.Object)
	run := b.runTime(request, now)
	weights := map[string]float64{}
	highest, highestPreferred := 0.0, 0.0
	for i := range endpoints {
		state := b.states[endpoints[i].ID]
		if state == nil || !b.isEligible(request, state) || state.isSuspended(now) || state.endpoint.ColdUntil > now || rule.excludesHome(state) {
			continue
		}
		weight, found := weights[state.endpoint.Region]
		if !found {
			weight = b.regionWeight(request, state.endpoint.Region, now)
			weights[state.endpoint.Region] = weight
		}
		uniform := float64(hashing.Mix(objectHash^state.hash)>>11)/(1<<53) + 1e-18
		score := -weight * state.usableSlots(run, now) / math.Log(uniform)
		if _, ok := b.isWithinLimit(state, now); ok && score > highest {
			highest, home = score, state
		}
		if score > highestPreferred {
			highestPreferred, preferred = score, state
		}
	}
	if preferred == home {
		preferred = nil
	}
	return home, preferred
}

// regionWeight returns the weight of a slot in a region when the home of the request's
// object is chosen. The caller must hold mu.
func (b *Balancer) regionWeight(request *Request, region string, now clock.Millis) float64 {
	weight := 1.0
	switch {
	case region != b.Region:
		weight = b.capacityWeight(request.Service.Name, region)
	case request.Route.Work == document.WorkUpload:
		weight = uploadHomeWeight
	default:
		weight = homeWeight
	}
	if !request.isRegionBound() {
		weight *= b.unreservedFraction(request.Service.Name, region, now)
	}
	return weight
}
