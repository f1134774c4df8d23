package canary_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/canary"
	"baobabladder.example/baobabladder/internal/world/directory"
)

const (
	trialDuration = 12 * clock.Second
	share         = 0.1
)

// trial is a Guard of one VM in a move.
type trial struct {
	manual *clock.Manual
	guard  *canary.Guard
	// sent and sentNew count all requests and those sent to the new version.
	sent, sentNew int
}

func newTrial() *trial {
	manual := &clock.Manual{}
	t := &trial{manual: manual, guard: &canary.Guard{Clock: manual.Clock(), MaxShare: share}}
	t.update(directory.MoveRunning)
	return t
}

func (t *trial) update(state directory.MoveState) {
	t.guard.Update(map[string]directory.Move{"s": {Service: "s", TargetVersion: "v2", MaxDuration: trialDuration, FirstSeen: t.manual.Clock().Now(), State: state}})
}

// run sends a request every 10 ms for the given duration. Of the requests sent to the
// new version, those whose number is a multiple of badNew fail, and likewise badOld for
// the old version. With 0 none fails.
func (t *trial) run(duration clock.Millis, badNew, badOld int) {
	for end := t.manual.Clock().Now() + duration; t.manual.Clock().Now() < end; t.manual.Advance(10) {
		t.sent++
		version, bad := "v1", badOld
		if t.guard.Choose("s", "").Allows("v2") {
			version, bad = "v2", badNew
			t.sentNew++
		}
		outcome := canary.Good
		if bad > 0 && t.sent%bad == 0 {
			outcome = canary.Failed
		}
		t.guard.Record("s", version, canary.Result{Outcome: outcome})
	}
}

func (t *trial) verdict() directory.MoveState {
	verdicts := t.guard.PendingVerdicts()
	if len(verdicts) == 0 {
		return directory.MoveRunning
	}
	return verdicts[0].State
}

func TestGoodVersionCompletesBeforeDeadline(t *testing.T) {
	g := NewWithT(t)
	trial := newTrial()
	trial.run(trialDuration/2, 0, 0)
	g.Expect(trial.verdict()).To(Equal(directory.MoveRunning))
	trial.run(trialDuration/2-clock.Second, 0, 0)
	g.Expect(trial.verdict()).To(Equal(directory.MoveDone))
	g.Expect(float64(trial.sentNew)).To(BeNumerically("<=", share*float64(trial.sent)))
	g.Expect(trial.sentNew).To(BeNumerically(">", 0))
}

func TestBadVersionIsRolledBackAndGetsNoRequests(t *testing.T) {
	for name, healthy := range map[string]clock.Millis{"at once": 0, "late": 6 * clock.Second} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			trial := newTrial()
			trial.run(healthy, 0, 0)
			trial.run(3*clock.Second, 1, 0)
			g.Expect(trial.verdict()).To(Equal(directory.MoveRolledBack))
			before := trial.sentNew
			trial.run(2*clock.Second, 1, 0)
			g.Expect(trial.sentNew).To(Equal(before))
		})
	}
}

// Failures that affect both versions alike must not cause a rollback.
func TestFailuresOfBothVersionsDoNotRollBack(t *testing.T) {
	g := NewWithT(t)
	trial := newTrial()
	trial.run(trialDuration-3*clock.Second, 3, 3)
	g.Expect(trial.verdict()).To(Equal(directory.MoveRunning))
}

func TestPeerVerdictIsAdopted(t *testing.T) {
	g := NewWithT(t)
	trial := newTrial()
	trial.guard.SetPeerEvidence("vm-2", map[string]canary.Evidence{"s": {To: "v2", Bad: true}})
	g.Expect(trial.verdict()).To(Equal(directory.MoveRolledBack))
	g.Expect(trial.guard.Choose("s", "").Allows("v2")).To(BeFalse())
}

