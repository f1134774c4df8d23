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
	// maxOrderBody limits the body of an order in bytes. It is read into memory
	// before the order is claimed, as the claim holds its digest.
	maxOrderBody = 1 << 20
	// maxBufferedBody is the declared size in bytes up to which the body of a
	// catalogue request is read into memory, so that the request can be retried.
	maxBufferedBody    = 64 << 10
	initialBufferBytes = 4 << 10
)

// body is a request's body: empty, in memory, or streamed. length is -1 if it is not
// known.
type body struct {
	buffered []byte
	stream   *stream
	length   int64
}

// newReader returns a reader for one attempt, or nil if there is no body.
func (b *body) newReader() io.ReadCloser {
	switch {
	case b.stream != nil:
		return b.stream
	case len(b.buffered) > 0:
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	return nil
}

// isConsumed reports whether a part of a streamed body was read, after which the
// request cannot be retried.
func (b *body) isConsumed() bool { return b.stream != nil && b.stream.started.Load() }

// readBody reads the body of an order, or a small body of a catalogue request, into
// memory, and prepares a stream for any other.
func (c *call) readBody(ctx context.Context) error {
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
	deadline, _ := ctx.Deadline()
	limited := caller.NewBody(c.w, c.request, limit, deadline)
	if c.route.Work == document.WorkOrder || c.route.Work == document.WorkCatalogue && c.body.length > 0 && c.body.length <= maxBufferedBody {
		return c.bufferBody(limited)
	}
	c.body.stream = &stream{call: c, ctx: ctx, received: limited, source: limited}
	if c.head.Key != "" {
		c.body.stream.source = &key.LeakGuard{Body: limited, Secret: c.head.Key, Err: errKeyInBody}
	}
	return nil
}

var errKeyInBody error = reason.NotRun(reason.KeyMisplaced, 0, "the key stands in the body")

func (c *call) bufferBody(limited *caller.Body) error {
	if err := limited.Buffer(c.body.length); err != nil {
		return err
	}
	buffer := bytes.NewBuffer(make([]byte, 0, initialBufferBytes))
	if c.body.length > 0 {
		buffer = bytes.NewBuffer(make([]byte, 0, min(c.body.length+bytes.MinRead, maxBufferedBody+bytes.MinRead)))
	}
	if _, err := buffer.ReadFrom(limited); err != nil {
		return err
	}
	c.body.buffered = buffer.Bytes()
	c.body.length = int64(buffer.Len())
	if c.head.Key != "" && bytes.Contains(c.body.buffered, []byte(c.head.Key)) {
		return errKeyInBody
	}
	return nil
}

// stream is a body that is forwarded while it is received.
type stream struct {
	call     *call
	ctx      context.Context
	received *caller.Body
	// source yields the received body. It returns errKeyInBody if the body holds the
	// caller's key.
	source io.Reader
	// link is the link between regions that limits the stream's rate, or empty if the
	// endpoint is in this VM's region.
	link contract.Resource
	// started reports whether a part of the body was read.
	started atomic.Bool
}

// Read implements io.Reader. It fails once the key is withdrawn, and waits for the
// link's allowance.
func (s *stream) Read(buffer []byte) (n int, err error) {
	s.started.Store(true)
	n, err = s.source.Read(buffer)
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

// Close implements io.Closer. It ends a running Read.
func (s *stream) Close() error { return s.received.Close() }
