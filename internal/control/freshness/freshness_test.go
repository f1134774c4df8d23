package freshness_test

import (
	"testing"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/freshness"
)

func TestAgeIsThatOfThePeerHeardLongestAgo(t *testing.T) {
	manual := &clock.Manual{}
	f := &freshness.Freshness{Clock: manual.Clock()}
	if _, known := f.Age(); known {
		t.Fatal("knowledge without any word")
	}
	manual.Advance(10 * clock.Second)
	f.SetPeers([]string{"b", "c"})
	f.MarkPeerComplete("b", 9*clock.Second)
	if f.IsFresh() {
		t.Fatal("fresh with c not heard")
	}
	f.MarkPeerComplete("c", 7*clock.Second)
	f.MarkPeerComplete("b", 10*clock.Second)
	if age, _ := f.Age(); age != 3*clock.Second {
		t.Fatalf("age is %d, want that of c's word", age)
	}
	manual.Advance(2 * clock.Second)
	if f.IsFresh() {
		t.Fatal("fresh though c was heard more than MaxAge ago")
	}
	f.MarkComplete(manual.Clock().Now())
	f.MarkComplete(0)
	if age, _ := f.Age(); age != 0 {
		t.Fatalf("an older word made the age %d", age)
	}
}

func TestVMWithoutPeersIsFreshAndOneWithUnknownPeersIsNot(t *testing.T) {
	manual := &clock.Manual{}
	f := &freshness.Freshness{Clock: manual.Clock()}
	f.SetPeers(nil)
	if f.IsFresh() {
		t.Fatal("fresh with unknown peers")
	}
	f.SetPeers([]string{})
	if !f.IsFresh() {
		t.Fatal("stale though no other VM can accept a change")
	}
}
