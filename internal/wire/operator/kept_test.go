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

// settleUntil runs a server until it has accounted for a withdrawal, and returns
// the key as the store then has it.
func settleUntil(g Gomega, server *operator.Server, objects *fakeStore, id string) (stored key.Key) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		server.Run(ctx)
	}()
	g.Eventually(func() bool {
		for _, line := range server.Account.Decisions() {
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

func TestWithdrawalIsSettledByAPeerWhenTheAskedVMEnds(t *testing.T) {
	g := NewWithT(t)
	objects := &fakeStore{objects: map[string]store.Object{}}
	asked, _ := newServer(objects)
	g.Expect(call(asked, http.MethodPut, "/v1/documents/c", operator.ApplyRequest{Text: textOf(1), Author: "a"}, nil)).To(Equal(http.StatusOK))
	var issued operator.IssueResponse
	g.Expect(call(asked, http.MethodPost, "/v1/keys", operator.IssueRequest{Workspace: "w", Author: "a"}, &issued)).To(Equal(http.StatusOK))
	objects.drop = 1000
	g.Expect(call(asked, http.MethodPost, "/v1/keys/"+issued.ID+"/withdraw?author=b", nil, nil)).To(Equal(http.StatusGatewayTimeout))
	objects.drop = 0

	// The asked VM's Run never goes on. A peer knows of the withdrawal as pending.
	other, _ := newServer(objects)
	_, err := other.Replica.MergePage(asked.Replica.Page(0), 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(other.Replica.UnconfirmedWithdrawals()).To(Equal([]string{issued.ID}))
	stored := settleUntil(g, other, objects, issued.ID)
	g.Expect(stored.Withdrawn).To(BeTrue())
	g.Expect(stored.WithdrawnAt).NotTo(BeZero())
	g.Expect(stored.WithdrawnBy).To(BeEmpty())

	// Once it stands, another VM's try leaves it as it is.
	version := objects.objects[key.ObjectPrefix+issued.ID].Version
	third, _ := newServer(objects)
	_, err = third.Replica.MergePage(asked.Replica.Page(0), 0)
	g.Expect(err).NotTo(HaveOccurred())
	settleUntil(g, third, objects, issued.ID)
	g.Expect(objects.objects[key.ObjectPrefix+issued.ID].Version).To(Equal(version))
}

// viewer shows a view that does not change.
type viewer struct{ view *membership.View }

func (v viewer) View() *membership.View { return v.view }

func TestOneVMOfADataCentreSettlesWhatAPeerWasAsked(t *testing.T) {
	g := NewWithT(t)
	member := func(name string, reachable bool) membership.Member {
		return membership.Member{VM: vm.VM{Name: name, DataCentre: "d"}, Reachable: reachable}
	}
	for reachable, first := range map[bool]bool{true: false, false: true} {
		server, _ := newServer(&fakeStore{objects: map[string]store.Object{}})
		server.Viewer = viewer{&membership.View{Self: "entry-1", Members: []membership.Member{member("entry-0", reachable), member("entry-1", true)}}}
		g.Expect(operator.IsFirstOfDataCentre(server)).To(Equal(first))
	}
}

func TestAccountKeepsWhoDecidedAndWhenAfterTheVMHasEnded(t *testing.T) {
	g := NewWithT(t)
	objects := &fakeStore{objects: map[string]store.Object{}}
	asked, _ := newServer(objects)
	g.Expect(call(asked, http.MethodPut, "/v1/documents/c", operator.ApplyRequest{Text: textOf(1), Author: "ann"}, nil)).To(Equal(http.StatusOK))
	var issued operator.IssueResponse
	g.Expect(call(asked, http.MethodPost, "/v1/keys", operator.IssueRequest{Workspace: "w", Author: "ben"}, &issued)).To(Equal(http.StatusOK))
	g.Expect(call(asked, http.MethodPost, "/v1/keys/"+issued.ID+"/withdraw?author=cat", nil, nil)).To(Equal(http.StatusOK))
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
	var told operator.Account
	g.Expect(call(other, http.MethodGet, "/v1/account", nil, &told)).To(Equal(http.StatusOK))
	g.Expect(told.Lines).To(BeEmpty())
	g.Expect(told.Missing).To(BeEmpty())
	whys := map[string]account.Decision{}
	for _, line := range told.Stored {
		g.Expect(line.At).NotTo(BeZero())
		whys[line.What+" "+line.Subject] = line
	}
	g.Expect(whys["document_accepted c"].Why).To(HavePrefix("ann"))
	g.Expect(whys["key_issued "+issued.ID].Why).To(HavePrefix("ben"))
	g.Expect(whys["key_withdrawn "+issued.ID].Why).To(HavePrefix("cat"))
	g.Expect(whys["lease_taken mover"].VM).To(Equal("entry-7"))
	g.Expect(whys["lease_taken mover"].Term).To(BeEquivalentTo(1))
}

func TestAccountSaysWhenTheStoreGivesNoAnswer(t *testing.T) {
	g := NewWithT(t)
	server, _ := newServer(&fakeStore{objects: map[string]store.Object{}})
	server.Store = listless{server.Store}
	server.Replica = &replica.Replica{}
	var told operator.Account
	g.Expect(call(server, http.MethodGet, "/v1/account", nil, &told)).To(Equal(http.StatusOK))
	g.Expect(told.Missing).To(Equal([]string{"store"}))
}

// listless is a store that lists nothing.
type listless struct{ operator.Store }

func (listless) List(context.Context, string) (store.Listing, error) {
	return store.Listing{}, store.ErrUnavailable.New("down")
}
