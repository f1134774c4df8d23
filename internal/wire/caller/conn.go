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

const rawWriteTimeout = 1 * clock.Second

// conn is one caller's connection. It reads along with net/http, which hides two
// things: a head with both length headers, and its own refusals. Each Read
// yields bytes of one request at most, so that it knows where heads begin.
type conn struct {
	net.Conn
	server *Server

	// framing belongs to the one goroutine that reads.
	framing framing

	mu sync.Mutex
	// started says that a byte of a request was read that isn't answered yet.
	// Guarded by mu.
	started bool
	// serving says that the request's handler runs. Guarded by mu.
	serving bool
	// closing says that the connection was idle and is being closed. Guarded by mu.
	closing bool
	// verdict refuses the request whose head was read. Guarded by mu.
	verdict *reason.Refusal
	// isLast says that the connection takes no request after the current one.
	// Guarded by mu.
	isLast bool
	// refused says that the current request was refused here. Guarded by mu.
	refused bool
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (n int, err error) {
	if c.framing.held == nil {
		n, err = c.Conn.Read(buffer)
		n = c.framing.hold(buffer[:n])
	} else {
		n = c.framing.take(buffer)
	}
	if n > 0 && !c.noteBytes() {
		return c.discard(buffer)
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && c.framing.inHead() {
		c.refuse(reason.NotRun(reason.HeadTooSlow, 0, "the request's head came too slowly"))
	}
	return n, err
}

// noteBytes notes that a request began and reports whether it may.
func (c *conn) noteBytes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.started = true
	if c.framing.verdict != nil {
		c.verdict, c.framing.verdict = c.framing.verdict, nil
	}
	c.isLast = c.isLast || c.framing.last
	return true
}

// discard reads what still comes on a connection that is being closed.
func (c *conn) discard(buffer []byte) (int, error) {
	c.server.Refuser.Record(stoppingRefusal(), nil)
	_ = c.SetReadDeadline(time.Now().Add(linger.Duration()))
	for {
		if _, err := c.Conn.Read(buffer); err != nil {
			return 0, io.EOF
		}
	}
}

// Write implements net.Conn. What net/http writes while no handler runs is a
// refusal of its own; it is replaced by one of ours.
func (c *conn) Write(buffer []byte) (int, error) {
	c.mu.Lock()
	own := c.serving
	c.mu.Unlock()
	if own {
		return c.Conn.Write(buffer)
	}
	refusal := reason.NotRun(reason.BadRequest, 0, "the request is malformed")
	if bytes.HasPrefix(buffer, []byte("HTTP/1.1 431")) {
		refusal = reason.NotRun(reason.HeadTooLarge, 0, "the head is larger than %d bytes", maxHeadBytes)
	}
	c.refuse(refusal)
	return len(buffer), nil
}

// refuse answers a request that reached no handler.
func (c *conn) refuse(refusal *reason.Refusal) {
	c.mu.Lock()
	first := !c.refused && !c.closing
	c.refused = true
	c.mu.Unlock()
	if !first {
		return
	}
	c.server.Refuser.Record(refusal, nil)
	_ = c.SetWriteDeadline(time.Now().Add(rawWriteTimeout.Duration()))
	_, _ = c.Conn.Write(rawRefusal(refusal))
}

// CloseWrite lets net/http end an answer before it closes the connection.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.server.forget(c)
	return c.Conn.Close()
}

// beginRequest notes that the handler runs, and returns the head's verdict and
// whether the request is the connection's last.
func (c *conn) beginRequest() (verdict *reason.Refusal, isLast bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = true
	verdict, c.verdict = c.verdict, nil
	return verdict, c.isLast
}

// onState follows net/http's states.
func onState(connection net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	c := connection.(*conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
	c.started = c.framing.inHead() || c.framing.held != nil
}

// closeIfIdle closes the connection with a notice, if no byte of a request was
// read. A request that crosses the notice has not run, as the notice says.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	idle := !c.started && !c.closing
	if idle {
		c.closing = true
	}
	c.mu.Unlock()
	if !idle {
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(rawWriteTimeout.Duration()))
	_, _ = c.Conn.Write(rawRefusal(stoppingRefusal()))
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(linger.Duration()))
}

