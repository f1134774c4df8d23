package divide_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/divide"
	"baobabladder.example/baobabladder/internal/world/contract"
)

// timeToRebalance sends meanLoadPercent of the rate to a single VM and returns the
// time until its share of the rate reaches four fifths of its maximum, which is one
// third of the total.
func timeToRebalance(f *fleet, v *testVM, resource contract.Resource, total contract.Share) clock.Millis {
	const step = 50 * clock.Millis(1)
	for elapsed := clock.Millis(0); elapsed < 2*clock.Minute; elapsed += step {
		if v.holder.Allocation(resource).Share().Rate*5 >= total.Rate/3*4 {
			return elapsed
		}
		f.consumeRequests(v, resource, total.Rate*meanLoadPercent/100*int64(step)/int64(clock.Second))
		f.manual.Advance(step)
		if elapsed%tickInterval == 0 {
			f.tick()
		}
	}
	return 2 * clock.Minute
}

// consumeRequests takes amount from a VM's share in whole requests.
func (f *fleet) consumeRequests(v *testVM, resource contract.Resource, amount int64) {
	for ; amount >= contract.TokensPerRequest; amount -= contract.TokensPerRequest {
		v.holder.Allocation(resource).Take(contract.TokensPerRequest)
	}
}

func TestSharesFollowDemand(t *testing.T) {
	for name, total := range map[string]contract.Share{
		"40 per second, burst 80":     {Rate: 40_000, Size: 80_000},
		"250 per second, burst 500":   {Rate: 250_000, Size: 500_000},
		"1300 per second, burst 2600": {Rate: 1_300_000, Size: 2_600_000},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			resource := contract.RateResource("artes", "large")
			f := newFleet(9, map[contract.Resource]divide.Total{resource: {Share: total}})
			f.stabilize()
			fromRest := timeToRebalance(f, f.vms[3], resource, total)
			for range 60 {
				f.consumeRequests(f.vms[3], resource, total.Rate*meanLoadPercent/100)
				f.manual.Advance(clock.Second)
				f.tick()
			}
			fromOtherVM := timeToRebalance(f, f.vms[4], resource, total)
			t.Logf("share followed demand from an idle fleet in %d ms, from another VM in %d ms", fromRest, fromOtherVM)
			g.Expect(fromRest).To(BeNumerically("<=", 1500*clock.Millis(1)))
			g.Expect(fromOtherVM).To(BeNumerically("<=", 4*clock.Second))
		})
	}
}

// A VM that is the only sender or reader on a link must also get the bytes of its
// peers, but no more than the rate and the burst of the link allow.
func TestOneVMCanUseWholeLink(t *testing.T) {
	for name, index := range map[string]int{"sending": 3, "reading": 4} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { useWholeLink(t, index) }) })
	}
}

func useWholeLink(t *testing.T, index int) {
	g := NewWithT(t)
	share := contract.Share{Rate: 1_000_000, Size: 250_000}
	f := newTimedFleet(9, map[contract.Resource]divide.Total{link: {Share: share, Location: divide.Location{Region: "r0"}, DestinationRegion: "r1"}})
	f.roundTrip = 2
	f.stabilize()
	const piece, seconds = 32 << 10, 20
	sent := int64(0)
	sender := f.vms[index]
	ctx, cancel := context.WithTimeout(t.Context(), seconds*time.Second)
	defer cancel()
	var sending sync.WaitGroup
	sending.Go(func() {
		for sender.limiter.Wait(ctx, link, piece) == nil {
			sent += piece
		}
	})
	for range seconds * 4 {
		f.advance(tickInterval)
		f.mu.Lock()
		f.tick()
		f.mu.Unlock()
	}
	sending.Wait()
	t.Logf("%d bytes sent in %d s", sent, seconds)
	g.Expect(sent).To(BeNumerically(">=", share.Rate*seconds*95/100))
	g.Expect(sent).To(BeNumerically("<=", share.Rate*seconds+share.Size))
}
