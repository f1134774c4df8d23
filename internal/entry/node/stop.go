package node

import (
	"context"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/wire/caller"
)

const (
	// idleCloseDivisor and shutdownMargin divide the grace period of a shutdown:
	// idle connections of callers stay open for its first half, and the process ends
	// shutdownMargin before its end.
	idleCloseDivisor = 2
	shutdownMargin   = 600 * clock.Millis(1)
)

// stop announces the stop to the peers and shuts the server for callers down, within
// StopGrace less shutdownMargin.
func (n *Node) stop(ctx context.Context) {
	timeLeft := n.Settings.Bounds.StopGrace - shutdownMargin
	n.endsAt.Store(int64(n.clock.Now() + timeLeft))
	n.stopping.Store(true)
	n.Log.Info("stopping")
	n.roster.ExchangeNow(ctx)
	limit, cancel := context.WithTimeout(ctx, timeLeft.Duration())
	defer cancel()
	var group sync.WaitGroup
	for clients, server := range map[string]*caller.Server{"callers": n.callerServer, "peers that forward requests": n.forwardServer} {
		group.Go(func() {
			if err := server.Shutdown(limit); err != nil {
				n.Log.WithError(err).Warnf("the grace period ended before all connections of %s were closed; the VM stops and interrupts them", clients)
			}
		})
	}
	group.Wait()
}

// plannedEnd returns when the VM ends, if it is stopping.
func (n *Node) plannedEnd() (at clock.Millis, isStopping bool) {
	return clock.Millis(n.endsAt.Load()), n.stopping.Load()
}
