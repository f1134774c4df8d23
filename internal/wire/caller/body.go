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
	// bodyGrace is how long a body may keep the reader waiting in all before its
	// rate counts.
	bodyGrace = 10 * clock.Second
	// bodyRate is the slowest body taken, in bytes per second of waiting. Time in
	// which the system itself does not read, such as when it paces an upload over
	// a link, does not count.
	bodyRate = 4 << 10
)

// pastDeadline makes a read under way end at once.
var pastDeadline = time.Unix(1, 0)

// Body reads a caller's body within bounds of size and slowness. Its errors are
// *reason.Refusal values that say RanNo: it does not know what was sent on.
type Body struct {
	body    io.ReadCloser
	w       http.ResponseWriter
	control *http.ResponseController
	limit   int64
	grace   clock.Millis
	// until is the request's deadline.
	until time.Time
	// received counts bytes, waited the microseconds spent in reading.
	received int64
	waited   int64
	err      error

	mu sync.Mutex
	// ended says that the body was read to its end. Guarded by mu.
	ended bool
}

// NewBody returns the body of the request that is answered on w, of at most
// limit bytes, to be read until the given time.
func NewBody(w http.ResponseWriter, request *http.Request, limit int64, until time.Time) *Body {
	grace := bodyGrace
	if c := connOf(request); c != nil && c.server.BodyGrace > 0 {
		grace = c.server.BodyGrace
	}
	return &Body{body: request.Body, w: w, control: http.NewResponseController(w), limit: limit, grace: grace, until: until}
}

// Received returns how many bytes were read.
func (b *Body) Received() int64 { return b.received }

// Read implements io.Reader.
func (b *Body) Read(buffer []byte) (n int, err error) {
	if b.err != nil {
		return 0, b.err
	}
	start := clock.Clock{}.Micros()
	bound := time.Now().Add(b.allowance())
	late := b.until.Before(bound)
	if late {
		bound = b.until
	}
	_ = b.control.SetReadDeadline(bound)
	n, err = b.body.Read(buffer)
	b.waited += clock.Clock{}.Micros() - start
	b.received += int64(n)
	switch {
	case b.received > b.limit:
		b.err = TooLarge(b.limit)
		return 0, b.err
	case err == io.EOF:
		b.end()
		b.err = io.EOF
	case errors.Is(err, os.ErrDeadlineExceeded) && late:
		b.err = reason.NotRun(reason.DeadlinePassed, 0, "the deadline passed before the body had come")
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.err = reason.NotRun(reason.BodyTooSlow, 0, "the body came more slowly than %d bytes a second", bodyRate)
	case err != nil:
		b.err = reason.NotRun(reason.BodyShort, 0, "the body ended before its declared length")
	}
	return n, b.err
}

// allowance is how long the body may still keep the reader waiting.
func (b *Body) allowance() time.Duration {
	earned := b.received * int64(time.Second/time.Microsecond) / bodyRate
	left := int64(b.grace)*1000 + earned - b.waited
	return time.Duration(max(left, 0)) * time.Microsecond
}

// end lifts the deadline: net/http now watches the connection, to which an old
// deadline would look like the caller's going away.
func (b *Body) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	_ = b.control.SetReadDeadline(time.Time{})
}

// Close makes a Read under way end, in which case the connection takes no further
// request. It must be called before the answer's head is written.
func (b *Body) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return nil
	}
	b.w.Header().Set("Connection", "close")
	return b.control.SetReadDeadline(pastDeadline)
}

// TooLarge refuses a body over limit.
func TooLarge(limit int64) *reason.Refusal {
	return reason.NotRun(reason.BodyTooLarge, 0, "the body is larger than %d bytes", limit)
}
