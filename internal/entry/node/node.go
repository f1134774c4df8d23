// Package node assembles and runs one entry VM of a deployment whose endpoints and VMs
// register themselves in the platform's store. It opens the VM's listeners, keeps a
// copy of the store's objects, exchanges state with the other VMs and shuts down
// gracefully.
//
// A feed keeps the copy of one kind of objects. In a large fleet some VMs of each
// region are relays: they read the store, and the other VMs of the region, their
// followers, read the objects from them.
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
	"baobabladder.example/baobabladder/internal/base/machine"
	"baobabladder.example/baobabladder/internal/base/metric"
	"baobabladder.example/baobabladder/internal/base/settings"
	"baobabladder.example/baobabladder/internal/control/admission"
	"baobabladder.example/baobabladder/internal/control/duty"
	"baobabladder.example/baobabladder/internal/control/roster"
	"baobabladder.example/baobabladder/internal/control/tracker"
	"baobabladder.example/baobabladder/internal/control/usage"
	"baobabladder.example/baobabladder/internal/entry/gateway"
	"baobabladder.example/baobabladder/internal/policy/balance"
	"baobabladder.example/baobabladder/internal/policy/blocklist"
	"baobabladder.example/baobabladder/internal/policy/canary"
	"baobabladder.example/baobabladder/internal/policy/memory"
	"baobabladder.example/baobabladder/internal/policy/quota"
	"baobabladder.example/baobabladder/internal/policy/reach"
	"baobabladder.example/baobabladder/internal/policy/retry"
	"baobabladder.example/baobabladder/internal/policy/waiting"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
	"baobabladder.example/baobabladder/internal/wire/peer"
	"baobabladder.example/baobabladder/internal/wire/plain"
	"baobabladder.example/baobabladder/internal/world/directory"
	"baobabladder.example/baobabladder/internal/world/routing"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	// peerSyncInterval is how often the states of the peers are passed to the policies.
	peerSyncInterval = 250 * clock.Millis(1)
	// vmBatchInterval is the pause between two reads of the registered VMs.
	vmBatchInterval = 400 * clock.Millis(1)
	// registrationWait is how long a starting VM waits until the store shows its
	// registration, checked every registrationPoll, before it reads the other kinds.
	registrationWait = 1500 * clock.Millis(1)
	registrationPoll = 20 * clock.Millis(1)
	// registerInterval is the pause between two checks of the VM's registration, and
	// between two attempts to register.
	registerInterval = 700 * clock.Millis(1)
	// checkInterval is the time between two checks of the store, which one VM of the fleet
	// makes; see checkInterval of Node.
	checkInterval = 1 * clock.Second
	// moveRewriteInterval is the least pause between two attempts to write the lost
	// states of version moves.
	moveRewriteInterval = 1 * clock.Second
	// maxLookupLifetime is how long callers may keep a list of VMs, unless the settings
	// allow less.
	maxLookupLifetime = 2 * clock.Second
	// endpointConnectTimeout limits the time to connect to an endpoint.
	endpointConnectTimeout = 350 * clock.Millis(1)
	// alternateConnectTimeout limits the time to connect to a VM that requests are forwarded to.
	alternateConnectTimeout = 350 * clock.Millis(1)
	// readHeaderTimeout limits the time to read the headers of a readiness check, a
	// lookup or a request for metrics.
	readHeaderTimeout = 5 * clock.Second
)

// Platform adapts a VM to the deployment's platform: its store, the format of its
// objects, and its HTTP interfaces.
type Platform interface {
	tracker.Source
	// Kinds returns the names of the kinds of objects in the store.
	Kinds() (config, endpoints, moves, evacuations, vms string)
	Headers() gateway.Headers
	// EndpointHeaders returns the names of the response headers in which endpoints speak of
	// themselves.
	EndpointHeaders() endpoint.HeaderNames
	DecodeConfig(object tracker.Object) (table *routing.Table, found bool, err error)
	DecodeEndpoint(object tracker.Object, now clock.Millis, regions map[string]string) (directory.Endpoint, error)
	DecodeMove(object tracker.Object, now clock.Millis) (directory.Move, error)
	// DecodeEvidence returns the evidence that WriteMove recorded with a move's state.
	DecodeEvidence(object tracker.Object) (evidence canary.Evidence, found bool)
	DecodeVM(object tracker.Object) (vm.VM, error)
	// Era returns the store's era, as far as this VM knows. It rises each time that the
	// store comes back from a copy.
	Era() int64
	// IsNewer reports whether the owner of two objects of one kind and name certainly
	// wrote object later than other; see tracker.Feed.
	IsNewer(kind string, object, other tracker.Object) bool
	// Register writes this VM's registration to the store.
	Register(ctx context.Context, self vm.VM) error
	// WriteMove writes the state of a move and the evidence on it to the store, unless the
	// move is done, rolled back or replaced by another one there.
	WriteMove(ctx context.Context, move directory.Move, state directory.MoveState, evidence canary.Evidence) error
	// ReadObject and WriteObject read and write the objects of duties.
	duty.Store
	// Metering returns a client of the metering interface at address, an IP:port.
	Metering(address string) usage.Client
	ReadyHandler(isReady func() bool) http.Handler
	LookupHandler(preferredVMs func(region, dataCentre string) []vm.VM, lifetime clock.Millis) http.Handler
}

