// Package node puts together one VM of a deployment whose endpoints and VMs
// register themselves in the platform's store. It opens the VM's listeners,
// follows the store, exchanges states with the other VMs and stops in order.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/logging"
	"baobabladder.example/baobabladder/internal/base/metric"
	"baobabladder.example/baobabladder/internal/base/settings"
	"baobabladder.example/baobabladder/internal/control/admission"
	"baobabladder.example/baobabladder/internal/control/roster"
	"baobabladder.example/baobabladder/internal/control/tracker"
	"baobabladder.example/baobabladder/internal/entry/gateway"
	"baobabladder.example/baobabladder/internal/policy/balance"
	"baobabladder.example/baobabladder/internal/policy/canary"
	"baobabladder.example/baobabladder/internal/policy/quota"
	"baobabladder.example/baobabladder/internal/policy/retry"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
	"baobabladder.example/baobabladder/internal/wire/peer"
	"baobabladder.example/baobabladder/internal/world/directory"
	"baobabladder.example/baobabladder/internal/world/routing"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	// spreadInterval is how often what peers told is passed on to the policies.
	spreadInterval = 250 * clock.Millis(1)
	// registrationBatch is the pause between two looks at the registered VMs.
	registrationBatch = 400 * clock.Millis(1)
	// relayPatience is how long a starting VM waits for its registration before it
	// reads the rest from the store.
	relayPatience = 1500 * clock.Millis(1)
	startStep     = 20 * clock.Millis(1)
	// registerRetry is the pause between two tries to register.
	registerRetry = 700 * clock.Millis(1)
	// lookupLifetime is how long callers keep a list of VMs, unless less is allowed.
	lookupLifetime = 2 * clock.Second
	// noticePart and endMargin divide the time that a planned stop has: the first
	// half goes to telling callers, and the process ends endMargin before its end.
	noticePart = 2
	endMargin  = 600 * clock.Millis(1)
	// endpointConnect bounds the set-up of a connection to an endpoint.
	endpointConnect = 350 * clock.Millis(1)
	headTimeout     = 5 * clock.Second
)

// Platform is what the deployment's platform gives a VM.
type Platform interface {
	tracker.Source
	// Kinds names the kinds of objects.
	Kinds() (config, endpoints, moves, evacuations, vms string)
	Headers() gateway.Headers
	// EndpointHeaders names the headers in which endpoints tell their load, and
	// that a request did not run.
	EndpointHeaders() (load, notRun string)
	DecodeConfig(object tracker.Object) (table *routing.Table, found bool, err error)
	DecodeEndpoint(object tracker.Object, now clock.Millis, regions map[string]string) (directory.Endpoint, error)
	DecodeMove(object tracker.Object, now clock.Millis) (directory.Move, error)
	DecodeVM(object tracker.Object) (vm.VM, error)
	// Register writes this VM's registration.
	Register(ctx context.Context, self vm.VM) error
	// WriteMove writes the state of a move, unless it is settled.
	WriteMove(ctx context.Context, move directory.Move, state directory.MoveState) error
	ReadyHandler(isReady func() bool) http.Handler
	LookupHandler(named func(region, dataCentre string) []vm.VM, lifetime clock.Millis) http.Handler
}

// Node is one run of a VM. All exported fields must be set.
type Node struct {
	Settings settings.Node
	Platform Platform
	// Log writes through Writer.
	Log    logrus.FieldLogger
	Writer *logging.Writer

	clock     clock.Clock
	id        vm.ID
	self      vm.VM
	metrics   *metric.Registry
	peers     *peer.Client
	server    *peer.Server
	roster    *roster.Roster
	gateway   *gateway.Gateway
	balancer  *balance.Balancer
	quota     *quota.Limiter
	guard     *canary.Guard
	budget    *retry.WindowBudget
	callers   *caller.Server
	admission *admission.Admission
	duties    atomic.Pointer[duties]
	known     known
	feeds     []*tracker.Feed
	direct    *directSource
	startedAt clock.Millis
	stopping  atomic.Bool
	once      sync.Once
}

