// Package blocklist recognizes requests that end the endpoints that run them, and that come
// again: a VM does not send what is on its List for a while. VMs merge their lists, so that
// all of them learn what one has seen.
//
// An endpoint may end for other reasons, beside sound requests that it runs. So only ends
// in sequence count: an attempt that began after the last end that is known. One answer from
// an endpoint clears a request, on all VMs. The first block is short, in case that two
// endpoints ended by chance. VMs end their blocks at different times, so that one of them
// tries the request again, one at a time, and the others learn how that went.
package blocklist

import (
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
	// trialSpacing is the time between the ends of a request's blocks on two VMs. It is about
	// as long as VMs need to learn from each other.
	trialSpacing = 2 * clock.Second
	// maxTrialTime is how long a VM waits for the outcome of a trial before it sends the
	// request again.
	maxTrialTime = 4 * clock.Second
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
	// vms holds the names of the VMs that may send a request, sorted. Guarded by mu.
	vms []string
	// ends holds the requests under which endpoints ended. Guarded by mu.
	ends map[Digest]record
	// answered holds requests that endpoints answered, each in the slot that its digest
	// selects. Guarded by mu.
	answered [answeredSlots]answer
	// cleared holds the requests that were on the list and then answered, until all VMs have
	// been told. Guarded by mu.
	cleared map[Digest]clock.Millis
}

// SetVMs sets the names of the VMs that may send a request.
func (l *List) SetVMs(vms []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sorted := slices.Sorted(slices.Values(vms))
	if slices.Equal(sorted, l.vms) {
		return
	}
	l.vms = sorted
	for digest, known := range l.ends {
		known.rank = l.rank(digest)
		l.ends[digest] = known
	}
}

// rank returns this VM's place in the order in which the VMs may send a request again. The
// caller must hold mu.
func (l *List) rank(digest Digest) (before int) {
	own := hashing.Strings(l.VM, string(digest[:]))
	for _, vm := range l.vms {
		if hashing.Strings(vm, string(digest[:])) < own {
			before++
		}
	}
	return before
}

// record is what is known of a request: how many endpoints ended, and when the last one did.
type record struct {
	ends   int
	lastAt clock.Millis
	// rank is List.rank.
	rank int
	// triedAt is when this VM sent the request again after its block, 0 if no such trial runs.
	triedAt clock.Millis
}

// freeAt returns when a trial that runs no longer keeps the request from being sent.
func (r record) freeAt() clock.Millis {
	if r.triedAt == 0 {
		return 0
	}
	return r.triedAt + maxTrialTime
}

// answer is an answered request and when its answer came.
type answer struct {
	digest Digest
	at     clock.Millis
}

// blockedUntil returns when this VM may send the request again.
func (r record) blockedUntil() clock.Millis {
	if r.ends < minEnds {
		return r.lastAt
	}
	length := blockTime
	for ends := minEnds; ends < r.ends && length < maxBlockTime; ends++ {
		length = min(length*blockGrowth, maxBlockTime)
	}
	return r.lastAt + length + min(clock.Millis(r.rank)*trialSpacing, maxBlockTime)
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

// Admit returns the block of a request that is to be sent, if it may not be. After a block
// one request at a time is admitted: how many more come until the first has ended its
// endpoint depends on the callers alone. endTrial must be called when an admitted request
// has ended.
func (l *List) Admit(digest Digest) (block Block, endTrial func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, found := l.ends[digest]
	if !found || known.ends < minEnds {
		return Block{}, func() {}
	}
	now := l.Clock.Now()
	if remaining := max(known.blockedUntil(), known.freeAt()) - now; remaining > 0 {
		return Block{known.ends, remaining}, func() {}
	}
	known.triedAt = now
	l.ends[digest] = known
	return Block{}, func() { l.endTrial(digest, now) }
}

// endTrial ends the trial that began at the given time, if it still runs.
func (l *List) endTrial(digest Digest, triedAt clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, found := l.ends[digest]; found && known.triedAt == triedAt {
		known.triedAt = 0
		l.ends[digest] = known
	}
}

// Find returns the block of a request.
func (l *List) Find(digest Digest) Block {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, found := l.ends[digest]
	if !found {
		return Block{}
	}
	remaining := known.blockedUntil() - l.Clock.Now()
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
	if !found {
		known.rank = l.rank(digest)
	}
	l.set(digest, record{ends: known.ends + 1, lastAt: l.Clock.Now(), rank: known.rank})
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
		case now > known.blockedUntil()+memory:
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
		known, found := l.ends[entry.Digest]
		toldAt := now - entry.Age - messageDelay
		switch {
		case entry.Ends < 0 || entry.Age < 0:
			continue
		case entry.Ends == 0:
			if found && toldAt >= known.lastAt {
				l.clear(entry.Digest, toldAt)
			}
			continue
		case l.isAnswered(entry, toldAt):
			continue
		case !found:
			known.rank = l.rank(entry.Digest)
		}
		told := record{ends: min(entry.Ends, maxEnds), lastAt: toldAt, rank: known.rank}
		if now <= told.blockedUntil()+memory {
			l.set(entry.Digest, record{max(known.ends, told.ends), max(known.lastAt, told.lastAt), known.rank, known.triedAt})
		}
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
	for _, known := range l.ends {
		if known.blockedUntil() > now {
			blocked++
		}
	}
	return blocked
}
