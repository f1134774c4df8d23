package node

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/tracker"
	"baobabladder.example/baobabladder/internal/policy/canary"
	"baobabladder.example/baobabladder/internal/world/directory"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// objectCache holds the objects that the VM has read from the store, decoded. Its zero
// value is ready to use.
type objectCache struct {
	mu sync.Mutex
	// endpoints maps an entry's name to its endpoint, moves a service to its version
	// move. Entries that cannot be decoded are left out. Guarded by mu.
	endpoints map[string]directory.Endpoint
	moves     map[string]directory.Move
	// recorded holds the evidence on the moves that the store has, by service. Guarded by mu.
	recorded map[string]canary.Evidence
	// unreadable maps "KIND/NAME" to the revision of the entry that was last logged as
	// unreadable. Guarded by mu.
	unreadable map[string]int64
	// evacuated holds the evacuated data centres, vms the registrations by VM name.
	// Guarded by mu.
	evacuated map[string]bool
	vms       map[string]vm.VM
}

func (c *objectCache) hasEndpoints() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endpoints != nil
}

func (c *objectCache) countEndpoints() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.endpoints)
}

func (c *objectCache) countVMs() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.vms)
}

// isRegistered reports whether the store holds the VM's registration with the same
// content.
func (c *objectCache) isRegistered(self vm.VM) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed, found := c.vms[self.Name]
	return c.vms != nil && found && listed == self
}

// recordUnreadable records that this revision of an entry is unreadable, and reports
// whether that was not recorded before.
func (c *objectCache) recordUnreadable(kind string, object tracker.Object) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unreadable == nil {
		c.unreadable = map[string]int64{}
	}
	id := kind + "/" + object.Name
	if c.unreadable[id] == object.Revision {
		return false
	}
	c.unreadable[id] = object.Revision
	return true
}

// buildFeeds creates one feed for each kind of object.
func (n *Node) buildFeeds() {
	config, endpoints, moves, evacuations, vms := n.Platform.Kinds()
	n.store = &storeSource{Source: n.Platform, scope: n.metrics.Scope}
	for _, kind := range []struct {
		name     string
		onChange func(objects map[string]tracker.Object)
		// expires reports whether entries expire unless their owner renews them, also
		// during an outage of the store.
		expires bool
	}{
		{config, n.applyConfig, false},
		{endpoints, n.applyEndpoints, true},
		{moves, n.applyMoves, false},
		{evacuations, n.applyEvacuations, false},
		{vms, n.applyVMs, false},
	} {
		source := &tracker.RelaySource{Store: n.store, Peers: n.peers, Relays: n.relays}
		feed := &tracker.Feed{Kind: kind.name, Source: source, Log: n.Log, OnChange: kind.onChange, Jitter: jitter, CanPeerReachStore: n.canPeerReachStore}
		feed.IsNewer = func(object, other tracker.Object) bool { return n.Platform.IsNewer(kind.name, object, other) }
		if kind.name == vms {
			// Many VMs register at once when a fleet starts, and change seldom later.
			feed.BatchInterval = vmBatchInterval
		}
		if kind.expires {
			// The shorter watches of this feed detect an outage for the feeds of all kinds.
			feed.HasFollowers = n.hasFollowers
			// Only relays delay removals: the VMs that follow a relay get its copy, in
			// which that is done.
			feed.DelaysRemovals = func() bool {
				_, isRelay := n.relays()
				return isRelay
			}
		}
		n.feeds = append(n.feeds, feed)
	}
}

// startFeeds starts the feed of VM registrations, and the other feeds once the VM is
// registered or registrationWait is over. A VM that knows the relays of its region by
// then reads the other kinds from them, which limits the calls to the store when a
// large fleet starts.
func (n *Node) startFeeds(ctx context.Context) {
	go n.vmFeed().Run(ctx)
	for waited := clock.Millis(0); waited < registrationWait && !n.objects.isRegistered(n.self); waited += registrationPoll {
		if clock.Sleep(ctx, registrationPoll) != nil {
			return
		}
	}
	for _, feed := range n.feeds[:len(n.feeds)-1] {
		go feed.Run(ctx)
	}
}

// logUnreadable logs an entry that cannot be decoded, once per revision.
func (n *Node) logUnreadable(kind string, object tracker.Object, err error) {
	if n.objects.recordUnreadable(kind, object) {
		n.Log.WithError(err).WithFields(logrus.Fields{"kind": kind, "object": object.Name, "revision": object.Revision}).
			Warn("object in the store can't be read; it is ignored")
	}
}