// Node is one run of an entry VM. All exported fields but DialEndpoint must be set.
type Node struct {
	Settings settings.Node
	Platform Platform
	// Log must write through Writer, whose dropped lines are reported.
	Log    logrus.FieldLogger
	Writer *logging.Writer
	// DialEndpoint opens connections to endpoints; if nil, a default net.Dialer is used.
	DialEndpoint func(ctx context.Context, network, address string) (net.Conn, error)

	clock   clock.Clock
	id      vm.ID
	self    vm.VM
	metrics *metric.Registry
	// memory bounds the connections of all servers.
	memory     *memory.Budget
	peers      *peer.Client
	peerServer *peer.Server
	roster     *roster.Roster
	gateway    *gateway.Gateway
	balancer   *balance.Balancer
	reach      *reach.Monitor
	quota      *quota.Limiter
	canary     *canary.Guard
	blocklist  *blocklist.List
	// blocked has an element if a request was blocked and peers do not know it yet.
	blocked      chan struct{}
	retryBudget  *retry.WindowBudget
	callerServer *caller.Server
	// forwardServer serves the requests that other VMs forward.
	forwardServer *caller.Server
	// plainServers serve readiness checks, lookups and metrics.
	plainServers []*http.Server
	admission    *admission.Admission
	// usage is nil if usage is not reported.
	usage          *usageReports
	dutyAssignment atomic.Pointer[dutyAssignment]
	alternates     atomic.Pointer[roster.Alternates]
	objects        objectCache
	feeds          []*tracker.Feed
	store          *storeSource
	// loggedLimits holds the endpoints' limits as they were logged last, by endpoint ID.
	// Only syncPeers uses it.
	loggedLimits map[string]balance.LimitUse
	// loggedEra is the store's era that was logged last. Only syncPeers uses it.
	loggedEra int64
	// nextMoveRewriteAt is when the lost states of moves may be written again. Only
	// writeMoves uses it.
	nextMoveRewriteAt clock.Millis
	startedAt         clock.Millis
	stopping          atomic.Bool
	// plannedStop is set before stopping.
	plannedStop atomic.Pointer[gateway.PlannedStop]
	buildOnce   sync.Once
}

// Run serves until ctx is done and then shuts down gracefully: peers learn that the VM
// is stopping and no longer recommend it to callers, requests that still arrive are
// served, and Run returns when the last request has ended or the grace period is over.
func (n *Node) Run(ctx context.Context) (err error) {
	defer fault.Annotate(&err, "running VM %s", n.Settings.Name)
	n.buildOnce.Do(n.build)
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	if err := n.registerReceivers(); err != nil {
		return err
	}
	background, cancelBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelBackground()
	n.Log.WithFields(logrus.Fields{"vm": n.Settings.Name, "data_centre": n.Settings.DataCentre}).Info("started")
	n.startServices(background, listeners)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		n.stop(background)
	}()
	err = n.callerServer.Serve(listeners.callers)
	if ctx.Err() != nil {
		<-stopped
	}
	n.Log.Info("ended")
	return err
}