func stoppingRefusal() *reason.Refusal {
	return reason.NotRun(reason.Stopping, limitRetry, "this VM is stopping, use another one")
}

// rawRefusal formats a refusal that net/http doesn't write. A stop's notice has
// the status 408, which clients know as the close of an idle connection.
func rawRefusal(refusal *reason.Refusal) []byte {
	status := HTTPStatus(refusal.Reason)
	if refusal.Reason == reason.Stopping {
		status = http.StatusRequestTimeout
	}
	body := encode(refusal)
	var raw bytes.Buffer
	fmt.Fprintf(&raw, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	fmt.Fprintf(&raw, "%s: %s\r\n%s: %s\r\n", ReasonHeader, refusal.Reason, RanHeader, refusal.Ran)
	if refusal.RetryAfter > 0 {
		fmt.Fprintf(&raw, "Retry-After: %s\r\n", retryAfter(refusal))
	}
	raw.WriteString("Connection: close\r\n\r\n")
	raw.Write(body)
	return raw.Bytes()
}

// closeWith writes text and closes a connection so that text isn't lost to a
// reset when the caller is still sending.
func closeWith(connection net.Conn, text []byte) {
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

// framing follows where requests begin and end in a stream of bytes. Its zero
// value stands at the start of a head.
type framing struct {
	// line holds the head's current line, up to maxLine bytes.
	line []byte
	// headBytes counts the current head's bytes.
	headBytes int
	// bodyLeft counts the body's bytes still to come.
	bodyLeft int64
	// last says that the end of this request isn't followed: it is chunked.
	last bool
	// hasLength, hasChunks and length are what the head said so far.
	hasLength, hasChunks bool
	length               int64
	// verdict refuses the request whose head is complete.
	verdict *reason.Refusal
	// held is what was read beyond the request's head or body.
	held []byte
}

// maxLine is enough to read both length headers.
const maxLine = 64

// inHead reports whether some of a head was read, but not all.
func (f *framing) inHead() bool { return f.headBytes > 0 }

// hold follows bytes that were read, returns how many belong to the current head
// or body, and holds back the rest.
func (f *framing) hold(read []byte) (n int) {
	n = f.follow(read)
	if n < len(read) {
		f.held = bytes.Clone(read[n:])
	}
	return n
}

// take yields held bytes of the current head or body.
func (f *framing) take(buffer []byte) (n int) {
	n = f.follow(f.held[:min(len(buffer), len(f.held))])
	copy(buffer, f.held[:n])
	if f.held = f.held[n:]; len(f.held) == 0 {
		f.held = nil
	}
	return n
}

// follow returns how many of the bytes belong to the current head or body.
func (f *framing) follow(read []byte) int {
	if f.last {
		return len(read)
	}
	if f.bodyLeft > 0 {
		n := min(int64(len(read)), f.bodyLeft)
		f.bodyLeft -= n
		return int(n)
	}
	for i, c := range read {
		f.headBytes++
		if c != '\n' {
			if len(f.line) < maxLine {
				f.line = append(f.line, c)
			}
			continue
		}
		if f.endLine() {
			return i + 1
		}
	}
	return len(read)
}

// endLine reads a line of the head and reports whether the head is complete.
func (f *framing) endLine() bool {
	line := strings.TrimSuffix(string(f.line), "\r")
	f.line = f.line[:0]
	if line == "" {
		// net/http refuses an empty first line, which ends the connection.
		f.endHead()
		return true
	}
	name, value, _ := strings.Cut(line, ":")
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "content-length":
		f.hasLength = true
		f.length, _ = strconv.ParseInt(strings.TrimSpace(value), 10, 64)
	case "transfer-encoding":
		f.hasChunks = true
	}
	return false
}

func (f *framing) endHead() {
	if f.hasLength && f.hasChunks {
		f.verdict = reason.NotRun(reason.BadRequest, 0, "the head has both Content-Length and Transfer-Encoding")
	}
	f.last = f.hasChunks
	f.bodyLeft = max(f.length, 0)
	f.headBytes, f.length = 0, 0
	f.hasLength, f.hasChunks = false, false
}
