package caller

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/reason"
)

// rawWriteTimeout bounds writing a refusal without net/http and closing its connection.
const rawWriteTimeout = 1 * clock.Second

// conn is one caller's connection. It parses the bytes that net/http reads, because
// net/http does not report two things: a head with both Content-Length and
// Transfer-Encoding, and the requests that it refuses itself. Each Read returns bytes
// of at most one request, so that conn knows where each head begins.
type conn struct {
	net.Conn
	server *Server

	// framing is used only by the reading goroutine.
	framing framing

	mu sync.Mutex
	// hasRequest is set when a byte was read of a request that has no complete
	// response yet. Guarded by mu.
	hasRequest bool
	// isServing is set while the request's handler runs. Guarded by mu.
	isServing bool
	// isClosing is set when the connection was idle and is being closed. Guarded by
	// mu.
	isClosing bool
	// headRefusal is the refusal of the request whose head was read, or nil. Guarded
	// by mu.
	headRefusal *reason.Refusal
	// isLast is set when the connection accepts no request after the current one.
	// Guarded by mu.
	isLast bool
	// isRefused is set when conn itself refused the current request. Guarded by mu.
	isRefused bool
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (n int, err error) {
	if c.framing.buffered == nil {
		n, err = c.Conn.Read(buffer)
		n = c.framing.split(buffer[:n])
	} else {
		n = c.framing.readBuffered(buffer)
	}
	if n > 0 && !c.markRequestStarted() {
		return c.drain(buffer)
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && c.framing.isInHead() {
		c.refuse(reason.NotRun(reason.HeadTooSlow, 0, "the request's head came too slowly"))
	}
	return n, err
}

// markRequestStarted records that bytes of a request were read. It returns false if
// the connection is being closed.
func (c *conn) markRequestStarted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosing {
		return false
	}
	c.hasRequest = true
	if c.framing.refusal != nil {
		c.headRefusal, c.framing.refusal = c.framing.refusal, nil
	}
	c.isLast = c.isLast || c.framing.isEndUnknown
	return true
}

// drain records a Stopping refusal for a request that arrives on a connection that is
// being closed, and discards the bytes that still arrive for up to drainTimeout.
func (c *conn) drain(buffer []byte) (int, error) {
	c.server.Refusals.Record(newStoppingRefusal(), nil)
	_ = c.SetReadDeadline(time.Now().Add(drainTimeout.Duration()))
	for {
		if _, err := c.Conn.Read(buffer); err != nil {
			return 0, io.EOF
		}
	}
}

// Write implements net.Conn. What net/http writes while no handler runs is an error
// response of its own; Write replaces it with a refusal.
func (c *conn) Write(buffer []byte) (int, error) {
	c.mu.Lock()
	fromHandler := c.isServing
	c.mu.Unlock()
	if fromHandler {
		return c.Conn.Write(buffer)
	}
	refusal := reason.NotRun(reason.BadRequest, 0, "the request is malformed")
	if bytes.HasPrefix(buffer, []byte("HTTP/1.1 431")) {
		refusal = reason.NotRun(reason.HeadTooLarge, 0, "the head is larger than %d bytes", maxHeadBytes)
	}
	c.refuse(refusal)
	return len(buffer), nil
}

// refuse writes and records the refusal of a request that reached no handler. It does
// nothing if the request was refused already or the connection is being closed.
func (c *conn) refuse(refusal *reason.Refusal) {
	c.mu.Lock()
	first := !c.isRefused && !c.isClosing
	c.isRefused = true
	c.mu.Unlock()
	if !first {
		return
	}
	c.server.Refusals.Record(refusal, nil)
	_ = c.SetWriteDeadline(time.Now().Add(rawWriteTimeout.Duration()))
	_, _ = c.Conn.Write(rawRefusal(refusal))
}

// CloseWrite closes the write side of the connection. net/http calls it before it
// closes a connection, so that the end of a response is not lost.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.server.untrack(c)
	return c.Conn.Close()
}

// beginRequest records that the handler runs. It returns the refusal of the head, or
// nil, and whether the request is the last one on the connection.
func (c *conn) beginRequest() (refusal *reason.Refusal, isLast bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isServing = true
	refusal, c.headRefusal = c.headRefusal, nil
	return refusal, c.isLast
}

