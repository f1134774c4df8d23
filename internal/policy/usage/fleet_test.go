package usage

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/standin/fuzz"
	"baobabladder.example/baobabladder/internal/world/vm"
)

func TestMain(m *testing.M) {
	os.Exit(fuzz.Main(m, fuzz.Config{Seed: 20261207, Checks: 150, Steps: 60}))
}

var testSchedule = Schedule{Length: 5 * clock.Second, Due: 10 * clock.Second}

// testFleet is a fleet of VMs in two regions that exchange messages over a network which
// loses and repeats them. truth holds what was counted and stated to another VM.
type testFleet struct {
	manual      clock.Manual
	hasRelays   bool
	incarnation vm.Incarnation
	vms         map[string]*Collector
	truth       map[Window]Counts
	// sent holds messages that may come again.
	sent []func()
}

var testNames = []string{"a1", "a2", "a3", "b1", "b2", "b3"}

func (f *testFleet) start(name string) {
	f.incarnation++
	ledger := &Ledger{Schedule: testSchedule, Clock: f.manual.Clock()}
	f.vms[name] = &Collector{Self: vm.ID{Name: name, Incarnation: f.incarnation}, Region: name[:1], Ledger: ledger, Clock: f.manual.Clock()}
	f.update()
}

// update passes the VMs that run to all of them, as the roster does.
func (f *testFleet) update() {
	var members []Member
	for _, c := range f.vms {
		members = append(members, Member{ID: c.Self, Region: c.Region, IsReachable: true, IsAwaited: true})
	}
	for name, c := range f.vms {
		c.SetMembers(members)
		c.SetWants(f.isHolder(name))
	}
}

func (f *testFleet) running() []string { return slices.Sorted(maps.Keys(f.vms)) }

// relays returns the relays of a region: the first two of its VMs.
func (f *testFleet) relays(region string) (relays []string) {
	for _, name := range f.running() {
		if name[:1] == region && len(relays) < 2 {
			relays = append(relays, name)
		}
	}
	return relays
}

// isHolder reports whether a VM needs the sums: the first of one region, and the last of the
// other, which is no relay.
func (f *testFleet) isHolder(name string) bool {
	running := f.running()
	return name == running[0] || name == running[len(running)-1]
}

// link returns what from states to the VM to; ok is false if they do not exchange messages.
func (f *testFleet) link(from, to string, isCallee bool) (link Link, ok bool) {
	if !f.hasRelays {
		return LinkDirect, true
	}
	isFromRelay, isToRelay := slices.Contains(f.relays(from[:1]), from), slices.Contains(f.relays(to[:1]), to)
	switch {
	case from[:1] != to[:1]:
		return LinkRegion, isFromRelay && isToRelay
	case isToRelay:
		return LinkDirect, true
	default:
		return LinkFollower, isFromRelay || isCallee
	}
}

// exchange makes one call. Its request, or its reply, may get lost.
func (f *testFleet) exchange(from, to string, isRequestLost, isReplyLost bool) {
	link, ok := f.link(from, to, false)
	if _, isOk := f.link(to, from, true); from == to || !ok || !isOk {
		return
	}
	caller, callee := f.vms[from], f.vms[to]
	request := caller.MessageFor(to, link)
	if isRequestLost {
		return
	}
	deliver := func() { _ = callee.Receive(caller.Self, request) }
	deliver()
	f.sent = append(f.sent, deliver)
	link, _ = f.link(to, from, true)
	if reply := callee.MessageFor(from, link); !isReplyLost {
		_ = caller.Receive(callee.Self, reply)
	}
}

// settle lets all VMs exchange messages without losses, so often that a count passes from a
// follower over two relays to another one.
func (f *testFleet) settle() {
	for range 6 {
		f.manual.Advance(regionSumMaxAge)
		for _, from := range f.running() {
			for _, to := range f.running() {
				f.exchange(from, to, false, false)
			}
		}
	}
}

// check compares the sums at the holders with what was counted.
func (f *testFleet) check(t *rapid.T) {
	ended := testSchedule.WindowAt(f.manual.Clock().Now()) - 1
	f.settle()
	open := testSchedule.WindowAt(f.manual.Clock().Now())
	for _, name := range f.running() {
		if !f.isHolder(name) {
			continue
		}
		for window := open - 2; window <= open; window++ {
			want := f.truth[window]
			if want == nil {
				want = Counts{}
			}
			if got := f.vms[name].Sum(window); !maps.Equal(got.Counts, want) {
				t.Fatalf("%s has %v for window %d, want %v", name, got.Counts, window, want)
			}
		}
		if got := f.vms[name].Sum(ended); got.Lacking != 0 || got.VMs < len(f.vms) {
			t.Fatalf("%s has %d VMs of %d, and lacks %d", name, got.VMs, len(f.vms), got.Lacking)
		}
	}
}

// Each count must be in the sum once, whatever messages are lost, repeated or late, and
// whichever VMs and relays are killed after they stated it, unless no VM of a region is left.
func TestSumsHoldEachCountOnceFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &testFleet{vms: map[string]*Collector{}, truth: map[Window]Counts{}, hasRelays: rapid.Bool().Draw(t, "relays")}
		f.manual.Advance(clock.Hour)
		for _, name := range testNames {
			f.start(name)
		}
		drawVM := func(t *rapid.T) string { return rapid.SampledFrom(f.running()).Draw(t, "vm") }
		t.Repeat(map[string]func(*rapid.T){
			"count": func(t *rapid.T) {
				workspace := fmt.Sprint("w", rapid.IntRange(1, 3).Draw(t, "workspace"))
				window := testSchedule.WindowAt(f.manual.Clock().Now())
				f.vms[drawVM(t)].Ledger.Begin(workspace, Expectation{}).End(Ending{AnsweredAt: f.manual.Clock().Now()})
				if f.truth[window] == nil {
					f.truth[window] = Counts{}
				}
				f.truth[window][workspace]++
			},
			"time": func(t *rapid.T) { f.manual.Advance(clock.Millis(rapid.IntRange(1, 1500).Draw(t, "millis"))) },
			"exchange": func(t *rapid.T) {
				f.exchange(drawVM(t), drawVM(t), rapid.Bool().Draw(t, "request lost"), rapid.Bool().Draw(t, "reply lost"))
			},
			"late message": func(t *rapid.T) {
				if len(f.sent) > 0 {
					rapid.SampledFrom(f.sent).Draw(t, "message")()
				}
			},
			"kill": func(t *rapid.T) {
				name := drawVM(t)
				if relays := f.relays(name[:1]); len(relays) < 2 {
					return
				}
				f.settle()
				delete(f.vms, name)
				f.update()
			},
			"restart": func(t *rapid.T) {
				name := rapid.SampledFrom(testNames).Draw(t, "vm")
				if relays := f.relays(name[:1]); f.vms[name] == nil || len(relays) == 2 {
					f.settle()
					f.start(name)
				}
			},
			"check": f.check,
		})
	})
}
