package blocklist

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest identifies a request that comes again: the first half of a SHA-256 hash of what
// the endpoint is asked to do and of who asks. It does not reveal the request.
type Digest [16]byte

// String returns the digest's first bytes, which tell requests apart in a log.
func (d Digest) String() string { return hex.EncodeToString(d[:6]) }

// Request is what a Digest is made of. Ids, cookies and other headers are left out, as
// they differ each time that a caller repeats a request.
type Request struct {
	Method, Host string
	// Target is the escaped path and query.
	Target string
	// Workspace is the caller's, empty on public routes.
	Workspace string
	// Body is the whole body, or the part of it that was read before it is forwarded.
	Body []byte
	// Length is the length of the whole body in bytes, or -1 if it is unknown.
	Length int64
}

// Digest returns the request's digest.
func (r *Request) Digest() (digest Digest) {
	hash := sha256.New()
	var length [8]byte
	write := func(part []byte) {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(part)
	}
	for _, part := range []string{r.Method, r.Host, r.Target, r.Workspace} {
		write([]byte(part))
	}
	write(r.Body)
	binary.LittleEndian.PutUint64(length[:], uint64(r.Length))
	_, _ = hash.Write(length[:])
	copy(digest[:], hash.Sum(nil))
	return digest
}
