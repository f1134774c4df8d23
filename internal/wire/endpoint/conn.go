package endpoint

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/reason"
)

const (
	// maxIdle bounds the kept connections to one endpoint, which holds about 330
	// for all entry VMs together.
	maxIdle = 16
	// idleLimit is shorter than servers' usual limits, so that a kept connection
	// is rarely closed by the endpoint while a request is on its way.
	idleLimit = 4 * clock.Second
	// copyBytes is the one buffer of a streamed body.
	copyBytes = 32 << 10
	readBytes = 4 << 10
	unlimited = -1
	// idleMargin is kept to the idle time that an endpoint states: a request must
	// not cross the endpoint's close.
	idleMargin = 2 * clock.Second
	// maxStrays bounds the late answers passed over before a request's own.
	maxStrays = 2
)

// pastDeadline makes reads and writes under way end at once.
var pastDeadline = time.Unix(1, 0)

var errHeadTooLarge = errors.New("the answer's head is too large")

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// sent counts the bytes of the current request that may have gone out.
	sent atomic.Int64
	// headBudget is how many more bytes may be read of an answer's head, or
	// unlimited. Only the reading goroutine uses it.
	headBudget int
	// watched yields the end of the watch on an idle connection.
	watched   chan error
	idleSince clock.Millis
	// idleLimit is how long the connection may idle, 0 for the default.
	idleLimit clock.Millis
	// requests counts the requests sent on the connection.
	requests int
}

// learnIdle reads the idle time that an endpoint states in whole seconds.
func (c *conn) learnIdle(keepAlive string) {
	_, value, found := strings.Cut(keepAlive, "timeout=")
	if !found {
		return
	}
	value, _, _ = strings.Cut(value, ",")
	stated, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil || stated <= 0 {
		return
	}
	limit := clock.Millis(stated) * clock.Second
	c.idleLimit = max(limit-idleMargin, limit/2)
}

// isFresh says whether an idle connection may still be used.
func (c *conn) isFresh(now clock.Millis) bool {
	limit := c.idleLimit
	if limit == 0 {
		limit = idleLimit
	}
	return now-c.idleSince < limit
}

func newConn(opened net.Conn, address string) *conn {
	c := &conn{Conn: opened, address: address, headBudget: unlimited}
	c.reader = bufio.NewReaderSize(readerOf{c}, readBytes)
	return c
}

// readerOf reads a conn within its headBudget.
type readerOf struct{ conn *conn }

// Read implements io.Reader.
func (r readerOf) Read(buffer []byte) (n int, err error) {
	if r.conn.headBudget == unlimited {
		return r.conn.Conn.Read(buffer)
	}
	if r.conn.headBudget == 0 {
		return 0, errHeadTooLarge
	}
	if len(buffer) > r.conn.headBudget {
		buffer = buffer[:r.conn.headBudget]
	}
	n, err = r.conn.Conn.Read(buffer)
	r.conn.headBudget -= n
	return n, err
}

// Write implements io.Writer and counts what may have gone out.
func (c *conn) Write(buffer []byte) (n int, err error) {
	n, err = c.Conn.Write(buffer)
	c.sent.Add(int64(n))
	return n, err
}

// writeHead writes a request's head; it ends when ctx does.
func (c *conn) writeHead(ctx context.Context, head []byte) error {
	c.sent.Store(0)
	c.requests++
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

// buffers holds the buffers of streamed bodies.
var buffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// writeBody writes a body of the given length, or chunks if it is not known.
func (c *conn) writeBody(body io.Reader, length int64) error {
	buffer := buffers.Get().(*[copyBytes]byte)
	defer buffers.Put(buffer)
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

func copyAll(to io.Writer, from io.Reader, buffer []byte) error {
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
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

// watch notices an endpoint that closes an idle connection, or speaks on it.
func (c *conn) watch(ended func(*conn)) {
	watched := c.watched
	_, err := c.reader.Peek(1)
	if err == nil {
		err = errors.New("bytes came that nobody asked for")
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		ended(c)
	}
	watched <- err
}

// wake ends the watch and reports whether the connection is still good.
func (c *conn) wake() bool {
	_ = c.SetReadDeadline(pastDeadline)
	if err := <-c.watched; !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return c.SetDeadline(time.Time{}) == nil
}

// pool keeps idle connections by address. Its zero value is ready.
type pool struct {
	mu sync.Mutex
	// idle holds the longest idle connection first. Guarded by mu.
	idle map[string][]*conn
}

// take returns the connection that was used last, or nil.
func (p *pool) take(address string, now clock.Millis) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if c.wake() && c.isFresh(now) {
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
	return last
}

func (p *pool) put(c *conn, now clock.Millis) {
	c.idleSince = now
	c.watched = make(chan error, 1)
	_ = c.SetDeadline(time.Time{})
	go c.watch(p.drop)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	if kept := p.idle[c.address]; len(kept) > maxIdle || !kept[0].isFresh(now) {
		_ = kept[0].Close()
		p.idle[c.address] = append([]*conn(nil), kept[1:]...)
	}
}

// drop closes and forgets a connection whose watch ended by itself.
func (p *pool) drop(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[c.address]
	for i := range kept {
		if kept[i] == c {
			p.idle[c.address] = append(kept[:i:i], kept[i+1:]...)
			return
		}
	}
}
