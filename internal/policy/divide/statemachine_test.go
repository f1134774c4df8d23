package divide_test

import (
	"math/rand/v2"
	"os"
	"testing"

	"pgregory.net/rapid"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/divide"
	"baobabladder.example/baobabladder/internal/standin/fuzz"
	"baobabladder.example/baobabladder/internal/world/contract"
)

func TestMain(m *testing.M) {
	os.Exit(fuzz.Main(m, fuzz.Config{Seed: 20261204, Checks: 2000, Steps: 150}))
}

var (
	endpoints = []contract.Resource{contract.SlotsResource("artes", "e1"), contract.SlotsResource("artes", "e2"), contract.SlotsResource("artes", "e3")}
	link      = contract.LinkResource("r0", "r1")
)

// limits returns the limits of a document, multiplied by scale.
func limits(scale int64) map[contract.Resource]divide.Total {
	return map[contract.Resource]divide.Total{
		contract.RateResource("artes", "large"): {Share: contract.Share{Rate: 20_000 * scale, Size: 10_000 * scale}},
		contract.RateResource("artes", "small"): {Share: contract.Share{Rate: 3_000, Size: 1_000 * scale}},
		endpoints[0]:                            {Share: contract.Share{Size: 3}, Location: divide.Location{Region: "r0", DataCentre: "r0-0"}},
		endpoints[1]:                            {Share: contract.Share{Size: 2 * scale}, Location: divide.Location{Region: "r1", DataCentre: "r1-0"}},
		endpoints[2]:                            {Share: contract.Share{Size: 8}, Location: divide.Location{Region: "r2", DataCentre: "r2-0"}},
		link:                                    {Share: contract.Share{Rate: 1_000_000, Size: 250_000}},
	}
}

// TestFleetKeepsLimits applies random actions to a fleet and checks the limits with
// the oracle after each of them.
func TestFleetKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 6).Draw(t, "size"), limits(2))
		f.lossPercent = 20
		f.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "losses"), 0))
		f.stabilize()
		t.Repeat(actions(f))
	})
}

// draw draws a VM that meets the condition. It skips the action if there is none.
func draw(t *rapid.T, f *fleet, meets func(*testVM) bool) *testVM {
	var matching []*testVM
	for _, v := range f.vms {
		if meets(v) {
			matching = append(matching, v)
		}
	}
	if len(matching) == 0 {
		t.Skip("no VM meets the condition")
	}
	return rapid.SampledFrom(matching).Draw(t, "vm")
}

func isListedAndDown(f *fleet) func(*testVM) bool {
	return func(v *testVM) bool { return !v.isAlive && f.listed[v.name] }
}

