// Package wakeup lets one goroutine wake another that waits in a loop.
package wakeup

import "sync"

// Signal wakes a waiting goroutine early. Notifications that come before the goroutine
// waits again count as one. Its zero value is ready for use; it must not be copied
// after first use.
type Signal struct {
	mu sync.Mutex
	// pending, of capacity 1, holds a value while a notification is pending. It is
	// created at first use and never replaced. Guarded by mu.
	pending chan struct{}
}

// Notify makes the next receive from C, or the one that waits now, return. It never
// blocks.
func (s *Signal) Notify() {
	select {
	case s.channel() <- struct{}{}:
	default:
	}
}

// C returns the channel that receives a value after Notify.
func (s *Signal) C() <-chan struct{} { return s.channel() }

func (s *Signal) channel() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		s.pending = make(chan struct{}, 1)
	}
	return s.pending
}
