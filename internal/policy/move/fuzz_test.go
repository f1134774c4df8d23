package move

import (
	"testing"

	"pgregory.net/rapid"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// vmRoute identifies one route on one VM in one attempt.
type vmRoute struct {
	vm, route int
	attempt   int64
}

// oracle keeps its own counts to check the guarantees of a move.
type oracle struct {
	fleet          *fleet
	exposed, total map[vmRoute]int
	// failures counts the failures of the new version.
	failures map[vmRoute]int
	// faultSeenAt is when the responses that a VM itself got on some route first showed
	// a clear fault. Its keys have the route 0.
	faultSeenAt map[vmRoute]clock.Millis
	// maxShare is the largest share that the stored state allowed in an attempt.
	maxShare map[int64]int
	// rolledBackAttempt is the newest attempt that the stored state showed as
	// rolled back.
	rolledBackAttempt int64
}

func newOracle(f *fleet) *oracle {
	return &oracle{
		fleet: f, exposed: map[vmRoute]int{}, total: map[vmRoute]int{}, failures: map[vmRoute]int{},
		faultSeenAt: map[vmRoute]clock.Millis{}, maxShare: map[int64]int{},
	}
}

// observe checks one choice against the counts.
func (o *oracle) observe(t *rapid.T, vm, route int, choice Choice, outcome Outcome) {
	if choice.IsRefused {
		return
	}
	key := vmRoute{vm, route, choice.attempt}
	o.total[key]++
	if !choice.IsNew {
		return
	}
	o.exposed[key]++
	now := o.fleet.manual.Clock().Now()
	anyRoute := vmRoute{vm: vm, attempt: choice.attempt}
	if seenAt, isSeen := o.faultSeenAt[anyRoute]; isSeen && now-seenAt >= 3*clock.Second {
		t.Fatalf("vm %d used the faulty version %d ms after its fault showed on that vm", vm, now-seenAt)
	}
	if choice.attempt == o.rolledBackAttempt && !o.fleet.disconnected[vm] {
		t.Fatalf("vm %d used the new version of attempt %d, which was rolled back", vm, choice.attempt)
	}
	if o.exposed[key]*FullShare > o.maxShare[choice.attempt]*o.total[key] {
		t.Fatalf("vm %d sent %d of %d requests on route %d to the new version, %d of 1000 are allowed", vm, o.exposed[key], o.total[key], route, o.maxShare[choice.attempt])
	}
	if outcome != Failed {
		return
	}
	o.failures[key]++
	// In this test no response of the old version fails. A fault of the new version is
	// then clear if all its responses failed and these are at least two, or if at least
	// three of them failed and these are at least half. Two failures of three responses
	// are not enough: see docs/design/moves.md.
	failures, exposed := o.failures[key], o.exposed[key]
	isClear := failures == exposed && failures >= 2 || 2*failures >= exposed && failures >= 3
	if _, isSeen := o.faultSeenAt[anyRoute]; !isSeen && isClear {
		o.faultSeenAt[anyRoute] = now
	}
}

// TestMoveFuzz runs moves in which VMs lose contact, movers of old terms write
// late, documents change and versions begin to fail, each at any time.
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
					o.observe(t, vm, route, choice, outcome)
				}
			},
			"time": func(_ *rapid.T) {
				f.manual.Advance(clock.Millis(rapid.IntRange(1, 60_000).Draw(t, "millis")))
			},
			"mover": func(_ *rapid.T) { f.runMover() },
			"turn bad": func(t *rapid.T) {
				isBad = true
				badRoute = rapid.IntRange(0, 1).Draw(t, "route")
			},
			"lose contact":   func(t *rapid.T) { f.disconnected[rapid.IntRange(0, 2).Draw(t, "vm")] = true },
			"regain contact": func(_ *rapid.T) { f.disconnected = map[int]bool{}; f.publish() },
			"new lease": func(_ *rapid.T) {
				f.term++
				stale = f.state
			},
			"old mover": func(t *rapid.T) {
				// A holder that was paused continues with the state and the term
				// from before.
				input := Input{Service: f.service, Revision: f.revision, Term: f.term - 1, Now: f.manual.Clock().Wall(), AllReplied: true}
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
				if o.rolledBackAttempt == f.state.Attempt && f.state.Stage != RolledBack {
					t.Fatalf("attempt %d changed to stage %s after its rollback", f.state.Attempt, f.state.Stage)
				}
				o.maxShare[f.state.Attempt] = max(o.maxShare[f.state.Attempt], f.state.Share)
				if f.state.Stage == RolledBack {
					o.rolledBackAttempt = f.state.Attempt
				}
			},
		})
	})
}

// The share of a version must neither rise nor fall faster than the cap allows.
func TestShiftBetweenVersionsStaysUnderCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shiftCap := rapid.SampledFrom([]int{10, 50, 250}).Draw(t, "cap")
		share := rapid.SampledFrom(stepShares).Draw(t, "share")
		f := newFleet(testService(clock.Hour, shiftCap, "/a/"), 1)
		state := &State{Service: "orders", Attempt: 1, From: testFrom, To: testTo, Stage: Ramping, Step: 1}
		f.guards[0].Update(f.service, state)
		up := *state
		up.Share = share
		f.guards[0].Update(f.service, &up)
		old := f.checkShiftCap(t, shiftCap, 0)
		f.guards[0].Suspend(Suspension{Service: "orders", Attempt: 1})
		f.checkShiftCap(t, shiftCap, old)
	})
}

// checkShiftCap sends 1000 requests per second for six seconds and compares the
// counts of each second with those of the one before.
func (f *fleet) checkShiftCap(t *rapid.T, shiftCap, old int) (lastOld int) {
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
		// Unused credit from before may add two requests.
		if lastNew >= 0 && newCount > lastNew+shiftCap+2 {
			t.Fatalf("the new version's requests per second went from %d to %d under a cap of %d", lastNew, newCount, shiftCap)
		}
		if lastNew < 0 && newCount > shiftCap+2 {
			t.Fatalf("the new version started with %d requests per second under a cap of %d", newCount, shiftCap)
		}
		if lastOld > 0 && newCount == 0 && oldCount > lastOld+shiftCap+2 {
			t.Fatalf("the old version's requests per second went from %d to %d under a cap of %d", lastOld, oldCount, shiftCap)
		}
		lastNew, lastOld = newCount, oldCount
	}
	return lastOld
}
