package caller

import (
	"net"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/reason"
)

// minFreshTime is how long a connection may stay without a head before it is closed for another
// one. An ordinary caller opens a connection to send a request at once.
const minFreshTime = 1 * clock.Second

// track wraps and registers an accepted connection. If MaxConnections is reached, it closes the
// connection that has been open longest without ending a head, if that is minFreshTime, so that
// callers that only hold connections keep no others out. It returns nil if there is none, or no
// memory.
func (s *Server) track(accepted net.Conn) *conn {
	c := newConn(accepted, s)
	if !c.openClaim() {
		return nil
	}
	displaced, isTracked := s.add(c)
	if displaced != nil {
		s.recordHead(HeadDisplacedConnection)
		_ = displaced.Close()
	}
	if !isTracked {
		c.claim.Release()
		return nil
	}
	return c
}

// add registers a connection, and returns one that must be closed for it.
func (s *Server) add(c *conn) (displaced *conn, isTracked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasRoom() {
		if displaced = s.popFresh(); displaced == nil {
			return nil, false
		}
		delete(s.conns, displaced)
	}
	s.conns[c] = struct{}{}
	c.fresh = s.fresh.PushBack(c)
	return displaced, true
}

// popFresh removes the first connection of fresh, or returns nil if it is too new. mu must be
// held.
func (s *Server) popFresh() *conn {
	element := s.fresh.Front()
	if element == nil {
		return nil
	}
	c := element.Value.(*conn)
	if (clock.Clock{}).Now()-c.openedAt < minFreshTime {
		return nil
	}
	s.removeFresh(c)
	return c
}

// removeFresh removes a connection from fresh, if it is there. mu must be held.
func (s *Server) removeFresh(c *conn) {
	if c.fresh != nil {
		s.fresh.Remove(c.fresh)
		c.fresh = nil
	}
}

// endFresh records that a head has ended on a connection.
func (s *Server) endFresh(c *conn) {
	if c.hasEndedHead.Load() || c.hasEndedHead.Swap(true) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeFresh(c)
}

// trackRefused is like track for a connection above MaxConnections, which is closed with
// refusal. It returns nil if there are maxConcurrentRefusals of them.
func (s *Server) trackRefused(accepted net.Conn, refusal *reason.Refusal) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusedConns >= min(maxConcurrentRefusals, max(s.maxConnections()/refusalDivisor, minConcurrentRefusals)) {
		return nil
	}
	c := newConn(accepted, s)
	c.idleRefusal, c.isAboveLimit = refusal, true
	c.beginClose()
	s.conns[c] = struct{}{}
	s.refusedConns++
	return c
}

// hasRoom reports whether another connection, or a further request in flight on one, is
// within MaxConnections. mu must be held.
func (s *Server) hasRoom() bool {
	return len(s.conns)-s.refusedConns+s.addedStreams < s.maxConnections()
}

func (s *Server) maxConnections() int {
	if s.MaxConnections == 0 {
		return s.defaultConnections
	}
	return s.MaxConnections
}

// addStream counts a request that runs beside an earlier one of its connection. It returns
// false if MaxConnections is reached.
func (s *Server) addStream() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasRoom() {
		return false
	}
	s.addedStreams++
	return true
}

// removeStreams undoes count calls of addStream.
func (s *Server) removeStreams(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addedStreams -= count
}

func (s *Server) untrack(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, isTracked := s.conns[c]; isTracked && c.isAboveLimit {
		s.refusedConns--
	}
	s.removeFresh(c)
	delete(s.conns, c)
}
