package tracker

import (
	"context"
	"errors"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// mutedStore lists its objects and answers checks, but no watch.
type mutedStore struct {
	mu sync.Mutex
	// objects holds the objects by kind; revision is the highest of all.
	objects  map[string]Object
	revision int64
	checks   map[string]int
	watching chan string
}

func (s *mutedStore) set(kind, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.objects[kind] = Object{Name: kind, Revision: s.revision, Spec: []byte(spec)}
}

func (s *mutedStore) checksOf(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checks[kind]
}

// List implements Source.
func (s *mutedStore) List(_ context.Context, kind string) ([]Object, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []Object{s.objects[kind]}, s.revision, nil
}

// Watch implements Source.
func (s *mutedStore) Watch(ctx context.Context, kind string, after int64, wait clock.Millis) ([]Object, int64, error) {
	if wait != checkWait {
		s.watching <- kind
		<-ctx.Done()
		return nil, 0, errors.New("no answer")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checks[kind]++
	if object := s.objects[kind]; object.Revision > after {
		return []Object{object}, s.revision, nil
	}
	return nil, s.revision, nil
}

func TestCheckFindsChangesThatNoWatchReturns(t *testing.T) {
	g := NewWithT(t)
	store := &mutedStore{objects: map[string]Object{}, checks: map[string]int{}, watching: make(chan string, 8)}
	store.set("config", "1")
	store.set("servers", "a")
	config, servers := &Feed{Kind: "config", Source: store}, &Feed{Kind: "servers", Source: store}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go config.Run(ctx)
	go servers.Run(ctx)
	g.Eventually(store.watching).Should(Receive())
	g.Eventually(store.watching).Should(Receive())
	missed := make(chan struct{}, 8)
	checker := &Checker{
		Store: store, Feeds: []*Feed{config, servers}, OnMissed: func() { missed <- struct{}{} },
		Interval: func() (clock.Millis, bool) { return 50, true },
	}
	go checker.Run(ctx)
	g.Eventually(func() int { return store.checksOf("config") }).Should(BeNumerically(">", 2))
	g.Expect(store.checksOf("servers")).To(BeZero(), "nothing has changed since the listing")
	store.set("servers", "b")
	g.Eventually(servers.Revision).Should(Equal(int64(3)))
	g.Eventually(store.watching).Should(Receive(Equal("servers")), "the unanswered watch is replaced")
	g.Eventually(missed).Should(Receive())
	g.Consistently(store.watching, "600ms").ShouldNot(Receive(), "the watch of a kind without changes goes on")
}

func TestLateReplyDoesNotBringBackARemovedObject(t *testing.T) {
	g := NewWithT(t)
	feed := &Feed{Kind: "servers"}
	feed.applyListing(nil, 5)
	feed.mergeReply(5, []Object{{Name: "a", Revision: 6}}, 6)
	feed.mergeReply(6, []Object{{Name: "a", Revision: 7, Deleted: true}}, 7)
	feed.mergeReply(5, []Object{{Name: "a", Revision: 6}}, 6)
	g.Expect(feed.fullCopy().Objects).To(BeEmpty())
	feed.mergeReply(5, []Object{{Name: "b", Revision: 8}}, 8)
	g.Expect(feed.fullCopy().Objects).To(HaveLen(1), "a late reply with a newer change counts")
}
