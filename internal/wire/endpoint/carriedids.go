package endpoint

import (
	"hash/maphash"
	"slices"
)

// maxCarriedIDs bounds the ids that a connection carries, and so what it remembers of
// them: 8 bytes each, together as much memory as its read buffer.
const maxCarriedIDs = readBufferBytes / 8

// carriedIDs holds the ids that a connection has carried, as digests. Two ids with one
// digest only cost a connection.
type carriedIDs struct{ digests []uint64 }

var idSeed = maphash.MakeSeed()

// has reports whether the connection has carried the id.
func (c *carriedIDs) has(id string) bool {
	return slices.Contains(c.digests, maphash.String(idSeed, id))
}

// add records an id.
func (c *carriedIDs) add(id string) { c.digests = append(c.digests, maphash.String(idSeed, id)) }

// count returns the number of ids that the connection has carried.
func (c *carriedIDs) count() int { return len(c.digests) }

// isFull reports whether the connection must not carry another id.
func (c *carriedIDs) isFull() bool { return len(c.digests) >= maxCarriedIDs }
