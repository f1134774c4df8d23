package placement

import (
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/policy/move"
)

// In a region that has all of the traffic, the credit above two requests was lost
// while requests waited for its slots. The waiting requests beyond that credit were
// then refused with region_full although slots were free.
func TestShiftCreditIsKeptWhileRequestsWait(t *testing.T) {
	const slots = 6
	g := NewWithT(t)
	service := testService(1, slots)
	service.ShiftCap = 250
	placer, _, manual := testPlacer(service)
	warmUp(placer, service)
	request := testRequest(service)
	for range 2 {
		var running []*Grant
		for range slots {
			grant, _ := placer.tryPlace(&request, move.Choice{})
			g.Expect(grant).NotTo(BeNil())
			running = append(running, grant)
		}
		var waiters []*waiter
		for range slots {
			w := &waiter{request: &request, granted: make(chan *Grant, 1), spillAt: placer.Clock.Now() + minQueueWait}
			grant, _ := placer.tryPlace(&request, move.Choice{})
			g.Expect(grant).To(BeNil())
			placer.services["orders"].enqueue(w, placer.Clock.Now())
			waiters = append(waiters, w)
		}
		for _, grant := range running {
			grant.Done(answeredResult(10_000))
		}
		for i, w := range waiters {
			var grant *Grant
			g.Expect(w.granted).To(Receive(&grant), "waiter %d of %d got no slot", i, slots)
			g.Expect(grant.Endpoint.Region).To(Equal("lothian"))
			grant.Done(answeredResult(10_000))
		}
		manual.Advance(shiftWindow)
	}
}
