package key

import (
	"bytes"
	"crypto/subtle"
	"io"
	"strings"
)

// partLength is how many characters after Prefix count as a key. A part of a
// key this long must not leak either, and no ordinary text has it by chance.
const partLength = 16

// decodeRounds is how often a text may be percent-encoded before only its fully
// decoded form is looked at.
const decodeRounds = 3

// Equal compares two digests in constant time.
func Equal(a, b Digest) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

// IsWellFormed reports whether a text has the form of a whole key.
func IsWellFormed(text string) bool {
	return len(text) == TextLength && strings.HasPrefix(text, Prefix) && countSymbols(text[len(Prefix):]) == TextLength-len(Prefix)
}

// Contains reports whether a text holds what looks like a key, or secret if that
// isn't empty: as it stands or percent-encoded any number of times. Case does
// not count, since header names lose theirs on the way.
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
	if len(text) < partLength {
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
		if countSymbols(text) >= partLength {
			return true
		}
	}
}

// indexPrefix returns the place of Prefix in any case, or -1.
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

// countSymbols counts the base64url characters that text starts with.
func countSymbols(text string) int {
	for i := range len(text) {
		c := text[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && c != '-' && c != '_' {
			return i
		}
	}
	return len(text)
}

// decodeOnce decodes each percent escape once, leaving malformed ones.
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

// decodeFully decodes percent escapes until none is left. It takes linear time:
// an escape that arises from decoding ends at the last decoded byte.
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

// LeakGuard reads a body and ends with Err before the first byte of Secret, the text
// of the request's own key, would be passed on.
type LeakGuard struct {
	Body io.Reader
	// Secret must not be empty.
	Secret string
	// Err is returned when the body holds Secret.
	Err error

	// pending holds bytes that were read and not yet passed on.
	pending []byte
	// err is what the body ended with, or nil.
	err error
}

// Read implements io.Reader. It holds back the last bytes that may be the start
// of the secret.
func (g *LeakGuard) Read(buffer []byte) (n int, err error) {
	for {
		if safe := g.safe(); safe > 0 {
			n = copy(buffer, g.pending[:safe])
			g.pending = g.pending[:copy(g.pending, g.pending[n:])]
			return n, nil
		}
		if g.err != nil {
			return 0, g.err
		}
		g.fill(len(buffer))
	}
}

// safe returns how many pending bytes may be passed on.
func (g *LeakGuard) safe() int {
	if g.err == io.EOF || g.err == g.Err {
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
	g.err = err
	if at := bytes.Index(g.pending, []byte(g.Secret)); at >= 0 {
		g.pending, g.err = g.pending[:at], g.Err
	}
}
