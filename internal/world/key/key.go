// Package key defines the API keys that identify a caller's workspace. The text
// of a key exists only in the operator's hands and in callers' requests: the
// system keeps a digest and never logs, stores or forwards the text.
package key

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
)

// Prefix is the prefix of every key's text, so that a key can be recognised
// wherever it appears.
const Prefix = "bbk_"

// Sizes of a key, in bytes.
const (
	secretBytes = 32
	idBytes     = 8
	// TextLength is the length of a key's text: the prefix and 32 bytes in
	// unpadded base64url.
	TextLength = len(Prefix) + 43
)

// ObjectPrefix is the prefix of the store keys of Key objects.
const ObjectPrefix = "keys/"

// Digest is the SHA-256 digest of a key's text, in hexadecimal.
type Digest string

// Key is the stored record of a key. It is the value of the store object
// ObjectPrefix + ID.
type Key struct {
	// ID identifies the key to operators and reveals nothing about its text.
	ID        string `json:"id"`
	Digest    Digest `json:"digest"`
	Workspace string `json:"workspace"`
	// Withdrawn reports whether the key has been revoked. It never changes back
	// to false.
	Withdrawn bool `json:"withdrawn"`
	// IssuedBy and IssuedAt record who requested the key and when; WithdrawnBy
	// and WithdrawnAt record the same for its withdrawal. Times are wall times in
	// Unix milliseconds. WithdrawnBy is empty if the VM that received the
	// withdrawal ended before storing it, and another VM stored it instead.
	IssuedBy    string       `json:"issued_by,omitempty"`
	IssuedAt    clock.Millis `json:"issued_at,omitempty"`
	WithdrawnBy string       `json:"withdrawn_by,omitempty"`
	WithdrawnAt clock.Millis `json:"withdrawn_at,omitempty"`
	// WriteID is the unique id of the last write, by which a writer recognises
	// its own change; see store.ErrOutcomeUnknown.
	WriteID string `json:"write_id"`
}

// Issue creates a key for a workspace. The text cannot be recovered later.
func Issue(workspace string) (key Key, text string, err error) {
	defer fault.Annotate(&err, "issuing a key for workspace %s", workspace)
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return Key{}, "", err
	}
	id := make([]byte, idBytes)
	if _, err := rand.Read(id); err != nil {
		return Key{}, "", err
	}
	text = Prefix + base64.RawURLEncoding.EncodeToString(secret)
	return Key{ID: hex.EncodeToString(id), Digest: DigestOf(text), Workspace: workspace}, text, nil
}

// DigestOf returns the digest of a key's text.
func DigestOf(text string) Digest {
	sum := sha256.Sum256([]byte(text))
	return Digest(hex.EncodeToString(sum[:]))
}
