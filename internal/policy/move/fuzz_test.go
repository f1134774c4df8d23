package move

import (
	"testing"

	"pgregory.net/rapid"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// oracle counts by itself what must hold.
type oracle struct {
	fleet *fleet
	// exposed and total count by VM and route since the attempt began.
	exposed, total map[[2]int]int
	attempt        int64
	// shownAt is when a VM's own answers first showed a fault plainly.
	shownAt map[int]clock.Millis
	// failures counts failures of the new version by VM and route.
	failures map[[2]int]int
	// takenBack is the newest attempt that the store showed as taken back.
	takenBack int64
}

func newOracle(f *fleet) *oracle {
	o := &oracle{fleet: f}
	o.restart(0)
	return o
}

func (o *oracle) restart(attempt int64) {
	o.attempt = attempt
	o.exposed, o.total = map[[2]int]int{}, map[[2]int]int{}
	o.shownAt = map[int]clock.Millis{}
	o.failures = map[[2]int]int{}
}

// saw checks one choice against the counts.
func (o *oracle) saw(t *rapid.T, vm, route int, choice Choice, outcome Outcome, isBad bool) {
	if state := o.fleet.state; state != nil && state.Attempt != o.attempt {
		o.restart(state.Attempt)
	}
	at := [2]int{vm, route}
	if !choice.Refuse {
		o.total[at]++
	}
	if !choice.New {
		return
	}
	o.exposed[at]++
	now := o.fleet.manual.Clock().Now()
	if shown, is := o.shownAt[vm]; is && now-shown >= 3*clock.Second {
		t.Fatalf("vm %d used the bad version %d ms after its fault showed there", vm, now-shown)
	}
	if choice.attempt == o.takenBack && !o.fleet.deaf[vm] {
		t.Fatalf("vm %d used attempt %d, which was taken back", vm, choice.attempt)
	}
	state := o.fleet.state
	if state.Stage == Canary && o.exposed[at]*Whole > CanaryShare*o.total[at] {
		t.Fatalf("vm %d sent %d of %d on route %d to a version not judged", vm, o.exposed[at], o.total[at], route)
	}
	if isBad && outcome == Bad {
		o.failures[at]++
		// Half of a route's answers failed, and none of the old version's.
		if _, is := o.shownAt[vm]; !is && o.failures[at] >= 2 && 2*o.failures[at] >= o.exposed[at] {
			o.shownAt[vm] = now
		}
	}
}

// Moves are played with VMs that lose contact, movers of old terms that write
// late, new documents and versions that turn bad at any time.
func TestMoveFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shiftCap := rapid.SampledFrom([]int{10, 100, 250, 1000}).Draw(t, "cap")
		f := newFleet(testService(10*clock.Minute, shiftCap, "/a/", "/b/"), 3)
		o := newOracle(f)
		isBad := false
		badRoute := 0
		var stale *State
		answer := func(isNew bool, route int) (Outcome, int64) {
			if isNew && isBad && route == badRoute {
				return Bad, 0
			}
			return Good, 20_000
		}
		t.Repeat(map[string]func(*rapid.T){
			"requests": func(t *rapid.T) {
				vm := rapid.IntRange(0, 2).Draw(t, "vm")
				route := rapid.IntRange(0, 1).Draw(t, "route")
				for range rapid.IntRange(1, 200).Draw(t, "count") {
					outcome, _ := answer(true, route)
					choice := f.request(vm, route, answer)
					o.saw(t, vm, route, choice, outcome, isBad)
				}
			},
			"time": func(_ *rapid.T) {
				f.manual.Advance(clock.Millis(rapid.IntRange(1, 60_000).Draw(t, "millis")))
			},
			"mover": func(_ *rapid.T) { f.mover() },
			"turn bad": func(t *rapid.T) {
				isBad = true
				badRoute = rapid.IntRange(0, 1).Draw(t, "route")
			},
			"lose contact":   func(t *rapid.T) { f.deaf[rapid.IntRange(0, 2).Draw(t, "vm")] = true },
			"regain contact": func(_ *rapid.T) { f.deaf = map[int]bool{}; f.publish() },
			"new lease": func(_ *rapid.T) {
				f.term++
				stale = f.state
			},
			"old mover": func(t *rapid.T) {
				// A paused holder wakes with the state and the term of before.
				input := Input{Service: f.service, Revision: f.revision, Term: f.term - 1, Now: f.manual.Clock().Wall(), Complete: true}
				next, changed := Advance(f.state, input)
				if changed && f.state != nil && f.state.Term > input.Term {
					t.Fatalf("a mover of term %d changed a state of term %d to %+v", input.Term, f.state.Term, next)
				}
				if stale != nil {
					for _, g := range f.guards {
						g.Update(f.service, stale)
					}
				}
			},
			"new document, same move": func(_ *rapid.T) { f.revision++ },
			"new document, new move": func(_ *rapid.T) {
				f.revision++
				service := *f.service
				service.Moves = append(service.Moves[:0:0], service.Moves...)
				service.Moves[0].By += clock.Minute
				f.service = &service
				isBad = false
			},
			"": func(t *rapid.T) {
				if f.state == nil {
					return
				}
				if o.takenBack == f.state.Attempt && f.state.Stage != TakenBack {
					t.Fatalf("attempt %d went on as %s", f.state.Attempt, f.state.Stage)
				}
				if f.state.Stage == TakenBack {
					o.takenBack = f.state.Attempt
				}
			},
		})
	})
}

// No request changes version faster than the cap, up or down.
func TestShiftBetweenVersionsStaysUnderCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shiftCap := rapid.SampledFrom([]int{10, 50, 250}).Draw(t, "cap")
		share := rapid.SampledFrom(steps).Draw(t, "share")
		f := newFleet(testService(clock.Hour, shiftCap, "/a/"), 1)
		state := &State{Service: "orders", Attempt: 1, From: testFrom, To: testTo, Stage: Rising, Step: 1}
		f.guards[0].Update(f.service, state)
		up := *state
		up.Share = share
		f.guards[0].Update(f.service, &up)
		old := f.shiftBounded(t, shiftCap, 0)
		f.guards[0].Suspend(Suspension{Service: "orders", Attempt: 1})
		f.shiftBounded(t, shiftCap, old)
	})
}

// shiftBounded plays 1000 requests a second until the shares stand still and
// checks the count of each second against that of the one before.
func (f *fleet) shiftBounded(t *rapid.T, shiftCap, old int) (lastOld int) {
	lastNew := -1
	lastOld = old
	for range 6 {
		newCount, oldCount := 0, 0
		for range 1000 {
			f.manual.Advance(1)
			choice := f.guards[0].Choose(f.service, &f.service.Routes[0])
			switch {
			case choice.Refuse:
			case choice.New:
				newCount++
			default:
				oldCount++
			}
		}
		// Credit saved from before may add two requests.
		if lastNew >= 0 && newCount > lastNew+shiftCap+2 {
			t.Fatalf("the new version went from %d to %d under a cap of %d", lastNew, newCount, shiftCap)
		}
		if lastNew < 0 && newCount > shiftCap+2 {
			t.Fatalf("the new version started with %d under a cap of %d", newCount, shiftCap)
		}
		if lastOld > 0 && newCount == 0 && oldCount > lastOld+shiftCap+2 {
			t.Fatalf("the old version went from %d to %d under a cap of %d", lastOld, oldCount, shiftCap)
		}
		lastNew, lastOld = newCount, oldCount
	}
	return lastOld
}
