package router

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/placement"
	"baobabladder.example/baobabladder/internal/policy/retry"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
	"baobabladder.example/baobabladder/internal/world/contract"
)

const (
	// defaultMaxAttempts is how often a request is sent if no RetryPolicy is set.
	defaultMaxAttempts = 3
	// maxBufferedResponse is the size in bytes up to which a response is read into
	// memory before its first byte is sent to the caller, so that a truncated one can
	// be retried or refused.
	maxBufferedResponse = 32 << 10
)

// responseHandler consumes an endpoint's response, such as by relaying it.
type responseHandler func(ctx context.Context, response *endpoint.Response) error

// sendWithRetries sends the request until handle accepts a response or no retry is
// possible.
func (c *call) sendWithRetries(ctx context.Context, handle responseHandler) error {
	if c.router.Retry != nil {
		c.router.Retry.RecordRequest()
	}
	for attempts := 1; ; attempts++ {
		placed, err := c.sendOnce(ctx, handle)
		if err == nil {
			return nil
		}
		refusal := caller.AsRefusal(err)
		c.mayHaveRun = c.mayHaveRun || refusal.Ran != reason.RanNo
		if !placed {
			return refusal.OverAttempts(c.mayHaveRun)
		}
		wait, ok := c.canRetry(ctx, attempts, refusal)
		if !ok || clock.Sleep(ctx, wait) != nil {
			return refusal.OverAttempts(c.mayHaveRun)
		}
	}
}

// canRetry reports whether to retry, and after which wait. A request that may have
// run is retried only on catalogue routes, whose requests are idempotent.
func (c *call) canRetry(ctx context.Context, attempts int, refusal *reason.Refusal) (wait clock.Millis, ok bool) {
	if c.responseStarted || ctx.Err() != nil || c.body.isConsumed() {
		return 0, false
	}
	if refusal.Ran != reason.RanNo && c.route.Work != document.WorkCatalogue {
		return 0, false
	}
	if c.router.Retry == nil {
		ok = attempts < defaultMaxAttempts && retry.IsTransient(refusal.Reason)
	} else {
		wait, ok = c.router.Retry.Retry(attempts, refusal.Reason)
	}
	if ok && c.router.RetryCounters != nil {
		c.router.RetryCounters.Inc(refusal.Reason)
	}
	return wait, ok
}

// sendOnce chooses an endpoint, sends the request there and handles the response.
// placed is false if no endpoint was chosen or the key was withdrawn meanwhile, after
// which the request is not retried.
func (c *call) sendOnce(ctx context.Context, handle responseHandler) (placed bool, err error) {
	grant, err := c.place(ctx)
	if err != nil {
		return false, err
	}
	startMicros := c.router.Clock.Micros()
	result := placement.Result{Outcome: placement.Cancelled, Running: -1, Slots: -1}
	defer func() {
		result.Micros = c.router.Clock.Micros() - startMicros
		grant.Done(result)
	}()
	if _, err := c.checkKey(); err != nil {
		return false, err
	}
	response, err := c.send(ctx, grant)
	if err == nil {
		result.Running, result.Slots = parseLoad(response.Load)
		c.paceResponse(ctx, response, grant.Endpoint.Region)
		err = handle(ctx, response)
		_ = response.Body.Close()
		result.Outcome = responseOutcome(response, err)
	} else {
		result.Outcome = failureOutcome(err)
		if notRun, ok := fault.As[*endpoint.NotRunError](err); ok {
			result.Running, result.Slots = parseLoad(notRun.Load)
		}
	}
	if err != nil {
		c.triedEndpoints = append(c.triedEndpoints, grant.Endpoint.Name)
	}
	return true, err
}

func (c *call) place(ctx context.Context) (*placement.Grant, error) {
	request := placement.Request{
		Service:           c.currentService(),
		Route:             c.route,
		Workspace:         c.workspace,
		Remaining:         remainingTime(ctx),
		Bytes:             c.body.length,
		Paced:             c.body.stream != nil,
		ExcludedEndpoints: c.triedEndpoints,
	}
	if request.Remaining <= 0 || ctx.Err() != nil {
		return nil, c.deadlineRefusal(ctx)
	}
	return c.router.Placer.Place(ctx, request)
}

// currentService returns the service's current document, which may have drained
// endpoints since the request arrived.
func (c *call) currentService() *document.Service {
	if newest := c.router.Replica.Snapshot().Service(c.service.Name); newest != nil {
		return newest.Service
	}
	return c.service.Service
}

func (c *call) deadlineRefusal(ctx context.Context) error {
	if ctx.Err() == context.Canceled {
		return reason.NotRun(reason.CallerGone, 0, "the caller went away")
	}
	return reason.NotRun(reason.DeadlinePassed, 0, "the deadline passed before an endpoint was chosen")
}

