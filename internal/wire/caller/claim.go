package caller

import (
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/memory"
)

const (
	// connCost is what an open connection claims, in bytes: its goroutine's stack, the buffers
	// of net/http, and a head and unread bytes of up to claimStep each.
	connCost = 24 << 10
	// headLineCost and headByteCost are what a head claims for each line and byte, in bytes.
	// A line with a distinct name takes up to 126 bytes in net/http: a slot in a map that is
	// at least 7/16 full, its name, and its list of values. Forwarding copies the fields.
	headLineCost = 192
	headByteCost = 4
	// claimStep is the unit of what a connection claims beyond connCost, so that a usual
	// request changes no claim.
	claimStep = 8 << 10
	// scarceUnreadBytes replaces maxUnreadBytes when there is no memory for more.
	scarceUnreadBytes = claimStep
)

// headSize is the size of a head before net/http parses it.
type headSize struct{ bytes, lines int }

// cost returns what the head may occupy in bytes, parsed and forwarded.
func (h headSize) cost() int64 {
	return int64(h.lines)*headLineCost + int64(h.bytes)*headByteCost
}

// beyondConn returns what a connection claims beyond connCost for a part of its memory that
// takes the given bytes: nothing up to claimStep, else a multiple of it.
func beyondConn(bytes int64) int64 {
	if bytes <= claimStep {
		return 0
	}
	return (bytes + claimStep - 1) / claimStep * claimStep
}

// openClaim claims the memory of an accepted connection. It returns false if there is none.
func (c *conn) openClaim() bool {
	c.claim = c.server.Memory.NewClaim(connCost, func() {
		c.server.recordHead(HeadDisplaced)
		_ = c.Close()
	})
	return c.claim != nil
}

// claimPhase returns the phase of the connection's claim. A connection with a further request
// in flight is not displaced, because that one may have run. mu must be held.
func (c *conn) claimPhase() memory.Phase {
	switch {
	case c.pipeline != nil && len(c.pipeline.inFlight) > 1:
		return memory.Running
	case c.framing.isInHead():
		return memory.InHead
	case c.framing.isInRequest() && !c.hasBody:
		return memory.InBody
	}
	return memory.Running
}

// updateClaim claims the given bytes for requests, and what was received and not read. It
// reports whether there is memory for it. mu must be held.
func (c *conn) updateClaim(requestBytes int64) bool {
	unread := countBytes(c.received)
	if c.pipeline != nil {
		unread = c.pipeline.unreadBytes
	}
	total, phase := requestBytes+beyondConn(int64(unread)), c.claimPhase()
	if c.claim == nil || total == c.claimed && (total == 0 || phase == c.phase) {
		return true
	}
	if !c.claim.Set(connCost+total, phase) {
		return false
	}
	c.requestBytes, c.claimed, c.phase = requestBytes, total, phase
	return true
}

// maxUnread returns how many bytes may be received and not read: maxUnreadBytes, or less if
// there is no memory. mu must be held.
func (c *conn) maxUnread() int {
	if c.updateClaim(c.requestBytes) {
		return maxUnreadBytes
	}
	return scarceUnreadBytes
}

// claimHead claims the memory of what was received of the stream's head, and rejects a request
// that finds none or whose head is too large. It does nothing once the head was received whole,
// because the request may run. conn.mu must be held.
func (s *stream) claimHead() {
	c := s.conn
	if s.isHeadWhole {
		return
	}
	s.isHeadWhole = !c.framing.isInHead()
	size, limit := c.framing.size, c.server.maxHeadBytes()
	if size.bytes > limit+headAllowance {
		s.reject(reason.NotRun(reason.HeadTooLarge, 0, "the head is larger than %d bytes", limit))
		return
	}
	if !s.claimRequest(max(s.cost, beyondConn(size.cost()))) {
		s.reject(newNoMemoryRefusal())
	}
}

func newNoMemoryRefusal() *reason.Refusal {
	return reason.NotRun(reason.OutOfMemory, defaultRetryAfter, "this VM has no memory for the request")
}

// claimRequest claims cost bytes in all for the stream's request. conn.mu must be held.
func (s *stream) claimRequest(cost int64) bool {
	c := s.conn
	if !c.updateClaim(c.requestBytes - s.cost + cost) {
		return false
	}
	s.cost = cost
	return true
}

// reject makes the next read of the stream refuse its request, whose head was not handed to
// net/http whole. conn.mu must be held.
func (s *stream) reject(refusal *reason.Refusal) {
	if s.rejection == nil {
		s.rejection = refusal
		s.isRejected.Store(true)
	}
	s.isLast, s.conn.isLast = true, true
	_ = s.claimRequest(0)
}

// getRejection returns the refusal of a rejected request.
func (s *stream) getRejection() *reason.Refusal {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	return s.rejection
}

// claimBody claims the memory of a body that is read into memory, beside that of the head.
func (s *stream) claimBody(bytes int64) error {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	if !s.claimRequest(beyondConn(s.conn.framing.size.cost()) + beyondConn(bytes)) {
		return newNoMemoryRefusal()
	}
	return nil
}

// endBody records that the body was received whole, so that the request is not displaced.
func (s *stream) endBody() {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	s.conn.hasBody = true
	_ = s.claimRequest(s.cost)
}
