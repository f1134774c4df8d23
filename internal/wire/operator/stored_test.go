package operator_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/account"
	"baobabladder.example/baobabladder/internal/control/lease"
	"baobabladder.example/baobabladder/internal/wire/operator"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/key"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/replica"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// runUntilWithdrawn runs a server until its decision log has the withdrawal of a key,
// and returns the stored key.
func runUntilWithdrawn(g Gomega, server *operator.Server, objects *fakeStore, id string) (stored key.Key) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		server.Run(ctx)
	}()
	g.Eventually(func() bool {
		for _, line := range server.Decisions.Decisions() {
			if line.What == "key_withdrawn" && line.Subject == id {
				return true
			}
		}
		return false
	}, "30s").Should(BeTrue())
	cancel()
	<-ended
	g.Expect(json.Unmarshal(objects.objects[key.ObjectPrefix+id].Value, &stored)).To(Succeed())
	return stored
}

func TestPeerWritesPendingWithdrawalOfEndedVM(t *testing.T) {
	g := NewWithT(t)
	objects := &fakeStore{objects: map[string]store.Object{}}
	first, _ := newServer(objects)
	g.Expect(call(first, http.MethodPut, "/v1/documents/c", operator.ApplyRequest{Text: documentText(1), Author: "a"}, nil)).To(Equal(http.StatusOK))
	var issued operator.IssueResponse
	g.Expect(call(first, http.MethodPost, "/v1/keys", operator.IssueRequest{Workspace: "w", Author: "a"}, &issued)).To(Equal(http.StatusOK))
	objects.droppedWrites = 1000
	g.Expect(call(first, http.MethodPost, "/v1/keys/"+issued.ID+"/withdraw?author=b", nil, nil)).To(Equal(http.StatusGatewayTimeout))
	objects.droppedWrites = 0

	// The first VM does not run Run. A peer learns the unconfirmed withdrawal from it.
	other, _ := newServer(objects)
	_, err := other.Replica.MergePage(first.Replica.Page(0), 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(other.Replica.UnconfirmedWithdrawals()).To(Equal([]string{issued.ID}))
	stored := runUntilWithdrawn(g, other, objects, issued.ID)
	g.Expect(stored.Withdrawn).To(BeTrue())
	g.Expect(stored.WithdrawnAt).NotTo(BeZero())
	g.Expect(stored.WithdrawnBy).To(BeEmpty())

	// After the withdrawal was written, another VM does not write it again.
	version := objects.objects[key.ObjectPrefix+issued.ID].Version
	third, _ := newServer(objects)
	_, err = third.Replica.MergePage(first.Replica.Page(0), 0)
	g.Expect(err).NotTo(HaveOccurred())
	runUntilWithdrawn(g, third, objects, issued.ID)
	g.Expect(objects.objects[key.ObjectPrefix+issued.ID].Version).To(Equal(version))
}

// fixedViewer always returns the same view.
type fixedViewer struct{ view *membership.View }

func (v fixedViewer) View() *membership.View { return v.view }

func TestOnlyFirstVMOfDataCentreWritesPeerWithdrawals(t *testing.T) {
	g := NewWithT(t)
	member := func(name string, reachable bool) membership.Member {
		return membership.Member{VM: vm.VM{Name: name, DataCentre: "d"}, Reachable: reachable}
	}
	for reachable, first := range map[bool]bool{true: false, false: true} {
		server, _ := newServer(&fakeStore{objects: map[string]store.Object{}})
		server.Viewer = fixedViewer{&membership.View{Self: "entry-1", Members: []membership.Member{member("entry-0", reachable), member("entry-1", true)}}}
		g.Expect(operator.IsFirstOfDataCentre(server)).To(Equal(first))
	}
}

func TestAccountListsStoredDecisionsOfEndedVM(t *testing.T) {
	g := NewWithT(t)
	objects := &fakeStore{objects: map[string]store.Object{}}
	first, _ := newServer(objects)
	g.Expect(call(first, http.MethodPut, "/v1/documents/c", operator.ApplyRequest{Text: documentText(1), Author: "ann"}, nil)).To(Equal(http.StatusOK))
	var issued operator.IssueResponse
	g.Expect(call(first, http.MethodPost, "/v1/keys", operator.IssueRequest{Workspace: "w", Author: "ben"}, &issued)).To(Equal(http.StatusOK))
	g.Expect(call(first, http.MethodPost, "/v1/keys/"+issued.ID+"/withdraw?author=cat", nil, nil)).To(Equal(http.StatusOK))
	held := &lease.Lease{Duty: "mover", Self: vm.ID{Name: "entry-7", Incarnation: 1}, Store: objects}
	g.Eventually(func() bool {
		_ = held.Step(context.Background())
		_, isHeld := held.Term()
		return isHeld
	}, "30s").Should(BeTrue())

	other, _ := newServer(objects)
	var all []store.Object
	for _, object := range objects.objects {
		all = append(all, object)
	}
	_, err := other.Replica.Merge(store.Listing{Objects: all, Revision: objects.revision})
	g.Expect(err).NotTo(HaveOccurred())
	var merged operator.Account
	g.Expect(call(other, http.MethodGet, "/v1/account", nil, &merged)).To(Equal(http.StatusOK))
	g.Expect(merged.Lines).To(BeEmpty())
	g.Expect(merged.Missing).To(BeEmpty())
	decisions := map[string]account.Decision{}
	for _, line := range merged.Stored {
		g.Expect(line.At).NotTo(BeZero())
		decisions[line.What+" "+line.Subject] = line
	}
	g.Expect(decisions["document_accepted c"].Why).To(HavePrefix("ann"))
	g.Expect(decisions["key_issued "+issued.ID].Why).To(HavePrefix("ben"))
	g.Expect(decisions["key_withdrawn "+issued.ID].Why).To(HavePrefix("cat"))
	g.Expect(decisions["lease_taken mover"].VM).To(Equal("entry-7"))
	g.Expect(decisions["lease_taken mover"].Term).To(BeEquivalentTo(1))
}

func TestAccountListsUnavailableStoreAsMissing(t *testing.T) {
	g := NewWithT(t)
	server, _ := newServer(&fakeStore{objects: map[string]store.Object{}})
	server.Store = unlistableStore{server.Store}
	server.Replica = &replica.Replica{}
	var merged operator.Account
	g.Expect(call(server, http.MethodGet, "/v1/account", nil, &merged)).To(Equal(http.StatusOK))
	g.Expect(merged.Missing).To(Equal([]string{"store"}))
}

// unlistableStore is a store whose List always fails.
type unlistableStore struct{ operator.Store }

func (unlistableStore) List(context.Context, string) (store.Listing, error) {
	return store.Listing{}, store.ErrUnavailable.New("down")
}
