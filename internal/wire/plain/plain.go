// Package plain bounds the connections and request heads of servers whose answers are short:
// those for readiness checks, look-ups, metrics, operators and peers.
package plain

import (
	"bytes"
	"container/list"
	"errors"
	"net"
	"net/http"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/machine"
	"baobabladder.example/baobabladder/internal/policy/memory"
)

const (
	// maxHeadBytes bounds a head as callers' heads are bounded by default. net/http allows
	// 4 KiB more.
	maxHeadBytes = 16 << 10
	// idleTimeout bounds the time between two requests of a connection.
	idleTimeout = 2 * clock.Minute
	// connCost, lineCost and byteCost are what a connection, a line and a byte of a head claim,
	// in bytes. A line takes up to 126 bytes in net/http.
	connCost = 16 << 10
	lineCost = 128
	byteCost = 2
	// claimStep is the unit of what a connection claims beyond connCost.
	claimStep = 8 << 10
	// maxLookups and maxPeers bound the connections of servers with many clients. lookupDivisor
	// and peerDivisor bound them to a fraction of the descriptors that the process may open.
	maxLookups    = 128
	lookupDivisor = 16
	maxPeers      = 1024
	peerDivisor   = 8
	// Few is how many connections servers with few clients accept.
	Few = 16
	// countedBytes bounds the bytes that are counted since the last answer: all of a head.
	// What follows is a body, which its handler bounds.
	countedBytes = maxHeadBytes + 4<<10
)

// Lookups returns how many connections a server for look-ups accepts in this process.
func Lookups() int { return withinDescriptors(maxLookups, lookupDivisor) }

// Peers returns how many connections a server for peers accepts in this process.
func Peers() int { return withinDescriptors(maxPeers, peerDivisor) }

func withinDescriptors(most, divisor uint64) int {
	return int(max(min(most, machine.Descriptors(most*divisor)/divisor), Few))
}

var errNoMemory = errors.New("there is no memory for the request's head")

// NewServer returns an HTTP server whose heads are bounded in size and time.
func NewServer(handler http.Handler, headTimeout clock.Millis) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeadBytes,
		ReadHeaderTimeout: headTimeout.Duration(), IdleTimeout: idleTimeout.Duration(),
	}
}

// Listener bounds the open connections that it has accepted and the memory of their heads.
// Beyond MaxConnections it closes the connection whose last answer, or whose opening if it had
// none, is longest ago.
type Listener struct {
	net.Listener
	MaxConnections int
	// Memory is nil for no bound. It must be nil for peers, whose connections must not be closed
	// because callers use the memory.
	Memory *memory.Budget

	mu sync.Mutex
	// conns holds the open connections, longest without an answer first. Guarded by mu.
	conns list.List
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, listener: l}
		if c.claim = l.Memory.NewClaim(connCost, func() { _ = c.Close() }); c.claim == nil {
			_ = accepted.Close()
			continue
		}
		if oldest := l.add(c); oldest != nil {
			_ = oldest.Close()
		}
		return c, nil
	}
}

// add registers a connection, and returns the one that must be closed for it, or nil.
func (l *Listener) add(c *conn) (oldest *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns.Len() >= l.MaxConnections {
		oldest = l.conns.Front().Value.(*conn)
		l.remove(oldest)
	}
	c.element = l.conns.PushBack(c)
	return oldest
}

// remove forgets a connection, if it is known. mu must be held.
func (l *Listener) remove(c *conn) {
	if c.element != nil {
		l.conns.Remove(c.element)
		c.element = nil
	}
}

// conn counts what it received since its last answer.
type conn struct {
	net.Conn
	listener *Listener
	claim    *memory.Claim
	// element is the connection's place in listener.conns, or nil. Guarded by listener.mu.
	element *list.Element

	mu sync.Mutex
	// bytes and lines count what was received since the last answer, up to countedBytes, and
	// claimed is what was claimed for it. Guarded by mu.
	bytes, lines int
	claimed      int64
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (n int, err error) {
	n, err = c.Conn.Read(buffer)
	if n > 0 && !c.count(buffer[:n]) {
		_ = c.Close()
		return 0, errNoMemory
	}
	return n, err
}

// count counts received bytes and reports whether there is memory for them.
func (c *conn) count(received []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	received = received[:min(len(received), countedBytes-c.bytes)]
	c.bytes += len(received)
	c.lines += bytes.Count(received, []byte{'\n'})
	cost := int64(c.bytes)*byteCost + int64(c.lines)*lineCost
	return c.setClaim(cost/claimStep*claimStep, memory.InHead)
}

// setClaim claims cost beyond connCost. mu must be held.
func (c *conn) setClaim(cost int64, phase memory.Phase) bool {
	if cost == c.claimed {
		return true
	}
	if !c.claim.Set(connCost+cost, phase) {
		return false
	}
	c.claimed = cost
	return true
}

// Write implements net.Conn. It takes what it writes for an answer.
func (c *conn) Write(buffer []byte) (int, error) {
	c.mu.Lock()
	c.bytes, c.lines = 0, 0
	c.setClaim(0, memory.Running)
	c.mu.Unlock()
	c.listener.mu.Lock()
	if c.element != nil {
		c.listener.conns.MoveToBack(c.element)
	}
	c.listener.mu.Unlock()
	return c.Conn.Write(buffer)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	c.listener.remove(c)
	c.listener.mu.Unlock()
	c.claim.Release()
	return c.Conn.Close()
}