func (n *Node) applyConfig(objects map[string]tracker.Object) {
	for _, object := range objects {
		table, found, err := n.Platform.DecodeConfig(object)
		if err != nil {
			n.logUnreadable("config", object, err)
		}
		if found && n.gateway.SetTable(table) {
			n.setHeadLimits(table.Limits)
			n.Log.WithFields(logrus.Fields{"version": table.Version, "revision": object.Revision, "copy_age_ms": n.configAge()}).Info("configuration in force")
		}
	}
}

// configAge returns how old the copy of the configuration may be; see tracker.Feed.Age.
func (n *Node) configAge() clock.Millis {
	age, _ := n.feeds[0].Age()
	return age
}

func (n *Node) applyEndpoints(objects map[string]tracker.Object) {
	now := n.clock.Now()
	n.objects.mu.Lock()
	old := n.objects.endpoints
	n.objects.mu.Unlock()
	endpoints := make(map[string]directory.Endpoint, len(objects))
	for name, object := range objects {
		if previous, found := old[name]; found && previous.Revision == object.Revision {
			endpoints[name] = previous
			continue
		}
		decoded, err := n.Platform.DecodeEndpoint(object, now, n.Settings.Regions)
		if err != nil {
			n.logUnreadable("endpoint", object, err)
			continue
		}
		endpoints[name] = decoded
	}
	n.objects.mu.Lock()
	n.objects.endpoints = endpoints
	n.objects.mu.Unlock()
	n.updateDirectory()
}

func (n *Node) applyMoves(objects map[string]tracker.Object) {
	now := n.clock.Now()
	n.objects.mu.Lock()
	old := n.objects.moves
	n.objects.mu.Unlock()
	moves := make(map[string]directory.Move, len(objects))
	recorded := map[string]canary.Evidence{}
	for _, object := range objects {
		decoded, err := n.Platform.DecodeMove(object, now)
		if err != nil {
			n.logUnreadable("move", object, err)
			continue
		}
		decoded.FirstSeen = n.moveStart(old[decoded.Service], decoded)
		decoded = keepMoveState(old[decoded.Service], decoded)
		if previous := old[decoded.Service]; previous.TargetVersion != decoded.TargetVersion || previous.State != decoded.State {
			n.Log.WithFields(logrus.Fields{"service": decoded.Service, "to": decoded.TargetVersion, "state": decoded.State}).Info("version move")
		}
		moves[decoded.Service] = decoded
		if evidence, found := n.Platform.DecodeEvidence(object); found {
			recorded[decoded.Service] = evidence
		}
	}
	n.objects.mu.Lock()
	n.objects.moves, n.objects.recorded = moves, recorded
	n.objects.mu.Unlock()
	n.updateDirectory()
}

func (n *Node) applyEvacuations(objects map[string]tracker.Object) {
	evacuated := map[string]bool{}
	for name := range objects {
		evacuated[name] = true
	}
	n.objects.mu.Lock()
	n.objects.evacuated = evacuated
	n.objects.mu.Unlock()
	n.Log.WithField("evacuated", len(evacuated)).Info("evacuations in force")
	n.updateDirectory()
}

func (n *Node) applyVMs(objects map[string]tracker.Object) {
	vms := map[string]vm.VM{}
	list := []vm.VM{}
	for name, object := range objects {
		decoded, err := n.Platform.DecodeVM(object)
		if err != nil {
			n.logUnreadable("vm", object, err)
			continue
		}
		vms[name] = decoded
		list = append(list, decoded)
	}
	n.objects.mu.Lock()
	n.objects.vms = vms
	n.objects.mu.Unlock()
	n.roster.SetRegistered(list)
	n.updateQuotaPeers(n.roster.Members())
}

// updateDirectory builds a directory from the cached objects and passes it to the
// policies. It does nothing before the endpoints have been read.
func (n *Node) updateDirectory() {
	n.objects.mu.Lock()
	defer n.objects.mu.Unlock()
	if n.objects.endpoints == nil {
		return
	}
	list := make([]directory.Endpoint, 0, len(n.objects.endpoints))
	for _, e := range n.objects.endpoints {
		list = append(list, e)
	}
	newest := directory.New(list, n.objects.evacuated, n.objects.moves)
	n.canary.Update(newest.Moves)
	for service, evidence := range n.objects.recorded {
		n.canary.SetRecorded(service, evidence)
	}
	n.balancer.UpdateDirectory(newest)
}

// logEra logs that the store has come back from a copy since the last call.
func (n *Node) logEra() {
	if era := n.Platform.Era(); era != n.loggedEra {
		n.Log.WithFields(logrus.Fields{"era": era, "era_before": n.loggedEra}).Info("the store's era changed")
		n.loggedEra = era
	}
}
