package divider_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/account"
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/divider"
	"baobabladder.example/baobabladder/internal/policy/divide"
	"baobabladder.example/baobabladder/internal/policy/limit"
	"baobabladder.example/baobabladder/internal/wire/peer"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const timeout = 20 * clock.Second

// fakeLease is held by the VM named by holder.
type fakeLease struct {
	holder *atomic.Pointer[string]
	self   string
}

func (l fakeLease) Term() (term int64, held bool) { return 1, *l.holder.Load() == l.self }

type entryVM struct {
	divider *divider.Divider
	limiter *limit.Limiter
	slots   *limit.SlotPool
}

var endpoint = contract.SlotsResource("artes", "e1")

func totals() map[contract.Resource]divide.Total {
	return map[contract.Resource]divide.Total{
		contract.RateResource("artes", "large"): {Share: contract.Share{Rate: 1_000_000, Size: 1_000_000}},
		endpoint:                                {Share: contract.Share{Size: 3}, Location: divide.Location{Region: "r1", DataCentre: "r1-1"}},
	}
}

// startFleet starts VMs that call each other by net/rpc over loopback.
func startFleet(t *testing.T, size int) []*entryVM {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	leaseHolder := &atomic.Pointer[string]{}
	first := "vm0"
	leaseHolder.Store(&first)
	log := logrus.New()
	log.SetOutput(io.Discard)
	members := make([]membership.Member, size)
	listeners := make([]net.Listener, size)
	for i := range members {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		listeners[i] = listener
		entry := vm.VM{Name: fmt.Sprintf("vm%d", i), Region: "r1", DataCentre: fmt.Sprintf("r1-%d", i), PeerAddress: listener.Addr().String()}
		members[i] = membership.Member{VM: entry, Incarnation: 1, Reachable: true}
	}
	fleet := make([]*entryVM, size)
	for i := range fleet {
		view := &membership.View{Self: members[i].Name, Members: members}
		client := &peer.Client{}
		peers := &divider.PeerClient{Peers: client, View: func() *membership.View { return view }}
		holder := &contract.Holder{Self: members[i].ID()}
		limiter := &limit.Limiter{Holder: holder, Peers: peers, MaxWait: limit.DefaultMaxWait}
		slots := &limit.SlotPool{Holder: holder, Lenders: peers}
		d := &divider.Divider{
			Self: members[i].ID(), Holder: holder, Limiter: limiter, Lease: fakeLease{leaseHolder, members[i].Name}, Peers: client,
			View: peers.View, Totals: totals, Decisions: &account.DecisionLog{VM: members[i].Name}, Log: log,
		}
		server := peer.NewServer()
		g.Expect(server.Register(divider.ReceiverName, &divider.Receiver{Divider: d})).To(Succeed())
		go func() { _ = server.Serve(listeners[i]) }()
		go func() { _ = d.Run(ctx) }()
		t.Cleanup(func() { server.Close(); client.Close() })
		fleet[i] = &entryVM{divider: d, limiter: limiter, slots: slots}
	}
	return fleet
}

func sizes(fleet []*entryVM, resource contract.Resource) (sum int64) {
	for _, v := range fleet {
		sum += v.divider.Holder.Allocation(resource).Share().Size
	}
	return sum
}

func TestOffersDistributeSharesOverRPC(t *testing.T) {
	g := NewWithT(t)
	fleet := startFleet(t, 3)
	rate := contract.RateResource("artes", "large")
	g.Eventually(func() int64 { return sizes(fleet, rate) }, timeout.Duration()).Should(Equal(int64(1_000_000)))
	g.Eventually(func() int64 { return sizes(fleet, endpoint) }, timeout.Duration()).Should(Equal(int64(3)))
	for _, v := range fleet {
		g.Eventually(func() error { return v.limiter.Admit(context.Background(), "artes", "large") }, timeout.Duration()).Should(Succeed())
	}
	lines := fleet[0].divider.Decisions.Decisions()
	g.Expect(lines).To(ContainElement(HaveField("What", "limits_moved")))
}

func TestReleasedSlotReturnsToItsLender(t *testing.T) {
	g := NewWithT(t)
	fleet := startFleet(t, 3)
	g.Eventually(func() int64 { return sizes(fleet, endpoint) }, timeout.Duration()).Should(Equal(int64(3)))
	borrower := fleet[2]
	for borrower.slots.Take(endpoint) {
		continue
	}
	free := func() (sum int) {
		for _, v := range fleet {
			sum += v.slots.Free(endpoint)
		}
		return sum
	}
	for free() > 0 {
		g.Eventually(func() bool {
			_, ok := borrower.slots.Borrow(context.Background(), []contract.Resource{endpoint})
			return ok || free() == 0
		}, timeout.Duration()).Should(BeTrue())
	}
	_, ok := fleet[0].slots.Borrow(context.Background(), []contract.Resource{endpoint})
	g.Expect(ok).To(BeFalse())
	for range 3 {
		borrower.slots.Release(endpoint)
	}
	g.Eventually(free, timeout.Duration()).Should(Equal(3))
}

// Guards against a search for tokens of a link at one end only: the peers with tokens
// left may be at the other end of the link than the VM that reads a response.
func TestNearestPeersAtLinkReturnsPeersAtBothEnds(t *testing.T) {
	g := NewWithT(t)
	view := &membership.View{Self: "vm0"}
	for i, region := range []string{"clyde", "clyde", "lothian", "moray"} {
		view.Members = append(view.Members, membership.Member{VM: vm.VM{Name: fmt.Sprintf("vm%d", i), Region: region}, Reachable: true})
	}
	peers := &divider.PeerClient{View: func() *membership.View { return view }}
	g.Expect(peers.NearestPeersAtLink(contract.LinkResource("clyde", "lothian"))).To(Equal([]string{"vm1", "vm2"}))
	g.Expect(peers.NearestPeersAtLink(contract.LinkResource("lothian", "clyde"))).To(Equal([]string{"vm1", "vm2"}))
	g.Expect(peers.NearestPeersAtLink(contract.LinkResource("clyde", "moray"))).To(Equal([]string{"vm1", "vm3"}))
}
