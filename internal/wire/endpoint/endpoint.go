// Package endpoint speaks HTTP to a firm's endpoints. It sends a request at most
// once, says truly whether any byte of it went out, returns only whole answers
// to that very request, and never passes on a caller's key.
//
// It keeps its own connections. net/http.Transport repeats requests on its own
// when a kept-alive connection dies, and does not tell whether bytes went out.
package endpoint

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
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
	Fresh bool
	// AskFirst sends the body only when the endpoint has asked for it or has been
	// silent for a while, so that a shed request has lost nothing of its body.
	AskFirst bool
}

// Answer is an endpoint's answer. Body must be closed.
type Answer struct {
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
	// ContinueWait is how long a body that asks first waits for the endpoint's word;
	// 0 is 500 ms.
	ContinueWait clock.Millis

	pool pool
}

// New returns a Client that dials plainly.
func New() *Client { return &Client{} }

// Send sends request to the endpoint at address once. The error is a
// *reason.Refusal or a *NotRunError; its Ran is RanNo only if no byte went out
// or the endpoint said so.
func (c *Client) Send(ctx context.Context, address string, request *Request) (*Answer, error) {
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
	if !request.Fresh {
		if kept := c.pool.take(address, c.Clock.Now()); kept != nil {
			err := kept.writeHead(ctx, head)
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
	if err := fresh.writeHead(ctx, head); err != nil {
		_ = fresh.Close()
		return nil, failed(ctx, fresh.sent.Load() > 0, err)
	}
	return fresh, nil
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout.Duration())
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

// exchange is one request and its answer on one connection.
type exchange struct {
	client     *Client
	connection *conn
	request    *Request
	ctx        context.Context
	// stop ends the watch on ctx; it is false if ctx has closed the connection.
	stop func() bool
	// proceed is closed when the body is wanted.
	proceed     chan struct{}
	proceedOnce sync.Once
	// abandon is closed when the body is not wanted any more.
	abandon chan struct{}
	// written is closed when the body's writer has ended; writeErr is set before.
	written  chan struct{}
	writeErr error

	mu sync.Mutex
	// started says that the body is being read, abandoned that it must not be.
	// Guarded by mu.
	started, abandoned bool
}

var errAbandoned = errors.New("the body is not wanted")

func (e *exchange) run() (*Answer, error) {
	e.proceed = make(chan struct{})
	e.abandon = make(chan struct{})
	e.written = make(chan struct{})
	if e.request.Body == nil {
		close(e.written)
	} else {
		go e.writeBody()
	}
	response, err := e.readHead()
	if err != nil {
		return nil, e.broken(err)
	}
	return e.judge(response)
}

// readHead returns the final answer's head and passes over interim ones.
func (e *exchange) readHead() (*http.Response, error) {
	e.connection.headBudget = maxHeadBytes
	defer func() { e.connection.headBudget = unlimited }()
	for range maxInterim + 1 {
		response, err := http.ReadResponse(e.connection.reader, &http.Request{Method: e.request.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusContinue {
			e.proceedOnce.Do(func() { close(e.proceed) })
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the endpoint switched protocols")
		}
	}
	return nil, errors.New("the endpoint sent too many interim answers")
}

// judge decides whether the answer belongs to the request and can be passed on.
func (e *exchange) judge(response *http.Response) (*Answer, error) {
	select {
	case <-e.written:
	default:
		// An answer before the end of the body: nothing more of it is wanted.
		e.endBody()
		response.Close = true
	}
	echoes := response.Header.Values(RequestIDHeader)
	if len(echoes) != 1 || echoes[0] != e.request.ID {
		return nil, e.broken(reason.MayHaveRun(reason.AnswerCrossed, "the endpoint's answer was to another request"))
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, e.broken(reason.MayHaveRun(reason.AnswerCut, "the endpoint's answer declares no length"))
	}
	body := &answerBody{exchange: e, body: response.Body, poisoned: response.Close}
	load := response.Header.Get(LoadHeader)
	if response.Header.Get(NotRunHeader) != "" {
		_, err := io.CopyN(io.Discard, body, maxHeadBytes)
		_ = body.Close()
		if response.StatusCode < http.StatusBadRequest {
			return nil, reason.MayHaveRun(reason.EndpointFailed, "the endpoint said both that it ran the request and that it did not")
		}
		if err != nil && err != io.EOF {
			return nil, reason.MayHaveRun(reason.AnswerCut, "the endpoint's refusal was cut")
		}
		return nil, &NotRunError{Refusal: reason.NotRun(reason.EndpointShed, retryAfter, "the endpoint did not run the request"), Load: load}
	}
	return &Answer{Status: response.StatusCode, Header: answerHeader(response.Header), Length: response.ContentLength, Body: body, Load: load}, nil
}

// broken ends the exchange and returns its refusal. All of these exchanges have
// sent their head.
func (e *exchange) broken(err error) *reason.Refusal {
	e.stop()
	_ = e.connection.Close()
	e.endBody()
	if _, ok := fault.As[*reason.Refusal](e.writeErr); ok {
		err = e.writeErr
	}
	return failed(e.ctx, true, err)
}

// endBody makes the body's writer end and waits for it. A body of which nothing
// was read stays as it is, for another endpoint.
func (e *exchange) endBody() {
	if e.request.Body == nil {
		return
	}
	e.mu.Lock()
	started, again := e.started, e.abandoned
	e.abandoned = true
	e.mu.Unlock()
	if !again {
		close(e.abandon)
	}
	if started {
		_ = e.connection.SetWriteDeadline(pastDeadline)
		_ = e.request.Body.Close()
	}
	<-e.written
}

// startBody waits until the body is wanted and reports whether it is.
func (e *exchange) startBody() bool {
	if e.request.AskFirst {
		limit := e.client.ContinueWait
		if limit == 0 {
			limit = defaultContinueWait
		}
		wait, cancel := context.WithTimeout(e.ctx, limit.Duration())
		defer cancel()
		select {
		case <-e.proceed:
		case <-e.abandon:
		case <-wait.Done():
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.started = !e.abandoned && e.ctx.Err() == nil
	return e.started
}

func (e *exchange) writeBody() {
	defer close(e.written)
	if !e.startBody() {
		e.writeErr = errAbandoned
		return
	}
	e.writeErr = e.connection.writeBody(e.request.Body, e.request.Length)
	if _, ok := fault.As[*reason.Refusal](e.writeErr); ok {
		// The caller's body failed: cut the request, the endpoint must not take
		// it for whole.
		_ = e.connection.Close()
	}
}

// answerBody passes an answer's body and settles its connection at the end.
type answerBody struct {
	exchange *exchange
	body     io.ReadCloser
	// poisoned connections are closed even after a whole answer.
	poisoned bool
	done     bool
	err      error
}

// Read implements io.Reader.
func (a *answerBody) Read(buffer []byte) (n int, err error) {
	if a.done {
		return 0, a.err
	}
	n, err = a.body.Read(buffer)
	switch {
	case err == io.EOF:
		a.settle(io.EOF, !a.poisoned)
	case err != nil:
		cut := reason.MayHaveRun(reason.AnswerCut, "the endpoint's answer was cut")
		a.settle(failed(a.exchange.ctx, true, cut), false)
	}
	return n, a.err
}

// Close implements io.Closer. A connection whose answer was not read to its end
// is closed.
func (a *answerBody) Close() error {
	if !a.done {
		a.settle(errors.New("the answer is closed"), false)
	}
	return nil
}

func (a *answerBody) settle(err error, reusable bool) {
	a.done, a.err = true, err
	connection := a.exchange.connection
	untouched := a.exchange.stop()
	if !reusable || !untouched || a.exchange.writeErr != nil {
		_ = connection.Close()
		return
	}
	a.exchange.client.pool.put(connection, a.exchange.client.Clock.Now())
}

// remaining returns the milliseconds to ctx's deadline, as a header's value.
func remaining(ctx context.Context) (value string, ok bool) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return "", false
	}
	return strconv.FormatInt(max(0, int64(clock.FromDuration(time.Until(deadline)))), 10), true
}
