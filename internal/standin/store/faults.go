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
	// Delay is the time by which every call is delayed before it takes effect.
	Delay clock.Millis `json:"delay_ms,omitempty"`
	// LostReplies selects writes that take effect, but whose connection is then closed
	// without a reply.
	LostReplies []LostReply `json:"lose_answers,omitempty"`
	// WatchStall leaves watches unanswered until the fault is cleared.
	WatchStall bool `json:"watch_stall,omitempty"`
	// WatchDelay is how long a change stays hidden from watches.
	WatchDelay clock.Millis `json:"watch_delay_ms,omitempty"`
	// WatchReorder lists changes to watches newest first, and repeats the previous
	// reply in place of every second one.
	WatchReorder bool `json:"watch_reorder,omitempty"`
	// BlockedCallers lists callers whose connections are closed before their call
	// takes effect. Their waiting watches are closed too.
	BlockedCallers []string `json:"cut_off,omitempty"`
}

// LostReply selects writes whose replies are lost.
type LostReply struct {
	// KeyPrefix selects the writes by the key of their object.
	KeyPrefix string `json:"key_prefix"`
	// Count is how many more replies are lost.
	Count int `json:"count"`
}

// SetFaults replaces the current faults and wakes the waiting watches.
func (s *Store) SetFaults(faults Faults) {
	faults.LostReplies = slices.Clone(faults.LostReplies)
	faults.BlockedCallers = slices.Clone(faults.BlockedCallers)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.previousListing = nil
	s.notifyWatches()
}

// Faults returns the current faults. LostReply.Count holds the number of replies that
// are still to be lost.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	faults.LostReplies = slices.Clone(faults.LostReplies)
	return faults
}

// consumeLostReply reports whether the reply to a write of key is lost. If so, it
// decrements the Count of the first LostReply that matches.
func (s *Store) consumeLostReply(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.faults.LostReplies {
		lost := &s.faults.LostReplies[i]
		if lost.Count > 0 && strings.HasPrefix(key, lost.KeyPrefix) {
			lost.Count--
			return true
		}
	}
	return false
}

// reorder returns the listing to send to a watch under Faults.WatchReorder: the given one
// with its objects reversed, or every second time the one sent before.
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
