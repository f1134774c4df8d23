package caller

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/reason"
)

const (
	// defaultBodyGrace is the total time that reads of a body may block before
	// minBodyRate applies.
	defaultBodyGrace = 10 * clock.Second
	// minBodyRate is the minimum rate of a body in bytes per second of blocked
	// reads. Time in which this VM does not read, for example because it limits the
	// rate of an upload over a link, does not count.
	minBodyRate = 4 << 10
)

// pastDeadline is set as a deadline to interrupt a pending read.
var pastDeadline = time.Unix(1, 0)

// Body reads a caller's request body and enforces a maximum size, a minimum rate and
// a deadline. Except for io.EOF, its errors are *reason.Refusal values with RanNo,
// although a part of the body may have been forwarded: Body cannot know that.
type Body struct {
	body io.ReadCloser
	// stream is nil if the request came from no Server.
	stream  *stream
	w       http.ResponseWriter
	control *http.ResponseController
	limit   int64
	grace   clock.Millis
	// deadline is the deadline of the request.
	deadline time.Time
	// received counts the bytes read, waitedMicros the microseconds spent in reads.
	received     int64
	waitedMicros int64
	err          error
	// isBuffered is set if the body is read into memory, and claimed to the bytes that were
	// claimed for it.
	isBuffered bool
	claimed    int64

	mu sync.Mutex
	// isComplete is set when the body was read to its end, isClosed by Close. Guarded by mu.
	isComplete, isClosed bool
}

// NewBody returns a reader for the body of request, whose response is written to w.
// The body may have at most limit bytes and must be complete by deadline.
func NewBody(w http.ResponseWriter, request *http.Request, limit int64, deadline time.Time) *Body {
	grace := defaultBodyGrace
	s := streamOf(request)
	if s != nil && s.conn.server.BodyGrace > 0 {
		grace = s.conn.server.BodyGrace
	}
	return &Body{body: request.Body, stream: s, w: w, control: http.NewResponseController(w), limit: limit, grace: grace, deadline: deadline}
}

// Buffer claims the memory of a body that is read into memory: of its declared length, which is
// negative if it is not known, and of what is received beyond that. The error is a
// *reason.Refusal of a request that has not run.
func (b *Body) Buffer(declared int64) error {
	if b.stream == nil {
		return nil
	}
	b.isBuffered, b.claimed = true, max(declared, 0)
	return b.stream.claimBody(b.claimed)
}

// claimReceived claims the memory of what was received beyond what was claimed. The buffer of a
// body of unknown length doubles each time that it is full.
func (b *Body) claimReceived() error {
	if !b.isBuffered || b.received <= b.claimed {
		return nil
	}
	b.claimed = 2 * b.received
	return b.stream.claimBody(b.claimed)
}

// Received returns the number of bytes read so far.
func (b *Body) Received() int64 { return b.received }

// Read implements io.Reader.
func (b *Body) Read(buffer []byte) (n int, err error) {
	if b.err != nil {
		return 0, b.err
	}
	start := clock.Clock{}.Micros()
	readDeadline := time.Now().Add(b.remainingWait())
	isCallerDeadline := b.deadline.Before(readDeadline)
	if isCallerDeadline {
		readDeadline = b.deadline
	}
	b.setReadDeadline(readDeadline)
	n, err = b.body.Read(buffer)
	b.waitedMicros += clock.Clock{}.Micros() - start
	b.received += int64(n)
	switch {
	case b.received > b.limit:
		b.err = TooLarge(b.limit)
		return 0, b.err
	case b.claimReceived() != nil:
		b.err = newNoMemoryRefusal()
		return 0, b.err
	case err == io.EOF:
		b.markComplete()
		b.err = io.EOF
	case errors.Is(err, os.ErrDeadlineExceeded) && isCallerDeadline:
		b.err = reason.NotRun(reason.DeadlinePassed, 0, "the deadline passed before the body had come")
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.err = reason.NotRun(reason.BodyTooSlow, 0, "the body came more slowly than %d bytes a second", minBodyRate)
	case err != nil:
		b.err = reason.NotRun(reason.BodyShort, 0, "the body ended before its declared length")
	}
	return n, b.err
}

// setReadDeadline sets the deadline of the next read, unless the body is closed.
func (b *Body) setReadDeadline(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isClosed {
		_ = b.control.SetReadDeadline(at)
	}
}

// remainingWait returns how much longer reads of the body may block in total.
func (b *Body) remainingWait() time.Duration {
	earnedMicros := b.received * int64(time.Second/time.Microsecond) / minBodyRate
	remainingMicros := int64(b.grace)*1000 + earnedMicros - b.waitedMicros
	return time.Duration(max(remainingMicros, 0)) * time.Microsecond
}

// markComplete removes the read deadline. After the end of the body net/http reads
// the connection in the background and would take an expired deadline for a
// disconnected caller.
func (b *Body) markComplete() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isComplete = true
	if b.stream != nil {
		b.stream.endBody()
	}
	_ = b.control.SetReadDeadline(time.Time{})
}

// Close interrupts a pending Read, and later ones don't wait. Unless the body was read to its end, the
// connection is closed after the response. Close must be called before the head of
// the response is written.
func (b *Body) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isComplete {
		return nil
	}
	b.isClosed = true
	b.w.Header().Set("Connection", "close")
	return b.control.SetReadDeadline(pastDeadline)
}

// TooLarge returns the refusal of a body larger than limit bytes.
func TooLarge(limit int64) *reason.Refusal {
	return reason.NotRun(reason.BodyTooLarge, 0, "the body is larger than %d bytes", limit)
}
