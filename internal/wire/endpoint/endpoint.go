// Package endpoint is the HTTP client for requests to endpoints. It sends a request
// at most once, reports whether any byte of it may have been sent, returns only
// complete responses that echo the request's id, and never forwards a caller's key. A
// refusal (see package reason) states whether the request may have run at the endpoint,
// so that the sender knows whether it may be sent again.
//
// It has a connection pool of its own because net/http.Transport retries requests
// when a reused connection fails and does not report whether bytes were sent.
package endpoint

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
)

// Headers between an entry VM and an endpoint.
const (
	// RequestIDHeader holds the request's id. An endpoint must echo it.
	RequestIDHeader = "Request-Id"
	// OrderIDHeader holds the id of an order or payment.
	OrderIDHeader = "Order-Id"
	// DeadlineHeader holds the time that remains until the caller's deadline, in
	// milliseconds.
	DeadlineHeader = "Deadline-Ms"
	// LoadHeader holds "running/slots" in a response from an endpoint.
	LoadHeader = "Endpoint-Load"
	// NotRunHeader in a response with a status of 400 or more states that the
	// endpoint did not run the request.
	NotRunHeader = "Request-Not-Run"
)

const (
	defaultConnectTimeout = 1 * clock.Second
	// defaultRetryAfter is the Retry-After of refusals for an endpoint that gave no answer
	// or did not run the request.
	defaultRetryAfter = 200 * clock.Millis(1)
	// defaultExpectContinueTimeout is short because older endpoints do not send
	// 100 Continue.
	defaultExpectContinueTimeout = 500 * clock.Millis(1)
	// maxHeadBytes bounds the heads of one response, including interim responses.
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds their lines, each of which takes up to 126 bytes once parsed. Up to
	// readBufferBytes of short lines more are parsed, and no more of a trailer.
	maxHeadLines = 1000
	// maxUndeclaredBytes bounds a response body whose length is not declared, with its
	// framing: an endpoint may send bytes that are no answer without end.
	maxUndeclaredBytes = 16 << 20
	// maxDiscardedBytes bounds a body that is read only to keep the connection or to see
	// that a refusal is complete.
	maxDiscardedBytes = 256 << 10
	// maxInterimResponses bounds the 1xx responses before the final response.
	maxInterimResponses = 5
)

// Request is a request to an endpoint.
type Request struct {
	Method string
	// Target is the escaped path and query.
	Target string
	// Header is the caller's header. Send omits hop-by-hop headers and credentials.
	Header http.Header
	// ID must be echoed by the endpoint.
	ID string
	// Body is nil if the request has no body. Send closes it when the rest of a
	// partly read body is not needed; Close must interrupt a pending Read.
	Body io.ReadCloser
	// Length is the length of Body in bytes, or -1 if it is unknown.
	Length int64
	// NewConnection prevents the reuse of an idle connection. An endpoint may close
	// an idle connection while a request is in flight, and then it is unknown
	// whether the request ran.
	NewConnection bool
	// ExpectContinue delays the body until the endpoint sends 100 Continue or
	// Client.ExpectContinueTimeout has passed, so that the body of a request that
	// the endpoint sheds is still unread.
	ExpectContinue bool
	// Host is the Host header; if empty, the endpoint's address is sent.
	Host string
	// BeforeSend, if not nil, is called just before the first byte is sent. If it
	// returns an error, the request fails as not run. It repeats checks made when
	// the endpoint was chosen, because their result may have changed while the
	// connection was set up or the VM was paused.
	BeforeSend func() error
	// Trace, if not nil, is filled in before Send returns, but for the defect of a trailer.
	Trace *Trace
}

// Response is the response of an endpoint. The receiver must close Body.
type Response struct {
	Status int
	Header http.Header
	// Length is the declared length in bytes, or -1 if none is declared.
	Length int64
	// Body ends with io.EOF only if the response is complete, otherwise with a
	// *reason.Refusal.
	Body io.ReadCloser
	Statement
}

// Statement is what an endpoint says of itself in the head of a response.
type Statement struct {
	// Load is the load that it reports, Limit the limit that it names; either may be
	// empty.
	Load, Limit string
	// IsLeaving reports that it is about to end and wants no more requests.
	IsLeaving bool
	// Pause is how long it wants no requests from this VM, at most maxPause; 0 if it does
	// not say.
	Pause clock.Millis
}

// NotRunError is the error for a request that the endpoint reported as not run.
type NotRunError struct {
	*reason.Refusal
	Statement
	// Status is the HTTP status that the endpoint sent.
	Status int
}

// Unwrap returns the refusal that is sent to the caller.
func (n *NotRunError) Unwrap() error { return n.Refusal }

// EndedError is the error for a request that was sent, and whose connection the endpoint
// closed or reset before the first byte of a response: the endpoint may have ended.
type EndedError struct{ *reason.Refusal }

// Unwrap returns the refusal that is sent to the caller.
func (e *EndedError) Unwrap() error { return e.Refusal }

// HeaderNames holds the names of the response headers in which endpoints speak of
// themselves.
type HeaderNames struct {
	// Load and NotRun replace the header names of the constants LoadHeader and
	// NotRunHeader unless they are empty.
	Load, NotRun string
	// Limit is the header in which endpoints name the requests per second that they take,
	// Leaving the one with the value leavingValue once they leave. Either is empty if
	// endpoints do not say so.
	Limit, Leaving string
}

// leavingValue is the value of the leaving header of an endpoint that leaves.
const leavingValue = "1"

