package follower_test

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"os"
	"slices"
	"testing"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/control/follower"
	"baobabladder.example/baobabladder/internal/control/freshness"
	"baobabladder.example/baobabladder/internal/control/heartbeat"
	"baobabladder.example/baobabladder/internal/standin/fuzz"
	"baobabladder.example/baobabladder/internal/wire/peer"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/key"
	"baobabladder.example/baobabladder/internal/world/replica"
	"baobabladder.example/baobabladder/internal/world/vm"
)

func TestMain(m *testing.M) { os.Exit(fuzz.Main(m, fuzz.Config{Seed: 43, Checks: 1000})) }

// fleet is a store, a network and some entry VMs on one manual clock.
type fleet struct {
	// names holds the names of the VMs; the first letter is the region.
	names []string
	// maxPeersPerRound is that of the heartbeats.
	maxPeersPerRound int
	manual           *clock.Manual
	objects          map[string]store.Object
	// revision counts the store's changes.
	revision    int64
	isStoreDown bool
	// withoutStore holds the VMs that cannot reach the store.
	withoutStore map[string]bool
	// cut holds pairs "a b" of VMs that cannot reach each other.
	cut  map[string]bool
	runs map[string]*run
	// accepted is the newest accepted revision of the document.
	accepted int64
	// lastRevision holds, for each VM, the revision of the document in force at the
	// end of its last run.
	lastRevision map[string]int64
	// withdrawnAt holds the time of the withdrawal of each withdrawn key.
	withdrawnAt     map[string]clock.Millis
	nextIncarnation vm.Incarnation
}

// run is one incarnation of a VM.
type run struct {
	fleet     *fleet
	name      string
	replica   *replica.Replica
	freshness *freshness.Freshness
	heartbeat *heartbeat.Heartbeat
	follower  *follower.Follower
	// inForce is the newest revision of the document that was seen in force.
	inForce int64
	// wasReady is set once the run was seen ready.
	wasReady bool
	// replyDelay delays the next reply.
	replyDelay clock.Millis
	// duringDelay runs while the delay passes.
	duringDelay func()
	// isNextFetchFailing makes the next fetch from a peer fail.
	isNextFetchFailing bool
	// staleListing, if set, is an earlier reply that every watch returns again.
	staleListing *store.Listing
}

var (
	names = []string{"a1", "a2", "b1", "b2"}
	// largeFleetNames are the VMs of larger fleets.
	largeFleetNames = []string{"a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3", "d1", "d2", "d3", "e1", "e2", "e3", "f1", "f2", "f3"}
)

func newFleet() *fleet { return newFleetOf(names, 0) }

func newFleetOf(names []string, maxPeersPerRound int) *fleet {
	f := &fleet{
		names: names, maxPeersPerRound: maxPeersPerRound,
		manual: &clock.Manual{}, objects: map[string]store.Object{}, withoutStore: map[string]bool{},
		cut: map[string]bool{}, runs: map[string]*run{}, lastRevision: map[string]int64{}, withdrawnAt: map[string]clock.Millis{},
	}
	f.manual.Advance(1)
	f.accept()
	for _, name := range names {
		f.start(name)
	}
	return f
}

func (f *fleet) vmOf(name string) vm.VM {
	return vm.VM{Name: name, Role: vm.RoleEntry, State: vm.StateLive, Region: name[:1], DataCentre: name[:1] + "-1", PeerAddress: name}
}

func (f *fleet) list() (list []vm.VM) {
	for _, name := range f.names {
		list = append(list, f.vmOf(name))
	}
	return list
}