// Run serves until ctx ends, and then stops as planned: peers learn that the VM
// is stopping and name it no more, callers that still come are served, and the
// process ends when the last request has, or its time is over.
func (n *Node) Run(ctx context.Context) (err error) {
	defer fault.Annotate(&err, "running VM %s", n.Settings.Name)
	n.once.Do(n.build)
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	if err := n.register(); err != nil {
		return err
	}
	duties, endDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer endDuties()
	n.Log.WithFields(logrus.Fields{"vm": n.Settings.Name, "data_centre": n.Settings.DataCentre}).Info("started")
	n.start(duties, listeners)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		n.stop(duties)
	}()
	err = n.callers.Serve(listeners.callers)
	if ctx.Err() != nil {
		<-stopped
	}
	n.Log.Info("ended")
	return err
}

// build makes the parts; nothing runs yet.
func (n *Node) build() {
	read := n.Settings
	n.startedAt = n.clock.Now()
	n.id = vm.ID{Name: read.Name, Incarnation: vm.Incarnation(n.clock.Wall())}
	n.self = vm.VM{
		Name: read.Name, Role: vm.RoleEntry, State: vm.StateLive, Region: read.Region, DataCentre: read.DataCentre,
		CallerAddress: read.CallerAddress, PeerAddress: read.PeerAddress,
	}
	n.metrics = metric.New()
	n.peers = &peer.Client{}
	n.server = peer.NewServer()
	n.balancer = &balance.Balancer{
		VM: read.Name, Region: read.Region, DataCentre: read.DataCentre,
		ColdLimit: balance.ColdLimit{Overage: read.Bounds.ColdOverage, Slack: read.Bounds.ColdSlack},
	}
	n.quota = &quota.Limiter{}
	n.admission = &admission.Admission{
		Self: read.Name, Peers: n.peers, OwnerOf: n.owner, Workspace: n.workspace, ReachableFraction: n.part,
		OwnedBuckets: &quota.Owner{IsOwnershipUnstable: n.isAssembling}, LocalLimiter: n.quota,
	}
	n.guard = &canary.Guard{MaxShare: read.Bounds.TrialShare}
	n.budget = &retry.WindowBudget{Length: read.Bounds.RetryWindow, Ratio: read.Bounds.RetryRatio, Slack: read.Bounds.RetrySlack}
	refuser := caller.RefusalWriter{Counters: metric.NewReasonCounters(n.metrics.Scope, "refusals"), GatewayStatuses: true}
	load, notRun := n.Platform.EndpointHeaders()
	n.gateway = &gateway.Gateway{
		Headers: n.Platform.Headers(),
		Client: &endpoint.Client{
			LoadHeader: load, NotRunHeader: notRun, ConnectTimeout: endpointConnect, AcceptUnframed: true,
		},
		Balancer: n.balancer, Quota: n.admission, Canary: n.guard, RetryBudget: n.budget, Refuser: refuser,
		RetryCounters: metric.NewReasonCounters(n.metrics.Scope, "retries"), Log: n.Log,
		RecordLatency: latencies(n.metrics), RecordOutcome: outcomes(n.metrics),
	}
	n.callers = &caller.Server{Handler: n.gateway, Refuser: refuser, IdleCloseDelay: read.Bounds.StopGrace / noticePart}
	n.buildFeeds()
	n.roster = &roster.Roster{
		Self: n.self, Peers: n.peers, LocalState: n.state, OnExchange: n.heard, Seeds: read.Peers, Log: n.Log,
	}
}

// register makes the parts callable by peers.
func (n *Node) register() error {
	if err := n.server.Register(roster.ReceiverName, roster.NewReceiver(n.roster)); err != nil {
		return err
	}
	if err := n.server.Register(admission.ReceiverName, admission.NewReceiver(n.admission)); err != nil {
		return err
	}
	return n.server.Register(tracker.ReceiverName, tracker.NewReceiver(n.feeds...))
}

// listeners are the VM's open ports.
type listeners struct {
	callers, ready, lookup, peers, metrics net.Listener
}

func (n *Node) listen() (open listeners, err error) {
	read := n.Settings
	for _, port := range []struct {
		into    *net.Listener
		address string
	}{
		{&open.callers, read.CallerAddress},
		{&open.ready, read.ReadyAddress},
		{&open.lookup, read.LookupAddress},
		{&open.peers, read.PeerAddress},
		{&open.metrics, read.MetricsAddress},
	} {
		if *port.into, err = net.Listen("tcp", port.address); err != nil {
			return open, err
		}
	}
	return open, nil
}

