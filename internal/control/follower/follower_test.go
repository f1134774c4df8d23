package follower_test

import (
	"context"
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/heartbeat"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/replica"
)

// blockingStore blocks every watch until its call ends.
type blockingStore struct{ watched chan struct{} }

func (b *blockingStore) Watch(ctx context.Context, _ []string, _ int64, _ clock.Millis) (store.Listing, error) {
	b.watched <- struct{}{}
	<-ctx.Done()
	return store.Listing{}, store.ErrUnavailable.Wrap(ctx.Err(), "the call ended")
}

func (b *blockingStore) VMs(context.Context) (store.VMList, error) { return store.VMList{}, nil }

func (b *blockingStore) List(context.Context, string) (store.Listing, error) {
	return store.Listing{}, nil
}

// Guards against one watch per VM after a common start. A VM that has just started
// knows of no other VM. Its watch lasted for its whole wait even after it knew them,
// so a fleet that started together had a watch for each VM instead of each data
// centre.
func TestWatchEndsWhenAnotherVMWatchesTheStore(t *testing.T) {
	g := NewWithT(t)
	first, second := newTestVM(t, "a"), newTestVM(t, "b")
	first.heartbeat.SetStoreContact(first.heartbeat.Clock.Now())
	second.heartbeat.SetStoreContact(second.heartbeat.Clock.Now())
	blocking := &blockingStore{watched: make(chan struct{}, 1)}
	second.follower.Store = blocking
	ended := make(chan error, 1)
	go func() { ended <- second.follower.Watch(context.Background()) }()
	g.Eventually(blocking.watched, "20s").Should(Receive())
	g.Expect(second.follower.IsWatcher()).To(BeTrue())

	connect([]*testVM{first, second})
	g.Expect(second.heartbeat.Ask(context.Background(), first.heartbeat.Self.PeerAddress)).To(Succeed())
	second.heartbeat.Refresh()
	g.Eventually(ended, "5s").Should(Receive(BeNil()))
	g.Expect(second.follower.IsWatcher()).To(BeFalse())
	second.heartbeat.Refresh()
	g.Expect(second.heartbeat.View().Member("b").HasContact).To(BeTrue(), "a watch that was ended must not count as an outage")
}

// endlessPeer replies to every fetch with a page after which there is always the same one.
type endlessPeer struct{ fetches int }

func (p *endlessPeer) Call(_ context.Context, _, _ string, _, reply any) error {
	if p.fetches++; p.fetches > 100 {
		return errors.New("fetched without an end")
	}
	reply.(*replica.Page).Next = 7
	return nil
}

// A peer whose pages do not advance kept a VM fetching for good, and from serving if it had
// just started.
func TestFetchEndsIfPagesDoNotAdvance(t *testing.T) {
	g := NewWithT(t)
	v, peer := newTestVM(t, "a"), &endlessPeer{}
	v.follower.Peers = peer
	odd := &heartbeat.AskReply{Profile: &heartbeat.Profile{}, Summary: replica.Summary{Revision: 9}}
	isComplete, err := v.follower.CatchUp(context.Background(), "b", odd)
	g.Expect(isComplete).To(BeFalse())
	g.Expect(err).To(MatchError(ContainSubstring("page after revision 7")))
	g.Expect(peer.fetches).To(BeNumerically("<=", 2))
}
