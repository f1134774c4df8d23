package node

import (
	"context"
	"hash/fnv"
	"slices"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/roster"
	"baobabladder.example/baobabladder/internal/control/tracker"
	"baobabladder.example/baobabladder/internal/policy/balance"
	"baobabladder.example/baobabladder/internal/policy/quota"
	"baobabladder.example/baobabladder/internal/world/directory"
	"baobabladder.example/baobabladder/internal/world/routing"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// known is what the VM has read from the store, decoded. Its zero value is ready.
type known struct {
	mu sync.Mutex
	// endpoints and moves hold the readable entries by name. Guarded by mu.
	endpoints map[string]directory.Endpoint
	moves     map[string]directory.Move
	// unreadable holds the revision of each entry that a log line called
	// unreadable, by kind and name. Guarded by mu.
	unreadable map[string]int64
	evacuated  map[string]bool
	vms        map[string]vm.VM
}

func (k *known) hasEndpoints() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.endpoints != nil
}

func (k *known) countEndpoints() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.endpoints)
}

func (k *known) countVMs() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.vms)
}

// isListed says whether the store holds a VM's registration as it is.
func (k *known) isListed(self vm.VM) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	listed, found := k.vms[self.Name]
	return k.vms != nil && found && listed == self
}

// isNewFault says whether an entry has not been called unreadable before.
func (k *known) isNewFault(kind string, object tracker.Object) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.unreadable == nil {
		k.unreadable = map[string]int64{}
	}
	id := kind + "/" + object.Name
	if k.unreadable[id] == object.Revision {
		return false
	}
	k.unreadable[id] = object.Revision
	return true
}

// buildFeeds makes one feed for each kind of object.
func (n *Node) buildFeeds() {
	config, endpoints, moves, evacuations, vms := n.Platform.Kinds()
	n.direct = &directSource{Source: n.Platform, scope: n.metrics.Scope}
	for _, kind := range []struct {
		name    string
		changed func(objects map[string]tracker.Object)
		// lapses says that entries are removed while the store is away, isUrgent that
		// changes must be in force soon.
		lapses, isUrgent bool
	}{
		{config, n.takeConfig, false, true},
		{endpoints, n.takeEndpoints, true, true},
		{moves, n.takeMoves, false, false},
		{evacuations, n.takeEvacuations, false, true},
		{vms, n.takeVMs, false, false},
	} {
		source := &tracker.Relayed{Store: n.direct, Peers: n.peers, Relays: n.relays}
		feed := &tracker.Feed{Kind: kind.name, Source: source, Log: n.Log, Changed: kind.changed, Jitter: jitter, Others: n.othersReachStore}
		if kind.name == vms {
			// VMs register at the same time and change seldom.
			feed.Batch = registrationBatch
		}
		if kind.isUrgent {
			feed.Followed = n.isFollowed
		}
		if kind.lapses {
			// A relay holds back for those that follow it.
			feed.Lapses = func() bool {
				_, isRelay := n.relays()
				return isRelay
			}
		}
		n.feeds = append(n.feeds, feed)
	}
}

// skip logs an entry that can't be read, once.
func (n *Node) skip(kind string, object tracker.Object, err error) {
	if n.known.isNewFault(kind, object) {
		n.Log.WithError(err).WithFields(logrus.Fields{"kind": kind, "object": object.Name, "revision": object.Revision}).
			Warn("an object can't be read and is left out")
	}
}

func (n *Node) takeConfig(objects map[string]tracker.Object) {
	for _, object := range objects {
		table, found, err := n.Platform.DecodeConfig(object)
		if err != nil {
			n.skip("config", object, err)
		}
		if found && n.gateway.SetTable(table) {
			n.Log.WithFields(logrus.Fields{"version": table.Version, "revision": object.Revision}).Info("configuration in force")
		}
	}
}

func (n *Node) takeEndpoints(objects map[string]tracker.Object) {
	now := n.clock.Now()
	n.known.mu.Lock()
	old := n.known.endpoints
	n.known.mu.Unlock()
	read := make(map[string]directory.Endpoint, len(objects))
	for name, object := range objects {
		if before, found := old[name]; found && before.Revision == object.Revision {
			read[name] = before
			continue
		}
		decoded, err := n.Platform.DecodeEndpoint(object, now, n.Settings.Regions)
		if err != nil {
			n.skip("endpoint", object, err)
			continue
		}
		read[name] = decoded
	}
	n.known.mu.Lock()
	n.known.endpoints = read
	n.known.mu.Unlock()
	n.updateDirectory()
}

