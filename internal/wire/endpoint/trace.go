package endpoint

import (
	"hash/maphash"
	"slices"
)

// Trace describes how a request was sent, for logs and metrics.
type Trace struct {
	// ConnRequests is the number of requests that the connection has carried, this one
	// included; 0 if no connection was opened.
	ConnRequests int
	// IsIDRepeated reports that the connection had carried the request's id before.
	IsIDRepeated bool
	// DiscardedAnswers is the number of answers that were discarded because they bear the
	// id of another request.
	DiscardedAnswers int
}

// maxCarriedIDs bounds the ids that a connection remembers: with 8 bytes each, as much memory
// as its read buffer.
const maxCarriedIDs = 512

// carriedIDs holds digests of the latest ids that a connection has carried.
type carriedIDs struct{ digests []uint64 }

var idSeed = maphash.MakeSeed()

// has reports whether the connection has carried the id.
func (c *carriedIDs) has(id string) bool {
	return slices.Contains(c.digests, maphash.String(idSeed, id))
}

// add records an id. It forgets the oldest one if there are too many.
func (c *carriedIDs) add(id string) {
	if len(c.digests) == maxCarriedIDs {
		c.digests = slices.Delete(c.digests, 0, 1)
	}
	c.digests = append(c.digests, maphash.String(idSeed, id))
}
