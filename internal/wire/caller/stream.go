package caller

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/reason"
)

// idleStreamTimeout is how long a stream other than a connection's first waits for a
// request before it ends.
const idleStreamTimeout = 1 * clock.Second

// stream carries requests of a caller's connection that are served one after the other.
// net/http takes it for a connection. While a connection has only its first stream, the
// stream reads and writes the connection itself; after that the pipeline hands requests
// to streams and puts their responses in order.
//
// conn.mu guards all fields but conn and isRejected.
type stream struct {
	conn *conn

	// hasRequest is set when a byte was read of a request that has no complete
	// response yet.
	hasRequest bool
	// isServing is set from the start of the request's handler to the end of its response,
	// isHandled once the handler has returned.
	isServing, isHandled bool
	// headRefusal is the refusal of the request whose head was read, or nil.
	headRefusal *reason.Refusal
	// state is the state of the current or last request, since when it began, requestID the
	// request's id, and bodyBytes the number of bytes received of its body; see Connection.
	state     ConnState
	since     clock.Millis
	requestID string
	bodyBytes int64
	// isAnswerBegun is set when the handler began a response and the caller had not left, and
	// isAnswered when that handler has returned without breaking the response off.
	// isUndelivered is set when the response was reported as not delivered.
	isAnswerBegun, isAnswered, isUndelivered bool
	// isEndUnmarked is set while the handler writes a response that ends with the connection.
	isEndUnmarked bool
	// awaitsNext is set from the end of a request until net/http sets the deadline of the next.
	awaitsNext bool
	// isLast is set when the connection accepts no request after this one.
	isLast bool
	// isRefused is set when the stream itself refused the current request.
	isRefused bool
	// allowsNext is set when the connection's next request may begin before the response
	// to this one is complete; see AwaitTurn.
	allowsNext bool
	// waited is how long the request waited behind earlier ones before it began.
	waited clock.Millis

	// isHeadWhole is set when the head of the current request was received whole.
	isHeadWhole bool
	// rejection is the refusal of a request before its head was handed over whole, or nil.
	// isRejected, which needs no lock, is set with it.
	rejection  *reason.Refusal
	isRejected atomic.Bool
	// cost is what the connection has claimed for the request.
	cost int64

	// pending holds bytes of the request that were handed to the stream and not read yet.
	pending []byte
	// readDeadline is the deadline of reads, which readTimer enforces in a pipeline.
	readDeadline time.Time
	readTimer    *time.Timer
	// held holds the bytes of a response whose turn has not come.
	held []byte
	// isDone is set when the response is complete but may wait for its turn, isFinal when
	// it also ends the connection.
	isDone, isFinal bool
	// isRetired is set when the stream gets no further request.
	isRetired bool
	// isCancelled is set when the connection ended before the turn of the response came.
	isCancelled bool
}

// Read implements net.Conn.
func (s *stream) Read(buffer []byte) (n int, err error) {
	n, isPipelined, err := s.conn.read(s, buffer)
	if isPipelined {
		n, err = s.readPending(buffer)
	}
	if s.isRejected.Load() {
		s.refuse(s.getRejection())
		return 0, io.EOF
	}
	return n, err
}

// readPending reads what the pipeline hands to the stream.
func (s *stream) readPending(buffer []byte) (n int, err error) {
	c := s.conn
	c.mu.Lock()
	n, err = c.pipeline.read(s, buffer)
	// Once mu is released, the pipeline may hand over the rest of the head.
	isSlow := errors.Is(err, os.ErrDeadlineExceeded) && s.isInHead()
	c.mu.Unlock()
	if isSlow {
		s.refuseSlowHead()
	}
	return n, err
}

// isInHead reports whether a part of a request's head was handed to the stream. conn.mu must
// be held.
func (s *stream) isInHead() bool {
	c := s.conn
	return s.hasRequest && c.framing.isInHead() && (c.pipeline == nil || c.pipeline.receiver == s)
}

// refuseSlowHead refuses the request whose head has not come in time.
func (s *stream) refuseSlowHead() {
	s.refuse(reason.NotRun(reason.HeadTooSlow, 0, "the request's head came too slowly"))
}

