// Package order keeps the claims by which an order or payment runs at most once.
// A claim is an object in the platform's store, created before the order's first
// byte goes to an endpoint, and so holds against resends through any VM.
//
// An order costs two writes: the claim and its end. Removing the claim after its
// lifetime costs a third.
package order

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"regexp"
	"sync"

	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/wire/store"
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

// ErrUnsettled says that the store could not be brought to a known state.
var ErrUnsettled = errorx.NewNamespace("order").NewType("unsettled")

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

// CheckID refuses a missing or malformed order id.
func CheckID(id string) error {
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
	Claimed State = "claimed"
	// Done orders have run, and their answer was whole.
	Done State = "done"
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

// Store is the part of the platform's store that claims need.
type Store interface {
	Get(ctx context.Context, key string) (store.Object, error)
	Put(ctx context.Context, key string, value []byte, ifVersion int64) (int64, error)
	Delete(ctx context.Context, key string, ifVersion int64) (int64, error)
	List(ctx context.Context, prefix string) (store.Listing, error)
}

// Claims makes claims. Store must be set.
type Claims struct {
	Store Store
	Clock clock.Clock
	// Sleep waits between attempts; nil is clock.Sleep.
	Sleep func(ctx context.Context, d clock.Millis) error

	mu sync.Mutex
	// abandoned holds the write ids of claims that this process may have made and
	// under which nothing runs, now or later. A claim in the store with such a write
	// id is free. Guarded by mu.
	abandoned map[string]bool
	// remembered holds the abandoned claims, oldest first. Guarded by mu.
	remembered []abandonment
}

// Claim is the right to send one order. Done or Release ends it; a claim that is
// left standing keeps the order from running again.
type Claim struct {
	claims  *Claims
	order   Order
	record  Record
	version int64
	// doubted says that a write of the claim may still land after its removal.
	doubted bool
}

// Claim claims an order. It returns a claim, or the recorded answer of an order
// that has run. The error is a *reason.Refusal.
func (c *Claims) Claim(ctx context.Context, order Order) (claim *Claim, answer *Answer, err error) {
	if err := CheckID(order.ID); err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout.Duration())
	defer cancel()
	claim = &Claim{claims: c, order: order, record: Record{State: Claimed, Digest: order.Digest, WriteID: newWriteID(), ClaimedAt: c.Clock.Wall()}}
	found, err := claim.create(ctx)
	if err != nil {
		c.abandon(claim)
		return nil, nil, reason.NotRun(reason.StoreUnavailable, retryAfter, "the order could not be claimed in the store")
	}
	if found == nil {
		return claim, nil, nil
	}
	return c.judge(ctx, claim, found)
}

// found is a claim that stands in the store.
type found struct {
	record  Record
	version int64
}

// create writes the claim. It returns nothing if the claim stands, or the other
// claim that stands in its place. An error means that neither is known.
func (c *Claim) create(ctx context.Context) (other *found, err error) {
	for range attempts {
		c.version, err = c.put(ctx, 0)
		if err == nil {
			return nil, nil
		}
		if !isInDoubt(err) {
			return nil, err
		}
		c.doubted = c.doubted || errorx.IsOfType(err, store.ErrOutcomeUnknown)
		standing, readErr := c.read(ctx)
		if readErr != nil {
			return nil, readErr
		}
		if standing != nil && standing.record.WriteID == c.record.WriteID {
			c.version = standing.version
			return nil, nil
		}
		if standing != nil {
			return standing, nil
		}
		// Nothing stands: the write was lost or is still under way. Writing again
		// with the same write id settles it, whichever lands first.
		if err := c.claims.pause(ctx); err != nil {
			return nil, err
		}
	}
	return nil, ErrUnsettled.New("the claim is not settled after %d attempts", attempts)
}

// isInDoubt reports whether a change may stand, or something else stands.
func isInDoubt(err error) bool {
	return errorx.IsOfType(err, store.ErrOutcomeUnknown) || errorx.IsOfType(err, store.ErrConflict)
}

func (c *Claim) put(ctx context.Context, ifVersion int64) (version int64, err error) {
	value, err := json.Marshal(&c.record)
	if err != nil {
		return 0, err
	}
	return c.claims.Store.Put(ctx, c.order.ObjectKey(), value, ifVersion)
}

