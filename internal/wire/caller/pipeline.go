package caller

import (
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
)

const (
	// maxRequestsInFlight bounds the requests of one connection whose response is not
	// written whole.
	maxRequestsInFlight = 16
	// maxUnreadBytes bounds the bytes of one connection that were received and not read by
	// a handler. With more, the connection is not read, which slows the caller down.
	maxUnreadBytes = 64 << 10
	// maxHeldBytes bounds the bytes of responses of one connection that wait for their
	// turn. With more, their handlers wait.
	maxHeldBytes = 512 << 10
	// pipelineReadBytes is the size of the reads of a pipelined connection.
	pipelineReadBytes = 4 << 10
)

// pipeline serves a connection on which the caller sends requests before earlier ones
// were answered. It reads the connection, hands each request to a stream, and writes the
// responses in the order of the requests. A request begins when all before it are
// answered, or when the handlers of all before it let it; see AwaitTurn.
//
// A response that ends the connection leaves what lies behind it unread: requests that
// have not begun are dropped, those that have are cancelled, as if the caller had left.
//
// conn.mu guards all fields but conn.
type pipeline struct {
	conn *conn
	// changed is signalled when a field of the pipeline or of one of its streams changes.
	changed *sync.Cond
	// unreadBytes counts the bytes in conn.received and pending in streams.
	unreadBytes int
	// receiver is the stream whose request is being received, or nil between requests.
	receiver *stream
	// inFlight holds the streams whose response is not written whole, in the order of
	// their requests.
	inFlight []*stream
	// idle holds the streams without a request.
	idle []*stream
	// heldBytes counts the bytes held in streams.
	heldBytes int
	// isWriting is set while held bytes are written.
	isWriting bool
	// isFinished is set when a response has ended the connection.
	isFinished bool
}

// mustPipeline reports whether to begin a pipeline: the caller has sent a further request
// while that of s, the first stream, is being answered, and it may begin, or no more may be
// kept of it. A request that comes when the handler has returned waits for the last bytes
// of the response only. mu must be held.
func (c *conn) mustPipeline(s *stream) bool {
	if len(c.received) == 0 || !s.isServing || c.framing.isInRequest() {
		return false
	}
	return s.allowsNext && !s.isHandled || countBytes(c.received) >= c.maxUnread()
}

func countBytes(segments []segment) (count int) {
	for _, each := range segments {
		count += len(each.bytes)
	}
	return count
}

// beginPipeline starts a pipeline. No other goroutine may be reading the connection. mu
// must be held.
func (c *conn) beginPipeline() {
	p := &pipeline{conn: c, changed: sync.NewCond(&c.mu), inFlight: []*stream{c.first}, unreadBytes: countBytes(c.received)}
	c.pipeline = p
	_ = c.Conn.SetReadDeadline(time.Time{})
	c.first.startReadTimer()
	p.begin()
	go p.readConn()
}

// isNewest reports whether no request has begun after that of s.
func (p *pipeline) isNewest(s *stream) bool {
	return len(p.inFlight) == 0 || p.inFlight[len(p.inFlight)-1] == s
}

// isTurnOf reports whether all requests before that of s are answered.
func (p *pipeline) isTurnOf(s *stream) bool { return len(p.inFlight) > 0 && p.inFlight[0] == s }

// readConn reads the connection until the caller or this server ends it.
func (p *pipeline) readConn() {
	buffer := make([]byte, pipelineReadBytes)
	for hasEnded := false; !hasEnded; {
		p.awaitSpace()
		n, err := p.conn.Conn.Read(buffer)
		hasEnded = p.receive(buffer[:n], err)
	}
	if p.isClosing() {
		p.conn.closeInOrder()
	}
}

// awaitSpace waits until more bytes may be read from the caller.
func (p *pipeline) awaitSpace() {
	p.conn.mu.Lock()
	defer p.conn.mu.Unlock()
	for p.unreadBytes >= p.conn.maxUnread() && !p.isFinished {
		p.changed.Wait()
	}
}

// isClosing reports whether this server has ended the connection.
func (p *pipeline) isClosing() bool {
	p.conn.mu.Lock()
	defer p.conn.mu.Unlock()
	return p.conn.closingSince != 0
}

// receive takes what a read of the connection returned and reports whether the
// connection has ended.
func (p *pipeline) receive(received []byte, err error) (hasEnded bool) {
	p.conn.mu.Lock()
	defer p.conn.mu.Unlock()
	if p.conn.closingSince != 0 {
		p.conn.hasRefusedRequest, p.isFinished = len(received) > 0, true
		p.changed.Broadcast()
		return true
	}
	if len(received) > 0 {
		p.conn.keep(received)
		p.unreadBytes += len(received)
		p.begin()
	}
	if err == nil {
		return false
	}
	p.conn.hasLeft, p.conn.leftErr = true, err
	p.changed.Broadcast()
	p.closeIfEnded()
	return true
}

// begin hands what was received to streams, as far as its requests may begin.
func (p *pipeline) begin() {
	c := p.conn
	for len(c.received) > 0 {
		if p.receiver == nil && !p.beginRequest() {
			break
		}
		s := p.receiver
		s.pending = append(s.pending, c.advance(s, maxUnreadBytes)...)
		if !c.framing.isInRequest() {
			p.receiver = nil
		}
	}
	p.changed.Broadcast()
}

// beginRequest chooses a stream for the next request. It returns false if the request
// may not begin yet.
func (p *pipeline) beginRequest() bool {
	if !p.mayBegin() {
		return false
	}
	if len(p.inFlight) == 0 {
		_ = p.conn.Conn.SetReadDeadline(time.Time{})
	}
	s := p.takeStream()
	s.readDeadline = time.Time{}
	s.beginReceiving()
	s.waited = clock.Clock{}.Now() - p.conn.received[0].at
	p.inFlight = append(p.inFlight, s)
	p.receiver = s
	return true
}

