package replica_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/key"
	"baobabladder.example/baobabladder/internal/world/replica"
)

func object(objectKey string, version int64, value any) store.Object {
	encoded, _ := json.Marshal(value)
	return store.Object{Key: objectKey, Version: version, Value: encoded}
}

func documentAt(version, revision int64, text string) store.Object {
	return object("documents/c", version, document.Record{Name: "c", Revision: revision, Text: text})
}

const text = "[service]\nname = c\n[route /c/]\nwork = catalogue\n"

func merge(r *replica.Replica, objects ...store.Object) error {
	_, err := r.Merge(store.Listing{Objects: objects})
	return err
}

func TestInvalidObjectLeavesTheLastValidValueInForce(t *testing.T) {
	g := NewWithT(t)
	r := &replica.Replica{}
	g.Expect(merge(r, documentAt(1, 1, text), object("keys/k", 2, key.Key{ID: "k", Digest: "d"}))).To(Succeed())
	g.Expect(merge(r, documentAt(3, 2, "[nonsense]\n"), store.Object{Key: "keys/k", Version: 4, Value: []byte("{")})).NotTo(Succeed())
	g.Expect(r.Snapshot().Service("c").Revision).To(BeEquivalentTo(1))
	g.Expect(r.Snapshot().Keys).To(HaveKey(key.Digest("d")))
}

func TestDeletionIsNotUndoneByAnOlderObject(t *testing.T) {
	g := NewWithT(t)
	r := &replica.Replica{}
	g.Expect(merge(r, documentAt(1, 1, text))).To(Succeed())
	g.Expect(merge(r, store.Object{Key: "documents/c", Version: 5, Deleted: true})).To(Succeed())
	g.Expect(merge(r, documentAt(3, 2, text))).To(Succeed())
	g.Expect(r.Snapshot().Service("c")).To(BeNil())
	other := &replica.Replica{}
	_, err := other.MergePage(r.Page(0), 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(merge(other, documentAt(3, 2, text))).To(Succeed())
	g.Expect(other.Snapshot().Service("c")).To(BeNil())
}

func TestPagesCarryAllObjectsAndOnlyTheirRevision(t *testing.T) {
	g := NewWithT(t)
	source, target := &replica.Replica{}, &replica.Replica{}
	large := make([]byte, replica.PageBytes/2)
	for version := int64(1); version <= 7; version++ {
		g.Expect(merge(source, store.Object{Key: "moves/" + string(rune('a'+version)), Version: version, Value: large})).To(Succeed())
	}
	_, err := source.Merge(store.Listing{Revision: 6})
	g.Expect(err).NotTo(HaveOccurred())
	source.WithdrawKeys("k")
	pages, after := 0, int64(0)
	for {
		page := source.Page(after)
		pages++
		_, err := target.MergePage(page, after)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(target.Summary().Revision).To(BeNumerically("<=", 6))
		if page.Next == 0 {
			break
		}
		g.Expect(target.Summary().Revision).To(Equal(min(page.Next, 6)))
		after = page.Next
	}
	g.Expect(pages).To(BeNumerically(">", 2))
	g.Expect(target.Summary()).To(Equal(source.Summary()))
}

func TestPageAfterAnUnreachedRevisionKeepsTheRevision(t *testing.T) {
	g := NewWithT(t)
	r := &replica.Replica{}
	_, err := r.MergePage(replica.Page{Listing: store.Listing{Revision: 9, Objects: []store.Object{documentAt(9, 2, text)}}}, 8)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Summary().Revision).To(BeZero())
	g.Expect(r.Snapshot().Service("c").Revision).To(BeEquivalentTo(2))
}

func TestPendingWithdrawalAppliesToAKeyThatArrivesLater(t *testing.T) {
	g := NewWithT(t)
	r := &replica.Replica{}
	r.WithdrawKeys("k")
	g.Expect(merge(r, object("keys/k", 1, key.Key{ID: "k", Digest: "d"}))).To(Succeed())
	g.Expect(r.Snapshot().Keys["d"].Withdrawn).To(BeTrue())
}
