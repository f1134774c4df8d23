package node

import (
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/control/roster"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/world/routing"
)

// limitDemands returns the other VMs' demand for endpoints that have named a limit, by VM
// and endpoint. It returns nil in a fleet in which VMs do not exchange it.
func (n *Node) limitDemands(members []roster.Member) map[string]map[string]float64 {
	if !n.roster.IsFullMesh() {
		return nil
	}
	demands := map[string]map[string]float64{}
	for _, member := range members {
		if len(member.LimitDemand) > 0 && member.ID.Name != n.id.Name {
			demands[member.ID.Name] = member.LimitDemand
		}
	}
	return demands
}

// logLimits logs the limits that endpoints have named or lifted since the last call.
func (n *Node) logLimits() {
	newest := n.balancer.LimitUses()
	for _, id := range slices.Sorted(maps.Keys(newest)) {
		if _, isLogged := n.loggedLimits[id]; !isLogged {
			n.Log.WithFields(logrus.Fields{"endpoint": id, "limit_per_s": newest[id].Rate, "share_per_s": newest[id].Share}).
				Info("endpoint named a limit")
		}
	}
	for _, id := range slices.Sorted(maps.Keys(n.loggedLimits)) {
		if _, found := newest[id]; !found {
			last := n.loggedLimits[id]
			n.Log.WithFields(logrus.Fields{"endpoint": id, "limit_per_s": last.Rate, "first_sends": last.FirstSends, "retries": last.Retries}).
				Info("endpoint lifted its limit")
		}
	}
	n.loggedLimits = newest
}

// forwardedHeadBytes is how much a forwarded head may exceed twice the limit of a caller's head.
// The VM that forwards adds headers, and writes the three bytes "a:\n" as the five bytes "a: \r\n".
const forwardedHeadBytes = 4 << 10

// setHeadLimits puts the configuration's limits of heads and connections in force. Connections
// of other VMs keep their times, which do not depend on the configuration.
func (n *Node) setHeadLimits(limits routing.Limits) {
	n.callerServer.SetLimits(caller.Limits{MaxHeadBytes: limits.MaxHeaderBytes, HeadTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout})
	forwarded := int64(0)
	if limits.MaxHeaderBytes > 0 {
		forwarded = 2*limits.MaxHeaderBytes + forwardedHeadBytes
	}
	n.forwardServer.SetLimits(caller.Limits{MaxHeadBytes: forwarded})
}
