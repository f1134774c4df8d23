package balance

import (
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/world/routing"
)

// Guards against attempts that end at the deadline and leave open whether the request ran, and
// against a run time learned too long that no request may correct.
func TestRequestThatMustNotRunTwiceIsSentOnlyInTime(t *testing.T) {
	for _, c := range []struct {
		name               string
		pace, load         int
		remaining          clock.Millis
		work               document.Work
		isSent, isCapacity bool
	}{
		{"enough time", UsualPace, 0, 400, document.WorkOrder, true, false},
		{"too little time", UsualPace, 0, 340, document.WorkOrder, false, false},
		{"too little time, may be repeated", UsualPace, 0, 340, document.WorkCatalogue, true, false},
		{"too little time, no rule without pace", 0, 0, 340, document.WorkOrder, true, false},
		{"too little time behind a queue", UsualPace, testSlots + 2, 400, document.WorkOrder, false, true},
		{"enough time behind a queue", UsualPace, testSlots + 2, 1200, document.WorkOrder, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(1)
			route := &routing.Route{Name: "order", Work: c.work, TargetLatency: 800, Timeout: 3000, MaxAttempts: 1}
			short := requestOn(route, "")
			short.Remaining = c.remaining
			for range 2 * minKnownRuns {
				grant := f.place(t, requestOn(route, ""))
				f.manual.Advance(300)
				grant.Done(Result{Outcome: Answered, Running: 0, Pace: c.pace})
			}
			f.manual.Advance(maxReportAge)
			f.balancer.UpdatePeers(map[string]int{"e00": c.load}, testVMs(8))
			_, err := f.balancer.Place(short)
			if c.isSent {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			refusal, _ := fault.As[*reason.Refusal](err)
			g.Expect(refusal.Ran).To(Equal(reason.RanNo))
			g.Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
			g.Expect(refusal.Reason).To(Equal(map[bool]reason.Reason{true: reason.RegionFull, false: reason.DeadlinePassed}[c.isCapacity]))
			g.Expect(LacksCapacity(err)).To(Equal(c.isCapacity))
			f.manual.Advance(knownRunTime)
			f.place(t, short) // the run time is not known any longer
		})
	}
}
