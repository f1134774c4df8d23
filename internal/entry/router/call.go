package router

import (
	"context"
	"net/http"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/world/key"
	"baobabladder.example/baobabladder/internal/world/replica"
)

// staleRetryAfter is the Retry-After of a VM whose copy of the configuration is
// stale.
const staleRetryAfter = 2 * clock.Second

// call is one caller's request in progress.
type call struct {
	router  *Router
	w       http.ResponseWriter
	request *http.Request
	// id is the generated request id, which endpoints echo.
	id   string
	head caller.Head
	// service and route are those in force when the request arrived.
	service *replica.Service
	route   *document.Route
	// workspace is empty on public routes.
	workspace string
	// digest is the key's digest, empty on public routes.
	digest key.Digest
	body   body
	// triedEndpoints holds the names of the endpoints on which an attempt failed.
	triedEndpoints []string
	// mayHaveRun reports whether an endpoint may have run the request in one of the
	// attempts.
	mayHaveRun bool
	// responseStarted reports whether bytes of the response may have been sent to the
	// caller, after which the request cannot be retried or refused.
	responseStarted bool
}

func (c *call) findRoute() error {
	c.service, c.route = c.router.Replica.Snapshot().Match(c.request.URL.Path)
	if c.route == nil {
		return reason.NotRun(reason.RouteUnknown, 0, "no service has a route for this path")
	}
	return nil
}

// authenticate checks the request's key and that its workspace belongs to the
// service. It does nothing on public routes.
func (c *call) authenticate() error {
	if c.route.Public {
		return nil
	}
	if c.head.Key == "" {
		return reason.NotRun(reason.KeyMissing, 0, "the route needs a key")
	}
	c.digest = key.DigestOf(c.head.Key)
	known, err := c.checkKey()
	if err != nil {
		return err
	}
	if c.service.Workspace(known.Workspace) == nil {
		return reason.NotRun(reason.WorkspaceUnknown, 0, "workspace %s has no part in %s", known.Workspace, c.service.Name)
	}
	c.workspace = known.Workspace
	return nil
}

// checkKey looks up the key in the current snapshot. It is called again before each
// attempt and while a body is streamed, as the key may be withdrawn meanwhile.
func (c *call) checkKey() (known key.Key, err error) {
	if c.digest == "" {
		return key.Key{}, nil
	}
	known, found := c.router.Replica.Snapshot().Keys[c.digest]
	if !found || !key.Equal(known.Digest, c.digest) {
		return key.Key{}, reason.NotRun(reason.KeyUnknown, 0, "no such key")
	}
	if known.Withdrawn {
		return key.Key{}, reason.NotRun(reason.KeyWithdrawn, 0, "key %s is withdrawn", known.ID)
	}
	return known, nil
}

func (c *call) checkFreshness() error {
	if c.route.Public || c.router.Freshness == nil || c.router.Freshness.IsFresh() {
		return nil
	}
	return reason.NotRun(reason.StateStale, staleRetryAfter, "this VM has had no word from the store for too long to know which keys are good")
}

// withDeadline returns a context that ends at the route's deadline, or at the
// caller's if that is sooner; both count from the request's arrival.
func (c *call) withDeadline() (context.Context, context.CancelFunc) {
	deadline := c.route.Deadline
	if c.head.Deadline > 0 && c.head.Deadline < deadline {
		deadline = c.head.Deadline
	}
	return context.WithTimeout(c.request.Context(), (deadline - caller.Waited(c.request)).Duration())
}

func (c *call) admit(ctx context.Context) error {
	if c.router.Limiter == nil || c.workspace == "" {
		return nil
	}
	return c.router.Limiter.Admit(ctx, c.service.Name, c.workspace)
}

// remainingTime returns the time to ctx's deadline.
func remainingTime(ctx context.Context) clock.Millis {
	deadline, _ := ctx.Deadline()
	return clock.FromDuration(time.Until(deadline))
}
