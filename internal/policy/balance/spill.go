package balance

import (
	"math"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/world/directory"
)

const (
	// spillThreshold is the part of the slots of this VM's region that its own requests
	// may fill before some of them go to other regions. Above it queues form although the
	// region is not full.
	spillThreshold = 0.8
	// spillInterval is the time between two changes of the shares that go to other
	// regions, and maxSpillStep the largest change. Of the requests of a region at most
	// 0.15 may change the region in which they run from one 2 s window to the next; the
	// rest is left for changes with other causes.
	spillInterval = 2 * clock.Second
	maxSpillStep  = 0.1
	// maxSpillShare is the largest share that is sent to other regions.
	maxSpillShare = 0.95
	// smallBodyKilobytes is the size up to which bodies go to other regions first. A
	// body of that size takes less than half a millisecond of a link of 280 Mbit/s.
	smallBodyKilobytes = 16
)

// spill holds how much of a service's requests this VM sends to other regions, because its own
// region has few slots for its demand. Small bodies go first: objects of requests with large
// ones have their homes in this region, as those of uploads do, unless the small ones are not
// enough. The zero value leaves the choice to the homes of objects and the costs of endpoints.
type spill struct {
	steppedAt    clock.Millis
	small, large spillClass
}

// spillClass holds the shares of the requests of one class that go to other regions.
type spillClass struct {
	// object is the share of objects whose home is in another region, and homeWeight the
	// weight of this region that leads to it; both are 0 before the first step. free is the
	// share of requests without an object.
	object, homeWeight, free float64
}

// canSpill reports whether the request may be sent to another region before this one is full.
// Uploads stay, as their bodies fill the links.
func (r *Request) canSpill() bool { return r.Route.Work != document.WorkUpload && !r.isRegionBound() }

// class returns the class of a request that can spill.
func (s *spill) class(request *Request) *spillClass {
	if request.Kilobytes <= smallBodyKilobytes {
		return &s.small
	}
	return &s.large
}

// refreshSpill returns the spill of the query's service, brought up to date, or nil if requests
// of the service are not treated by their urgency. The caller must hold mu.
func (b *Balancer) refreshSpill(q *query, endpoints []directory.Endpoint) *spill {
	if !q.isOrdered {
		return nil
	}
	service := q.request.Service.Name
	s := b.spills[service]
	if s == nil {
		if b.spills == nil {
			b.spills = map[string]*spill{}
		}
		s = &spill{steppedAt: q.now}
		b.spills[service] = s
	}
	if q.now-s.steppedAt < spillInterval {
		return s
	}
	s.steppedAt = q.now
	ownSlots := b.slotsByRegion[serviceRegion{service, b.Region}]
	otherWeight := 0.0
	for key, slots := range b.slotsByRegion {
		if key.service == service && key.region != b.Region {
			otherWeight += b.capacityWeight(service, key.region) * slots
		}
	}
	small, large := b.demand(service).spillTargets(b.vmsByRegion[b.Region], ownSlots, b.otherUtilisation(q, endpoints), q.now)
	s.small.step(small, ownSlots, homeWeight, otherWeight)
	s.large.step(large, ownSlots, uploadHomeWeight, otherWeight)
	return s
}

// otherUtilisation returns the load of the endpoints in other regions, relative to their slots;
// 1 if there are none. The caller must hold mu.
func (b *Balancer) otherUtilisation(q *query, endpoints []directory.Endpoint) float64 {
	load, slots := 0.0, 0.0
	for i := range endpoints {
		state := b.states[endpoints[i].ID]
		if state == nil || state.endpoint.Region == b.Region || state.isLeaving() || state.isSuspended(q.now) || b.directory.Evacuated[state.endpoint.DataCentre] {
			continue
		}
		load += state.load(q.now)
		slots += float64(state.slots(q.now))
	}
	if slots == 0 {
		return 1
	}
	return load / slots
}

// spillTargets returns the shares of the requests with small and with large bodies that should
// run in other regions: so many that the others fill spillThreshold of the region's slots, or
// as much of them as is in use elsewhere if that is more. Large bodies go only when the small
// ones are not enough. The demand is that of all VMs of the region, if each of them has as much
// as this one.
func (d *serviceDemand) spillTargets(vms, slots, otherUtilisation float64, now clock.Millis) (small, large float64) {
	if vms == 0 {
		return 0, 0
	}
	total, smallWork, largeWork := 0.0, 0.0, 0.0
	for i := range d.priorities {
		p := &d.priorities[i]
		load := p.load(now)
		if load == 0 {
			continue
		}
		total += load
		smallWork += load * p.smallWork / p.work
		largeWork += load * p.largeWork / p.work
	}
	excess := total - max(spillThreshold, otherUtilisation)*slots/vms
	share := func(work float64) float64 {
		if work <= 0 || excess <= 0 {
			return 0
		}
		return min(excess/work, maxSpillShare)
	}
	small = share(smallWork)
	excess -= small * smallWork
	return small, share(largeWork)
}

// step moves the shares towards the target. At least as many objects have their home in other
// regions as if each slot of this region had the weight ownSlotWeight. Before the first step it
// was homeWeight.
func (c *spillClass) step(target, ownSlots, ownSlotWeight, otherWeight float64) {
	if otherWeight == 0 {
		return
	}
	towards := func(share, target float64) float64 {
		return share + min(max(target-share, -maxSpillStep), maxSpillStep)
	}
	shareAt := func(slotWeight float64) float64 { return otherWeight / (otherWeight + slotWeight*ownSlots) }
	if c.object == 0 {
		c.object = shareAt(homeWeight)
	}
	c.object = towards(c.object, max(target, shareAt(ownSlotWeight)))
	c.free = towards(c.free, target)
	if ownSlots > 0 {
		c.homeWeight = otherWeight * (1 - c.object) / (c.object * ownSlots)
	}
}

// ownRegionWeight returns the weight of this VM's region in the choice of the home of the
// request's object.
func (s *spill) ownRegionWeight(request *Request) float64 {
	if s == nil || !request.canSpill() {
		return homeWeight
	}
	if weight := s.class(request).homeWeight; weight > 0 {
		return weight
	}
	return homeWeight
}

// goldenRatio is the step of the sequence of draws; its multiples are spread evenly.
const goldenRatio = 0.6180339887498949

// isSpilled reports whether a request without an object should run in another region. The
// decision about a request does not change while it waits for room. The caller must hold mu.
func (b *Balancer) isSpilled(s *spill, request *Request) bool {
	if s == nil || request.Object != "" || !request.canSpill() {
		return false
	}
	if request.draw == 0 {
		b.draws++
		_, request.draw = math.Modf(float64(b.draws) * goldenRatio)
	}
	return request.draw < s.class(request).free
}

// spillCost returns the cost of an endpoint of this VM's region for a request that should run in
// another one: as much as the way there costs. The wait in the queues then decides.
func spillCost(request *Request) float64 {
	return 2*interRegionMillis + interRegionKilobyteCost*(request.Kilobytes+expectedResponseKilobytes)
}
