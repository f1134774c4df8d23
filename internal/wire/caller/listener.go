package caller

import (
	"net"
	"net/http"
	"sync"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/reason"
)

// limitedListener refuses connections above the Server's limit.
type limitedListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, l.acceptError(err)
		}
		if c := l.server.track(accepted); c != nil {
			return c.first, nil
		}
		l.refuse(accepted)
	}
}

// acceptError replaces err by http.ErrServerClosed during a shutdown. Otherwise net/http
// would take the expired deadline of the listener for a temporary error and call Accept
// again. It also closes the listener without delay: connections that the kernel
// establishes after the last Accept are reset when the listener is closed.
func (l *limitedListener) acceptError(err error) error {
	if l.server.isShuttingDown() {
		_ = l.Listener.Close()
		return http.ErrServerClosed
	}
	return err
}

// Close implements net.Listener. During a shutdown it does nothing, because
// closeListener closes the listener.
func (l *limitedListener) Close() error {
	if l.server.isShuttingDown() {
		return nil
	}
	return l.Listener.Close()
}

const (
	// maxConcurrentRefusals bounds the connections above MaxConnections to which a refusal
	// is being written.
	maxConcurrentRefusals = 64
	// refusalDivisor bounds the same to a part of MaxConnections, but not below
	// minConcurrentRefusals, so that a process with few descriptors keeps some for endpoints.
	refusalDivisor        = 8
	minConcurrentRefusals = 16
)

// refuse records the refusal of a connection and writes it in a new goroutine. With
// maxConcurrentRefusals active it closes the connection without a refusal.
func (l *limitedListener) refuse(accepted net.Conn) {
	refusal := reason.NotRun(reason.TooManyConnections, defaultRetryAfter, "this VM has too many connections")
	l.server.Refusals.Record(refusal, logrus.Fields{"remote": accepted.RemoteAddr().String()})
	c := l.server.trackRefused(accepted, refusal)
	if c == nil {
		_ = accepted.Close()
		return
	}
	go c.closeInOrder()
}

// streamListener hands streams to net/http as if it had accepted them.
type streamListener struct {
	added  chan *stream
	closed chan struct{}
	once   sync.Once
}

func newStreamListener() *streamListener {
	return &streamListener{added: make(chan *stream), closed: make(chan struct{})}
}

// add hands s to net/http.
func (l *streamListener) add(s *stream) {
	select {
	case l.added <- s:
	case <-l.closed:
	}
}

// Accept implements net.Listener.
func (l *streamListener) Accept() (net.Conn, error) {
	select {
	case s := <-l.added:
		return s, nil
	case <-l.closed:
		return nil, http.ErrServerClosed
	}
}

// Close implements net.Listener.
func (l *streamListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *streamListener) Addr() net.Addr { return &net.UnixAddr{} }
