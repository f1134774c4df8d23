package caller

import (
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// UndeliveredCause is how a Server noticed that an answer was not delivered.
type UndeliveredCause string

// The causes.
const (
	// UndeliveredWriteFailed: writing the rest of the answer failed after the handler had
	// returned, so that the handler could not see it.
	UndeliveredWriteFailed UndeliveredCause = "write_failed"
	// UndeliveredReset: the caller reset the connection after its last answer was written,
	// instead of closing it.
	UndeliveredReset UndeliveredCause = "reset"
	// UndeliveredUnconfirmed: the caller has not closed the connection after its last answer
	// in time, so that it may or may not have read the answer.
	UndeliveredUnconfirmed UndeliveredCause = "unconfirmed"
)

// Undelivered describes an answer that the handler has written and that was not delivered, as
// far as the Server can tell. One that was begun when the caller had left, or that the handler
// has broken off, is not reported: the handler knows.
type Undelivered struct {
	Cause UndeliveredCause
	// Remote is the caller's address.
	Remote string
	// RequestID is the request's id as in Connection.
	RequestID string
	Err       error
}

// Count counts u in the metric "answers_undelivered".
func (u Undelivered) Count(scope tally.Scope) {
	scope.Tagged(map[string]string{"cause": string(u.Cause)}).Counter("answers_undelivered").Inc(1)
}

// LogTo logs u.
func (u Undelivered) LogTo(log logrus.FieldLogger) {
	fields := logrus.Fields{"request_id": u.RequestID, "remote": u.Remote, "cause": u.Cause}
	log.WithError(u.Err).WithFields(fields).Warn("an answer was not delivered")
}

// reportUndelivered reports that the answer to the request of s was not delivered, at most once
// for a request. conn.mu must not be held.
func (s *stream) reportUndelivered(cause UndeliveredCause, err error) {
	s.conn.mu.Lock()
	isReported, id := s.isUndelivered, s.requestID
	s.isUndelivered = true
	s.conn.mu.Unlock()
	if report := s.conn.server.OnUndelivered; report != nil && !isReported {
		report(Undelivered{Cause: cause, Remote: s.RemoteAddr().String(), RequestID: id, Err: err})
	}
}
