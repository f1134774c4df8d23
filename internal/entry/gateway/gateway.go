// Package gateway is the HTTP handler of an entry VM in a deployment whose endpoints
// register themselves. For each request it finds the route, checks the key and the
// quota, chooses an endpoint or waits until one has room, sends the request there and relays
// the response to the caller. Gateway.serve lists these steps in order.
//
// The handler makes no calls to the store. It retries a request on another endpoint
// only if the request has not run or is idempotent, and only before the first byte
// of the response is sent.
package gateway

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/logging"
	"baobabladder.example/baobabladder/internal/base/metric"
	"baobabladder.example/baobabladder/internal/policy/balance"
	"baobabladder.example/baobabladder/internal/policy/blocklist"
	"baobabladder.example/baobabladder/internal/policy/canary"
	"baobabladder.example/baobabladder/internal/policy/retry"
	"baobabladder.example/baobabladder/internal/policy/usage"
	"baobabladder.example/baobabladder/internal/policy/waiting"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
	"baobabladder.example/baobabladder/internal/world/routing"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// Headers holds the names of the deployment's own headers and cookie.
type Headers struct {
	// Workspace is the request header that names the workspace to the endpoint.
	Workspace string
	// Endpoint is the request header with the ID of the endpoint that may run the
	// request; any other endpoint refuses it.
	Endpoint string
	// ObjectCookie is the cookie that identifies the object of the request, for
	// affinity to endpoints that served the object before.
	ObjectCookie string
}

// Sender sends requests to endpoints; see endpoint.Client.
type Sender interface {
	Send(ctx context.Context, address string, request *endpoint.Request) (*endpoint.Response, error)
}

// Reach tells whether this VM reaches endpoints; see reach.Monitor.
type Reach interface {
	IsCutOff() bool
	// Lost returns a context that ends when the VM becomes cut off and the requests in
	// flight get no answers either.
	Lost() context.Context
	// Begin and End record that a request is sent to an endpoint, and how it ended.
	Begin()
	End(isAnswered, isUnreached bool)
	// HasEnded reports whether the endpoint at the address has ended; it may wait for that.
	HasEnded(ctx context.Context, address string) bool
}

// Quota enforces each workspace's rate and burst over all VMs; see
// admission.Admission.
type Quota interface {
	// Admit takes a token for one request. If there is none, it returns false and
	// the time after which the caller may retry.
	Admit(ctx context.Context, workspace *routing.Workspace) (wait clock.Millis, ok bool)
	// Refund returns the token of a request that did not run.
	Refund(workspace *routing.Workspace)
}

// Gateway handles callers' requests. All fields but Waiting, Reach, Alternates, PeerClient,
// OnBlock, Usage, RecordLatency, RecordOutcome, RecordOddity, RecordLimitedSend,
// RecordInterrupted, RecordWait, PlannedStop, ConfigAge, Log and LogBudget must be set.
type Gateway struct {
	Headers  Headers
	Client   Sender
	Balancer *balance.Balancer
	// Waiting holds the requests that wait for room at an endpoint; without it, requests are
	// refused at once. The Balancer's OnRoom must call NotifyRoom then.
	Waiting *waiting.Queues
	// Reach is optional. Without it, an endpoint that closes a connection before it answers
	// is taken to have ended.
	Reach Reach
	// Alternates returns up to count VMs, in regions that isAllowed, to which PeerClient may
	// forward requests, nearest first; both are optional.
	Alternates func(count int, isAllowed func(region string) bool) []vm.VM
	PeerClient Sender
	Quota      Quota
	// Canary chooses the versions that may run a request during a version move, and
	// counts their responses.
	Canary *canary.Guard
	// Blocklist holds the requests that end endpoints. OnBlock is called when one is
	// blocked; optional.
	Blocklist *blocklist.List
	OnBlock   func()
	// Usage counts the attempts that endpoints run, by workspace; optional.
	Usage *usage.Ledger
	// RetryBudget limits retries to a part of the requests of all VMs.
	RetryBudget *retry.WindowBudget
	Refuser     caller.RefusalWriter
	// RetryCounters is the metric "retries", by the reason of the failed attempt.
	RetryCounters *metric.ReasonCounters
	// RecordLatency adds a request's duration to the histogram of its kind of work
	// and outcome, which is "answered" or the reason of the refusal.
	RecordLatency func(work, outcome string, took clock.Millis)
	// RecordOutcome counts an attempt at an endpoint by its outcome.
	RecordOutcome func(outcome string)
	// RecordOddity counts what is unusual about an attempt at an endpoint.
	RecordOddity func(oddity Oddity)
	// RecordLimitedSend counts an attempt at an endpoint that has named a limit.
	RecordLimitedSend func(isRetry bool)
	// RecordInterrupted counts a request that the end of the VM interrupts, by its kind of
	// work.
	RecordInterrupted func(work string)
	// RecordWait records a request that waited for room, or was not allowed to, by its rank.
	RecordWait func(rank routing.Rank, outcome WaitOutcome, waited clock.Millis)
	// PlannedStop returns the VM's planned stop, if it is stopping; optional.
	PlannedStop func() (stop PlannedStop, isStopping bool)
	// ConfigAge returns how old the configuration in force may be, for the log; optional.
	ConfigAge func() clock.Millis
	Clock     clock.Clock
	// Log is nil for no log; LogBudget limits its lines.
	Log       logrus.FieldLogger
	LogBudget logging.Budget

	// table is the configuration in force; nil before the first one is set.
	table atomic.Pointer[routing.Table]
	// targetSelector distributes requests over the targets of a route.
	targetSelector targetSelector
	inFlight       inFlight
	dispatcher     dispatcher
}

