package tracker

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// list makes the feed list objects at a revision.
func (f *testFeed) list(t *testing.T, revision int64, objects ...Object) {
	t.Helper()
	f.source.objects, f.source.revision, f.source.err = objects, revision, nil
	NewWithT(t).Expect(f.callSource(context.Background(), true)).To(Succeed())
}

// written returns an object as it was written in an era.
func written(name, content string, era, number int64) Object {
	return Object{Name: name, Revision: RevisionInEra(era, number), Spec: []byte(content)}
}

func (f *testFeed) content(name string) string { return string(f.objects[name].Spec) }

func TestChangeOfNewEraReplacesObjectWithHigherNumber(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t, written("a", "old", 0, 9))
	f.list(t, RevisionInEra(1, 4), written("a", "old", 1, 3))
	f.watch(t, RevisionInEra(1, 6), written("a", "new", 1, 6))
	g.Expect(f.content("a")).To(Equal("new"))
	g.Expect(f.Revision()).To(Equal(RevisionInEra(1, 6)))
}

// The store's number may be the same as before, with another content.
func TestChangeOfNewEraUnderTheSameNumberIsReported(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t, written("a", "ready", 0, 9))
	f.list(t, RevisionInEra(1, 4), written("a", "ready", 1, 3))
	changed := 0
	f.OnChange = func(map[string]Object) { changed++ }
	f.watch(t, RevisionInEra(1, 9), written("a", "draining", 1, 9))
	g.Expect(changed).To(Equal(1))
	g.Expect(f.content("a")).To(Equal("draining"))
}

func TestAcknowledgedObjectsAreKeptUntilTheirOwnersHadTimeToWrite(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t, written("a", "2", 0, 8), written("b", "2", 0, 9), written("c", "2", 0, 10))
	f.DelaysRemovals = nil
	f.list(t, RevisionInEra(1, 4), written("a", "1", 1, 3), written("c", "2", 1, 4))
	g.Expect(f.content("a")).To(Equal("2"), "an older content must not replace a newer one")
	g.Expect(f.content("b")).To(Equal("2"), "what the store lost must be kept")
	g.Expect(f.IsConfirmed("a")).To(BeFalse())
	g.Expect(f.IsConfirmed("b")).To(BeFalse())
	g.Expect(f.IsConfirmed("c")).To(BeTrue())
	g.Expect(f.mustSettle()).To(BeFalse())
	g.Expect(f.watchTimeout()).To(Equal(restoreGrace))
	f.manual.Advance(restoreGrace)
	g.Expect(f.mustSettle()).To(BeTrue())
	f.list(t, RevisionInEra(1, 5), written("a", "1", 1, 3), written("c", "2", 1, 4))
	g.Expect(f.mustSettle()).To(BeFalse())
	g.Expect(f.content("a")).To(Equal("1"), "after the grace the store decides")
	g.Expect(f.names).To(Equal([]string{"a", "c"}))
}

func TestListedObjectThatIsCertainlyNewerReplacesKeptOne(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t, written("a", "2", 0, 8), written("b", "2", 0, 9))
	f.IsNewer = func(object, other Object) bool { return string(object.Spec) > string(other.Spec) }
	f.list(t, RevisionInEra(1, 12), written("a", "3", 1, 4), written("b", "1", 1, 12))
	g.Expect(f.content("a")).To(Equal("3"), "its owner says so")
	g.Expect(f.content("b")).To(Equal("1"), "its number was given out after the copy's")
}

func TestRemovedObjectDoesNotComeBackWithTheStore(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t, written("a", "1", 0, 8), written("b", "1", 0, 9))
	f.watch(t, 11, Object{Name: "b", Revision: 11, Deleted: true})
	f.list(t, RevisionInEra(1, 9), written("a", "1", 1, 8), written("b", "1", 1, 9))
	g.Expect(f.names).To(Equal([]string{"a"}))
	f.watch(t, RevisionInEra(1, 10), written("b", "2", 1, 10))
	g.Expect(f.names).To(Equal([]string{"a", "b"}), "its owner wrote it again")
}

func TestEntriesLostWithTheStoreAreRemovedUnlessTheirOwnersRenewThem(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t, written("a", "1", 0, 8), written("b", "1", 0, 9))
	f.list(t, RevisionInEra(1, 4))
	g.Expect(f.names).To(Equal([]string{"a", "b"}))
	f.watch(t, RevisionInEra(1, 5), written("a", "1", 1, 5))
	f.manual.Advance(removalDelay)
	f.watch(t, RevisionInEra(1, 5))
	g.Expect(f.names).To(Equal([]string{"a"}))
}

// Guards against a peer that has not noticed the store's return yet.
func TestPeersCopyOfEarlierEraIsNotAdopted(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t, written("a", "1", 0, 8))
	f.list(t, RevisionInEra(1, 4), written("a", "1", 1, 3))
	f.Adopt([]Object{written("a", "0", 0, 80)}, RevisionInEra(0, 90), nil)
	g.Expect(f.content("a")).To(Equal("1"))
	g.Expect(f.NewestChange()).To(Equal(RevisionInEra(1, 3)))
}

func TestFollowersOfAnEarlierEraMustListAgain(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t, written("a", "1", 0, 8))
	before := f.Revision()
	f.list(t, RevisionInEra(1, 4), written("a", "1", 1, 3))
	changes, _ := f.changesNow(before)
	g.Expect(changes.HistoryGone).To(BeTrue())
	changes, _ = f.changesNow(f.Revision())
	g.Expect(changes.HistoryGone).To(BeFalse())
}

func TestWatchAcrossErasListsTheKindAgain(t *testing.T) {
	g := NewWithT(t)
	f := newTestFeed(t, written("a", "1", 0, 8))
	f.source.err = ErrEraChanged.New("the store is in era 1")
	ctx, cancel := context.WithTimeout(context.Background(), (300 * clock.Millis(1)).Duration())
	defer cancel()
	lists := f.source.lists
	f.Run(ctx)
	g.Expect(f.source.lists).To(BeNumerically(">", lists))
}
