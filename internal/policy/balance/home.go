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
	// homeWeight is how much likelier an object belongs to an endpoint of this VM's
	// region than to one of another; bulkHomeWeight holds for uploads, whose bytes
	// are dear between regions.
	homeWeight     = 5
	bulkHomeWeight = 40
	// leastAbundance and mostAbundance bound how much less, or more, likely an object
	// belongs to a region that has few slots, or many, for its VMs.
	leastAbundance = 0.05
	mostAbundance  = 3.0
	// reservationSpan smooths what requests need that are bound to a region.
	reservationSpan = 3 * clock.Second
	// reservationCost is the cost of a slot in a region that such requests need whole, in
	// times of the route's aim, and leastUnreserved the part that others always count
	// on.
	reservationCost = 1
	leastUnreserved = 0.02
)

// place is one service in one region.
type place struct {
	service, region string
}

// reservation is how many requests bound to a place are under way or turned away there,
// as this VM sees it, smoothed.
type reservation struct {
	load float64
	at   clock.Millis
}

func (r *reservation) now(now clock.Millis) float64 {
	return r.load * math.Exp(-float64(now-r.at)/float64(reservationSpan))
}

// isBound says whether only some regions may run the request.
func (r *Request) isBound() bool {
	return len(r.Route.HomeRegions) > 0 || r.Workspace != nil && len(r.Workspace.HomeRegions) > 0
}

// countSlots counts the slots of the newest directory. Endpoints that drain or are
// evacuated count too: objects that belong elsewhere must not move with them.
// Callers hold mu.
func (b *Balancer) countSlots() {
	b.slots, b.slotsOf = map[place]float64{}, map[string]float64{}
	for service, endpoints := range b.directory.Services {
		for i := range endpoints {
			b.slots[place{service, endpoints[i].Region}] += float64(endpoints[i].Slots)
			b.slotsOf[service] += float64(endpoints[i].Slots)
		}
	}
}

// reserve counts a request for the regions to which it is bound. Callers hold mu.
func (b *Balancer) reserve(request *Request, now clock.Millis) {
	var regions []string
	for region := range b.vmsIn {
		if b.slots[place{request.Service.Name, region}] > 0 && routing.IsRegionAllowed(request.Route, request.Workspace, region) {
			regions = append(regions, region)
		}
	}
	if b.reservations == nil {
		b.reservations = map[place]*reservation{}
	}
	took := b.work(request).warm / float64(max(len(regions), 1))
	for _, region := range regions {
		at := place{request.Service.Name, region}
		r := b.reservations[at]
		if r == nil {
			r = &reservation{}
			b.reservations[at] = r
		}
		r.load, r.at = r.now(now)+took/float64(reservationSpan), now
	}
}

// unreserved is the part of a region's slots that requests bound to it leave to
// others, if callers ask the other VMs for as many. Callers hold mu.
func (b *Balancer) unreserved(service, region string, now clock.Millis) float64 {
	at := place{service, region}
	r := b.reservations[at]
	if r == nil || b.slots[at] == 0 {
		return 1
	}
	reserved := r.now(now) * float64(max(len(b.vms), 1)) / (pressedPart * b.slots[at])
	return max(1-reserved, leastUnreserved)
}

// abundance is above 1 for a region that has more of a service's slots than its part
// of the VMs, and below for one that has less: objects of other regions belong
// there the less likely. Callers hold mu.
func (b *Balancer) abundance(service, region string) float64 {
	vms, slots := b.vmsIn[region], b.slotsOf[service]
	if vms == 0 || slots == 0 {
		return 1
	}
	has := b.slots[place{service, region}] / slots * float64(len(b.vms)) / vms
	return min(max(has*has, leastAbundance), mostAbundance)
}

// home returns the endpoint to which the request's object belongs: the one with
// the highest weighted hash among those that may run it. Callers hold mu.
func (b *Balancer) home(request *Request, endpoints []directory.Endpoint, now clock.Millis) (home *node) {
	if request.Object == "" {
		return nil
	}
	object := hashing.Strings(request.Object)
	weights := map[string]float64{}
	highest := 0.0
	for i := range endpoints {
		n := b.nodes[endpoints[i].ID]
		if n == nil || !b.isAllowed(request, n) || n.isSuspended(now) || n.endpoint.ColdUntil > now {
			continue
		}
		weight, found := weights[n.endpoint.Region]
		if !found {
			weight = b.regionWeight(request, n.endpoint.Region, now)
			weights[n.endpoint.Region] = weight
		}
		draw := float64(hashing.Mix(object^n.hash)>>11)/(1<<53) + 1e-18
		if score := -weight * float64(n.endpoint.Slots) / math.Log(draw); score > highest {
			highest, home = score, n
		}
	}
	return home
}

// regionWeight is how likely the request's object belongs to a slot of a region.
// Callers hold mu.
func (b *Balancer) regionWeight(request *Request, region string, now clock.Millis) float64 {
	weight := 1.0
	switch {
	case region != b.Region:
		weight = b.abundance(request.Service.Name, region)
	case request.Route.Work == document.WorkUpload:
		weight = bulkHomeWeight
	default:
		weight = homeWeight
	}
	if !request.isBound() {
		weight *= b.unreserved(request.Service.Name, region, now)
	}
	return weight
}
