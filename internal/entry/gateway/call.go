package gateway

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strings"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
	"baobabladder.example/baobabladder/internal/world/key"
	"baobabladder.example/baobabladder/internal/world/routing"
)

const (
	// maxWholeBody bounds bodies that are read whole before the request is sent, so
	// that it can be sent again.
	maxWholeBody = 1 << 20
	// maxKeyLength and maxIDLength bound what callers send as keys and request ids.
	maxKeyLength = 256
	maxIDLength  = 128
	// notReadyRetry is when a caller may try again a VM that knows no configuration.
	notReadyRetry = 300 * clock.Millis(1)
	requestBytes  = 8
	kilobyte      = 1024
)

// call is one caller's request on its way.
type call struct {
	gateway *Gateway
	w       http.ResponseWriter
	request *http.Request
	arrived clock.Millis
	// id is the caller's, which endpoints echo.
	id    string
	head  caller.Head
	table *routing.Table
	route *routing.Route
	// workspace is nil on open routes.
	workspace *routing.Workspace
	service   *routing.Service
	// object names what the request is about, with its service.
	object string
	// whole is a body that was read, stream one that is passed on as it comes.
	whole  []byte
	stream *streamed
	length int64
	// tried names the endpoints that failed the request; steps tells of each try.
	tried []string
	steps []step
	// doubtful says that one of the tries may have run.
	doubtful bool
	// answering says that a byte of the answer may have gone to the caller.
	answering bool
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
	c.head, err = caller.ReadHeadWith(c.request, isKey)
	return err
}

func newRequestID() string {
	var id [requestBytes]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// isKey accepts any form of key: who issues them decides that.
func isKey(text string) bool {
	return text != "" && len(text) <= maxKeyLength && !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r >= 0x7f })
}

func (c *call) findRoute() error {
	c.table = c.gateway.Table()
	if c.table == nil {
		return reason.NotRun(reason.NotReady, notReadyRetry, "this VM knows no configuration yet")
	}
	c.route = c.table.Match(c.request.Host, c.request.URL.Path)
	if c.route == nil {
		return reason.NotRun(reason.RouteUnknown, 0, "no route for this host and path")
	}
	return nil
}

// authenticate finds the workspace whose key came with the request.
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

// startDeadline bounds the request by the route's timeout, or by the caller's
// deadline if that is sooner. What must not run twice goes on when its caller
// leaves: cutting it would only hide its outcome.
func (c *call) startDeadline() (context.Context, context.CancelFunc) {
	deadline := c.route.Timeout
	if c.head.Deadline > 0 && (deadline == 0 || c.head.Deadline < deadline) {
		deadline = c.head.Deadline
	}
	ctx := c.request.Context()
	if !c.mayRepeat() {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithTimeout(ctx, deadline.Duration())
}

func (c *call) mayRepeat() bool { return c.route.Work == document.WorkCatalogue }

func (c *call) admit(ctx context.Context) error {
	wait, ok := c.gateway.Quota.Admit(ctx, c.workspace)
	if !ok {
		return reason.NotRun(reason.RateExceeded, wait, "workspace %s is over its rate", c.workspace.Name)
	}
	return nil
}

// takeBody reads a body that is not too large whole, and prepares the stream of
// any other.
func (c *call) takeBody(ctx context.Context) error {
	c.length = c.request.ContentLength
	if c.length == 0 {
		return nil
	}
	limit := c.table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = maxWholeBody
	}
	if c.length > limit {
		return caller.TooLarge(limit)
	}
	until, _ := ctx.Deadline()
	received := caller.NewBody(c.w, c.request, limit, until)
	if c.length > maxWholeBody {
		c.stream = &streamed{Body: received}
		return nil
	}
	buffer := &bytes.Buffer{}
	if c.length > 0 {
		buffer.Grow(int(c.length) + bytes.MinRead)
	}
	_, err := io.Copy(buffer, io.LimitReader(received, maxWholeBody))
	if err != nil {
		return err
	}
	c.whole = buffer.Bytes()
	if c.length < 0 && len(c.whole) == maxWholeBody {
		c.stream = &streamed{Body: received, first: c.whole}
		return nil
	}
	c.length = int64(len(c.whole))
	return nil
}

// streamed is a body that is passed on as it comes: what was read of it, and the
// rest.
type streamed struct {
	*caller.Body
	first   []byte
	started bool
}

// Read implements io.Reader.
func (s *streamed) Read(buffer []byte) (int, error) {
	s.started = true
	if len(s.first) > 0 {
		n := copy(buffer, s.first)
		s.first = s.first[n:]
		return n, nil
	}
	return s.Body.Read(buffer)
}

// body returns a reader for one try, or nil if there is no body.
func (c *call) body() io.ReadCloser {
	switch {
	case c.stream != nil:
		return c.stream
	case len(c.whole) > 0:
		return io.NopCloser(bytes.NewReader(c.whole))
	}
	return nil
}

// isSpent reports whether the body can't be sent again.
func (c *call) isSpent() bool { return c.stream != nil && c.stream.started }

func (c *call) chooseService() {
	name := c.gateway.splits.choose(c.route)
	c.service = c.table.Services[name]
	if c.service == nil {
		c.service = &routing.Service{Name: name}
	}
	c.gateway.RetryBudget.RecordRequest(name)
	if cookie, err := c.request.Cookie(c.gateway.Headers.ObjectCookie); err == nil {
		c.object = name + " " + cookie.Value
	}
}

// fields are what a log line says of a call.
func (c *call) fields() logrus.Fields {
	fields := logrus.Fields{"request_id": c.id, "after_ms": c.gateway.Clock.Now() - c.arrived}
	if c.table != nil {
		fields["version"] = c.table.Version
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
	return fields
}
