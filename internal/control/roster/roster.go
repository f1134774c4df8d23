// Package roster tells which VMs there are. Each VM registers itself in the
// store; the registered VMs exchange their state with each other directly, and
// one that was not heard lately counts as lost. No list from outside is needed.
//
// In a fleet of more than pairFleet VMs a VM exchanges states with the relays of
// its region only, and those with the relays of the other regions. Relays tell
// which VMs they hear, in words that are sent again only when they change, and
// what the VMs of their region do together.
package roster

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/balance"
	"baobabladder.example/baobabladder/internal/policy/canary"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	// exchangeInterval is the pause between two exchanges with a peer in a fleet of
	// up to pairFleet VMs, largeInterval in a larger one.
	exchangeInterval = 500 * clock.Millis(1)
	largeInterval    = 900 * clock.Millis(1)
	pairFleet        = 16
	exchangeTimeout  = 900 * clock.Millis(1)
	// lostIntervals is for how many intervals a VM may be silent until it counts as
	// lost, and forgottenAfter is when its shares of limits are given to others.
	lostIntervals  = 3
	lostMargin     = 200 * clock.Millis(1)
	forgottenAfter = 30 * clock.Second
	// silentPause is how long a VM that did not answer is no relay.
	silentPause = 5 * clock.Second
	// viewAge is how old the summary of what was heard may be, and what this VM
	// tells of itself.
	viewAge = 100 * clock.Millis(1)
)

// ReceiverName names the receiver of exchanges.
const ReceiverName = "Roster"

const exchangeMethod = ReceiverName + ".Exchange"

// State is what a VM tells a peer: of itself, and as a relay of others.
type State struct {
	ID vm.ID
	VM vm.VM
	// Ready says that the VM knows enough to serve, Stopping that it has begun a
	// planned stop, Contact that the store answers it, as far as it knows.
	Ready, Stopping, Contact bool
	// Demand is the requests a second that it was asked for, by workspace.
	Demand map[string]float64
	// Running is how many of its requests run on each endpoint.
	Running map[string]int
	// Away is where it sent objects that do not belong there, by object.
	Away map[string]balance.Relocation
	// Trials is what it saw of new versions, by service.
	Trials map[string]canary.Evidence
	// Revisions is up to which change of the store it knows each kind of object.
	Revisions map[string]int64
	// Versions names the words that it knows, by author, so that they are not sent
	// again, and WantsRunning asks a relay for RegionRunning.
	Versions     map[string]ReportVersion
	WantsRunning bool

	// Words is told by relays: which VMs there are.
	Words []RegionReport
	// RegionRunning is how many requests of the region's VMs run on each endpoint, if
	// it was asked for: a packed map[string]int, see pack.
	RegionRunning []byte
	// Regions is the evidence on new versions, by region; that of the peer's region
	// leaves out its own.
	Regions map[string]map[string]canary.Evidence
}

// Member is one VM as this VM sees it.
type Member struct {
	State
	// Heard says that the VM was heard lately, Known that it was ever heard and not
	// yet forgotten. Both always hold for this VM itself.
	Reachable, Known bool
}