// build creates the components without starting them.
func (n *Node) build() {
	config := n.Settings
	n.startedAt = n.clock.Now()
	n.id = vm.ID{Name: config.Name, Incarnation: vm.Incarnation(n.clock.Wall())}
	n.self = vm.VM{
		Name: config.Name, Role: vm.RoleEntry, State: vm.StateLive, Region: config.Region, DataCentre: config.DataCentre,
		CallerAddress: config.CallerAddress, PeerAddress: config.PeerAddress, ForwardAddress: config.ForwardAddress,
	}
	n.metrics = metric.New()
	n.memory = memory.NewBudget(machine.Memory(config.Memory))
	n.peers = &peer.Client{}
	n.peerServer = peer.NewServer()
	n.peerServer.Log = n.Log
	n.balancer = &balance.Balancer{
		VM: config.Name, Region: config.Region, DataCentre: config.DataCentre,
		ColdLimit:  balance.ColdLimit{Overage: config.Bounds.ColdOverage, Slack: config.Bounds.ColdSlack},
		OnReserved: reservedRecorder(n.metrics),
	}
	n.reach = &reach.Monitor{Probe: n.probeEndpoint, Addresses: n.balancer.Addresses, OnChange: n.onReachChange}
	n.quota = &quota.Limiter{NeedsPeers: true}
	n.admission = &admission.Admission{
		Self: config.Name, Peers: n.peers, OwnerOf: n.ownerOf, Workspace: n.workspace, ReachableFraction: n.reachableFraction,
		OwnedBuckets: &quota.Owner{IsOwnershipUnstable: n.isOwnershipUnstable}, LocalLimiter: n.quota,
	}
	n.canary = &canary.Guard{VM: config.Name, MaxShare: config.Bounds.TrialShare, MaxExtra: config.Bounds.TrialSlack, OnBad: n.logBadVersion}
	n.blocklist, n.blocked = &blocklist.List{VM: config.Name}, make(chan struct{}, 1)
	n.retryBudget = &retry.WindowBudget{Length: config.Bounds.RetryWindow, Ratio: config.Bounds.RetryRatio, Slack: config.Bounds.RetrySlack}
	if !config.FirstStart {
		n.retryBudget.FullFrom = n.clock.Now() + config.Bounds.RetryWindow
	}
	refuser := caller.RefusalWriter{Counters: metric.NewReasonCounters(n.metrics.Scope, "refusals"), GatewayStatuses: true}
	n.gateway = &gateway.Gateway{
		Headers: n.Platform.Headers(),
		Client: &endpoint.Client{
			Names: n.Platform.EndpointHeaders(), ConnectTimeout: endpointConnectTimeout, AcceptUnframed: true, Dial: n.DialEndpoint,
		},
		Balancer: n.balancer, Waiting: &waiting.Queues{Limits: waiting.DefaultLimits}, Reach: n.reach, Alternates: n.pickAlternates, PeerClient: &endpoint.Client{ConnectTimeout: alternateConnectTimeout},
		Quota: n.admission, Canary: n.canary, RetryBudget: n.retryBudget, Refuser: refuser,
		Blocklist: n.blocklist, OnBlock: n.announceBlock,
		RetryCounters: metric.NewReasonCounters(n.metrics.Scope, "retries"), Log: n.Log,
		RecordLatency: latencyRecorder(n.metrics), RecordOutcome: outcomeRecorder(n.metrics),
		RecordOddity: oddityRecorder(n.metrics), RecordLimitedSend: limitedSendRecorder(n.metrics),
		RecordInterrupted: interruptedRecorder(n.metrics), RecordWait: waitRecorder(n.metrics), ConfigAge: n.configAge, PlannedStop: n.getPlannedStop,
	}
	n.balancer.OnRoom = n.gateway.NotifyRoom
	n.callerServer, n.forwardServer = n.newCallerServer(n.gateway, refuser), n.newCallerServer(n.gateway.ForwardHandler(), refuser)
	n.buildFeeds()
	n.roster = &roster.Roster{
		Self: n.self, Peers: n.peers, LocalState: n.localState, OnExchange: n.onExchange, Seeds: config.Peers, Log: n.Log,
	}
	n.buildUsage()
}

// newCallerServer creates a server for callers or for peers that forward requests.
func (n *Node) newCallerServer(handler http.Handler, refuser caller.RefusalWriter) *caller.Server {
	return &caller.Server{
		Handler: handler, Refusals: refuser, IdleCloseDelay: n.Settings.Bounds.StopGrace / idleCloseDivisor,
		RequestIDHeader: endpoint.RequestIDHeader, OnUndelivered: n.onUndelivered,
		Memory: n.memory, OnHeadRefused: headRecorder(n.metrics),
	}
}

// registerReceivers registers the RPC receivers that peers call.
func (n *Node) registerReceivers() error {
	if err := n.peerServer.Register(roster.ReceiverName, roster.NewReceiver(n.roster)); err != nil {
		return err
	}
	if err := n.peerServer.Register(admission.ReceiverName, admission.NewReceiver(n.admission)); err != nil {
		return err
	}
	return n.peerServer.Register(tracker.ReceiverName, tracker.NewReceiver(n.feeds...))
}

// listeners holds the VM's listeners.
type listeners struct {
	callers, ready, lookup, peers, metrics net.Listener
	// forwards is nil if the VM takes no forwarded requests.
	forwards net.Listener
}

func (n *Node) listen() (open listeners, err error) {
	config := n.Settings
	for _, port := range []struct {
		listener *net.Listener
		address  string
	}{
		{&open.callers, config.CallerAddress},
		{&open.ready, config.ReadyAddress},
		{&open.lookup, config.LookupAddress},
		{&open.peers, config.PeerAddress},
		{&open.metrics, config.MetricsAddress},
		{&open.forwards, config.ForwardAddress},
	} {
		if port.address == "" {
			continue
		}
		if *port.listener, err = net.Listen("tcp", port.address); err != nil {
			return open, err
		}
	}
	return open, nil
}

