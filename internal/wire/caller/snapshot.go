package caller

import (
	"cmp"
	"maps"
	"net/http"
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// ConnState is what happens on a caller's connection.
type ConnState string

// The states of a connection.
const (
	// ConnIdle: no byte was received of a request without a whole response.
	ConnIdle ConnState = "idle"
	// ConnReceiving: a part of a request was received.
	ConnReceiving ConnState = "receiving"
	// ConnHandling: the handler has the whole request, or one whose end is not known from
	// its head.
	ConnHandling ConnState = "handling"
	// ConnWriting: a part of a response is being written.
	ConnWriting ConnState = "writing"
	// ConnClosing: this server has ended the connection and waits for the caller to close it.
	ConnClosing ConnState = "closing"
)

// maxLoggedIDBytes bounds the request id in a Connection.
const maxLoggedIDBytes = 64

// Connection describes an open connection of a caller at one moment.
type Connection struct {
	// Remote is the caller's address.
	Remote string
	State  ConnState
	// Since is when State began.
	Since clock.Millis
	// Requests counts the requests without a whole response. The fields below are about the
	// oldest of them, or about the last request if there is none.
	Requests int
	// RequestID is the request's id, cut to maxLoggedIDBytes; empty before its head was
	// validated.
	RequestID string
	// BodyBytes counts the received bytes of the body. Those of a chunked body count as they
	// came, with the coding.
	BodyBytes int64
}

// Connections describes all open connections, those first that have been in their state for
// longest.
func (s *Server) Connections() []Connection {
	s.init()
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	open := make([]Connection, 0, len(conns))
	for _, c := range conns {
		open = append(open, c.snapshot())
	}
	slices.SortFunc(open, func(a, b Connection) int { return cmp.Compare(a.Since, b.Since) })
	return open
}

func (c *conn) snapshot() Connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, requests := c.first, 1
	if c.pipeline != nil {
		if requests = len(c.pipeline.inFlight); requests > 0 {
			s = c.pipeline.inFlight[0]
		}
	}
	open := Connection{
		Remote: c.RemoteAddr().String(), State: s.state, Since: s.since, Requests: requests, RequestID: s.requestID, BodyBytes: s.bodyBytes,
	}
	if !s.hasRequest {
		open.State, open.Since, open.Requests = ConnIdle, c.idleSince, 0
		if len(c.received) > 0 {
			open.State, open.Since = ConnReceiving, c.received[0].at
		}
	}
	if since := c.writingSince.Load(); since != 0 {
		open.State, open.Since = ConnWriting, clock.Millis(since)
	}
	if c.closingSince != 0 {
		open.State, open.Since = ConnClosing, c.closingSince
	}
	return open
}

// beginReceiving records that the first byte of a request was handed to the stream. conn.mu
// must be held.
func (s *stream) beginReceiving() {
	s.hasRequest, s.requestID, s.bodyBytes = true, "", 0
	s.isAnswerBegun, s.isAnswered, s.isUndelivered = false, false, false
	s.isHeadWhole, s.conn.hasBody = false, false
	s.setState(ConnReceiving)
}

// setState sets the state of the stream's request. conn.mu must be held.
func (s *stream) setState(state ConnState) {
	if s.state != state {
		s.state, s.since = state, clock.Clock{}.Now()
	}
}

// noteRequestID keeps the id of a request whose head holds no key.
func noteRequestID(request *http.Request) {
	s := streamOf(request)
	if s == nil || s.conn.server.RequestIDHeader == "" {
		return
	}
	id := request.Header.Get(s.conn.server.RequestIDHeader)
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	s.requestID = id[:min(len(id), maxLoggedIDBytes)]
}