// read returns the claim that stands in the store, or nil.
func (c *Claim) read(ctx context.Context) (standing *found, err error) {
	defer fault.Annotate(&err, "reading back a claim")
	object, err := c.claims.Store.Get(ctx, c.order.ObjectKey())
	if errorx.IsOfType(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	standing = &found{version: object.Version}
	return standing, json.Unmarshal(object.Value, &standing.record)
}

// judge says what a resend gets from the claim that stands.
func (c *Claims) judge(ctx context.Context, claim *Claim, standing *found) (*Claim, *Answer, error) {
	record := &standing.record
	switch {
	case record.Digest != claim.record.Digest:
		return nil, nil, reason.NotRun(reason.OrderIDReused, 0, "the order id names another order")
	case record.State == Done && record.Answer != nil && record.Answer.Omitted:
		return nil, nil, &reason.Refusal{Reason: reason.OrderDone, Ran: reason.RanYes, Detail: "the order has run; its answer was too large to keep"}
	case record.State == Done && record.Answer != nil:
		return nil, record.Answer, nil
	case c.isAbandoned(record.WriteID):
		claim.version = standing.version
		return c.takeOver(ctx, claim)
	}
	return nil, nil, &reason.Refusal{Reason: reason.OrderRunning, Ran: reason.RanUnknown, RetryAfter: retryAfter, Detail: "the order is claimed and its outcome is not known yet"}
}

// takeOver replaces a claim that this process abandoned. Of several that try, the
// claim's version lets one through.
func (c *Claims) takeOver(ctx context.Context, claim *Claim) (*Claim, *Answer, error) {
	version, err := claim.put(ctx, claim.version)
	if err == nil {
		claim.version = version
		return claim, nil, nil
	}
	c.abandon(claim)
	return nil, nil, reason.NotRun(reason.StoreUnavailable, retryAfter, "the order could not be claimed in the store")
}

// abandonment is a claim under which nothing runs, but which may stand, or land
// in the store later.
type abandonment struct {
	order   Order
	writeID string
	at      clock.Millis
	settled bool
}

func (c *Claims) abandon(claim *Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned == nil {
		c.abandoned = map[string]bool{}
	}
	writeID := claim.record.WriteID
	c.abandoned[writeID] = true
	c.remembered = append(c.remembered, abandonment{order: claim.order, writeID: writeID, at: c.Clock.Now()})
	if len(c.remembered) > maxAbandoned {
		delete(c.abandoned, c.remembered[0].writeID)
		c.remembered = c.remembered[1:]
	}
}

// Settle removes abandoned claims from the store, so that resends through other
// VMs aren't held up by them. It looks at most at limit of them, each at the cost
// of a read, and stops at the store's first failure. Run it every few seconds.
func (c *Claims) Settle(ctx context.Context, limit int) (removed int, err error) {
	defer fault.Annotate(&err, "settling abandoned claims")
	for _, left := range c.unsettled(limit) {
		claim := &Claim{claims: c, order: left.order}
		standing, err := claim.read(ctx)
		if err != nil {
			return removed, err
		}
		if standing == nil || standing.record.WriteID != left.writeID {
			c.markSettled(left.writeID, c.Clock.Now()-left.at >= landing)
			continue
		}
		if _, err := c.Store.Delete(ctx, left.order.ObjectKey(), standing.version); err != nil {
			return removed, err
		}
		removed++
		c.markSettled(left.writeID, true)
	}
	return removed, nil
}

func (c *Claims) unsettled(limit int) (left []abandonment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, abandoned := range c.remembered {
		if len(left) == limit {
			break
		}
		if !abandoned.settled {
			left = append(left, abandoned)
		}
	}
	return left
}

// markSettled notes whether a claim needs no further look. One that may still
// land goes to the end of the line.
func (c *Claims) markSettled(writeID string, settled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, abandoned := range c.remembered {
		if abandoned.writeID == writeID {
			abandoned.settled = settled
			c.remembered = append(append(c.remembered[:i:i], c.remembered[i+1:]...), abandoned)
			return
		}
	}
}

func (c *Claims) isAbandoned(writeID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.abandoned[writeID]
}

// Done records the order's whole answer, so that a resend through any VM gets
// it. After an error the claim stands, and a resend gets order_running.
func (c *Claim) Done(ctx context.Context, answer Answer) (err error) {
	defer fault.Annotate(&err, "recording the end of order %s", c.order.ID)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout.Duration())
	defer cancel()
	if len(answer.Body) > MaxAnswerBytes {
		answer.Body, answer.Omitted = nil, true
	}
	c.record.State, c.record.Answer = Done, &answer
	for range attempts {
		if _, err = c.put(ctx, c.version); err == nil {
			return nil
		}
		if errorx.IsOfType(err, store.ErrConflict) {
			return c.confirm(ctx)
		}
		if err := c.claims.pause(ctx); err != nil {
			return err
		}
	}
	return err
}

// confirm reports whether a conflicting record is our own earlier write, whose
// answer was lost.
func (c *Claim) confirm(ctx context.Context) error {
	standing, err := c.read(ctx)
	if err != nil {
		return err
	}
	if standing == nil || standing.record.WriteID != c.record.WriteID || standing.record.State != Done {
		return ErrUnsettled.New("the claim was changed by another")
	}
	return nil
}

// Release gives the claim up: the order did not run, and a resend may run it.
func (c *Claim) Release(ctx context.Context) (err error) {
	defer fault.Annotate(&err, "releasing order %s", c.order.ID)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout.Duration())
	defer cancel()
	_, err = c.claims.Store.Delete(ctx, c.order.ObjectKey(), c.version)
	if c.doubted || err != nil && !errorx.IsOfType(err, store.ErrConflict) {
		// If the claim still stands or lands late, this process may take it over.
		c.claims.abandon(c)
	}
	return err
}

// Sweep removes claims older than Lifetime, at most limit of them. One VM at a
// time should run it, under a lease; two do no harm.
func (c *Claims) Sweep(ctx context.Context, limit int) (removed int, err error) {
	defer fault.Annotate(&err, "sweeping old claims")
	listing, err := c.Store.List(ctx, ObjectPrefix)
	if err != nil {
		return 0, err
	}
	for _, object := range listing.Objects {
		if removed >= limit {
			break
		}
		var record Record
		if err := json.Unmarshal(object.Value, &record); err != nil || c.Clock.Wall()-record.ClaimedAt < Lifetime {
			continue
		}
		if _, err := c.Store.Delete(ctx, object.Key, object.Version); err != nil {
			if errorx.IsOfType(err, store.ErrConflict) || errorx.IsOfType(err, store.ErrNotFound) {
				continue
			}
			return removed, err
		}
		removed++
	}
	return removed, nil
}

func (c *Claims) pause(ctx context.Context) error {
	if c.Sleep != nil {
		return c.Sleep(ctx, attemptPause)
	}
	return clock.Sleep(ctx, attemptPause)
}

func newWriteID() string {
	id := make([]byte, writeIDBytes)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}