func TestEvidenceOfAllVMsIsCombined(t *testing.T) {
	g := NewWithT(t)
	trial := newTrial()
	for _, peer := range []string{"vm-2", "vm-3", "vm-4", "vm-5"} {
		trial.guard.SetPeerEvidence(peer, map[string]canary.Evidence{"s": {To: "v2", Whole: canary.VersionCounts{New: canary.Counts{Answers: 3, Failed: 1}, Old: canary.Counts{Answers: 30}}}})
	}
	g.Expect(trial.verdict()).To(Equal(directory.MoveRolledBack))
}

// A VM that starts during a move must adopt the age of the trial from its peers.
func TestMoveAgeIsLearnedFromPeers(t *testing.T) {
	g := NewWithT(t)
	trial := newTrial()
	trial.manual.Advance(clock.Second)
	trial.guard.SetPeerEvidence("vm-2", map[string]canary.Evidence{"s": {To: "v2", Age: trialDuration - clock.Second}})
	g.Expect(trial.verdict()).To(Equal(directory.MoveDone))
}

// Once a move is done, its target version must get all requests of the service; once it
// is rolled back, none. Other services are not affected.
func TestChooseAfterMoveHasEnded(t *testing.T) {
	g := NewWithT(t)
	trial := newTrial()
	trial.update(directory.MoveDone)
	g.Expect(trial.guard.Choose("s", "")).To(Equal(canary.Choice{Only: "v2"}))
	trial.update(directory.MoveRolledBack)
	g.Expect(trial.guard.Choose("s", "")).To(Equal(canary.Choice{Not: "v2"}))
	g.Expect(trial.guard.Choose("another service", "").Allows("v2")).To(BeTrue())
}

// Guards against a request that waited and runs on a version that was found bad meanwhile, and
// against one that keeps to the old version after the move.
func TestRecheckFollowsTheMove(t *testing.T) {
	g := NewWithT(t)
	trial := newTrial()
	onTrial, others := canary.Choice{Only: "v2", Pack: true, PackOffset: 3}, canary.Choice{Not: "v2"}
	g.Expect(trial.guard.Recheck("s", onTrial)).To(Equal(onTrial))
	g.Expect(trial.guard.Recheck("s", canary.Choice{})).To(Equal(others))
	trial.update(directory.MoveRolledBack)
	g.Expect(trial.guard.Recheck("s", onTrial)).To(Equal(others))
	trial.update(directory.MoveDone)
	g.Expect(trial.guard.Recheck("s", others)).To(Equal(canary.Choice{Only: "v2"}))
	g.Expect(trial.guard.Recheck("another service", onTrial)).To(Equal(canary.Choice{}))
}

// ofNew returns the counts of good requests on the new version.
func ofNew(answers int) canary.VersionCounts {
	return canary.VersionCounts{New: canary.Counts{Answers: answers}}
}

func TestMergeEvidenceKeepsBadAndMaxAge(t *testing.T) {
	g := NewWithT(t)
	sum := canary.MergeEvidence([]map[string]canary.Evidence{
		{"s": {To: "v2", Age: 5, Whole: ofNew(1)}},
		{"s": {To: "v2", Age: 9, Whole: ofNew(2), Recent: ofNew(1), Bad: true}, "r": {To: "v1", Whole: canary.VersionCounts{Old: canary.Counts{Failed: 1}}}},
		{"s": {To: "v3", Whole: ofNew(7)}},
	})
	g.Expect(sum["s"]).To(Equal(canary.Evidence{To: "v2", Age: 9, Whole: ofNew(3), Recent: ofNew(1), Bad: true}))
	g.Expect(sum["r"].Whole.Old.Failed).To(Equal(1))
}

// A good version was rolled back after three of its first twelve responses were late,
// because its endpoints did not have the objects cached yet.
func TestFewLateAnswersAtStartDoNotRollBack(t *testing.T) {
	g := NewWithT(t)
	trial := newTrial()
	for i := range 12 {
		outcome := canary.Good
		if i%4 == 0 {
			outcome = canary.Late
		}
		trial.guard.Record("s", "v2", canary.Result{Outcome: outcome})
		trial.run(200, 0, 0)
	}
	g.Expect(trial.verdict()).To(Equal(directory.MoveRunning))
}

