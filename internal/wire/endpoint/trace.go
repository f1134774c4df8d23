package endpoint

// Trace describes how a request was sent, for logs and metrics.
type Trace struct {
	// ConnRequests is the number of requests that the connection has carried, this one
	// included; 0 if no connection was opened.
	ConnRequests int
	// IsIDRepeated reports that a kept connection to the endpoint had carried the request's
	// id before, and so was not used.
	IsIDRepeated bool
	// DiscardedAnswers is the number of answers that were discarded because they bear the
	// id of another request.
	DiscardedAnswers int
}
