// Package clock is the project's only source of time. All times and durations
// inside the system are Millis. Code that takes a Clock runs unchanged under
// the system clock and, in tests, under a Manual clock.
package clock

import (
	"context"
	"sync"
	"time"
)

// Millis is a point in time or a duration, in milliseconds. A point in time
// counts from an origin that is fixed for the lifetime of the process, unless
// it is stated to be wall time.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute Millis = 60 * Second
	Hour   Millis = 60 * Minute
)

// Duration converts m, taken as a duration, to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration converts d to milliseconds, rounding towards zero.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// origin is the zero point of the monotonic time.
var origin = time.Now()

// Clock returns the current time. Its zero value reads the machine's monotonic
// clock. A Clock is a small value and may be copied freely.
type Clock struct {
	manual *Manual
}

// Now returns the monotonic time since the process's origin. It never
// decreases, and values of different processes are not comparable.
func (c Clock) Now() Millis {
	if c.manual != nil {
		return c.manual.now()
	}
	return FromDuration(time.Since(origin))
}

// Micros returns the monotonic time in microseconds, for latency measurements
// that need a finer resolution than milliseconds.
func (c Clock) Micros() int64 {
	if c.manual != nil {
		return int64(c.manual.now()) * 1000
	}
	return time.Since(origin).Microseconds()
}

// Wall returns the wall time in milliseconds since the Unix epoch. It is meant
// only for times that are defined as time of day or exchanged with other
// machines, such as the end of a version move.
func (c Clock) Wall() Millis {
	if c.manual != nil {
		return c.manual.now()
	}
	return Millis(time.Now().UnixMilli())
}

// Sleep waits for d, or until ctx ends, and then returns ctx's error. It always
// waits in real time, also in code that uses a Manual clock.
func Sleep(ctx context.Context, d Millis) error {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Manual is a clock for tests that advances only by calls of Advance. Its zero
// value starts at 0.
type Manual struct {
	mu sync.Mutex
	// current never decreases. Guarded by mu.
	current Millis
}

// Clock returns a Clock that reads m.
func (m *Manual) Clock() Clock { return Clock{manual: m} }

// Advance moves the clock forward by d. It ignores a negative d.
func (m *Manual) Advance(d Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d > 0 {
		m.current += d
	}
}

func (m *Manual) now() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}
