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
	"baobabladder.example/baobabladder/internal/base/metric"
	"baobabladder.example/baobabladder/internal/base/settings"
	"baobabladder.example/baobabladder/internal/control/follower"
	"baobabladder.example/baobabladder/internal/control/freshness"
	"baobabladder.example/baobabladder/internal/control/heartbeat"
	"baobabladder.example/baobabladder/internal/control/lease"
	"baobabladder.example/baobabladder/internal/wire/operator"
	"baobabladder.example/baobabladder/internal/wire/peer"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/replica"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// Duties of which one VM at a time holds the lease.
const (
	dividerDuty = "divider"
	moverDuty   = "mover"
)

// storeConnections is how many idle connections to the store are kept.
const storeConnections = 16

// operatorHeadTimeout bounds the head of an operator's request.
const operatorHeadTimeout = 10 * clock.Second

// knowledge is what a VM knows of the configuration and of the other VMs, with
// what it serves to peers and operators.
type knowledge struct {
	id        vm.ID
	store     *store.Client
	replica   *replica.Replica
	freshness *freshness.Freshness
	heartbeat *heartbeat.Heartbeat
	follower  *follower.Follower
	// leases holds this VM's part in each duty, by duty.
	leases   map[string]*lease.Lease
	account  *account.DecisionLog
	metrics  *metric.Registry
	peers    *peer.Client
	server   *peer.Server
	operator *operator.Server

	peerListener     net.Listener
	operatorListener net.Listener
	operatorHTTP     *http.Server
	log              logrus.FieldLogger
}

// newKnowledge puts the parts together; nothing runs yet.
func newKnowledge(read settings.Settings, log logrus.FieldLogger, dial Dial) (k *knowledge, err error) {
	wall := clock.Clock{}
	storeClient := store.New(read.Store)
	if dial != nil {
		storeClient.HTTP.Transport = &http.Transport{DialContext: dial, MaxIdleConnsPerHost: storeConnections}
	}
	k = &knowledge{
		id:        vm.ID{Name: read.Name, Incarnation: vm.Incarnation(wall.Wall())},
		store:     storeClient,
		replica:   &replica.Replica{},
		freshness: &freshness.Freshness{},
		leases:    map[string]*lease.Lease{},
		account:   &account.DecisionLog{VM: read.Name, Log: log},
		metrics:   metric.New(),
		peers:     &peer.Client{Dial: dial},
		server:    peer.NewServer(),
		log:       log,
	}
	self := vm.VM{
		Name: read.Name, Role: vm.RoleEntry, State: vm.StateLive, Region: read.Region, DataCentre: read.DataCentre,
		CallerAddress: read.CallerAddress, PeerAddress: read.PeerAddress,
	}
	k.heartbeat = &heartbeat.Heartbeat{
		Self: self, ID: k.id, Replica: k.replica, Freshness: k.freshness, Peers: k.peers,
		Seeds: read.Peers, Claims: k.claims, Jitter: jitter,
	}
	k.follower = &follower.Follower{
		Replica: k.replica, Freshness: k.freshness, Heartbeat: k.heartbeat, Store: k.store,
		Peers: k.peers, Log: log, Jitter: jitter,
		Retries: metric.NewReasonCounters(k.metrics.Scope, "store_retries"),
	}
	k.heartbeat.CatchUp = k.follower.CatchUp
	for _, duty := range []string{dividerDuty, moverDuty} {
		k.leases[duty] = &lease.Lease{
			Duty: duty, Self: k.id, Store: k.store, Account: k.account, PeerClaim: k.heartbeat.PeerClaim,
			CanHold: k.mayHold, Jitter: jitter,
		}
	}
	k.operator = &operator.Server{
		Name: read.Name, Store: k.store, Replica: k.replica, Propagator: k.follower, Viewer: k.heartbeat,
		Freshness: k.freshness, Account: k.account, Peers: k.peers, Log: log, Scope: k.metrics.Scope, Metrics: k.metrics,
	}
	return k, k.register()
}

// register makes the parts callable by peers.
func (k *knowledge) register() error {
	receivers := []struct {
		name     string
		receiver any
	}{
		{heartbeat.ReceiverName, heartbeat.NewReceiver(k.heartbeat)},
		{follower.ReceiverName, follower.NewReceiver(k.follower)},
		{operator.ReceiverName, operator.NewReceiver(k.account)},
	}
	for _, r := range receivers {
		if err := k.server.Register(r.name, r.receiver); err != nil {
			return err
		}
	}
	return nil
}

// listen opens the ports for peers and operators.
func (k *knowledge) listen(read settings.Settings) (err error) {
	defer fault.Annotate(&err, "opening the ports for peers and operators")
	if k.peerListener, err = net.Listen("tcp", read.PeerAddress); err != nil {
		return err
	}
	if k.operatorListener, err = net.Listen("tcp", read.OperatorAddress); err != nil {
		_ = k.peerListener.Close()
	}
	return err
}

// run serves peers and operators and does the VM's duties until ctx ends. Peers
// are served first and longest: they learn from the answers that this VM stops.
func (k *knowledge) run(ctx context.Context) {
	k.operatorHTTP = &http.Server{Handler: k.operator.Handler(), ReadHeaderTimeout: operatorHeadTimeout.Duration()}
	go k.logEnd("serving peers", func() error { return k.server.Serve(k.peerListener) })
	go k.logEnd("serving operators", func() error { return k.operatorHTTP.Serve(k.operatorListener) })
	var group sync.WaitGroup
	group.Go(func() { k.heartbeat.Run(ctx) })
	group.Go(func() { k.follower.Run(ctx) })
	group.Go(func() { k.operator.Run(ctx) })
	for _, held := range k.leases {
		group.Go(func() { held.Run(ctx) })
	}
	group.Wait()
	_ = k.operatorHTTP.Shutdown(context.WithoutCancel(ctx))
	k.heartbeat.Leave(context.WithoutCancel(ctx))
	k.server.Close()
	k.peers.Close()
	_ = k.metrics.Close()
}

func (k *knowledge) logEnd(what string, serve func() error) {
	if err := serve(); err != nil && err != http.ErrServerClosed {
		k.log.WithError(err).Error(what + " ended")
	}
}

// claims lists the leases that this VM holds.
func (k *knowledge) claims() (claims []lease.Claim) {
	for _, duty := range []string{dividerDuty, moverDuty} {
		if claim, held := k.leases[duty].Claim(); held {
			claims = append(claims, claim)
		}
	}
	return claims
}

// mayHold says whether this VM may take a duty: it knows enough and isn't
// stopping.
func (k *knowledge) mayHold() bool {
	ready, _ := k.follower.Ready()
	self := k.heartbeat.View().Member(k.id.Name)
	return ready && self != nil && !self.Stopping
}

// isReady says whether this VM may serve callers.
func (k *knowledge) isReady() bool {
	ready, _ := k.follower.Ready()
	return ready
}

// jitter returns a random number from 0 up to below n.
func jitter(n clock.Millis) clock.Millis {
	if n <= 0 {
		return 0
	}
	return clock.Millis(rand.Int64N(int64(n)))
}
