package node

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/entry/gateway"
	"baobabladder.example/baobabladder/internal/wire/caller"
)

const (
	// idleCloseDivisor gives the part of the grace period for which idle connections of callers
	// stay open.
	idleCloseDivisor = 2
	// marginDivisor gives the part of the grace period that is left when the VM ends,
	// maxShutdownMargin bounds it; see shutdownMargin.
	marginDivisor     = 10
	maxShutdownMargin = 600 * clock.Millis(1)
	// maxOpenConnectionLines bounds the lines on open connections, per server.
	maxOpenConnectionLines = 20
	// plainStopDivisor gives the part of shutdownMargin in which readiness checks, lookups and
	// requests for metrics end.
	plainStopDivisor = 3
)

// shutdownMargin returns how long before the end of a grace period the VM ends.
func shutdownMargin(grace clock.Millis) clock.Millis {
	return min(maxShutdownMargin, grace/marginDivisor)
}

// stop announces the stop to the peers and shuts the server for callers down, within
// StopGrace less shutdownMargin.
func (n *Node) stop(ctx context.Context) {
	grace := n.Settings.Bounds.StopGrace
	timeLeft := grace - shutdownMargin(grace)
	now := n.clock.Now()
	planned := gateway.PlannedStop{Begin: now, End: now + timeLeft}
	n.plannedStop.Store(&planned)
	defer time.AfterFunc((planned.InterruptAt() - now).Duration(), n.gateway.Interrupt).Stop()
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
				logOpenConnections(n.Log, clients, server.Connections(), n.clock.Now())
			}
		})
	}
	group.Go(func() { n.releaseUsage(limit) })
	group.Wait()
	n.gateway.RecordUnfinished()
	n.finishUsage(ctx)
	n.stopPlainServers(ctx)
}

// stopPlainServers lets the plain servers answer what they have read, for a part
// of shutdownMargin. They stop last, so that callers can ask for other VMs until the end.
func (n *Node) stopPlainServers(ctx context.Context) {
	timeout := shutdownMargin(n.Settings.Bounds.StopGrace) / plainStopDivisor
	limit, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	var group sync.WaitGroup
	for _, server := range n.plainServers {
		group.Go(func() {
			if err := server.Shutdown(limit); err != nil {
				_ = server.Close()
			}
		})
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		group.Wait()
	}()
	// http.Server.Shutdown waits without a bound for an Accept to return.
	select {
	case <-stopped:
	case <-limit.Done():
	}
}

// logOpenConnections logs the connections that a stop interrupts, up to
// maxOpenConnectionLines, with how long each has been in its state.
func logOpenConnections(log logrus.FieldLogger, clients string, open []caller.Connection, now clock.Millis) {
	for _, each := range open[:min(len(open), maxOpenConnectionLines)] {
		log.WithFields(logrus.Fields{
			"remote": each.Remote, "state": each.State, "state_ms": now - each.Since, "requests": each.Requests,
			"request_id": each.RequestID, "body_bytes": each.BodyBytes,
		}).Warnf("a connection of %s is open at the end of the grace period, one of %d", clients, len(open))
	}
}

// getPlannedStop returns the VM's planned stop, if it is stopping.
func (n *Node) getPlannedStop() (stop gateway.PlannedStop, isStopping bool) {
	if stored := n.plannedStop.Load(); stored != nil {
		return *stored, true
	}
	return gateway.PlannedStop{}, false
}
