package tracker

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// peers are VMs by address. One without a copy never replies.
type peers map[string]Changes

// Call implements PeerCaller.
func (p peers) Call(ctx context.Context, address, _ string, _, reply any) error {
	if copied, found := p[address]; found {
		*reply.(*Changes) = copied
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a change that other peers offer being held up by one that does not reply.
func TestPeerThatDoesNotReplyDoesNotHoldUpOtherFetches(t *testing.T) {
	g := NewWithT(t)
	feed := &Feed{Kind: "config"}
	feed.applyListing([]Object{{Name: "main", Revision: 5}}, 5)
	fleet := peers{"good": {Objects: []Object{{Name: "main", Revision: 6}}, Revision: 6}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go feed.CatchUp(ctx, fleet, "frozen", 6)
	// Peers offer what they know with each exchange of states.
	offers := func() int64 {
		go feed.CatchUp(ctx, fleet, "good", 6)
		return feed.NewestChange()
	}
	inForce := (fetchPatience + catchUpDelay + 500*clock.Millis(1)).Duration()
	g.Eventually(offers, inForce, "100ms").Should(Equal(int64(6)))
}