// markReceived records that bytes of a request were handed to the stream. conn.mu must be
// held.
func (s *stream) markReceived() {
	c := s.conn
	if !s.hasRequest {
		s.beginReceiving()
	}
	s.claimHead()
	s.bodyBytes = c.framing.bodyBytes
	if s.state == ConnReceiving && !c.framing.isInRequest() {
		s.setState(ConnHandling)
	}
	if c.framing.refusal != nil {
		s.headRefusal, c.framing.refusal = c.framing.refusal, nil
	}
	s.isLast = s.isLast || c.framing.isEndUnknown
	c.isLast = c.isLast || s.isLast
}

// Write implements net.Conn. What net/http writes while no handler runs is an error
// response of its own; Write replaces it with a refusal.
func (s *stream) Write(buffer []byte) (int, error) {
	c := s.conn
	c.mu.Lock()
	isServing, isAnswered, isPipelined := s.isServing, s.isAnswered, c.pipeline != nil
	c.mu.Unlock()
	if isServing {
		n, err := s.writeResponse(buffer, isPipelined)
		if err != nil && isAnswered {
			s.reportUndelivered(UndeliveredWriteFailed, err)
		}
		return n, err
	}
	refusal := reason.NotRun(reason.BadRequest, 0, "the request is malformed")
	if bytes.HasPrefix(buffer, []byte("HTTP/1.1 431")) {
		refusal = reason.NotRun(reason.HeadTooLarge, 0, "the head is larger than %d bytes", c.server.maxHeadBytes())
	}
	s.refuse(refusal)
	return len(buffer), nil
}

func (s *stream) writeResponse(buffer []byte, isPipelined bool) (int, error) {
	if isPipelined {
		return s.writeInTurn(buffer)
	}
	return s.conn.write(buffer)
}

// writeInTurn writes bytes of a response behind all earlier responses of a pipelined
// connection. It may return before they are written.
func (s *stream) writeInTurn(buffer []byte) (int, error) {
	c := s.conn
	c.mu.Lock()
	isHeld, err := c.pipeline.hold(s, buffer)
	c.mu.Unlock()
	if isHeld || err != nil {
		return len(buffer), err
	}
	return c.write(buffer)
}

// refuse writes and records the refusal of a request that reached no handler. It does
// nothing if the request was refused already or the connection is being closed.
func (s *stream) refuse(refusal *reason.Refusal) {
	c := s.conn
	c.mu.Lock()
	first, isPipelined := !s.isRefused && c.idleRefusal == nil, c.pipeline != nil
	s.isRefused = true
	c.mu.Unlock()
	if !first {
		return
	}
	c.server.Refusals.Record(refusal, nil)
	c.server.recordHead(headCauses[refusal.Reason])
	if isPipelined {
		_, _ = s.writeInTurn(rawRefusal(refusal))
		return
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(rawWriteTimeout.Duration()))
	_, _ = c.Conn.Write(rawRefusal(refusal))
}

// CloseWrite closes the connection in order. net/http calls it for a request whose body was not
// read whole, then waits for half a second, and calls Close.
func (s *stream) CloseWrite() error { return s.Close() }

// Close implements net.Conn. It closes the connection in order; net/http calls it in the
// goroutine that served the connection.
func (s *stream) Close() error {
	if !s.endInPipeline() {
		s.conn.closeInOrder()
	}
	return nil
}

// endInPipeline ends the stream in the connection's pipeline, or returns false if there is
// none.
func (s *stream) endInPipeline() bool {
	c := s.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pipeline == nil {
		return false
	}
	c.pipeline.end(s)
	return true
}

// SetReadDeadline implements net.Conn.
func (s *stream) SetReadDeadline(at time.Time) error {
	c := s.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	at = s.limitDeadline(at)
	if s != c.first && !s.hasRequest && !at.IsZero() {
		at = earlier(at, time.Now().Add(idleStreamTimeout.Duration()))
	}
	s.readDeadline = at
	if c.pipeline == nil && c.closingSince != 0 {
		return nil
	}
	if c.pipeline == nil {
		return c.Conn.SetReadDeadline(at)
	}
	s.startReadTimer()
	return nil
}

