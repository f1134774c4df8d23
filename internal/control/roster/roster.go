// Package roster tells which VMs there are. Each VM registers itself in the
// store; the registered VMs exchange their state with each other directly, and
// one that was not heard lately counts as lost. No list from outside is needed.
//
// In a fleet of more than pairFleet VMs only those of one region exchange states.
// The first of each region are its relays: they exchange states with the relays
// of the other regions, and tell what they heard there.
package roster

import (
	"context"
	"maps"
	"slices"
	"sort"
	"sync"

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
	// relaysPerRegion is how many VMs of a region speak to other regions.
	relaysPerRegion = 2
	// silentPause is how long a VM that did not answer is no relay.
	silentPause = 5 * clock.Second
)

// ReceiverName names the receiver of exchanges.
const ReceiverName = "Roster"

const exchangeMethod = ReceiverName + ".Exchange"

// State is what a VM tells its peers of itself.
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
	Away map[string]balance.Away
	// Trials is what it saw of new versions, by service.
	Trials map[string]canary.Evidence
	// Briefs tells a VM of another region than the teller's, or from there, which VMs
	// there are; Regions tells the evidence of whole regions on new versions.
	Briefs  []Brief
	Regions map[string]map[string]canary.Evidence
	// Revisions is up to which change of the store it knows each kind of object.
	Revisions map[string]int64
}

// Brief is what a relay tells of a VM that it heard, or heard of.
type Brief struct {
	ID                       vm.ID
	VM                       vm.VM
	Ready, Stopping, Contact bool
	// Age is how long ago the VM was heard.
	Age clock.Millis
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
	// Seeds holds peer addresses to ask before the store has told of any VM; see
	// SetSeeds.
	Seeds []string
	Clock clock.Clock
	Log   logrus.FieldLogger

	mu sync.Mutex
	// listed holds the registered VMs by name. Guarded by mu.
	listed map[string]vm.VM
	// heard holds the last state of each VM that was ever heard. Guarded by mu.
	heard map[string]hearing
	// evidence is what relays told of other regions' evidence on new versions.
	// Guarded by mu.
	evidence map[string]map[string]canary.Evidence
	// lost names the VMs that a log line called lost. Guarded by mu.
	lost map[string]bool
	// calling names the peers with an exchange under way. Guarded by mu.
	calling map[string]bool
	// silentUntil names the peers whose last call failed, with when to call them
	// again if others will do. Guarded by mu.
	silentUntil map[string]clock.Millis
}

