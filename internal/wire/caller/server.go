package caller

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/reason"
)

const (
	// maxHeadBytes bounds a head. net/http adds 4 KiB of its own to it.
	maxHeadBytes          = 16 << 10
	defaultMaxConnections = 4096
	defaultHeadTimeout    = 10 * clock.Second
	defaultIdleTimeout    = 2 * clock.Minute
	// defaultNotice is how long a stopping server waits for idle callers to send
	// one more request, whose answer tells them.
	defaultNotice = 2 * clock.Second
	// lastAccept is how long a stopping server takes connections that the kernel
	// has already accepted.
	lastAccept = 50 * clock.Millis(1)
	// linger is how long a closed idle connection is read, so that the notice
	// isn't lost to a reset.
	linger     = 1 * clock.Second
	pollEnd    = 10 * clock.Millis(1)
	limitRetry = 1 * clock.Second
)

// Server serves callers. Handler must be set; every other field may be zero.
type Server struct {
	// Handler answers all paths but the VM's own. It reads bodies through NewBody.
	Handler http.Handler
	Refuser RefusalWriter
	VMs     VMRanker
	// Ready says whether the VM serves.
	Ready func() bool
	// Lifetime is how long callers may keep the list of VMs.
	ListLifetime clock.Millis
	// TrustAddress lets a caller name the address it is ranked for. For tests.
	TrustAddressParameter bool
	// MaxConnections bounds callers' connections.
	MaxConnections int
	// HeadTimeout bounds the time from a head's first byte to its last.
	HeadTimeout clock.Millis
	IdleTimeout clock.Millis
	// BodyGrace is how long a body may keep the VM waiting before its rate counts.
	BodyGrace clock.Millis
	// Notice is how long idle connections stay open after the stop began.
	IdleCloseDelay clock.Millis

	once sync.Once
	http *http.Server
	// stop is closed when the stop begins, ended when it has ended.
	stop, ended chan struct{}

	mu sync.Mutex
	// listener is set by Serve. Guarded by mu.
	listener net.Listener
	// conns holds the open connections. Guarded by mu.
	conns map[*conn]struct{}
	// isStopping is set once. Guarded by mu.
	isStopping bool
}

// connKey finds a request's *conn in its context.
type connKey struct{}

func connOf(request *http.Request) *conn {
	c, _ := request.Context().Value(connKey{}).(*conn)
	return c
}

func orDefault(value, fallback clock.Millis) time.Duration {
	if value == 0 {
		value = fallback
	}
	return value.Duration()
}

func (s *Server) init() {
	s.once.Do(func() {
		s.stop = make(chan struct{})
		s.ended = make(chan struct{})
		s.conns = map[*conn]struct{}{}
		s.http = &http.Server{
			Handler:           http.HandlerFunc(s.serve),
			ReadHeaderTimeout: orDefault(s.HeadTimeout, defaultHeadTimeout),
			IdleTimeout:       orDefault(s.IdleTimeout, defaultIdleTimeout),
			MaxHeaderBytes:    maxHeadBytes,
			ErrorLog:          stdlog.New(io.Discard, "", 0),
			ConnState:         onState,
			ConnContext: func(ctx context.Context, c net.Conn) context.Context {
				return context.WithValue(ctx, connKey{}, c)
			},
		}
	})
}

// Serve accepts callers on listener until Shutdown has ended, or listener fails.
func (s *Server) Serve(listener net.Listener) error {
	s.init()
	s.mu.Lock()
	s.listener = listener
	isLate := s.isStopping
	s.mu.Unlock()
	if isLate {
		// The stop may have looked for a listener already.
		go s.closeListener()
	}
	err := s.http.Serve(&limitedListener{Listener: listener, server: s})
	if s.stopping() {
		<-s.ended
		return nil
	}
	return err
}

func (s *Server) stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isStopping
}

// Shutdown is a planned stop. It tells callers with every answer to go elsewhere,
// serves every request that arrives meanwhile, closes idle connections with a
// notice, and returns when the last request has ended. It cuts nothing: if ctx
// ends first it returns ctx's error and the requests go on.
func (s *Server) Shutdown(ctx context.Context) error {
	s.init()
	if !s.beginStop() {
		return errors.New("the server is already stopping")
	}
	defer close(s.ended)
	notice, cancel := context.WithTimeout(ctx, orDefault(s.IdleCloseDelay, defaultNotice))
	defer cancel()
	s.waitEmpty(notice, func() {})
	s.closeListener()
	if err := s.waitEmpty(ctx, s.closeIdle); err != nil {
		return err
	}
	return s.http.Shutdown(ctx)
}

