package mover

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"baobabladder.example/baobabladder/internal/base/account"
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/policy/move"
	"baobabladder.example/baobabladder/internal/standin/fuzz"
	"baobabladder.example/baobabladder/internal/standin/mesh"
	"baobabladder.example/baobabladder/internal/wire/peer"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/replica"
	"baobabladder.example/baobabladder/internal/world/vm"
)

func TestMain(m *testing.M) {
	os.Exit(fuzz.Main(m, fuzz.Config{Seed: 20261204, Checks: 200, Steps: 100}))
}

// fakeStore is a store with one object. It may be down or lose replies.
type fakeStore struct {
	object          store.Object
	revision        int64
	isDown          bool
	isNextReplyLost bool
	// onWrite, if set, is called with each state that is written.
	onWrite func(state *move.State)
	// beforePut, if set, runs once between the arrival of a Put and its effect.
	beforePut func()
}

func (f *fakeStore) Get(context.Context, string) (store.Object, error) {
	if f.isDown {
		return store.Object{}, store.ErrUnavailable.New("down")
	}
	if f.object.Version == 0 {
		return store.Object{}, store.ErrNotFound.New("absent")
	}
	return f.object, nil
}

func (f *fakeStore) Put(_ context.Context, key string, value []byte, ifVersion int64) (int64, error) {
	if run := f.beforePut; run != nil {
		f.beforePut = nil
		run()
	}
	if f.isDown {
		return 0, store.ErrUnavailable.New("down")
	}
	if ifVersion != f.object.Version {
		return 0, store.ErrConflict.New("at %d", f.object.Version)
	}
	f.revision++
	f.object = store.Object{Key: key, Version: f.revision, Value: value}
	if f.onWrite != nil {
		f.onWrite(f.state())
	}
	if f.isNextReplyLost {
		f.isNextReplyLost = false
		return 0, store.ErrOutcomeUnknown.New("lost")
	}
	return f.revision, nil
}

func (f *fakeStore) state() *move.State {
	state, _ := parseState(f.object.Value)
	return state
}

// fakeLease is held as set by the test.
type fakeLease struct {
	term int64
	held bool
}

func (f *fakeLease) Term() (int64, bool) { return f.term, f.held }

// fleet is a set of movers that call each other's receivers directly.
type fleet struct {
	manual  clock.Manual
	store   fakeStore
	service replica.Service
	movers  []*Mover
	leases  []*fakeLease
	// mesh delivers calls. The copies of VMs that are cut off are not updated either.
	mesh *mesh.Mesh
	// copies holds each VM's copy of the state.
	copies []json.RawMessage
}

func newFleet(vms int) *fleet {
	f := &fleet{mesh: mesh.New(), copies: make([]json.RawMessage, vms)}
	f.service = replica.Service{Revision: 1, Service: &document.Service{
		Name: "orders", ShiftCap: 1000, Routes: []document.Route{{Prefix: "/"}},
		Moves: []document.Move{{From: "v1", To: "v2", Deadline: 10 * clock.Minute, MaxSlowdownPercent: 50}},
	}}
	for i := range vms {
		f.add(i, 1)
	}
	return f
}

// add starts VM i with the given incarnation.
func (f *fleet) add(i int, incarnation vm.Incarnation) {
	name := fmt.Sprintf("vm%d", i)
	lease := &fakeLease{}
	mover := &Mover{
		Self: vm.ID{Name: name, Incarnation: incarnation}, Clock: f.manual.Clock(),
		Guard:     &move.Guard{Clock: f.manual.Clock(), VM: name},
		Lease:     lease,
		Peers:     mesh.Client{Mesh: f.mesh, From: name},
		Store:     &f.store,
		Decisions: &account.DecisionLog{VM: name, Clock: f.manual.Clock()},
		View:      func() *membership.View { return f.view(name) },
		Snapshot:  func() *replica.Snapshot { return f.snapshot(i) },
		OnWritten: func(_ context.Context, object store.Object) { f.copies[i] = object.Value },
	}
	mover.Guard.Peers = mover
	f.mesh.Handlers[name] = func(method string, args, reply any) error { return serve(mover, method, args, reply) }
	if i < len(f.movers) {
		f.movers[i], f.leases[i] = mover, lease
		return
	}
	f.movers = append(f.movers, mover)
	f.leases = append(f.leases, lease)
}

