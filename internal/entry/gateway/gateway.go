// Package gateway answers one caller's request to a deployment whose endpoints
// register themselves: it finds the route, checks the key and the quota, chooses
// an endpoint, sends the request there and passes the answer back.
// Gateway.serve can be read from top to bottom in the order in which a request
// goes. It makes no call to the store.
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
	"baobabladder.example/baobabladder/internal/policy/canary"
	"baobabladder.example/baobabladder/internal/policy/retry"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
	"baobabladder.example/baobabladder/internal/world/routing"
)

// Headers names the headers that callers and endpoints use beside HTTP's own.
type Headers struct {
	// Workspace tells the endpoint for whom the request runs.
	Workspace string
	// Endpoint names the endpoint that may run the request; any other one refuses.
	Endpoint string
	// ObjectCookie is the cookie that names what the request is about.
	ObjectCookie string
}

// Sender sends requests to endpoints; see endpoint.Client.
type Sender interface {
	Send(ctx context.Context, address string, request *endpoint.Request) (*endpoint.Response, error)
}

// Quota holds workspaces to their rate and burst over all VMs; see
// admission.Admission.
type Quota interface {
	Admit(ctx context.Context, workspace *routing.Workspace) (wait clock.Millis, ok bool)
	// Return gives back what Admit took for a request that did not run.
	Return(workspace *routing.Workspace)
}

// Gateway answers callers' requests. All fields but Latency, Outcome, Log and
// Lines must be set.
type Gateway struct {
	Headers  Headers
	Client   Sender
	Balancer *balance.Balancer
	Quota    Quota
	Canary   *canary.Guard
	// Budget bounds second sends over all VMs.
	RetryBudget *retry.WindowBudget
	Refuser     caller.RefusalWriter
	// Retries is the metric "retries", Requests counts answers by outcome.
	RetryCounters *metric.ReasonCounters
	// Latency is the histogram of answers' times, by kind of work.
	RecordLatency func(work, outcome string, took clock.Millis)
	// Outcome counts how tries at endpoints end.
	RecordOutcome func(outcome string)
	Clock         clock.Clock
	// Log is nil for no log; Lines bounds it.
	Log       logrus.FieldLogger
	LogBudget logging.Budget

	// table is the configuration in force; nil before the first one is known.
	table atomic.Pointer[routing.Table]
	// splits spreads requests over the targets of a route.
	splits splitter
}

// SetTable puts a configuration in force, unless a newer one is.
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
	c := &call{gateway: g, w: w, request: request, arrived: g.Clock.Now()}
	err := g.serve(c)
	c.report(err)
	c.measure(err)
	switch {
	case err == nil:
	case c.answering:
		// The caller must see that its answer is cut.
		g.Refuser.Record(caller.AsRefusal(err), nil)
		panic(http.ErrAbortHandler)
	default:
		if c.id != "" {
			w.Header().Set(endpoint.RequestIDHeader, c.id)
		}
		g.Refuser.Refuse(w, err, nil)
	}
}

// measure counts the request's time under how it ended.
func (c *call) measure(err error) {
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
	ctx, cancel := c.startDeadline()
	defer cancel()
	if err := c.admit(ctx); err != nil {
		return err
	}
	if err := c.takeBody(ctx); err != nil {
		return err
	}
	c.chooseService()
	return c.run(ctx)
}
