// Package hashing maps texts to 64 bits alike on all VMs, so that they agree on a
// choice without a word.
package hashing

import "hash/fnv"

// Strings hashes the parts of a text.
func Strings(parts ...string) uint64 {
	h := fnv.New64a()
	for i, part := range parts {
		if i > 0 {
			_, _ = h.Write([]byte{0})
		}
		_, _ = h.Write([]byte(part))
	}
	return Mix(h.Sum64())
}

// Mix spreads the bits of a hash, so that the exclusive or of many does not
// cancel regular differences.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
