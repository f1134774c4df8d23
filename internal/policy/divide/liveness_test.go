package divide_test

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/divide"
	"baobabladder.example/baobabladder/internal/world/contract"
)

// trial offers one workspace's requests to a fleet of 9 VMs and counts refusals.
type trial struct {
	fleet *fleet
	share contract.Share
	// percent is the mean load, in percent of the rate.
	percent int64
	// pick chooses the VM for a request.
	pick    func(random *rand.Rand) int
	random  *rand.Rand
	central *oracle

	offered int
	refused atomic.Int64
	waiting sync.WaitGroup
}

func newTrial(share contract.Share, percent int64, pick func(*rand.Rand) int, seed uint64) *trial {
	totals := map[contract.Resource]divide.Total{contract.RateResource("artes", "large"): {Share: share}}
	f := newTimedFleet(9, totals)
	f.rest()
	return &trial{fleet: f, share: share, percent: percent, pick: pick, random: rand.New(rand.NewPCG(4, seed)), central: newOracle(totals)}
}

func spread(random *rand.Rand) int { return random.IntN(9) }

func lean(random *rand.Rand) int {
	if random.IntN(20) > 0 {
		return 3
	}
	return random.IntN(9)
}

// tickInterval is the time between two ticks of the fleet.
const tickInterval = 250 * clock.Millis(1)

// run offers load for a time. Requests come at random moments, counted in whole
// milliseconds.
func (r *trial) run(duration clock.Millis) {
	mean := float64(r.share.Rate*r.percent) / 100 / contract.TokensPerRequest / float64(clock.Second)
	arrival := r.random.ExpFloat64() / mean
	passed := clock.Millis(0)
	for at := range duration + 1 {
		ticks := at%tickInterval == 0
		if !ticks && arrival >= float64(at) && at < duration {
			continue
		}
		r.fleet.pass(at - passed)
		passed = at
		for ; arrival < float64(at); arrival += r.random.ExpFloat64() / mean {
			r.offerConforming()
		}
		if ticks && at < duration {
			r.fleet.mu.Lock()
			r.fleet.tick()
			r.fleet.mu.Unlock()
		}
	}
}

// offerConforming offers a request unless one central bucket would refuse it: then
// it is not inside the rate.
func (r *trial) offerConforming() {
	resource := contract.RateResource("artes", "large")
	before := r.central.level(resource)
	if r.central.admit(r.fleet.clock.Now(), resource, contract.TokensPerRequest) != nil {
		r.central.queues[resource].level = before
		return
	}
	r.offer()
}

// finish waits for the last answers, and for the goroutines that look for tokens.
func (r *trial) finish() {
	r.waiting.Wait()
	r.fleet.pass(clock.Second)
}

func (o *oracle) level(resource contract.Resource) int64 {
	if known := o.queues[resource]; known != nil {
		return known.level
	}
	return 0
}

// offer sends a request to a VM. If that is dead, the caller's connection fails
// and it goes to the next VM that it knows.
func (r *trial) offer() {
	at := r.pick(r.random)
	for !r.fleet.nodes[at].alive {
		at = (at + 1) % len(r.fleet.nodes)
	}
	r.offered++
	r.waiting.Go(func() {
		if !r.fleet.admit(r.fleet.nodes[at], "artes", "large") {
			r.refused.Add(1)
		}
	})
}

// shares are rates and bursts of the users' workspaces, and one between.
var shares = map[string]contract.Share{
	"2 per second, burst 4":       {Rate: 2_000, Size: 4_000},
	"6 per second, burst 12":      {Rate: 6_000, Size: 12_000},
	"8 per second, burst 16":      {Rate: 8_000, Size: 16_000},
	"40 per second, burst 80":     {Rate: 40_000, Size: 80_000},
	"250 per second, burst 500":   {Rate: 250_000, Size: 500_000},
	"1300 per second, burst 2600": {Rate: 1_300_000, Size: 2_600_000},
}

var callers = map[string]func(*rand.Rand) int{"spread": spread, "leaning on one VM": lean}

const (
	// conforming is the mean load, in percent of the rate.
	conforming = 80
	// nobody stands for no VM that dies.
	nobody = -1
	// enough is how many requests make a thousandth, or after a death a hundredth,
	// of them more than one.
	enough, enoughAfterDeath = 4000, 400
)

// expectServed offers load for up to 10 minutes, or for 30 s after a VM died, with
// as many seeds as it takes to offer enough requests, and fails if the given
// thousandths of them or more are refused. The platform's list drops the dead VM
// after 2 s; when the divider died, another VM gets the lease 3 s after that.
func expectServed(t *testing.T, share contract.Share, pick func(*rand.Rand) int, dead int, thousandths int64) {
	t.Helper()
	g := NewWithT(t)
	wanted := enough
	if dead != nobody {
		wanted = enoughAfterDeath
	}
	offered, refused := 0, int64(0)
	for seed := uint64(1); offered < wanted; seed++ {
		synctest.Test(t, func(t *testing.T) {
			r := newTrial(share, conforming, pick, seed)
			r.run(20 * clock.Second)
			r.offered = 0
			r.refused.Store(0)
			if dead == nobody {
				r.run(measureFor(share))
			} else {
				r.outlive(dead)
			}
			r.finish()
			NewWithT(t).Expect(r.fleet.err).NotTo(HaveOccurred())
			offered += r.offered
			refused += r.refused.Load()
		})
	}
	t.Logf("%d of %d refused", refused, offered)
	g.Expect(refused*1000).To(BeNumerically("<", int64(offered)*thousandths), "%d of %d refused", refused, offered)
}

// measureFor returns how long one seed is played.
func measureFor(share contract.Share) clock.Millis {
	full := clock.Millis(enough * contract.TokensPerRequest * int64(clock.Second) / share.Rate)
	return min(max(full, 30*clock.Second), 10*clock.Minute)
}

func (r *trial) outlive(dead int) {
	r.fleet.mu.Lock()
	r.fleet.kill(r.fleet.nodes[dead])
	r.fleet.mu.Unlock()
	r.run(2 * clock.Second)
	r.fleet.mu.Lock()
	delete(r.fleet.listed, r.fleet.nodes[dead].name)
	r.fleet.mu.Unlock()
	r.run(3 * clock.Second)
	if dead == 0 {
		r.fleet.lead(r.fleet.nodes[1])
	}
	r.run(25 * clock.Second)
}

func TestWorkspaceInsideItsRateIsServed(t *testing.T) {
	for name, share := range shares {
		for who, pick := range callers {
			t.Run(name+", "+who, func(t *testing.T) { expectServed(t, share, pick, nobody, 1) })
		}
	}
}

// VMs 1 and 2 hold the whole of a small limit while callers spread their requests.
func TestWorkspaceInsideItsRateIsServedAfterVMDied(t *testing.T) {
	for name, share := range shares {
		for who, pick := range callers {
			for victim, dead := range map[string]int{"divider": 0, "first holder": 1, "second holder": 2, "leant on": 3, "other": 5} {
				t.Run(name+", "+who+", "+victim, func(t *testing.T) { expectServed(t, share, pick, dead, 10) })
			}
		}
	}
}
