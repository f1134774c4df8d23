package order

import (
	"context"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
)

// abandonedClaim is a claim under which this process will not run the order.
// The claim may still be in the store, or a pending write may yet create it.
type abandonedClaim struct {
	order       Order
	writeID     string
	abandonedAt clock.Millis
	resolved    bool
}

func (c *Claims) abandon(claim *Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandonedIDs == nil {
		c.abandonedIDs = map[string]bool{}
	}
	writeID := claim.record.WriteID
	c.abandonedIDs[writeID] = true
	c.abandoned = append(c.abandoned, abandonedClaim{order: claim.order, writeID: writeID, abandonedAt: c.Clock.Now()})
	if len(c.abandoned) > maxAbandoned {
		delete(c.abandonedIDs, c.abandoned[0].writeID)
		c.abandoned = c.abandoned[1:]
	}
}

// RemoveAbandoned removes abandoned claims from the store, so that they do not
// block resends through other VMs. It checks at most limit claims, each at the
// cost of one read, and stops at the first store error. It should be called
// every few seconds.
func (c *Claims) RemoveAbandoned(ctx context.Context, limit int) (removed int, err error) {
	defer fault.Annotate(&err, "removing abandoned claims")
	for _, abandoned := range c.unresolved(limit) {
		claim := &Claim{claims: c, order: abandoned.order}
		stored, err := claim.read(ctx)
		if err != nil {
			return removed, err
		}
		if stored == nil || stored.record.WriteID != abandoned.writeID {
			c.markResolved(abandoned.writeID, c.Clock.Now()-abandoned.abandonedAt >= lateWriteWindow)
			continue
		}
		if _, err := c.Store.Delete(ctx, abandoned.order.ObjectKey(), stored.version); err != nil {
			return removed, err
		}
		removed++
		c.markResolved(abandoned.writeID, true)
	}
	return removed, nil
}

func (c *Claims) unresolved(limit int) (claims []abandonedClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, abandoned := range c.abandoned {
		if len(claims) == limit {
			break
		}
		if !abandoned.resolved {
			claims = append(claims, abandoned)
		}
	}
	return claims
}

// markResolved records whether a claim needs no further check. A claim whose
// write may still take effect moves to the end of the queue.
func (c *Claims) markResolved(writeID string, resolved bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, abandoned := range c.abandoned {
		if abandoned.writeID == writeID {
			abandoned.resolved = resolved
			c.abandoned = append(append(c.abandoned[:i:i], c.abandoned[i+1:]...), abandoned)
			return
		}
	}
}

func (c *Claims) isAbandoned(writeID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.abandonedIDs[writeID]
}
