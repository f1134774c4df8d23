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
	// fixedTries is how often a request is sent without a RetryPolicy.
	fixedTries = 3
	// smallAnswer bounds answers that are read whole before their first byte goes
	// to the caller, so that a cut one can be tried again or refused.
	smallAnswer = 32 << 10
)

// take consumes an endpoint's answer.
type take func(ctx context.Context, answer *endpoint.Response) error

// run sends the request until an answer was taken or no try is left.
func (c *call) run(ctx context.Context, take take) error {
	if c.router.Retry != nil {
		c.router.Retry.RecordRequest()
	}
	for tries := 1; ; tries++ {
		placed, err := c.try(ctx, take)
		if err == nil {
			return nil
		}
		refusal := caller.AsRefusal(err)
		c.doubtful = c.doubtful || refusal.Ran != reason.RanNo
		if !placed {
			return c.honest(refusal)
		}
		wait, again := c.mayRetry(ctx, tries, refusal)
		if !again || clock.Sleep(ctx, wait) != nil {
			return c.honest(refusal)
		}
	}
}

// honest returns a refusal that says "not run" only if that is true of every try.
func (c *call) honest(refusal *reason.Refusal) error {
	if refusal.Ran != reason.RanNo || !c.doubtful {
		return refusal
	}
	copied := *refusal
	copied.Ran = reason.RanUnknown
	return &copied
}

// mayRetry decides on another try. A request that may have run is sent again
// only if running twice does no harm.
func (c *call) mayRetry(ctx context.Context, tries int, refusal *reason.Refusal) (wait clock.Millis, ok bool) {
	if c.answering || ctx.Err() != nil || c.body.isSpent() {
		return 0, false
	}
	if refusal.Ran != reason.RanNo && c.route.Work != document.WorkCatalogue {
		return 0, false
	}
	if c.router.Retry == nil {
		ok = tries < fixedTries && retry.IsTransient(refusal.Reason)
	} else {
		wait, ok = c.router.Retry.Retry(tries, refusal.Reason)
	}
	if ok && c.router.RetryCounters != nil {
		c.router.RetryCounters.Inc(refusal.Reason)
	}
	return wait, ok
}

// try sends the request once. It reports whether an endpoint was chosen.
func (c *call) try(ctx context.Context, take take) (placed bool, err error) {
	grant, err := c.place(ctx)
	if err != nil {
		return false, err
	}
	start := c.router.Clock.Micros()
	result := placement.Result{Outcome: placement.Cancelled, Running: -1, Slots: -1}
	defer func() {
		result.Micros = c.router.Clock.Micros() - start
		grant.Done(result)
	}()
	if _, err := c.checkKey(); err != nil {
		return false, err
	}
	answer, err := c.send(ctx, grant)
	if err == nil {
		result.Running, result.Slots = parseLoad(answer.Load)
		c.pace(ctx, answer, grant.Endpoint.Region)
		err = take(ctx, answer)
		_ = answer.Body.Close()
		result.Outcome = answerOutcome(answer, err)
	} else {
		result.Outcome = outcome(err)
		if shed, ok := fault.As[*endpoint.NotRunError](err); ok {
			result.Running, result.Slots = parseLoad(shed.Load)
		}
	}
	if err != nil {
		c.tried = append(c.tried, grant.Endpoint.Name)
	}
	return true, err
}

func (c *call) place(ctx context.Context) (*placement.Grant, error) {
	request := placement.Request{
		Service:           c.newestService(),
		Route:             c.route,
		Workspace:         c.workspace,
		Remaining:         left(ctx),
		Bytes:             c.body.length,
		Paced:             c.body.stream != nil,
		ExcludedEndpoints: c.tried,
	}
	if request.Remaining <= 0 || ctx.Err() != nil {
		return nil, c.tooLate(ctx)
	}
	return c.router.Placer.Place(ctx, request)
}

// newestService returns the service's document in force now: it may have drained
// endpoints since the request came.
func (c *call) newestService() *document.Service {
	if newest := c.router.Replica.Snapshot().Service(c.service.Name); newest != nil {
		return newest.Service
	}
	return c.service.Service
}

