package tracker

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// fakeSource is a store that returns preset replies and counts the listings.
type fakeSource struct {
	objects  []Object
	revision int64
	err      error
	lists    int
}

// List implements Source.
func (s *fakeSource) List(context.Context, string) ([]Object, int64, error) {
	s.lists++
	return s.objects, s.revision, s.err
}

// Watch implements Source.
func (s *fakeSource) Watch(context.Context, string, int64, clock.Millis) ([]Object, int64, error) {
	return s.objects, s.revision, s.err
}

// testFeed is a feed with the names of its objects at the last change.
type testFeed struct {
	*Feed
	manual *clock.Manual
	source *fakeSource
	names  []string
	// peerReachesStore is the result of the feed's CanPeerReachStore.
	peerReachesStore bool
}

func newTestFeed(t *testing.T, objects ...Object) *testFeed {
	t.Helper()
	f := &testFeed{manual: &clock.Manual{}, source: &fakeSource{objects: objects, revision: 10}}
	f.Feed = &Feed{Kind: "endpoints", Source: f.source, Clock: f.manual.Clock(), DelaysRemovals: func() bool { return f.NewestChange() >= 0 }, CanPeerReachStore: func() bool { return f.peerReachesStore }, OnChange: func(objects map[string]Object) {
		f.names = slices.Sorted(maps.Keys(objects))
	}}
	f.manual.Advance(clock.Minute)
	NewWithT(t).Expect(f.callSource(context.Background(), true)).To(Succeed())
	return f
}

// watch makes the feed's next watch return the given changes up to a revision.
func (f *testFeed) watch(t *testing.T, revision int64, objects ...Object) {
	t.Helper()
	f.source.objects, f.source.revision, f.source.err = objects, revision, nil
	NewWithT(t).Expect(f.callSource(context.Background(), false)).To(Succeed())
}

func TestOlderObjectDoesNotReplaceNewerOne(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t, Object{Name: "a", Revision: 8, Spec: []byte("new")})
	f.watch(t, 11, Object{Name: "a", Revision: 7, Spec: []byte("old")})
	g.Expect(string(f.objects["a"].Spec)).To(Equal("new"))
	f.Adopt([]Object{{Name: "b", Revision: 3}}, 9, nil)
	g.Expect(f.names).To(Equal([]string{"a"}), "a peer's older copy must be ignored")
}

func TestRemovalIsImmediateWithoutOutage(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t, Object{Name: "a", Revision: 8}, Object{Name: "b", Revision: 9})
	f.watch(t, 11, Object{Name: "a", Revision: 11, Deleted: true})
	g.Expect(f.names).To(Equal([]string{"b"}))
}

// Guards against the removal of entries that expired in an outage. Their owners write
// them again within two seconds of the store's return.
func TestEntriesExpiredInOutageAreRemovedUnlessWrittenAgain(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t, Object{Name: "a", Revision: 8}, Object{Name: "b", Revision: 9})
	f.recordFailure(errors.New("down"))
	f.manual.Advance(5 * clock.Second)
	// The store answers one VM before the others when it returns.
	f.peerReachesStore = true
	f.recordFailure(errors.New("down"))
	f.manual.Advance(500)
	f.watch(t, 13, Object{Name: "a", Revision: 12, Deleted: true}, Object{Name: "b", Revision: 13, Deleted: true})
	g.Expect(f.names).To(Equal([]string{"a", "b"}))
	f.watch(t, 14, Object{Name: "b", Revision: 14})
	f.manual.Advance(removalDelay)
	f.watch(t, 14)
	g.Expect(f.names).To(Equal([]string{"b"}))
}

// Guards against delayed removals at a VM that the store refuses while it answers the
// others. Such a VM sent requests to an endpoint 3.1 s after it had left.
func TestRefusedVMDoesNotDelayRemovals(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t, Object{Name: "a", Revision: 8}, Object{Name: "b", Revision: 9})
	f.peerReachesStore = true
	for range 8 {
		f.recordFailure(errors.New("call refused"))
		f.manual.Advance(500)
	}
	f.watch(t, 13, Object{Name: "a", Revision: 12, Deleted: true})
	g.Expect(f.names).To(Equal([]string{"b"}))
}

