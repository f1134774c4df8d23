package heartbeat_test

import (
	"context"
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/heartbeat"
	"baobabladder.example/baobabladder/internal/control/lease"
)

// relayFleet is a VM a that sends one heartbeat per round, and its peers b and c.
type relayFleet struct {
	*network
	manual  *clock.Manual
	a, b, c *heartbeat.Heartbeat
	// isCatchUpFailing makes the catch-ups of VM a fail.
	isCatchUpFailing bool
}

func startRelayFleet() *relayFleet {
	r := &relayFleet{network: &network{vms: map[string]*heartbeat.Heartbeat{}}, manual: &clock.Manual{}}
	r.manual.Advance(1)
	r.a, r.b, r.c = r.start("a", 1), r.start("b", 1), r.start("c", 1)
	for _, h := range []*heartbeat.Heartbeat{r.a, r.b, r.c} {
		h.Clock, h.Freshness.Clock, h.MaxPeersPerRound = r.manual.Clock(), r.manual.Clock(), 1
		h.CatchUp = func(context.Context, string, *heartbeat.AskReply) (bool, error) {
			if r.isCatchUpFailing && h == r.a {
				return false, errors.New("cut")
			}
			return true, nil
		}
		h.SetList(listOf("a", "b", "c"), 1)
		h.Refresh()
	}
	r.manual.Advance(6 * clock.Second)
	return r
}

func (r *relayFleet) ask(g Gomega, from *heartbeat.Heartbeat, address string) {
	g.Expect(from.Ask(context.Background(), address)).To(Succeed())
	from.Refresh()
}

func TestRelayedAgesAddUp(t *testing.T) {
	g := NewWithT(t)
	r := startRelayFleet()
	r.ask(g, r.b, "a")
	r.ask(g, r.b, "c")
	r.manual.Advance(1000)
	r.ask(g, r.a, "b")
	at, found := r.a.Freshness.PeerCompleteAsOf("c")
	g.Expect(found).To(BeTrue())
	g.Expect(r.manual.Clock().Now() - at).To(Equal(clock.Millis(1000)))
	age, known := r.a.Freshness.Age()
	g.Expect(known).To(BeTrue())
	g.Expect(age).To(Equal(clock.Millis(1000)))
}

func TestDataCentreWithAnUnknownVMHasNoRelayedAge(t *testing.T) {
	g := NewWithT(t)
	r := startRelayFleet()
	r.ask(g, r.b, "a")
	r.ask(g, r.a, "b")
	_, found := r.a.Freshness.PeerCompleteAsOf("c")
	g.Expect(found).To(BeFalse())
	_, known := r.a.Freshness.Age()
	g.Expect(known).To(BeFalse())
}

func TestRelayedAgesOfAPeerWithFailedCatchUpAreIgnored(t *testing.T) {
	g := NewWithT(t)
	r := startRelayFleet()
	r.ask(g, r.b, "a")
	r.ask(g, r.b, "c")
	r.isCatchUpFailing = true
	g.Expect(r.a.Ask(context.Background(), "b")).NotTo(Succeed())
	_, found := r.a.Freshness.PeerCompleteAsOf("c")
	g.Expect(found).To(BeFalse())
}

func TestRelayedAgesForAnotherListAreIgnored(t *testing.T) {
	g := NewWithT(t)
	r := startRelayFleet()
	r.ask(g, r.b, "a")
	r.ask(g, r.b, "c")
	// The newer list has d in place of c, so its digest differs from that of b's
	// list.
	r.a.SetList(listOf("a", "b", "d"), 2)
	r.ask(g, r.a, "b")
	_, found := r.a.Freshness.PeerCompleteAsOf("d")
	g.Expect(found).To(BeFalse())
}

func TestClaimsAreRelayedWithTheirAge(t *testing.T) {
	g := NewWithT(t)
	r := startRelayFleet()
	claim := lease.Claim{Duty: "divider", Holder: r.c.ID, Term: 3}
	r.c.Claims = func() []lease.Claim { return []lease.Claim{claim} }
	r.ask(g, r.b, "c")
	r.manual.Advance(500)
	r.ask(g, r.a, "b")
	received, age, found := r.a.PeerClaim("divider")
	g.Expect(found).To(BeTrue())
	g.Expect(received).To(Equal(claim))
	g.Expect(age).To(Equal(clock.Millis(500)))

	// The holder's own reply takes precedence over relayed claims.
	r.c.Claims = nil
	r.ask(g, r.a, "c")
	_, _, found = r.a.PeerClaim("divider")
	g.Expect(found).To(BeFalse())
}

func TestVMReportedMissingIsUnreachableUntilItReplies(t *testing.T) {
	g := NewWithT(t)
	r := startRelayFleet()
	for _, address := range []string{"b", "c"} {
		r.ask(g, r.a, address)
	}
	r.ask(g, r.b, "c")
	c := r.vms["c"]
	delete(r.vms, "c")
	r.manual.Advance(2 * clock.Second)
	r.ask(g, r.a, "b")
	g.Expect(r.a.View().Member("c").Reachable).To(BeTrue(), "no VM has reported c as unreachable yet")
	g.Expect(r.b.Ask(context.Background(), "c")).NotTo(Succeed())
	r.manual.Advance(2 * clock.Second)
	r.ask(g, r.a, "b")
	g.Expect(r.a.View().Member("c").Reachable).To(BeFalse())
	r.vms["c"] = c
	r.ask(g, r.a, "c")
	g.Expect(r.a.View().Member("c").Reachable).To(BeTrue())
}
