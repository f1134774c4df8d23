package follower_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"testing"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

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

// maxWithdrawalDelay is the time after which a withdrawal must be in force at every
// VM that serves requests with keys.
const maxWithdrawalDelay = 5 * clock.Second

type faultModel struct {
	*fleet
	keys []key.Key
	// onlyInStoreAt holds, by key, the last time at which no VM knew of the key's
	// withdrawal and no VM reached the store.
	onlyInStoreAt map[string]clock.Millis
}

// isOnlyInUnreachableStore reports whether no VM knows of a key's withdrawal and no
// VM reaches the store: the VM that accepted the withdrawal failed before it reached
// any other. The design note explains why such a key is accepted until a VM reaches
// the store again; the command line reports it to operators by exit code 5.
func (m *faultModel) isOnlyInUnreachableStore(k key.Key) bool {
	for _, r := range m.runs {
		if r.reachesStore() || r.replica.Snapshot().Keys[k.Digest].Withdrawn {
			return false
		}
	}
	return true
}

// checkStart fails if a run that has just become ready serves an older revision than
// its VM's last run, although a peer that it reaches has a newer one.
func (m *faultModel) checkStart(t *rapid.T, r *run) {
	ready, _ := r.follower.Ready()
	if !ready || r.wasReady {
		return
	}
	r.wasReady = true
	highest := int64(0)
	for name, other := range m.runs {
		if other != r && !m.cut[pair(r.name, name)] {
			highest = max(highest, other.revisionInForce())
		}
	}
	if want := min(m.lastRevision[r.name], highest); r.revisionInForce() < want {
		t.Fatalf("%s serves revision %d after a restart, want at least %d, which its peers have", r.name, r.revisionInForce(), want)
	}
}

func (m *faultModel) check(t *rapid.T) {
	for _, name := range m.names {
		r := m.runs[name]
		if r == nil {
			continue
		}
		if now := r.revisionInForce(); now < r.inForce {
			t.Fatalf("revision at %s decreased from %d to %d", name, r.inForce, now)
		}
		r.inForce = r.revisionInForce()
		m.checkStart(t, r)
		for _, k := range m.keys {
			at, withdrawn := m.withdrawnAt[k.ID]
			if withdrawn && m.isOnlyInUnreachableStore(k) {
				m.onlyInStoreAt[k.ID] = m.manual.Clock().Now()
			}
			at = max(at, m.onlyInStoreAt[k.ID])
			if withdrawn && m.manual.Clock().Now()-at > maxWithdrawalDelay && r.canServe(k) {
				t.Fatalf("key %s is accepted at %s %d ms after its withdrawal", k.ID, name, m.manual.Clock().Now()-at)
			}
		}
	}
}

func TestAcceptedChangesHoldUnderFaults(t *testing.T) {
	checkAcceptedChanges(t, newFleet)
}

// With more peers than a VM sends heartbeats to in a round, their content is known
// through relayed ages.
func TestAcceptedChangesHoldUnderFaultsWithRelayedAges(t *testing.T) {
	checkAcceptedChanges(t, func() *fleet { return newFleetOf(largeFleetNames[:6], 2) })
}

