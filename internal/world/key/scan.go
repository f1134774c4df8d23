package key

import (
	"bytes"
	"crypto/subtle"
	"io"
	"strings"
)

// minFragmentLength is the number of characters after Prefix that count as a
// key. A fragment of this length must not leak either, and ordinary text does
// not contain one by accident.
const minFragmentLength = 16

// decodeRounds is the number of successive percent-decodings that Contains
// checks one by one. Beyond that it checks only the fully decoded text.
const decodeRounds = 3

// Equal reports whether two digests are equal, in constant time.
func Equal(a, b Digest) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

// IsWellFormed reports whether text has the format of a complete key.
func IsWellFormed(text string) bool {
	return len(text) == TextLength && strings.HasPrefix(text, Prefix) && countBase64Chars(text[len(Prefix):]) == TextLength-len(Prefix)
}

// Contains reports whether text contains something that looks like a key, or
// contains secret if that is not empty, either directly or percent-encoded any
// number of times. It ignores case, because header names may change case in
// transit.
func Contains(text, secret string) bool {
	if containsPlain(text, secret) {
		return true
	}
	if strings.IndexByte(text, '%') < 0 {
		return false
	}
	decoded := text
	for range decodeRounds {
		decoded = decodeOnce(decoded)
		if containsPlain(decoded, secret) {
			return true
		}
	}
	return containsPlain(decodeFully(text), secret)
}

func containsPlain(text, secret string) bool {
	if len(text) < minFragmentLength {
		return false
	}
	if secret != "" && containsFold(text, strings.TrimPrefix(secret, Prefix)) {
		return true
	}
	for {
		at := indexPrefix(text)
		if at < 0 {
			return false
		}
		text = text[at+len(Prefix):]
		if countBase64Chars(text) >= minFragmentLength {
			return true
		}
	}
}

// indexPrefix returns the index of Prefix in text, ignoring case, or -1.
func indexPrefix(text string) int {
	for at := 0; at+len(Prefix) <= len(text); at++ {
		next := strings.IndexByte(text[at:], '_')
		if next < 0 {
			return -1
		}
		at += next
		if start := at + 1 - len(Prefix); start >= 0 && strings.EqualFold(text[start:at+1], Prefix) {
			return start
		}
	}
	return -1
}

func containsFold(text, part string) bool {
	for len(text) >= len(part) {
		if strings.EqualFold(text[:len(part)], part) {
			return true
		}
		text = text[1:]
	}
	return false
}

// countBase64Chars returns the number of base64url characters at the start of
// text.
func countBase64Chars(text string) int {
	for i := range len(text) {
		c := text[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && c != '-' && c != '_' {
			return i
		}
	}
	return len(text)
}

// decodeOnce decodes each percent escape once and leaves malformed escapes as
// they are.
func decodeOnce(text string) string {
	decoded := make([]byte, 0, len(text))
	for i := 0; i < len(text); i++ {
		if i+2 < len(text) && text[i] == '%' && isHex(text[i+1]) && isHex(text[i+2]) {
			decoded = append(decoded, unhex(text[i+1])<<4|unhex(text[i+2]))
			i += 2
			continue
		}
		decoded = append(decoded, text[i])
	}
	return string(decoded)
}

// decodeFully decodes percent escapes until none is left. It takes linear time,
// because an escape that results from decoding always ends at the last decoded
// byte.
func decodeFully(text string) string {
	decoded := make([]byte, 0, len(text))
	for i := range len(text) {
		decoded = append(decoded, text[i])
		for n := len(decoded); n >= 3 && decoded[n-3] == '%' && isHex(decoded[n-2]) && isHex(decoded[n-1]); n = len(decoded) {
			decoded = append(decoded[:n-3], unhex(decoded[n-2])<<4|unhex(decoded[n-1]))
		}
	}
	return string(decoded)
}

func isHex(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

func unhex(c byte) byte {
	switch {
	case c <= '9':
		return c - '0'
	case c <= 'F':
		return c - 'A' + 10
	default:
		return c - 'a' + 10
	}
}

// LeakGuard is a reader of a request body that stops the request's own API key
// from being forwarded. It returns Err before passing on the first byte of
// Secret.
type LeakGuard struct {
	Body io.Reader
	// Secret is the text of the key. It must not be empty.
	Secret string
	// Err is the error returned if the body contains Secret.
	Err error

	// pending holds the bytes that were read but not yet passed on.
	pending []byte
	// readErr is the error at which reading Body ended, or nil.
	readErr error
}

// Read implements io.Reader. It holds back trailing bytes that may be the start
// of the secret.
func (g *LeakGuard) Read(buffer []byte) (n int, err error) {
	for {
		if safe := g.safeLength(); safe > 0 {
			n = copy(buffer, g.pending[:safe])
			g.pending = g.pending[:copy(g.pending, g.pending[n:])]
			return n, nil
		}
		if g.readErr != nil {
			return 0, g.readErr
		}
		g.fill(len(buffer))
	}
}

// safeLength returns the number of pending bytes that may be passed on.
func (g *LeakGuard) safeLength() int {
	if g.readErr == io.EOF || g.readErr == g.Err {
		return len(g.pending)
	}
	for held := min(len(g.Secret)-1, len(g.pending)); held > 0; held-- {
		if bytes.HasSuffix(g.pending, []byte(g.Secret[:held])) {
			return len(g.pending) - held
		}
	}
	return len(g.pending)
}

func (g *LeakGuard) fill(size int) {
	held := len(g.pending)
	if cap(g.pending) < held+size {
		g.pending = append(make([]byte, 0, held+size+len(g.Secret)), g.pending...)
	}
	n, err := g.Body.Read(g.pending[held : held+size])
	g.pending = g.pending[:held+n]
	g.readErr = err
	if at := bytes.Index(g.pending, []byte(g.Secret)); at >= 0 {
		g.pending, g.readErr = g.pending[:at], g.Err
	}
}
