package follower_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/wire/store"
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
