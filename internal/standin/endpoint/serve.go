package endpoint

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/world/key"
)

// Serve accepts connections until ctx ends, within the endpoint's limits, and
// looks at every byte for a caller's key. It cuts what runs at the end, like a
// process that dies.
func (e *Endpoint) Serve(ctx context.Context, listener net.Listener) (err error) {
	defer fault.Annotate(&err, "serving endpoint %s", e.Name)
	server := &http.Server{Handler: e}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(&limitedListener{Listener: listener, endpoint: e}); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// limitedListener applies the endpoint's connection limits.
type limitedListener struct {
	net.Listener
	endpoint *Endpoint
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		time.Sleep(l.endpoint.AcceptDelay.Duration())
		if l.endpoint.openConnection() {
			return &watchedConn{Conn: conn, endpoint: l.endpoint}, nil
		}
		_ = conn.Close()
	}
}

func (e *Endpoint) openConnection() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.MaxConnections > 0 && e.counts.Connections >= e.MaxConnections {
		e.counts.RefusedConnections++
		return false
	}
	e.counts.Connections++
	e.counts.PeakConnections = max(e.counts.PeakConnections, e.counts.Connections)
	return true
}

// watchedConn looks for keys in what it receives.
type watchedConn struct {
	net.Conn
	endpoint *Endpoint
	// tail ends the bytes read so far, so that a key split over two reads is
	// found. Only the reading goroutine uses it.
	tail   []byte
	closed sync.Once
}

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	seen := append(c.tail, p[:n]...)
	if bytes.Contains(seen, []byte(key.Prefix)) {
		c.endpoint.count(func(counts *Counts) { counts.KeySeen = true })
	}
	c.tail = append([]byte(nil), seen[max(0, len(seen)-len(key.Prefix)+1):]...)
	return n, err
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	c.closed.Do(func() { c.endpoint.count(func(counts *Counts) { counts.Connections-- }) })
	return c.Conn.Close()
}
