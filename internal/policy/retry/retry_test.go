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
	os.Exit(fuzz.Main(m, fuzz.Plan{Seed: 20261204, Checks: 200, Steps: 100}))
}

// In the second that ends with any retry there are at most a tenth as many
// retries as first tries, or one.
func TestBudgetFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		manual := &clock.Manual{}
		random := rand.New(rand.NewPCG(1, 2))
		budget := &Budget{Clock: manual.Clock(), Random: random.Int64N}
		var first, retries []clock.Millis
		t.Repeat(map[string]func(*rapid.T){
			"requests": func(t *rapid.T) {
				for range rapid.IntRange(1, 50).Draw(t, "count") {
					budget.RecordRequest()
					first = append(first, manual.Clock().Now())
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
						t.Fatalf("%s that may have run is to run again", attempt.Work)
					}
					if decision.Wait >= attempt.Remaining {
						t.Fatalf("a wait of %d with %d left", decision.Wait, attempt.Remaining)
					}
					if since(retries, now) > max(since(first, now)/budgetPart, 1) {
						t.Fatalf("%d retries for %d requests within a second", since(retries, now), since(first, now))
					}
				}
			},
		})
	})
}

func drawAttempt(t *rapid.T) Attempt {
	return Attempt{
		Tries:     rapid.IntRange(1, 3).Draw(t, "tries"),
		Work:      rapid.SampledFrom([]document.Work{document.WorkCatalogue, document.WorkOrder, document.WorkUpload}).Draw(t, "work"),
		Remaining: clock.Millis(rapid.IntRange(0, 200).Draw(t, "remaining")),
		Refusal: &reason.Refusal{
			Reason: rapid.SampledFrom([]reason.Reason{reason.EndpointFailed, reason.EndpointShed, reason.RateExceeded}).Draw(t, "reason"),
			Ran:    rapid.SampledFrom([]reason.Ran{reason.RanNo, reason.RanUnknown, reason.RanYes}).Draw(t, "ran"),
		},
	}
}

// since counts the times in the second that ends at now.
func since(times []clock.Millis, now clock.Millis) (count int) {
	for i := len(times) - 1; i >= 0 && now-times[i] < clock.Second; i-- {
		count++
	}
	return count
}

// VMs whose calls succeed again at the same moment do not all go on at once.
func TestBackoffSpreadsTheEndOfAnOutage(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[clock.Millis]int{}
	const vms = 900
	for range vms {
		backoff := Backoff{Random: random.Int64N}
		for range 20 {
			if wait := backoff.NextDelay(); wait > defaultLongest || wait < defaultFirst/2 {
				t.Fatalf("a wait of %d", wait)
			}
		}
		counts[backoff.Reset()/clock.Second]++
		if again := backoff.Reset(); again != 0 {
			t.Fatalf("a wait of %d with nothing put off", again)
		}
	}
	for second, count := range counts {
		if count > vms*2/5 {
			t.Fatalf("%d of %d VMs go on in second %d", count, vms, second)
		}
	}
}