// SetTable puts a configuration in force and returns true, unless one of the same or
// a newer version is in force.
func (g *Gateway) SetTable(table *routing.Table) bool {
	for {
		old := g.table.Load()
		if old != nil && old.Version >= table.Version {
			return false
		}
		if g.table.CompareAndSwap(old, table) {
			return true
		}
	}
}

// Table returns the configuration in force, or nil.
func (g *Gateway) Table() *routing.Table { return g.table.Load() }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	c := &call{gateway: g, w: w, request: request, arrived: g.Clock.Now() - caller.Waited(request)}
	g.finish(c, g.serve(c))
}

// finish logs and counts a request that has ended, and refuses it if err is not nil.
func (g *Gateway) finish(c *call, err error) {
	w := c.w
	if c.endTrial != nil {
		c.endTrial()
	}
	c.logRequest(err)
	c.recordLatency(err)
	switch {
	case err == nil:
	case c.responseStarted:
		// Aborting the connection shows the caller that the response is truncated.
		g.Refuser.Record(caller.AsRefusal(err), nil)
		panic(http.ErrAbortHandler)
	default:
		if c.id != "" {
			w.Header().Set(endpoint.RequestIDHeader, c.id)
		}
		g.Refuser.Refuse(w, err, nil)
	}
}

// recordLatency records the request's duration under its outcome.
func (c *call) recordLatency(err error) {
	if c.gateway.RecordLatency == nil || c.route == nil {
		return
	}
	outcome := "answered"
	if err != nil {
		outcome = string(caller.AsRefusal(err).Reason)
	}
	c.gateway.RecordLatency(string(c.route.Work), outcome, c.gateway.Clock.Now()-c.arrived)
}

func (g *Gateway) serve(c *call) (err error) {
	if err := c.readHead(); err != nil {
		return err
	}
	if err := c.findRoute(); err != nil {
		return err
	}
	if err := c.authenticate(); err != nil {
		return err
	}
	ctx, cancel := c.withDeadline()
	defer cancel()
	defer g.inFlight.add(c)()
	return c.afterInterrupt(ctx, c.run(ctx))
}

// run runs a request of a caller whose head was checked.
func (c *call) run(ctx context.Context) error {
	if err := c.checkStop(ctx); err != nil {
		return err
	}
	if err := caller.AwaitTurn(ctx, c.request, c.isIdempotent()); err != nil {
		return err
	}
	if err := c.admit(ctx); err != nil {
		return err
	}
	return c.receiveAndSend(ctx)
}

// receiveAndSend reads the body and sends the request.
func (c *call) receiveAndSend(ctx context.Context) error {
	if err := c.receive(ctx); err != nil {
		return err
	}
	if !c.isForwarded {
		c.chooseService()
	}
	return c.sendWithRetries(ctx)
}

// receive reads the body and checks whether the request may be sent.
func (c *call) receive(ctx context.Context) error {
	if err := c.readBody(ctx); err != nil {
		if isInterrupted(ctx) {
			c.refund()
		}
		return err
	}
	c.identify()
	if err := c.checkBlocklist(); err != nil {
		return err
	}
	if err := c.checkStop(ctx); err != nil {
		c.refund()
		return err
	}
	return nil
}