func (s *Server) beginStop() (first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isStopping {
		return false
	}
	s.isStopping = true
	close(s.stop)
	return true
}

// waitEmpty waits until no connection is left, calling step between looks.
func (s *Server) waitEmpty(ctx context.Context, step func()) error {
	for {
		step()
		s.mu.Lock()
		left := len(s.conns)
		s.mu.Unlock()
		if left == 0 {
			return nil
		}
		if err := clock.Sleep(ctx, pollEnd); err != nil {
			return err
		}
	}
}

// closeListener takes what the kernel has accepted and closes the listener.
func (s *Server) closeListener() {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener == nil {
		return
	}
	if bounded, ok := listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = bounded.SetDeadline(time.Now().Add(lastAccept.Duration()))
		_ = clock.Sleep(context.Background(), 2*lastAccept)
	}
	_ = listener.Close()
}

func (s *Server) closeIdle() {
	s.mu.Lock()
	idle := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		idle = append(idle, c)
	}
	s.mu.Unlock()
	for _, c := range idle {
		c.closeIfIdle()
	}
}

// serve answers one request.
func (s *Server) serve(w http.ResponseWriter, request *http.Request) {
	verdict, isLast := connOf(request).beginRequest()
	if s.stopping() || isLast {
		w.Header().Set("Connection", "close")
	}
	if verdict != nil {
		w.Header().Set("Connection", "close")
		s.Refuser.Refuse(w, verdict, nil)
		return
	}
	if len(request.URL.Path) >= len(ownPrefix) && request.URL.Path[:len(ownPrefix)] == ownPrefix {
		_, err := ReadHead(request)
		if err == nil {
			err = s.serveOwn(w, request)
		}
		if err != nil {
			s.Refuser.Refuse(w, err, nil)
		}
		return
	}
	// The stop may begin while the request runs: its answer must tell.
	s.Handler.ServeHTTP(&stopWriter{ResponseWriter: w, server: s}, request)
}

// stopWriter adds the notice of a stop to an answer at the latest moment.
type stopWriter struct {
	http.ResponseWriter
	server *Server
	wrote  bool
}

// Unwrap serves http.ResponseController.
func (w *stopWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *stopWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !w.wrote {
		w.wrote = true
		if w.server.stopping() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *stopWriter) Write(buffer []byte) (int, error) {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(buffer)
}

// limitedListener bounds the number of connections.
type limitedListener struct {
	net.Listener
	server *Server
	// refusing bounds the refusals under way.
	refusing atomic.Int32
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, l.ended(err)
		}
		if c := l.server.track(accepted); c != nil {
			return c, nil
		}
		l.refuse(accepted)
	}
}

// ended keeps net/http from taking the deadline of a stop for a passing error. It
// closes the listener at once: what the kernel accepts while nobody takes it is
// reset at the close.
func (l *limitedListener) ended(err error) error {
	if l.server.stopping() {
		_ = l.Listener.Close()
		return http.ErrServerClosed
	}
	return err
}

// Close implements net.Listener. While stopping, the Server closes the listener.
func (l *limitedListener) Close() error {
	if l.server.stopping() {
		return nil
	}
	return l.Listener.Close()
}

const maxRefusing = 64

func (l *limitedListener) refuse(accepted net.Conn) {
	refusal := reason.NotRun(reason.TooManyConnections, limitRetry, "this VM has too many connections")
	l.server.Refuser.Record(refusal, logrus.Fields{"remote": accepted.RemoteAddr().String()})
	if l.refusing.Add(1) > maxRefusing {
		l.refusing.Add(-1)
		_ = accepted.Close()
		return
	}
	go func() {
		defer l.refusing.Add(-1)
		closeWith(accepted, rawRefusal(refusal))
	}()
}

// track wraps an accepted connection, or returns nil if there are too many.
func (s *Server) track(accepted net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.MaxConnections
	if limit == 0 {
		limit = defaultMaxConnections
	}
	if len(s.conns) >= limit {
		return nil
	}
	c := &conn{Conn: accepted, server: s}
	s.conns[c] = struct{}{}
	return c
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
