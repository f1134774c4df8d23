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

// source is a store that answers as it is told.
type source struct {
	objects  []Object
	revision int64
	err      error
	lists    int
}

// List implements Source.
func (s *source) List(context.Context, string) ([]Object, int64, error) {
	s.lists++
	return s.objects, s.revision, s.err
}

// Watch implements Source.
func (s *source) Watch(context.Context, string, int64, clock.Millis) ([]Object, int64, error) {
	return s.objects, s.revision, s.err
}

// follower is a feed with what it told last.
type follower struct {
	*Feed
	manual *clock.Manual
	source *source
	names  []string
	// othersReach says that the store answers another VM.
	othersReach bool
}

func newFollower(t *testing.T, objects ...Object) *follower {
	t.Helper()
	f := &follower{manual: &clock.Manual{}, source: &source{objects: objects, revision: 10}}
	f.Feed = &Feed{Kind: "endpoints", Source: f.source, Clock: f.manual.Clock(), DelaysRemovals: func() bool { return f.NewestChange() >= 0 }, CanPeerReachStore: func() bool { return f.othersReach }, OnChange: func(objects map[string]Object) {
		f.names = slices.Sorted(maps.Keys(objects))
	}}
	f.manual.Advance(clock.Minute)
	NewWithT(t).Expect(f.step(context.Background(), true)).To(Succeed())
	return f
}

// watch lets the store tell of changes up to a revision.
func (f *follower) watch(t *testing.T, revision int64, objects ...Object) {
	t.Helper()
	f.source.objects, f.source.revision, f.source.err = objects, revision, nil
	NewWithT(t).Expect(f.step(context.Background(), false)).To(Succeed())
}

func TestAnOlderObjectNeverReplacesANewerOne(t *testing.T) {
	g := NewWithT(t)
	f := newFollower(t, Object{Name: "a", Revision: 8, Spec: []byte("new")})
	f.watch(t, 11, Object{Name: "a", Revision: 7, Spec: []byte("old")})
	g.Expect(string(f.objects["a"].Spec)).To(Equal("new"))
	f.Adopt([]Object{{Name: "b", Revision: 3}}, 9)
	g.Expect(f.names).To(Equal([]string{"a"}), "a peer's older copy tells nothing")
}

func TestARemovalTakesEffectAtOnceWhileTheStoreAnswers(t *testing.T) {
	g := NewWithT(t)
	f := newFollower(t, Object{Name: "a", Revision: 8}, Object{Name: "b", Revision: 9})
	f.watch(t, 11, Object{Name: "a", Revision: 11, Deleted: true})
	g.Expect(f.names).To(Equal([]string{"b"}))
}

// Entries lapse while the store is away, and are written again by their owners
// within two seconds of its return.
func TestEntriesThatLapsedInAnOutageAreGoneOnlyIfTheyStayAway(t *testing.T) {
	g := NewWithT(t)
	f := newFollower(t, Object{Name: "a", Revision: 8}, Object{Name: "b", Revision: 9})
	f.fail(errors.New("down"))
	f.manual.Advance(5 * clock.Second)
	// One VM is answered before the others when the store returns.
	f.othersReach = true
	f.fail(errors.New("down"))
	f.manual.Advance(500)
	f.watch(t, 13, Object{Name: "a", Revision: 12, Deleted: true}, Object{Name: "b", Revision: 13, Deleted: true})
	g.Expect(f.names).To(Equal([]string{"a", "b"}))
	f.watch(t, 14, Object{Name: "b", Revision: 14})
	f.manual.Advance(lapseGrace)
	f.watch(t, 14)
	g.Expect(f.names).To(Equal([]string{"b"}))
}

// A VM that the store turned away while it answered the others held a removal back
// and sent to an endpoint 3.1 s after it had left.
func TestAVMThatWasTurnedAwayHoldsNoRemovalBack(t *testing.T) {
	g := NewWithT(t)
	f := newFollower(t, Object{Name: "a", Revision: 8}, Object{Name: "b", Revision: 9})
	f.othersReach = true
	for range 8 {
		f.fail(errors.New("turned away"))
		f.manual.Advance(500)
	}
	f.watch(t, 13, Object{Name: "a", Revision: 12, Deleted: true})
	g.Expect(f.names).To(Equal([]string{"b"}))
}

func TestAListAfterAForgottenHistoryRemovesWhatItLacks(t *testing.T) {
	g := NewWithT(t)
	f := newFollower(t, Object{Name: "a", Revision: 8}, Object{Name: "b", Revision: 9})
	f.source.objects, f.source.revision = []Object{{Name: "b", Revision: 9}}, 20
	g.Expect(f.step(context.Background(), true)).To(Succeed())
	g.Expect(f.names).To(Equal([]string{"b"}))
}

// When 394 endpoints registered, each VM that followed the store called it eight
// times a second.
func TestChangesThatComeInABurstAreReadByFewCalls(t *testing.T) {
	g := NewWithT(t)
	f := newFollower(t)
	f.manual.Advance(clock.Minute)
	f.watch(t, 11, Object{Name: "a", Revision: 11})
	g.Expect(f.pause()).To(Equal(batchPause), "a change alone is followed at once")
	f.manual.Advance(batchPause)
	f.watch(t, 12, Object{Name: "b", Revision: 12})
	g.Expect(f.pause()).To(Equal(burstPause))
	f.manual.Advance(burstSpan)
	f.watch(t, 13, Object{Name: "c", Revision: 13})
	g.Expect(f.pause()).To(Equal(batchPause))
}

