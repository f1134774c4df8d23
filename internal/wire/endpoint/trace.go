package endpoint

import "baobabladder.example/baobabladder/internal/base/clock"

// Defect is why an answer can't be relied on although a lenient reader takes it for one, as a
// label of a metric.
type Defect string

// Values of Defect.
const (
	// EndUnknown is an answer that ends with its connection, on which a write of the request
	// failed: its end may be a reset.
	EndUnknown Defect = "end_unknown"
	// InvalidStatus is an answer, interim ones included, with a status below 100 or above 599.
	InvalidStatus Defect = "invalid_status"
	// MalformedAnswer is an answer with a line in a head or in its trailer that is not in the
	// form of HTTP/1.1.
	MalformedAnswer Defect = "malformed_answer"
)

// Trace describes how a request was sent, for logs and metrics.
type Trace struct {
	// ConnRequests is the number of requests that the connection has carried, this one
	// included; 0 if no connection was opened.
	ConnRequests int
	// IsIDRepeated reports that a kept connection to the endpoint had carried the request's
	// id before, and so was not used.
	IsIDRepeated bool
	// Defect is why the answer can't be relied on, or empty. That of a trailer is filled in
	// when the body of the response is read to its end.
	Defect Defect
	// DiscardedAnswers is the number of answers that were discarded because they bear the
	// id of another request.
	DiscardedAnswers int
	// SentAt is when the last byte of the request was written, by the client's clock; 0 if
	// the endpoint answered before that, or did not answer.
	SentAt clock.Millis
}