// onConnState is the http.Server's ConnState hook. It resets the state of the request
// when net/http reports the connection as idle.
func onConnState(connection net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	c := connection.(*conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isServing = false
	c.hasRequest = c.framing.isInHead() || c.framing.buffered != nil
}

// closeIfIdle sends a Stopping refusal and closes the connection if no byte of a
// request was read. A request that the caller sends at the same time is not run, as
// the refusal states.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	isIdle := !c.hasRequest && !c.isClosing
	if isIdle {
		c.isClosing = true
	}
	c.mu.Unlock()
	if !isIdle {
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(rawWriteTimeout.Duration()))
	_, _ = c.Conn.Write(rawRefusal(newStoppingRefusal()))
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(drainTimeout.Duration()))
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

// writeAndClose writes text and closes the connection. It first closes the write side
// and reads what the caller still sends, because a reset could discard text.
func writeAndClose(connection net.Conn, text []byte) {
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(rawWriteTimeout.Duration()))
	if _, err := connection.Write(text); err != nil {
		return
	}
	if half, ok := connection.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
		_, _ = io.Copy(io.Discard, io.LimitReader(connection, maxHeadBytes))
	}
}

// framing tracks where requests begin and end in a stream of bytes. Its zero value is
// positioned at the start of a head.
type framing struct {
	// line holds the current line of the head, up to maxLineBytes.
	line []byte
	// headBytes counts the bytes read of the current head.
	headBytes int
	// bodyRemaining counts the bytes of the body that were not read yet.
	bodyRemaining int64
	// isEndUnknown is set for a chunked request, whose end is not tracked.
	isEndUnknown bool
	// hasContentLength, hasTransferEncoding and contentLength hold what was parsed of
	// the current head.
	hasContentLength, hasTransferEncoding bool
	contentLength                         int64
	// refusal is the refusal of the request whose head is complete, or nil.
	refusal *reason.Refusal
	// buffered holds the bytes that were read beyond the current head or body.
	buffered []byte
}

// maxLineBytes bounds the bytes kept of a header line. It is enough to parse
// Content-Length and Transfer-Encoding.
const maxLineBytes = 64

// isInHead reports whether a head was read in part.
func (f *framing) isInHead() bool { return f.headBytes > 0 }

// split tracks bytes that were received, returns how many belong to the current head
// or body, and buffers the rest.
func (f *framing) split(received []byte) (n int) {
	n = f.advance(received)
	if n < len(received) {
		f.buffered = bytes.Clone(received[n:])
	}
	return n
}

// readBuffered copies buffered bytes of the current head or body into buffer and
// returns their number.
func (f *framing) readBuffered(buffer []byte) (n int) {
	n = f.advance(f.buffered[:min(len(buffer), len(f.buffered))])
	copy(buffer, f.buffered[:n])
	if f.buffered = f.buffered[n:]; len(f.buffered) == 0 {
		f.buffered = nil
	}
	return n
}

// advance returns how many of the received bytes belong to the current head or body
// and updates the position.
func (f *framing) advance(received []byte) int {
	if f.isEndUnknown {
		return len(received)
	}
	if f.bodyRemaining > 0 {
		n := min(int64(len(received)), f.bodyRemaining)
		f.bodyRemaining -= n
		return int(n)
	}
	for i, c := range received {
		f.headBytes++
		if c != '\n' {
			if len(f.line) < maxLineBytes {
				f.line = append(f.line, c)
			}
			continue
		}
		if f.parseLine() {
			return i + 1
		}
	}
	return len(received)
}

// parseLine parses the current line of the head and reports whether the head is
// complete.
func (f *framing) parseLine() bool {
	line := strings.TrimSuffix(string(f.line), "\r")
	f.line = f.line[:0]
	if line == "" {
		// If this is the first line, net/http refuses it and closes the connection.
		f.finishHead()
		return true
	}
	name, value, _ := strings.Cut(line, ":")
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "content-length":
		f.hasContentLength = true
		f.contentLength, _ = strconv.ParseInt(strings.TrimSpace(value), 10, 64)
	case "transfer-encoding":
		f.hasTransferEncoding = true
	}
	return false
}

// finishHead sets refusal, isEndUnknown and bodyRemaining from the parsed head and
// resets the head's state.
func (f *framing) finishHead() {
	if f.hasContentLength && f.hasTransferEncoding {
		f.refusal = reason.NotRun(reason.BadRequest, 0, "the head has both Content-Length and Transfer-Encoding")
	}
	f.isEndUnknown = f.hasTransferEncoding
	f.bodyRemaining = max(f.contentLength, 0)
	f.headBytes, f.contentLength = 0, 0
	f.hasContentLength, f.hasTransferEncoding = false, false
}
