package follower_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/wire/store"
)

// quietStore lets every watch wait until its call ends.
type quietStore struct{ watched chan struct{} }

func (q *quietStore) Watch(ctx context.Context, _ []string, _ int64, _ clock.Millis) (store.Listing, error) {
	q.watched <- struct{}{}
	<-ctx.Done()
	return store.Listing{}, store.ErrUnavailable.Wrap(ctx.Err(), "the call ended")
}

func (q *quietStore) VMs(context.Context) (store.VMList, error) { return store.VMList{}, nil }

func (q *quietStore) List(context.Context, string) (store.Listing, error) {
	return store.Listing{}, nil
}

// A VM that starts knows of no other. Its watch went on for its whole wait, so a
// fleet that starts together had a watch for each VM and not for each data centre.
func TestWatchEndsWhenAnotherVMFollowsTheStore(t *testing.T) {
	g := NewWithT(t)
	first, second := newNode(t, "a"), newNode(t, "b")
	first.heartbeat.SetStoreContact(first.heartbeat.Clock.Now())
	second.heartbeat.SetStoreContact(second.heartbeat.Clock.Now())
	quiet := &quietStore{watched: make(chan struct{}, 1)}
	second.follower.Store = quiet
	ended := make(chan error, 1)
	go func() { ended <- second.follower.Watch(context.Background()) }()
	g.Eventually(quiet.watched, "20s").Should(Receive())
	g.Expect(second.follower.IsWatcher()).To(BeTrue())

	join([]*node{first, second})
	g.Expect(second.heartbeat.Ask(context.Background(), first.heartbeat.Self.PeerAddress)).To(Succeed())
	second.heartbeat.Refresh()
	g.Eventually(ended, "5s").Should(Receive(BeNil()))
	g.Expect(second.follower.IsWatcher()).To(BeFalse())
	second.heartbeat.Refresh()
	g.Expect(second.heartbeat.View().Member("b").HasContact).To(BeTrue(), "an ended watch is no sign of an outage")
}
