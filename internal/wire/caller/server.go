package caller

import (
	"container/list"
	"context"
	"errors"
	"io"
	stdlog "log"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/memory"
)

const (
	defaultMaxHeadBytes = 16 << 10
	defaultHeadTimeout  = 10 * clock.Second
	defaultIdleTimeout  = 2 * clock.Minute
	// defaultIdleCloseDelay is how long a server that shuts down keeps idle
	// connections open, so that a response to a further request can announce the
	// close.
	defaultIdleCloseDelay = 2 * clock.Second
	defaultUnreadTimeout  = 10 * clock.Second
	// acceptDrainTime is how long a server that shuts down accepts connections that
	// the kernel has already established.
	acceptDrainTime = 50 * clock.Millis(1)
	// pollInterval is the time between two checks whether all connections are closed.
	pollInterval = 10 * clock.Millis(1)
	// defaultRetryAfter is the Retry-After of refusals because of too many connections or
	// of a shutdown.
	defaultRetryAfter = 1 * clock.Second
)

// Server is an HTTP server for callers. Handler must be set; every other field is
// optional.
type Server struct {
	// Handler serves all paths except those that the VM serves itself. It must read
	// bodies through NewBody.
	Handler  http.Handler
	Refusals RefusalWriter
	// VMs ranks the entry VMs that EntryVMsPath lists.
	VMs VMRanker
	// Ready reports whether the VM can serve requests.
	Ready func() bool
	// ListLifetime is how long callers may cache the list of entry VMs; 0 selects
	// 30 s.
	ListLifetime clock.Millis
	// TrustAddressParameter lets the query parameter "address" replace the caller's
	// address when entry VMs are ranked. It is meant for tests.
	TrustAddressParameter bool
	// RequestIDHeader is the header with a request's id, which Connections reports; optional.
	RequestIDHeader string
	// OnUndelivered is called for each answer that was not delivered; optional.
	OnUndelivered func(Undelivered)
	// OnHeadRefused is called for each head that was refused, or connection that was closed,
	// before a handler began; optional.
	OnHeadRefused func(cause HeadCause)
	// Memory bounds the memory of all connections; nil for no bound. Servers of one process
	// share it.
	Memory *memory.Budget
	// MaxConnections bounds the open connections; 0 selects 4096, or fewer if the process may
	// open few descriptors.
	MaxConnections int
	// HeadTimeout and IdleTimeout hold as far as SetLimits does not set others.
	//
	// HeadTimeout bounds the time from the first byte of a head to its last; 0 selects
	// 10 s.
	HeadTimeout clock.Millis
	// IdleTimeout bounds the time between two requests on a connection; 0 selects
	// 2 min.
	IdleTimeout clock.Millis
	// BodyGrace is the total time that reads of a body may block before its rate must
	// reach the minimum; 0 selects 10 s.
	BodyGrace clock.Millis
	// IdleCloseDelay is how long idle connections stay open after a shutdown began; 0
	// selects 2 s.
	IdleCloseDelay clock.Millis
	// UnreadTimeout is how long a shutdown waits for a caller to read a part of a response
	// that was written to it; 0 selects 10 s.
	UnreadTimeout clock.Millis
	// CloseTimeout is how long a connection that this server has ended stays open until the
	// caller has read the last answer and has closed it too; 0 selects 5 s.
	CloseTimeout clock.Millis

	// limits is nil before SetLimits.
	limits atomic.Pointer[Limits]
	once   sync.Once
	http   *http.Server
	// defaultConnections is what MaxConnections is if it is 0.
	defaultConnections int
	// streams hands further streams of connections to http.
	streams *streamListener
	// shutdownStarted is closed when a shutdown begins, shutdownDone when Shutdown
	// returns.
	shutdownStarted, shutdownDone chan struct{}

	mu sync.Mutex
	// listener is set by Serve. Guarded by mu.
	listener net.Listener
	// conns holds the open connections. Guarded by mu.
	conns map[*conn]struct{}
	// fresh holds the connections on which no head has ended yet, longest open first. Guarded
	// by mu.
	fresh list.List
	// refusedConns counts those of conns that were opened above MaxConnections. Guarded by mu.
	refusedConns int
	// addedStreams counts the requests that run beside an earlier one of their connection.
	// Guarded by mu.
	addedStreams int
	// hasShutdownBegun is set when a shutdown begins and stays set. Guarded by mu.
	hasShutdownBegun bool
}

// streamKey is the context key of a request's *stream.
type streamKey struct{}

func streamOf(request *http.Request) *stream {
	s, _ := request.Context().Value(streamKey{}).(*stream)
	return s
}

func orDefault(value, fallback clock.Millis) time.Duration {
	if value == 0 {
		value = fallback
	}
	return value.Duration()
}

func (s *Server) init() {
	s.once.Do(func() {
		s.shutdownStarted = make(chan struct{})
		s.shutdownDone = make(chan struct{})
		s.conns = map[*conn]struct{}{}
		s.defaultConnections = defaultConnections()
		s.streams = newStreamListener()
		s.http = &http.Server{
			Handler: http.HandlerFunc(s.serve),
			// Streams replace these deadlines by those of the limits in force, and refuse
			// heads above the limit in force.
			ReadHeaderTimeout: defaultHeadTimeout.Duration(),
			IdleTimeout:       defaultIdleTimeout.Duration(),
			MaxHeaderBytes:    2 * maxMaxHeadBytes,
			ErrorLog:          stdlog.New(io.Discard, "", 0),
			ConnState:         onConnState,
			ConnContext: func(ctx context.Context, c net.Conn) context.Context {
				return context.WithValue(ctx, streamKey{}, c)
			},
		}
	})
}

