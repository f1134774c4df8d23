package balance

import (
	"math"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/hashing"
)

const (
	// reserveFactor is the number of slots reserved for each request in flight that the
	// demand amounts to. It leaves room for bursts.
	reserveFactor = 1.5
	// maxReserve is the largest fraction of a service's slots that is reserved.
	maxReserve = 0.5
	// minServedShare is the share of a priority's requests that must get an endpoint,
	// relative to that of all requests of the service. A lower priority that has less may
	// use all slots and queue up to starvedQueue requests at an endpoint. A kind of request
	// that is served less than a quarter as often as all counts as starved, and some
	// of those that get an endpoint are late.
	minServedShare = 0.4
	starvedQueue   = 2
	// queueCost is the additional cost of each millisecond that a request of the highest
	// priority waits in an endpoint's queue.
	queueCost = 1
)

// priorityRule is what applies to requests of one route priority in a service with requests
// of several. The zero value is the rule in other services, where no request comes before
// another.
type priorityRule struct {
	// isHighest reports whether no higher priority was seen recently, isLower whether one
	// was.
	isHighest, isLower bool
	// reserved is the fraction of the slots that is left to higher priorities, and
	// maxQueue how many requests may wait at an endpoint for another one to be sent there.
	// Both hold only for lower priorities.
	reserved float64
	maxQueue int
	// meanRun is the mean run time of the requests of all priorities that got an endpoint,
	// in milliseconds; 0 if it is not known.
	meanRun float64
}

// priorityRule returns the rule for a request in a service with the given number of slots. It
// assumes that every other VM has the same demand. The caller must hold mu.
func (b *Balancer) priorityRule(request *Request, slots float64, now clock.Millis) (rule priorityRule) {
	d := b.demands[request.Service.Name]
	if d == nil || !d.isMixed(now) {
		return priorityRule{}
	}
	higher, own := 0.0, priorityDemand{}
	arrived, granted, grantedWork := 0.0, 0.0, 0.0
	rule.isHighest = true
	for i := range d.priorities {
		p := &d.priorities[i]
		if !p.isRecent(now) || p.arrived == 0 {
			continue
		}
		if p.priority < request.Route.Priority {
			rule.isHighest = false
			higher += p.load(now)
		}
		if p.priority == request.Route.Priority {
			own = *p
		}
		decay := math.Exp(-float64(now-p.seenAt) / float64(demandDecayTime))
		arrived += p.arrived * decay
		granted += p.granted * decay
		grantedWork += p.granted * decay * p.work / p.arrived
	}
	if granted > 0 {
		rule.meanRun = grantedWork / granted
	}
	if rule.isLower = !rule.isHighest; !rule.isLower {
		return rule
	}
	// One request is added to each count, so that a single refusal shows nothing.
	if (own.granted+1)*(arrived+1) < minServedShare*(granted+1)*(own.arrived+1) {
		rule.maxQueue = starvedQueue
		return rule
	}
	vms := float64(max(len(b.availableVMs), 1))
	rule.reserved = min(reserveFactor*higher*vms/max(slots, 1), maxReserve)
	return rule
}

// limit returns how many requests, running or queued, an endpoint may have for another one to
// be sent to it. Fractions of reserved slots are spread over the endpoints by hash, so that all
// VMs reserve them at the same endpoints.
func (r *priorityRule) limit(state *endpointState, now clock.Millis) int {
	slots := state.slots(now)
	if !r.isLower {
		return slots + maxQueueLength
	}
	whole, fraction := math.Modf(r.reserved * float64(slots))
	if float64(hashing.Mix(state.hash)>>11)/(1<<53) < fraction {
		whole++
	}
	return slots - int(whole) + r.maxQueue
}