// Client sends requests to endpoints. Its zero value is ready to use.
type Client struct {
	// Dial opens connections; if nil, a default net.Dialer is used. Write on these
	// connections must return the number of bytes that may have been sent.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Clock measures how long connections are idle.
	Clock clock.Clock
	Names HeaderNames
	// ConnectTimeout bounds the set-up of a connection; 0 selects 1 s.
	ConnectTimeout clock.Millis
	// AcceptUnframed accepts responses without Content-Length or chunked encoding.
	// Such a response is complete if its connection is closed without an error and no write
	// of the request failed on it.
	AcceptUnframed bool
	// ExpectContinueTimeout is how long a request with ExpectContinue waits for the
	// endpoint's response before it sends its body; 0 selects 500 ms.
	ExpectContinueTimeout clock.Millis

	pool pool
}

// New returns a Client with default settings.
func New() *Client { return &Client{} }

// Send sends request to the endpoint at address at most once. The error is a
// *reason.Refusal, a *NotRunError or an *EndedError. Its Ran is RanNo only if no byte was sent or
// the endpoint reported that it did not run the request.
func (c *Client) Send(ctx context.Context, address string, request *Request) (*Response, error) {
	if refusal := checkRequest(request); refusal != nil {
		return nil, refusal
	}
	connection, err := c.sendHead(ctx, address, request)
	if err != nil {
		return nil, err
	}
	exchange := &exchange{client: c, connection: connection, request: request, ctx: ctx}
	exchange.stopContextWatch = context.AfterFunc(ctx, connection.abort)
	return exchange.run()
}

// sendHead returns a connection on which the head was written. If writing to a
// reused connection fails before any byte was sent, it tries a new connection, unless
// BeforeSend has refused the request.
func (c *Client) sendHead(ctx context.Context, address string, request *Request) (*conn, error) {
	head := formatHead(ctx, address, request)
	if !request.NewConnection {
		reused, hasCarried := c.pool.get(address, request.ID, c.Clock.Now())
		request.trace(func(trace *Trace) { trace.IsIDRepeated = hasCarried })
		if reused != nil {
			err := request.write(ctx, reused, head)
			if err == nil {
				return reused, nil
			}
			_ = reused.Close()
			isSent := reused.bytesSent.Load() > 0
			if _, isRefused := fault.As[*reason.Refusal](err); isRefused || isSent {
				return nil, newRefusal(ctx, isSent, err)
			}
		}
	}
	opened, err := c.dial(ctx, address)
	if err != nil {
		return nil, newRefusal(ctx, false, err)
	}
	if err := request.write(ctx, opened, head); err != nil {
		_ = opened.Close()
		return nil, newRefusal(ctx, opened.bytesSent.Load() > 0, err)
	}
	return opened, nil
}

// write calls BeforeSend and, if that returns no error, writes the head.
func (r *Request) write(ctx context.Context, connection *conn, head []byte) error {
	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			return err
		}
	}
	r.trace(func(trace *Trace) { trace.ConnRequests = connection.ids.count() + 1 })
	return connection.writeHead(ctx, r.ID, head)
}

// trace lets record fill in the request's Trace, if it has one.
func (r *Request) trace(record func(trace *Trace)) {
	if r.Trace != nil {
		record(r.Trace)
	}
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.connectTimeout().Duration())
	defer cancel()
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	opened, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(opened, address), nil
}

func (c *Client) connectTimeout() clock.Millis {
	if c.ConnectTimeout > 0 {
		return c.ConnectTimeout
	}
	return defaultConnectTimeout
}

func (n *HeaderNames) load() string {
	if n.Load != "" {
		return n.Load
	}
	return LoadHeader
}

func (n *HeaderNames) notRun() string {
	if n.NotRun != "" {
		return n.NotRun
	}
	return NotRunHeader
}

// maxPause bounds the pause that an endpoint can ask for.
const maxPause = clock.Hour

// readPause returns the pause that an endpoint asks for when it turns a request away: a
// decimal number of seconds with the status 503. Any other value asks for none.
func readPause(response *http.Response) clock.Millis {
	if response.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(response.Header.Get("Retry-After")), 64)
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds <= 0 {
		return 0
	}
	return clock.Millis(math.Ceil(min(seconds, float64(maxPause/clock.Second)) * float64(clock.Second)))
}

// readStatement returns what an endpoint says of itself in the head of a response.
func (n *HeaderNames) readStatement(response *http.Response) (said Statement) {
	said.Load = response.Header.Get(n.load())
	if n.Limit != "" {
		said.Limit = response.Header.Get(n.Limit)
	}
	said.Pause = readPause(response)
	said.IsLeaving = n.Leaving != "" && response.Header.Get(n.Leaving) == leavingValue
	return said
}

// newRefusal returns the refusal for an exchange that failed with err. A refusal in
// the chain of err is copied; the end of ctx replaces its reason. sent states that
// bytes of the request may have reached the endpoint.
func newRefusal(ctx context.Context, sent bool, err error) *reason.Refusal {
	refusal := &reason.Refusal{Reason: reason.EndpointFailed, Ran: reason.RanNo, RetryAfter: defaultRetryAfter, Detail: "the endpoint gave no answer"}
	if known, ok := fault.As[*reason.Refusal](err); ok {
		copied := *known
		refusal = &copied
	}
	switch ctx.Err() {
	case context.DeadlineExceeded:
		refusal.Reason, refusal.Detail = reason.DeadlinePassed, "the deadline passed before the endpoint's answer was whole"
	case context.Canceled:
		refusal.Reason, refusal.Detail = reason.CallerGone, "the caller went away"
	}
	if sent {
		refusal.Ran = reason.RanUnknown
	}
	return refusal
}

// formatRemaining returns the milliseconds until the deadline of ctx as a header
// value; ok is false if ctx has no deadline.
func formatRemaining(ctx context.Context) (value string, ok bool) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return "", false
	}
	return strconv.FormatInt(max(0, int64(clock.FromDuration(time.Until(deadline)))), 10), true
}
