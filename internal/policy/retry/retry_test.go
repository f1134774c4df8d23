package retry

import (
	"math/rand/v2"
	"os"
	"testing"

	"pgregory.net/rapid"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/standin/fuzz"
)

func TestMain(m *testing.M) {
	os.Exit(fuzz.Main(m, fuzz.Config{Seed: 20261204, Checks: 200, Steps: 100}))
}

// In the second that ends with any retry, there must be at most one retry for each ten
// first attempts. One retry per second is always allowed.
func TestBudgetFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		manual := &clock.Manual{}
		random := rand.New(rand.NewPCG(1, 2))
		budget := &Budget{Clock: manual.Clock(), Random: random.Int64N}
		var requests, retries []clock.Millis
		t.Repeat(map[string]func(*rapid.T){
			"requests": func(t *rapid.T) {
				for range rapid.IntRange(1, 50).Draw(t, "count") {
					budget.RecordRequest()
					requests = append(requests, manual.Clock().Now())
				}
			},
			"time": func(t *rapid.T) { manual.Advance(clock.Millis(rapid.IntRange(1, 700).Draw(t, "millis"))) },
			"failures": func(t *rapid.T) {
				for range rapid.IntRange(1, 50).Draw(t, "count") {
					attempt := drawAttempt(t)
					decision := budget.Decide(attempt)
					if !decision.Retry {
						continue
					}
					now := manual.Clock().Now()
					retries = append(retries, now)
					if attempt.Refusal.Ran != reason.RanNo && attempt.Work != document.WorkCatalogue {
						t.Fatalf("%s request that may have run is retried", attempt.Work)
					}
					if decision.Wait >= attempt.Remaining {
						t.Fatalf("retry after %d ms with %d ms remaining", decision.Wait, attempt.Remaining)
					}
					if countInLastSecond(retries, now) > max(countInLastSecond(requests, now)/requestsPerRetry, 1) {
						t.Fatalf("%d retries for %d requests in one second", countInLastSecond(retries, now), countInLastSecond(requests, now))
					}
				}
			},
		})
	})
}

func drawAttempt(t *rapid.T) Attempt {
	return Attempt{
		Number:    rapid.IntRange(1, 3).Draw(t, "tries"),
		Work:      rapid.SampledFrom([]document.Work{document.WorkCatalogue, document.WorkOrder, document.WorkUpload}).Draw(t, "work"),
		Remaining: clock.Millis(rapid.IntRange(0, 200).Draw(t, "remaining")),
		Refusal: &reason.Refusal{
			Reason: rapid.SampledFrom([]reason.Reason{reason.EndpointFailed, reason.EndpointShed, reason.RateExceeded}).Draw(t, "reason"),
			Ran:    rapid.SampledFrom([]reason.Ran{reason.RanNo, reason.RanUnknown, reason.RanYes}).Draw(t, "ran"),
		},
	}
}

// countInLastSecond counts the times in the second that ends at now.
func countInLastSecond(times []clock.Millis, now clock.Millis) (count int) {
	for i := len(times) - 1; i >= 0 && now-times[i] < clock.Second; i-- {
		count++
	}
	return count
}

// VMs whose calls succeed again at the same time must not all make their deferred calls
// at once.
func TestResetSpreadsCallsAfterOutage(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[clock.Millis]int{}
	const vms = 900
	for range vms {
		backoff := Backoff{Random: random.Int64N}
		for range 20 {
			if wait := backoff.NextDelay(); wait > defaultMax || wait < defaultInitial/2 {
				t.Fatalf("delay of %d ms is out of range", wait)
			}
		}
		counts[backoff.Reset()/clock.Second]++
		if again := backoff.Reset(); again != 0 {
			t.Fatalf("delay of %d ms without a preceding failure", again)
		}
	}
	for second, count := range counts {
		if count > vms*2/5 {
			t.Fatalf("%d of %d VMs make their deferred calls in second %d", count, vms, second)
		}
	}
}
