package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/blocklist"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
	"baobabladder.example/baobabladder/internal/world/key"
	"baobabladder.example/baobabladder/internal/world/routing"
)

const (
	// maxKeyLength and maxIDLength limit the keys and request ids that callers send,
	// in bytes.
	maxKeyLength = 256
	maxIDLength  = 128
	// notReadyRetryAfter is the Retry-After of a VM that has not read a
	// configuration yet.
	notReadyRetryAfter = 300 * clock.Millis(1)
	requestIDBytes     = 8
	kilobyte           = 1024
)

// call is one caller's request in progress.
type call struct {
	gateway *Gateway
	w       http.ResponseWriter
	request *http.Request
	// arrived is when the request was read from the caller. It may have waited behind others
	// of its connection since.
	arrived clock.Millis
	// id is the request id, from the caller or generated. Endpoints echo it.
	id    string
	head  caller.Head
	table *routing.Table
	route *routing.Route
	// workspace is nil on public routes.
	workspace *routing.Workspace
	service   *routing.Service
	// object is the service's name and the value of the object cookie, or empty.
	// The balancer prefers endpoints that served the same object recently.
	object string
	// bufferedBody is a body that was read into memory, streamedBody one that is
	// forwarded while it is received.
	bufferedBody []byte
	streamedBody *bodyStream
	bodyLength   int64
	// digest identifies the request if it comes again. It is zero before the body is read.
	digest blocklist.Digest
	// endTrial tells the blocklist that the request has ended; nil before it is admitted.
	endTrial func()
	// triedEndpoints holds the IDs of the endpoints on which an attempt failed,
	// attempts one entry for each attempt.
	triedEndpoints []string
	attempts       []attempt
	// ranAttempts counts the attempts in which an endpoint may have run the request,
	// earlierAttempts those of a VM that forwarded it.
	ranAttempts, earlierAttempts int
	// mayHaveRun reports whether an endpoint may have run the request in one of the
	// attempts.
	mayHaveRun bool
	// isForwarded reports whether another VM forwarded the request to this one; forwardedTo
	// names the VM to which this one forwarded it last.
	isForwarded bool
	forwardedTo string
	// interrupt ends the context of the request, with a cause. It is set before the request
	// is in flight.
	interrupt context.CancelCauseFunc
	// waitedForRoom is the time that the request has waited for room at an endpoint, and
	// waitingAhead the largest number of requests that were ahead of it when it began to wait.
	// hasWaited reports whether it has.
	waitedForRoom clock.Millis
	waitingAhead  int
	hasWaited     bool
	// sentTo is the endpoint or VM to which the current attempt was sent, or nil.
	sentTo atomic.Pointer[string]
	// responseStarted reports whether bytes of the response may have been sent to the
	// caller, after which the request cannot be retried or refused.
	responseStarted bool
}

func (c *call) readHead() (err error) {
	c.id = c.request.Header.Get(endpoint.RequestIDHeader)
	if len(c.id) > maxIDLength {
		c.id = ""
		return reason.NotRun(reason.BadRequest, 0, "the request id is longer than %d bytes", maxIDLength)
	}
	if c.id == "" {
		c.id = newRequestID()
	}
	c.head, err = caller.ReadHeadWith(c.request, isWellFormedKey)
	return err
}

func newRequestID() string {
	var id [requestIDBytes]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// isWellFormedKey reports whether the text can be a key: up to maxKeyLength
// printable ASCII characters without spaces. The issuer of the keys decides on any
// further format.
func isWellFormedKey(text string) bool {
	return text != "" && len(text) <= maxKeyLength && !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r >= 0x7f })
}

func (c *call) findRoute() error {
	c.table = c.gateway.Table()
	if c.table == nil {
		return reason.NotRun(reason.NotReady, notReadyRetryAfter, "this VM knows no configuration yet")
	}
	c.route = c.table.Match(c.request.Host, c.request.URL.Path)
	if c.route == nil {
		return reason.NotRun(reason.RouteUnknown, 0, "no route for this host and path")
	}
	return nil
}

// authenticate looks up the workspace by the request's key. It does nothing on
// public routes and where no workspaces are configured.
func (c *call) authenticate() error {
	if c.route.Public || len(c.table.Workspaces) == 0 {
		return nil
	}
	if c.head.Key == "" {
		return reason.NotRun(reason.KeyMissing, 0, "the route needs a key")
	}
	c.workspace = c.table.Keys[key.DigestOf(c.head.Key)]
	if c.workspace == nil {
		return reason.NotRun(reason.KeyUnknown, 0, "no such key")
	}
	return nil
}

// withDeadline returns a context that ends at the route's timeout, or at the
// caller's deadline if that is sooner; both count from the request's arrival. A request that is not idempotent continues
// when its caller disconnects: cancelling it would only hide whether it ran.
func (c *call) withDeadline() (context.Context, context.CancelFunc) {
	deadline := c.route.Timeout
	if c.head.Deadline > 0 && (deadline == 0 || c.head.Deadline < deadline) {
		deadline = c.head.Deadline
	}
	ctx := c.request.Context()
	if !c.isIdempotent() {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, c.interrupt = context.WithCancelCause(ctx)
	ctx, cancel := context.WithTimeout(ctx, (deadline - (c.gateway.Clock.Now() - c.arrived)).Duration())
	return ctx, func() {
		cancel()
		c.interrupt(nil)
	}
}

func (c *call) isIdempotent() bool { return isIdempotent(c.route) }

func isIdempotent(route *routing.Route) bool { return route.Work == document.WorkCatalogue }

func (c *call) admit(ctx context.Context) error {
	wait, ok := c.gateway.Quota.Admit(ctx, c.workspace)
	if !ok {
		return reason.NotRun(reason.RateExceeded, wait, "workspace %s is over its rate", c.workspace.Name)
	}
	return nil
}

func (c *call) chooseService() {
	name := c.gateway.targetSelector.selectService(c.route)
	c.gateway.RetryBudget.RecordRequest(name)
	c.setService(name)
}

func (c *call) setService(name string) {
	c.service = c.table.Services[name]
	if c.service == nil {
		c.service = &routing.Service{Name: name}
	}
	if cookie, err := c.request.Cookie(c.gateway.Headers.ObjectCookie); err == nil {
		c.object = name + " " + cookie.Value
	}
}

// logFields returns the fields that describe the call in a log line.
func (c *call) logFields() logrus.Fields {
	fields := logrus.Fields{"request_id": c.id, "after_ms": c.gateway.Clock.Now() - c.arrived}
	if waited := caller.Waited(c.request); waited > 0 {
		fields["waited_ms"] = waited
	}
	if c.table != nil {
		fields["version"] = c.table.Version
		if c.gateway.ConfigAge != nil {
			fields["copy_age_ms"] = c.gateway.ConfigAge()
		}
	}
	if c.route != nil {
		fields["route"] = c.route.Name
	}
	if c.workspace != nil {
		fields["workspace"] = c.workspace.Name
	}
	if c.service != nil {
		fields["service"] = c.service.Name
	}
	if c.forwardedTo != "" {
		fields["forwarded_to"] = c.forwardedTo
	}
	if c.isForwarded {
		fields["is_forwarded"] = true
	}
	if c.hasWaited {
		fields["waited_for_room_ms"], fields["waiting_ahead"] = c.waitedForRoom, c.waitingAhead
	}
	c.addStop(fields)
	if c.digest != (blocklist.Digest{}) {
		fields["request_digest"] = c.digest.String()
	}
	return fields
}
