package divider

import (
	"context"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/divide"
	"baobabladder.example/baobabladder/internal/world/membership"
)

const (
	// fenceTimeout bounds the Term calls of a new incarnation.
	fenceTimeout = 500 * clock.Millis(1)
	// fenceRetryDelay is the delay before a fence without enough replies, or of a VM
	// that is not listed yet, is tried again.
	fenceRetryDelay = 50 * clock.Millis(1)
	// noTerm is the term of a peer that did not reply.
	noTerm = -1
)

// fence reads the newest term known to the peers and refuses older terms from then
// on. It retries until as many peers have replied as divide.FenceQuorum requires.
func (d *Divider) fence(ctx context.Context) error {
	for {
		view := d.View()
		if view.Member(d.Self.Name) != nil {
			newest, replies := d.readTerms(ctx, view.Peers())
			if replies >= divide.FenceQuorum(len(view.Members)) {
				d.Holder.Fence(newest)
				return nil
			}
		}
		if err := clock.Sleep(ctx, fenceRetryDelay); err != nil {
			return err
		}
	}
}

// readTerms returns the newest term among the replies of the peers, and the number of
// peers that replied.
func (d *Divider) readTerms(ctx context.Context, peers []membership.Member) (newest int64, replies int) {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout.Duration())
	defer cancel()
	terms := make(chan int64, len(peers))
	for i := range peers {
		go func() {
			term := int64(noTerm)
			if d.Peers.Call(ctx, peers[i].PeerAddress, ReceiverName+".Term", &TermRequest{From: d.Self}, &term) != nil {
				term = noTerm
			}
			terms <- term
		}()
	}
	for range peers {
		term := <-terms
		if term == noTerm {
			continue
		}
		replies++
		newest = max(newest, term)
	}
	return newest, replies
}
