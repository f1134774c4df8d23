package placement

import (
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/policy/move"
)

// A region that has all of the traffic lost the credit above 2 requests while
// requests waited for its slots. Those beyond the credit were then refused as
// region_full beside free slots.
func TestRequestsWaitedBesideFreeSlotsForLostShiftCredit(t *testing.T) {
	const slots = 6
	g := NewWithT(t)
	service := testService(1, slots)
	service.ShiftCap = 250
	placer, _, manual := testPlacer(service)
	warm(placer, service)
	request := testRequest(service)
	for range 2 {
		var running []*Grant
		for range slots {
			grant, _ := placer.try(&request, move.Choice{})
			g.Expect(grant).NotTo(BeNil())
			running = append(running, grant)
		}
		var waiting []*waiter
		for range slots {
			w := &waiter{request: &request, granted: make(chan *Grant, 1), spillAt: placer.Clock.Now() + queueWait}
			grant, _ := placer.try(&request, move.Choice{})
			g.Expect(grant).To(BeNil())
			placer.plans["orders"].push(w, placer.Clock.Now())
			waiting = append(waiting, w)
		}
		for _, grant := range running {
			grant.Done(good(10_000))
		}
		for i, w := range waiting {
			var grant *Grant
			g.Expect(w.granted).To(Receive(&grant), "waiter %d of %d got no slot", i, slots)
			g.Expect(grant.Endpoint.Region).To(Equal("lothian"))
			grant.Done(good(10_000))
		}
		manual.Advance(shiftWindow)
	}
}