func (n *Node) takeMoves(objects map[string]tracker.Object) {
	now := n.clock.Now()
	n.known.mu.Lock()
	old := n.known.moves
	n.known.mu.Unlock()
	read := make(map[string]directory.Move, len(objects))
	for _, object := range objects {
		decoded, err := n.Platform.DecodeMove(object, now)
		if err != nil {
			n.skip("move", object, err)
			continue
		}
		decoded.SeenAt = n.moveBegan(old[decoded.Service], decoded)
		if before := old[decoded.Service]; before.To != decoded.To || before.State != decoded.State {
			n.Log.WithFields(logrus.Fields{"service": decoded.Service, "to": decoded.To, "state": decoded.State}).Info("version move")
		}
		read[decoded.Service] = decoded
	}
	n.known.mu.Lock()
	n.known.moves = read
	n.known.mu.Unlock()
	n.updateDirectory()
}

// moveBegan returns when a move began, by this VM's clock: when it was first seen
// here, or earlier by what another VM wrote down. That rests on two VMs' wall
// clocks, and is bounded by the time that the move may take.
func (n *Node) moveBegan(before, newest directory.Move) clock.Millis {
	began := newest.SeenAt
	if before.To == newest.To {
		began = before.SeenAt
	}
	if newest.StartedWall == 0 {
		return began
	}
	age := min(max(n.clock.Wall()-newest.StartedWall, 0), newest.Within)
	return min(began, n.clock.Now()-age)
}

func (n *Node) takeEvacuations(objects map[string]tracker.Object) {
	evacuated := map[string]bool{}
	for name := range objects {
		evacuated[name] = true
	}
	n.known.mu.Lock()
	n.known.evacuated = evacuated
	n.known.mu.Unlock()
	n.Log.WithField("evacuated", len(evacuated)).Info("evacuations in force")
	n.updateDirectory()
}

func (n *Node) takeVMs(objects map[string]tracker.Object) {
	read := map[string]vm.VM{}
	list := []vm.VM{}
	for name, object := range objects {
		decoded, err := n.Platform.DecodeVM(object)
		if err != nil {
			n.skip("vm", object, err)
			continue
		}
		read[name] = decoded
		list = append(list, decoded)
	}
	n.known.mu.Lock()
	n.known.vms = read
	n.known.mu.Unlock()
	n.roster.List(list)
}

// updateDirectory passes what is known of endpoints on to the policies.
func (n *Node) updateDirectory() {
	n.known.mu.Lock()
	defer n.known.mu.Unlock()
	if n.known.endpoints == nil {
		return
	}
	list := make([]directory.Endpoint, 0, len(n.known.endpoints))
	for _, e := range n.known.endpoints {
		list = append(list, e)
	}
	newest := directory.New(list, n.known.evacuated, n.known.moves)
	n.guard.Update(newest.Moves)
	n.balancer.Update(newest)
}

// state is what this VM tells its peers.
func (n *Node) state() roster.State {
	revisions := make(map[string]int64, len(n.feeds))
	isLoaded := true
	for _, feed := range n.feeds {
		revisions[feed.Kind] = feed.Newest()
		isLoaded = isLoaded && feed.Revision() > 0
	}
	return roster.State{
		ID: n.id, VM: n.self, Ready: n.knowsEnough(), Stopping: n.stopping.Load(), Contact: isLoaded && n.direct.mayReach(),
		Demand: n.quota.Demand(), Running: n.balancer.Running(), Away: n.balancer.Away(), Trials: n.guard.Evidence(), Revisions: revisions,
	}
}

// heard takes over what a peer told.
func (n *Node) heard(state roster.State) {
	n.guard.Hear(state.ID.Name, state.Trials)
	for region, evidence := range state.Regions {
		n.guard.Hear("region "+region, evidence)
	}
	n.balancer.HearAway(state.Away)
	for _, feed := range n.feeds {
		if known := state.Revisions[feed.Kind]; known > feed.Newest() {
			go feed.CatchUp(context.Background(), n.peers, state.VM.PeerAddress, known)
		}
	}
}

