// Package router is the HTTP handler of an entry VM that is configured by documents.
// For each request it finds the route, checks the key, the deadline and the limits,
// chooses an endpoint, sends the request there and relays the response to the caller.
// Router.serve lists these steps in order.
//
// A request is retried on another endpoint only if it has not run or is idempotent,
// and only before the first byte of the response is sent. The kind of work of its route
// determines this: requests of catalogue routes are idempotent, an order runs at most
// once, and uploads are streamed; see document.Work. The caller's key is never
// forwarded or logged.
package router

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/metric"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/placement"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/order"
	"baobabladder.example/baobabladder/internal/world/replica"
)

// SnapshotSource returns the configuration in force; see replica.Replica.
type SnapshotSource interface {
	Snapshot() *replica.Snapshot
}

// Freshness reports whether this VM's copy is recent enough to serve requests with a
// key; see freshness.Freshness.
type Freshness interface {
	IsFresh() bool
}

// Limiter enforces the rate and burst of workspaces; see limit.Limiter.
type Limiter interface {
	Admit(ctx context.Context, service, workspace string) error
}

// Claims claims orders before they are sent to an endpoint; see order.Claims.
type Claims interface {
	Claim(ctx context.Context, order order.Order) (*order.Claim, *order.Response, error)
}

// Placer chooses endpoints; see placement.Placer.
type Placer interface {
	Place(ctx context.Context, request placement.Request) (*placement.Grant, error)
}

// RetryPolicy limits retries to a part of all requests; see retry.Budget.
type RetryPolicy interface {
	// RecordRequest counts a new request.
	RecordRequest()
	// Retry reports whether a request may be retried after the given number of
	// attempts, the last of which failed for the reason, and how long to wait first.
	Retry(attempts int, why reason.Reason) (wait clock.Millis, ok bool)
}

// LinkLimiter limits the rate of the links between regions; see limit.Limiter.
type LinkLimiter interface {
	// Wait waits until the link has allowance for the bytes.
	Wait(ctx context.Context, resource contract.Resource, bytes int64) error
}

// Sender sends requests to endpoints; see endpoint.Client.
type Sender interface {
	Send(ctx context.Context, address string, request *endpoint.Request) (*endpoint.Response, error)
}

// Router handles callers' requests. Replica, Placer and Client must be set.
type Router struct {
	Replica SnapshotSource
	Placer  Placer
	Client  Sender
	// Freshness is nil if the VM's copy never becomes stale.
	Freshness Freshness
	// Limiter is nil if workspaces have no limits.
	Limiter Limiter
	// Claims is nil if the VM refuses orders.
	Claims Claims
	// Retry is nil for up to defaultMaxAttempts attempts without a budget.
	Retry RetryPolicy
	// Links is nil if links have no limits.
	Links LinkLimiter
	// Region is this VM's region.
	Region  string
	Refuser caller.RefusalWriter
	// RetryCounters is the metric "retries", by the reason of the failed attempt.
	RetryCounters *metric.ReasonCounters
	Clock         clock.Clock
}

// ServeHTTP implements http.Handler.
func (r *Router) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	c := &call{router: r, w: w, request: request, id: newRequestID()}
	err := r.serve(c)
	switch {
	case err == nil:
	case c.responseStarted:
		// Aborting the connection shows the caller that the response is truncated.
		r.Refuser.Record(caller.AsRefusal(err), c.logFields())
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set(endpoint.RequestIDHeader, c.id)
		r.Refuser.Refuse(w, err, c.logFields())
	}
}

func (r *Router) serve(c *call) (err error) {
	if c.head, err = caller.ReadHead(c.request); err != nil {
		return err
	}
	if err := c.findRoute(); err != nil {
		return err
	}
	if err := c.authenticate(); err != nil {
		return err
	}
	if err := c.checkFreshness(); err != nil {
		return err
	}
	ctx, cancel := c.withDeadline()
	defer cancel()
	if err := caller.AwaitTurn(ctx, c.request, c.route.Work == document.WorkCatalogue); err != nil {
		return err
	}
	if err := c.readBody(ctx); err != nil {
		return err
	}
	if err := c.admit(ctx); err != nil {
		return err
	}
	if c.route.Work == document.WorkOrder {
		return c.runOrder(ctx)
	}
	return c.sendWithRetries(ctx, c.relayResponse)
}

// logFields returns the fields that describe the call in a log line.
func (c *call) logFields() logrus.Fields {
	fields := logrus.Fields{"request_id": c.id}
	if waited := caller.Waited(c.request); waited > 0 {
		fields["waited_ms"] = waited
	}
	if c.service != nil {
		fields["service"] = c.service.Name
		fields["route"] = c.route.Prefix
	}
	if c.workspace != "" {
		fields["workspace"] = c.workspace
	}
	return fields
}

const requestIDBytes = 16

func newRequestID() string {
	var id [requestIDBytes]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