func TestVersionWithOnlyLateAnswersIsRolledBack(t *testing.T) {
	g := NewWithT(t)
	trial := newTrial()
	for range 12 {
		trial.guard.Record("s", "v2", canary.Result{Outcome: canary.Late})
		trial.run(200, 0, 0)
	}
	g.Expect(trial.verdict()).To(Equal(directory.MoveRolledBack))
}

// record records requests on both versions in turn, 0.1 s apart, with the given
// outcomes.
func (t *trial) record(turns int, ofNew, ofOld func(turn int) canary.Outcome) {
	for turn := range turns {
		t.guard.Record("s", "v2", canary.Result{Outcome: ofNew(turn)})
		t.guard.Record("s", "v1", canary.Result{Outcome: ofOld(turn)})
		t.manual.Advance(100)
	}
}

// some returns a function that gives the outcome to the first count requests of every
// cycle of requests and Good to the others.
func some(outcome canary.Outcome, count, cycle int) func(turn int) canary.Outcome {
	return func(turn int) canary.Outcome {
		if turn%cycle < count {
			return outcome
		}
		return canary.Good
	}
}

func TestVerdictDependsOnNumberAndLatenessOfAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		ofNew, ofOld func(turn int) canary.Outcome
		verdict      directory.MoveState
	}{
		// The move to this version was completed when LateWeight was 0.5, because its
		// late responses then hardly exceeded the margin.
		"two of five late": {some(canary.Late, 8, 20), some(canary.Late, 1, 20), directory.MoveRolledBack},
		// The move to this version was completed when the weight did not depend on how
		// late a response was.
		"one of four much later than typical": {some(canary.Slow, 1, 4), some(canary.Late, 1, 60), directory.MoveRolledBack},
		// If one of four endpoints is slow, the version need not be bad.
		"one of four late": {some(canary.Late, 1, 4), some(canary.Late, 0, 4), directory.MoveRunning},
	} {
		t.Run(name, func(t *testing.T) {
			trial := newTrial()
			trial.record(60, c.ofNew, c.ofOld)
			NewWithT(t).Expect(trial.verdict()).To(Equal(c.verdict))
		})
	}
}

// The move to a version that failed three of ten responses was completed. Its service
// has two requests per second on trial, so the responses of the last seconds were too
// few for a verdict.
func TestVerdictOnFewRequestsUsesWholeTrial(t *testing.T) {
	g := NewWithT(t)
	trial := newTrial()
	for i := range 20 {
		trial.guard.Record("s", "v2", canary.Result{Outcome: some(canary.Failed, 3, 10)(i)})
		trial.manual.Advance(600)
	}
	g.Expect(trial.verdict()).To(Equal(directory.MoveRolledBack))
}

// At one request per second on trial, a version that fails three of ten responses shows
// fewer than three failures in one of four trials.
func TestTwoFailuresInShortTrialRollBack(t *testing.T) {
	for failures, state := range map[int]directory.MoveState{1: directory.MoveDone, 2: directory.MoveRolledBack} {
		g := NewWithT(t)
		trial := newTrial()
		for i := range 12 {
			outcome := canary.Good
			if i%6 == 0 && i/6 < failures {
				outcome = canary.Failed
			}
			trial.guard.Record("s", "v2", canary.Result{Outcome: outcome})
			trial.guard.Record("s", "v1", canary.Result{Outcome: some(canary.Late, 1, 4)(i)})
			for range 9 {
				trial.guard.Record("s", "v1", canary.Result{})
			}
		}
		trial.guard.Record("s", "v1", canary.Result{Outcome: canary.Failed})
		g.Expect(trial.verdict()).To(Equal(directory.MoveRunning))
		trial.manual.Advance(trialDuration - clock.Second)
		g.Expect(trial.verdict()).To(Equal(state), "%d failures", failures)
	}
}