func (c *call) tooLate(ctx context.Context) error {
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
		Body:           c.body.reader(),
		Length:         c.body.length,
		NewConnection:  c.route.Work == document.WorkOrder,
		ExpectContinue: c.body.stream != nil,
		BeforeSend:     func() error { return c.maySend(ctx) },
	})
}

// maySend checks anew what may have ended since the request was placed: its key,
// this VM's knowledge and its time. A VM that was frozen goes on in the middle of
// its requests, before its timers run.
func (c *call) maySend(ctx context.Context) error {
	if left(ctx) <= 0 {
		return c.tooLate(ctx)
	}
	if err := c.checkFresh(); err != nil {
		return err
	}
	_, err := c.checkKey()
	return err
}

// outcome tells the placer how a request ended that got no answer.
func outcome(err error) placement.Outcome {
	if _, shed := fault.As[*endpoint.NotRunError](err); shed {
		return placement.Shed
	}
	switch caller.AsRefusal(err).Reason {
	case reason.AnswerCut:
		return placement.AnswerTruncated
	case reason.AnswerCrossed:
		return placement.AnswerMismatched
	case reason.DeadlinePassed:
		return placement.DeadlineExceeded
	case reason.EndpointFailed:
		return placement.Failed
	default:
		return placement.Cancelled
	}
}

func answerOutcome(answer *endpoint.Response, err error) placement.Outcome {
	switch {
	case err != nil:
		return outcome(err)
	case answer.Status >= http.StatusInternalServerError:
		return placement.Failed
	default:
		return placement.Answered
	}
}

// parseLoad reads an endpoint's "running/slots"; -1 stands for no report.
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

// copyBuffers holds buffers for answers.
var copyBuffers = sync.Pool{New: func() any { return new([smallAnswer]byte) }}

// pass passes an answer on to the caller.
func (c *call) pass(ctx context.Context, answer *endpoint.Response) error {
	buffer := copyBuffers.Get().(*[smallAnswer]byte)
	defer copyBuffers.Put(buffer)
	if answer.Length < 0 || answer.Length > smallAnswer || c.request.Method == http.MethodHead {
		return c.passStream(ctx, answer, buffer[:])
	}
	n, err := readWhole(answer.Body, buffer[:])
	if err != nil {
		return err
	}
	return c.passWhole(ctx, answer, buffer[:n])
}

// readWhole reads up to the end of a body, of at most len(buffer) bytes.
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
		err = errAnswerLong
	}
	return n, err
}

var errAnswerLong error = reason.MayHaveRun(reason.AnswerCut, "the endpoint's answer is longer than declared")

func (c *call) passWhole(ctx context.Context, answer *endpoint.Response, content []byte) error {
	defer c.writeHead(ctx, answer)()
	if _, err := c.w.Write(content); err != nil {
		return errCallerGone
	}
	return nil
}

var errCallerGone error = &reason.Refusal{Reason: reason.CallerGone, Ran: reason.RanYes, Detail: "the caller went away before its answer was whole"}

func (c *call) passStream(ctx context.Context, answer *endpoint.Response, buffer []byte) error {
	defer c.writeHead(ctx, answer)()
	control := http.NewResponseController(c.w)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if _, err := c.w.Write(buffer[:n]); err != nil {
				return errCallerGone
			}
			if answer.Length < 0 {
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

// writeHead writes an answer's head. A caller that reads too slowly is cut at the
// request's deadline; the returned function lifts that bound.
func (c *call) writeHead(ctx context.Context, answer *endpoint.Response) (done func()) {
	c.answering = true
	control := http.NewResponseController(c.w)
	if deadline, ok := ctx.Deadline(); ok {
		_ = control.SetWriteDeadline(deadline)
	}
	header := c.w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	if answer.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	c.w.WriteHeader(answer.Status)
	return func() {
		// net/http writes what it has buffered after the handler.
		if ctx.Err() == nil {
			_ = control.SetWriteDeadline(time.Time{})
		}
	}
}
