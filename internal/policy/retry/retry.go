// Package retry decides whether and when a failed operation is retried.
//
// Budget and WindowBudget limit the retries of callers' requests to a fraction of the
// traffic, because retries are additional load for endpoints that are failing. Budget
// does this for the requests of one VM, WindowBudget for the requests of all VMs to
// each service. Backoff delays a VM's own calls to the store and to peers after
// failures. Its delays grow and have random jitter, to keep the VMs from calling all at
// once when an outage ends.
package retry

import (
	"math/rand/v2"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/reason"
)

const (
	// maxAttempts is the maximum number of attempts for one request.
	maxAttempts = 3
	// requestsPerRetry is the number of requests in one second that allow one retry.
	requestsPerRetry = 10
	// bucketWidth is the length of time that one bucket of the budget covers. The
	// bucketCount buckets cover one second and one bucket more.
	bucketWidth = 100 * clock.Millis(1)
	bucketCount = 11
	// initialDelay and maxDelay bound the delay before a retry, without jitter.
	initialDelay = 5 * clock.Millis(1)
	maxDelay     = 100 * clock.Millis(1)
)

// Attempt describes a failed attempt to run a request.
type Attempt struct {
	// Number is the number of attempts so far, including this one.
	Number int
	Work   document.Work
	// Refusal is the error of the attempt.
	Refusal *reason.Refusal
	// Remaining is the time until the caller's deadline.
	Remaining clock.Millis
	// MinDuration is the shortest time in which another attempt is expected to end; 0
	// if unknown.
	MinDuration clock.Millis
	// NotReplayable reports whether the request cannot be sent again, because its body
	// has been consumed or the caller has received part of a response.
	NotReplayable bool
}

// Decision states whether a failed attempt is followed by a retry.
type Decision struct {
	// Retry reports whether the request is to be sent to another endpoint. Wait is the
	// delay before that.
	Retry bool
	Wait  clock.Millis
	// Why is the cause if Retry is false.
	Why Denial
}

// Denial is the cause for which a request is not retried.
type Denial string

// Causes of denials.
const (
	MayHaveRun      Denial = "may_have_run"
	Permanent       Denial = "permanent"
	NoAttemptsLeft  Denial = "no_tries"
	NoTimeLeft      Denial = "no_time"
	BudgetExhausted Denial = "no_budget"
	BodyConsumed    Denial = "body_spent"
)

// Budget limits the retries of one VM to a fraction of its requests. The zero value is
// ready for use.
type Budget struct {
	Clock clock.Clock
	// Random returns a random number in [0, n) for n > 0. If it is nil, the default
	// source of math/rand/v2 is used.
	Random func(n int64) int64

	mu sync.Mutex
	// ring counts the events in each bucket of time; newest is the number of the newest
	// bucket, counted from time 0. Guarded by mu.
	ring   [bucketCount]bucket
	newest int64
}

// bucket counts the first attempts and the retries in one interval of time.
type bucket struct {
	requests, retries int64
}

// RecordRequest counts the first attempt of a request.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance().requests++
}

// Decide decides whether a failed attempt is followed by another. If so, it takes the
// retry out of the budget.
func (b *Budget) Decide(attempt Attempt) Decision {
	if why := denial(&attempt); why != "" {
		return Decision{Why: why}
	}
	wait := b.jitter(min(initialDelay<<min(attempt.Number-1, 10), maxDelay))
	if wait+max(attempt.MinDuration, 1) > attempt.Remaining {
		return Decision{Why: NoTimeLeft}
	}
	if !b.takeRetry() {
		return Decision{Why: BudgetExhausted}
	}
	return Decision{Retry: true, Wait: wait}
}

// Retry is a short form of Decide for callers that have checked the kind of work, the
// deadline and the body themselves. ok reports whether the request may be retried after
// wait.
func (b *Budget) Retry(attempts int, why reason.Reason) (wait clock.Millis, ok bool) {
	decision := b.Decide(Attempt{
		Number:    attempts,
		Work:      document.WorkCatalogue,
		Refusal:   &reason.Refusal{Reason: why},
		Remaining: maxDelay + 1,
	})
	return decision.Wait, decision.Retry
}

// denial returns the cause that forbids a retry regardless of the budget, or "".
func denial(attempt *Attempt) Denial {
	switch {
	case attempt.NotReplayable:
		return BodyConsumed
	case attempt.Refusal.Ran != reason.RanNo && attempt.Work != document.WorkCatalogue:
		return MayHaveRun
	case !IsTransient(attempt.Refusal.Reason):
		return Permanent
	case attempt.Number >= maxAttempts:
		return NoAttemptsLeft
	default:
		return ""
	}
}

// IsTransient reports whether a request that was refused for this reason may succeed on
// another endpoint. The other reasons either lie in the request itself or state that this
// VM has no endpoint for it.
func IsTransient(why reason.Reason) bool {
	switch why {
	case reason.EndpointFailed, reason.EndpointShed, reason.AnswerCut, reason.AnswerCrossed:
		return true
	default:
		return false
	}
}

// advance clears the buckets that have expired and returns the current one. The caller
// must hold mu.
func (b *Budget) advance() *bucket {
	current := int64(b.Clock.Now() / bucketWidth)
	for cleared := 0; b.newest < current && cleared < bucketCount; cleared++ {
		b.newest++
		b.ring[b.newest%bucketCount] = bucket{}
	}
	b.newest = current
	return &b.ring[current%bucketCount]
}

// takeRetry takes a retry out of the budget and reports whether there was one:
// requestsPerRetry first attempts in the last second allow one retry. A VM with fewer
// first attempts is allowed one retry per second. Retries are counted over one second
// and up to one bucket more, first attempts over one second less up to one bucket. The
// limit therefore holds for any second.
func (b *Budget) takeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.advance()
	var requests, retries int64
	for i := range b.ring {
		retries += b.ring[i].retries
		requests += b.ring[i].requests
	}
	requests -= b.ring[(b.newest+1)%bucketCount].requests
	if retries >= max(requests/requestsPerRetry, 1) {
		return false
	}
	current.retries++
	return true
}

// jitter applies equalJitter with the budget's random source.
func (b *Budget) jitter(delay clock.Millis) clock.Millis {
	return equalJitter(b.Random, delay)
}

// equalJitter returns a random value from the upper half of the delay.
func equalJitter(random func(int64) int64, delay clock.Millis) clock.Millis {
	if random == nil {
		random = rand.Int64N
	}
	half := int64(delay / 2)
	return delay - clock.Millis(random(half+1))
}

// fullJitter returns a random value between 0 and the delay.
func fullJitter(random func(int64) int64, delay clock.Millis) clock.Millis {
	if random == nil {
		random = rand.Int64N
	}
	return clock.Millis(random(int64(delay) + 1))
}