// Caller calls peers; see peer.Client.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Roster is one VM's view. Self, Peers and Load must be set.
type Roster struct {
	Self  vm.VM
	Peers Caller
	// Load returns what this VM tells.
	LocalState func() State
	// Heard is called after each exchange.
	OnExchange func(state State)
	// Seeds holds peer addresses to ask before the store has told of any VM; see
	// SetSeeds.
	Seeds []string
	Clock clock.Clock
	Log   logrus.FieldLogger

	// loaded is what Load returned last.
	loaded atomic.Pointer[loaded]

	mu sync.Mutex
	// listed holds the registered VMs by name, known since listedAt. Guarded by mu.
	listed   map[string]vm.VM
	listedAt clock.Millis
	// heard holds the last state of each VM that told one itself. Guarded by mu.
	heard map[string]hearing
	// words holds the last word of each relay, by author, and own this VM's as a
	// relay, as of ownAt. Guarded by mu.
	words map[string]told
	own   RegionReport
	ownAt clock.Millis
	// seen is the summary of heard and words; nil if it has to be made anew. Guarded
	// by mu.
	seen *view
	// evidence is what relays told of regions' evidence on new versions. Guarded by
	// mu.
	evidence map[string]map[string]canary.Evidence
	// regionRunning is what a relay told last of the requests of the region's other
	// VMs, at regionRunningAt. Guarded by mu.
	regionRunning   map[string]int
	regionRunningAt clock.Millis
	// toldRunning is what this VM told last of its own requests. Guarded by mu.
	toldRunning map[string]int
	// packedRunning is what this VM tells as a relay, as of packedRunningAt. Guarded
	// by mu.
	packedRunning   []byte
	packedRunningAt clock.Millis
	// lost names the VMs that a log line called lost. Guarded by mu.
	lost map[string]bool
	// calling names the peers with an exchange under way. Guarded by mu.
	calling map[string]bool
	// silentUntil names the peers whose last call failed, with when to call them
	// again if others will do. Guarded by mu.
	silentUntil map[string]clock.Millis
}

// hearing is the last state that a VM told.
type hearing struct {
	state State
	at    clock.Millis
}

// loaded is what this VM tells of itself, as it was at a time.
type loaded struct {
	state State
	at    clock.Millis
}

// SetRegistered takes over the registered VMs.
func (r *Roster) SetRegistered(vms []vm.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.listed) == 0 {
		r.listedAt = r.Clock.Now()
	}
	r.listed = map[string]vm.VM{}
	for _, listed := range vms {
		r.listed[listed.Name] = listed
	}
	r.seen = nil
}

// SetSeeds replaces the addresses to ask while no VM is known.
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
			if r.begin(name) {
				go r.call(ctx, name, address)
			}
		}
		r.logLost()
		r.mu.Lock()
		pause := r.interval()
		r.mu.Unlock()
		_ = clock.Sleep(ctx, pause)
	}
}

// self returns what this VM tells of itself. It holds no lock: Load may ask for
// what holds locks of its own.
func (r *Roster) self() State {
	now := r.Clock.Now()
	last := r.loaded.Load()
	if last == nil || now-last.at >= viewAge {
		last = &loaded{r.LocalState(), now}
		r.loaded.Store(last)
	}
	return last.state
}

// targets returns the peers that this VM calls. In a small fleet and among the
// relays of a region the VM with the smaller name calls the other, and both call
// while one of them is silent. Relays call those of other regions both ways: each
// may think of others as relays. Other VMs call the relays of their region.
func (r *Roster) targets() map[string]string {
	self := r.self()
	r.mu.Lock()
	defer r.mu.Unlock()
	targets := map[string]string{}
	if len(r.listed) == 0 {
		for _, seed := range r.Seeds {
			if seed != r.Self.PeerAddress {
				targets[seed] = seed
			}
		}
	}
	if !r.isLarge() {
		for name, listed := range r.listed {
			if name != r.Self.Name && r.callsFirst(name) {
				targets[name] = listed.PeerAddress
			}
		}
		return targets
	}
	isRelay := r.isRelay(r.Self.Name, &self)
	for region, relays := range r.view(&self).relays {
		for _, name := range relays {
			isNear := region == r.Self.Region
			if name != r.Self.Name && (isRelay && (!isNear || r.callsFirst(name)) || !isRelay && isNear) {
				targets[name] = r.listed[name].PeerAddress
			}
		}
	}
	return targets
}

// callsFirst says whether it is for this VM to call the other of a pair. Callers
// hold mu.
func (r *Roster) callsFirst(name string) bool {
	h, found := r.heard[name]
	return name > r.Self.Name || !found || r.Clock.Now()-h.at > r.lostAfter()
}

func (r *Roster) begin(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calling[name] {
		return false
	}
	if r.calling == nil {
		r.calling = map[string]bool{}
	}
	r.calling[name] = true
	return true
}

