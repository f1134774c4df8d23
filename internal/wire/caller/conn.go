package caller

import (
	"bytes"
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/memory"
)

// conn is one caller's connection. It parses the bytes that net/http reads, because
// net/http does not report where a request ends, nor the requests that it refuses
// itself, nor a head with both Content-Length and Transfer-Encoding.
//
// net/http reads the connection through its first stream. Once a request may begin before
// the one before it was answered, a pipeline reads it instead.
type conn struct {
	net.Conn
	server *Server
	// first is the stream of the first request.
	first *stream
	// writingSince is when the write in progress began, a clock.Millis, or 0.
	writingSince atomic.Int64
	closeOnce    sync.Once
	openedAt     clock.Millis
	// hasEndedHead is set when a head has ended.
	hasEndedHead atomic.Bool

	mu sync.Mutex
	// idleSince is when the connection last became idle, closingSince when this server began
	// to close it, or 0. Guarded by mu.
	idleSince, closingSince clock.Millis
	// framing is the position of what was handed to streams. Guarded by mu.
	framing framing
	// received holds what was read and not handed to a stream, in order. Guarded by mu.
	received []segment
	// pipeline is nil until a request may begin before the one before it was answered.
	// Guarded by mu.
	pipeline *pipeline
	// idleRefusal is the refusal with which the connection is closed though no request was
	// read, or nil. hasRefusedRequest is set if a request came meanwhile. Guarded by mu.
	idleRefusal       *reason.Refusal
	hasRefusedRequest bool
	// claim is the connection's share of the process's memory. Nothing is claimed for a
	// connection that is only refused, whose claim is nil.
	claim *memory.Claim
	// claimed is what the connection has claimed beyond connCost, requestBytes the part of it
	// for requests, and phase the claim's phase. Guarded by mu.
	claimed, requestBytes int64
	phase                 memory.Phase
	// hasBody is set when the body of the current request was received whole. Guarded by mu.
	hasBody bool
	// fresh is the connection's place in server.fresh, or nil. Guarded by server.mu.
	fresh *list.Element
	// isAboveLimit is set for a connection above MaxConnections, which is only refused.
	isAboveLimit bool
	// last is the stream of the last request, once the connection is being closed. Guarded by
	// mu.
	last *stream
	// hasLeft is set when nothing more can be read from the caller, and leftErr to the error
	// of the last read then. Guarded by mu.
	hasLeft bool
	leftErr error
	// isLast is set when the connection accepts no request after those that have begun.
	// Guarded by mu.
	isLast bool
}

// maxWriteBytes is the size of the parts in which a response is written, so that the time of
// a write tells whether the caller reads.
const maxWriteBytes = 32 << 10

// maxSegments bounds the segments of a connection, since many small ones would take much
// more memory than their bytes.
const maxSegments = 64

// segment is what one read of a connection returned. The last one of maxSegments also holds
// what came later.
type segment struct {
	at    clock.Millis
	bytes []byte
}

func newConn(accepted net.Conn, server *Server) *conn {
	c := &conn{Conn: accepted, server: server, openedAt: clock.Clock{}.Now()}
	c.idleSince = c.openedAt
	c.first = &stream{conn: c}
	c.last = c.first
	return c
}

// read reads the connection for its first stream, unless there is a pipeline. While the
// handler of the stream's request runs, it only notices that the caller leaves, and keeps
// what the caller sends meanwhile.
func (c *conn) read(s *stream, buffer []byte) (n int, isPipelined bool, err error) {
	for {
		n, next := c.readReceived(s, buffer)
		if n > 0 || next == readPipeline {
			return n, next == readPipeline, nil
		}
		into := buffer
		if next == readAhead {
			into = make([]byte, pipelineReadBytes)
		}
		count, err := c.Conn.Read(into)
		if count > 0 {
			n, isClosing := c.take(s, into[:count], next == readRequest)
			if isClosing {
				return 0, false, io.EOF
			}
			if n > 0 {
				return n, false, err
			}
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.markLeft(err)
			return 0, false, err
		}
		if next == readRequest {
			if c.isInHead(s) {
				s.refuseSlowHead()
			}
			return 0, false, err
		}
		if !c.wantsPipeline(s) {
			return 0, false, err
		}
	}
}

// readStep is what the first stream's next read of a connection is for.
type readStep int

const (
	// readRequest reads the current request.
	readRequest readStep = iota
	// readEnd waits for the caller to leave while the request's handler runs or is about
	// to.
	readEnd
	// readAhead does the same when a part of a further request was received.
	readAhead
	// readPipeline leaves reading to the pipeline.
	readPipeline
)

