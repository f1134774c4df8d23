// Package order ensures that an order or payment runs at most once. Before the
// first byte of an order is sent to an endpoint, a VM creates a claim for it as
// an object in the platform's store. The claim therefore also covers resends
// through other VMs.
//
// An order costs two store writes: one for the claim and one for its end.
// Removing the claim after its lifetime costs a third.
package order

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"regexp"

	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/reason"
)

// ObjectPrefix is the prefix of the store keys of claims.
const ObjectPrefix = "orders/"

const (
	// Lifetime is the minimum time for which a claim is kept. Callers must not
	// resend an order after it.
	Lifetime = 24 * clock.Hour
	// MaxResponseBytes is the size of the largest response body that a claim records,
	// in bytes.
	MaxResponseBytes = 16 << 10

	// claimTimeout and endTimeout bound the writes of a claim and of its end.
	// Both writes continue after the caller disconnects, because an aborted write
	// may still take effect.
	claimTimeout = 2 * clock.Second
	endTimeout   = 2 * clock.Second
	// maxAttempts is the maximum number of attempts to write one change to the
	// store if the outcome is unknown, with retryPause between them.
	maxAttempts = 3
	retryPause  = 50 * clock.Millis(1)
	// lateWriteWindow is the time after a lost reply within which the write may
	// still take effect.
	lateWriteWindow = 1 * clock.Minute
	// maxAbandoned is the maximum number of abandoned claims that a VM keeps
	// track of.
	maxAbandoned = 4096
	// retryAfter is the Retry-After of an order that is claimed already or could
	// not be claimed in the store.
	retryAfter   = 1 * clock.Second
	writeIDBytes = 16
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// ErrUnresolved is the type of errors for a claim whose state in the store
// could not be determined.
var ErrUnresolved = errorx.NewNamespace("order").NewType("unsettled")

// Order identifies a request that must run at most once.
type Order struct {
	Service   string
	Workspace string
	// ID is chosen by the caller; see ValidateID.
	ID string
	// Digest covers every part of the request that an endpoint sees. A request
	// with the same ID but a different Digest is refused.
	Digest string
}

// ObjectKey returns the store key of the order's claim.
func (o *Order) ObjectKey() string {
	return ObjectPrefix + o.Service + "/" + o.Workspace + "/" + o.ID
}

// ValidateID returns a refusal if an order id is missing or malformed.
func ValidateID(id string) error {
	if id == "" {
		return reason.NotRun(reason.OrderIDMissing, 0, "an order must carry the header Order-Id")
	}
	if !idPattern.MatchString(id) {
		return reason.NotRun(reason.BadRequest, 0, "an order id has 1 to 64 of letters, digits, dot, dash, underscore and starts with a letter or digit")
	}
	return nil
}

// Digest returns the digest of a request's method, target, content type and
// body, in hexadecimal.
func Digest(method, target, contentType string, body []byte) string {
	hash := sha256.New()
	for _, part := range []string{method, target, contentType} {
		sum := sha256.Sum256([]byte(part))
		hash.Write(sum[:])
	}
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

// State is the state of a claim.
type State string

// States of a claim. The claim of an order that did not run is removed.
const (
	// StateClaimed marks an order that may be running or may have run.
	StateClaimed State = "claimed"
	// StateDone marks an order that has run and whose complete response was received.
	StateDone State = "done"
)

// Response is an endpoint's response to an order.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Omitted reports whether the body was too large to be recorded.
	Omitted bool `json:"omitted,omitempty"`
}

// Record is the value of a claim's store object.
type Record struct {
	State  State  `json:"state"`
	Digest string `json:"digest"`
	// WriteID is the unique id of the claim, by which a VM recognises its own
	// write; see store.ErrOutcomeUnknown.
	WriteID string `json:"write_id"`
	// ClaimedAt is the wall time of the claim, in Unix milliseconds.
	ClaimedAt clock.Millis `json:"claimed_at"`
	// Response is set if State is StateDone.
	Response *Response `json:"answer,omitempty"`
}
