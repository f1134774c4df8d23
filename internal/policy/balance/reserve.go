package balance

import (
	"cmp"
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/hashing"
)

const (
	// longTargetFactor is how many times the target latency of the most urgent requests
	// that of others must be for endpoints to be reserved. What runs is never interrupted,
	// so a request waits for long ones many times its own run time, while requests of
	// similar length delay each other by little.
	longTargetFactor = 2
	// minDemand is the demand, as a fraction of a service's slots, from which a priority
	// counts. Below it, occasional requests would take endpoints from all others.
	minDemand = 0.01
	// minReserve and maxReserve bound the fraction of a service's endpoints that is
	// reserved. It is one of maxReserve, maxReserve/2 and so on, so that all VMs choose
	// the same one although each measures the demand of its own callers.
	minReserve = 0.125
	maxReserve = 0.5
	// A reserve is replaced when the demand rises above reserveRaise times the reserve or
	// falls below reserveLower times it. The new one is the smallest of which the demand is
	// at most reserveFill times. The demand is that of runs without a cached object, which
	// leaves room for bursts once the objects are cached.
	reserveRaise = 1.4
	reserveLower = 0.33
	reserveFill  = 1.1
	// minServedShare is the share of a priority's requests that must get an endpoint,
	// relative to that of all requests of the service. A lower priority that has less may
	// use all endpoints. It is above the required quarter, because some of the
	// requests that get an endpoint are still late.
	minServedShare = 0.4
)

// reserveRule tells which endpoints of a service requests of one route priority may use. The
// zero value allows all of them.
type reserveRule struct {
	// fraction is the fraction of the service's endpoints that is reserved for the most
	// urgent requests; 0 if none are, or if the rule's requests may use all of them.
	fraction float64
	// isUrgent reports whether the endpoints are reserved for the rule's requests.
	isUrgent bool
}

// excludes reports whether the rule's requests must not use the endpoint.
func (r *reserveRule) excludes(state *endpointState) bool {
	return r.fraction > 0 && !r.isUrgent && state.isReserved(r.fraction)
}

// excludesHome reports whether the endpoint cannot be the home of the rule's objects. Urgent
// requests have their homes on reserved endpoints and use others only if those have no room.
func (r *reserveRule) excludesHome(state *endpointState) bool {
	return r.fraction > 0 && r.isUrgent != state.isReserved(r.fraction)
}

// isReserved reports whether the endpoint belongs to the given fraction of the endpoints of its
// service and region. All VMs choose the same ones.
func (s *endpointState) isReserved(fraction float64) bool { return s.reserveRank < fraction }

// rankForReserve sets the reserveRank of the endpoints of one service. A region's only endpoint
// is never reserved.
func rankForReserve(states []*endpointState) {
	position := func(s *endpointState) uint64 { return hashing.Mix(s.hash) }
	slices.SortFunc(states, func(a, b *endpointState) int {
		return cmp.Or(cmp.Compare(a.endpoint.Region, b.endpoint.Region), cmp.Compare(position(a), position(b)))
	})
	for len(states) > 0 {
		region := states[0].endpoint.Region
		count := 0
		for count < len(states) && states[count].endpoint.Region == region {
			count++
		}
		for i := range count {
			states[i].reserveRank = float64(i) / float64(count)
		}
		if count == 1 {
			states[0].reserveRank = 1
		}
		states = states[count:]
	}
}

// reserveRule returns the rule for a request. The caller must hold mu.
func (b *Balancer) reserveRule(request *Request, now clock.Millis) (rule reserveRule) {
	d := b.demands[request.Service.Name]
	if d == nil {
		return reserveRule{}
	}
	urgent := b.updateReserve(d, request.Service.Name, now)
	if d.reserve == 0 {
		return reserveRule{}
	}
	rule = reserveRule{fraction: d.reserve, isUrgent: request.Route.Priority <= urgent}
	if !rule.isUrgent && d.isStarved(request.Route.Priority, now) {
		return reserveRule{}
	}
	return rule
}

// updateReserve updates the reserve of a service by its demand and returns the priority that it
// is for. It assumes that every other VM has the same demand. The caller must hold mu.
func (b *Balancer) updateReserve(d *serviceDemand, service string, now clock.Millis) (urgent int) {
	perVM := float64(max(len(b.availableVMs), 1)) / max(b.slotsByService[service], 1)
	demand, target, longest, found := 0.0, 0.0, 0.0, false
	for i := range d.priorities {
		p := &d.priorities[i]
		current := p.load(now) * perVM
		if !p.isRecent(now) || current < minDemand {
			continue
		}
		longest = max(longest, p.target)
		if !found {
			demand, target, urgent, found = current, p.target, p.priority, true
		}
	}
	switch {
	case !found || longest < longTargetFactor*target:
		d.reserve = 0
	case demand > reserveRaise*d.reserve || demand < reserveLower*d.reserve:
		d.reserve = minReserve
		for d.reserve < maxReserve && demand > reserveFill*d.reserve {
			d.reserve *= 2
		}
	}
	return urgent
}
