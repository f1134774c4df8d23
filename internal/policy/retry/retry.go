// Package retry decides whether and when something is tried again. Budget is for
// requests: retries are a bounded part of the traffic, so that endpoints in
// trouble are not loaded further. Backoff is for a VM's own calls to the store
// and to peers: its delays grow and are spread at random, so that the end of an
// outage brings no herd.
package retry

import (
	"math/rand/v2"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/reason"
)

const (
	// maxTries bounds the tries of one request, the first included.
	maxTries = 3
	// budgetPart is which part of a second's requests may be retries: one in ten.
	budgetPart = 10
	// span is the resolution of the budget, and spans cover a second and one more.
	span  = 100 * clock.Millis(1)
	spans = 11
	// firstWait and longestWait bound the delay before a retry, before jitter.
	firstWait   = 5 * clock.Millis(1)
	longestWait = 100 * clock.Millis(1)
)

// Attempt is a try that failed.
type Attempt struct {
	// Tries counts the tries so far, this one included.
	Tries int
	Work  document.Work
	// Refusal is how the try ended.
	Refusal *reason.Refusal
	// Remaining is the time left to the caller's deadline.
	Remaining clock.Millis
	// Needed is the least time that another try takes, or 0 if that is not known.
	MinDuration clock.Millis
	// Spent says that the request's body can't be sent again, or that a part of an
	// answer has gone to the caller.
	NotReplayable bool
}

// Decision is what becomes of a failed try.
type Decision struct {
	// Retry says that the request is to be tried elsewhere after Wait.
	Retry bool
	Wait  clock.Millis
	// Why says, without a retry, what forbade it.
	Why Denial
}

// Denial is why a request is not tried again.
type Denial string

// The denials.
const (
	MayHaveRun   Denial = "may_have_run"
	Permanent    Denial = "permanent"
	NoTries      Denial = "no_tries"
	NoTime       Denial = "no_time"
	NoBudget     Denial = "no_budget"
	BodyConsumed Denial = "body_spent"
)

// Budget bounds the retries of one VM. Its zero value is ready: without Random it
// draws from the process's generator.
type Budget struct {
	Clock clock.Clock
	// Random returns a number from 0 up to below n, n being above 0.
	Random func(n int64) int64

	mu sync.Mutex
	// counts is a ring of what went in each span; at is the number of the newest
	// span since time 0. Guarded by mu.
	counts [spans]count
	at     int64
}

// count is what went in one span of time.
type count struct {
	first, retries int64
}

// RecordRequest counts a request's first try.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.roll().first++
}

// Decide says whether a failed try is followed by another, and takes the retry
// out of the budget if so.
func (b *Budget) Decide(attempt Attempt) Decision {
	if why := forbids(&attempt); why != "" {
		return Decision{Why: why}
	}
	wait := b.jitter(min(firstWait<<min(attempt.Tries-1, 10), longestWait))
	if wait+max(attempt.MinDuration, 1) > attempt.Remaining {
		return Decision{Why: NoTime}
	}
	if !b.take() {
		return Decision{Why: NoBudget}
	}
	return Decision{Retry: true, Wait: wait}
}

// Retry is Decide for a caller that itself checks the kind of work, the deadline
// and the body.
func (b *Budget) Retry(tries int, why reason.Reason) (wait clock.Millis, ok bool) {
	decision := b.Decide(Attempt{
		Tries:     tries,
		Work:      document.WorkCatalogue,
		Refusal:   &reason.Refusal{Reason: why},
		Remaining: longestWait + 1,
	})
	return decision.Wait, decision.Retry
}

// forbids returns what forbids a retry, whatever the budget.
func forbids(attempt *Attempt) Denial {
	switch {
	case attempt.NotReplayable:
		return BodyConsumed
	case attempt.Refusal.Ran != reason.RanNo && attempt.Work != document.WorkCatalogue:
		return MayHaveRun
	case !IsTransient(attempt.Refusal.Reason):
		return Permanent
	case attempt.Tries >= maxTries:
		return NoTries
	default:
		return ""
	}
}

// IsTransient says that another endpoint may do better. The other reasons are
// the request's own, or say that this VM has no endpoint to offer.
func IsTransient(why reason.Reason) bool {
	switch why {
	case reason.EndpointFailed, reason.EndpointShed, reason.AnswerCut, reason.AnswerCrossed:
		return true
	default:
		return false
	}
}

// roll forgets the spans that are over and returns the current one. Callers hold
// mu.
func (b *Budget) roll() *count {
	at := int64(b.Clock.Now() / span)
	for gone := 0; b.at < at && gone < spans; gone++ {
		b.at++
		b.counts[b.at%spans] = count{}
	}
	b.at = at
	return &b.counts[at%spans]
}

// take takes one retry, if in the last second there are ten first tries for each
// retry. The retries are counted over one span more than a second and the first
// tries over one part of a span less, so that the bound holds for any second. A
// VM with fewer than ten requests in a second has one retry in it.
func (b *Budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.roll()
	var first, retries int64
	for i := range b.counts {
		retries += b.counts[i].retries
		first += b.counts[i].first
	}
	first -= b.counts[(b.at+1)%spans].first
	if retries >= max(first/budgetPart, 1) {
		return false
	}
	current.retries++
	return true
}

// jitter spreads a delay over its upper half.
func (b *Budget) jitter(delay clock.Millis) clock.Millis {
	return spread(b.Random, delay)
}

// spread draws from the upper half of a delay.
func spread(random func(int64) int64, delay clock.Millis) clock.Millis {
	if random == nil {
		random = rand.Int64N
	}
	half := int64(delay / 2)
	return delay - clock.Millis(random(half+1))
}

// spreadWhole draws from the whole of a delay.
func spreadWhole(random func(int64) int64, delay clock.Millis) clock.Millis {
	if random == nil {
		random = rand.Int64N
	}
	return clock.Millis(random(int64(delay) + 1))
}
