package order

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"sync"

	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/wire/store"
)

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
	if err := ValidateID(order.ID); err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout.Duration())
	defer cancel()
	claim = &Claim{claims: c, order: order, record: Record{State: StateClaimed, Digest: order.Digest, WriteID: newWriteID(), ClaimedAt: c.Clock.Wall()}}
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
	return nil, ErrUnresolved.New("the claim is not settled after %d attempts", attempts)
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
	case record.State == StateDone && record.Answer != nil && record.Answer.Omitted:
		return nil, nil, &reason.Refusal{Reason: reason.OrderDone, Ran: reason.RanYes, Detail: "the order has run; its answer was too large to keep"}
	case record.State == StateDone && record.Answer != nil:
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

// Done records the order's whole answer, so that a resend through any VM gets
// it. After an error the claim stands, and a resend gets order_running.
func (c *Claim) Done(ctx context.Context, answer Answer) (err error) {
	defer fault.Annotate(&err, "recording the end of order %s", c.order.ID)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout.Duration())
	defer cancel()
	if len(answer.Body) > MaxAnswerBytes {
		answer.Body, answer.Omitted = nil, true
	}
	c.record.State, c.record.Answer = StateDone, &answer
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
	if standing == nil || standing.record.WriteID != c.record.WriteID || standing.record.State != StateDone {
		return ErrUnresolved.New("the claim was changed by another")
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
