package canary_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/canary"
	"baobabladder.example/baobabladder/internal/world/directory"
)

// killedAt is the age of the move at which the VMs of these tests are killed.
const killedAt = trialDuration - 2*clock.Second

// restartedTrial returns the trial of a VM that starts again killedAt after the order.
func restartedTrial() *trial {
	manual := &clock.Manual{}
	manual.Advance(killedAt)
	t := &trial{manual: manual, guard: &canary.Guard{Clock: manual.Clock(), MaxShare: share}}
	t.guard.Update(map[string]directory.Move{"s": {Service: "s", TargetVersion: "v2", MaxDuration: trialDuration, State: directory.MoveRunning}})
	return t
}

// setRecorded gives the VM what the store holds of the trial.
func (t *trial) setRecorded(evidence canary.Evidence) {
	evidence.To = "v2"
	t.guard.SetRecorded("s", evidence)
}

// observed returns evidence that was recorded a second before the VMs were killed.
func observed(answers, slow int) canary.Evidence {
	return canary.Evidence{
		Age: killedAt - clock.Second,
		Whole: canary.VersionCounts{
			New: canary.Counts{Answers: answers, Slow: slow},
			Old: canary.Counts{Answers: 10 * answers},
		},
	}
}

// Guards against a bad version that is completed because all VMs that knew of its answers
// were killed before its deadline.
func TestMoveIsNotCompletedWithoutAnyObservation(t *testing.T) {
	g := NewWithT(t)
	trial := restartedTrial()
	trial.manual.Advance(2 * clock.Second)
	g.Expect(trial.verdict()).To(Equal(directory.MoveRunning), "nothing is known at the deadline")
	trial.run(trialDuration/2, 0, 0)
	g.Expect(trial.verdict()).To(Equal(directory.MoveDone), "half of the trial has been observed since")
}

// Guards against the same for a version whose answers were recorded, and against a good
// version that misses its deadline for it.
func TestRecordedAnswersDecideAfterRestart(t *testing.T) {
	for name, c := range map[string]struct {
		slow    int
		verdict directory.MoveState
	}{
		"bad":  {5, directory.MoveRolledBack},
		"good": {0, directory.MoveDone},
	} {
		t.Run(name, func(t *testing.T) {
			trial := restartedTrial()
			trial.setRecorded(observed(20, c.slow))
			trial.run(clock.Second+500, 0, 0)
			NewWithT(t).Expect(trial.verdict()).To(Equal(c.verdict))
		})
	}
}

// Guards against requests that count twice because the VMs that recorded them live on.
func TestRecordedAnswersOfLiveVMsCountOnce(t *testing.T) {
	g := NewWithT(t)
	trial := newTrial()
	trial.play(phase{40, 8, outcomes(slow, 1, 40), good})
	trial.setRecorded(canary.Evidence{
		Age:   4 * clock.Second,
		Whole: canary.VersionCounts{New: canary.Counts{Answers: 40, Slow: 1}, Old: canary.Counts{Answers: 320}},
	})
	trial.play(phase{70, 8, good, good})
	verdicts := trial.guard.PendingVerdicts()
	g.Expect(verdicts).To(HaveLen(1))
	g.Expect(verdicts[0].Evidence.Whole.New).To(Equal(canary.Counts{Answers: 110, Slow: 1}))
}

// Guards against answers that are lost because a VM that started again records only its own.
func TestAnswersBeforeAndAfterRestartAddUp(t *testing.T) {
	g := NewWithT(t)
	trial := restartedTrial()
	trial.setRecorded(observed(20, 1))
	trial.guard.Record("s", "v2", slow)
	trial.setRecorded(canary.Evidence{Age: killedAt + 100, Whole: canary.VersionCounts{New: canary.Counts{Answers: 21, Slow: 2}}})
	trial.guard.Record("s", "v2", slow)
	trial.guard.SetPeerEvidence("vm-2", map[string]canary.Evidence{"s": {
		To: "v2", ObservedFrom: killedAt, Whole: canary.VersionCounts{New: canary.Counts{Answers: 3, Slow: 2}},
	}})
	trial.manual.Advance(clock.Second)
	verdicts := trial.guard.PendingVerdicts()
	g.Expect(verdicts).To(HaveLen(1))
	g.Expect(verdicts[0].Evidence.Whole.New).To(Equal(canary.Counts{Answers: 25, Slow: 5}))
	g.Expect(verdicts[0].State).To(Equal(directory.MoveRolledBack))
}

// Guards against a move that a VM which started again completes before it hears the doubts
// of one that observed the whole trial.
func TestVMThatStartedAgainDecidesLast(t *testing.T) {
	g := NewWithT(t)
	trial := restartedTrial()
	trial.setRecorded(observed(20, 0))
	trial.manual.Advance(900)
	g.Expect(trial.verdict()).To(Equal(directory.MoveRunning))
	trial.guard.SetPeerEvidence("vm-2", map[string]canary.Evidence{"s": {To: "v2", Bad: true}})
	g.Expect(trial.verdict()).To(Equal(directory.MoveRolledBack))
}

// Guards against moves that end late because all VMs but the first to learn of them wait.
func TestVMThatLearnedOfAMoveALittleLaterDecidesInTime(t *testing.T) {
	g := NewWithT(t)
	trial := newTrial()
	trial.guard.SetPeerEvidence("vm-2", map[string]canary.Evidence{"s": {To: "v2", Age: 300}})
	trial.run(trialDuration-clock.Second-400, 0, 0)
	g.Expect(trial.verdict()).To(Equal(directory.MoveDone))
}

// The evidence on a running trial is to be recorded now and then, not at each call.
func TestEvidenceIsRecordedNowAndThen(t *testing.T) {
	g := NewWithT(t)
	trial := newTrial()
	records := 0
	for end := trialDuration - 2*clock.Second; trial.manual.Clock().Now() < end; {
		trial.play(phase{1, 8, good, good})
		for _, verdict := range trial.guard.PendingVerdicts() {
			g.Expect(verdict.State).To(Equal(directory.MoveRunning))
			trial.guard.SetRecorded("s", verdict.Evidence)
			records++
		}
	}
	g.Expect(records).To(BeNumerically("~", 5, 1))
}
