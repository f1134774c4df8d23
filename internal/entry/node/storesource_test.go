package node

import (
	"context"
	"errors"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/tracker"
)

// unresponsiveStore is a store that never responds to watches, and fails lists.
type unresponsiveStore struct{ watching chan context.Context }

// List implements tracker.Source.
func (s *unresponsiveStore) List(context.Context, string) ([]tracker.Object, int64, error) {
	return nil, 0, errors.New("list refused")
}

// Watch implements tracker.Source.
func (s *unresponsiveStore) Watch(ctx context.Context, _ string, _ int64, _ clock.Millis) ([]tracker.Object, int64, error) {
	s.watching <- ctx
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Guards against a VM noticing an outage too late: when the store refused this VM but
// held its watches open, the feed of each kind waited until its own watch timed out,
// which only short watches did soon.
func TestFailedCallCancelsLongRunningWatches(t *testing.T) {
	g := NewWithT(t)
	manual := &clock.Manual{}
	manual.Advance(clock.Minute)
	store := &unresponsiveStore{watching: make(chan context.Context)}
	source := &storeSource{Source: store, scope: tally.NoopScope, clock: manual.Clock()}
	ended := make(chan error, 2)
	watch := func(ctx context.Context, kind string) {
		_, _, err := source.Watch(ctx, kind, 1, 8*clock.Second)
		ended <- err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watch(ctx, "old")
	<-store.watching
	manual.Advance(suspectAfter)
	go watch(ctx, "new")
	newest := <-store.watching
	g.Expect(source.canReachStore()).To(BeTrue())
	_, _, err := source.List(ctx, "other")
	g.Expect(err).To(HaveOccurred())
	g.Expect(source.canReachStore()).To(BeFalse())
	g.Expect(<-ended).To(MatchError(ContainSubstring("kind other failed while old was watched")))
	g.Expect(newest.Err()).NotTo(HaveOccurred(), "a watch that has just begun must not be cancelled")
	cancel()
	g.Expect(<-ended).To(MatchError(context.Canceled))
}
