// Package router answers one caller's request: it finds the route, checks the
// key, the limits and the deadline, places the request on an endpoint, sends it
// there and passes the answer back. Router.serve can be read from top to bottom
// in the order in which a request goes.
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

// SnapshotSource gives the configuration in force.
type SnapshotSource interface {
	Snapshot() *replica.Snapshot
}

// Freshness says whether this VM's knowledge is new enough for keyed work.
type Freshness interface {
	IsFresh() bool
}

// Limiter holds workspaces to their rate and burst.
type Limiter interface {
	Admit(ctx context.Context, service, workspace string) error
}

// Claims claims orders before they are sent; see order.Claims.
type Claims interface {
	Claim(ctx context.Context, order order.Order) (*order.Claim, *order.Answer, error)
}

// Placer chooses endpoints; see placement.Placer.
type Placer interface {
	Place(ctx context.Context, request placement.Request) (*placement.Grant, error)
}

// RetryPolicy bounds retries as a part of all traffic; see retry.Budget.
type RetryPolicy interface {
	// First counts a request's first try.
	RecordRequest()
	// Retry says whether a request that failed for a reason may be tried again
	// after its given number of tries, and after how long.
	Retry(tries int, why reason.Reason) (wait clock.Millis, ok bool)
}

// LinkLimiter paces what goes over the links between regions.
type LinkLimiter interface {
	Wait(ctx context.Context, resource contract.Resource, bytes int64) error
}

// Sender sends requests to endpoints; see endpoint.Client.
type Sender interface {
	Send(ctx context.Context, address string, request *endpoint.Request) (*endpoint.Response, error)
}

// Router answers callers' requests. Replica, Placer and Client must be set.
type Router struct {
	Replica SnapshotSource
	Placer  Placer
	Client  Sender
	// Freshness is nil for a VM that is always fresh.
	Freshness Freshness
	// Limiter is nil for no limits.
	Limiter Limiter
	// Claims is nil where no orders are taken.
	Claims Claims
	// Retry is nil for a fixed small number of tries.
	Retry RetryPolicy
	// Links is nil for links without limits.
	Links LinkLimiter
	// Region is this VM's.
	Region  string
	Refuser caller.RefusalWriter
	// Retries is the metric "retries".
	RetryCounters *metric.ReasonCounters
	Clock         clock.Clock
}

// ServeHTTP implements http.Handler.
func (r *Router) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	c := &call{router: r, w: w, request: request, id: newRequestID()}
	err := r.serve(c)
	switch {
	case err == nil:
	case c.answering:
		// The caller must see that its answer is cut.
		r.Refuser.Record(caller.AsRefusal(err), c.fields())
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set(endpoint.RequestIDHeader, c.id)
		r.Refuser.Refuse(w, err, c.fields())
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
	if err := c.checkFresh(); err != nil {
		return err
	}
	ctx, cancel := c.startDeadline()
	defer cancel()
	if err := c.takeBody(ctx); err != nil {
		return err
	}
	if err := c.admit(ctx); err != nil {
		return err
	}
	if c.route.Work == document.WorkOrder {
		return c.runOrder(ctx)
	}
	return c.run(ctx, c.pass)
}

// fields are what a log line says of a call.
func (c *call) fields() logrus.Fields {
	fields := logrus.Fields{"request_id": c.id}
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
