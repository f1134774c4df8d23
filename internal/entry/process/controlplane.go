package process

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/account"
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/machine"
	"baobabladder.example/baobabladder/internal/base/metric"
	"baobabladder.example/baobabladder/internal/base/settings"
	"baobabladder.example/baobabladder/internal/control/follower"
	"baobabladder.example/baobabladder/internal/control/freshness"
	"baobabladder.example/baobabladder/internal/control/heartbeat"
	"baobabladder.example/baobabladder/internal/control/lease"
	"baobabladder.example/baobabladder/internal/policy/memory"
	"baobabladder.example/baobabladder/internal/wire/operator"
	"baobabladder.example/baobabladder/internal/wire/peer"
	"baobabladder.example/baobabladder/internal/wire/plain"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/replica"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// Names of the leases. The VM that holds dividerLease divides the fleet's limits among
// the VMs; the VM that holds moverLease advances version moves and removes expired
// order claims.
const (
	dividerLease = "divider"
	moverLease   = "mover"
)

// maxIdleStoreConnections is how many idle connections to the store are kept open.
const maxIdleStoreConnections = 16

// operatorHeaderTimeout limits the time to read the headers of an operator's request.
const operatorHeaderTimeout = 10 * clock.Second

// maxOperatorConnections bounds the open connections of operators.
const maxOperatorConnections = 64

// operatorShutdownTimeout limits the wait for operators' requests at a stop. It is longer than
// a command takes once its body was read.
const operatorShutdownTimeout = 7 * clock.Second

// controlPlane holds a VM's copy of the configuration, its view of the other VMs, and
// its servers for peers and operators.
type controlPlane struct {
	id        vm.ID
	store     *store.Client
	replica   *replica.Replica
	freshness *freshness.Freshness
	heartbeat *heartbeat.Heartbeat
	follower  *follower.Follower
	// leases maps each lease's name to this VM's handle on it, whether or not this VM
	// holds the lease.
	leases    map[string]*lease.Lease
	decisions *account.DecisionLog
	metrics   *metric.Registry
	// memory bounds the connections of callers and operators.
	memory     *memory.Budget
	peerClient *peer.Client
	peerServer *peer.Server
	operator   *operator.Server

	peerListener       net.Listener
	operatorListener   net.Listener
	operatorHTTPServer *http.Server
	log                logrus.FieldLogger
}

// newControlPlane creates the components without starting them.
func newControlPlane(config settings.Settings, log logrus.FieldLogger, dial Dial) (c *controlPlane, err error) {
	wallClock := clock.Clock{}
	storeClient := store.New(config.Store)
	if dial != nil {
		storeClient.HTTP.Transport = &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdleStoreConnections}
	}
	c = &controlPlane{
		id:         vm.ID{Name: config.Name, Incarnation: vm.Incarnation(wallClock.Wall())},
		store:      storeClient,
		replica:    &replica.Replica{},
		freshness:  &freshness.Freshness{},
		leases:     map[string]*lease.Lease{},
		decisions:  &account.DecisionLog{VM: config.Name, Log: log},
		metrics:    metric.New(),
		memory:     memory.NewBudget(machine.Memory(config.Memory)),
		peerClient: &peer.Client{Dial: dial},
		peerServer: peer.NewServer(),
		log:        log,
	}
	self := vm.VM{
		Name: config.Name, Role: vm.RoleEntry, State: vm.StateLive, Region: config.Region, DataCentre: config.DataCentre,
		CallerAddress: config.CallerAddress, PeerAddress: config.PeerAddress,
	}
	c.peerServer.Log = log
	c.heartbeat = &heartbeat.Heartbeat{
		Self: self, ID: c.id, Replica: c.replica, Freshness: c.freshness, Peers: c.peerClient,
		Seeds: config.Peers, Claims: c.heldClaims, Jitter: jitter,
	}
	c.follower = &follower.Follower{
		Replica: c.replica, Freshness: c.freshness, Heartbeat: c.heartbeat, Store: c.store,
		Peers: c.peerClient, Log: log, Jitter: jitter,
		Retries: metric.NewReasonCounters(c.metrics.Scope, "store_retries"),
	}
	c.heartbeat.CatchUp = c.follower.CatchUp
	for _, name := range []string{dividerLease, moverLease} {
		c.leases[name] = &lease.Lease{
			Duty: name, Self: c.id, Store: c.store, Decisions: c.decisions, PeerClaim: c.heartbeat.PeerClaim,
			CanHold: c.canHoldLease, Jitter: jitter,
		}
	}
	c.operator = &operator.Server{
		Name: config.Name, Store: c.store, Replica: c.replica, Propagator: c.follower, Viewer: c.heartbeat,
		Freshness: c.freshness, Decisions: c.decisions, Peers: c.peerClient, Log: log, Scope: c.metrics.Scope, Metrics: c.metrics,
	}
	return c, c.registerReceivers()
}

