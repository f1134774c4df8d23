package canary_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/canary"
	"baobabladder.example/baobabladder/internal/world/directory"
)

// phase is a part of a trial: in each of its turns, 100 ms apart, the new version runs one
// request and the old one oldPerNew.
type phase struct {
	turns, oldPerNew int
	ofNew, ofOld     func(turn int) canary.Result
}

// outcomes returns a function that gives the result to the first count requests of every
// cycle of requests and a good one to the others.
func outcomes(result canary.Result, count, cycle int) func(turn int) canary.Result {
	return func(turn int) canary.Result {
		if turn%cycle < count {
			return result
		}
		return canary.Result{IsTight: result.IsTight}
	}
}

var (
	slow   = canary.Result{Outcome: canary.Slow}
	failed = canary.Result{Outcome: canary.Failed}
	ended  = canary.Result{Outcome: canary.Ended}
	tight  = canary.Result{Outcome: canary.Late, IsTight: true}
)

// expectOutcome plays a trial and checks its verdict at the deadline.
func expectOutcome(t *testing.T, state directory.MoveState, phases ...phase) {
	t.Helper()
	trial := newTrial()
	for _, p := range phases {
		trial.play(p)
	}
	NewWithT(t).Expect(trial.outcome()).To(Equal(state))
}

func good(int) canary.Result { return canary.Result{} }

func (t *trial) play(p phase) {
	for turn := range p.turns {
		t.guard.Record("s", "v2", p.ofNew(turn))
		for i := range p.oldPerNew {
			t.guard.Record("s", "v1", p.ofOld(turn*p.oldPerNew+i))
		}
		t.manual.Advance(100)
	}
}

// outcome returns the verdict at the deadline.
func (t *trial) outcome() directory.MoveState {
	if state := t.verdict(); state != directory.MoveRunning {
		return state
	}
	t.manual.Advance(trialDuration - t.manual.Clock().Now())
	return t.verdict()
}

// Versions were completed that were bad less often than a fixed margin allowed, or whose
// faults were hidden by requests that ended under the old version, or began late.
func TestBadVersionIsNotCompleted(t *testing.T) {
	for name, phases := range map[string][]phase{
		"one of eight slow":                    {{100, 6, outcomes(slow, 1, 8), good}},
		"one of eight failed":                  {{100, 6, outcomes(failed, 1, 8), good}},
		"one of five slow, few answers":        {{35, 10, outcomes(slow, 1, 5), outcomes(ended, 1, 9)}},
		"one of five failed, the old ended":    {{40, 14, outcomes(failed, 1, 5), outcomes(ended, 1, 10)}},
		"one of two failed in the last 2 s":    {{70, 8, good, good}, {20, 8, outcomes(failed, 1, 2), good}},
		"one of three slow in the last 2 s":    {{70, 8, good, good}, {20, 8, outcomes(slow, 1, 3), good}},
		"one of two late, all with tight time": {{40, 8, outcomes(tight, 1, 2), outcomes(tight, 1, 20)}},
	} {
		t.Run(name, func(t *testing.T) { expectOutcome(t, directory.MoveRolledBack, phases...) })
	}
}

// A fault that began 2.3 s before the deadline went unseen, because the
// decision was taken 2.5 s before the deadline.
func TestFaultThatBeginsShortlyBeforeDeadlineIsSeen(t *testing.T) {
	trial := newTrial()
	trial.play(phase{97, 8, good, good})
	g := NewWithT(t)
	g.Expect(trial.verdict()).To(Equal(directory.MoveRunning))
	trial.play(phase{11, 8, outcomes(failed, 1, 2), good})
	g.Expect(trial.outcome()).To(Equal(directory.MoveRolledBack))
}

// Disturbances that show nothing of the version must not roll a good one back.
func TestGoodVersionIsCompletedBesideDisturbances(t *testing.T) {
	for name, phases := range map[string][]phase{
		"one of a hundred failed":           {{90, 8, outcomes(failed, 1, 100), outcomes(failed, 1, 150)}},
		"both end alike":                    {{90, 8, outcomes(ended, 1, 10), outcomes(ended, 1, 11)}},
		"both slow alike":                   {{90, 8, outcomes(slow, 1, 6), outcomes(slow, 1, 6)}},
		"one of five late, with tight time": {{60, 8, outcomes(tight, 1, 5), outcomes(tight, 1, 20)}},
		"one failed of a few":               {{12, 12, outcomes(failed, 1, 12), outcomes(failed, 1, 100)}},
		"both fail alike in the last 2 s":   {{70, 8, good, good}, {20, 8, outcomes(failed, 1, 4), outcomes(failed, 1, 4)}},
	} {
		t.Run(name, func(t *testing.T) { expectOutcome(t, directory.MoveDone, phases...) })
	}
}

// A VM that has lost its links to endpoints sees slow and ended requests of both versions.
// They must not hide the slowness that the other VMs see.
func TestDisturbedVMDoesNotHideBadVersion(t *testing.T) {
	trial := newTrial()
	trial.play(phase{30, 8, outcomes(slow, 1, 4), good})
	cut := canary.Counts{Answers: 60, Slow: 45}
	trial.guard.SetPeerEvidence("vm-2", map[string]canary.Evidence{"s": {
		To:    "v2",
		Whole: canary.VersionCounts{New: canary.Counts{Answers: 1, Slow: 1}, Old: cut}, Recent: canary.VersionCounts{Old: cut},
	}})
	NewWithT(t).Expect(trial.outcome()).To(Equal(directory.MoveRolledBack))
}

// A bad version of a service with few requests was completed: its trial had no answers.
func TestQuietServiceIsTriedWithExtraRequests(t *testing.T) {
	const (
		vms      = 8
		maxExtra = 50
	)
	manual := &clock.Manual{}
	sent, sentNew := 0, 0
	guards := make([]*canary.Guard, vms)
	for i := range guards {
		guards[i] = &canary.Guard{Clock: manual.Clock(), VM: fmt.Sprint("vm-", i), MaxShare: share, MaxExtra: maxExtra}
		guards[i].SetVMs(vms)
		guards[i].Update(map[string]directory.Move{"s": {Service: "s", TargetVersion: "v2", MaxDuration: trialDuration, State: directory.MoveRunning}})
	}
	for manual.Clock().Now() < trialDuration {
		for _, guard := range guards {
			sent++
			if guard.Choose("s", "").Allows("v2") {
				sentNew++
			}
		}
		manual.Advance(1500)
	}
	g := NewWithT(t)
	g.Expect(sentNew).To(BeNumerically(">=", 20))
	g.Expect(float64(sentNew)).To(BeNumerically("<=", share*float64(sent)+maxExtra))
}

// Good versions were late with every object at first. One part of the objects is tried, so
// that the new version's endpoints have them cached.
func TestTrialPrefersPartOfObjects(t *testing.T) {
	g := NewWithT(t)
	trial := newTrial()
	tried := map[string]int{}
	for turn := range 4000 {
		object := fmt.Sprint("object-", turn%40)
		if trial.guard.Choose("s", object).Allows("v2") {
			tried[object]++
		}
	}
	sum := 0
	for _, count := range tried {
		sum += count
	}
	g.Expect(len(tried)).To(BeNumerically("<", 20))
	g.Expect(sum).To(BeNumerically(">", 250), "the share must be used")
}
