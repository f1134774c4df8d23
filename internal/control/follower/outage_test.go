package follower_test

import (
	"context"
	"testing"

	"baobabladder.example/baobabladder/internal/control/freshness"
	"baobabladder.example/baobabladder/internal/control/heartbeat"
	"baobabladder.example/baobabladder/internal/wire/store"
)

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
