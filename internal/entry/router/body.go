package router

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"

	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/key"
)

const (
	// maxOrderBody bounds orders' bodies, which are read whole before their claim.
	maxOrderBody = 1 << 20
	// maxSmallBody bounds other bodies that are read whole, so that the request
	// can be sent again.
	maxSmallBody = 64 << 10
	firstBuffer  = 4 << 10
)

// body is a request's body: none, whole in memory, or streamed.
type body struct {
	whole  []byte
	stream *stream
	length int64
}

// reader returns a reader for one try, or nil if there is no body.
func (b *body) reader() io.ReadCloser {
	switch {
	case b.stream != nil:
		return b.stream
	case len(b.whole) > 0:
		return io.NopCloser(bytes.NewReader(b.whole))
	}
	return nil
}

// isSpent reports whether the body can't be sent again.
func (b *body) isSpent() bool { return b.stream != nil && b.stream.started.Load() }

// takeBody reads a body that is small or belongs to an order, and prepares the
// stream of any other.
func (c *call) takeBody(ctx context.Context) error {
	c.body.length = c.request.ContentLength
	if c.body.length == 0 {
		return nil
	}
	limit := c.route.MaxBody
	if c.route.Work == document.WorkOrder {
		limit = min(limit, maxOrderBody)
	}
	if c.body.length > limit {
		return caller.TooLarge(limit)
	}
	until, _ := ctx.Deadline()
	received := caller.NewBody(c.w, c.request, limit, until)
	if c.route.Work == document.WorkOrder || c.route.Work == document.WorkCatalogue && c.body.length > 0 && c.body.length <= maxSmallBody {
		return c.takeWhole(received)
	}
	c.body.stream = &stream{call: c, ctx: ctx, received: received, from: received}
	if c.head.Key != "" {
		c.body.stream.from = &key.LeakGuard{Body: received, Secret: c.head.Key, Err: errKeyInBody}
	}
	return nil
}

var errKeyInBody error = reason.NotRun(reason.KeyMisplaced, 0, "the key stands in the body")

func (c *call) takeWhole(received *caller.Body) error {
	buffer := bytes.NewBuffer(make([]byte, 0, firstBuffer))
	if c.body.length > 0 {
		buffer = bytes.NewBuffer(make([]byte, 0, min(c.body.length+bytes.MinRead, maxSmallBody+bytes.MinRead)))
	}
	if _, err := buffer.ReadFrom(received); err != nil {
		return err
	}
	c.body.whole = buffer.Bytes()
	c.body.length = int64(buffer.Len())
	if c.head.Key != "" && bytes.Contains(c.body.whole, []byte(c.head.Key)) {
		return errKeyInBody
	}
	return nil
}

// stream passes a large body on as it comes.
type stream struct {
	call     *call
	ctx      context.Context
	received *caller.Body
	// from yields what was received, without the key.
	from io.Reader
	// link is what the stream is paced by, empty within a region.
	link contract.Resource
	// started says that a part of the body was read, so that it can't be sent
	// again.
	started atomic.Bool
}

// Read implements io.Reader. It yields nothing once the key is withdrawn, and no
// faster than the link takes.
func (s *stream) Read(buffer []byte) (n int, err error) {
	s.started.Store(true)
	n, err = s.from.Read(buffer)
	if n == 0 {
		return 0, err
	}
	if _, err := s.call.checkKey(); err != nil {
		return 0, err
	}
	if s.link != "" && s.call.router.Links != nil {
		if err := s.call.router.Links.Wait(s.ctx, s.link, int64(n)); err != nil {
			return 0, err
		}
	}
	return n, err
}

// Close implements io.Closer: a Read under way ends.
func (s *stream) Close() error { return s.received.Close() }