// startServices starts the background work, which runs until the last request has
// ended.
func (n *Node) startServices(ctx context.Context, open listeners) {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.metrics)
	lifetime := min(maxLookupLifetime, n.Settings.Bounds.LookupLifetime)
	if open.forwards != nil {
		go n.serveAndLog("serving forwarded requests", func() error { return n.forwardServer.Serve(open.forwards) })
	}
	peers := &plain.Listener{Listener: open.peers, MaxConnections: plain.Peers()}
	go n.serveAndLog("serving peers", func() error { return n.peerServer.Serve(peers) })
	for _, served := range []struct {
		service     string
		listener    net.Listener
		connections int
		handler     http.Handler
	}{
		{"serving readiness checks", open.ready, plain.Few, n.Platform.ReadyHandler(n.isReady)},
		{"serving lookups", open.lookup, plain.Lookups(), n.Platform.LookupHandler(n.preferredVMs, lifetime)},
		{"serving metrics", open.metrics, plain.Few, mux},
	} {
		server := plain.NewServer(served.handler, readHeaderTimeout)
		n.plainServers = append(n.plainServers, server)
		bounded := &plain.Listener{Listener: served.listener, MaxConnections: served.connections, Memory: n.memory}
		go n.serveAndLog(served.service, func() error { return server.Serve(bounded) })
	}
	go n.startFeeds(ctx)
	go n.roster.Run(ctx)
	go n.reach.Run(ctx)
	go n.syncPeers(ctx)
	go n.writeMoves(ctx)
	go n.admission.Run(ctx)
	checker := &tracker.Checker{Store: checkSource{n.store}, Feeds: n.feeds, Interval: n.checkInterval, OnMissed: func() { n.roster.ExchangeNow(ctx) }}
	go checker.Run(ctx)
	go n.fillOwnedBursts(ctx)
	go n.announceBlocks(ctx)
	go n.maintainRegistration(ctx)
	n.startUsage(ctx)
	go logging.ReportDropped(ctx, n.Log, &n.gateway.LogBudget, n.Writer, dropRecorder(n.metrics))
}

func (n *Node) serveAndLog(service string, serve func() error) {
	if err := serve(); err != nil && err != http.ErrServerClosed {
		n.Log.WithError(err).Error(service + " stopped unexpectedly")
	}
}

// Reload applies the settings that may change while the VM runs, which are the seed
// peers. Other changes need a restart; the log line states whether there are any.
func (n *Node) Reload(newest settings.Node) {
	n.buildOnce.Do(n.build)
	n.roster.SetSeeds(newest.Peers)
	withOldPeers := newest
	withOldPeers.Peers = n.Settings.Peers
	n.Log.WithFields(logrus.Fields{"peers": len(newest.Peers), "needs_restart": !reflect.DeepEqual(withOldPeers, n.Settings)}).Info("settings read again")
}

// isReady reports whether this VM is ready to serve callers and not stopping.
func (n *Node) isReady() bool {
	return !n.stopping.Load() && n.hasConfigAndEndpoints()
}

func (n *Node) hasConfigAndEndpoints() bool {
	return n.gateway.Table() != nil && n.objects.hasEndpoints()
}

// preferredVMs returns the VMs that callers in a data centre should use. A VM that
// reaches no other returns itself.
func (n *Node) preferredVMs(region, dataCentre string) []vm.VM {
	return roster.PreferredVMs(n.roster.Members(), region, dataCentre)
}

// isRegistered reports whether the store holds this VM's registration, as far as this VM
// knows. A registration that the store may have lost does not count.
func (n *Node) isRegistered() bool {
	return n.objects.isRegistered(n.self) && n.vmFeed().IsConfirmed(n.self.Name)
}

// vmFeed returns the feed of registrations, which is the last one.
func (n *Node) vmFeed() *tracker.Feed { return n.feeds[len(n.feeds)-1] }

// maintainRegistration registers the VM whenever the copy of the store lacks its
// registration, until ctx is done or the VM stops.
func (n *Node) maintainRegistration(ctx context.Context) {
	for ctx.Err() == nil {
		if !n.isRegistered() && !n.stopping.Load() {
			if err := n.Platform.Register(ctx, n.self); err != nil {
				n.Log.WithError(err).Warn("writing this VM's registration to the store failed; retrying")
			}
		}
		_ = clock.Sleep(ctx, registerInterval)
	}
}

// jitter returns a random duration in [0, m), or 0 if m is not positive.
func jitter(m clock.Millis) clock.Millis {
	if m <= 0 {
		return 0
	}
	return clock.Millis(rand.Int64N(int64(m)))
}