func TestAFailedCallLeavesTheCopyAsItIs(t *testing.T) {
	g := NewWithT(t)
	f := newFollower(t, Object{Name: "a", Revision: 8})
	f.source.err = errors.New("down")
	g.Expect(f.step(context.Background(), false)).NotTo(Succeed())
	f.fail(f.source.err)
	g.Expect(f.HasStoreContact()).To(BeFalse())
	g.Expect(f.names).To(Equal([]string{"a"}))
}

// peers carries calls to one relay.
type peers struct {
	receiver *Receiver
	err      error
}

// Call implements Caller.
func (p *peers) Call(_ context.Context, _, method string, args, reply any) error {
	if p.err != nil {
		return p.err
	}
	if method == fetchMethod {
		return p.receiver.Fetch(args.(string), reply.(*Changes))
	}
	return p.receiver.Watch(args.(WatchRequest), reply.(*Changes))
}

// relayed returns a relay, the source of a VM that follows it, and its store.
func relayed(t *testing.T) (relay *follower, follows *RelaySource, calls *peers, direct *source) {
	t.Helper()
	relay = newFollower(t, Object{Name: "a", Revision: 8})
	manual := &clock.Manual{}
	calls = &peers{receiver: NewReceiver(relay.Feed)}
	direct = &source{revision: 99}
	follows = &RelaySource{Store: direct, Peers: calls, Clock: manual.Clock(), Relays: func() ([]vm.VM, bool) { return []vm.VM{{Name: "relay"}}, false }}
	follows.note(nil, false)
	return relay, follows, calls, direct
}

func TestAVMFollowsItsRelay(t *testing.T) {
	g := NewWithT(t)
	relay, follows, _, direct := relayed(t)
	objects, revision, err := follows.List(context.Background(), "endpoints")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(objects).To(HaveLen(1))
	relay.watch(t, 11, Object{Name: "b", Revision: 11})
	relay.watch(t, 12, Object{Name: "a", Revision: 8, Deleted: true})
	objects, revision, err = follows.Watch(context.Background(), "endpoints", revision, clock.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(revision).To(Equal(int64(12)))
	g.Expect(objects).To(Equal([]Object{{Name: "b", Revision: 11}, {Name: "a", Revision: 8, Deleted: true}}))
	g.Expect(direct.lists).To(BeZero(), "the store gets no call")
}

// A VM whose relay was cut off learned of a withdrawn key after 3.1 s.
func TestAVMWhoseRelayIsCutOffAsksTheStore(t *testing.T) {
	g := NewWithT(t)
	_, follows, calls, _ := relayed(t)
	calls.err = errors.New("cut off")
	_, revision, err := follows.Watch(context.Background(), "endpoints", 8, clock.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(revision).To(Equal(int64(99)))
}

func TestInAnOutageFollowersDoNotAllAskTheStore(t *testing.T) {
	g := NewWithT(t)
	relay, follows, _, direct := relayed(t)
	relay.fail(errors.New("down"))
	_, _, err := follows.List(context.Background(), "endpoints")
	g.Expect(err).To(HaveOccurred())
	g.Expect(direct.lists).To(BeZero())
}

// A VM that had become a relay while it still followed another one told its
// followers for two seconds that nothing had changed.
func TestAVMThatFollowsARelayCantBeFollowed(t *testing.T) {
	g := NewWithT(t)
	relay, follows, _, _ := relayed(t)
	relay.Source = follows
	_, _, err := follows.List(context.Background(), "endpoints")
	g.Expect(err).To(MatchError(ContainSubstring("no relay reaches the store")))
}

func TestWhereNoRelayReachesTheStoreAVMAsksItNowAndThen(t *testing.T) {
	g := NewWithT(t)
	relay, follows, _, direct := relayed(t)
	manual := &clock.Manual{}
	manual.Advance(clock.Minute)
	follows.Clock = manual.Clock()
	relay.fail(errors.New("turned away"))
	for range 100 {
		_, _, _ = follows.List(context.Background(), "endpoints")
		direct.err = errors.New("down")
		manual.Advance(100)
	}
	g.Expect(direct.lists).To(BeNumerically("~", 5, 1))
}

// At 302 VMs and 3000 endpoints, a relay told each entry that registered to each VM
// of its region as it is.
func TestManyChangesArePackedOnceForAllWhoFollow(t *testing.T) {
	g := NewWithT(t)
	relay, follows, _, _ := relayed(t)
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
	objects, revision, err := follows.Watch(context.Background(), "endpoints", 10, clock.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(revision).To(Equal(int64(110)))
	g.Expect(objects).To(Equal(many))
}

func TestAFollowerThatIsFarBehindListsAgain(t *testing.T) {
	g := NewWithT(t)
	relay, follows, _, _ := relayed(t)
	for i := range int64(keptChanges + 10) {
		relay.watch(t, 11+i, Object{Name: "b", Revision: 11 + i})
	}
	_, _, err := follows.Watch(context.Background(), "endpoints", 12, clock.Second)
	g.Expect(err).To(MatchError(ContainSubstring("keeps the changes")))
}

func TestAVMThatMissesAChangeFetchesAPeersCopy(t *testing.T) {
	g := NewWithT(t)
	peer := newFollower(t, Object{Name: "a", Revision: 8})
	peer.watch(t, 30, Object{Name: "b", Revision: 30})
	behind := newFollower(t, Object{Name: "a", Revision: 8})
	behind.CatchUp(context.Background(), &peers{receiver: NewReceiver(peer.Feed)}, "peer", 30)
	g.Expect(behind.names).To(Equal([]string{"a", "b"}))
}