// hearing is the last word of or about a VM.
type hearing struct {
	state State
	// at is when the VM was heard, by this VM or by who told of it.
	at clock.Millis
	// isTold says that another VM told of it.
	isTold bool
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

// targets returns the peers that this VM calls: of each pair the VM with the
// smaller name calls the other, and calls both ways while one of them is silent.
// Relays call those of other regions both ways: each may think of others as relays.
func (r *Roster) targets() map[string]string {
	now, self := r.Clock.Now(), r.Load()
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
	relays := r.relays(now, &self)
	isRelay := slices.Contains(relays[r.Self.Region], r.Self.Name)
	for name, listed := range r.listed {
		if name == r.Self.Name {
			continue
		}
		if r.isLarge() && listed.Region != r.Self.Region && !(isRelay && slices.Contains(relays[listed.Region], name)) {
			continue
		}
		h, found := r.heard[name]
		isFar := r.isLarge() && listed.Region != r.Self.Region
		if name > r.Self.Name || isFar || !found || h.isTold || now-h.at > r.lostAfter() {
			targets[name] = listed.PeerAddress
		}
	}
	return targets
}

// isLarge says whether the fleet is too large for each pair of VMs to exchange
// states. Callers hold mu.
func (r *Roster) isLarge() bool { return len(r.listed) > pairFleet }

// relays returns the relays of each region: the first VMs by name, those that
// the store answers before the others, without those that were silent lately.
// Callers hold mu. self is what Load returned before: it may ask for what holds
// locks of its own, so that it is never called under this one.
func (r *Roster) relays(now clock.Millis, self *State) map[string][]string {
	relays := map[string][]string{}
	if !r.isLarge() {
		return relays
	}
	for _, needsContact := range []bool{true, false} {
		for _, name := range slices.Sorted(maps.Keys(r.listed)) {
			region := r.listed[name].Region
			if len(relays[region]) < relaysPerRegion && !slices.Contains(relays[region], name) && r.mayRelay(name, self, needsContact, now) {
				relays[region] = append(relays[region], name)
			}
		}
	}
	return relays
}

func (r *Roster) mayRelay(name string, self *State, needsContact bool, now clock.Millis) bool {
	if name == r.Self.Name {
		return !self.Stopping && (!needsContact || self.Contact)
	}
	h, found := r.heard[name]
	if !found {
		return !needsContact && now >= r.silentUntil[name]
	}
	return now-h.at <= r.limit(h) && !h.state.Stopping && (!needsContact || h.state.Contact)
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
	err := r.Peers.Call(ctx, address, exchangeMethod, r.stateFor(name), &reply)
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

// stateFor returns what this VM tells a peer.
func (r *Roster) stateFor(peer string) State {
	state := r.Load()
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isLarge() {
		return state
	}
	// Shares of quotas by demand are for small fleets.
	state.Demand = nil
	if !slices.Contains(r.relays(now, &state)[r.Self.Region], r.Self.Name) {
		return state
	}
	region := r.listed[peer].Region
	if region != r.Self.Region {
		state.Running, state.Away = nil, nil
	}
	state.Regions = r.regionEvidence(state.Trials, region, now)
	for _, h := range r.heard {
		if h.state.VM.Region == region || now-h.at > r.lostAfter() {
			continue
		}
		state.Briefs = append(state.Briefs, Brief{
			ID: h.state.ID, VM: h.state.VM, Ready: h.state.Ready, Stopping: h.state.Stopping, Contact: h.state.Contact, Age: now - h.at,
		})
	}
	return state
}

// regionEvidence returns the evidence of this VM's region and of those that it was
// told of, but for the one that is told. Callers hold mu.
func (r *Roster) regionEvidence(own map[string]canary.Evidence, told string, now clock.Millis) map[string]map[string]canary.Evidence {
	regions := map[string]map[string]canary.Evidence{}
	for region, evidence := range r.evidence {
		if region != told {
			regions[region] = evidence
		}
	}
	if told == r.Self.Region || len(own) == 0 {
		return regions
	}
	sums := []map[string]canary.Evidence{own}
	for _, h := range r.heard {
		if !h.isTold && h.state.VM.Region == r.Self.Region && now-h.at < r.lostAfter() {
			sums = append(sums, h.state.Trials)
		}
	}
	regions[r.Self.Region] = canary.Sum(sums)
	return regions
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
	if !r.note(state, r.Clock.Now(), false) {
		return
	}
	for _, brief := range state.Briefs {
		if brief.ID.Name != r.Self.Name && brief.VM.Region != r.Self.Region {
			told := State{ID: brief.ID, VM: brief.VM, Ready: brief.Ready, Stopping: brief.Stopping, Contact: brief.Contact}
			r.note(told, r.Clock.Now()-brief.Age, true)
		}
	}
	r.mu.Lock()
	for region, evidence := range state.Regions {
		if r.evidence == nil {
			r.evidence = map[string]map[string]canary.Evidence{}
		}
		if region != r.Self.Region {
			r.evidence[region] = evidence
		}
	}
	r.mu.Unlock()
	if r.Heard != nil {
		r.Heard(state)
	}
}

// note takes the word of or about a VM over, unless a newer one is known, and
// reports whether it did.
func (r *Roster) note(state State, at clock.Millis, isTold bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := state.ID.Name
	known, found := r.heard[name]
	if found && (known.state.ID.Incarnation > state.ID.Incarnation || isTold && known.at >= at) {
		return false
	}
	if isTold && found && !known.isTold && r.Clock.Now()-known.at < r.lostAfter() {
		// What only the VM itself tells is kept, the rest is newer.
		known.at = at
		known.state.Ready, known.state.Stopping, known.state.Contact = state.Ready, state.Stopping, state.Contact
		r.heard[name] = known
		return true
	}
	if r.heard == nil {
		r.heard = map[string]hearing{}
	}
	r.heard[name] = hearing{state, at, isTold}
	if r.lost[name] && r.Clock.Now()-at < r.lostAfter() {
		delete(r.lost, name)
		if r.Log != nil {
			r.Log.WithField("peer", name).Info("regained a peer")
		}
	}
	return true
}

func (r *Roster) logLost() {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost == nil {
		r.lost = map[string]bool{}
	}
	for name, h := range r.heard {
		if now-h.at > r.limit(h) && !r.lost[name] {
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
	for _, h := range r.heard {
		if now-h.at < forgottenAfter {
			members = append(members, Member{State: h.state, Heard: now-h.at < r.limit(h), Known: true})
		}
	}
	for name, listed := range r.listed {
		if _, found := r.heard[name]; !found && name != r.Self.Name {
			members = append(members, Member{State: State{ID: vm.ID{Name: name}, VM: listed}})
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID.Name < members[j].ID.Name })
	return members
}

// limit is how old the last word of a VM may be. What is told takes longer.
func (r *Roster) limit(h hearing) clock.Millis {
	if h.isTold {
		return 2 * r.lostAfter()
	}
	return r.lostAfter()
}

func (r *Roster) lostAfter() clock.Millis { return lostIntervals*r.interval() + lostMargin }

func (r *Roster) interval() clock.Millis {
	if r.isLarge() {
		return largeInterval
	}
	return exchangeInterval
}

// Relays returns the relays of this VM's region but for itself, and whether it is
// one. In a small fleet every VM is its own relay.
func (r *Roster) Relays() (others []vm.VM, isRelay bool) {
	now, self := r.Clock.Now(), r.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isLarge() {
		return nil, true
	}
	for _, name := range r.relays(now, &self)[r.Self.Region] {
		if name == r.Self.Name {
			return nil, true
		}
		others = append(others, r.listed[name])
	}
	return others, false
}

// IsSmall says whether the store has told of VMs, and of few.
func (r *Roster) IsSmall() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.listed) > 0 && !r.isLarge()
}

// IsFollowed says whether this VM is a relay in a large fleet.
func (r *Roster) IsFollowed() bool {
	now, self := r.Clock.Now(), r.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isLarge() && slices.Contains(r.relays(now, &self)[r.Self.Region], r.Self.Name)
}

// Deciders returns the VMs among which duties for all are divided: all that were
// heard in a small fleet, and the relays in a large one. isMost says whether this
// VM knows of more than half of the registered VMs.
func (r *Roster) Deciders(members []Member) (deciders []Member, isMost bool) {
	now, self := r.Clock.Now(), r.Load()
	r.mu.Lock()
	isLarge, relays, listed := r.isLarge(), r.relays(now, &self), len(r.listed)
	r.mu.Unlock()
	heard := 0
	for _, member := range members {
		if !member.Heard {
			continue
		}
		heard++
		if !member.Ready || member.Stopping {
			continue
		}
		if !isLarge || slices.Contains(relays[member.VM.Region], member.ID.Name) {
			deciders = append(deciders, member)
		}
	}
	return deciders, heard*2 > listed
}

// Receiver answers peers' exchanges.
type Receiver struct{ roster *Roster }

// NewReceiver returns the receiver of a roster.
func NewReceiver(roster *Roster) *Receiver { return &Receiver{roster} }

// Exchange takes a peer's state and replies with this VM's.
func (r *Receiver) Exchange(state State, reply *State) error {
	r.roster.hear(state)
	*reply = r.roster.stateFor(state.ID.Name)
	return nil
}
