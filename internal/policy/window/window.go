// Package window sums up counts over the last seconds or minutes.
package window

import "baobabladder.example/baobabladder/internal/base/clock"

// Counter is a pointer to counts that can be summed up.
type Counter[T any] interface {
	*T
	// Add adds the counts of other.
	Add(other *T)
	// Clear sets all counts to 0.
	Clear()
}

// Sliding holds counts of the last Count spans of time, the current one included. Span and
// Count must be set and must not change.
type Sliding[T any, C Counter[T]] struct {
	Span  clock.Millis
	Count int

	// spans is a ring; span i of all since time 0 is at i modulo Count.
	spans []T
	// spanIndex is the number of spans from time 0 to the newest one.
	spanIndex int64
}

// Advance clears the spans that have left the window and returns the counts of the newest
// one.
func (s *Sliding[T, C]) Advance(now clock.Millis) *T {
	if s.spans == nil {
		s.spans = make([]T, s.Count)
	}
	count := int64(len(s.spans))
	at := int64(now / s.Span)
	for cleared := int64(0); s.spanIndex < at && cleared < count; cleared++ {
		s.spanIndex++
		C(&s.spans[s.spanIndex%count]).Clear()
	}
	s.spanIndex = at
	return &s.spans[at%count]
}

// Sum returns the sum of all counts in the window.
func (s *Sliding[T, C]) Sum(now clock.Millis) (sum T) {
	s.Advance(now)
	for i := range s.spans {
		C(&sum).Add(&s.spans[i])
	}
	return sum
}
