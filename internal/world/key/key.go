// Package key describes the keys by which callers show which workspace they
// belong to. A key's text exists only in the operator's hands and in callers'
// requests: the system keeps a digest of it and never logs, stores or forwards
// the text.
package key

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
)

// Prefix starts the text of every key, so that a key is recognisable wherever
// it stands.
const Prefix = "bbk_"

// Sizes of a key.
const (
	secretBytes = 32
	idBytes     = 8
	// TextLength is the length of a key's text.
	TextLength = len(Prefix) + 43
)

// ObjectPrefix starts the store keys of Key objects.
const ObjectPrefix = "keys/"

// Digest is the SHA-256 of a key's text, in hexadecimal.
type Digest string

// Key is what the system knows of a key. It is the value of the store object
// ObjectPrefix + ID.
type Key struct {
	// ID names the key to operators; it tells nothing about the text.
	ID        string `json:"id"`
	Digest    Digest `json:"digest"`
	Workspace string `json:"workspace"`
	// Withdrawn never goes back to false.
	Withdrawn bool `json:"withdrawn"`
	// IssuedBy and IssuedAt tell who asked for the key and when, WithdrawnBy and
	// WithdrawnAt who had it withdrawn. The times are wall times in Unix
	// milliseconds. WithdrawnBy is empty if the VM that was asked ended before the
	// store had the withdrawal, and another VM wrote it.
	IssuedBy    string       `json:"issued_by,omitempty"`
	IssuedAt    clock.Millis `json:"issued_at,omitempty"`
	WithdrawnBy string       `json:"withdrawn_by,omitempty"`
	WithdrawnAt clock.Millis `json:"withdrawn_at,omitempty"`
	// WriteID is unique to the last change; see store.ErrOutcomeUnknown.
	WriteID string `json:"write_id"`
}

// Issue makes a new key for a workspace. The text is not recoverable later.
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

// DigestOf returns the digest under which a key's text is known.
func DigestOf(text string) Digest {
	sum := sha256.Sum256([]byte(text))
	return Digest(hex.EncodeToString(sum[:]))
}