func (f *fleet) start(name string) {
	f.nextIncarnation++
	r := &run{fleet: f, name: name, replica: &replica.Replica{}, freshness: &freshness.Freshness{Clock: f.manual.Clock()}}
	r.heartbeat = &heartbeat.Heartbeat{
		Self: f.vmOf(name), ID: vm.ID{Name: name, Incarnation: f.nextIncarnation}, Replica: r.replica,
		Freshness: r.freshness, Peers: r, Clock: f.manual.Clock(), Seeds: f.names, MaxPeersPerRound: f.maxPeersPerRound,
		Spawn: func(run func()) { run() },
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	r.follower = &follower.Follower{
		Replica: r.replica, Freshness: r.freshness, Heartbeat: r.heartbeat, Store: r, Peers: r, Clock: f.manual.Clock(), Log: log,
		Spawn: func(run func()) { run() },
	}
	r.heartbeat.CatchUp = r.follower.CatchUp
	f.runs[name] = r
}

func (f *fleet) put(objectKey string, value any) store.Object {
	text, _ := json.Marshal(value)
	f.revision++
	object := store.Object{Key: objectKey, Version: f.revision, Value: text}
	f.objects[objectKey] = object
	return object
}

const documentText = "[service]\nname = catalogue\n[route /c/]\nwork = catalogue\n"

// accept writes the next revision of the document.
func (f *fleet) accept() store.Object {
	f.accepted++
	return f.put("documents/catalogue", document.Record{Name: "catalogue", Revision: f.accepted, Text: documentText})
}

func pair(a, b string) string {
	if a > b {
		a, b = b, a
	}
	return a + " " + b
}

// Call implements heartbeat.PeerCaller over the fleet's network.
func (r *run) Call(_ context.Context, address, method string, args, reply any) error {
	other := r.fleet.runs[address]
	if other == nil || r.fleet.cut[pair(r.name, address)] {
		return peer.ErrUnreachable.New("cut")
	}
	var err error
	switch method {
	case "Heartbeat.Ask":
		err = heartbeat.NewReceiver(other.heartbeat).Ask(args.(heartbeat.AskRequest), reply.(*heartbeat.AskReply))
	case "Heartbeat.Leave":
		err = heartbeat.NewReceiver(other.heartbeat).Leave(args.(heartbeat.AskReply), reply.(*heartbeat.LeaveReply))
	case "Follower.Fetch":
		if r.isNextFetchFailing {
			r.isNextFetchFailing = false
			return peer.ErrUnreachable.New("cut in the middle")
		}
		err = follower.NewReceiver(other.follower).Fetch(args.(follower.FetchRequest), reply.(*replica.Page))
	case "Follower.Push":
		err = follower.NewReceiver(other.follower).Push(args.(follower.PushRequest), reply.(*follower.PushReply))
	}
	r.delayReply()
	return err
}

// delayReply lets the chosen delay pass before the reply arrives.
func (r *run) delayReply() {
	delay, during := r.replyDelay, r.duringDelay
	r.replyDelay, r.duringDelay = 0, nil
	if during != nil {
		during()
	}
	r.fleet.manual.Advance(delay)
}

func (r *run) reachesStore() bool { return !r.fleet.isStoreDown && !r.fleet.withoutStore[r.name] }

// Watch implements follower.Store; it never waits.
func (r *run) Watch(_ context.Context, _ []string, after int64, _ clock.Millis) (store.Listing, error) {
	if !r.reachesStore() {
		return store.Listing{}, store.ErrUnavailable.New("down")
	}
	listing := store.Listing{Revision: r.fleet.revision}
	for _, object := range r.fleet.objects {
		if object.Version > after {
			listing.Objects = append(listing.Objects, object)
		}
	}
	r.delayReply()
	if r.staleListing != nil {
		listing = *r.staleListing
	}
	return listing, nil
}

// List implements follower.Store.
func (r *run) List(context.Context, string) (store.Listing, error) {
	if !r.reachesStore() {
		return store.Listing{}, store.ErrUnavailable.New("down")
	}
	listing := store.Listing{Revision: r.fleet.revision}
	r.delayReply()
	return listing, nil
}

// VMs implements follower.Store.
func (r *run) VMs(context.Context) (store.VMList, error) {
	if !r.reachesStore() {
		return store.VMList{}, store.ErrUnavailable.New("down")
	}
	return store.VMList{VMs: r.fleet.list()}, nil
}

// round lets a VM do once what it does about twice a second.
func (r *run) round() {
	ctx := context.Background()
	r.heartbeat.Refresh()
	if r.follower.IsListReader() {
		_ = r.follower.ReadList(ctx)
	}
	if r.follower.IsWatcher() {
		_ = r.follower.Watch(ctx)
	}
	due := r.heartbeat.DueTargets()
	for _, name := range slices.Sorted(maps.Keys(due)) {
		_ = r.heartbeat.Ask(ctx, due[name])
	}
	r.heartbeat.Refresh()
}

func (f *fleet) rounds(n int) {
	for range n {
		for _, name := range f.names {
			if r := f.runs[name]; r != nil {
				r.round()
			}
		}
		f.manual.Advance(heartbeat.Interval)
	}
}

// revisionInForce returns the document's revision by which the run serves.
func (r *run) revisionInForce() int64 {
	if service := r.replica.Snapshot().Service("catalogue"); service != nil {
		return service.Revision
	}
	return 0
}

// canServe reports whether the run would serve a request with the key.
func (r *run) canServe(k key.Key) bool {
	ready, _ := r.follower.Ready()
	known, found := r.replica.Snapshot().Keys[k.Digest]
	return ready && r.freshness.IsFresh() && found && !known.Withdrawn
}
