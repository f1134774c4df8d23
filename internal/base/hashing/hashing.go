// Package hashing provides 64-bit hashes of strings that are the same on all
// VMs, so that VMs can make the same choice without communicating.
package hashing

import "hash/fnv"

// Strings returns the hash of a sequence of strings.
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

// Mix scrambles the bits of a hash, so that regular differences between hashes
// do not cancel out when many hashes are combined by exclusive or.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