func (f *fleet) view(self string) *membership.View {
	view := &membership.View{Self: self}
	for _, m := range f.movers {
		view.Members = append(view.Members, membership.Member{
			VM:          vm.VM{Name: m.Self.Name, PeerAddress: m.Self.Name},
			Incarnation: m.Self.Incarnation, Reachable: !f.mesh.Isolated[self] && !f.mesh.Isolated[m.Self.Name],
		})
	}
	return view
}

func (f *fleet) snapshot(i int) *replica.Snapshot {
	snapshot := &replica.Snapshot{Services: []replica.Service{f.service}, Moves: map[string]json.RawMessage{}}
	if f.copies[i] != nil {
		snapshot.Moves["orders"] = f.copies[i]
	}
	return snapshot
}

// serve handles a peer's call.
func serve(m *Mover, method string, args, reply any) error {
	receiver := &Receiver{Mover: m}
	if method == ReceiverName+".Collect" {
		return receiver.Collect(args.(*CollectRequest), reply.(*CollectReply))
	}
	return receiver.Report(args.(*Report), reply.(*ReportReply))
}

// watch copies the store's object to the VMs that are not cut off.
func (f *fleet) watch() {
	if f.store.isDown {
		return
	}
	for i, m := range f.movers {
		if !f.mesh.Isolated[m.Self.Name] {
			f.copies[i] = f.store.object.Value
		}
	}
}

// round lets each VM do once what Run does in a second.
func (f *fleet) round() {
	f.watch()
	for _, m := range f.movers {
		m.UpdateGuard()
		m.SendReports(context.Background())
	}
	for _, m := range f.movers {
		_ = m.AdvanceMoves(context.Background())
	}
	f.watch()
	for _, m := range f.movers {
		m.UpdateGuard()
	}
}

func (f *fleet) hold(i int, term int64) {
	for _, lease := range f.leases {
		lease.held = false
	}
	f.leases[i].term, f.leases[i].held = term, true
}

// hasSuspension reports whether any VM has a suspension for the attempt.
func (f *fleet) hasSuspension(attempt int64) bool {
	for _, m := range f.movers {
		for _, suspension := range m.Guard.Suspensions() {
			if suspension.Attempt == attempt {
				return true
			}
		}
	}
	return false
}

// request simulates one request and reports whether it was sent to the new version.
func (f *fleet) request(i int, isBad bool) bool {
	guard, route := f.movers[i].Guard, &f.service.Routes[0]
	choice := guard.Choose(f.service.Service, route)
	if choice.IsRefused {
		return false
	}
	outcome := move.Succeeded
	if choice.IsNew && isBad {
		outcome = move.Failed
	}
	guard.Record(f.service.Service, route, choice, outcome, 20_000)
	return choice.IsNew
}

