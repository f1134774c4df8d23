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

// Store is the part of the store's client that Claims uses.
type Store interface {
	Get(ctx context.Context, key string) (store.Object, error)
	Put(ctx context.Context, key string, value []byte, ifVersion int64) (int64, error)
	Delete(ctx context.Context, key string, ifVersion int64) (int64, error)
	List(ctx context.Context, prefix string) (store.Listing, error)
}

// Claims creates and removes the claims of one VM. Store must be set.
type Claims struct {
	Store Store
	Clock clock.Clock
	// Sleep waits between attempts; nil selects clock.Sleep.
	Sleep func(ctx context.Context, d clock.Millis) error

	mu sync.Mutex
	// abandonedIDs holds the write ids of claims that this process may have
	// created but will not run an order under. A claim in the store with such a
	// write id may be taken over. Guarded by mu.
	abandonedIDs map[string]bool
	// abandoned holds the abandoned claims, oldest first. Guarded by mu.
	abandoned []abandonedClaim
}

// Claim is the exclusive right to send one order to an endpoint. Done or
// Release ends it. A claim that is not ended prevents the order from running
// again.
type Claim struct {
	claims  *Claims
	order   Order
	record  Record
	version int64
	// mayReappear reports whether the outcome of a write is unknown, so that the
	// write may still create the claim after its removal.
	mayReappear bool
}

// Claim creates a claim for an order. If the order has already run, it returns the
// recorded response instead. The error is a *reason.Refusal.
func (c *Claims) Claim(ctx context.Context, order Order) (claim *Claim, response *Response, err error) {
	if err := ValidateID(order.ID); err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout.Duration())
	defer cancel()
	claim = &Claim{claims: c, order: order, record: Record{State: StateClaimed, Digest: order.Digest, WriteID: newWriteID(), ClaimedAt: c.Clock.Wall()}}
	existing, err := claim.create(ctx)
	if err != nil {
		c.abandon(claim)
		return nil, nil, reason.NotRun(reason.StoreUnavailable, retryAfter, "the order could not be claimed in the store")
	}
	if existing == nil {
		return claim, nil, nil
	}
	return c.resolveExisting(ctx, claim, existing)
}

// storedClaim is a claim as read from the store.
type storedClaim struct {
	record  Record
	version int64
}

// create writes the claim. It returns nil if the store now holds this claim, or
// the other claim that the store holds for the order. An error means that
// neither could be established.
func (c *Claim) create(ctx context.Context) (other *storedClaim, err error) {
	for range maxAttempts {
		c.version, err = c.put(ctx, 0)
		if err == nil {
			return nil, nil
		}
		if !isOutcomeUnclear(err) {
			return nil, err
		}
		c.mayReappear = c.mayReappear || errorx.IsOfType(err, store.ErrOutcomeUnknown)
		stored, readErr := c.read(ctx)
		if readErr != nil {
			return nil, readErr
		}
		if stored != nil && stored.record.WriteID == c.record.WriteID {
			c.version = stored.version
			return nil, nil
		}
		if stored != nil {
			return stored, nil
		}
		// The store holds no claim: the write was lost or is still pending.
		// Repeating it with the same write id is safe, because either write creates
		// the same claim.
		if err := c.claims.pause(ctx); err != nil {
			return nil, err
		}
	}
	return nil, ErrUnresolved.New("state of the claim in the store still unknown after %d attempts", maxAttempts)
}

// isOutcomeUnclear reports whether, after this error, the write may have taken
// effect or another object may exist at the key.
func isOutcomeUnclear(err error) bool {
	return errorx.IsOfType(err, store.ErrOutcomeUnknown) || errorx.IsOfType(err, store.ErrConflict)
}

func (c *Claim) put(ctx context.Context, ifVersion int64) (version int64, err error) {
	value, err := json.Marshal(&c.record)
	if err != nil {
		return 0, err
	}
	return c.claims.Store.Put(ctx, c.order.ObjectKey(), value, ifVersion)
}