// registerReceivers registers the RPC receivers that peers call.
func (c *controlPlane) registerReceivers() error {
	receivers := []struct {
		name     string
		receiver any
	}{
		{heartbeat.ReceiverName, heartbeat.NewReceiver(c.heartbeat)},
		{follower.ReceiverName, follower.NewReceiver(c.follower)},
		{operator.ReceiverName, operator.NewReceiver(c.decisions)},
	}
	for _, r := range receivers {
		if err := c.peerServer.Register(r.name, r.receiver); err != nil {
			return err
		}
	}
	return nil
}

// listen opens the listeners for peers and operators.
func (c *controlPlane) listen(config settings.Settings) (err error) {
	defer fault.Annotate(&err, "listening for peers and operators")
	if c.peerListener, err = net.Listen("tcp", config.PeerAddress); err != nil {
		return err
	}
	if c.operatorListener, err = net.Listen("tcp", config.OperatorAddress); err != nil {
		_ = c.peerListener.Close()
	}
	return err
}

// run serves peers and operators and runs the background work until ctx is done. The
// server for peers starts first and stops last, as peers learn from its replies that
// this VM is stopping.
func (c *controlPlane) run(ctx context.Context) {
	c.operatorHTTPServer = plain.NewServer(c.operator.Handler(), operatorHeaderTimeout)
	peers := &plain.Listener{Listener: c.peerListener, MaxConnections: plain.Peers()}
	operators := &plain.Listener{Listener: c.operatorListener, MaxConnections: maxOperatorConnections, Memory: c.memory}
	go c.serveAndLog("serving peers", func() error { return c.peerServer.Serve(peers) })
	go c.serveAndLog("serving operators", func() error { return c.operatorHTTPServer.Serve(operators) })
	var group sync.WaitGroup
	group.Go(func() { c.heartbeat.Run(ctx) })
	group.Go(func() { c.follower.Run(ctx) })
	group.Go(func() { c.operator.Run(ctx) })
	for _, l := range c.leases {
		group.Go(func() { l.Run(ctx) })
	}
	group.Wait()
	c.shutDownOperatorServer(context.WithoutCancel(ctx))
	c.heartbeat.Leave(context.WithoutCancel(ctx))
	c.peerServer.Close()
	c.peerClient.Close()
	_ = c.metrics.Close()
}

// shutDownOperatorServer waits for operators' requests up to operatorShutdownTimeout, and then
// closes their connections.
func (c *controlPlane) shutDownOperatorServer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, operatorShutdownTimeout.Duration())
	defer cancel()
	if err := c.operatorHTTPServer.Shutdown(ctx); err != nil {
		_ = c.operatorHTTPServer.Close()
	}
}

func (c *controlPlane) serveAndLog(service string, serve func() error) {
	if err := serve(); err != nil && err != http.ErrServerClosed {
		c.log.WithError(err).Error(service + " stopped unexpectedly")
	}
}

// heldClaims returns the claims of the leases that this VM holds.
func (c *controlPlane) heldClaims() (claims []lease.Claim) {
	for _, name := range []string{dividerLease, moverLease} {
		if claim, held := c.leases[name].Claim(); held {
			claims = append(claims, claim)
		}
	}
	return claims
}

// canHoldLease reports whether this VM may acquire a lease: it is ready and isn't
// stopping.
func (c *controlPlane) canHoldLease() bool {
	ready, _ := c.follower.Ready()
	self := c.heartbeat.View().Member(c.id.Name)
	return ready && self != nil && !self.Stopping
}

// isReady reports whether this VM has the state that it needs to serve callers.
func (c *controlPlane) isReady() bool {
	ready, _ := c.follower.Ready()
	return ready
}

// jitter returns a random duration in [0, n), or 0 if n is not positive.
func jitter(n clock.Millis) clock.Millis {
	if n <= 0 {
		return 0
	}
	return clock.Millis(rand.Int64N(int64(n)))
}
