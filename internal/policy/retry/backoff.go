package retry

import "baobabladder.example/baobabladder/internal/base/clock"

// Defaults of Backoff.Initial and Backoff.Max.
const (
	defaultInitial = 100 * clock.Millis(1)
	defaultMax     = 5 * clock.Second
)

// Backoff computes the delays between a VM's own calls to a store or peer that fails.
// The zero value is ready for use. It is not safe for concurrent use.
type Backoff struct {
	// Initial and Max bound the delay before jitter; the defaults for 0 are 100 ms and
	// 5 s.
	Initial, Max clock.Millis
	// Random returns a random number in [0, n) for n > 0. If it is nil, the default
	// source of math/rand/v2 is used.
	Random func(n int64) int64

	failures int
}

// NextDelay records a failure and returns the delay before the next call. The delay
// doubles with each consecutive failure, and a random part of up to half of it is
// subtracted.
func (b *Backoff) NextDelay() clock.Millis {
	delay, limit := b.Initial, b.Max
	if delay == 0 {
		delay = defaultInitial
	}
	if limit == 0 {
		limit = defaultMax
	}
	for i := 0; i < b.failures && delay < limit; i++ {
		delay *= 2
	}
	b.failures++
	return equalJitter(b.Random, min(delay, limit))
}

// Reset records a success and returns the delay after which the VM may make the calls
// that it deferred during the failures. The delay is 0 if no failure preceded.
// Otherwise it is random, between 0 and the last delay: after an outage the calls of
// all VMs succeed within a short time, and their deferred calls must not come all at
// once.
func (b *Backoff) Reset() clock.Millis {
	if b.failures == 0 {
		return 0
	}
	b.failures--
	delay := b.NextDelay()
	b.failures = 0
	return fullJitter(b.Random, delay)
}
