package move

import (
	"math/rand/v2"
	"testing"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// moveWithStalls moves to a version that takes newMicros for a request, the old one 20 ms.
// Requests come in rounds. In some rounds all VMs and endpoints stall, so that what is in
// flight takes longer, of both versions alike.
func moveWithStalls(seed uint64, stallChance float64, newMicros int64) *fleet {
	const deadline, roundsPerSecond, inParallel = 30 * clock.Second, 20, 12
	f := newFleet(testService(deadline, 250, "/a/"), 9)
	random := rand.New(rand.NewPCG(seed, 20261206))
	route := &f.service.Routes[0]
	for round := 0; f.manual.Clock().Now() < deadline; round++ {
		if round%roundsPerSecond == 0 {
			f.runMover()
		}
		var vms [inParallel]int
		var choices [inParallel]Choice
		for i := range inParallel {
			vms[i] = random.IntN(len(f.guards))
			choices[i] = f.guards[vms[i]].Choose(f.service, route)
		}
		var stall clock.Millis
		if random.Float64() < stallChance {
			stall = 50 + clock.Millis(random.Int64N(450))
		}
		f.manual.Advance(clock.Second/roundsPerSecond + stall)
		for i, choice := range choices {
			micros := int64(20_000)
			if choice.IsNew {
				micros = newMicros
			}
			if !choice.IsRefused {
				f.guards[vms[i]].Record(f.service, route, choice, Succeeded, micros*(80+random.Int64N(41))/100+1000*int64(stall))
			}
		}
	}
	return f
}

// Guards against withdrawing a good version because some of its few responses, and as many
// of the old version's, came out of the same stalls.
func TestStallsDoNotCauseRollback(t *testing.T) {
	const runs, allowed = 200, 1
	rolledBack := 0
	for seed := range uint64(runs) {
		f := moveWithStalls(seed, 0.05, 20_000)
		if last := f.state.History[len(f.state.History)-1]; last.Stage == RolledBack {
			rolledBack++
			t.Logf("run %d: %s", seed, last.Why)
		}
	}
	if rolledBack > allowed {
		t.Errorf("%d of %d good versions rolled back, %d allowed", rolledBack, runs, allowed)
	}
}

func TestStallsDoNotHideSlowVersion(t *testing.T) {
	for seed := range uint64(40) {
		if f := moveWithStalls(seed, 0.05, 40_000); f.state.Stage != RolledBack {
			t.Errorf("run %d: stage %s", seed, f.state.Stage)
		}
	}
}

// countsWith returns counts of responses, of which some took twenty times as long.
func countsWith(responses, slow int64) Counts {
	counts := Counts{}
	for i := range responses {
		micros := int64(20_000)
		if i < slow {
			micros *= 20
		}
		counts.record(true, false, micros)
	}
	return counts
}

// Guards against judging a window by the old version's latency at other times.
func TestSlowResponsesAreComparedAtTheSameTime(t *testing.T) {
	attempt := VersionCounts{New: countsWith(267, 26), Old: countsWith(1149, 74)}
	for _, c := range []struct {
		window  VersionCounts
		isFault bool
	}{
		{VersionCounts{New: countsWith(26, 9), Old: countsWith(9, 2)}, false},
		{VersionCounts{New: countsWith(9, 5), Old: countsWith(108, 8)}, false},
		{VersionCounts{New: countsWith(26, 16), Old: countsWith(9, 2)}, true},
		{VersionCounts{New: countsWith(9, 8), Old: countsWith(108, 8)}, true},
	} {
		if reason := c.window.fault(&attempt, 50); (reason != "") != c.isFault {
			t.Errorf("new %d, old %d responses: fault %q", c.window.New.Answers, c.window.Old.Answers, reason)
		}
	}
}