func checkAcceptedChanges(t *testing.T, start func() *fleet) {
	rapid.Check(t, func(t *rapid.T) {
		m := &faultModel{fleet: start(), onlyInStoreAt: map[string]clock.Millis{}}
		names := m.names
		m.rounds(3)
		anyName := rapid.SampledFrom(names)
		alive := func(t *rapid.T) *run { return m.runs[anyName.Draw(t, "vm")] }
		// accepting returns a VM that can accept an operator's change.
		accepting := func(t *rapid.T) *run {
			r := alive(t)
			if r == nil || !r.reachesStore() {
				t.Skip("no store")
			}
			if ready, _ := r.follower.Ready(); !ready {
				t.Skip("not ready")
			}
			return r
		}
		push := func(r *run, object store.Object) {
			_, _ = r.replica.Merge(store.Listing{Objects: []store.Object{object}})
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_, _ = r.follower.PushAll(ctx, []store.Object{object})
		}
		pick := func(t *rapid.T) key.Key {
			if len(m.keys) == 0 {
				t.Skip("no key")
			}
			return rapid.SampledFrom(m.keys).Draw(t, "key")
		}
		withdraw := func(r *run, k key.Key, pushed bool) {
			r.replica.WithdrawKeys(k.ID)
			k.Withdrawn = true
			object := m.put("keys/"+k.ID, k)
			if pushed {
				push(r, object)
			}
			if _, done := m.withdrawnAt[k.ID]; !done {
				m.withdrawnAt[k.ID] = m.manual.Clock().Now()
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				r := accepting(t)
				push(r, m.accept())
			},
			"issue": func(t *rapid.T) {
				r := accepting(t)
				if len(m.keys) > 4 {
					t.Skip("enough keys")
				}
				k := key.Key{ID: fmt.Sprint(len(m.keys)), Digest: key.Digest(fmt.Sprint(len(m.keys))), Workspace: "w"}
				m.keys = append(m.keys, k)
				push(r, m.put("keys/"+k.ID, k))
			},
			"withdraw": func(t *rapid.T) { withdraw(accepting(t), pick(t), rapid.Bool().Draw(t, "pushed")) },
			"outage":   func(t *rapid.T) { m.isStoreDown = rapid.Bool().Draw(t, "down") },
			"noStore":  func(t *rapid.T) { m.withoutStore[anyName.Draw(t, "vm")] = rapid.Bool().Draw(t, "no store") },
			"cut": func(t *rapid.T) {
				m.cut[pair(anyName.Draw(t, "a"), anyName.Draw(t, "b"))] = rapid.Bool().Draw(t, "cut")
			},
			"region": func(t *rapid.T) {
				cut := rapid.Bool().Draw(t, "cut")
				for _, a := range names {
					for _, b := range names {
						if a[0] < b[0] {
							m.cut[pair(a, b)] = cut
						}
					}
				}
			},
			"kill": func(t *rapid.T) {
				name := anyName.Draw(t, "vm")
				r := m.runs[name]
				if r == nil {
					t.Skip("dead")
				}
				m.lastRevision[name] = r.revisionInForce()
				delete(m.runs, name)
			},
			"planned stop": func(t *rapid.T) {
				if r := alive(t); r != nil {
					r.heartbeat.Leave(context.Background())
					m.lastRevision[r.name] = r.revisionInForce()
					delete(m.runs, r.name)
				}
			},
			"start": func(t *rapid.T) {
				if name := anyName.Draw(t, "vm"); m.runs[name] == nil {
					m.start(name)
				}
			},
			"delay": func(t *rapid.T) {
				if r := alive(t); r != nil {
					r.replyDelay = clock.Millis(rapid.IntRange(0, 8000).Draw(t, "delay"))
				}
			},
			"withdraw during a delay": func(t *rapid.T) {
				r, other, k := alive(t), accepting(t), pick(t)
				if r == nil || r == other {
					t.Skip("one VM")
				}
				r.replyDelay = clock.Millis(rapid.IntRange(0, 8000).Draw(t, "delay"))
				r.duringDelay = func() { withdraw(other, k, false) }
			},
			"fail fetch": func(t *rapid.T) {
				if r := alive(t); r != nil {
					r.isNextFetchFailing = true
				}
			},
			"only one with the store": func(t *rapid.T) {
				only := anyName.Draw(t, "vm")
				for _, name := range names {
					m.withoutStore[name] = name != only
					m.cut[pair(only, name)] = true
				}
			},
			"isolate": func(t *rapid.T) {
				name, cut := anyName.Draw(t, "vm"), rapid.Bool().Draw(t, "cut")
				for _, other := range names {
					m.cut[pair(name, other)] = cut
				}
			},
			"ask": func(t *rapid.T) {
				if r := alive(t); r != nil {
					r.heartbeat.Refresh()
					_ = r.heartbeat.Ask(context.Background(), anyName.Draw(t, "peer"))
				}
			},
			"reorder": func(t *rapid.T) {
				r := alive(t)
				if r != nil && r.staleListing != nil {
					r.staleListing = nil
					return
				}
				if r != nil && r.reachesStore() {
					listing, _ := r.Watch(context.Background(), nil, r.replica.Summary().Revision, 0)
					r.staleListing = &listing
				}
			},
			"frozen": func(t *rapid.T) { m.manual.Advance(clock.Millis(rapid.IntRange(0, 30000).Draw(t, "for"))) },
			"round": func(t *rapid.T) {
				if r := alive(t); r != nil {
					r.round()
				}
			},
			"rounds": func(t *rapid.T) { m.rounds(rapid.IntRange(1, 6).Draw(t, "rounds")) },
			"":       m.check,
		})
	})
}

