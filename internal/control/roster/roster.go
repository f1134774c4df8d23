// Package roster tracks which VMs are in the fleet and which of them are reachable.
// Each VM registers itself in the store. Registered VMs exchange their states with
// each other directly: one call carries the state of the calling VM, and its reply
// that of the called VM. A VM whose last exchange is older than lostAfter counts as
// lost. No list from outside is needed.
//
// In a fleet of up to maxFullMeshVMs VMs every pair of VMs exchanges states (a full
// mesh). In a larger fleet a VM exchanges states only with the relays of its region,
// and the relays of all regions exchange states with each other. A relay is one of the
// VMs of a region, chosen by each VM from what it knows of the fleet. It sends a
// report on the VMs of its region, again only when the report has changed, and the
// sums of their requests in flight and of their evidence on new versions. Evidence is
// the counts of a VM's requests by version and outcome; see package canary.
package roster

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/inflight"
	"baobabladder.example/baobabladder/internal/policy/canary"
	"baobabladder.example/baobabladder/internal/policy/usage"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	// fullMeshInterval is the time between two exchanges with a peer in a fleet of up
	// to maxFullMeshVMs VMs, relayInterval in a larger one.
	fullMeshInterval = 500 * clock.Millis(1)
	relayInterval    = 900 * clock.Millis(1)
	maxFullMeshVMs   = 16
	exchangeTimeout  = 900 * clock.Millis(1)
	// A VM counts as lost after lostIntervals intervals plus lostMargin without an
	// exchange. After forgetAfter without an exchange it is no longer a known VM, and
	// its shares of limits go to other VMs.
	lostIntervals = 3
	lostMargin    = 200 * clock.Millis(1)
	forgetAfter   = 30 * clock.Second
	// relayExclusionTime is how long a VM that failed to answer a call is not chosen
	// as a relay.
	relayExclusionTime = 5 * clock.Second
	// cacheMaxAge is the maximum age of the cached fleet summary, of this VM's own
	// state and of its own report.
	cacheMaxAge = 100 * clock.Millis(1)
)

// ReceiverName is the name under which Receiver is registered for net/rpc.
const ReceiverName = "Roster"

const exchangeMethod = ReceiverName + ".Exchange"

// PeerCaller calls peers; see peer.Client.
type PeerCaller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Usage creates and applies the messages with the counts of requests; see usage.Collector. Its
// methods are called without mu.
type Usage interface {
	MessageFor(peer string, link usage.Link) []byte
	Receive(from vm.ID, message []byte) error
}

// Roster is one VM's view of the fleet. Self, Peers and LocalState must be set.
type Roster struct {
	Self  vm.VM
	Peers PeerCaller
	// LocalState returns this VM's own state. It may call methods of the Roster, so it
	// is called without mu.
	LocalState func() State
	// OnExchange is called with the peer's state after each exchange; optional.
	OnExchange func(state State)
	// Usage exchanges the counts of requests between VMs; nil if usage is not reported.
	Usage Usage
	// Seeds holds peer addresses to call while no VM is registered yet; see SetSeeds.
	Seeds []string
	Clock clock.Clock
	Log   logrus.FieldLogger

	// cachedSelf is the last result of LocalState.
	cachedSelf atomic.Pointer[cachedState]
	// exchanging holds the peers with an exchange in flight.
	exchanging inflight.Set

	mu sync.Mutex
	// registered holds the registered VMs by name. registeredAt is when the first
	// list was set. Guarded by mu.
	registered   map[string]vm.VM
	registeredAt clock.Millis
	// peerStates holds the last state received from each VM directly. Guarded by mu.
	peerStates map[string]peerState
	// reports holds the last report of each relay, by author. ownReport is this VM's
	// own report, built at ownReportAt. Guarded by mu.
	reports     map[string]receivedReport
	ownReport   RegionReport
	ownReportAt clock.Millis
	// cachedView is the summary of peerStates and reports; nil if it must be rebuilt.
	// Guarded by mu.
	cachedView *fleetView
	// evidence is the evidence on new versions received from relays, by region and
	// service. Guarded by mu.
	evidence map[string]map[string]canary.Evidence
	// regionRunning is the number of requests in flight of the region's other VMs, as
	// a relay sent it last, at regionRunningAt. Guarded by mu.
	regionRunning   map[string]int
	regionRunningAt clock.Millis
	// sentRunning is the number of this VM's own requests in flight on each endpoint
	// that it last sent to a relay. The relay's sum includes them, so they are
	// subtracted from it. Guarded by mu.
	sentRunning map[string]int
	// packedRunning is the cached sum that this VM sends as a relay, built at
	// packedRunningAt. Guarded by mu.
	packedRunning   []byte
	packedRunningAt clock.Millis
	// loggedLost holds the VMs that were last logged as lost. Guarded by mu.
	loggedLost map[string]bool
	// excludedUntil holds, for each peer whose last call failed, the time until which
	// it is not chosen as a relay. Guarded by mu.
	excludedUntil map[string]clock.Millis
}

