// Package clock is the project's only source of time. All times and durations
// inside the system are Millis. Code that takes a Clock runs unchanged under
// the system clock and, in tests, under a Manual clock.
package clock

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
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

// bootOrigin is the zero point of Boottime.
var bootOrigin = boottime()

// boottime returns the time since the machine's start, including suspensions.
func boottime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every Linux kernel that Go supports has this clock.
		panic(err)
	}
	return time.Duration(now.Nano())
}

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

// Boottime returns the time since the process's origin, including the time for which the
// machine was suspended, during which Now does not advance on Linux. It is meant for leases,
// which expire on other machines during a suspension. It never decreases, and values of different processes are
// not comparable.
func (c Clock) Boottime() Millis {
	if c.manual != nil {
		return c.manual.boottime()
	}
	return FromDuration(boottime() - bootOrigin)
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

// Manual is a clock for tests that advances only by calls of Advance and Suspend. Its
// zero value starts at 0.
type Manual struct {
	mu sync.Mutex
	// current and suspended, the total of the suspensions, never decrease. Guarded by mu.
	current, suspended Millis
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

// Suspend moves only Boottime forward, by d. It ignores a negative d.
func (m *Manual) Suspend(d Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d > 0 {
		m.suspended += d
	}
}

func (m *Manual) boottime() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current + m.suspended
}
