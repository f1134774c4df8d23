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

// silent is a store that holds watches without a word, and fails lists.
type silent struct{ watching chan context.Context }

// List implements tracker.Source.
func (s *silent) List(context.Context, string) ([]tracker.Object, int64, error) {
	return nil, 0, errors.New("turned away")
}

// Watch implements tracker.Source.
func (s *silent) Watch(ctx context.Context, _ string, _ int64, _ clock.Millis) ([]tracker.Object, int64, error) {
	s.watching <- ctx
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// A VM that the store turned away held each kind's watch for as long as it was to
// wait; only short ones showed it soon.
func TestOneFailedCallEndsTheWatchesInDoubt(t *testing.T) {
	g := NewWithT(t)
	manual := &clock.Manual{}
	manual.Advance(clock.Minute)
	store := &silent{watching: make(chan context.Context)}
	direct := &directSource{Source: store, scope: tally.NoopScope, clock: manual.Clock()}
	ended := make(chan error, 2)
	watch := func(ctx context.Context, kind string) {
		_, _, err := direct.Watch(ctx, kind, 1, 8*clock.Second)
		ended <- err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watch(ctx, "old")
	<-store.watching
	manual.Advance(doubtAfter)
	go watch(ctx, "new")
	newest := <-store.watching
	g.Expect(direct.mayReach()).To(BeTrue())
	_, _, err := direct.List(ctx, "other")
	g.Expect(err).To(HaveOccurred())
	g.Expect(direct.mayReach()).To(BeFalse())
	g.Expect(<-ended).To(MatchError(ContainSubstring("kind other failed while old was watched")))
	g.Expect(newest.Err()).NotTo(HaveOccurred(), "the retry of a moment ago goes on")
	cancel()
	g.Expect(<-ended).To(MatchError(context.Canceled))
}
