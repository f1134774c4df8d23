package balance

import (
	"cmp"
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
)

const (
	// prioritySeenTime is how long after its last request a route priority counts as one
	// of its service.
	prioritySeenTime = 10 * clock.Second
	// paceSeenTime is how long after the last stated pace the endpoints of a service
	// count as ones that state it. It outlasts the times without answers in an overload.
	paceSeenTime = 1 * clock.Minute
)

// serviceDemand is what the requests and answers of one service at this VM show of its
// demand. Guarded by the balancer's mutex.
type serviceDemand struct {
	// priorities has an entry for each route priority of recent requests, in ascending
	// order: the highest priority first.
	priorities []priorityDemand
	// isPaceStated reports whether an endpoint has ever stated its pace, last at
	// paceStatedAt.
	isPaceStated bool
	paceStatedAt clock.Millis
}

// priorityDemand is the demand of the requests of one route priority for a service.
type priorityDemand struct {
	priority int
	// seenAt is when the last of these requests arrived.
	seenAt clock.Millis
}

// demand returns the demand for a service. The caller must hold mu.
func (b *Balancer) demand(service string) *serviceDemand {
	d := b.demands[service]
	if d == nil {
		if b.demands == nil {
			b.demands = map[string]*serviceDemand{}
		}
		d = &serviceDemand{}
		b.demands[service] = d
	}
	return d
}

// recordArrival counts a request that is new to this VM. The caller must hold mu.
func (b *Balancer) recordArrival(request *Request, now clock.Millis) {
	if request.IsRepeated {
		return
	}
	if request.isRegionBound() {
		b.reserve(request, now)
	}
	b.demand(request.Service.Name).recordArrival(request.Route.Priority, now)
}

// recordArrival counts a request, whether or not it then gets an endpoint.
func (d *serviceDemand) recordArrival(priority int, now clock.Millis) {
	i, found := slices.BinarySearchFunc(d.priorities, priority, func(p priorityDemand, target int) int { return cmp.Compare(p.priority, target) })
	if !found {
		d.priorities = slices.DeleteFunc(d.priorities, func(p priorityDemand) bool { return !p.isRecent(now) })
		i, _ = slices.BinarySearchFunc(d.priorities, priority, func(p priorityDemand, target int) int { return cmp.Compare(p.priority, target) })
		d.priorities = slices.Insert(d.priorities, i, priorityDemand{priority: priority})
	}
	d.priorities[i].seenAt = now
}

// isRecent reports whether requests of the priority still count.
func (p *priorityDemand) isRecent(now clock.Millis) bool { return now-p.seenAt < prioritySeenTime }

// isMixed reports whether requests of more than one route priority were seen recently.
func (d *serviceDemand) isMixed(now clock.Millis) bool {
	recent := 0
	for i := range d.priorities {
		if d.priorities[i].isRecent(now) {
			recent++
		}
	}
	return recent > 1
}

// statesPace reports whether endpoints of the service state their pace.
func (d *serviceDemand) statesPace(now clock.Millis) bool {
	return d.isPaceStated && now-d.paceStatedAt < paceSeenTime
}

// recordPace records that an endpoint of the service stated its pace.
func (d *serviceDemand) recordPace(now clock.Millis) { d.isPaceStated, d.paceStatedAt = true, now }
