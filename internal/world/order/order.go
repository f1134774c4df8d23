// Package order keeps the claims by which an order or payment runs at most once.
// A claim is an object in the platform's store, created before the order's first
// byte goes to an endpoint, and so holds against resends through any VM.
//
// An order costs two writes: the claim and its end. Removing the claim after its
// lifetime costs a third.
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

// ObjectPrefix starts the store keys of claims.
const ObjectPrefix = "orders/"

const (
	// Lifetime is how long a claim is kept at least. A caller must not resend an
	// order later than that.
	Lifetime = 24 * clock.Hour
	// MaxAnswerBytes is the largest answer body that a claim records.
	MaxAnswerBytes = 16 << 10

	// claimTimeout and endTimeout bound the writing of a claim and of its end. Both
	// go on when the caller has gone away: a write given up midway may stand.
	claimTimeout = 2 * clock.Second
	endTimeout   = 2 * clock.Second
	// attempts bounds the store calls to settle one unknown outcome.
	attempts     = 3
	attemptPause = 50 * clock.Millis(1)
	// landing is how long after a lost answer a write may still land.
	landing = 1 * clock.Minute
	// maxAbandoned bounds the claims that a VM remembers as its own.
	maxAbandoned = 4096
	retryAfter   = 1 * clock.Second
	writeIDBytes = 16
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// ErrUnresolved says that the store could not be brought to a known state.
var ErrUnresolved = errorx.NewNamespace("order").NewType("unsettled")

// Order identifies what must run at most once.
type Order struct {
	Service   string
	Workspace string
	// ID is the caller's; see CheckID.
	ID string
	// Digest covers all of the request that an endpoint sees of the order. The
	// same ID with another Digest is refused.
	Digest string
}

// ObjectKey returns the store key of the order's claim.
func (o *Order) ObjectKey() string {
	return ObjectPrefix + o.Service + "/" + o.Workspace + "/" + o.ID
}

// ValidateID refuses a missing or malformed order id.
func ValidateID(id string) error {
	if id == "" {
		return reason.NotRun(reason.OrderIDMissing, 0, "an order must carry the header Order-Id")
	}
	if !idPattern.MatchString(id) {
		return reason.NotRun(reason.BadRequest, 0, "an order id has 1 to 64 of letters, digits, dot, dash, underscore and starts with a letter or digit")
	}
	return nil
}

// Digest returns the digest of a request's method, target, content type and body.
func Digest(method, target, contentType string, body []byte) string {
	hash := sha256.New()
	for _, part := range []string{method, target, contentType} {
		sum := sha256.Sum256([]byte(part))
		hash.Write(sum[:])
	}
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

// State is how far an order is.
type State string

// The states of a claim. A claim whose order did not run is removed.
const (
	// Claimed orders may run or have run.
	StateClaimed State = "claimed"
	// Done orders have run, and their answer was whole.
	StateDone State = "done"
)

// Answer is an endpoint's answer to an order.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Omitted says that the body was too large to be recorded.
	Omitted bool `json:"omitted,omitempty"`
}

// Record is the value of a claim's object.
type Record struct {
	State  State  `json:"state"`
	Digest string `json:"digest"`
	// WriteID is unique to the claim; see store.ErrOutcomeUnknown.
	WriteID string `json:"write_id"`
	// ClaimedAt is in Unix milliseconds.
	ClaimedAt clock.Millis `json:"claimed_at"`
	// Answer is set when State is Done.
	Answer *Answer `json:"answer,omitempty"`
}