func (r *Roster) call(ctx context.Context, name, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout.Duration())
	defer cancel()
	var reply State
	err := r.Peers.Call(ctx, address, exchangeMethod, r.stateFor(name, false), &reply)
	r.mu.Lock()
	delete(r.calling, name)
	if r.silentUntil == nil {
		r.silentUntil = map[string]clock.Millis{}
	}
	delete(r.silentUntil, name)
	if err != nil {
		r.silentUntil[name] = r.Clock.Now() + silentPause
	}
	r.mu.Unlock()
	if err == nil {
		r.hear(reply)
	}
}

// stateFor returns what this VM tells a peer, which may be unknown. A VM that is
// asked is taken for a relay, and tells what it hears even if it is none.
func (r *Roster) stateFor(peer string, isAsked bool) State {
	state := r.self()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isLarge() {
		return state
	}
	// Shares of quotas by demand are for small fleets.
	state.Demand = nil
	state.Versions = r.versions()
	if isAsked || r.isRelay(r.Self.Name, &state) {
		r.addWords(&state, peer)
		return state
	}
	state.WantsRunning = r.source(&state) == peer
	if state.WantsRunning {
		r.toldRunning = state.Running
	}
	return state
}

// ExchangeNow exchanges states with the VMs of the region at once, or with all in a small
// fleet, such as when a stop begins.
func (r *Roster) ExchangeNow(ctx context.Context) {
	r.loaded.Store(nil)
	r.mu.Lock()
	peers := make([]vm.VM, 0, len(r.listed))
	for name, listed := range r.listed {
		if name != r.Self.Name && (!r.isLarge() || listed.Region == r.Self.Region) {
			peers = append(peers, listed)
		}
	}
	r.mu.Unlock()
	for _, listed := range peers {
		go r.call(ctx, listed.Name, listed.PeerAddress)
	}
}

func (r *Roster) hear(state State) {
	if state.ID.Name == "" || state.ID.Name == r.Self.Name {
		return
	}
	if !r.note(state) {
		return
	}
	if len(state.Words) > 0 {
		r.takeWords(&state)
	}
	if r.OnExchange != nil {
		r.OnExchange(state)
	}
}

// note takes the state that a VM told over, unless one of a later run is known,
// and reports whether it did.
func (r *Roster) note(state State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := state.ID.Name
	known, found := r.heard[name]
	if found && known.state.ID.Incarnation > state.ID.Incarnation {
		return false
	}
	if r.heard == nil {
		r.heard = map[string]hearing{}
	}
	now := r.Clock.Now()
	if !found || briefOf(&known.state, now-known.at <= r.lostAfter()) != briefOf(&state, true) {
		r.seen = nil
	}
	state.Words, state.RegionRunning, state.Regions = nil, nil, nil
	r.heard[name] = hearing{state, now}
	return true
}

func (r *Roster) logLost() {
	self, now := r.self(), r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost == nil {
		r.lost = map[string]bool{}
	}
	for name, brief := range r.view(&self).vms {
		if brief.Heard != r.lost[name] || r.Log == nil {
			continue
		}
		r.lost[name] = !brief.Heard
		if brief.Heard {
			r.Log.WithField("peer", name).Info("regained a peer")
			continue
		}
		line := r.Log.WithField("peer", name)
		if h, found := r.heard[name]; found {
			line = line.WithField("silent_ms", now-h.at)
		}
		line.Warn("lost a peer")
	}
}

func (r *Roster) lostAfter() clock.Millis { return lostIntervals*r.interval() + lostMargin }

func (r *Roster) interval() clock.Millis {
	if r.isLarge() {
		return largeInterval
	}
	return exchangeInterval
}

// isLarge says whether the fleet is too large for each pair of VMs to exchange
// states. Callers hold mu.
func (r *Roster) isLarge() bool { return len(r.listed) > pairFleet }

// Receiver answers peers' exchanges.
type Receiver struct{ roster *Roster }

// NewReceiver returns the receiver of a roster.
func NewReceiver(roster *Roster) *Receiver { return &Receiver{roster} }

// Exchange takes a peer's state and replies with this VM's.
func (r *Receiver) Exchange(state State, reply *State) error {
	r.roster.hear(state)
	*reply = r.roster.stateFor(state.ID.Name, true)
	return nil
}
