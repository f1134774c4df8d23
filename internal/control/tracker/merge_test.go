package tracker

import (
	"context"
	"maps"
	"os"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/standin/fuzz"
)

func TestMain(m *testing.M) { os.Exit(fuzz.Main(m, fuzz.Config{Seed: 36, Checks: 10000})) }

// Guards against endpoints that come back after they have left: a listing that took long was
// merged over a peer's newer copy, and nothing removed again what it brought back.
func TestListingOlderThanCopyBringsNothingBack(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t)
	f.Adopt([]Object{{Name: "a", Revision: 8}, {Name: "c", Revision: 19}}, 20, nil)
	f.applyListing([]Object{{Name: "a", Revision: 8}, {Name: "b", Revision: 9}, {Name: "d", Revision: 21}}, 12)
	g.Expect(f.names).To(Equal([]string{"a", "c", "d"}), "b was removed by 20, c was added after 12, d was changed after 20")
	g.Expect(f.Revision()).To(Equal(int64(20)))
}

// Guards against the same for a late reply, while removals are delayed.
func TestLateReplyBringsNothingBack(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t, Object{Name: "a", Revision: 8})
	f.recoveredAt = f.manual.Clock().Now()
	f.Adopt([]Object{{Name: "a", Revision: 8}}, 20, nil)
	f.mergeReply(10, []Object{{Name: "b", Revision: 15}, {Name: "b", Revision: 18, Deleted: true}, {Name: "c", Revision: 21}}, 21)
	g.Expect(f.names).To(Equal([]string{"a", "c"}))
}

// Guards against an object that stays for ever because the peer whose copy was adopted had
// only delayed its removal.
func TestAdoptedCopyKeepsDelayedRemovals(t *testing.T) {
	g := NewWithT(t)
	peer := newTestFeed(t, Object{Name: "a", Revision: 8}, Object{Name: "b", Revision: 9})
	peer.recoveredAt = peer.manual.Clock().Now()
	peer.watch(t, 30, Object{Name: "a", Revision: 29, Deleted: true}, Object{Name: "c", Revision: 30})
	g.Expect(peer.names).To(Equal([]string{"a", "b", "c"}))
	behind := newTestFeed(t, Object{Name: "a", Revision: 8})
	behind.CatchUp(context.Background(), &fakePeerCaller{receiver: NewReceiver(peer.Feed)}, "peer", 30)
	g.Expect(behind.names).To(Equal([]string{"a", "b", "c"}))
	behind.manual.Advance(removalDelay)
	behind.watch(t, 30)
	g.Expect(behind.names).To(Equal([]string{"b", "c"}))
}

// A listing that settles what the store lost decides also if the copy has advanced meanwhile.
func TestSettlingListingThatIsOlderThanCopyDecides(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t, written("a", "1", 0, 8), written("lost", "1", 0, 9))
	f.DelaysRemovals = nil
	f.watch(t, 11, Object{Name: "b", Revision: 11, Deleted: true}, Object{Name: "back", Revision: 10})
	f.watch(t, 12, Object{Name: "back", Revision: 12, Deleted: true})
	f.list(t, RevisionInEra(1, 4), written("a", "1", 1, 3), written("back", "1", 1, 4))
	g.Expect(f.names).To(Equal([]string{"a", "lost"}))
	f.manual.Advance(restoreGrace)
	f.watch(t, RevisionInEra(1, 9), written("new", "1", 1, 9))
	f.list(t, RevisionInEra(1, 6), written("a", "1", 1, 3), written("back", "1", 1, 4))
	g.Expect(f.names).To(Equal([]string{"a", "back", "new"}))
}

// Guards against a delayed removal that is forgotten because an older listing still has the
// object.
func TestOlderListingDoesNotCancelDelayedRemoval(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t, Object{Name: "a", Revision: 8})
	f.recoveredAt = f.manual.Clock().Now()
	f.watch(t, 12, Object{Name: "a", Revision: 12, Deleted: true})
	f.applyListing([]Object{{Name: "a", Revision: 8}}, 11)
	f.manual.Advance(removalDelay)
	f.watch(t, 12)
	g.Expect(f.names).To(BeEmpty())
}

// storeModel is a store whose objects come and go, with all changes that it has had.
type storeModel struct {
	objects map[string]Object
	changes []Object
}

func (s *storeModel) revision() int64 { return int64(len(s.changes)) }

func (s *storeModel) change(name string, isRemoved bool) {
	object := Object{Name: name, Revision: s.revision() + 1, Deleted: isRemoved}
	s.changes = append(s.changes, object)
	delete(s.objects, name)
	if !isRemoved {
		s.objects[name] = object
	}
}

// list reads a page of one object, or of the rest.
func (s *storeModel) list(from string, isLast bool) (page []Object, next string) {
	for _, name := range slices.Sorted(maps.Keys(s.objects)) {
		if name < from {
			continue
		}
		if page = append(page, s.objects[name]); !isLast {
			return page, name + "0"
		}
	}
	return page, from
}

// Whatever listings, replies and peers' copies a feed gets, however late, it ends with what
// the store has.
func TestCopyEndsLikeTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &storeModel{objects: map[string]Object{}}
		store.change("z", false)
		manual := &clock.Manual{}
		manual.Advance(clock.Minute)
		feeds := make([]*Feed, 2)
		for i := range feeds {
			feeds[i] = &Feed{Kind: "endpoints", Clock: manual.Clock(), DelaysRemovals: func() bool { return true }}
			feeds[i].recoveredAt = manual.Clock().Now()
		}
		pick := func() *Feed { return rapid.SampledFrom(feeds).Draw(t, "feed") }
		var late []func()
		var listing []Object
		var listedAt int64
		next := ""
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				store.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Bool().Draw(t, "removed"))
			},
			"watch": func(*rapid.T) {
				feed, after, until := pick(), int64(0), store.revision()
				if after = feed.Revision(); after == 0 || after > until {
					return
				}
				changes := slices.Clone(store.changes[after:until])
				late = append(late, func() { feed.mergeReply(after, changes, until) })
			},
			"list": func(t *rapid.T) {
				if next == "" {
					listing, listedAt = nil, store.revision()
				}
				isLast := rapid.Bool().Draw(t, "last")
				page, following := store.list(next, isLast)
				listing, next = append(listing, page...), following
				if isLast {
					feed, whole, revision := pick(), listing, listedAt
					late, next = append(late, func() { feed.applyListing(whole, revision) }), ""
				}
			},
			"fetch": func(*rapid.T) {
				feed, peer := pick(), feeds[0].fullCopy()
				late = append(late, func() { feed.Adopt(peer.Objects, peer.Revision, peer.Leaving) })
			},
			"deliver": func(t *rapid.T) {
				if len(late) > 0 {
					at := rapid.IntRange(0, len(late)-1).Draw(t, "at")
					late[at]()
					late = slices.Delete(late, at, at+1)
				}
			},
			"pass": func(t *rapid.T) { manual.Advance(clock.Millis(rapid.IntRange(1, 1500).Draw(t, "ms"))) },
		})
		store.change("d", false)
		manual.Advance(2 * removalDelay)
		for _, feed := range feeds {
			if after := feed.Revision(); after > 0 {
				feed.mergeReply(after, store.changes[after:], store.revision())
				manual.Advance(2 * removalDelay)
				feed.mergeReply(store.revision(), nil, store.revision())
				if !maps.EqualFunc(feed.objects, store.objects, func(one, other Object) bool { return one.Revision == other.Revision }) {
					t.Fatalf("the copy is %v, the store has %v", feed.objects, store.objects)
				}
			}
		}
	})
}
