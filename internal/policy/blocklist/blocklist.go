// Package blocklist recognizes requests that end the endpoints that run them, and that come
// again: a VM does not send what is on its List for a while. VMs merge their lists, so that
// all of them learn what one has seen.
//
// An endpoint may end for other reasons, beside sound requests that it runs. So only ends
// in sequence count: an attempt that began after the last end that is known. One answer from
// an endpoint clears a request, on all VMs. The first block is short, in case that two
// endpoints ended by chance. VMs end their blocks at different times, so that one of them
// tries the request again and the others learn how that went.
package blocklist

import (
	"math"
	"slices"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/hashing"
)

const (
	// minEnds is the number of endpoints that must have ended in sequence before a request
	// is blocked.
	minEnds = 2
	// certainEnds is the number from which no answer that came before counts against them.
	certainEnds = 3
	// maxEnds bounds the ends that a peer's entry can state.
	maxEnds = 16
	// blockTime is how long a request is blocked after minEnds. Each further end multiplies
	// it by blockGrowth, up to maxBlockTime. Each VM adds a time of its own; see
	// trialSpacing.
	blockTime    = 2 * clock.Second
	blockGrowth  = 30
	maxBlockTime = 30 * clock.Minute
	// trialSpacing is the mean time between the ends of a request's blocks on two VMs. It is
	// about as long as VMs need to learn from each other.
	trialSpacing = 2 * clock.Second
	// memory is how long after the last end a request is remembered, beyond its block.
	memory = 10 * clock.Minute
	// maxEntries bounds the requests on a List. Those with the fewest ends, and then with
	// the oldest, go first.
	maxEntries = 1024
	// answeredMemory is how long an answer to a request keeps other VMs' entries with less
	// than certainEnds off the List.
	answeredMemory = 10 * clock.Second
	// answeredSlots is the number of answered requests that are remembered.
	answeredSlots = 2048
	// maxSent bounds the entries that are sent to a peer. Entries with less than minEnds are
	// sent for suspicionTime only.
	maxSent       = 48
	suspicionTime = 10 * clock.Second
	// messageDelay is allowed for the way of a peer's message. It is above the usual delay,
	// so that an end does not appear later each time that it goes round among VMs.
	messageDelay = 100 * clock.Millis(1)
)

// Entry is what VMs tell each other of a request.
type Entry struct {
	Digest Digest
	// Ends is the number of endpoints that are known to have ended in sequence; 0 states
	// that an endpoint has answered the request.
	Ends int
	// Age is the time since the last of them ended, or since the answer.
	Age clock.Millis
}

// List is one VM's list. Its zero value is ready to use.
type List struct {
	Clock clock.Clock
	// VM is this VM's name.
	VM string

	mu sync.Mutex
	// vms is the number of VMs that may send a request. Guarded by mu.
	vms int
	// ends holds the requests under which endpoints ended. Guarded by mu.
	ends map[Digest]record
	// answered holds requests that endpoints answered, each in the slot that its digest
	// selects. Guarded by mu.
	answered [answeredSlots]answer
	// cleared holds the requests that were on the list and then answered, until all VMs have
	// been told. Guarded by mu.
	cleared map[Digest]clock.Millis
}

// SetVMs sets the number of VMs that may send a request.
func (l *List) SetVMs(vms int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = vms
}

// record is what is known of a request: how many endpoints ended, and when the last one did.
type record struct {
	ends   int
	lastAt clock.Millis
}

// answer is an answered request and when its answer came.
type answer struct {
	digest Digest
	at     clock.Millis
}

// blockedUntil returns when this VM may send a request again. The caller must hold mu.
func (l *List) blockedUntil(digest Digest, known record) clock.Millis {
	if known.ends < minEnds {
		return known.lastAt
	}
	length := blockTime
	for ends := minEnds; ends < known.ends && length < maxBlockTime; ends++ {
		length = min(length*blockGrowth, maxBlockTime)
	}
	position := float64(hashing.Strings(l.VM, string(digest[:]))) / math.MaxUint64
	spread := clock.Millis(position * float64(clock.Millis(l.vms)*trialSpacing))
	return known.lastAt + length + min(spread, maxBlockTime)
}

// Block is a block of a request. Its zero value stands for none.
type Block struct {
	// Ends is the number of endpoints that ended under the request, 0 if it may be sent.
	Ends int
	// Remaining is the time until it may be sent again.
	Remaining clock.Millis
}

// IsCertain reports whether so many endpoints ended that the request will end the next.
func (b Block) IsCertain() bool { return b.Ends >= certainEnds }