// start starts what goes on until the last request has ended.
func (n *Node) start(ctx context.Context, open listeners) {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.metrics)
	lifetime := min(lookupLifetime, n.Settings.Bounds.LookupLifetime)
	go n.logEnd("serving peers", func() error { return n.server.Serve(open.peers) })
	for _, served := range []struct {
		what     string
		listener net.Listener
		handler  http.Handler
	}{
		{"answering whether the VM is ready", open.ready, n.Platform.ReadyHandler(n.isReady)},
		{"answering lookups", open.lookup, n.Platform.LookupHandler(n.named, lifetime)},
		{"serving metrics", open.metrics, mux},
	} {
		server := &http.Server{Handler: served.handler, ReadHeaderTimeout: headTimeout.Duration()}
		go n.logEnd(served.what, func() error { return server.Serve(served.listener) })
	}
	go n.startFeeds(ctx)
	go n.roster.Run(ctx)
	go n.spread(ctx)
	go n.admission.Run(ctx)
	go n.fillBursts(ctx)
	go n.keepRegistered(ctx)
	go logging.ReportDropped(ctx, n.Log, &n.gateway.LogBudget, n.Writer, dropped(n.metrics))
}

// startFeeds follows the registered VMs first: who knows the relays of its region
// asks them for the rest, and the store answers few when a large fleet starts.
func (n *Node) startFeeds(ctx context.Context) {
	last := len(n.feeds) - 1
	go n.feeds[last].Run(ctx)
	for waited := clock.Millis(0); waited < relayPatience && !n.known.isListed(n.self); waited += startStep {
		if clock.Sleep(ctx, startStep) != nil {
			return
		}
	}
	for _, feed := range n.feeds[:last] {
		go feed.Run(ctx)
	}
}

func (n *Node) logEnd(what string, serve func() error) {
	if err := serve(); err != nil && err != http.ErrServerClosed {
		n.Log.WithError(err).Error(what + " ended")
	}
}

// stop is a planned stop.
func (n *Node) stop(ctx context.Context) {
	n.stopping.Store(true)
	n.Log.Info("stopping")
	n.roster.ExchangeNow(ctx)
	limit, cancel := context.WithTimeout(ctx, (n.Settings.Bounds.StopGrace - endMargin).Duration())
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() {
		if err := n.callers.Shutdown(limit); err != nil {
			n.Log.WithError(err).Warn("requests were still running at the end of the stop")
		}
	})
	group.Wait()
}

// Reload takes over what may change while the VM runs: the peers to ask first.
// The rest of the settings holds until the next start, which the log says.
func (n *Node) Reload(newest settings.Node) {
	n.once.Do(n.build)
	n.roster.SetSeeds(newest.Peers)
	kept := newest
	kept.Peers = n.Settings.Peers
	n.Log.WithFields(logrus.Fields{"peers": len(newest.Peers), "needs_restart": !reflect.DeepEqual(kept, n.Settings)}).Info("settings read again")
}

// isReady says whether this VM serves callers.
func (n *Node) isReady() bool {
	return !n.stopping.Load() && n.knowsEnough()
}

func (n *Node) knowsEnough() bool {
	return n.gateway.Table() != nil && n.known.hasEndpoints()
}

// named answers a lookup. A VM that hears of no other names itself.
func (n *Node) named(region, dataCentre string) []vm.VM {
	return roster.PreferredVMs(n.roster.Members(), region, dataCentre)
}

// keepRegistered registers the VM until the store shows its registration.
func (n *Node) keepRegistered(ctx context.Context) {
	for ctx.Err() == nil {
		if !n.known.isListed(n.self) && !n.stopping.Load() {
			if err := n.Platform.Register(ctx, n.self); err != nil {
				n.Log.WithError(err).Warn("registering failed")
			}
		}
		_ = clock.Sleep(ctx, registerRetry)
	}
}

// jitter returns a random number from 0 up to below m.
func jitter(m clock.Millis) clock.Millis {
	if m <= 0 {
		return 0
	}
	return clock.Millis(rand.Int64N(int64(m)))
}
