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

func newTrial(share contract.Share, percent int64, pick func(*rand.Rand) int) *trial {
	totals := map[contract.Resource]divide.Total{contract.RateOf("artes", "large"): {Share: share}}
	f := newTimedFleet(9, totals)
	f.rest()
	return &trial{fleet: f, share: share, percent: percent, pick: pick, random: rand.New(rand.NewPCG(4, 4)), central: newOracle(totals)}
}

func spread(random *rand.Rand) int { return random.IntN(9) }

func lean(random *rand.Rand) int {
	if random.IntN(20) > 0 {
		return 3
	}
	return random.IntN(9)
}

// run offers load for a time. Requests come at random moments; those that one
// central bucket would refuse are not inside the rate and are not offered.
func (r *trial) run(duration clock.Millis) {
	resource := contract.RateOf("artes", "large")
	mean := float64(r.share.Rate*r.percent) / 100 / contract.Request / float64(clock.Second)
	for at := range duration {
		if at%250 == 0 {
			r.fleet.mu.Lock()
			r.fleet.tick()
			r.fleet.mu.Unlock()
		}
		r.fleet.pass(1)
		for arrival := r.random.ExpFloat64() / mean; arrival < 1; arrival += r.random.ExpFloat64() / mean {
			before := r.central.level(resource)
			if r.central.admit(r.fleet.clock.Now(), resource, contract.Request) != nil {
				r.central.queues[resource].level = before
				continue
			}
			r.offer()
		}
	}
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

// shares are rates and bursts of the users' workspaces.
var shares = map[string]contract.Share{
	"8 per second, burst 16":      {Rate: 8_000, Size: 16_000},
	"40 per second, burst 80":     {Rate: 40_000, Size: 80_000},
	"250 per second, burst 500":   {Rate: 250_000, Size: 500_000},
	"1300 per second, burst 2600": {Rate: 1_300_000, Size: 2_600_000},
}

// smallest is the least of the users' workspaces.
var smallest = contract.Share{Rate: 2_000, Size: 4_000}

var callers = map[string]func(*rand.Rand) int{"spread": spread, "leaning on one VM": lean}

// nobody stands for no VM that dies.
const nobody = -1

// expectServed offers load for a minute, or for 30 s after a VM died, and fails
// if more than the given thousandths of the requests are refused. The platform's
// list drops the dead VM after 2 s; when the divider died, another VM gets the
// lease 3 s after that.
func expectServed(t *testing.T, share contract.Share, percent int64, pick func(*rand.Rand) int, dead int, thousandths int64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newTrial(share, percent, pick)
		r.run(20 * clock.Second)
		r.offered = 0
		r.refused.Store(0)
		if dead == nobody {
			r.run(measureFor(share))
		} else {
			r.outlive(dead)
		}
		r.finish()
		t.Logf("%d of %d refused", r.refused.Load(), r.offered)
		g.Expect(r.fleet.err).NotTo(HaveOccurred())
		g.Expect(r.refused.Load()*1000).To(BeNumerically("<", int64(r.offered)*thousandths), "%d of %d refused", r.refused.Load(), r.offered)
	})
}

// measureFor returns how long it takes to offer enough requests that a thousandth
// of them is more than one.
func measureFor(share contract.Share) clock.Millis {
	const requests = 4000
	full := clock.Millis(requests * contract.Request * int64(clock.Second) / share.Rate)
	return min(max(full, 30*clock.Second), 10*clock.Minute)
}

func (r *trial) outlive(dead int) {
	r.fleet.kill(r.fleet.nodes[dead])
	r.run(2 * clock.Second)
	delete(r.fleet.listed, r.fleet.nodes[dead].name)
	r.run(3 * clock.Second)
	if dead == 0 {
		r.fleet.lead(r.fleet.nodes[1])
	}
	r.run(25 * clock.Second)
}

func TestWorkspaceInsideItsRateIsServed(t *testing.T) {
	for name, share := range shares {
		for who, pick := range callers {
			t.Run(name+", "+who, func(t *testing.T) { expectServed(t, share, 80, pick, nobody, 1) })
		}
	}
}

func TestWorkspaceInsideItsRateIsServedAfterVMDied(t *testing.T) {
	for name, share := range shares {
		for who, pick := range callers {
			for victim, dead := range map[string]int{"divider": 0, "leant on": 3, "other": 5} {
				t.Run(name+", "+who+", "+victim, func(t *testing.T) { expectServed(t, share, 80, pick, dead, 10) })
			}
		}
	}
}

// A burst of 4 is held by two VMs, so that the loss of one is the loss of half.
// At half its rate the workspace is served; nearer to the rate it is not always,
// see docs/design/limits.md.
func TestSmallestWorkspaceAtHalfItsRateIsServed(t *testing.T) {
	for who, pick := range callers {
		t.Run(who, func(t *testing.T) { expectServed(t, smallest, 50, pick, nobody, 1) })
	}
}
