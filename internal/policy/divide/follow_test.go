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

// follow returns how long the share of the VM that gets all calls takes to reach
// four fifths of the cap of a third, at conforming load.
func follow(f *fleet, n *node, resource contract.Resource, total contract.Share) clock.Millis {
	const step = 50 * clock.Millis(1)
	for took := clock.Millis(0); took < 2*clock.Minute; took += step {
		if n.holder.Allocation(resource).Share().Rate*5 >= total.Rate/3*4 {
			return took
		}
		f.call(n, resource, total.Rate*conforming/100*int64(step)/int64(clock.Second))
		f.manual.Advance(step)
		if took%tickInterval == 0 {
			f.tick()
		}
	}
	return 2 * clock.Minute
}

// call lets a VM's callers ask for an amount in whole requests.
func (f *fleet) call(n *node, resource contract.Resource, amount int64) {
	for ; amount >= contract.TokensPerRequest; amount -= contract.TokensPerRequest {
		n.holder.Allocation(resource).Take(contract.TokensPerRequest)
	}
}

func TestSharesFollowTheCalls(t *testing.T) {
	for name, total := range map[string]contract.Share{
		"40 per second, burst 80":     {Rate: 40_000, Size: 80_000},
		"250 per second, burst 500":   {Rate: 250_000, Size: 500_000},
		"1300 per second, burst 2600": {Rate: 1_300_000, Size: 2_600_000},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			resource := contract.RateResource("artes", "large")
			f := newFleet(9, map[contract.Resource]divide.Total{resource: {Share: total}})
			f.rest()
			fromRest := follow(f, f.nodes[3], resource, total)
			for range 60 {
				f.call(f.nodes[3], resource, total.Rate*conforming/100)
				f.manual.Advance(clock.Second)
				f.tick()
			}
			moved := follow(f, f.nodes[4], resource, total)
			t.Logf("from rest %d ms, from another VM %d ms", fromRest, moved)
			g.Expect(fromRest).To(BeNumerically("<=", 1500*clock.Millis(1)))
			g.Expect(moved).To(BeNumerically("<=", 4*clock.Second))
		})
	}
}

// A VM that sends or reads alone over a link has its peers' bytes too; the oracle
// counts what it moves as soon as it may.
func TestOneVMCanUseAWholeLink(t *testing.T) {
	for name, index := range map[string]int{"sending": 3, "reading": 4} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { useWholeLink(t, index) }) })
	}
}

func useWholeLink(t *testing.T, index int) {
	g := NewWithT(t)
	share := contract.Share{Rate: 1_000_000, Size: 250_000}
	f := newTimedFleet(9, map[contract.Resource]divide.Total{link: {Share: share, Location: divide.Location{Region: "r0"}, FarRegion: "r1"}})
	f.roundTrip = 2
	f.rest()
	const piece, seconds = 32 << 10, 20
	sent := int64(0)
	sender := f.nodes[index]
	ctx, cancel := context.WithTimeout(t.Context(), seconds*time.Second)
	defer cancel()
	var sending sync.WaitGroup
	sending.Go(func() {
		for sender.limiter.Wait(ctx, link, piece) == nil {
			sent += piece
		}
	})
	for range seconds * 4 {
		f.pass(tickInterval)
		f.mu.Lock()
		f.tick()
		f.mu.Unlock()
	}
	sending.Wait()
	t.Logf("%d bytes in %d s", sent, seconds)
	g.Expect(sent).To(BeNumerically(">=", share.Rate*seconds*95/100))
	g.Expect(sent).To(BeNumerically("<=", share.Rate*seconds+share.Size))
}
