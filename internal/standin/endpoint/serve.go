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

// Serve serves the endpoint on listener until ctx ends. It enforces the connection
// limits and searches every received byte for API keys. When ctx ends, it closes all
// connections at once, as if the process had crashed.
func (e *Endpoint) Serve(ctx context.Context, listener net.Listener) (err error) {
	defer fault.Annotate(&err, "serving endpoint %s", e.Name)
	server := &http.Server{Handler: e}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(&limitingListener{Listener: listener, endpoint: e}); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// limitingListener applies AcceptDelay and MaxConnections of an endpoint.
type limitingListener struct {
	net.Listener
	endpoint *Endpoint
}

// Accept implements net.Listener.
func (l *limitingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		time.Sleep(l.endpoint.AcceptDelay.Duration())
		if l.endpoint.admitConnection() {
			return &scanningConn{Conn: conn, endpoint: l.endpoint}, nil
		}
		_ = conn.Close()
	}
}

func (e *Endpoint) admitConnection() bool {
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

// scanningConn searches received bytes for API keys.
type scanningConn struct {
	net.Conn
	endpoint *Endpoint
	// tail holds the last bytes read so far, so that a key prefix split over two
	// reads is found. It is used by the reading goroutine only.
	tail   []byte
	closed sync.Once
}

// Read implements net.Conn.
func (c *scanningConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	seen := append(c.tail, p[:n]...)
	if bytes.Contains(seen, []byte(key.Prefix)) {
		c.endpoint.updateCounts(func(counts *Counts) { counts.KeySeen = true })
	}
	c.tail = append([]byte(nil), seen[max(0, len(seen)-len(key.Prefix)+1):]...)
	return n, err
}

// Close implements net.Conn.
func (c *scanningConn) Close() error {
	c.closed.Do(func() { c.endpoint.updateCounts(func(counts *Counts) { counts.Connections-- }) })
	return c.Conn.Close()
}
