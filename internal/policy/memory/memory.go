// Package memory bounds the memory that the connections of a process occupy together. It
// measures nothing: a connection states what it holds, by an estimate. Beyond the bound the
// package decides which connections are closed and which requests find no memory.
package memory

import (
	"container/list"
	"sync"
)

// share is the divisor of a process's memory that gives the limit of a Budget. The rest
// is for the program, the copy of the store's objects and what the garbage collector has not
// freed yet.
const share = 3

// Phase is what a connection does with the memory that it holds.
type Phase int

const (
	// Running is a connection that is idle or whose request was received whole. It is not
	// displaced.
	Running Phase = iota
	// InHead is a connection with a head that has not ended. These are displaced first.
	InHead
	// InBody is a connection with a body that has not ended.
	InBody
)

// Budget divides memory among the connections of a process. A nil Budget has no bound.
type Budget struct {
	limit int64

	mu sync.Mutex
	// used is the sum of all claims, at most limit. Guarded by mu.
	used int64
	// waiting holds the claims in the phases InHead and InBody, those that have been in
	// their phase longest first. Guarded by mu.
	waiting map[Phase]*list.List
}

// NewBudget returns the budget of a process that may use processMemory bytes.
func NewBudget(processMemory int64) *Budget {
	return &Budget{limit: processMemory / share, waiting: map[Phase]*list.List{InHead: list.New(), InBody: list.New()}}
}

// Claim is what one connection holds of a Budget.
type Claim struct {
	budget *Budget
	// displace closes the connection.
	displace func()

	// bytes is 0 after Release or a displacement. Guarded by budget.mu.
	bytes int64
	// phase and element tell where the claim waits; element is nil in the phase Running.
	// Guarded by budget.mu.
	phase   Phase
	element *list.Element
	// isEnded is set by Release and by a displacement. Guarded by budget.mu.
	isEnded bool
}

// NewClaim returns a claim in the phase Running, or nil if there is no memory for it. displace
// is called at most once, when the claim's memory is given to another connection. It must close
// the connection without waiting.
func (b *Budget) NewClaim(bytes int64, displace func()) *Claim {
	c := &Claim{budget: b, displace: displace}
	if !c.Set(bytes, Running) {
		return nil
	}
	return c
}

// Set changes what the claim holds and its phase, and reports whether there is memory for it.
// If not, the claim stays as it was. To make room, other claims that wait for a head or a body
// and hold at least as much are displaced, so that a connection that holds little is never
// closed for one that holds more.
func (c *Claim) Set(bytes int64, phase Phase) bool {
	b := c.budget
	if b == nil {
		return true
	}
	b.mu.Lock()
	var displaced []*Claim
	isGranted := !c.isEnded
	if isGranted {
		displaced, isGranted = b.makeRoom(c, bytes)
	}
	if isGranted {
		b.used += bytes - c.bytes
		c.bytes = bytes
		c.enter(phase)
	}
	b.mu.Unlock()
	for _, other := range displaced {
		other.displace()
	}
	return isGranted
}

// Release gives back all that the claim holds.
func (c *Claim) Release() {
	if c.budget == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.end()
}

// Used returns the sum of all claims in bytes.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// makeRoom ends claims until c can hold the given number of bytes, and returns them. It ends
// none if that is not enough. mu must be held.
func (b *Budget) makeRoom(c *Claim, bytes int64) (displaced []*Claim, isGranted bool) {
	missing := b.used + bytes - c.bytes - b.limit
	if missing <= 0 || bytes <= c.bytes {
		return nil, true
	}
	for _, phase := range []Phase{InHead, InBody} {
		for element := b.waiting[phase].Front(); element != nil && missing > 0; element = element.Next() {
			if other := element.Value.(*Claim); other != c && other.bytes >= bytes {
				displaced = append(displaced, other)
				missing -= other.bytes
			}
		}
	}
	if missing > 0 {
		return nil, false
	}
	for _, other := range displaced {
		other.end()
	}
	return displaced, true
}

// enter puts the claim into a phase. budget.mu must be held.
func (c *Claim) enter(phase Phase) {
	if phase == c.phase {
		return
	}
	if c.element != nil {
		c.budget.waiting[c.phase].Remove(c.element)
		c.element = nil
	}
	c.phase = phase
	if phase != Running {
		c.element = c.budget.waiting[phase].PushBack(c)
	}
}

// end gives back what the claim holds. budget.mu must be held.
func (c *Claim) end() {
	c.enter(Running)
	c.budget.used -= c.bytes
	c.bytes, c.isEnded = 0, true
}
