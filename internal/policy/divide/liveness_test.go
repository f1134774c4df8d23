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

// trial sends the requests of one workspace to a fleet of 9 VMs and counts
// refusals.
type trial struct {
	fleet *fleet
	share contract.Share
	// percent is the mean load, in percent of the rate.
	percent int64
	// pickVM selects the VM for a request.
	pickVM  func(random *rand.Rand) int
	random  *rand.Rand
	central *oracle

	offered int
	refused atomic.Int64
	waiting sync.WaitGroup
}

func newTrial(share contract.Share, percent int64, pickVM func(*rand.Rand) int, seed uint64) *trial {
	totals := map[contract.Resource]divide.Total{contract.RateResource("artes", "large"): {Share: share}}
	f := newTimedFleet(9, totals)
	f.stabilize()
	return &trial{fleet: f, share: share, percent: percent, pickVM: pickVM, random: rand.New(rand.NewPCG(4, seed)), central: newOracle(totals)}
}

func spread(random *rand.Rand) int { return random.IntN(9) }

func skewed(random *rand.Rand) int {
	if random.IntN(20) > 0 {
		return 3
	}
	return random.IntN(9)
}

// tickInterval is the time between two ticks of the fleet.
const tickInterval = 250 * clock.Millis(1)

// run generates load for a time. Requests arrive at random times, rounded up to
// whole milliseconds.
func (t *trial) run(duration clock.Millis) {
	mean := float64(t.share.Rate*t.percent) / 100 / contract.TokensPerRequest / float64(clock.Second)
	arrival := t.random.ExpFloat64() / mean
	passed := clock.Millis(0)
	for at := range duration + 1 {
		ticks := at%tickInterval == 0
		if !ticks && arrival >= float64(at) && at < duration {
			continue
		}
		t.fleet.advance(at - passed)
		passed = at
		for ; arrival < float64(at); arrival += t.random.ExpFloat64() / mean {
			t.offerConforming()
		}
		if ticks && at < duration {
			t.fleet.mu.Lock()
			t.fleet.tick()
			t.fleet.mu.Unlock()
		}
	}
}

// offerConforming sends a request unless a single central bucket would refuse it,
// as the request is then not within the rate.
func (t *trial) offerConforming() {
	resource := contract.RateResource("artes", "large")
	before := t.central.level(resource)
	if t.central.admit(t.fleet.clock.Now(), resource, contract.TokensPerRequest) != nil {
		t.central.buckets[resource].level = before
		return
	}
	t.offer()
}

// finish waits for the last requests and for the goroutines that ask peers for
// tokens.
func (t *trial) finish() {
	t.waiting.Wait()
	t.fleet.advance(clock.Second)
}

func (o *oracle) level(resource contract.Resource) int64 {
	if known := o.buckets[resource]; known != nil {
		return known.level
	}
	return 0
}

// offer sends a request to a VM. If that VM is down, the connection fails and the
// caller uses the next one.
func (t *trial) offer() {
	at := t.pickVM(t.random)
	for !t.fleet.vms[at].isAlive {
		at = (at + 1) % len(t.fleet.vms)
	}
	t.offered++
	t.waiting.Go(func() {
		if !t.fleet.admit(t.fleet.vms[at], "artes", "large") {
			t.refused.Add(1)
		}
	})
}

// shares are the rates and bursts of the users' workspaces, and one in between.
var shares = map[string]contract.Share{
	"2 per second, burst 4":       {Rate: 2_000, Size: 4_000},
	"6 per second, burst 12":      {Rate: 6_000, Size: 12_000},
	"8 per second, burst 16":      {Rate: 8_000, Size: 16_000},
	"40 per second, burst 80":     {Rate: 40_000, Size: 80_000},
	"250 per second, burst 500":   {Rate: 250_000, Size: 500_000},
	"1300 per second, burst 2600": {Rate: 1_300_000, Size: 2_600_000},
}

var callers = map[string]func(*rand.Rand) int{"spread": spread, "skewed to one VM": skewed}

const (
	// meanLoadPercent is the mean load, in percent of the rate.
	meanLoadPercent = 80
	// noVM is the index for trials in which no VM fails.
	noVM = -1
	// minRequests and minRequestsAfterFailure are the minimum numbers of
	// requests over all seeds. The part of them that may be refused, one
	// thousandth or after a failure one hundredth, is more than one request.
	minRequests, minRequestsAfterFailure = 4000, 400
)

// expectServed generates load for up to 10 minutes, or for 30 s after the
// failure of a VM, with as many seeds as are needed for the minimum number of
// requests. It fails if at least the given thousandths of the requests are
// refused. The platform's list removes the failed VM after 2 s; if it was the
// divider, another VM gets the lease 3 s after that.
func expectServed(t *testing.T, share contract.Share, pickVM func(*rand.Rand) int, failed int, thousandths int64) {
	t.Helper()
	g := NewWithT(t)
	wanted := minRequests
	if failed != noVM {
		wanted = minRequestsAfterFailure
	}
	offered, refused := 0, int64(0)
	for seed := uint64(1); offered < wanted; seed++ {
		synctest.Test(t, func(t *testing.T) {
			trial := newTrial(share, meanLoadPercent, pickVM, seed)
			trial.run(20 * clock.Second)
			trial.offered = 0
			trial.refused.Store(0)
			if failed == noVM {
				trial.run(durationPerSeed(share))
			} else {
				trial.runWithFailure(failed)
			}
			trial.finish()
			NewWithT(t).Expect(trial.fleet.err).NotTo(HaveOccurred())
			offered += trial.offered
			refused += trial.refused.Load()
		})
	}
	t.Logf("%d of %d requests refused", refused, offered)
	g.Expect(refused*1000).To(BeNumerically("<", int64(offered)*thousandths), "%d of %d requests refused", refused, offered)
}

// durationPerSeed returns the simulated time for one seed.
func durationPerSeed(share contract.Share) clock.Millis {
	full := clock.Millis(minRequests * contract.TokensPerRequest * int64(clock.Second) / share.Rate)
	return min(max(full, 30*clock.Second), 10*clock.Minute)
}

func (t *trial) runWithFailure(failed int) {
	t.fleet.mu.Lock()
	t.fleet.kill(t.fleet.vms[failed])
	t.fleet.mu.Unlock()
	t.run(2 * clock.Second)
	t.fleet.mu.Lock()
	delete(t.fleet.listed, t.fleet.vms[failed].name)
	t.fleet.mu.Unlock()
	t.run(3 * clock.Second)
	if failed == 0 {
		t.fleet.startDivider(t.fleet.vms[1])
	}
	t.run(25 * clock.Second)
}

func TestWorkspaceWithinRateIsServed(t *testing.T) {
	for name, share := range shares {
		for distribution, pickVM := range callers {
			t.Run(name+", "+distribution, func(t *testing.T) { expectServed(t, share, pickVM, noVM, 1) })
		}
	}
}

// VMs 1 and 2 hold all of a small limit while callers spread their requests evenly.
func TestWorkspaceWithinRateIsServedAfterVMFailure(t *testing.T) {
	for name, share := range shares {
		for distribution, pickVM := range callers {
			for role, failed := range map[string]int{"divider": 0, "first holder": 1, "second holder": 2, "most loaded": 3, "other": 5} {
				t.Run(name+", "+distribution+", "+role, func(t *testing.T) { expectServed(t, share, pickVM, failed, 10) })
			}
		}
	}
}