// spread passes what the peers told on to the policies, and writes down the
// outcome of moves if this VM is the one to do so.
func (n *Node) spread(ctx context.Context) {
	for clock.Sleep(ctx, spreadInterval) == nil {
		members := n.roster.Members()
		running := map[string]int{}
		demands := []quota.PeerDemand{}
		vms := make([]balance.VM, 0, len(members))
		for _, member := range members {
			vms = append(vms, balance.VM{Name: member.ID.Name, Region: member.VM.Region})
			if member.ID.Name == n.id.Name {
				continue
			}
			demands = append(demands, quota.PeerDemand{VM: member.ID.Name, Demand: member.Demand})
			if !member.Heard {
				continue
			}
			for id, count := range member.Running {
				running[id] += count
			}
		}
		n.quota.Update(demands)
		n.balancer.Hear(running, vms)
		n.budget.Update(len(members))
		deciders, isMost := n.roster.Deciders(members)
		n.setDuties(&duties{deciders, isMost, partHeard(members)})
		n.settleMoves(ctx, deciders)
		n.reportGauges(members)
	}
}

// duties is how duties for all VMs are divided, as this VM sees it.
type duties struct {
	deciders []roster.Member
	isMost   bool
	// part is the part of the known VMs that were heard lately.
	part float64
}

// names lists the deciders.
func (d *duties) names() (names []string) {
	if d == nil {
		return nil
	}
	for _, member := range d.deciders {
		names = append(names, member.ID.Name)
	}
	return names
}

// setDuties takes a new division over and logs it if it differs.
func (n *Node) setDuties(newest *duties) {
	last := n.duties.Swap(newest)
	if last != nil && last.isMost == newest.isMost && slices.Equal(last.names(), newest.names()) {
		return
	}
	n.Log.WithFields(logrus.Fields{"deciders": strings.Join(newest.names(), " "), "hears_most": newest.isMost, "part_heard": newest.part, "registered": n.known.countVMs()}).
		Info("duties are divided anew")
}

func partHeard(members []roster.Member) float64 {
	heard, known := 0, 0
	for _, member := range members {
		if member.Heard {
			heard++
		}
		if member.Known {
			known++
		}
	}
	return float64(heard) / float64(max(known, 1))
}

// owner returns the VM that owns a workspace's quota: the one of the deciders with
// the highest hash.
func (n *Node) owner(workspace string) (owner vm.VM, known bool) {
	d := n.duties.Load()
	if d == nil || !d.isMost {
		return vm.VM{}, false
	}
	var highest uint64
	for i := range d.deciders {
		if score := rendezvous(workspace, d.deciders[i].ID.Name); !known || score > highest {
			owner, known, highest = d.deciders[i].VM, true, score
		}
	}
	return owner, known
}

func rendezvous(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	sum := h.Sum64()
	sum ^= sum >> 32
	return sum * 0x9e3779b97f4a7c15
}

func (n *Node) part() float64 {
	if d := n.duties.Load(); d != nil {
		return d.part
	}
	return 0
}

func (n *Node) workspace(name string) *routing.Workspace {
	if table := n.gateway.Table(); table != nil {
		return table.Workspaces[name]
	}
	return nil
}

// othersReachStore says whether the store answers another VM.
func (n *Node) othersReachStore() bool {
	for _, member := range n.roster.Members() {
		if member.ID.Name != n.id.Name && member.Heard && member.Contact {
			return true
		}
	}
	return false
}

// relays is the roster's, which is made after the feeds.
func (n *Node) relays() (others []vm.VM, isRelay bool) { return n.roster.Relays() }

func (n *Node) settleMoves(ctx context.Context, deciders []roster.Member) {
	verdicts := n.guard.Verdicts()
	if len(verdicts) == 0 || !n.isWriter(deciders) {
		return
	}
	for _, verdict := range verdicts {
		if verdict.Move.StartedWall == 0 {
			verdict.Move.StartedWall = n.clock.Wall() - (n.clock.Now() - verdict.Move.SeenAt)
		}
		fields := logrus.Fields{"service": verdict.Move.Service, "to": verdict.Move.To, "state": verdict.State, "why": verdict.Why}
		if err := n.Platform.WriteMove(ctx, verdict.Move, verdict.State); err != nil {
			n.Log.WithError(err).WithFields(fields).Warn("writing the state of a version move failed")
			continue
		}
		n.Log.WithFields(fields).Info("wrote the state of a version move")
	}
}

// isWriter says whether this VM writes outcomes down: the first by name of those
// that serve and reach the store. Two may do so at once for a moment, which the
// store's conditions make harmless.
func (n *Node) isWriter(deciders []roster.Member) bool {
	for _, member := range deciders {
		if member.Contact {
			return member.ID.Name == n.id.Name
		}
	}
	return false
}

// isFollowed is the roster's, which is made after the feeds.
func (n *Node) isFollowed() bool { return n.roster.IsFollowed() }