func TestStoreOutageKeepsAllFresh(t *testing.T) {
	f := newFleet()
	f.rounds(3)
	f.isStoreDown = true
	for range 200 {
		f.rounds(1)
		for _, name := range names {
			if !f.runs[name].freshness.IsFresh() {
				t.Fatalf("%s is not fresh in an outage of the store", name)
			}
		}
	}
}

// Each VM sends heartbeats to 4 of 17 peers in a round, so each peer replies to it
// only every few seconds.
func TestStoreOutageKeepsAllFreshThroughRelayedAges(t *testing.T) {
	f := newFleetOf(largeFleetNames, 4)
	f.rounds(20)
	f.isStoreDown = true
	for range 200 {
		f.rounds(1)
		for _, name := range f.names {
			if age, _ := f.runs[name].freshness.Age(); age > freshness.MaxAge {
				t.Fatalf("%s is not fresh in an outage of the store: its copy is %d ms old", name, age)
			}
		}
	}
	for _, name := range f.names {
		if targets := len(f.runs[name].heartbeat.DueTargets()); targets > 5 {
			t.Fatalf("%s sends heartbeats to %d peers in a round, want at most 5", name, targets)
		}
	}
}

func TestUnreachableVMTurnsAllStaleDespiteRelayedAges(t *testing.T) {
	f := newFleetOf(largeFleetNames, 4)
	f.rounds(20)
	f.isStoreDown = true
	f.rounds(20)
	for _, name := range f.names {
		f.cut[pair("a1", name)] = true
	}
	f.rounds(int(freshness.MaxAge/heartbeat.Interval) + 1)
	for _, name := range f.names {
		if f.runs[name].freshness.IsFresh() {
			t.Fatalf("%s is fresh though it cannot learn of changes that a1 accepts", name)
		}
	}
}

func TestPlannedStopInOutageLeavesOthersFresh(t *testing.T) {
	f := newFleet()
	f.rounds(3)
	f.isStoreDown = true
	f.rounds(3)
	f.runs["b2"].heartbeat.Leave(context.Background())
	delete(f.runs, "b2")
	f.rounds(20)
	for _, name := range names[:3] {
		if !f.runs[name].freshness.IsFresh() {
			t.Fatalf("%s is stale after a planned stop of b2", name)
		}
	}
	f.start("b2")
	f.rounds(3)
	f.runs["b2"].heartbeat.Refresh()
	delete(f.runs, "b2")
	f.rounds(20)
	if f.runs["a1"].freshness.IsFresh() {
		t.Fatal("a1 is fresh though b2's new run no longer replies")
	}
}

func TestCutOffVMTurnsStaleAndFreshAgain(t *testing.T) {
	f := newFleet()
	f.rounds(3)
	f.withoutStore["a1"] = true
	for _, name := range names {
		f.cut[pair("a1", name)] = true
	}
	f.rounds(int(freshness.MaxAge/heartbeat.Interval) + 1)
	if f.runs["a1"].freshness.IsFresh() {
		t.Fatal("a VM that was cut off for longer than MaxAge is fresh")
	}
	clear(f.cut)
	f.rounds(2)
	if !f.runs["a1"].freshness.IsFresh() {
		t.Fatal("a VM that reaches its peers again is stale")
	}
}

func TestPartitionedRegionStaysFreshThroughTheStore(t *testing.T) {
	f := newFleet()
	f.rounds(3)
	f.withoutStore["b1"] = true
	for _, name := range names[:2] {
		f.cut[pair("b1", name)] = true
	}
	f.rounds(20)
	if !f.runs["b1"].freshness.IsFresh() {
		t.Fatal("b1 is stale though b2 reaches the store")
	}
}

func TestVMStartedInOutageFetchesContentOfPeers(t *testing.T) {
	f := newFleet()
	f.rounds(3)
	f.isStoreDown = true
	delete(f.runs, "b2")
	f.start("b2")
	if ready, why := f.runs["b2"].follower.Ready(); ready || why == "" {
		t.Fatalf("ready = %v (%q) before the first reply, want false with a reason", ready, why)
	}
	f.rounds(4)
	if ready, why := f.runs["b2"].follower.Ready(); !ready {
		t.Fatalf("not ready: %s", why)
	}
	if got := f.runs["b2"].revisionInForce(); got != f.accepted {
		t.Fatalf("revision in force is %d, want %d", got, f.accepted)
	}
}

