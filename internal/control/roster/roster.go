// Package roster tells which VMs there are. Each VM registers itself in the
// store; the registered VMs exchange their state with each other directly, and
// one that was not heard lately counts as lost. No list from outside is needed.
package roster

import (
	"context"
	"sort"
	"sync"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/balance"
	"baobabladder.example/baobabladder/internal/policy/canary"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	// exchangeInterval is the pause between two exchanges with a peer, in a fleet of
	// up to pairFleet VMs; it grows with the fleet beyond that.
	exchangeInterval = 500 * clock.Millis(1)
	pairFleet        = 16
	exchangeTimeout  = 900 * clock.Millis(1)
	// lostAfter is how long a VM may be silent until it counts as lost, and
	// forgottenAfter until its shares of limits are given to others.
	lostAfter      = 1700 * clock.Millis(1)
	forgottenAfter = 30 * clock.Second
)

// ReceiverName names the receiver of exchanges.
const ReceiverName = "Roster"

const exchangeMethod = ReceiverName + ".Exchange"

// State is what a VM tells its peers of itself.
type State struct {
	ID vm.ID
	VM vm.VM
	// Ready says that the VM knows enough to serve, Stopping that it has begun a
	// planned stop, Contact that the store answers it.
	Ready, Stopping, Contact bool
	// Demand is the requests a second that it was asked for, by workspace.
	Demand map[string]float64
	// Running is how many of its requests run on each endpoint.
	Running map[string]int
	// Away is where it sent objects that do not belong there, by object.
	Away map[string]balance.Away
	// Trials is what it saw of new versions, by service.
	Trials map[string]canary.Evidence
	// Revisions is up to which change of the store it knows each kind of object.
	Revisions map[string]int64
}

// Member is one VM as this VM sees it.
type Member struct {
	State
	// Heard says that the VM was heard lately, Known that it was ever heard and not
	// yet forgotten. Both always hold for this VM itself.
	Heard, Known bool
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
	Load func() State
	// Heard is called after each exchange.
	Heard func(state State)
	// Seeds holds peer addresses to ask before the store has told of any VM.
	Seeds []string
	Clock clock.Clock
	Log   logrus.FieldLogger

	mu sync.Mutex
	// listed holds the registered VMs by name. Guarded by mu.
	listed map[string]vm.VM
	// heard holds the last state of each VM that was ever heard. Guarded by mu.
	heard map[string]hearing
	// lost names the VMs that a log line called lost. Guarded by mu.
	lost map[string]bool
	// calling names the peers with an exchange under way. Guarded by mu.
	calling map[string]bool
}

type hearing struct {
	state State
	at    clock.Millis
}

// List takes over the registered VMs.
func (r *Roster) List(vms []vm.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = map[string]vm.VM{}
	for _, listed := range vms {
		r.listed[listed.Name] = listed
	}
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
		pause := exchangeInterval
		if len(targets) > pairFleet {
			pause = pause * clock.Millis(len(targets)) / pairFleet
		}
		_ = clock.Sleep(ctx, pause)
	}
}

// targets returns the peers that this VM calls: of each pair the VM with the
// smaller name calls the other, and calls both ways while one of them is silent.
func (r *Roster) targets() map[string]string {
	now := r.Clock.Now()
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
	for name, listed := range r.listed {
		if name == r.Self.Name {
			continue
		}
		h, found := r.heard[name]
		if name > r.Self.Name || !found || now-h.at > lostAfter {
			targets[name] = listed.PeerAddress
		}
	}
	return targets
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
	err := r.Peers.Call(ctx, address, exchangeMethod, r.Load(), &reply)
	r.mu.Lock()
	delete(r.calling, name)
	r.mu.Unlock()
	if err == nil {
		r.hear(reply)
	}
}

// Tell exchanges states with all peers at once, such as when a stop begins.
func (r *Roster) Tell(ctx context.Context) {
	r.mu.Lock()
	peers := make([]vm.VM, 0, len(r.listed))
	for name, listed := range r.listed {
		if name != r.Self.Name {
			peers = append(peers, listed)
		}
	}
	r.mu.Unlock()
	for _, listed := range peers {
		go r.call(ctx, "", listed.PeerAddress)
	}
}

func (r *Roster) hear(state State) {
	if state.ID.Name == "" || state.ID.Name == r.Self.Name {
		return
	}
	r.mu.Lock()
	known, found := r.heard[state.ID.Name]
	if found && known.state.ID.Incarnation > state.ID.Incarnation {
		r.mu.Unlock()
		return
	}
	if r.heard == nil {
		r.heard = map[string]hearing{}
	}
	r.heard[state.ID.Name] = hearing{state, r.Clock.Now()}
	regained := r.lost[state.ID.Name]
	delete(r.lost, state.ID.Name)
	r.mu.Unlock()
	if regained && r.Log != nil {
		r.Log.WithField("peer", state.ID.Name).Info("regained a peer")
	}
	if r.Heard != nil {
		r.Heard(state)
	}
}

func (r *Roster) logLost() {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost == nil {
		r.lost = map[string]bool{}
	}
	for name, h := range r.heard {
		if now-h.at > lostAfter && !r.lost[name] {
			r.lost[name] = true
			if r.Log != nil {
				r.Log.WithFields(logrus.Fields{"peer": name, "silent_ms": now - h.at}).Warn("lost a peer")
			}
		}
	}
}

// Members returns all VMs, this one included, sorted by name.
func (r *Roster) Members() []Member {
	now := r.Clock.Now()
	self := r.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	members := []Member{{State: self, Heard: true, Known: true}}
	for name, h := range r.heard {
		if now-h.at < forgottenAfter {
			members = append(members, Member{State: h.state, Heard: now-h.at < lostAfter, Known: true})
		}
		_ = name
	}
	for name, listed := range r.listed {
		if _, found := r.heard[name]; !found && name != r.Self.Name {
			members = append(members, Member{State: State{ID: vm.ID{Name: name}, VM: listed}})
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID.Name < members[j].ID.Name })
	return members
}

// Receiver answers peers' exchanges.
type Receiver struct{ roster *Roster }

// NewReceiver returns the receiver of a roster.
func NewReceiver(roster *Roster) *Receiver { return &Receiver{roster} }

// Exchange takes a peer's state and replies with this VM's.
func (r *Receiver) Exchange(state State, reply *State) error {
	r.roster.hear(state)
	*reply = r.roster.Load()
	return nil
}