func (c *call) send(ctx context.Context, grant *placement.Grant) (*endpoint.Response, error) {
	if c.body.stream != nil && grant.Endpoint.Region != c.router.Region {
		c.body.stream.link = contract.LinkResource(c.router.Region, grant.Endpoint.Region)
	}
	return c.router.Client.Send(ctx, grant.Endpoint.Address, &endpoint.Request{
		Method:         c.request.Method,
		Target:         c.request.URL.RequestURI(),
		Header:         c.request.Header,
		ID:             c.id,
		Body:           c.body.newReader(),
		Length:         c.body.length,
		NewConnection:  c.route.Work == document.WorkOrder,
		ExpectContinue: c.body.stream != nil,
		BeforeSend:     func() error { return c.checkBeforeSend(ctx) },
	})
}

// checkBeforeSend repeats the checks of the deadline, of the freshness of this VM's
// state and of the key just before the request is sent. A VM that was frozen resumes
// in the middle of its requests, before its timers fire.
func (c *call) checkBeforeSend(ctx context.Context) error {
	if remainingTime(ctx) <= 0 {
		return c.deadlineRefusal(ctx)
	}
	if err := c.checkFreshness(); err != nil {
		return err
	}
	_, err := c.checkKey()
	return err
}

// failureOutcome returns the outcome of an attempt without a complete response, for
// the placer.
func failureOutcome(err error) placement.Outcome {
	if _, notRun := fault.As[*endpoint.NotRunError](err); notRun {
		return placement.Shed
	}
	switch caller.AsRefusal(err).Reason {
	case reason.AnswerCut:
		return placement.ResponseTruncated
	case reason.AnswerCrossed:
		return placement.ResponseMismatched
	case reason.DeadlinePassed:
		return placement.DeadlineExceeded
	case reason.EndpointFailed:
		return placement.Failed
	default:
		return placement.Cancelled
	}
}

func responseOutcome(response *endpoint.Response, err error) placement.Outcome {
	switch {
	case err != nil:
		return failureOutcome(err)
	case response.Status >= http.StatusInternalServerError:
		return placement.Failed
	default:
		return placement.Answered
	}
}

// parseLoad parses an endpoint's load report, "running/slots". Both are -1 if there is
// no valid report.
func parseLoad(load string) (running, slots int) {
	first, second, _ := strings.Cut(load, "/")
	running, err := strconv.Atoi(first)
	if err != nil || running < 0 {
		return -1, -1
	}
	slots, err = strconv.Atoi(second)
	if err != nil || slots < 0 {
		return -1, -1
	}
	return running, slots
}

// bufferPool holds buffers for responses.
var bufferPool = sync.Pool{New: func() any { return new([maxBufferedResponse]byte) }}

// relayResponse relays a response to the caller. A response of up to
// maxBufferedResponse bytes is read whole first; a longer one is streamed.
func (c *call) relayResponse(ctx context.Context, response *endpoint.Response) error {
	buffer := bufferPool.Get().(*[maxBufferedResponse]byte)
	defer bufferPool.Put(buffer)
	if response.Length < 0 || response.Length > maxBufferedResponse || c.request.Method == http.MethodHead {
		return c.relayStream(ctx, response, buffer[:])
	}
	n, err := readWhole(response.Body, buffer[:])
	if err != nil {
		return err
	}
	return c.relayBuffered(ctx, response, buffer[:n])
}

// readWhole reads a body of at most len(buffer) bytes to its end. It returns an error
// if the body is longer.
func readWhole(from io.Reader, buffer []byte) (n int, err error) {
	n, err = io.ReadFull(from, buffer)
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return n, nil
	}
	if err != nil {
		return n, err
	}
	if _, err = from.Read(make([]byte, 1)); err == io.EOF {
		return n, nil
	}
	if err == nil {
		err = errResponseTooLong
	}
	return n, err
}

var errResponseTooLong error = reason.MayHaveRun(reason.AnswerCut, "the endpoint's answer is longer than declared")

func (c *call) relayBuffered(ctx context.Context, response *endpoint.Response, content []byte) error {
	defer c.writeResponseHead(ctx, response)()
	if _, err := c.w.Write(content); err != nil {
		return caller.ErrLeft
	}
	return nil
}

func (c *call) relayStream(ctx context.Context, response *endpoint.Response, buffer []byte) error {
	defer c.writeResponseHead(ctx, response)()
	control := http.NewResponseController(c.w)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if _, err := c.w.Write(buffer[:n]); err != nil {
				return caller.ErrLeft
			}
			if response.Length < 0 {
				_ = control.Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// writeResponseHead writes a response's status and headers, and sets the request's
// deadline as the write deadline, which disconnects a caller that reads too slowly.
// The returned function removes the write deadline.
func (c *call) writeResponseHead(ctx context.Context, response *endpoint.Response) (done func()) {
	c.responseStarted = true
	control := http.NewResponseController(c.w)
	if deadline, ok := ctx.Deadline(); ok {
		_ = control.SetWriteDeadline(deadline)
	}
	header := c.w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	if response.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	c.w.WriteHeader(response.Status)
	return func() {
		// net/http flushes its buffer after the handler returns, which must not fail
		// unless the request's deadline has passed.
		if ctx.Err() == nil {
			_ = control.SetWriteDeadline(time.Time{})
		}
	}
}