// Serve accepts connections on listener. It returns nil after a Shutdown has returned,
// or the error of the listener.
func (s *Server) Serve(listener net.Listener) error {
	s.init()
	s.mu.Lock()
	s.listener = listener
	hasShutdownBegun := s.hasShutdownBegun
	s.mu.Unlock()
	if hasShutdownBegun {
		// Shutdown may have run closeListener before the listener was set.
		go s.closeListener()
	}
	go func() { _ = s.http.Serve(s.streams) }()
	err := s.http.Serve(&limitedListener{Listener: listener, server: s})
	if s.isShuttingDown() {
		<-s.shutdownDone
		return nil
	}
	return err
}

func (s *Server) isShuttingDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasShutdownBegun
}

// Shutdown shuts the server down gracefully. Every response from now on has the header
// "Connection: close". Shutdown serves the requests that still arrive, closes idle
// connections with a Stopping refusal, and returns when the last request has ended and its
// caller has closed the connection; see CloseTimeout. It
// aborts only requests whose callers do not read for UnreadTimeout: if ctx ends first, it
// returns the error of ctx and the requests continue.
func (s *Server) Shutdown(ctx context.Context) error {
	s.init()
	if !s.beginShutdown() {
		return errors.New("shutdown of the caller server was already started")
	}
	defer close(s.shutdownDone)
	idleCtx, cancel := context.WithTimeout(ctx, orDefault(s.IdleCloseDelay, defaultIdleCloseDelay))
	defer cancel()
	s.waitForConns(idleCtx, func() {})
	s.closeListener()
	if err := s.waitForConns(ctx, s.closeIdleAndUnread); err != nil {
		return err
	}
	return s.http.Shutdown(ctx)
}

func (s *Server) beginShutdown() (first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasShutdownBegun {
		return false
	}
	s.hasShutdownBegun = true
	close(s.shutdownStarted)
	return true
}

// waitForConns waits until no connection is open or ctx ends, and returns the error
// of ctx. It calls step before each check.
func (s *Server) waitForConns(ctx context.Context, step func()) error {
	for {
		step()
		s.mu.Lock()
		remaining := len(s.conns)
		s.mu.Unlock()
		if remaining == 0 {
			return nil
		}
		if err := clock.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// closeListener closes the listener after a short time in which Accept still returns
// connections that the kernel has already established.
func (s *Server) closeListener() {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener == nil {
		return
	}
	if withDeadline, ok := listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = withDeadline.SetDeadline(time.Now().Add(acceptDrainTime.Duration()))
		_ = clock.Sleep(context.Background(), 2*acceptDrainTime)
	}
	_ = listener.Close()
}

// closeIdleAndUnread closes the connections that are idle, and those whose caller has not
// read for UnreadTimeout.
func (s *Server) closeIdleAndUnread() {
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	timeout := clock.FromDuration(orDefault(s.UnreadTimeout, defaultUnreadTimeout))
	for _, c := range conns {
		c.closeIfIdle()
		c.closeIfUnread(timeout)
	}
}

// serve handles one request.
func (s *Server) serve(w http.ResponseWriter, request *http.Request) {
	stream := streamOf(request)
	s.endFresh(stream.conn)
	refusal, isLast := stream.beginRequest()
	defer stream.endHandler()
	if isLast || s.isShuttingDown() && stream.beginLast() {
		w.Header().Set("Connection", "close")
	}
	if refusal != nil {
		w.Header().Set("Connection", "close")
		s.Refusals.Refuse(w, refusal, nil)
		return
	}
	if len(request.URL.Path) >= len(internalPrefix) && request.URL.Path[:len(internalPrefix)] == internalPrefix {
		_ = AwaitTurn(request.Context(), request, true)
		_, err := ReadHead(request)
		if err == nil {
			err = s.serveInternal(w, request)
		}
		if err != nil {
			s.Refusals.Refuse(w, err, nil)
		}
		return
	}
	// A shutdown may begin while the request runs. shutdownWriter then announces the
	// close in the response.
	s.Handler.ServeHTTP(&shutdownWriter{ResponseWriter: w, server: s, stream: stream, isOld: !request.ProtoAtLeast(1, 1)}, request)
	stream.endAnswer()
}

// shutdownWriter adds "Connection: close" to a response if a shutdown began before its
// head is written and no later request of the connection has begun.
type shutdownWriter struct {
	http.ResponseWriter
	server      *Server
	stream      *stream
	wroteHeader bool
	// isOld reports a caller of HTTP/1.0, which knows no chunks.
	isOld bool
}

// Unwrap returns the wrapped writer to http.ResponseController.
func (w *shutdownWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *shutdownWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !w.wroteHeader {
		w.wroteHeader = true
		w.stream.beginAnswer(w.isOld && w.Header().Get("Content-Length") == "")
		if w.server.isShuttingDown() && w.stream.beginLast() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *shutdownWriter) Write(buffer []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(buffer)
}
