package lease_test

import (
	"context"
	"encoding/json"
	"os"
	"testing"

	"pgregory.net/rapid"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/lease"
	"baobabladder.example/baobabladder/internal/standin/fuzz"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/vm"
)

func TestMain(m *testing.M) { os.Exit(fuzz.Main(m, fuzz.Config{Seed: 41, Checks: 2000})) }

// fakeStore is a store with one object and an optional fault of the next call.
type fakeStore struct {
	object store.Object
	calls  int
	// fault is the fault of the next call, or "".
	fault string
	// duringCall runs once while a call is in flight, after its effect.
	duringCall func()
	// lateWrite is a write that reaches the store after its call returned.
	lateWrite func()
}

func (s *fakeStore) begin() string {
	s.calls++
	fault := s.fault
	s.fault = ""
	return fault
}

func (s *fakeStore) end() {
	if during := s.duringCall; during != nil {
		s.duringCall = nil
		during()
	}
}

func (s *fakeStore) Get(context.Context, string) (store.Object, error) {
	fault := s.begin()
	object := s.object
	s.end()
	switch {
	case fault != "":
		return store.Object{}, store.ErrUnavailable.New("down")
	case object.Version == 0:
		return store.Object{}, store.ErrNotFound.New("absent")
	}
	return object, nil
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, ifVersion int64) (int64, error) {
	fault := s.begin()
	apply := func() bool {
		if s.object.Version != ifVersion {
			return false
		}
		s.object = store.Object{Key: key, Version: ifVersion + 1, Value: value}
		return true
	}
	switch fault {
	case "down":
		return 0, store.ErrUnavailable.New("down")
	case "late":
		s.lateWrite = func() { apply() }
		s.end()
		return 0, store.ErrOutcomeUnknown.New("lost")
	}
	applied := apply()
	s.end()
	switch {
	case fault == "lost":
		return 0, store.ErrOutcomeUnknown.New("lost")
	case !applied:
		return 0, store.ErrConflict.New("conflict")
	}
	return ifVersion + 1, nil
}

func TestOneHolderAtATimeAndTermsIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		manual := &clock.Manual{}
		manual.Advance(1)
		fake := &fakeStore{}
		var vms []*lease.Lease
		for _, name := range []string{"a", "b", "c"} {
			vms = append(vms, &lease.Lease{Duty: "divider", Self: vm.ID{Name: name, Incarnation: 1}, Store: fake, Clock: manual.Clock()})
		}
		holders := map[int64]string{}
		newest := int64(0)
		check := func() {
			held := ""
			for _, v := range vms {
				term, holds := v.Term()
				if !holds {
					continue
				}
				if held != "" {
					t.Fatalf("%s and %s hold the lease at the same time", held, v.Self.Name)
				}
				held = v.Self.Name
				if other := holders[term]; other != "" && other != held {
					t.Fatalf("term %d was held by %s and is now held by %s", term, other, held)
				}
				holders[term] = held
				if term < newest {
					t.Fatalf("term decreased from %d to %d", newest, term)
				}
				newest = term
			}
		}
		millis := func(label string) clock.Millis { return clock.Millis(rapid.IntRange(0, 12000).Draw(t, label)) }
		busy := map[int]bool{}
		step := func(i int) {
			if busy[i] {
				return
			}
			busy[i] = true
			_ = vms[i].Step(context.Background())
			busy[i] = false
			check()
		}
		one := rapid.IntRange(0, len(vms)-1)
		t.Repeat(map[string]func(*rapid.T){
			"step":    func(t *rapid.T) { step(one.Draw(t, "vm")) },
			"advance": func(*rapid.T) { manual.Advance(millis("by")); check() },
			"release": func(t *rapid.T) {
				if i := one.Draw(t, "vm"); !busy[i] {
					_ = vms[i].Release(context.Background())
				}
			},
			"fault": func(t *rapid.T) { fake.fault = rapid.SampledFrom([]string{"down", "lost", "late"}).Draw(t, "fault") },
			"late": func(*rapid.T) {
				if fake.lateWrite != nil {
					fake.lateWrite()
					fake.lateWrite = nil
				}
			},
			"pause": func(t *rapid.T) {
				by, others := millis("by"), rapid.SliceOfN(one, 0, 4).Draw(t, "others")
				fake.duringCall = func() {
					manual.Advance(by)
					for _, i := range others {
						step(i)
					}
				}
			},
			"": func(*rapid.T) {
				var record lease.Record
				if fake.object.Version > 0 {
					_ = json.Unmarshal(fake.object.Value, &record)
				}
				if record.Term < newest {
					t.Fatalf("the term in the store is %d, less than %d, which was held", record.Term, newest)
				}
			},
		})
	})
}

func TestVMsThatKnowTheHolderMakeNoStoreCalls(t *testing.T) {
	manual := &clock.Manual{}
	manual.Advance(1)
	fake := &fakeStore{}
	holder := &lease.Lease{Duty: "divider", Self: vm.ID{Name: "a", Incarnation: 1}, Store: fake, Clock: manual.Clock()}
	other := &lease.Lease{Duty: "divider", Self: vm.ID{Name: "b", Incarnation: 1}, Store: fake, Clock: manual.Clock()}
	other.PeerClaim = func(string) (lease.Claim, clock.Millis, bool) {
		claim, held := holder.Claim()
		return claim, 0, held
	}
	for range 600 {
		_ = holder.Step(context.Background())
		_ = other.Step(context.Background())
		manual.Advance(100)
	}
	if fake.calls > 25 {
		t.Fatalf("%d store calls in a minute without faults, want at most 25", fake.calls)
	}
	if _, held := holder.Term(); !held {
		t.Fatal("the holder lost the lease without a fault")
	}
}
