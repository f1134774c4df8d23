package endpoint

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
)

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

func (e *exchange) run() (*Response, error) {
	e.proceed = make(chan struct{})
	e.abandon = make(chan struct{})
	e.written = make(chan struct{})
	if e.request.Body == nil {
		close(e.written)
	} else {
		go e.writeBody()
	}
	response, err := e.readOwnHead()
	if err != nil {
		return nil, e.broken(err)
	}
	return e.judge(response)
}

// readOwnHead passes over late answers to earlier requests of the connection,
// which is closed after the request then. An answer without an id, or whose rest
// doesn't come, can't be told from the request's own.
func (e *exchange) readOwnHead() (*http.Response, error) {
	for strays := 0; ; strays++ {
		response, err := e.readHead()
		if err != nil {
			return nil, err
		}
		response.Close = response.Close || strays > 0
		echoes := response.Header.Values(RequestIDHeader)
		isStray := len(echoes) == 1 && echoes[0] != e.request.ID && e.connection.requests > 1
		if !isStray || strays == maxStrays || response.Close && strays == 0 {
			return response, nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
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
func (e *exchange) judge(response *http.Response) (*Response, error) {
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
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !e.client.AcceptUnframed {
		return nil, e.broken(reason.MayHaveRun(reason.AnswerCut, "the endpoint's answer declares no length"))
	}
	body := &answerBody{exchange: e, body: response.Body, poisoned: response.Close}
	load := response.Header.Get(e.client.loadHeader())
	e.connection.learnIdle(response.Header.Get("Keep-Alive"))
	if response.Header.Get(e.client.notRunHeader()) != "" || response.StatusCode == http.StatusMisdirectedRequest {
		_, err := io.CopyN(io.Discard, body, maxHeadBytes)
		_ = body.Close()
		if response.StatusCode < http.StatusBadRequest {
			return nil, reason.MayHaveRun(reason.EndpointFailed, "the endpoint said both that it ran the request and that it did not")
		}
		if err != nil && err != io.EOF {
			return nil, reason.MayHaveRun(reason.AnswerCut, "the endpoint's refusal was cut")
		}
		return nil, &NotRunError{Refusal: reason.NotRun(reason.EndpointShed, retryAfter, "the endpoint did not run the request"), Load: load, Status: response.StatusCode}
	}
	return &Response{Status: response.StatusCode, Header: e.client.answerHeader(response.Header), Length: response.ContentLength, Body: body, Load: load}, nil
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
	if e.request.ExpectContinue {
		limit := e.client.ExpectContinueTimeout
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
