package balance

import (
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/hashing"
)

// A limit of an endpoint holds for all VMs together, and they exchange no messages before
// a request. So each VM has a token bucket with a share of the limit. With a limit of L
// requests per second, the buckets of all VMs together have the size
// B = L*burstSeconds + burstSlack. Since a VM needs a bucket of one token at least, only
// the first B VMs by rank get a share. In W seconds the endpoint gets at most L*W + B
// requests, as long as the VMs agree on each other's demand and availability.
const (
	burstSeconds = 1.5
	burstSlack   = 4
	// minLimitDemand is added to each VM's demand in requests per second, so that a VM
	// without demand keeps a share for its next request.
	minLimitDemand = 0.1
	// minStaleRate is the rate in requests per second at which all VMs together try an
	// endpoint whose limit is stale.
	minStaleRate = 0.1
)

// limitShare is a VM's part of a limit.
type limitShare struct {
	// rate is in requests per second, and 0 if the VM may send none. depth is the size of
	// its bucket in requests.
	rate, depth float64
	// isStale reports that the limit is stale. position is then the VM's place among all
	// VMs, from 0 up to 1.
	isStale  bool
	position float64
}

// limitShare returns this VM's share of an endpoint's limit. VMs of the endpoint's region
// come first, in the same order on all VMs. The caller must hold mu.
func (b *Balancer) limitShare(state *endpointState, isStale bool, now clock.Millis) limitShare {
	rate, _ := state.said.limit.binding(now)
	vms := max(len(b.availableVMs), 1)
	position := b.limitPosition(b.self(), state)
	if isStale {
		return limitShare{rate: max(rate, minStaleRate) / float64(vms), depth: 1, isStale: true, position: float64(position) / float64(vms)}
	}
	burst := rate*burstSeconds + burstSlack
	senders := min(vms, int(burst))
	if position >= senders {
		return limitShare{depth: 1}
	}
	part := b.demandPart(state, senders, now)
	return limitShare{rate: rate * part, depth: 1 + (burst-float64(senders))*part}
}

// demandPart returns this VM's part of the demand of the senders to an endpoint, from 0 to
// 1. Without knowledge of the others' demand the parts are equal. The caller must hold mu.
func (b *Balancer) demandPart(state *endpointState, senders int, now clock.Millis) float64 {
	if b.limitDemands == nil {
		return 1 / float64(senders)
	}
	own := minLimitDemand + state.said.limit.currentDemand(now)
	total := own
	for _, vm := range b.availableVMs {
		if vm.Name != b.VM && b.limitPosition(vm, state) < senders {
			total += minLimitDemand + b.limitDemands[vm.Name][state.endpoint.ID]
		}
	}
	return own / total
}

// limitPosition returns how many available VMs rank above the given one for an endpoint.
// The caller must hold mu.
func (b *Balancer) limitPosition(vm rankedVM, state *endpointState) (position int) {
	own := vm.rank(state)
	for _, other := range b.availableVMs {
		if other.rank(state) > own {
			position++
		}
	}
	return position
}

// rankedVM is a VM with the hash of its name.
type rankedVM struct {
	VM
	hash uint64
}

func newRankedVM(vm VM) rankedVM { return rankedVM{vm, hashing.Strings(vm.Name)} }

// self returns this VM.
func (b *Balancer) self() rankedVM { return newRankedVM(VM{Name: b.VM, Region: b.Region}) }

// rank returns the VM's rank among those that may send to an endpoint that takes few
// requests; higher ranks come first. All VMs compute the same ranks.
func (v rankedVM) rank(state *endpointState) uint64 {
	score := hashing.Mix(v.hash^state.hash) >> 1
	if v.Region == state.endpoint.Region {
		score |= 1 << 63
	}
	return score
}

// UpdateLimitDemands sets the requests per second that each other VM would send to the
// endpoints that have named a limit, by VM and endpoint ID; nil if they are not known.
func (b *Balancer) UpdateLimitDemands(demands map[string]map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if demands != nil || b.limitDemands != nil {
		b.sharesVersion++
	}
	b.limitDemands = demands
}

// setVMs replaces the list of VMs. The caller must hold mu.
func (b *Balancer) setVMs(vms []VM) {
	if b.sharesVersion > 0 && slices.Equal(b.vms, vms) {
		return
	}
	b.vms = vms
	b.sharesVersion++
	b.vmsByRegion = map[string]float64{}
	b.availableVMs = []rankedVM{b.self()}
	for _, vm := range vms {
		b.vmsByRegion[vm.Region]++
		if !vm.Unavailable && vm.Name != b.VM {
			b.availableVMs = append(b.availableVMs, newRankedVM(vm))
		}
	}
}
