// Package clock is the project's only source of time. All times and durations
// inside the system are Millis, so that a policy driven by a hand-moved clock
// in a test and one driven by the machine's clock run the same code.
package clock

import (
	"context"
	"sync"
	"time"
)

// Millis is a point in time or a duration, in milliseconds. As a point in time
// it counts from an origin that is fixed for the life of the process.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute Millis = 60 * Second
	Hour   Millis = 60 * Minute
)

// Duration converts m, taken as a duration, for the standard library.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration converts d to milliseconds, rounding towards zero.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// origin anchors the monotonic readings of the zero Clock.
var origin = time.Now()

// Clock tells the time. Its zero value reads the machine's monotonic clock.
// A Clock is a small value: copy it freely.
type Clock struct {
	manual *Manual
}

// Now returns the monotonic time. It never goes back within a process and says
// nothing about other processes.
func (c Clock) Now() Millis {
	if c.manual != nil {
		return c.manual.now()
	}
	return FromDuration(time.Since(origin))
}

// Micros returns the monotonic time in microseconds, for latency measures that
// milliseconds are too coarse for.
func (c Clock) Micros() int64 {
	if c.manual != nil {
		return int64(c.manual.now()) * 1000
	}
	return time.Since(origin).Microseconds()
}

// Wall returns the time of day in milliseconds since the Unix epoch. Only
// promises stated as a time of day, such as the end of a version move, use it.
func (c Clock) Wall() Millis {
	if c.manual != nil {
		return c.manual.now()
	}
	return Millis(time.Now().UnixMilli())
}

// Sleep waits for d or until ctx ends, and returns ctx's error in that case.
// It always waits in real time: code under a Manual clock is stepped, not slept.
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

// Manual is a clock that moves only by hand. Its zero value stands at 0.
type Manual struct {
	mu sync.Mutex
	// at never decreases. Guarded by mu.
	at Millis
}

// Clock returns the Clock that reads m.
func (m *Manual) Clock() Clock { return Clock{manual: m} }

// Advance moves the clock forward by d; a negative d is ignored.
func (m *Manual) Advance(d Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d > 0 {
		m.at += d
	}
}

func (m *Manual) now() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.at
}
