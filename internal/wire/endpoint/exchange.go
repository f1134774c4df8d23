package endpoint

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"syscall"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
)

// exchange is one request and its response on one connection.
type exchange struct {
	client     *Client
	connection *conn
	request    *Request
	ctx        context.Context
	// stopContextWatch stops closing the connection when ctx ends. It returns false
	// if ctx has ended and the connection is being closed.
	stopContextWatch func() bool
	// sendBody is closed when the endpoint sends 100 Continue.
	sendBody     chan struct{}
	sendBodyOnce sync.Once
	// abortBody is closed when the rest of the body is not needed.
	abortBody chan struct{}
	// bodyDone is closed when writeBody has returned; bodyErr is set before.
	bodyDone chan struct{}
	bodyErr  error
	// sentAt is when the last byte of the request was written. It is set before bodyDone is
	// closed.
	sentAt clock.Millis

	mu sync.Mutex
	// isBodyStarted is set when the body is read, isBodyAborted when the rest of the
	// body is not needed. Guarded by mu.
	isBodyStarted, isBodyAborted bool
}

var errBodyAborted = errors.New("request body was not sent: the endpoint responded first or the request ended")

func (e *exchange) run() (*Response, error) {
	e.sendBody = make(chan struct{})
	e.abortBody = make(chan struct{})
	e.bodyDone = make(chan struct{})
	if e.request.Body == nil {
		e.sentAt = e.client.Clock.Now()
		close(e.bodyDone)
	} else {
		go e.writeBody()
	}
	received := e.connection.bytesReceived
	response, err := e.readMatchingHead()
	if err != nil {
		refusal := e.fail(err)
		if refusal.Reason == reason.EndpointFailed && e.connection.bytesReceived == received && isConnectionEnd(err) {
			return nil, &EndedError{refusal}
		}
		return nil, refusal
	}
	return e.validate(response)
}

// isConnectionEnd reports whether a read failed because the endpoint closed or reset the
// connection.
func isConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// readMatchingHead discards late responses to earlier requests on the connection
// and returns the next response head. After a discarded response the connection is
// closed at the end of the request. A response without an id may be the response to
// this request, so it is not discarded but returned. A late response that cannot be
// read to its end fails the request.
func (e *exchange) readMatchingHead() (*http.Response, error) {
	for stale := 0; ; stale++ {
		response, err := e.readHead()
		if err != nil {
			return nil, err
		}
		response.Close = response.Close || stale > 0
		echoedIDs := response.Header.Values(RequestIDHeader)
		isStale := len(echoedIDs) == 1 && echoedIDs[0] != e.request.ID && e.connection.ids.count() > 1
		if !isStale || stale == maxStaleResponses || response.Close && stale == 0 {
			return response, nil
		}
		if err := discard(response.Body); err != nil {
			return nil, err
		}
		e.request.trace(func(trace *Trace) { trace.DiscardedAnswers++ })
	}
}

// discard reads a body of up to maxDiscardedBytes to its end. A longer one is an error.
func discard(body io.Reader) error {
	switch _, err := io.CopyN(io.Discard, body, maxDiscardedBytes); err {
	case io.EOF:
		return nil
	case nil:
		return errBodyTooLarge
	default:
		return err
	}
}

// readHead returns the head of the final response and skips interim responses.
func (e *exchange) readHead() (*http.Response, error) {
	e.connection.headBudget, e.connection.headLines = maxHeadBytes, 0
	defer func() { e.connection.headBudget = unlimited }()
	for range maxInterimResponses + 1 {
		response, err := e.connection.readHead(e.request.Method)
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusContinue {
			e.sendBodyOnce.Do(func() { close(e.sendBody) })
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("endpoint sent 101 Switching Protocols")
		}
	}
	return nil, errors.New("endpoint sent too many interim responses")
}

// validate checks that the response belongs to the request and can be forwarded. It
// returns a *NotRunError if the endpoint reported, by the not-run header or the status
// 421, that it did not run the request.
func (e *exchange) validate(response *http.Response) (*Response, error) {
	select {
	case <-e.bodyDone:
		e.request.trace(func(trace *Trace) { trace.SentAt = e.sentAt })
	default:
		// The endpoint responded before the end of the body, so the rest of the body
		// is not sent.
		e.stopBody()
		response.Close = true
	}
	echoedIDs := response.Header.Values(RequestIDHeader)
	if len(echoedIDs) != 1 || echoedIDs[0] != e.request.ID {
		return nil, e.fail(reason.MayHaveRun(reason.AnswerCrossed, "the endpoint's answer was to another request"))
	}
	if endsWithConnection(response) && !e.client.AcceptUnframed {
		return nil, e.fail(reason.MayHaveRun(reason.AnswerCut, "the endpoint's answer declares no length"))
	}
	if endsWithConnection(response) && e.connection.hasWriteFailed {
		return nil, e.fail(newDefect(EndUnknown, reason.AnswerCut, "the endpoint's answer declares no length, and writing the request's body failed before its end"))
	}
	body := &responseBody{exchange: e, body: response.Body, mustClose: response.Close, isUndeclared: response.ContentLength < 0, startedAt: e.connection.bytesReceived}
	said := e.client.Names.readStatement(response)
	e.connection.setIdleTimeout(response.Header.Get("Keep-Alive"))
	if response.Header.Get(e.client.Names.notRun()) != "" || response.StatusCode == http.StatusMisdirectedRequest {
		err := discard(body)
		_ = body.Close()
		if response.StatusCode < http.StatusBadRequest {
			return nil, reason.MayHaveRun(reason.EndpointFailed, "the endpoint said both that it ran the request and that it did not")
		}
		if err != nil {
			return nil, reason.MayHaveRun(reason.AnswerCut, "the endpoint's refusal was cut or is longer than %d bytes", maxDiscardedBytes)
		}
		return nil, &NotRunError{Refusal: reason.NotRun(reason.EndpointShed, defaultRetryAfter, "the endpoint did not run the request"), Statement: said, Status: response.StatusCode}
	}
	return &Response{Status: response.StatusCode, Header: e.client.filterResponseHeader(response.Header), Length: response.ContentLength, Body: body, Statement: said}, nil
}