// read returns the claim in the store, or nil if there is none.
func (c *Claim) read(ctx context.Context) (stored *storedClaim, err error) {
	defer fault.Annotate(&err, "reading the claim from the store")
	object, err := c.claims.Store.Get(ctx, c.order.ObjectKey())
	if errorx.IsOfType(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	stored = &storedClaim{version: object.Version}
	return stored, json.Unmarshal(object.Value, &stored.record)
}

// resolveExisting decides what a resend receives, given the claim in the store: the
// recorded response, a claim taken over from this process, or a refusal.
func (c *Claims) resolveExisting(ctx context.Context, claim *Claim, stored *storedClaim) (*Claim, *Response, error) {
	record := &stored.record
	switch {
	case record.Digest != claim.record.Digest:
		return nil, nil, reason.NotRun(reason.OrderIDReused, 0, "the order id names another order")
	case record.State == StateDone && record.Response != nil && record.Response.Omitted:
		return nil, nil, &reason.Refusal{Reason: reason.OrderDone, Ran: reason.RanYes, Detail: "the order has run; its answer was too large to keep"}
	case record.State == StateDone && record.Response != nil:
		return nil, record.Response, nil
	case c.isAbandoned(record.WriteID):
		claim.version = stored.version
		return c.takeOver(ctx, claim)
	}
	return nil, nil, &reason.Refusal{Reason: reason.OrderRunning, Ran: reason.RanUnknown, RetryAfter: retryAfter, Detail: "the order is claimed and its outcome is not known yet"}
}

// takeOver replaces a claim that this process abandoned. The conditional write
// lets only one of several concurrent calls succeed.
func (c *Claims) takeOver(ctx context.Context, claim *Claim) (*Claim, *Response, error) {
	version, err := claim.put(ctx, claim.version)
	if err == nil {
		claim.version = version
		return claim, nil, nil
	}
	c.abandon(claim)
	return nil, nil, reason.NotRun(reason.StoreUnavailable, retryAfter, "the order could not be claimed in the store")
}

// Done records the order's complete response, so that a resend through any VM receives
// it. After an error the claim remains, and a resend is refused with order_running.
func (c *Claim) Done(ctx context.Context, response Response) (err error) {
	defer fault.Annotate(&err, "recording the response to order %s", c.order.ID)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout.Duration())
	defer cancel()
	if len(response.Body) > MaxResponseBytes {
		response.Body, response.Omitted = nil, true
	}
	c.record.State, c.record.Response = StateDone, &response
	for range maxAttempts {
		if _, err = c.put(ctx, c.version); err == nil {
			return nil
		}
		if errorx.IsOfType(err, store.ErrConflict) {
			return c.confirmDone(ctx)
		}
		if err := c.claims.pause(ctx); err != nil {
			return err
		}
	}
	return err
}

// confirmDone returns nil if the conflicting record is this claim's own earlier
// write, whose reply was lost.
func (c *Claim) confirmDone(ctx context.Context) error {
	stored, err := c.read(ctx)
	if err != nil {
		return err
	}
	if stored == nil || stored.record.WriteID != c.record.WriteID || stored.record.State != StateDone {
		return ErrUnresolved.New("the claim was changed by another writer")
	}
	return nil
}

// Release removes the claim of an order that did not run, so that a resend may
// run it.
func (c *Claim) Release(ctx context.Context) (err error) {
	defer fault.Annotate(&err, "releasing the claim of order %s", c.order.ID)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout.Duration())
	defer cancel()
	_, err = c.claims.Store.Delete(ctx, c.order.ObjectKey(), c.version)
	if c.mayReappear || err != nil && !errorx.IsOfType(err, store.ErrConflict) {
		// The claim may still exist or reappear; let this process take it over.
		c.claims.abandon(c)
	}
	return err
}

// Sweep removes claims older than Lifetime, at most limit of them. It is meant
// to run on one VM at a time, under a lease; concurrent runs are harmless.
func (c *Claims) Sweep(ctx context.Context, limit int) (removed int, err error) {
	defer fault.Annotate(&err, "removing expired claims")
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
		return c.Sleep(ctx, retryPause)
	}
	return clock.Sleep(ctx, retryPause)
}

func newWriteID() string {
	id := make([]byte, writeIDBytes)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}
