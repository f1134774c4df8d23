package node

import (
	"context"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// announceInterval is the least time between two announcements of blocked requests.
const announceInterval = 50 * clock.Millis(1)

// announceBlock makes announceBlocks tell the peers of a blocked request.
func (n *Node) announceBlock() {
	select {
	case n.blocked <- struct{}{}:
	default:
	}
}

// announceBlocks tells the peers at once when requests are blocked, at most once every
// announceInterval.
func (n *Node) announceBlocks(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.blocked:
			n.roster.ExchangeNow(ctx)
			_ = clock.Sleep(ctx, announceInterval)
		}
	}
}
