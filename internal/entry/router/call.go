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

const staleRetry = 2 * clock.Second

// call is one caller's request on its way.
type call struct {
	router  *Router
	w       http.ResponseWriter
	request *http.Request
	// id is sent to endpoints, which echo it.
	id   string
	head caller.Head
	// service and route are those in force when the request came.
	service *replica.Service
	route   *document.Route
	// workspace is empty on open routes.
	workspace string
	// digest is of the key, empty on open routes.
	digest key.Digest
	body   body
	// tried names the endpoints that failed the request.
	tried []string
	// doubtful says that one of the tries may have run.
	doubtful bool
	// answering says that a byte of the answer may have gone to the caller.
	answering bool
}

func (c *call) findRoute() error {
	c.service, c.route = c.router.Replica.Snapshot().Match(c.request.URL.Path)
	if c.route == nil {
		return reason.NotRun(reason.RouteUnknown, 0, "no service has a route for this path")
	}
	return nil
}

// authenticate finds the workspace whose key came with the request.
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

// checkKey looks the key up in the snapshot that is in force now. It is called
// again before each send and while a body is streamed, since a key may be
// withdrawn meanwhile.
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

func (c *call) checkFresh() error {
	if c.route.Public || c.router.Freshness == nil || c.router.Freshness.IsFresh() {
		return nil
	}
	return reason.NotRun(reason.StateStale, staleRetry, "this VM has had no word from the store for too long to know which keys are good")
}

// startDeadline bounds the request by the route's deadline, or by the caller's
// if that is sooner.
func (c *call) startDeadline() (context.Context, context.CancelFunc) {
	deadline := c.route.Deadline
	if c.head.Deadline > 0 && c.head.Deadline < deadline {
		deadline = c.head.Deadline
	}
	return context.WithTimeout(c.request.Context(), deadline.Duration())
}

func (c *call) admit(ctx context.Context) error {
	if c.router.Limiter == nil || c.workspace == "" {
		return nil
	}
	return c.router.Limiter.Admit(ctx, c.service.Name, c.workspace)
}

// left returns the time to ctx's deadline.
func left(ctx context.Context) clock.Millis {
	deadline, _ := ctx.Deadline()
	return clock.FromDuration(time.Until(deadline))
}
