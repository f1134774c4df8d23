package tracker

import "baobabladder.example/baobabladder/internal/base/clock"

// messageDelay is allowed for the way of a peer's message. It is above the usual delay, so
// that an age that goes round among VMs does not shrink.
const messageDelay = 100 * clock.Millis(1)

// Age returns how old the copy may be: the time since it was last known to be complete.
// known is false if it never was.
func (f *Feed) Age() (age clock.Millis, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Clock.Now() - f.completeAt, f.hasBeenComplete
}

// Confirm records that a peer's copy, whose newest change is given, was complete age before
// the peer sent this. It confirms this VM's copy if that has all changes that the peer has.
func (f *Feed) Confirm(newest int64, age clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revision > 0 && f.newest >= newest {
		f.setCompleteAt(f.Clock.Now() - age - messageDelay)
	}
}

// setCompleteAt records a time at which the copy was complete. The caller must hold mu.
func (f *Feed) setCompleteAt(at clock.Millis) {
	if !f.hasBeenComplete || at > f.completeAt {
		f.completeAt, f.hasBeenComplete = at, true
	}
}

// OldestAge returns the age of the oldest copy. known is false if a feed has none.
func OldestAge(feeds []*Feed) (oldest clock.Millis, known bool) {
	for _, feed := range feeds {
		age, isKnown := feed.Age()
		if !isKnown {
			return 0, false
		}
		oldest = max(oldest, age)
	}
	return oldest, len(feeds) > 0
}