func TestListingRemovesMissingObjects(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t, Object{Name: "a", Revision: 8}, Object{Name: "b", Revision: 9})
	f.source.objects, f.source.revision = []Object{{Name: "b", Revision: 9}}, 20
	g.Expect(f.callSource(context.Background(), true)).To(Succeed())
	g.Expect(f.names).To(Equal([]string{"b"}))
}

// Guards against a call for each change in a burst. When 394 endpoints registered,
// each VM that watched the store called it eight times a second.
func TestBurstOfChangesTakesFewCalls(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t)
	f.manual.Advance(clock.Minute)
	f.watch(t, 11, Object{Name: "a", Revision: 11})
	g.Expect(f.pause()).To(Equal(batchPause), "a single change takes the short pause")
	f.manual.Advance(batchPause)
	f.watch(t, 12, Object{Name: "b", Revision: 12})
	g.Expect(f.pause()).To(Equal(burstPause))
	f.manual.Advance(burstSpan)
	f.watch(t, 13, Object{Name: "c", Revision: 13})
	g.Expect(f.pause()).To(Equal(batchPause))
}

func TestFailedCallKeepsTheCopy(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t, Object{Name: "a", Revision: 8})
	f.source.err = errors.New("down")
	g.Expect(f.callSource(context.Background(), false)).NotTo(Succeed())
	f.recordFailure(f.source.err)
	g.Expect(f.HasStoreContact()).To(BeFalse())
	g.Expect(f.names).To(Equal([]string{"a"}))
}

// fakePeerCaller calls the receiver of one relay directly.
type fakePeerCaller struct {
	receiver *Receiver
	err      error
}

// Call implements PeerCaller.
func (c *fakePeerCaller) Call(_ context.Context, _, method string, args, reply any) error {
	if c.err != nil {
		return c.err
	}
	if method == fetchMethod {
		return c.receiver.Fetch(args.(string), reply.(*Changes))
	}
	return c.receiver.Watch(args.(WatchRequest), reply.(*Changes))
}

// newRelaySource returns a relay's feed, the source of a VM that follows the relay,
// the caller between them and the VM's store.
func newRelaySource(t *testing.T) (relay *testFeed, source *RelaySource, calls *fakePeerCaller, store *fakeSource) {
	t.Helper()
	relay = newTestFeed(t, Object{Name: "a", Revision: 8})
	manual := &clock.Manual{}
	calls = &fakePeerCaller{receiver: NewReceiver(relay.Feed)}
	store = &fakeSource{revision: 99}
	source = &RelaySource{Store: store, Peers: calls, Clock: manual.Clock(), Relays: func() ([]vm.VM, bool) { return []vm.VM{{Name: "relay"}}, false }}
	source.recordReply(nil, false)
	return relay, source, calls, store
}

