package gateway

import (
	"bytes"
	"context"
	"io"

	"baobabladder.example/baobabladder/internal/wire/caller"
)

const (
	// maxBufferedBody is the size in bytes up to which a request body is read into
	// memory before the request is sent, so that the request can be retried.
	maxBufferedBody = 1 << 20
	// identityPrefix is the part of a larger body by which a request is recognized if it
	// comes again, in bytes.
	identityPrefix = 16 << 10
)

// readBody reads a body of up to maxBufferedBody bytes into memory, and prepares a
// stream for a larger one.
func (c *call) readBody(ctx context.Context) error {
	c.bodyLength = c.request.ContentLength
	if c.bodyLength == 0 {
		return nil
	}
	limit := c.table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = maxBufferedBody
	}
	if c.bodyLength > limit {
		return caller.TooLarge(limit)
	}
	deadline, _ := ctx.Deadline()
	limited := caller.NewBody(c.w, c.request, limit, deadline)
	if c.bodyLength > maxBufferedBody {
		return c.streamBody(ctx, limited)
	}
	defer closeWhenInterrupted(ctx, limited)()
	if err := limited.Buffer(c.bodyLength); err != nil {
		return err
	}
	buffer := &bytes.Buffer{}
	if c.bodyLength > 0 {
		buffer.Grow(int(c.bodyLength) + bytes.MinRead)
	}
	_, err := io.Copy(buffer, io.LimitReader(limited, maxBufferedBody))
	if err != nil {
		return err
	}
	c.bufferedBody = buffer.Bytes()
	if c.bodyLength < 0 && len(c.bufferedBody) == maxBufferedBody {
		c.streamedBody = &bodyStream{Body: limited, prefix: c.bufferedBody}
		return nil
	}
	c.bodyLength = int64(len(c.bufferedBody))
	return nil
}

// closeWhenInterrupted closes the body, which ends a pending read, when the end of the VM
// interrupts the request. stop ends that and waits for a Close in progress.
func closeWhenInterrupted(ctx context.Context, body io.Closer) (stop func()) {
	isDone := make(chan struct{})
	stopWatch := context.AfterFunc(ctx, func() {
		defer close(isDone)
		if isInterrupted(ctx) {
			_ = body.Close()
		}
	})
	return func() {
		if !stopWatch() {
			<-isDone
		}
	}
}

// streamBody prepares a stream for a large body. It reads the body's beginning, by which the
// request is recognized if it comes again.
func (c *call) streamBody(ctx context.Context, body *caller.Body) error {
	defer closeWhenInterrupted(ctx, body)()
	prefix := make([]byte, identityPrefix)
	if _, err := io.ReadFull(body, prefix); err != nil {
		return err
	}
	c.streamedBody = &bodyStream{Body: body, prefix: prefix}
	return nil
}

// bodyStream is a body that is forwarded while it is received. It yields prefix,
// which was read before, and then the rest.
type bodyStream struct {
	*caller.Body
	prefix  []byte
	started bool
}

// Read implements io.Reader.
func (s *bodyStream) Read(buffer []byte) (int, error) {
	s.started = true
	if len(s.prefix) > 0 {
		n := copy(buffer, s.prefix)
		s.prefix = s.prefix[n:]
		return n, nil
	}
	return s.Body.Read(buffer)
}

// newBodyReader returns a reader of the body for one attempt, or nil if there is no
// body.
func (c *call) newBodyReader() io.ReadCloser {
	switch {
	case c.streamedBody != nil:
		return c.streamedBody
	case len(c.bufferedBody) > 0:
		return io.NopCloser(bytes.NewReader(c.bufferedBody))
	}
	return nil
}

// isBodyConsumed reports whether a part of a streamed body was read, after which the
// request cannot be retried.
func (c *call) isBodyConsumed() bool { return c.streamedBody != nil && c.streamedBody.started }
