package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/reason"
)

const (
	// maxIdlePerAddress bounds the idle connections to one endpoint. An endpoint
	// holds about 330 connections for all entry VMs together.
	maxIdlePerAddress = 16
	// defaultIdleTimeout is shorter than the usual idle timeout of servers, so that
	// an endpoint rarely closes a reused connection while a request is in flight.
	defaultIdleTimeout = 4 * clock.Second
	// bodyBufferBytes is the size of the one buffer through which a body is copied.
	bodyBufferBytes = 32 << 10
	readBufferBytes = 4 << 10
	// unlimited is the headBudget of a conn that is not reading a response head.
	unlimited = -1
	// idleMargin is subtracted from the idle timeout that an endpoint announces, so
	// that the endpoint does not close a connection while a request is in flight.
	idleMargin = 2 * clock.Second
	// maxStaleResponses bounds the late responses to earlier requests that are
	// discarded before the response to the current request.
	maxStaleResponses = 2
)

// pastDeadline is set as a deadline to interrupt pending reads and writes.
var pastDeadline = time.Unix(1, 0)

var (
	errHeadTooLarge = errors.New("response head exceeds the size limit")
	errBodyTooLarge = errors.New("response body exceeds the size limit")
)

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// bytesSent counts the bytes of the current request that may have been sent.
	bytesSent atomic.Int64
	// hasWriteFailed reports that a write failed for another cause than a deadline. A socket
	// reports a reset once: reads that follow take it for an end. The goroutine that writes
	// sets it, and others read it when that one is done.
	hasWriteFailed bool
	// headBudget is the number of bytes that may still be read of a response head,
	// or unlimited. Only the reading goroutine uses it.
	headBudget int
	// headLines counts the lines received while headBudget is limited. Only the reading
	// goroutine uses it.
	headLines int
	// head holds what was received of a response head that is being read, and what was read
	// ahead behind it. It is nil otherwise. Only the reading goroutine uses it.
	head []byte
	// bytesReceived counts all bytes received. Only the reading goroutine uses it.
	bytesReceived int64
	// watchResult receives the error with which watchIdle ended.
	watchResult chan error
	idleSince   clock.Millis
	// idleTimeout is how long the connection may stay idle; 0 selects
	// defaultIdleTimeout.
	idleTimeout clock.Millis
	// ids holds the ids of the requests that were started on the connection. Each was
	// started once: an endpoint may write the copy of an earlier answer at any time, and only
	// its id tells it from the answer that is due.
	ids carriedIDs
}

// setIdleTimeout sets idleTimeout from the timeout parameter, in whole seconds, of
// a Keep-Alive header. A missing or invalid parameter changes nothing.
func (c *conn) setIdleTimeout(keepAlive string) {
	_, value, found := strings.Cut(keepAlive, "timeout=")
	if !found {
		return
	}
	value, _, _ = strings.Cut(value, ",")
	stated, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil || stated <= 0 {
		return
	}
	timeout := clock.Millis(stated) * clock.Second
	c.idleTimeout = max(timeout-idleMargin, timeout/2)
}

// isWithinIdleTimeout reports whether an idle connection may still be used.
func (c *conn) isWithinIdleTimeout(now clock.Millis) bool {
	timeout := c.idleTimeout
	if timeout == 0 {
		timeout = defaultIdleTimeout
	}
	return now-c.idleSince < timeout
}

func newConn(opened net.Conn, address string) *conn {
	c := &conn{Conn: opened, address: address, headBudget: unlimited}
	c.reader = bufio.NewReaderSize(headLimitedReader{c}, readBufferBytes)
	return c
}

// abort closes the connection with a reset, so that bytes of the request that a link holds
// up don't reach the endpoint later, when nobody waits for the answer.
func (c *conn) abort() {
	if resettable, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = resettable.SetLinger(0)
	}
	_ = c.Close()
}

// headLimitedReader reads from a conn and enforces its headBudget.
type headLimitedReader struct{ conn *conn }

// Read implements io.Reader. It returns errHeadTooLarge when the budget is spent, or more than
// maxHeadLines were received. The last read of a head may hold lines of its body, so they count
// only if a further read follows.
func (r headLimitedReader) Read(buffer []byte) (n int, err error) {
	defer func() { r.conn.bytesReceived += int64(n) }()
	if r.conn.headBudget == unlimited {
		return r.conn.Conn.Read(buffer)
	}
	if r.conn.headBudget == 0 || r.conn.headLines > maxHeadLines {
		return 0, errHeadTooLarge
	}
	if len(buffer) > r.conn.headBudget {
		buffer = buffer[:r.conn.headBudget]
	}
	n, err = r.conn.Conn.Read(buffer)
	r.conn.headBudget -= n
	r.conn.headLines += bytes.Count(buffer[:n], []byte{'\n'})
	r.conn.head = append(r.conn.head, buffer[:n]...)
	return n, err
}

// readHead reads one response head, to a request with the given method. headBudget must be set.
func (c *conn) readHead(method string) (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.head = bytes.Clone(buffered)
	defer func() { c.head = nil }()
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	head := c.head[:len(c.head)-c.reader.Buffered()]
	if err == nil && holdsStatusLine(head) {
		return nil, errTwoHeads
	}
	if malformed := checkHead(head); malformed != nil {
		return nil, malformed
	}
	if err != nil {
		return nil, err
	}
	checkTrailer(response, c.reader)
	return response, nil
}

