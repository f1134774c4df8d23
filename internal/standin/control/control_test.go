package control_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/standin/control"
	"baobabladder.example/baobabladder/internal/standin/endpoint"
	"baobabladder.example/baobabladder/internal/standin/store"
	"baobabladder.example/baobabladder/internal/world/vm"
)

func serve(t *testing.T, handler http.Handler) *control.Client {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return &control.Client{Address: strings.TrimPrefix(server.URL, "http://")}
}

func TestStoreControlAPI(t *testing.T) {
	g := NewWithT(t)
	s := store.New()
	client := serve(t, s.Handler())
	ctx := context.Background()
	faults := store.Faults{Unavailable: true, LostReplies: []store.LostReply{{KeyPrefix: "keys/", Count: 2}}, BlockedCallers: []string{"entry-1"}}
	g.Expect(client.SetStoreFaults(ctx, faults)).To(Succeed())
	g.Expect(s.Faults()).To(Equal(faults))
	g.Expect(client.PutVM(ctx, vm.VM{Name: "entry-1", Role: vm.RoleEntry})).To(Succeed())
	g.Expect(s.VMs()).To(HaveLen(1))
	g.Expect(client.RemoveVM(ctx, "entry-1")).To(Succeed())
	g.Expect(s.VMs()).To(BeEmpty())
	calls, err := client.StoreCallCounts(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(calls.Total).To(BeEmpty(), "control calls do not count as calls of the store's API")
}

func TestEndpointControlAPI(t *testing.T) {
	g := NewWithT(t)
	e := &endpoint.Endpoint{Slots: 3}
	client := serve(t, e)
	ctx := context.Background()
	faults := endpoint.Faults{Leaving: true, Response: endpoint.ResponseFault{Kind: endpoint.TruncatedResponse, Every: 2}}
	g.Expect(client.SetEndpointFaults(ctx, faults)).To(Succeed())
	g.Expect(e.Faults()).To(Equal(faults))
	counts, err := client.EndpointCounts(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(counts.Runs).To(BeZero())
}
