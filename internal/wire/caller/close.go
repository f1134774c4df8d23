package caller

import (
	"errors"
	"io"
	"os"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/reason"
)

const (
	// defaultCloseTimeout bounds the wait for a caller to read an answer and to close.
	defaultCloseTimeout = 5 * clock.Second
	// refusalCloseTimeout bounds the same wait after a refusal on a connection without a
	// request, which fits in one packet.
	refusalCloseTimeout = 1 * clock.Second
	// rawWriteTimeout bounds writing a refusal without net/http.
	rawWriteTimeout = 1 * clock.Second
	// maxDiscardedBytes bounds what is read of a caller that goes on sending. It is what
	// comes at 160 Mbit/s in a round trip of 200 ms, after which the caller can know that
	// the connection has ended.
	maxDiscardedBytes = 4 << 20
	// discardBufferBytes is the size of one read of it.
	discardBufferBytes = 1 << 10
)

// errSendsOn is the error for a caller that has sent more than maxDiscardedBytes.
var errSendsOn = errors.New("the caller went on sending after the connection had ended")

// beginClose records that this server ends the connection. mu must be held.
func (c *conn) beginClose() {
	if c.closingSince == 0 {
		c.closingSince = clock.Clock{}.Now()
	}
}

// closeInOrder ends the connection so that the caller gets all that was written to it, and
// returns once it is closed. If a connection is closed while bytes of the caller are unread, or
// if bytes come after the close, the kernel sends a reset, which destroys what was not
// delivered. So closeInOrder closes the write side and discards what the caller sends until
// the caller has closed its side too, within bounds.
//
// It may be called more than once. No other goroutine may read or write the connection.
func (c *conn) closeInOrder() {
	c.closeOnce.Do(func() {
		defer c.Close()
		c.mu.Lock()
		c.beginClose()
		refusal, last, hasLeft, err := c.idleRefusal, c.last, c.hasLeft, c.leftErr
		hasRequest, isEndUnmarked := last.hasRequest, last.isEndUnmarked
		c.mu.Unlock()
		if refusal != nil {
			c.closeWithRefusal(refusal)
			return
		}
		if !hasRequest || isEndUnmarked {
			return
		}
		if !hasLeft {
			_, err = c.awaitCallerClose(orDefault(c.server.CloseTimeout, defaultCloseTimeout))
		}
		last.reportIfUndelivered(err)
	})
}

// setLinger sets SO_LINGER: 0 makes a close a reset, and -1 is the default.
func (c *conn) setLinger(seconds int) {
	if lingerer, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingerer.SetLinger(seconds)
	}
}

// reportIfUndelivered reports the answer to the last request of a connection if the caller may
// not have got it: err is how the last read of the connection ended.
func (s *stream) reportIfUndelivered(err error) {
	s.conn.mu.Lock()
	isAnswered := s.isAnswered
	s.conn.mu.Unlock()
	switch {
	case err == nil || err == io.EOF || !isAnswered:
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errSendsOn):
		s.reportUndelivered(UndeliveredUnconfirmed, err)
	default:
		s.reportUndelivered(UndeliveredReset, err)
	}
}

// closeWithRefusal writes the refusal of a connection on which no request was read, and waits
// for the caller. A request that the caller sends at the same time is not run.
func (c *conn) closeWithRefusal(refusal *reason.Refusal) {
	_ = c.SetWriteDeadline(time.Now().Add(rawWriteTimeout.Duration()))
	if _, err := c.Conn.Write(rawRefusal(refusal)); err != nil {
		return
	}
	discarded, _ := c.awaitCallerClose(refusalCloseTimeout.Duration())
	if refusal.Reason == reason.Stopping && (discarded > 0 || c.hasRefusedRequest) {
		c.server.Refusals.Record(refusal, nil)
	}
}

// awaitCallerClose closes the write side and discards what the caller sends until it closes its
// side, for up to timeout and maxDiscardedBytes.
func (c *conn) awaitCallerClose(timeout time.Duration) (discarded int, err error) {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return 0, nil
	}
	if err := half.CloseWrite(); err != nil {
		return 0, err
	}
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	buffer := make([]byte, discardBufferBytes)
	for discarded < maxDiscardedBytes {
		n, err := c.Conn.Read(buffer)
		discarded += n
		if err == io.EOF {
			return discarded, nil
		}
		if err != nil {
			return discarded, err
		}
	}
	return discarded, errSendsOn
}