// peerState is the last state received from a VM and when it arrived.
type peerState struct {
	state      State
	receivedAt clock.Millis
}

// cachedState is this VM's own state and when it was read.
type cachedState struct {
	state    State
	loadedAt clock.Millis
}

// SetRegistered replaces the registered VMs.
func (r *Roster) SetRegistered(vms []vm.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.registered) == 0 {
		r.registeredAt = r.Clock.Now()
	}
	r.registered = map[string]vm.VM{}
	for _, listed := range vms {
		r.registered[listed.Name] = listed
	}
	r.cachedView = nil
}

// SetSeeds replaces the addresses to call while no VM is registered.
func (r *Roster) SetSeeds(seeds []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Seeds = seeds
}

// Run exchanges states until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	for ctx.Err() == nil {
		targets := r.targets()
		for name, address := range targets {
			if r.exchanging.Begin(name) {
				go r.exchange(ctx, name, address)
			}
		}
		r.logReachability()
		r.mu.Lock()
		pause := r.interval()
		r.mu.Unlock()
		_ = clock.Sleep(ctx, pause)
	}
}

// currentState returns this VM's own state, read again if it is older than
// cacheMaxAge. It must be called without mu, because LocalState may call methods that
// lock mu, and functions with locks of their own.
func (r *Roster) currentState() State {
	now := r.Clock.Now()
	last := r.cachedSelf.Load()
	if last == nil || now-last.loadedAt >= cacheMaxAge {
		last = &cachedState{r.LocalState(), now}
		r.cachedSelf.Store(last)
	}
	return last.state
}

// targets returns the addresses of the peers that this VM calls, by name; a seed has
// its address as name. In a full mesh and among the relays of a region, the VM with
// the lesser name calls the other. A VM that has no recent state of the other calls it
// regardless of the names. Relays of different regions call each other in both
// directions, since they may disagree on which VMs are relays. All other VMs call the
// relays of their region.
func (r *Roster) targets() map[string]string {
	self := r.currentState()
	r.mu.Lock()
	defer r.mu.Unlock()
	targets := map[string]string{}
	if len(r.registered) == 0 {
		for _, seed := range r.Seeds {
			if seed != r.Self.PeerAddress {
				targets[seed] = seed
			}
		}
	}
	if !r.usesRelays() {
		for name, listed := range r.registered {
			if name != r.Self.Name && r.isCallerOf(name) {
				targets[name] = listed.PeerAddress
			}
		}
		return targets
	}
	isRelay := r.isRelay(r.Self.Name, &self)
	for region, relays := range r.currentView(&self).relays {
		for _, name := range relays {
			isOwnRegion := region == r.Self.Region
			if name != r.Self.Name && (isRelay && (!isOwnRegion || r.isCallerOf(name)) || !isRelay && isOwnRegion) {
				targets[name] = r.registered[name].PeerAddress
			}
		}
	}
	return targets
}

// isCallerOf reports whether this VM, and not the named one, starts the exchanges of
// the pair. The caller must hold mu.
func (r *Roster) isCallerOf(name string) bool {
	peer, found := r.peerStates[name]
	return name > r.Self.Name || !found || r.Clock.Now()-peer.receivedAt > r.lostAfter()
}

func (r *Roster) exchange(ctx context.Context, name, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout.Duration())
	defer cancel()
	var reply State
	err := r.Peers.Call(ctx, address, exchangeMethod, r.stateFor(name, false), &reply)
	r.mu.Lock()
	if r.excludedUntil == nil {
		r.excludedUntil = map[string]clock.Millis{}
	}
	delete(r.excludedUntil, name)
	if err != nil {
		r.excludedUntil[name] = r.Clock.Now() + relayExclusionTime
	}
	r.mu.Unlock()
	r.exchanging.End(name)
	if err == nil {
		r.receive(reply)
	}
}