// Write implements io.Writer and adds the bytes that may have been sent to
// bytesSent.
func (c *conn) Write(buffer []byte) (n int, err error) {
	n, err = c.Conn.Write(buffer)
	c.bytesSent.Add(int64(n))
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.hasWriteFailed = true
	}
	return n, err
}

// writeHead writes the head of the request with the given id. The deadline of ctx is the
// write deadline.
func (c *conn) writeHead(ctx context.Context, id string, head []byte) error {
	c.bytesSent.Store(0)
	c.ids.add(id)
	if err := ctx.Err(); err != nil {
		return err
	}
	if deadline, ok := ctx.Deadline(); ok {
		if err := c.SetWriteDeadline(deadline); err != nil {
			return err
		}
	}
	_, err := c.Write(head)
	return err
}

// bodyBuffers pools the buffers of streamed bodies.
var bodyBuffers = sync.Pool{New: func() any { return new([bodyBufferBytes]byte) }}

// writeBody writes a body of length bytes. A negative length states that the length is
// unknown and selects chunked encoding. The error is a *reason.Refusal if the body
// ends before length bytes.
func (c *conn) writeBody(body io.Reader, length int64) error {
	buffer := bodyBuffers.Get().(*[bodyBufferBytes]byte)
	defer bodyBuffers.Put(buffer)
	if length < 0 {
		chunks := httputil.NewChunkedWriter(c)
		if err := copyAll(chunks, body, buffer[:]); err != nil {
			return err
		}
		if err := chunks.Close(); err != nil {
			return err
		}
		_, err := io.WriteString(c, "\r\n")
		return err
	}
	limited := &io.LimitedReader{R: body, N: length}
	if err := copyAll(c, limited, buffer[:]); err != nil {
		return err
	}
	if limited.N > 0 {
		return reason.MayHaveRun(reason.BodyShort, "the body is %d bytes shorter than declared", limited.N)
	}
	return nil
}

func copyAll(writer io.Writer, reader io.Reader, buffer []byte) error {
	for {
		n, err := reader.Read(buffer)
		if n > 0 {
			if _, err := writer.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// watchIdle waits on an idle connection until the endpoint closes it, sends data
// that belongs to no request, or stopWatch is called. In the first two cases it
// calls onEnd.
func (c *conn) watchIdle(onEnd func(*conn)) {
	result := c.watchResult
	_, err := c.reader.Peek(1)
	if err == nil {
		err = errors.New("endpoint sent data on an idle connection")
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		onEnd(c)
	}
	result <- err
}

// stopWatch ends watchIdle and reports whether the connection is still usable.
func (c *conn) stopWatch() bool {
	_ = c.SetReadDeadline(pastDeadline)
	if err := <-c.watchResult; !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return c.SetDeadline(time.Time{}) == nil
}

// pool keeps idle connections by address. Its zero value is ready to use.
type pool struct {
	mu sync.Mutex
	// idle lists the connections to each address, longest idle first. Guarded by mu.
	idle map[string][]*conn
}

// get removes and returns the most recently used connection to address that is still
// usable and has not carried the id, or returns nil. hasCarried reports whether one of the
// connections has carried the id.
func (p *pool) get(address, id string, now clock.Millis) (c *conn, hasCarried bool) {
	for {
		popped, popHasCarried := p.popLast(address, id)
		hasCarried = hasCarried || popHasCarried
		if popped == nil || popped.stopWatch() && popped.isWithinIdleTimeout(now) {
			return popped, hasCarried
		}
		_ = popped.Close()
	}
}

// popLast removes and returns the most recently used connection that has not carried the
// id, without checking whether it is usable, or returns nil. hasCarried reports whether it
// left one that has.
func (p *pool) popLast(address, id string) (c *conn, hasCarried bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	for i := len(idle) - 1; i >= 0; i-- {
		if !idle[i].ids.has(id) {
			last := idle[i]
			p.idle[address] = slices.Delete(idle, i, i+1)
			return last, hasCarried
		}
		hasCarried = true
	}
	return nil, hasCarried
}

// put adds an idle connection and starts watching it. It evicts the longest idle
// connection to the same address if there are too many or if that one expired.
func (p *pool) put(c *conn, now clock.Millis) {
	c.idleSince = now
	c.bytesSent.Store(0)
	c.watchResult = make(chan error, 1)
	_ = c.SetDeadline(time.Time{})
	go c.watchIdle(p.remove)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	if idle := p.idle[c.address]; len(idle) > maxIdlePerAddress || !idle[0].isWithinIdleTimeout(now) {
		_ = idle[0].Close()
		p.idle[c.address] = append([]*conn(nil), idle[1:]...)
	}
}

// remove closes a connection whose watch ended by itself and removes it from the
// pool.
func (p *pool) remove(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[c.address]
	for i := range idle {
		if idle[i] == c {
			p.idle[c.address] = append(idle[:i:i], idle[i+1:]...)
			return
		}
	}
}
