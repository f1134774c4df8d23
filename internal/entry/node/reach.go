package node

import (
	"context"
	"net"

	"baobabladder.example/baobabladder/internal/world/vm"
)

// probeEndpoint opens a connection to an endpoint and closes it.
func (n *Node) probeEndpoint(ctx context.Context, address string) error {
	dial := n.DialEndpoint
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// pickAlternates returns VMs that serve requests in place of this one; see roster.Alternates.
func (n *Node) pickAlternates(count int, isAllowed func(region string) bool) []vm.VM {
	alternates := n.alternates.Load()
	if alternates == nil {
		return nil
	}
	return alternates.Pick(count, isAllowed)
}

// onReachChange logs that this VM begins or ceases to be cut off from all endpoints, and
// tells its peers.
func (n *Node) onReachChange(isCutOff bool) {
	n.roster.ExchangeNow(context.Background())
	if isCutOff {
		n.Log.Warn("cut off from all endpoints")
		return
	}
	n.Log.Info("endpoints are reached again")
}