// stateFor returns the state to send to a peer, which may be unknown. If isCallee is
// set, the peer called this VM: it considers this VM a relay, so the state has the
// relay's fields even if this VM does not consider itself one.
func (r *Roster) stateFor(peer string, isCallee bool) State {
	state := r.currentState()
	if r.Usage != nil {
		state.Usage = r.Usage.MessageFor(peer, r.usageLink(&state, peer, isCallee))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.usesRelays() {
		return state
	}
	// Quotas and limits are divided by demand in a full mesh only.
	state.Demand, state.LimitDemand = nil, nil
	state.Versions = r.knownVersions()
	if isCallee || r.isRelay(r.Self.Name, &state) {
		r.addRelayFields(&state, peer)
		return state
	}
	state.WantsRunning = r.runningSource(&state) == peer
	if state.WantsRunning {
		r.sentRunning = state.Running
	}
	return state
}

// ExchangeNow starts an exchange with all VMs of the region, or with all VMs of a
// full mesh, without waiting for the results. It is used for urgent changes, such as
// the start of a shutdown.
func (r *Roster) ExchangeNow(ctx context.Context) {
	r.cachedSelf.Store(nil)
	r.mu.Lock()
	peers := make([]vm.VM, 0, len(r.registered))
	for name, listed := range r.registered {
		if name != r.Self.Name && (!r.usesRelays() || listed.Region == r.Self.Region) {
			peers = append(peers, listed)
		}
	}
	r.mu.Unlock()
	for _, listed := range peers {
		go r.exchange(ctx, listed.Name, listed.PeerAddress)
	}
}

func (r *Roster) receive(state State) {
	if state.ID.Name == "" || state.ID.Name == r.Self.Name {
		return
	}
	if !r.recordState(state) {
		return
	}
	if len(state.Words) > 0 {
		r.applyRelayFields(&state)
	}
	r.receiveUsage(&state)
	if r.OnExchange != nil {
		r.OnExchange(state)
	}
}

// recordState stores a state received from a VM and reports whether it did. It
// ignores a state of an earlier incarnation than the known one.
func (r *Roster) recordState(state State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := state.ID.Name
	known, found := r.peerStates[name]
	if found && known.state.ID.Incarnation > state.ID.Incarnation {
		return false
	}
	if r.peerStates == nil {
		r.peerStates = map[string]peerState{}
	}
	now := r.Clock.Now()
	if !found || statusOf(&known.state, now-known.receivedAt <= r.lostAfter()) != statusOf(&state, true) {
		r.cachedView = nil
	}
	state.Words, state.RegionRunning, state.Regions, state.Usage = nil, nil, nil, nil
	r.peerStates[name] = peerState{state, now}
	return true
}

func (r *Roster) logReachability() {
	self, now := r.currentState(), r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loggedLost == nil {
		r.loggedLost = map[string]bool{}
	}
	for name, status := range r.currentView(&self).vms {
		if status.Heard != r.loggedLost[name] || r.Log == nil {
			continue
		}
		r.loggedLost[name] = !status.Heard
		if status.Heard {
			r.Log.WithField("peer", name).Info("regained a peer")
			continue
		}
		line := r.Log.WithField("peer", name)
		if peer, found := r.peerStates[name]; found {
			line = line.WithField("silent_ms", now-peer.receivedAt)
		}
		line.Warn("lost a peer")
	}
}

// lostAfter returns the time without an exchange after which a VM counts as lost. The
// caller must hold mu.
func (r *Roster) lostAfter() clock.Millis { return lostIntervals*r.interval() + lostMargin }

// interval returns the time between two exchanges with a peer. The caller must hold
// mu.
func (r *Roster) interval() clock.Millis {
	if r.usesRelays() {
		return relayInterval
	}
	return fullMeshInterval
}

// IsFullMesh reports whether this VM exchanges states with every other VM.
func (r *Roster) IsFullMesh() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.usesRelays()
}

// usesRelays reports whether the fleet is too large for a full mesh. The caller must
// hold mu.
func (r *Roster) usesRelays() bool { return len(r.registered) > maxFullMeshVMs }

// Receiver serves the exchanges of peers over net/rpc.
type Receiver struct{ roster *Roster }

// NewReceiver returns the Receiver of a Roster.
func NewReceiver(roster *Roster) *Receiver { return &Receiver{roster} }

// Exchange receives a peer's state and replies with this VM's state.
func (r *Receiver) Exchange(state State, reply *State) error {
	r.roster.receive(state)
	*reply = r.roster.stateFor(state.ID.Name, true)
	return nil
}
