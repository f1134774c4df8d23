package node

import (
	"context"
	"net"
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

// onReachChange logs that this VM begins or ceases to be cut off from all endpoints.
func (n *Node) onReachChange(isCutOff bool) {
	if isCutOff {
		n.Log.Warn("cut off from all endpoints")
		return
	}
	n.Log.Info("endpoints are reached again")
}
