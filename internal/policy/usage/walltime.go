package usage

import "baobabladder.example/baobabladder/internal/base/clock"

const (
	// jumpThreshold is the difference between the wall clock and the wall time by wallTime above
	// which the wall clock has jumped. The two do not drift apart: both are slewed alike.
	jumpThreshold = 20 * clock.Millis(1)
	// jumpSettleTime is how long the difference must stay the same before the wall clock is
	// read again, so that a jump that is taken back changes no window.
	jumpSettleTime = 10 * clock.Second
)

// wallTime converts monotonic times to wall times. The wall clock is read once and advanced
// by the monotonic clock, so that a jump does not move requests to another window.
type wallTime struct {
	isSet bool
	// offset is the wall time less the monotonic time.
	offset clock.Millis
	// newOffset is the offset that differs from offset since differsSince.
	newOffset, differsSince clock.Millis
	isDiffering             bool
}

// update checks whether the wall clock has jumped. It must be called regularly.
func (w *wallTime) update(now, wall clock.Millis) {
	seen := wall - now
	switch {
	case !w.isSet:
		w.isSet, w.offset = true, seen
	case absolute(seen-w.offset) <= jumpThreshold:
		w.isDiffering = false
	case !w.isDiffering || absolute(seen-w.newOffset) > jumpThreshold:
		w.isDiffering, w.newOffset, w.differsSince = true, seen, now
	case now-w.differsSince >= jumpSettleTime:
		w.isDiffering, w.offset = false, seen
	}
}

// at returns the wall time of a monotonic time.
func (w *wallTime) at(now clock.Millis) clock.Millis { return now + w.offset }

func absolute(d clock.Millis) clock.Millis { return max(d, -d) }
