package move

import (
	"testing"

	"pgregory.net/rapid"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// place is one VM's part of a route in one attempt.
type place struct {
	vm, route int
	attempt   int64
}

// oracle counts by itself what must hold.
type oracle struct {
	fleet          *fleet
	exposed, total map[place]int
	// failures counts the new version's.
	failures map[place]int
	// shownAt is when a VM's own answers first showed a fault plainly.
	shownAt map[place]clock.Millis
	// most is the largest share that the store allowed in an attempt.
	most map[int64]int
	// takenBack is the newest attempt that the store showed as taken back.
	takenBack int64
}

func newOracle(f *fleet) *oracle {
	return &oracle{
		fleet: f, exposed: map[place]int{}, total: map[place]int{}, failures: map[place]int{},
		shownAt: map[place]clock.Millis{}, most: map[int64]int{},
	}
}

// saw checks one choice against the counts.
func (o *oracle) saw(t *rapid.T, vm, route int, choice Choice, outcome Outcome) {
	if choice.IsRefused {
		return
	}
	at := place{vm, route, choice.attempt}
	o.total[at]++
	if !choice.IsNew {
		return
	}
	o.exposed[at]++
	now := o.fleet.manual.Clock().Now()
	whole := place{vm: vm, attempt: choice.attempt}
	if shown, is := o.shownAt[whole]; is && now-shown >= 3*clock.Second {
		t.Fatalf("vm %d used the bad version %d ms after its fault showed there", vm, now-shown)
	}
	if choice.attempt == o.takenBack && !o.fleet.deaf[vm] {
		t.Fatalf("vm %d used attempt %d, which was taken back", vm, choice.attempt)
	}
	if o.exposed[at]*FullShare > o.most[choice.attempt]*o.total[at] {
		t.Fatalf("vm %d sent %d of %d on route %d, %d of 1000 are allowed", vm, o.exposed[at], o.total[at], route, o.most[choice.attempt])
	}
	if outcome != Failed {
		return
	}
	o.failures[at]++
	// Of the new version's answers all failed, or many and half of them, and none
	// of the old version's. Two of three are not enough: see docs/design/moves.md.
	failures, exposed := o.failures[at], o.exposed[at]
	isPlain := failures == exposed && failures >= 2 || 2*failures >= exposed && failures >= 3
	if _, is := o.shownAt[whole]; !is && isPlain {
		o.shownAt[whole] = now
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
				return Failed, 0
			}
			return Succeeded, 20_000
		}
		t.Repeat(map[string]func(*rapid.T){
			"requests": func(t *rapid.T) {
				vm := rapid.IntRange(0, 2).Draw(t, "vm")
				route := rapid.IntRange(0, 1).Draw(t, "route")
				for range rapid.IntRange(1, 200).Draw(t, "count") {
					outcome, _ := answer(true, route)
					choice := f.request(vm, route, answer)
					o.saw(t, vm, route, choice, outcome)
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
				input := Input{Service: f.service, Revision: f.revision, Term: f.term - 1, Now: f.manual.Clock().Wall(), AllAnswered: true}
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
				service.Moves[0].Deadline += clock.Minute
				f.service = &service
				isBad = false
			},
			"": func(t *rapid.T) {
				if f.state == nil {
					return
				}
				if o.takenBack == f.state.Attempt && f.state.Stage != RolledBack {
					t.Fatalf("attempt %d went on as %s", f.state.Attempt, f.state.Stage)
				}
				o.most[f.state.Attempt] = max(o.most[f.state.Attempt], f.state.Share)
				if f.state.Stage == RolledBack {
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
		state := &State{Service: "orders", Attempt: 1, From: testFrom, To: testTo, Stage: Ramping, Step: 1}
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
			case choice.IsRefused:
			case choice.IsNew:
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
