package freshness_test

import (
	"testing"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/freshness"
)

func TestAgeIsThatOfTheOldestPeerTime(t *testing.T) {
	manual := &clock.Manual{}
	f := &freshness.Freshness{Clock: manual.Clock()}
	if _, known := f.Age(); known {
		t.Fatal("the age is known without any recorded time")
	}
	manual.Advance(10 * clock.Second)
	f.SetPeers([]string{"b", "c"})
	f.MarkPeerComplete("b", 9*clock.Second)
	if f.IsFresh() {
		t.Fatal("fresh without a time for peer c")
	}
	f.MarkPeerComplete("c", 7*clock.Second)
	f.MarkPeerComplete("b", 10*clock.Second)
	if age, _ := f.Age(); age != 3*clock.Second {
		t.Fatalf("age is %d, want that of peer c, 3000", age)
	}
	manual.Advance(2 * clock.Second)
	if f.IsFresh() {
		t.Fatal("fresh though the time of peer c is older than MaxAge")
	}
	f.MarkComplete(manual.Clock().Now())
	f.MarkComplete(0)
	if age, _ := f.Age(); age != 0 {
		t.Fatalf("age is %d after an older time was recorded, want 0", age)
	}
}

func TestFreshWithoutPeersAndNotWithUnknownPeers(t *testing.T) {
	manual := &clock.Manual{}
	f := &freshness.Freshness{Clock: manual.Clock()}
	f.SetPeers(nil)
	if f.IsFresh() {
		t.Fatal("fresh though the peers are unknown")
	}
	f.SetPeers([]string{})
	if !f.IsFresh() {
		t.Fatal("not fresh though no other VM can accept a change")
	}
}
