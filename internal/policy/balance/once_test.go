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
	order := &routing.Route{Name: "order", Work: document.WorkOrder, TargetLatency: 800, Timeout: 3000, MaxAttempts: 1}
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
			route := *order
			route.Work = c.work
			place := func(remaining clock.Millis) (*Grant, error) {
				return f.balancer.Place(&Request{Route: &route, Service: testService, Remaining: remaining})
			}
			for range 2 * minKnownRuns {
				grant, err := place(order.Timeout)
				g.Expect(err).NotTo(HaveOccurred())
				f.manual.Advance(300)
				grant.Done(Result{Outcome: Answered, Running: 0, Pace: c.pace})
			}
			f.manual.Advance(maxReportAge)
			f.balancer.UpdatePeers(map[string]int{"e00": c.load}, testVMs(8))
			_, err := place(c.remaining)
			if c.isSent {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			refusal, _ := fault.As[*reason.Refusal](err)
			g.Expect(refusal.Ran).To(Equal(reason.RanNo))
			g.Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
			g.Expect(refusal.Reason == reason.RegionFull).To(Equal(c.isCapacity))
			g.Expect(refusal.Reason == reason.DeadlinePassed).To(Equal(!c.isCapacity))
			g.Expect(LacksCapacity(err)).To(Equal(c.isCapacity))
			f.manual.Advance(knownRunTime)
			_, err = place(c.remaining)
			g.Expect(err).NotTo(HaveOccurred(), "the run time is not known any longer")
		})
	}
}
