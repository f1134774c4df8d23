package retry

import "baobabladder.example/baobabladder/internal/base/clock"

const (
	defaultFirst   = 100 * clock.Millis(1)
	defaultLongest = 5 * clock.Second
)

// Backoff gives the delays between a VM's own calls to a store or a peer that
// fails. Its zero value is ready. It is not safe for use by several goroutines.
type Backoff struct {
	// First and Longest bound the delay before jitter; 0 stands for 100 ms and 5 s.
	Initial, Max clock.Millis
	// Random returns a number from 0 up to below n, n being above 0. Without it the
	// process's generator is used.
	Random func(n int64) int64

	failures int
}

// NextDelay returns how long to wait after a failure. The delay doubles with each
// failure and is drawn from the upper half of its range.
func (b *Backoff) NextDelay() clock.Millis {
	delay, longest := b.Initial, b.Max
	if delay == 0 {
		delay = defaultFirst
	}
	if longest == 0 {
		longest = defaultLongest
	}
	for i := 0; i < b.failures && delay < longest; i++ {
		delay *= 2
	}
	b.failures++
	return spread(b.Random, min(delay, longest))
}

// Reset ends the run of failures. It returns how long to wait before the
// calls that were put off, drawn from all of the last delay: after an outage all
// VMs succeed within moments of each other.
func (b *Backoff) Reset() clock.Millis {
	if b.failures == 0 {
		return 0
	}
	b.failures--
	delay := b.NextDelay()
	b.failures = 0
	return spreadWhole(b.Random, delay)
}
