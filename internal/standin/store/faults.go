package store

import (
	"net"
	"net/http"
	"slices"
	"strings"

	"baobabladder.example/baobabladder/internal/base/clock"
	wire "baobabladder.example/baobabladder/internal/wire/store"
)

// CallerHeader is the request header with the calling VM's name. A caller that does
// not send it is identified by its IP address.
const CallerHeader = "Store-Caller"

// Faults is the set of faults that the store injects. The zero value is a healthy
// store.
type Faults struct {
	// Unavailable answers every call with status 503, waiting watches included. The
	// stored objects do not change.
	Unavailable bool `json:"down,omitempty"`
	// Delay delays every call before it takes effect.
	Delay clock.Millis `json:"delay_ms,omitempty"`
	// LostAnswers selects writes that take effect but whose connection is closed
	// without an answer.
	LostAnswers []LostAnswer `json:"lose_answers,omitempty"`
	// WatchStall leaves watches unanswered until the fault is cleared.
	WatchStall bool `json:"watch_stall,omitempty"`
	// WatchDelay is how long a change stays hidden from watches.
	WatchDelay clock.Millis `json:"watch_delay_ms,omitempty"`
	// WatchReorder lists changes to watches newest first, and repeats the previous
	// answer in place of every second one.
	WatchReorder bool `json:"watch_reorder,omitempty"`
	// BlockedCallers lists callers whose connections are closed before their call
	// takes effect.
	BlockedCallers []string `json:"cut_off,omitempty"`
}

// LostAnswer suppresses the answers to a number of writes.
type LostAnswer struct {
	// KeyPrefix selects the writes by the key of their object.
	KeyPrefix string `json:"key_prefix"`
	// Count is how many more answers are to be suppressed.
	Count int `json:"count"`
}

// SetFaults replaces the current faults and wakes the waiting watches.
func (s *Store) SetFaults(faults Faults) {
	faults.LostAnswers = slices.Clone(faults.LostAnswers)
	faults.BlockedCallers = slices.Clone(faults.BlockedCallers)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.previousListing = nil
	s.notifyWatches()
}

// Faults returns the current faults. LostAnswer.Count holds the number of answers that
// are still to be suppressed.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	faults.LostAnswers = slices.Clone(faults.LostAnswers)
	return faults
}

// consumeLostAnswer reports whether to suppress the answer to a write of key, and
// decrements the matching LostAnswer.Count if so.
func (s *Store) consumeLostAnswer(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.faults.LostAnswers {
		lost := &s.faults.LostAnswers[i]
		if lost.Count > 0 && strings.HasPrefix(key, lost.KeyPrefix) {
			lost.Count--
			return true
		}
	}
	return false
}

// reorder returns the listing that a watch answers under Faults.WatchReorder: the
// given one with its objects reversed, or every second time the previous answer.
func (s *Store) reorder(listing wire.Listing) wire.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.Reverse(listing.Objects)
	if previous := s.previousListing; previous != nil {
		s.previousListing = nil
		return *previous
	}
	s.previousListing = &listing
	return listing
}

func callerOf(request *http.Request) string {
	if name := request.Header.Get(CallerHeader); name != "" {
		return name
	}
	host, _, _ := net.SplitHostPort(request.RemoteAddr)
	return host
}
