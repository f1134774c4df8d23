package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/standin/store"
	wire "baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// start serves a store over HTTP. The returned clock advances only when the test
// advances it.
func start(t *testing.T) (*store.Store, *wire.Client, *clock.Manual) {
	manual := &clock.Manual{}
	s := store.New()
	s.Clock = manual.Clock()
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	client := wire.New(server.URL + "/")
	t.Cleanup(client.HTTP.CloseIdleConnections)
	return s, client, manual
}

func TestWriteWithLostAnswerTakesEffect(t *testing.T) {
	g := NewWithT(t)
	s, client, _ := start(t)
	ctx := context.Background()
	s.SetFaults(store.Faults{LostReplies: []store.LostReply{{KeyPrefix: "keys/", Count: 1}}})
	_, err := client.Put(ctx, "keys/a", []byte("1"), 0)
	g.Expect(errorx.IsOfType(err, wire.ErrOutcomeUnknown)).To(BeTrue())
	object, err := client.Get(ctx, "keys/a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(object.Value)).To(Equal("1"))
	_, err = client.Put(ctx, "keys/a", []byte("2"), 0)
	g.Expect(errorx.IsOfType(err, wire.ErrConflict)).To(BeTrue())
	g.Expect(s.Faults().LostReplies[0].Count).To(BeZero())
}

func TestBudgetIsEnforcedPerSecond(t *testing.T) {
	g := NewWithT(t)
	s, client, manual := start(t)
	s.Budget = store.Budget{Reads: 2, Writes: 1}
	ctx := context.Background()
	put := func(key string) error { _, err := client.Put(ctx, key, nil, 0); return err }
	g.Expect(put("a")).To(Succeed())
	g.Expect(errorx.IsOfType(put("b"), wire.ErrOverBudget)).To(BeTrue())
	for i := 0; i < 2; i++ {
		_, err := client.VMs(ctx)
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err := client.List(ctx, "")
	g.Expect(errorx.IsOfType(err, wire.ErrOverBudget)).To(BeTrue())
	manual.Advance(clock.Second)
	g.Expect(put("b")).To(Succeed())
	calls := s.CallCounts()
	g.Expect(calls.Total).To(Equal(map[store.CallKind]int64{store.CallPut: 2, store.CallVMs: 2}))
	g.Expect(calls.OverBudget).To(Equal(int64(2)))
	g.Expect(calls.BusiestSecond).To(Equal(store.SecondCounts{Reads: 2, Writes: 1, Calls: map[store.CallKind]int64{store.CallPut: 1, store.CallVMs: 2}}))
	g.Expect(calls.Seconds).To(HaveLen(2))
}

func TestWaitingWatchCountsAsOneReadPerSecond(t *testing.T) {
	g := NewWithT(t)
	s, client, manual := start(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = client.Watch(ctx, []string{""}, 0, clock.Minute)
	}()
	g.Eventually(func() int { return s.CallCounts().WaitingWatches }, "10s").Should(Equal(1))
	manual.Advance(clock.Second)
	_, err := client.VMs(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.CallCounts().MaxReadsPerSecond).To(Equal(2))
	cancel()
	<-done
	g.Eventually(func() int { return s.CallCounts().WaitingWatches }, "10s").Should(BeZero())
}

func TestVMListLagsBehindChanges(t *testing.T) {
	g := NewWithT(t)
	s, client, manual := start(t)
	s.VMLag = 2 * clock.Second
	names := func() (names []string) {
		list, err := client.VMs(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		for _, v := range list.VMs {
			names = append(names, v.Name+" "+string(v.State))
		}
		return names
	}
	s.PutVM(vm.VM{Name: "entry-1", Role: vm.RoleEntry, State: vm.StateLive})
	g.Expect(names()).To(BeEmpty())
	manual.Advance(clock.Second)
	s.PutVM(vm.VM{Name: "entry-1", Role: vm.RoleEntry, State: vm.StateLeaving})
	manual.Advance(clock.Second)
	s.RemoveVM("entry-1")
	g.Expect(names()).To(Equal([]string{"entry-1 live"}))
	manual.Advance(clock.Second)
	g.Expect(names()).To(Equal([]string{"entry-1 leaving"}))
	manual.Advance(clock.Second)
	g.Expect(names()).To(BeEmpty())
}

func TestWatchDelayAndReorder(t *testing.T) {
	g := NewWithT(t)
	s, client, manual := start(t)
	ctx := context.Background()
	s.SetFaults(store.Faults{WatchDelay: clock.Second})
	for _, key := range []string{"a", "b"} {
		_, err := client.Put(ctx, key, nil, 0)
		g.Expect(err).NotTo(HaveOccurred())
	}
	listing, err := client.Watch(ctx, []string{""}, 0, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(listing).To(Equal(wire.Listing{Objects: []wire.Object{}}), "the revision must not cover changes that are still hidden")
	manual.Advance(clock.Second)
	listing, err = client.Watch(ctx, []string{""}, 0, clock.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(listing.Revision).To(Equal(int64(2)))

	s.SetFaults(store.Faults{WatchReorder: true})
	first, err := client.Watch(ctx, []string{""}, 0, clock.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect([]string{first.Objects[0].Key, first.Objects[1].Key}).To(Equal([]string{"b", "a"}))
	second, err := client.Watch(ctx, []string{""}, 1, clock.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second).To(Equal(first), "every second reply repeats the previous one")
}

func TestUnavailableEndsWaitingWatchesAndBlockingAffectsOneCaller(t *testing.T) {
	g := NewWithT(t)
	s, client, _ := start(t)
	ctx := context.Background()
	ended := make(chan error)
	go func() {
		_, err := client.Watch(ctx, []string{""}, 0, clock.Minute)
		ended <- err
	}()
	g.Eventually(func() int { return s.CallCounts().WaitingWatches }, "10s").Should(Equal(1))
	s.SetFaults(store.Faults{Unavailable: true})
	g.Eventually(ended, "10s").Should(Receive(HaveOccurred()))
	s.SetFaults(store.Faults{BlockedCallers: []string{"entry-1"}})
	listVMs := func(caller string) error {
		request, err := http.NewRequest(http.MethodGet, client.Base+"v1/vms", nil)
		g.Expect(err).NotTo(HaveOccurred())
		request.Header.Set(store.CallerHeader, caller)
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			err = response.Body.Close()
		}
		return err
	}
	g.Expect(listVMs("entry-1")).NotTo(Succeed())
	g.Expect(listVMs("entry-2")).To(Succeed())
}
