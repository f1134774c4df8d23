package balance

import (
	"baobabladder.example/baobabladder/internal/base/clock"
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
	own := b.self().rank(state)
	for _, vm := range b.vms {
		if vm.Name != b.VM && newRankedVM(vm).rank(state) > own {
			higherRanked++
		}
	}
	return higherRanked < allowed
}
