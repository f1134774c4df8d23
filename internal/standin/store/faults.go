package store

import (
	"net"
	"net/http"
	"slices"
	"strings"

	"baobabladder.example/baobabladder/internal/base/clock"
	wire "baobabladder.example/baobabladder/internal/wire/store"
)

// CallerHeader names the VM that calls. Without it a caller is known by its IP
// number.
const CallerHeader = "Store-Caller"

// Faults are what goes wrong. The zero value is a healthy store.
type Faults struct {
	// Down answers every call with 503, waiting watches included; nothing changes.
	Unavailable bool `json:"down,omitempty"`
	// Delay holds up every call before it takes effect.
	Delay clock.Millis `json:"delay_ms,omitempty"`
	// LoseAnswers lets changes take effect and cuts the connection without an answer.
	LostAnswers []LostAnswer `json:"lose_answers,omitempty"`
	// WatchStall gives watches no answer at all until the fault is lifted.
	WatchStall bool `json:"watch_stall,omitempty"`
	// WatchDelay shows changes to watches this much later.
	WatchDelay clock.Millis `json:"watch_delay_ms,omitempty"`
	// WatchReorder answers watches with the newest change first, and each second
	// time with an earlier answer.
	WatchReorder bool `json:"watch_reorder,omitempty"`
	// CutOff lists callers whose connections are cut before a call takes effect.
	BlockedCallers []string `json:"cut_off,omitempty"`
}

// LostAnswer is a number of answers to lose.
type LostAnswer struct {
	// KeyPrefix starts the keys of the objects whose changes are concerned.
	KeyPrefix string `json:"key_prefix"`
	// Count is how many answers are still to be lost.
	Count int `json:"count"`
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(faults Faults) {
	faults.LostAnswers = slices.Clone(faults.LostAnswers)
	faults.BlockedCallers = slices.Clone(faults.BlockedCallers)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.earlier = nil
	s.announce()
}

// Faults returns the faults in force, with the counts still to come.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	faults.LostAnswers = slices.Clone(faults.LostAnswers)
	return faults
}

// takeLostAnswer reports whether the answer to a change of key is to be lost.
func (s *Store) takeLostAnswer(key string) bool {
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

// reorder returns what a watch shows instead of listing.
func (s *Store) reorder(listing wire.Listing) wire.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.Reverse(listing.Objects)
	if earlier := s.earlier; earlier != nil {
		s.earlier = nil
		return *earlier
	}
	s.earlier = &listing
	return listing
}

func callerOf(request *http.Request) string {
	if name := request.Header.Get(CallerHeader); name != "" {
		return name
	}
	host, _, _ := net.SplitHostPort(request.RemoteAddr)
	return host
}