// readReceived reads what was received of the current request of s. If that is nothing, it
// returns what to read next.
func (c *conn) readReceived(s *stream, buffer []byte) (n int, next readStep) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pipeline == nil && c.mustPipeline(s) {
		c.beginPipeline()
	}
	hasReceived := len(c.received) > 0
	switch {
	case c.pipeline != nil:
		return 0, readPipeline
	case s.hasRequest && !s.isHandled && !c.framing.isInRequest():
		if hasReceived {
			return 0, readAhead
		}
		return 0, readEnd
	case !hasReceived:
		return 0, readRequest
	}
	if !s.hasRequest {
		s.waited = clock.Clock{}.Now() - c.received[0].at
	}
	return copy(buffer, c.advance(s, len(buffer))), readRequest
}

// advance returns up to limit bytes of what was received of the current request, and hands
// them to s.
func (c *conn) advance(s *stream, limit int) []byte {
	from := &c.received[0]
	n := c.framing.advance(from.bytes[:min(limit, len(from.bytes))])
	content := from.bytes[:n]
	if from.bytes = from.bytes[n:]; len(from.bytes) == 0 {
		c.received = slices.Delete(c.received, 0, 1)
	}
	s.markReceived()
	return content
}

// take hands received bytes to s, if they are of its request, and returns how many are. It
// keeps the rest. isClosing reports that the connection is being closed.
func (c *conn) take(s *stream, received []byte, isOfRequest bool) (n int, isClosing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleRefusal != nil {
		c.hasRefusedRequest = true
		return 0, true
	}
	if isOfRequest {
		n = c.framing.advance(received)
		s.markReceived()
	}
	c.keep(received[n:])
	return n, false
}

// keep keeps a copy of received bytes that were not handed to a stream.
func (c *conn) keep(received []byte) {
	switch last := len(c.received) - 1; {
	case len(received) == 0:
	case last+1 < maxSegments:
		c.received = append(c.received, segment{clock.Clock{}.Now(), bytes.Clone(received)})
	default:
		c.received[last].bytes = append(c.received[last].bytes, received...)
	}
}

// wantsPipeline is mustPipeline for callers that do not hold mu.
func (c *conn) wantsPipeline(s *stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mustPipeline(s)
}

// isInHead is stream.isInHead for callers that do not hold mu.
func (c *conn) isInHead(s *stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.isInHead()
}

// markLeft records that nothing more can be read from the caller.
func (c *conn) markLeft(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasLeft, c.leftErr = true, err
}

// Close closes the connection at once. It implements net.Conn.
func (c *conn) Close() error {
	c.server.untrack(c)
	if c.claim != nil {
		c.claim.Release()
	}
	return c.Conn.Close()
}

// isIdle reports whether no byte was read of a request without a complete response. mu
// must be held.
func (c *conn) isIdle() bool {
	if len(c.received) > 0 {
		return false
	}
	if c.pipeline == nil {
		return !c.first.hasRequest
	}
	return len(c.pipeline.inFlight) == 0
}

// closeIfIdle makes the goroutine that reads the connection send a Stopping refusal and close
// the connection, if no byte of a request was read.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIdle() || c.closingSince != 0 {
		return
	}
	c.beginClose()
	c.idleRefusal = newStoppingRefusal()
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

// write writes a part of a response, up to maxWriteBytes at a time.
func (c *conn) write(content []byte) (n int, err error) {
	defer c.writingSince.Store(0)
	for n < len(content) && err == nil {
		c.writingSince.Store(int64(clock.Clock{}.Now()))
		var count int
		count, err = c.Conn.Write(content[n:min(n+maxWriteBytes, len(content))])
		n += count
	}
	return n, err
}

// closeIfUnread closes the connection if a write has waited for the caller for timeout.
func (c *conn) closeIfUnread(timeout clock.Millis) {
	since := clock.Millis(c.writingSince.Load())
	if since != 0 && (clock.Clock{}).Now()-since >= timeout {
		_ = c.Close()
	}
}

func newStoppingRefusal() *reason.Refusal {
	return reason.NotRun(reason.Stopping, defaultRetryAfter, "this VM is stopping, use another one")
}

// rawRefusal formats a refusal that is written without net/http. A Stopping refusal
// has the status 408, which clients treat as the close of an idle connection.
func rawRefusal(refusal *reason.Refusal) []byte {
	status := HTTPStatus(refusal.Reason)
	if refusal.Reason == reason.Stopping {
		status = http.StatusRequestTimeout
	}
	body := encodeRefusal(refusal)
	var raw bytes.Buffer
	fmt.Fprintf(&raw, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	fmt.Fprintf(&raw, "%s: %s\r\n%s: %s\r\n", ReasonHeader, refusal.Reason, RanHeader, refusal.Ran)
	if refusal.RetryAfter > 0 {
		fmt.Fprintf(&raw, "Retry-After: %s\r\n", formatRetryAfter(refusal))
	}
	raw.WriteString("Connection: close\r\n\r\n")
	raw.Write(body)
	return raw.Bytes()
}