// Find returns the block of a request.
func (l *List) Find(digest Digest) Block {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, found := l.ends[digest]
	if !found {
		return Block{}
	}
	remaining := l.blockedUntil(digest, known) - l.Clock.Now()
	if remaining <= 0 {
		return Block{}
	}
	return Block{known.ends, remaining}
}

// RecordEnd records that the endpoint ended to which a request was sent at the given time,
// and reports whether the request is blocked since.
func (l *List) RecordEnd(digest Digest, sentAt clock.Millis) (isBlocked bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, found := l.ends[digest]
	if found && sentAt < known.lastAt {
		return known.ends >= minEnds
	}
	slot := l.slotOf(digest)
	if slot.digest == digest {
		*slot = answer{}
	}
	delete(l.cleared, digest)
	l.set(digest, record{known.ends + 1, l.Clock.Now()})
	return known.ends+1 >= minEnds
}

// RecordAnswer records that an endpoint answered a request, which is on no list then.
func (l *List) RecordAnswer(digest Digest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	if _, found := l.ends[digest]; found {
		l.clear(digest, now)
	}
	*l.slotOf(digest) = answer{digest, now}
}

// clear takes a request off the list that an endpoint answered at the given time. The caller
// must hold mu.
func (l *List) clear(digest Digest, at clock.Millis) {
	delete(l.ends, digest)
	if l.cleared == nil {
		l.cleared = map[Digest]clock.Millis{}
	}
	if len(l.cleared) < maxSent {
		l.cleared[digest] = at
	}
}

// slotOf returns the slot of an answered request. The caller must hold mu.
func (l *List) slotOf(digest Digest) *answer {
	return &l.answered[(int(digest[0])<<8|int(digest[1]))%answeredSlots]
}

// Entries returns what to tell peers: the requests that are certain or blocked, those under
// which an endpoint has just ended, and those that have just been cleared; the most serious
// and the latest first.
func (l *List) Entries() (entries []Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	for digest, known := range l.ends {
		switch age := now - known.lastAt; {
		case now > l.blockedUntil(digest, known)+memory:
			delete(l.ends, digest)
		case known.ends >= minEnds || age < suspicionTime:
			entries = append(entries, Entry{digest, known.ends, age})
		}
	}
	for digest, at := range l.cleared {
		if now-at > suspicionTime {
			delete(l.cleared, digest)
			continue
		}
		entries = append(entries, Entry{Digest: digest, Age: now - at})
	}
	slices.SortFunc(entries, compare)
	return entries[:min(len(entries), maxSent)]
}

// compare orders entries: more ends first, then the later last end, then by digest.
func compare(a, b Entry) int {
	switch {
	case a.Ends != b.Ends:
		return b.Ends - a.Ends
	case a.Age != b.Age:
		return int(a.Age - b.Age)
	default:
		return slices.Compare(a.Digest[:], b.Digest[:])
	}
}

// Merge adds what a peer tells: the greater number of ends counts, and the later last end.
func (l *List) Merge(entries []Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	for _, entry := range entries {
		told := record{min(entry.Ends, maxEnds), now - entry.Age - messageDelay}
		known, found := l.ends[entry.Digest]
		switch {
		case entry.Ends < 0 || entry.Age < 0 || now > l.blockedUntil(entry.Digest, told)+memory:
			continue
		case entry.Ends == 0:
			if found && told.lastAt >= known.lastAt {
				l.clear(entry.Digest, told.lastAt)
			}
			continue
		case l.isAnswered(entry, told.lastAt):
			continue
		}
		l.set(entry.Digest, record{max(known.ends, told.ends), max(known.lastAt, told.lastAt)})
	}
}

// isAnswered reports whether an answer on this VM speaks against a peer's entry. The caller
// must hold mu.
func (l *List) isAnswered(entry Entry, lastAt clock.Millis) bool {
	slot := l.slotOf(entry.Digest)
	if slot.digest != entry.Digest || slot.at == 0 {
		return false
	}
	return slot.at >= lastAt || entry.Ends < certainEnds && l.Clock.Now()-slot.at < answeredMemory
}

// set stores a record and drops another one if there are too many. The caller must hold
// mu.
func (l *List) set(digest Digest, known record) {
	if l.ends == nil {
		l.ends = map[Digest]record{}
	}
	l.ends[digest] = known
	if len(l.ends) <= maxEntries {
		return
	}
	least := digest
	for other, candidate := range l.ends {
		kept := l.ends[least]
		if candidate.ends < kept.ends || candidate.ends == kept.ends && candidate.lastAt < kept.lastAt {
			least = other
		}
	}
	delete(l.ends, least)
}

// Count returns the number of requests that are blocked now.
func (l *List) Count() (blocked int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	for digest, known := range l.ends {
		if l.blockedUntil(digest, known) > now {
			blocked++
		}
	}
	return blocked
}