// mayBegin reports whether the next request may begin. One that begins beside others
// counts as a connection of its own.
func (p *pipeline) mayBegin() bool {
	if p.conn.isLast || p.conn.idleRefusal != nil || p.isFinished || p.conn.hasLeft {
		return false
	}
	if len(p.inFlight) == 0 {
		return true
	}
	newest := p.inFlight[len(p.inFlight)-1]
	return newest.allowsNext && len(p.inFlight) < maxRequestsInFlight && p.conn.server.addStream()
}

// takeStream returns an idle stream or a new one.
func (p *pipeline) takeStream() *stream {
	if last := len(p.idle) - 1; last >= 0 {
		s := p.idle[last]
		p.idle = p.idle[:last]
		return s
	}
	s := &stream{conn: p.conn}
	p.conn.server.streams.add(s)
	return s
}

// read reads bytes that were handed to s. If there are none, it waits for them until the
// deadline of s or the end of the connection.
func (p *pipeline) read(s *stream, buffer []byte) (n int, err error) {
	for {
		switch {
		case len(s.pending) > 0:
			n = copy(buffer, s.pending)
			if s.pending = s.pending[n:]; len(s.pending) == 0 {
				s.pending = nil
			}
			p.unreadBytes -= n
			p.changed.Broadcast()
			return n, nil
		case !s.readDeadline.IsZero() && !time.Now().Before(s.readDeadline):
			if !s.hasRequest || s.isDone {
				// net/http ends a stream that was idle for too long.
				p.retire(s)
			}
			return 0, os.ErrDeadlineExceeded
		case s.isCancelled || p.conn.hasLeft || p.isFinished:
			return 0, io.EOF
		}
		p.changed.Wait()
	}
}

// hold holds bytes of a response until its turn. It returns false once the turn has come
// and the caller of hold must write them. It waits while too many bytes are held.
func (p *pipeline) hold(s *stream, content []byte) (isHeld bool, err error) {
	for {
		switch {
		case s.isCancelled || p.isFinished:
			return false, errCallerGone
		case p.isTurnOf(s) && !p.isWriting:
			return false, nil
		case p.heldBytes+len(content) <= maxHeldBytes:
			s.held = append(s.held, content...)
			p.heldBytes += len(content)
			return true, nil
		}
		p.changed.Wait()
	}
}

// complete records that net/http has written the response of s whole.
func (p *pipeline) complete(s *stream) {
	s.isDone = true
	p.writeHeld()
}

// end records that net/http has closed s. If s has a request, its response ends the
// connection.
func (p *pipeline) end(s *stream) {
	if s.readTimer != nil {
		s.readTimer.Stop()
	}
	if s.isDone || !slices.Contains(p.inFlight, s) {
		p.retire(s)
		return
	}
	s.isDone, s.isFinal = true, true
	p.writeHeld()
}

// retire makes s get no further request.
func (p *pipeline) retire(s *stream) {
	s.isRetired = true
	p.idle = slices.DeleteFunc(p.idle, func(other *stream) bool { return other == s })
}

// writeHeld writes the held bytes of responses whose turn has come, and begins further
// requests. It releases conn.mu while it writes.
func (p *pipeline) writeHeld() {
	if p.isWriting {
		return
	}
	p.isWriting = true
	for len(p.inFlight) > 0 {
		s := p.inFlight[0]
		if len(s.held) > 0 {
			p.writeHeldOf(s)
			continue
		}
		if !s.isDone {
			break
		}
		p.removeOldest()
		if s.isFinal {
			p.finish(s)
			break
		}
		s.hasRequest, s.isDone, s.isLast = false, false, false
		if !s.isRetired {
			p.idle = append(p.idle, s)
		}
	}
	p.isWriting = false
	p.begin()
	p.closeIfEnded()
}

func (p *pipeline) writeHeldOf(s *stream) {
	content := s.held
	s.held = nil
	p.heldBytes -= len(content)
	p.conn.mu.Unlock()
	_, err := p.conn.write(content)
	if err != nil {
		s.reportUndelivered(UndeliveredWriteFailed, err)
	}
	p.conn.mu.Lock()
	if err != nil {
		// readConn then sees the end of the connection too.
		_ = p.conn.Conn.Close()
	}
}

// removeOldest removes the oldest request in flight.
func (p *pipeline) removeOldest() {
	p.inFlight = slices.Delete(p.inFlight, 0, 1)
	if len(p.inFlight) > 0 {
		p.conn.server.removeStreams(1)
		return
	}
	p.conn.idleSince = clock.Clock{}.Now()
	_ = p.conn.Conn.SetReadDeadline(time.Now().Add(p.conn.server.idleTimeout()))
}

// finish ends the connection behind the response of last, which was written whole. It cancels
// all later requests and makes readConn close the connection.
func (p *pipeline) finish(last *stream) {
	p.isFinished, p.conn.last = true, last
	p.conn.beginClose()
	for _, s := range p.inFlight {
		s.isCancelled, s.held, s.pending = true, nil, nil
	}
	p.conn.server.removeStreams(max(len(p.inFlight)-1, 0))
	p.inFlight, p.receiver, p.conn.received = nil, nil, nil
	p.heldBytes, p.unreadBytes = 0, 0
	_ = p.conn.Conn.SetReadDeadline(pastDeadline)
}

// closeIfEnded closes the connection once nothing more can be read or is to be written.
func (p *pipeline) closeIfEnded() {
	if p.conn.hasLeft && len(p.inFlight) == 0 {
		_ = p.conn.Close()
	}
}