func TestRelaySourceReadsFromRelay(t *testing.T) {
	g := NewWithT(t)
	relay, source, _, store := newRelaySource(t)
	objects, revision, err := source.List(context.Background(), "endpoints")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(objects).To(HaveLen(1))
	relay.watch(t, 11, Object{Name: "b", Revision: 11})
	relay.watch(t, 12, Object{Name: "a", Revision: 8, Deleted: true})
	objects, revision, err = source.Watch(context.Background(), "endpoints", revision, clock.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(revision).To(Equal(int64(12)))
	g.Expect(objects).To(Equal([]Object{{Name: "b", Revision: 11}, {Name: "a", Revision: 8, Deleted: true}}))
	g.Expect(store.lists).To(BeZero(), "the store must not be called")
}

// Guards against waiting for a relay that does not answer. A VM whose relay was cut
// off received the withdrawal of a key only after 3.1 s.
func TestRelaySourceCallsStoreIfRelayIsUnreachable(t *testing.T) {
	g := NewWithT(t)
	_, source, calls, _ := newRelaySource(t)
	calls.err = errors.New("cut off")
	_, revision, err := source.Watch(context.Background(), "endpoints", 8, clock.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(revision).To(Equal(int64(99)))
}

func TestRelaySourceDoesNotCallStoreInOutage(t *testing.T) {
	g := NewWithT(t)
	relay, source, _, store := newRelaySource(t)
	relay.recordFailure(errors.New("down"))
	_, _, err := source.List(context.Background(), "endpoints")
	g.Expect(err).To(HaveOccurred())
	g.Expect(store.lists).To(BeZero())
}

// Guards against following a follower. A VM that had become a relay while it still
// followed another one reported no changes to its followers for two seconds.
func TestFollowerIsNoRelay(t *testing.T) {
	g := NewWithT(t)
	relay, source, _, _ := newRelaySource(t)
	relay.Source = source
	_, _, err := source.List(context.Background(), "endpoints")
	g.Expect(err).To(MatchError(ContainSubstring("no relay reaches the store")))
}

func TestRelaySourceCallsStoreAtIntervalsIfRelaysLackContact(t *testing.T) {
	g := NewWithT(t)
	relay, source, _, store := newRelaySource(t)
	manual := &clock.Manual{}
	manual.Advance(clock.Minute)
	source.Clock = manual.Clock()
	relay.recordFailure(errors.New("call refused"))
	for range 100 {
		_, _, _ = source.List(context.Background(), "endpoints")
		store.err = errors.New("down")
		manual.Advance(100)
	}
	g.Expect(store.lists).To(BeNumerically("~", 5, 1))
}

// Guards against unpacked replies. In a fleet of 302 VMs with 3000 endpoints, a relay
// sent each new entry unpacked to each VM of its region.
func TestReplyIsPackedOnceForAllFollowers(t *testing.T) {
	g := NewWithT(t)
	relay, source, _, _ := newRelaySource(t)
	var many []Object
	for i := range int64(100) {
		many = append(many, Object{Name: fmt.Sprint("endpoint-", i), Revision: 11 + i, Spec: []byte(`{"address":"10.0.0.1:80","zone":"n1"}`)})
	}
	relay.watch(t, 110, many...)
	receiver := NewReceiver(relay.Feed)
	var first, second Changes
	g.Expect(receiver.Watch(WatchRequest{Kind: "endpoints", After: 10}, &first)).To(Succeed())
	g.Expect(first.Objects).To(BeEmpty())
	g.Expect(len(first.Packed)).To(BeNumerically("<", 2500))
	g.Expect(receiver.Watch(WatchRequest{Kind: "endpoints", After: 10}, &second)).To(Succeed())
	g.Expect(&second.Packed[0]).To(BeIdenticalTo(&first.Packed[0]))
	objects, revision, err := source.Watch(context.Background(), "endpoints", 10, clock.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(revision).To(Equal(int64(110)))
	g.Expect(objects).To(Equal(many))
}

func TestWatchBeyondKeptChangesNeedsNewListing(t *testing.T) {
	g := NewWithT(t)
	relay, source, _, _ := newRelaySource(t)
	for i := range int64(maxChanges + 10) {
		relay.watch(t, 11+i, Object{Name: "b", Revision: 11 + i})
	}
	_, _, err := source.Watch(context.Background(), "endpoints", 12, clock.Second)
	g.Expect(err).To(MatchError(ContainSubstring("keeps the changes")))
}

func TestCatchUpFetchesPeersCopy(t *testing.T) {
	g := NewWithT(t)
	peer := newTestFeed(t, Object{Name: "a", Revision: 8})
	peer.watch(t, 30, Object{Name: "b", Revision: 30})
	behind := newTestFeed(t, Object{Name: "a", Revision: 8})
	behind.CatchUp(context.Background(), &fakePeerCaller{receiver: NewReceiver(peer.Feed)}, "peer", 30)
	g.Expect(behind.names).To(Equal([]string{"a", "b"}))
}