// endsWithConnection reports whether nothing but the end of the connection tells where the
// response's body ends.
func endsWithConnection(response *http.Response) bool {
	return response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// fail ends the exchange and returns its refusal. The head was sent, so the refusal
// states that the request may have run.
func (e *exchange) fail(err error) *reason.Refusal {
	e.stopContextWatch()
	e.connection.abort()
	e.stopBody()
	e.traceDefect(err)
	if _, ok := fault.As[*reason.Refusal](e.bodyErr); ok {
		err = e.bodyErr
	}
	return newRefusal(e.ctx, true, err)
}

// traceDefect records the defect of an answer, if err is about one.
func (e *exchange) traceDefect(err error) {
	if known, ok := fault.As[*defectError](err); ok {
		e.request.trace(func(trace *Trace) { trace.Defect = known.defect })
	}
}

// stopBody stops writeBody and waits until it has returned. A body that was not read
// yet stays open and can be sent to another endpoint.
func (e *exchange) stopBody() {
	if e.request.Body == nil {
		return
	}
	e.mu.Lock()
	started, alreadyAborted := e.isBodyStarted, e.isBodyAborted
	e.isBodyAborted = true
	e.mu.Unlock()
	if !alreadyAborted {
		close(e.abortBody)
	}
	if started {
		_ = e.connection.SetWriteDeadline(pastDeadline)
		_ = e.request.Body.Close()
	}
	<-e.bodyDone
}

// hasStoppedBody reports whether stopBody was called.
func (e *exchange) hasStoppedBody() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isBodyAborted
}

// awaitBodyStart waits until the body may be sent and reports whether it should be.
func (e *exchange) awaitBodyStart() bool {
	if e.request.ExpectContinue {
		timeout := e.client.ExpectContinueTimeout
		if timeout == 0 {
			timeout = defaultExpectContinueTimeout
		}
		wait, cancel := context.WithTimeout(e.ctx, timeout.Duration())
		defer cancel()
		select {
		case <-e.sendBody:
		case <-e.abortBody:
		case <-wait.Done():
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isBodyStarted = !e.isBodyAborted && e.ctx.Err() == nil
	return e.isBodyStarted
}

// writeBody sends the request body, sets bodyErr and closes bodyDone.
func (e *exchange) writeBody() {
	defer close(e.bodyDone)
	if !e.awaitBodyStart() {
		e.bodyErr = errBodyAborted
		return
	}
	e.bodyErr = e.connection.writeBody(e.request.Body, e.request.Length)
	e.sentAt = e.client.Clock.Now()
	if e.bodyErr != nil && e.hasStoppedBody() {
		// The body was closed under its reader, whose error says nothing about the caller.
		e.bodyErr = errBodyAborted
		return
	}
	if _, ok := fault.As[*reason.Refusal](e.bodyErr); ok {
		// Reading the caller's body failed. The connection is closed so that the
		// endpoint does not accept the truncated request as complete.
		e.connection.abort()
	}
}

// responseBody reads the body of a response and, at its end, closes the connection
// or returns it to the pool.
type responseBody struct {
	exchange *exchange
	body     io.ReadCloser
	// mustClose prevents the reuse of the connection after a complete response.
	mustClose bool
	// isUndeclared reports that the response declares no length. startedAt is the number
	// of bytes that the connection had received before the body.
	isUndeclared bool
	startedAt    int64
	isDone       bool
	err          error
}

// Read implements io.Reader.
func (r *responseBody) Read(buffer []byte) (n int, err error) {
	if r.isDone {
		return 0, r.err
	}
	n, err = r.body.Read(buffer)
	switch {
	case r.isUndeclared && r.exchange.connection.bytesReceived-r.startedAt > maxUndeclaredBytes:
		r.finish(reason.MayHaveRun(reason.AnswerCut, "the endpoint's answer declares no length and is longer than %d bytes", maxUndeclaredBytes), false)
	case err == io.EOF:
		r.finish(io.EOF, !r.mustClose)
	case err != nil:
		r.exchange.traceDefect(err)
		truncated := reason.MayHaveRun(reason.AnswerCut, "the endpoint's answer was cut")
		r.finish(newRefusal(r.exchange.ctx, true, truncated), false)
	}
	return n, r.err
}

// Close implements io.Closer. It closes the connection unless the response was read
// to its end.
func (r *responseBody) Close() error {
	if !r.isDone {
		r.finish(errors.New("response body is closed"), false)
	}
	return nil
}

// finish sets the error that later reads return. It returns the connection to the
// pool if reusable is set, ctx has not ended, the request body was sent without
// error and the connection may carry another id; otherwise it closes the connection.
func (r *responseBody) finish(err error, reusable bool) {
	r.isDone, r.err = true, err
	connection := r.exchange.connection
	watchStopped := r.exchange.stopContextWatch()
	if !reusable || !watchStopped || r.exchange.bodyErr != nil || connection.ids.isFull() {
		_ = connection.Close()
		return
	}
	r.exchange.client.pool.put(connection, r.exchange.client.Clock.Now())
}
