package heartbeat_test

import (
	"context"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/freshness"
	"baobabladder.example/baobabladder/internal/control/heartbeat"
	"baobabladder.example/baobabladder/internal/wire/peer"
	"baobabladder.example/baobabladder/internal/world/replica"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// network delivers heartbeats by address.
type network struct {
	vms map[string]*heartbeat.Heartbeat
	// isHanging is set for the addresses at which calls get no reply.
	isHanging map[string]bool
	// requests holds the last request to each address, if set.
	requests map[string]heartbeat.AskRequest
}

func (n *network) Call(ctx context.Context, address, _ string, args, reply any) error {
	if n.isHanging[address] {
		<-ctx.Done()
		return ctx.Err()
	}
	request, other := args.(heartbeat.AskRequest), n.vms[address]
	if other == nil {
		return peer.ErrUnreachable.New("no VM at the address")
	}
	if n.requests != nil {
		n.requests[address] = request
	}
	return heartbeat.NewReceiver(other).Ask(request, reply.(*heartbeat.AskReply))
}

func (n *network) start(name string, incarnation vm.Incarnation) *heartbeat.Heartbeat {
	h := &heartbeat.Heartbeat{
		Self:    vm.VM{Name: name, Role: vm.RoleEntry, State: vm.StateLive, DataCentre: "d", PeerAddress: name},
		ID:      vm.ID{Name: name, Incarnation: incarnation},
		Replica: &replica.Replica{}, Freshness: &freshness.Freshness{}, Peers: n,
	}
	n.vms[name] = h
	return h
}

func listOf(names ...string) (list []vm.VM) {
	for _, name := range names {
		list = append(list, vm.VM{Name: name, Role: vm.RoleEntry, State: vm.StateLive, DataCentre: "d", PeerAddress: name})
	}
	return list
}

func TestProfileIsSentOnceToEachIncarnation(t *testing.T) {
	g := NewWithT(t)
	n := &network{vms: map[string]*heartbeat.Heartbeat{}, requests: map[string]heartbeat.AskRequest{}}
	a := n.start("a", 1)
	n.start("b", 2)
	a.SetList(listOf("a", "b"), 1)
	ask := func() heartbeat.AskRequest {
		g.Expect(a.Ask(context.Background(), "b")).To(Succeed())
		return n.requests["b"]
	}
	g.Expect(ask().Profile).NotTo(BeNil())
	g.Expect(ask().Profile).To(BeNil())
	g.Expect(n.vms["b"].Targets()).To(HaveKey("a"))

	restarted := n.start("b", 3)
	g.Expect(ask().Profile).To(BeNil())
	a.Refresh()
	g.Expect(a.View().Member("b").Incarnation).To(Equal(vm.Incarnation(3)))
	g.Expect(ask().Profile).NotTo(BeNil())
	g.Expect(restarted.Targets()).To(HaveKey("a"))
	g.Expect(ask().Profile).To(BeNil())
}

func TestReplyWithoutAKnownProfileIsAnError(t *testing.T) {
	g := NewWithT(t)
	n := &network{vms: map[string]*heartbeat.Heartbeat{}}
	a := n.start("a", 1)
	a.Peers = emptyReplies{}
	a.SetList(listOf("a", "b"), 1)
	g.Expect(a.Ask(context.Background(), "b")).NotTo(Succeed())
	a.Refresh()
	g.Expect(a.View().Member("b").Reachable).To(BeFalse())
}

// emptyReplies returns an empty reply to each call.
type emptyReplies struct{}

func (emptyReplies) Call(context.Context, string, string, any, any) error { return nil }

func TestHangingPeerDelaysNoOther(t *testing.T) {
	g := NewWithT(t)
	n := &network{vms: map[string]*heartbeat.Heartbeat{}, isHanging: map[string]bool{"b": true}}
	a := n.start("a", 1)
	n.start("b", 1)
	n.start("c", 1)
	var caughtUp atomic.Int32
	a.CatchUp = func(context.Context, string, *heartbeat.AskReply) (bool, error) {
		caughtUp.Add(1)
		return true, nil
	}
	a.SetList(listOf("a", "b", "c"), 1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.Run(ctx)
	}()
	g.Eventually(caughtUp.Load, "20s").Should(BeNumerically(">=", 4))
	g.Expect(a.View().Member("c").Reachable).To(BeTrue())
	g.Expect(a.View().Member("b").Reachable).To(BeFalse())
	cancel()
	g.Eventually(done, "20s").Should(BeClosed())
}

func TestReplyToAnEarlierRequestIsIgnored(t *testing.T) {
	g := NewWithT(t)
	manual := &clock.Manual{}
	n := &network{vms: map[string]*heartbeat.Heartbeat{}}
	a, b := n.start("a", 1), n.start("b", 1)
	a.Clock, b.Clock = manual.Clock(), manual.Clock()
	a.SetList(listOf("a", "b"), 1)
	delayed := &delayedNetwork{network: n, beforeReturn: func() {
		manual.Advance(10)
		b.SetReady()
		a.Peers = n
		g.Expect(a.Ask(context.Background(), "b")).To(Succeed())
	}}
	a.Peers = delayed
	g.Expect(a.Ask(context.Background(), "b")).To(Succeed())
	a.Refresh()
	g.Expect(a.View().Member("b").Ready).To(BeTrue())
}

// delayedNetwork runs beforeReturn between a reply and its arrival.
type delayedNetwork struct {
	*network
	beforeReturn func()
}

func (d *delayedNetwork) Call(ctx context.Context, address, method string, args, reply any) error {
	err := d.network.Call(ctx, address, method, args, reply)
	d.beforeReturn()
	return err
}
