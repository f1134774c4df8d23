// Package endpoint speaks HTTP to a firm's endpoints. It sends a request at most
// once, says truly whether any byte of it went out, returns only whole answers
// to that very request, and never passes on a caller's key.
//
// It keeps its own connections. net/http.Transport repeats requests on its own
// when a kept-alive connection dies, and does not tell whether bytes went out.
package endpoint

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
)

// Headers between an entry VM and an endpoint.
const (
	// RequestIDHeader names the request; an endpoint echoes it.
	RequestIDHeader = "Request-Id"
	// OrderIDHeader names an order or payment.
	OrderIDHeader = "Order-Id"
	// DeadlineHeader holds the milliseconds left to the caller.
	DeadlineHeader = "Deadline-Ms"
	// LoadHeader holds "running/slots" in an endpoint's answer.
	LoadHeader = "Endpoint-Load"
	// NotRunHeader in an answer with a status of 400 or more says that the
	// endpoint did not run the request.
	NotRunHeader = "Request-Not-Run"
)

const (
	connectTimeout = 1 * clock.Second
	retryAfter     = 200 * clock.Millis(1)
	// defaultContinueWait is short, since older endpoints send no word.
	defaultContinueWait = 500 * clock.Millis(1)
	// maxHeadBytes bounds the heads of one answer, interim ones included.
	maxHeadBytes = 64 << 10
	// maxInterim bounds the 1xx answers before the final one.
	maxInterim = 5
)

// Request is what Send sends.
type Request struct {
	Method string
	// Target is the escaped path and query.
	Target string
	// Header is the caller's; Send leaves out what must not go on.
	Header http.Header
	// ID must be echoed by the endpoint.
	ID string
	// Body is nil if there is none. Send closes it when no more of it is wanted,
	// which must end a Read that is under way.
	Body io.ReadCloser
	// Length is the body's length, or -1 if it is not known.
	Length int64
	// Fresh asks for a new connection. On a kept one, a close by the endpoint can
	// cross the request, which leaves an outcome that nobody knows.
	NewConnection bool
	// AskFirst sends the body only when the endpoint has asked for it or has been
	// silent for a while, so that a shed request has lost nothing of its body.
	ExpectContinue bool
	// Host is the Host header; empty stands for the endpoint's address.
	Host string
	// MaySend, when set, is asked just before the first byte goes out. Its error
	// ends the request, which has not run then. What was true when the request was
	// placed may not be after a connection was made, or after the VM was frozen.
	BeforeSend func() error
}

// Response is an endpoint's answer. Body must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the declared length, or -1 for a chunked answer.
	Length int64
	// Body ends with io.EOF only if the answer is whole, else with a refusal.
	Body io.ReadCloser
	// Load is the endpoint's word on its load, empty if it gave none.
	Load string
}

// NotRunError is the endpoint's own word that it did not run the request.
type NotRunError struct {
	*reason.Refusal
	Load string
	// Status is the endpoint's.
	Status int
}

// Unwrap returns the refusal that the caller gets.
func (n *NotRunError) Unwrap() error { return n.Refusal }

// Client sends requests to endpoints. Its zero value is ready.
type Client struct {
	// Dial opens connections; nil is a plain dialler. The connections' Write must
	// return how many bytes may have gone out.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Clock ages idle connections.
	Clock clock.Clock
	// LoadHeader and NotRunHeader are the endpoints' names for these headers; empty
	// stands for the project's own.
	LoadHeader, NotRunHeader string
	// ConnectTimeout bounds the set-up of a connection; 0 is 1 s.
	ConnectTimeout clock.Millis
	// TakeUnframed accepts answers without a declared length: such an answer is
	// whole if its connection ends in order.
	AcceptUnframed bool
	// ContinueWait is how long a body that asks first waits for the endpoint's word;
	// 0 is 500 ms.
	ExpectContinueTimeout clock.Millis

	pool pool
}

// New returns a Client that dials plainly.
func New() *Client { return &Client{} }

// Send sends request to the endpoint at address once. The error is a
// *reason.Refusal or a *NotRunError; its Ran is RanNo only if no byte went out
// or the endpoint said so.
func (c *Client) Send(ctx context.Context, address string, request *Request) (*Response, error) {
	if refusal := check(request); refusal != nil {
		return nil, refusal
	}
	connection, err := c.begin(ctx, address, request)
	if err != nil {
		return nil, err
	}
	exchange := &exchange{client: c, connection: connection, request: request, ctx: ctx}
	exchange.stop = context.AfterFunc(ctx, func() { _ = connection.Close() })
	return exchange.run()
}

// begin returns a connection on which the head was written. A kept connection
// that takes no byte was dead before: a new one may be tried.
func (c *Client) begin(ctx context.Context, address string, request *Request) (*conn, error) {
	head := formatHead(ctx, address, request)
	if !request.NewConnection {
		if kept := c.pool.take(address, c.Clock.Now()); kept != nil {
			err := request.write(ctx, kept, head)
			if err == nil {
				return kept, nil
			}
			_ = kept.Close()
			if kept.sent.Load() > 0 {
				return nil, failed(ctx, true, err)
			}
		}
	}
	fresh, err := c.dial(ctx, address)
	if err != nil {
		return nil, failed(ctx, false, err)
	}
	if err := request.write(ctx, fresh, head); err != nil {
		_ = fresh.Close()
		return nil, failed(ctx, fresh.sent.Load() > 0, err)
	}
	return fresh, nil
}

// write writes the head if the request may still be sent.
func (r *Request) write(ctx context.Context, connection *conn, head []byte) error {
	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			return err
		}
	}
	return connection.writeHead(ctx, head)
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
	return connectTimeout
}

func (c *Client) loadHeader() string {
	if c.LoadHeader != "" {
		return c.LoadHeader
	}
	return LoadHeader
}

func (c *Client) notRunHeader() string {
	if c.NotRunHeader != "" {
		return c.NotRunHeader
	}
	return NotRunHeader
}

// failed returns the refusal for an exchange that broke.
func failed(ctx context.Context, sent bool, err error) *reason.Refusal {
	refusal := &reason.Refusal{Reason: reason.EndpointFailed, Ran: reason.RanNo, RetryAfter: retryAfter, Detail: "the endpoint gave no answer"}
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

// remaining returns the milliseconds to ctx's deadline, as a header's value.
func remaining(ctx context.Context) (value string, ok bool) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return "", false
	}
	return strconv.FormatInt(max(0, int64(clock.FromDuration(time.Until(deadline)))), 10), true
}