// limitDeadline replaces a deadline of net/http for a head or the next request by that of the
// limits in force, which may have changed since the server began. net/http uses the default times.
// conn.mu must be held.
func (s *stream) limitDeadline(at time.Time) time.Time {
	isIdle := s.awaitsNext
	s.awaitsNext = false
	switch {
	case s.isServing || at.IsZero() || !at.After(pastDeadline):
		return at
	case isIdle:
		return at.Add(s.conn.server.idleTimeout() - defaultIdleTimeout.Duration())
	default:
		return at.Add(s.conn.server.headTimeout() - defaultHeadTimeout.Duration())
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// startReadTimer makes reads of the stream notice its deadline. conn.mu must be held, and
// there must be a pipeline.
func (s *stream) startReadTimer() {
	if s.readTimer != nil {
		s.readTimer.Stop()
		s.readTimer = nil
	}
	wait := time.Until(s.readDeadline)
	switch {
	case s.readDeadline.IsZero():
	case wait <= 0:
		s.conn.pipeline.changed.Broadcast()
	default:
		s.readTimer = time.AfterFunc(wait, s.conn.pipeline.wake)
	}
}

// SetWriteDeadline implements net.Conn. In a pipeline it does nothing, because streams
// share the connection.
func (s *stream) SetWriteDeadline(at time.Time) error {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	if s.conn.pipeline != nil {
		return nil
	}
	return s.conn.Conn.SetWriteDeadline(at)
}

// SetDeadline implements net.Conn.
func (s *stream) SetDeadline(at time.Time) error {
	return errors.Join(s.SetReadDeadline(at), s.SetWriteDeadline(at))
}

// LocalAddr implements net.Conn.
func (s *stream) LocalAddr() net.Addr { return s.conn.LocalAddr() }

// RemoteAddr implements net.Conn.
func (s *stream) RemoteAddr() net.Addr { return s.conn.RemoteAddr() }

// beginRequest records that the handler runs. It returns the refusal of the head, or
// nil, and whether the request is the last one on the connection.
func (s *stream) beginRequest() (refusal *reason.Refusal, isLast bool) {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	s.isServing = true
	if s.conn.framing.isEndUnknown && s.state == ConnReceiving {
		s.setState(ConnHandling)
	}
	refusal, s.headRefusal = s.headRefusal, nil
	return refusal, s.isLast
}

// beginAnswer records that the handler begins its response. If only the end of the connection
// tells where the response ends, every close before endAnswer, also that by the end of the
// process, is a reset.
func (s *stream) beginAnswer(endsWithConnection bool) {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	s.isAnswerBegun = !s.conn.hasLeft && !s.isCancelled
	if endsWithConnection {
		s.isEndUnmarked = true
		s.conn.setLinger(0)
	}
}

// endAnswer records that the handler has returned without breaking its response off.
func (s *stream) endAnswer() {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	s.isAnswered = s.isAnswerBegun
	if s.isEndUnmarked {
		s.isEndUnmarked = false
		s.conn.setLinger(-1)
	}
}

// endHandler records that the handler has returned.
func (s *stream) endHandler() {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	s.isHandled = true
	s.setState(ConnWriting)
}

// beginLast makes the stream's request the last one of the connection. It returns false
// if a later one has begun already.
func (s *stream) beginLast() bool {
	c := s.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pipeline != nil && !c.pipeline.isNewest(s) {
		return false
	}
	s.isLast, c.isLast = true, true
	return true
}

// onConnState is the http.Server's ConnState hook. It ends the current request of the
// stream when net/http reports the stream as idle.
func onConnState(connection net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	s := connection.(*stream)
	c := s.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	s.isServing, s.isHandled, s.allowsNext, s.waited, s.awaitsNext = false, false, false, 0, true
	_ = s.claimRequest(0)
	if c.pipeline == nil {
		// net/http may have read the beginning of the next request.
		s.hasRequest, c.idleSince = false, clock.Clock{}.Now()
		if c.framing.isInRequest() {
			s.beginReceiving()
		}
		return
	}
	c.pipeline.complete(s)
}

// errCallerGone is what a stream's writes return after the connection has ended.
var errCallerGone = errors.New("the caller's connection has ended")