// Guards against a rolled-back move that is resumed, and against requests to a faulty
// version. Whoever holds the lease and whatever the store and the connections do, a
// rolled-back move must stay so. While all VMs are connected, none may use a version
// 3 s after its fault was found.
func TestRolledBackMoveIsNeverResumedUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(3)
		term, incarnation := int64(1), vm.Incarnation(1)
		f.hold(0, term)
		isBad := false
		var rolledBack, lastTerm int64
		// rounds counts the rounds without a partition since a VM found a fault of
		// the attempt faultyAttempt; -1 if none was found.
		rounds, faultyAttempt := -1, int64(0)
		f.store.onWrite = func(state *move.State) {
			if state.Term < lastTerm {
				t.Fatalf("the term decreased from %d to %d", lastTerm, state.Term)
			}
			lastTerm = state.Term
			if state.Attempt == rolledBack && state.Stage != move.RolledBack {
				t.Fatalf("attempt %d was rolled back and is now in stage %s", rolledBack, state.Stage)
			}
			if state.Stage == move.RolledBack {
				rolledBack = state.Attempt
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"requests": func(t *rapid.T) {
				i := rapid.IntRange(0, 2).Draw(t, "vm")
				for range rapid.IntRange(1, 300).Draw(t, "count") {
					if f.request(i, isBad) && rounds >= 2 && f.store.state().Attempt == faultyAttempt {
						t.Fatalf("vm%d uses a version %d rounds after its fault was found", i, rounds)
					}
				}
				suspensions := f.movers[i].Guard.Suspensions()
				if len(suspensions) > 0 && suspensions[0].Attempt != faultyAttempt {
					rounds, faultyAttempt = 0, suspensions[0].Attempt
				}
			},
			"round": func(t *rapid.T) {
				f.manual.Advance(clock.Millis(rapid.IntRange(1000, 30_000).Draw(t, "millis")))
				f.round()
				if rounds >= 0 && len(f.mesh.Isolated) == 0 {
					rounds++
				}
			},
			"turn bad":   func(_ *rapid.T) { isBad = true },
			"store out":  func(_ *rapid.T) { f.store.isDown = true },
			"store back": func(_ *rapid.T) { f.store.isDown = false },
			"lose the next answer": func(_ *rapid.T) {
				f.store.isNextReplyLost = true
			},
			"cut": func(t *rapid.T) {
				f.mesh.Isolated[fmt.Sprintf("vm%d", rapid.IntRange(0, 2).Draw(t, "vm"))] = true
				rounds = min(rounds, 0)
			},
			"heal": func(_ *rapid.T) { f.mesh.Isolated = map[string]bool{} },
			"lease": func(t *rapid.T) {
				term++
				f.hold(rapid.IntRange(0, 2).Draw(t, "vm"), term)
			},
			"paused holder": func(t *rapid.T) {
				// The lease holder is paused between its check of the lease and its
				// write, while another VM acquires the lease and writes.
				i := rapid.IntRange(0, 2).Draw(t, "vm")
				f.leases[i].held = true
				f.store.beforePut = func() {
					term++
					f.hold((i+1)%3, term)
					f.leases[i].held = true
					_ = f.movers[(i+1)%3].AdvanceMoves(context.Background())
				}
				_ = f.movers[i].AdvanceMoves(context.Background())
				f.store.beforePut = nil
				f.hold((i+1)%3, term+1)
				term++
			},
			"restart": func(t *rapid.T) {
				incarnation++
				i := rapid.IntRange(0, 2).Draw(t, "vm")
				held := *f.leases[i]
				f.add(i, incarnation)
				f.leases[i].term, f.leases[i].held = held.term, held.held
				rounds = min(rounds, 0)
				if !f.hasSuspension(faultyAttempt) {
					// Only the VM that restarted had found the fault.
					rounds, faultyAttempt = -1, 0
				}
			},
			"new document": func(_ *rapid.T) {
				next := *f.service.Service
				next.Moves = append([]document.Move(nil), next.Moves...)
				next.Moves[0].MaxSlowdownPercent++
				f.service = replica.Service{Service: &next, Revision: f.service.Revision + 1}
				isBad = false
			},
		})
	})
}

