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
	os.Exit(fuzz.Main(m, fuzz.Plan{Seed: 20261204, Checks: 2000, Steps: 150}))
}

var (
	endpoints = []contract.Resource{contract.SlotsResource("artes", "e1"), contract.SlotsResource("artes", "e2"), contract.SlotsResource("artes", "e3")}
	link      = contract.LinkResource("r0", "r1")
)

// limits returns the totals of a document, scaled.
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

// TestFleetKeepsLimits moves a fleet by random steps and asks the oracle after
// each of them.
func TestFleetKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 6).Draw(t, "size"), limits(2))
		f.lossy = 20
		f.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "losses"), 0))
		f.rest()
		t.Repeat(actions(f))
	})
}

// some draws a VM that meets the condition, or nil.
func some(t *rapid.T, f *fleet, meets func(*node) bool) *node {
	var fit []*node
	for _, n := range f.nodes {
		if meets(n) {
			fit = append(fit, n)
		}
	}
	if len(fit) == 0 {
		t.Skip("no VM fits")
	}
	return rapid.SampledFrom(fit).Draw(t, "vm")
}

func isListedDead(f *fleet) func(*node) bool {
	return func(n *node) bool { return !n.alive && f.listed[n.name] }
}

func actions(f *fleet) map[string]func(*rapid.T) {
	acts := (*node).acts
	leads := func(n *node) bool { return n.acts() && n.ledger != nil }
	// changing is for actions that change what requests look at that still run by
	// themselves.
	changing := func(action func(*rapid.T)) func(*rapid.T) {
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
			n := some(t, f, acts)
			for range rapid.IntRange(1, 5).Draw(t, "requests") {
				f.admit(n, "artes", rapid.SampledFrom([]string{"large", "small"}).Draw(t, "workspace"))
			}
		},
		"send": func(t *rapid.T) {
			n := some(t, f, acts)
			for range rapid.IntRange(1, 4).Draw(t, "pieces") {
				f.send(n, link, rapid.Int64Range(1, 60_000).Draw(t, "bytes"))
			}
		},
		"send far": func(t *rapid.T) {
			f.sendFar(some(t, f, acts), link, rapid.Int64Range(1, 250_000).Draw(t, "bytes"))
		},
		"take": func(t *rapid.T) {
			n := some(t, f, acts)
			for range rapid.IntRange(1, 4).Draw(t, "slots") {
				f.take(n, rapid.SampledFrom(endpoints).Draw(t, "endpoint"))
			}
		},
		"end": func(t *rapid.T) {
			n := some(t, f, func(n *node) bool { return n.acts() && len(n.running) > 0 })
			f.end(n, rapid.IntRange(0, len(n.running)-1).Draw(t, "request"))
		},
		"borrow": func(t *rapid.T) {
			n := some(t, f, func(n *node) bool { return n.reaches() && n.isFenced })
			lender := some(t, f, func(other *node) bool { return other != n })
			f.borrow(n, lender, rapid.SampledFrom(endpoints).Draw(t, "endpoint"), rapid.IntRange(0, 3).Draw(t, "give up") == 0)
		},
		"settle": func(t *rapid.T) { f.settle(some(t, f, acts)) },
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
		"rush":       func(t *rapid.T) { f.rush(rapid.SampledFrom([]clock.Millis{0, 0, 30_000}).Draw(t, "after")) },
		"rush again": func(t *rapid.T) { f.rush(rapid.SampledFrom([]clock.Millis{0, 0, 30_000}).Draw(t, "after")) },
		"end all":    func(*rapid.T) { f.endAll() },
		"tick":       changing(func(*rapid.T) { f.tick() }),
		"tick again": changing(func(*rapid.T) { f.tick() }),
		"plan again": func(t *rapid.T) {
			n := some(t, f, leads)
			for _, other := range f.nodes {
				n.ledger.MarkActive(other.name)
			}
			f.plan(n)
		},
		"plan":        func(t *rapid.T) { f.plan(some(t, f, leads)) },
		"new divider": func(t *rapid.T) { f.lead(some(t, f, acts)) },
		"lapse":       func(t *rapid.T) { some(t, f, leads).ledger = nil },
		"freeze":      changing(func(t *rapid.T) { some(t, f, acts).frozen = true }),
		"thaw":        changing(func(t *rapid.T) { some(t, f, func(n *node) bool { return n.frozen }).frozen = false }),
		"cut":         changing(func(t *rapid.T) { some(t, f, func(n *node) bool { return n.alive && !n.cut }).cut = true }),
		"mend":        changing(func(t *rapid.T) { some(t, f, func(n *node) bool { return n.cut }).cut = false }),
		"kill":        changing(func(t *rapid.T) { f.kill(some(t, f, func(n *node) bool { return n.alive })) }),
		"restart":     changing(func(t *rapid.T) { f.start(some(t, f, func(n *node) bool { return !n.alive })) }),
		"replace": changing(func(t *rapid.T) {
			n := some(t, f, func(n *node) bool { return n.alive })
			f.kill(n)
			f.start(n)
			f.fence(n)
		}),
		"unlist": func(t *rapid.T) { delete(f.listed, some(t, f, isListedDead(f)).name) },
		"sync":   changing(func(t *rapid.T) { f.sync(some(t, f, acts)) }),
		"fence":  func(t *rapid.T) { f.fence(some(t, f, func(n *node) bool { return n.acts() && !n.isFenced })) },
		"restart all": changing(func(t *rapid.T) {
			if rapid.IntRange(0, 4).Draw(t, "really") > 0 {
				t.Skip("rare")
			}
			for _, n := range f.nodes {
				f.kill(n)
				f.start(n)
			}
		}),
		"lean":       func(t *rapid.T) { f.lean(some(t, f, acts)) },
		"lean again": func(t *rapid.T) { f.lean(some(t, f, acts)) },
		"new document": func(t *rapid.T) {
			if rapid.IntRange(0, 4).Draw(t, "really") > 0 {
				t.Skip("rare")
			}
			f.totals = limits(rapid.Int64Range(1, 3).Draw(t, "scale"))
			f.oracle.raise(f.totals)
		},
		"rest": changing(func(t *rapid.T) {
			if rapid.IntRange(0, 4).Draw(t, "really") > 0 {
				t.Skip("rare")
			}
			f.rest()
		}),
	}
}
