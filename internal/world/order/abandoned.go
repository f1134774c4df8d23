package order

import (
	"context"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
)

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

// RemoveAbandoned removes abandoned claims from the store, so that resends through other
// VMs aren't held up by them. It looks at most at limit of them, each at the cost
// of a read, and stops at the store's first failure. Run it every few seconds.
func (c *Claims) RemoveAbandoned(ctx context.Context, limit int) (removed int, err error) {
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