// Guards against a call in each round to a peer that still counts as reachable but
// fails each call. After its return it must receive a suspension within seconds.
func TestCallsToFailingPeerBackOff(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2)
	f.hold(0, 1)
	f.round()
	f.round()
	mover := f.movers[0]
	view := f.view("vm0")
	mover.View = func() *membership.View { return view }
	f.mesh.Isolated["vm1"] = true
	mover.Guard.Suspend(move.Suspension{Service: "orders", Attempt: 1, To: "v2"})
	f.mesh.CallCount.Store(0)
	for range 100 {
		mover.SendReports(context.Background())
		f.manual.Advance(reportInterval)
	}
	g.Expect(f.mesh.CallCount.Load()).To(BeNumerically("<=", 25), "number of calls in 10 s")
	f.mesh.Isolated = map[string]bool{}
	f.manual.Advance(maxBackoff)
	mover.SendReports(context.Background())
	g.Expect(f.hasSuspension(1) && len(f.movers[1].Guard.Suspensions()) == 1).To(BeTrue())
}

func TestWriteWithLostReplyIsReadBack(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3)
	f.hold(0, 1)
	f.store.isNextReplyLost = true
	g.Expect(f.movers[0].AdvanceMoves(context.Background())).To(Succeed())
	g.Expect(f.copies[0]).NotTo(BeNil(), "the write that was applied is missing in the VM's copy")
	g.Expect(f.store.state().Stage).To(Equal(move.Waiting))
}

// Guards against a holder that was paused until its lease went to another VM: it must
// not overwrite what that VM wrote.
func TestStaleTermChangesNothing(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3)
	f.hold(1, 7)
	f.round()
	f.round()
	written := f.store.object
	f.leases[0].term, f.leases[0].held = 3, true
	f.manual.Advance(10 * clock.Minute)
	_ = f.movers[0].AdvanceMoves(context.Background())
	g.Expect(f.store.object).To(Equal(written))
	receiver := &Receiver{Mover: f.movers[2]}
	g.Expect(receiver.Collect(&CollectRequest{Term: 3}, &CollectReply{})).To(MatchError(ContainSubstring("term 3")))
}

// Guards against faulty versions during an outage of the store. No move advances and
// the lease expires, but a fault must stop the version at all VMs, including those
// that restart.
func TestFaultStopsVersionDuringStoreOutage(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3)
	f.hold(0, 1)
	f.round()
	f.round()
	f.store.isDown = true
	f.leases[0].held = false
	for range 60 {
		f.manual.Advance(10 * clock.Second)
		f.round()
		for i := range 30 {
			f.request(i%3, false)
		}
	}
	g.Expect(f.store.state().Stage).To(Equal(move.Canary))
	for range 500 {
		f.request(0, true)
	}
	f.round()
	for i := range 600 {
		g.Expect(f.request(i%3, true)).To(BeFalse())
	}
	f.add(2, 2)
	f.round()
	for range 600 {
		g.Expect(f.request(2, true)).To(BeFalse(), "a restarted VM did not receive the suspension")
	}
	f.store.isDown = false
	f.hold(1, 2)
	f.round()
	g.Expect(f.store.state().Stage).To(Equal(move.RolledBack))
	var recorded []string
	for _, line := range f.movers[1].Decisions.Decisions() {
		recorded = append(recorded, line.What)
	}
	g.Expect(recorded).To(ContainElements("version_suspended", "move_taken_back"))
}

// Guards against message fields that net/rpc does not carry.
func TestMessagesPassThroughRPCUnchanged(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1)
	f.hold(0, 1)
	f.round()
	f.round()
	for range 40 {
		f.request(0, false)
	}
	server := peer.NewServer()
	g.Expect(server.Register(ReceiverName, &Receiver{Mover: f.movers[0]})).To(Succeed())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	client := &peer.Client{}
	defer client.Close()
	var reply CollectReply
	request := &CollectRequest{Term: 5, Suspensions: []move.Suspension{{Service: "orders", Attempt: 1, To: "v2", Why: "seen elsewhere"}}}
	g.Expect(client.Call(context.Background(), listener.Addr().String(), ReceiverName+".Collect", request, &reply)).To(Succeed())
	g.Expect(reply.Evidence).To(Equal(f.movers[0].Guard.Evidence()))
	g.Expect(reply.Suspensions).To(Equal(request.Suspensions))
}