func actions(f *fleet) map[string]func(*rapid.T) {
	isActive := (*testVM).isActive
	isDivider := func(v *testVM) bool { return v.isActive() && v.allocator != nil }
	// withLock locks the fleet for actions that change state which earlier
	// requests may still use concurrently.
	withLock := func(action func(*rapid.T)) func(*rapid.T) {
		return func(t *rapid.T) {
			f.mu.Lock()
			defer f.mu.Unlock()
			action(t)
		}
	}
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			if f.err != nil {
				t.Fatal(f.err)
			}
		},
		"advance": func(t *rapid.T) {
			f.manual.Advance(rapid.SampledFrom([]clock.Millis{1, 20, 100, 250, 1000, 30_000}).Draw(t, "by"))
		},
		"admit": func(t *rapid.T) {
			v := draw(t, f, isActive)
			for range rapid.IntRange(1, 5).Draw(t, "requests") {
				f.admit(v, "artes", rapid.SampledFrom([]string{"large", "small"}).Draw(t, "workspace"))
			}
		},
		"send": func(t *rapid.T) {
			v := draw(t, f, isActive)
			for range rapid.IntRange(1, 4).Draw(t, "pieces") {
				f.sendBytes(v, link, rapid.Int64Range(1, 60_000).Draw(t, "bytes"))
			}
		},
		"send far": func(t *rapid.T) {
			f.sendBytesWithPeers(draw(t, f, isActive), link, rapid.Int64Range(1, 250_000).Draw(t, "bytes"))
		},
		"take": func(t *rapid.T) {
			v := draw(t, f, isActive)
			for range rapid.IntRange(1, 4).Draw(t, "slots") {
				f.takeSlot(v, rapid.SampledFrom(endpoints).Draw(t, "endpoint"))
			}
		},
		"end": func(t *rapid.T) {
			v := draw(t, f, func(v *testVM) bool { return v.isActive() && len(v.inUse) > 0 })
			f.endRequest(v, rapid.IntRange(0, len(v.inUse)-1).Draw(t, "request"))
		},
		"borrow": func(t *rapid.T) {
			v := draw(t, f, func(v *testVM) bool { return v.isReachable() && v.isFenced })
			lender := draw(t, f, func(other *testVM) bool { return other != v })
			f.borrow(v, lender, rapid.SampledFrom(endpoints).Draw(t, "endpoint"), rapid.IntRange(0, 3).Draw(t, "give up") == 0)
		},
		"settle": func(t *rapid.T) { f.settleLoans(draw(t, f, isActive)) },
		"deliver": func(t *rapid.T) {
			for range rapid.IntRange(1, 8).Draw(t, "messages") {
				if len(f.messages) == 0 {
					return
				}
				f.deliver(rapid.IntRange(0, len(f.messages)-1).Draw(t, "message"), rapid.IntRange(0, 9).Draw(t, "twice") == 0)
			}
		},
		"deliver all": func(*rapid.T) { f.deliverAll() },
		"lose": func(t *rapid.T) {
			if len(f.messages) > 0 {
				index := rapid.IntRange(0, len(f.messages)-1).Draw(t, "message")
				f.messages = append(f.messages[:index:index], f.messages[index+1:]...)
			}
		},
		"rush":       func(t *rapid.T) { f.useAllShares(rapid.SampledFrom([]clock.Millis{0, 0, 30_000}).Draw(t, "after")) },
		"rush again": func(t *rapid.T) { f.useAllShares(rapid.SampledFrom([]clock.Millis{0, 0, 30_000}).Draw(t, "after")) },
		"end all":    func(*rapid.T) { f.endAllRequests() },
		"tick":       withLock(func(*rapid.T) { f.tick() }),
		"tick again": withLock(func(*rapid.T) { f.tick() }),
		"plan again": func(t *rapid.T) {
			v := draw(t, f, isDivider)
			for _, other := range f.vms {
				v.allocator.MarkActive(other.name)
			}
			f.sendOffers(v)
		},
		"plan":        func(t *rapid.T) { f.sendOffers(draw(t, f, isDivider)) },
		"new divider": func(t *rapid.T) { f.startDivider(draw(t, f, isActive)) },
		"lapse":       func(t *rapid.T) { draw(t, f, isDivider).allocator = nil },
		"freeze":      withLock(func(t *rapid.T) { draw(t, f, isActive).isPaused = true }),
		"thaw":        withLock(func(t *rapid.T) { draw(t, f, func(v *testVM) bool { return v.isPaused }).isPaused = false }),
		"cut":         withLock(func(t *rapid.T) { draw(t, f, func(v *testVM) bool { return v.isAlive && !v.isCutOff }).isCutOff = true }),
		"mend":        withLock(func(t *rapid.T) { draw(t, f, func(v *testVM) bool { return v.isCutOff }).isCutOff = false }),
		"kill":        withLock(func(t *rapid.T) { f.kill(draw(t, f, func(v *testVM) bool { return v.isAlive })) }),
		"restart":     withLock(func(t *rapid.T) { f.start(draw(t, f, func(v *testVM) bool { return !v.isAlive })) }),
		"replace": withLock(func(t *rapid.T) {
			v := draw(t, f, func(v *testVM) bool { return v.isAlive })
			f.kill(v)
			f.start(v)
			f.fence(v)
		}),
		"unlist": func(t *rapid.T) { delete(f.listed, draw(t, f, isListedAndDown(f)).name) },
		"sync":   withLock(func(t *rapid.T) { f.updateView(draw(t, f, isActive)) }),
		"fence":  func(t *rapid.T) { f.fence(draw(t, f, func(v *testVM) bool { return v.isActive() && !v.isFenced })) },
		"restart all": withLock(func(t *rapid.T) {
			if rapid.IntRange(0, 4).Draw(t, "really") > 0 {
				t.Skip("rare")
			}
			for _, v := range f.vms {
				f.kill(v)
				f.start(v)
			}
		}),
		"lean":       func(t *rapid.T) { f.concentrateDemand(draw(t, f, isActive)) },
		"lean again": func(t *rapid.T) { f.concentrateDemand(draw(t, f, isActive)) },
		"new document": func(t *rapid.T) {
			if rapid.IntRange(0, 4).Draw(t, "really") > 0 {
				t.Skip("rare")
			}
			f.totals = limits(rapid.Int64Range(1, 3).Draw(t, "scale"))
			f.oracle.raiseLimits(f.totals)
		},
		"rest": withLock(func(t *rapid.T) {
			if rapid.IntRange(0, 4).Draw(t, "really") > 0 {
				t.Skip("rare")
			}
			f.stabilize()
		}),
	}
}