func TestVMStartedInOutageWaitsForEveryReachablePeer(t *testing.T) {
	f := newFleet()
	f.rounds(3)
	f.isStoreDown = true
	// Only b1 has the newest revision when a1 starts.
	delete(f.runs, "a1")
	if _, err := f.runs["b1"].replica.Merge(store.Listing{Objects: []store.Object{f.accept()}}); err != nil {
		t.Fatal(err)
	}
	f.start("a1")
	a1 := f.runs["a1"]
	for _, name := range []string{"a2", "b2"} {
		if err := a1.heartbeat.Ask(context.Background(), name); err != nil {
			t.Fatal(err)
		}
		if ready, _ := a1.follower.Ready(); ready {
			t.Fatalf("ready after the reply of %s, before that of b1", name)
		}
	}
	if err := a1.heartbeat.Ask(context.Background(), "b1"); err != nil {
		t.Fatal(err)
	}
	if ready, why := a1.follower.Ready(); !ready || a1.revisionInForce() != f.accepted {
		t.Fatalf("ready = %v (%s) on revision %d, want revision %d", ready, why, a1.revisionInForce(), f.accepted)
	}
}

func TestPeerWithFailedFetchDoesNotCountForFreshness(t *testing.T) {
	f := newFleet()
	f.rounds(3)
	f.isStoreDown = true
	if _, err := f.runs["b1"].replica.Merge(store.Listing{Objects: []store.Object{f.accept()}}); err != nil {
		t.Fatal(err)
	}
	f.manual.Advance(freshness.MaxAge + 1)
	a1 := f.runs["a1"]
	for _, name := range []string{"a2", "b2"} {
		if err := a1.heartbeat.Ask(context.Background(), name); err != nil {
			t.Fatal(err)
		}
	}
	a1.isNextFetchFailing = true
	if err := a1.heartbeat.Ask(context.Background(), "b1"); err == nil || a1.freshness.IsFresh() {
		t.Fatalf("fresh = %v, error %v, want false and an error after a failed fetch from b1", a1.freshness.IsFresh(), err)
	}
	if err := a1.heartbeat.Ask(context.Background(), "b1"); err != nil || !a1.freshness.IsFresh() || a1.revisionInForce() != f.accepted {
		t.Fatalf("fresh = %v, error %v, revision %d", a1.freshness.IsFresh(), err, a1.revisionInForce())
	}
}

func TestStaleWatchReplyDoesNotCountForFreshness(t *testing.T) {
	f := newFleet()
	f.rounds(3)
	a1 := f.runs["a1"]
	stale, err := a1.Watch(context.Background(), nil, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	a1.staleListing = &stale
	f.accept()
	f.manual.Advance(freshness.MaxAge + 1)
	for _, follow := range []func(context.Context) error{a1.follower.Watch, a1.follower.ReadList} {
		if err := follow(context.Background()); err != nil {
			t.Fatal(err)
		}
		if a1.freshness.IsFresh() {
			t.Fatal("fresh though the watch returned an earlier listing")
		}
	}
	a1.staleListing = nil
	if err := a1.follower.Watch(context.Background()); err != nil {
		t.Fatal(err)
	}
	if !a1.freshness.IsFresh() || a1.revisionInForce() != f.accepted {
		t.Fatal("stale, or on an older revision, though the copy has reached the store's revision")
	}
}

func TestLeaveWithFailedFetchLeavesOthersStale(t *testing.T) {
	f := newFleet()
	f.rounds(3)
	f.isStoreDown = true
	if _, err := f.runs["b2"].replica.Merge(store.Listing{Objects: []store.Object{f.accept()}}); err != nil {
		t.Fatal(err)
	}
	for _, name := range names[:3] {
		f.runs[name].isNextFetchFailing = true
	}
	f.runs["b2"].heartbeat.Leave(context.Background())
	delete(f.runs, "b2")
	f.rounds(20)
	for _, name := range names[:3] {
		if f.runs[name].freshness.IsFresh() {
			t.Fatalf("%s is fresh without the content of b2", name)
		}
	}
}

func TestVMStartedAloneInOutageIsNotReady(t *testing.T) {
	f := newFleet()
	f.isStoreDown = true
	f.runs = map[string]*run{}
	f.start("b2")
	f.rounds(30)
	if ready, _ := f.runs["b2"].follower.Ready(); ready {
		t.Fatal("ready without contact to the store or any peer")
	}
}
