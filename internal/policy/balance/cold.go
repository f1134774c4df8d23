package balance

import (
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/hashing"
	"baobabladder.example/baobabladder/internal/world/routing"
)

const (
	// coldRequestInterval is the shortest time between two requests of one VM to a cold
	// endpoint. It is a little more than the second in which the limit counts requests.
	coldRequestInterval = 1080 * clock.Millis(1)
	// coldRateMargin is subtracted from a cold endpoint's limit to leave room for VMs
	// that this VM does not know yet.
	coldRateMargin = 0.75
)

// isColdSender reports whether this VM may send requests to a cold endpoint. As many
// VMs may as requests per second are allowed, each sending one request per second. VMs
// of the endpoint's region come first. The caller must hold mu.
func (b *Balancer) isColdSender(service *routing.Service, state *endpointState) bool {
	allowed := int(max(service.ColdRate*b.ColdLimit.Overage+b.ColdLimit.Slack-coldRateMargin, 1))
	if len(b.vms) <= allowed {
		return true
	}
	higherRanked := 0
	own := coldSenderRank(VM{b.VM, b.Region}, state)
	for _, vm := range b.vms {
		if vm.Name != b.VM && coldSenderRank(vm, state) > own {
			higherRanked++
		}
	}
	return higherRanked < allowed
}

// coldSenderRank returns the rank of a VM among the senders to a cold endpoint; higher
// ranks come first. All VMs compute the same ranks.
func coldSenderRank(vm VM, state *endpointState) uint64 {
	score := hashing.Mix(hashing.Strings(vm.Name)^state.hash) >> 1
	if vm.Region == state.endpoint.Region {
		score |= 1 << 63
	}
	return score
}
