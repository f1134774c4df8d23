package node

import (
	"sync"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/tracker"
	"baobabladder.example/baobabladder/internal/world/directory"
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
		// lapses says that entries are removed while the store is away.
		lapses bool
	}{
		{config, n.takeConfig, false},
		{endpoints, n.takeEndpoints, true},
		{moves, n.takeMoves, false},
		{evacuations, n.takeEvacuations, false},
		{vms, n.takeVMs, false},
	} {
		source := &tracker.RelaySource{Store: n.direct, Peers: n.peers, Relays: n.relays}
		feed := &tracker.Feed{Kind: kind.name, Source: source, Log: n.Log, OnChange: kind.changed, Jitter: jitter, CanPeerReachStore: n.othersReachStore}
		if kind.name == vms {
			// VMs register at the same time and change seldom.
			feed.BatchInterval = registrationBatch
		}
		if kind.lapses {
			// The probe shows for all kinds whether the store answers.
			feed.HasFollowers = n.isFollowed
			// A relay holds back for those that follow it.
			feed.DelaysRemovals = func() bool {
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
		decoded.FirstSeen = n.moveBegan(old[decoded.Service], decoded)
		if before := old[decoded.Service]; before.TargetVersion != decoded.TargetVersion || before.State != decoded.State {
			n.Log.WithFields(logrus.Fields{"service": decoded.Service, "to": decoded.TargetVersion, "state": decoded.State}).Info("version move")
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
	began := newest.FirstSeen
	if before.TargetVersion == newest.TargetVersion {
		began = before.FirstSeen
	}
	if newest.StartedWall == 0 {
		return began
	}
	age := min(max(n.clock.Wall()-newest.StartedWall, 0), newest.MaxDuration)
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
	n.roster.SetRegistered(list)
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
	n.balancer.UpdateDirectory(newest)
}
