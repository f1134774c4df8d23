package divide_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/policy/divide"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// drive is a ledger with the members a, b and c, whose reports the test makes.
type drive struct {
	manual clock.Manual
	ledger *divide.Allocator
	totals map[contract.Resource]divide.Total
}

func newDrive(resource contract.Resource, total contract.Share, names ...string) *drive {
	d := &drive{totals: map[contract.Resource]divide.Total{resource: {Share: total}}}
	d.ledger = divide.New(1, "a", d.manual.Clock())
	d.list(names...)
	return d
}

func (d *drive) list(names ...string) {
	var members []divide.Member
	for _, name := range names {
		members = append(members, divide.Member{ID: vm.ID{Name: name, Incarnation: 1}})
	}
	d.ledger.SetMembers(members, 0)
	d.ledger.SetTotals(d.totals)
}

func (d *drive) report(name string, round int64, full bool, holdings ...contract.Holding) *contract.Report {
	report := &contract.Report{VM: vm.ID{Name: name, Incarnation: 1}, Term: 1, Round: round, Full: full, Holdings: holdings}
	d.ledger.ApplyReport(report)
	return report
}

// grants returns what a plan sends to each VM.
func (d *drive) grants() map[string]contract.Grant {
	grants := map[string]contract.Grant{}
	for _, offers := range d.ledger.Plan() {
		for _, grant := range offers.Offer.Grants {
			grants[offers.VM.Name] = grant
		}
	}
	return grants
}

var (
	workspace = contract.RateResource("artes", "large")
	artes     = contract.SlotsResource("artes", "e1")
)

func holding(resource contract.Resource, seq, size int64) contract.Holding {
	return contract.Holding{Resource: resource, Seq: seq, Share: contract.Share{Size: size}}
}

func TestRaiseWaitsUntilCutIsConfirmed(t *testing.T) {
	g := NewWithT(t)
	d := newDrive(artes, contract.Share{Size: 6}, "a", "b")
	d.report("a", 0, true, holding(artes, 0, 6))
	d.report("b", 0, true)
	first := d.grants()
	g.Expect(first["a"].Share.Size).To(Equal(int64(3)))
	g.Expect(first["b"].Share.Size).To(BeZero())
	d.report("a", 1, false, holding(artes, first["a"].Seq, 5))
	d.report("b", 1, false, holding(artes, first["b"].Seq, 0))
	g.Expect(d.grants()["b"].Share.Size).To(Equal(int64(1)), "a still runs 5")
	d.report("a", 2, false, holding(artes, first["a"].Seq, 3))
	g.Expect(d.grants()["b"].Share.Size).To(Equal(int64(3)))
}

func TestLateReportOfAnOlderGrantFreesNothing(t *testing.T) {
	g := NewWithT(t)
	d := newDrive(artes, contract.Share{Size: 6}, "a", "b")
	d.report("a", 0, true, holding(artes, 0, 6))
	d.report("b", 0, true)
	d.grants()
	d.report("a", 1, false, holding(artes, 0, 2))
	g.Expect(d.grants()["b"].Share.Size).To(BeZero())
}

func TestSlotsOfGoneVMStayCountedWhileBorrowed(t *testing.T) {
	g := NewWithT(t)
	d := newDrive(artes, contract.Share{Size: 6}, "a", "b", "c")
	d.report("a", 0, true)
	d.report("b", 0, true)
	d.report("c", 0, true, holding(artes, 0, 6))
	d.grants()
	d.list("a", "b")
	g.Expect(d.sum()).To(BeZero(), "nobody has said what is borrowed from c")
	lender := vm.ID{Name: "c", Incarnation: 1}
	borrower := &contract.Report{VM: vm.ID{Name: "b", Incarnation: 1}, Term: 1, Round: 2, Borrowed: []contract.Borrowed{{Lender: lender, Resource: artes, Count: 2}}}
	d.ledger.ApplyReport(borrower)
	g.Expect(d.sum()).To(BeZero(), "a has not said so")
	d.report("a", 3, false)
	g.Expect(d.sum()).To(Equal(int64(4)))
	d.report("b", 4, false)
	g.Expect(d.sum()).To(Equal(int64(6)))
}

// sum returns the slots granted to all.
func (d *drive) sum() (sum int64) {
	for _, grant := range d.grants() {
		sum += grant.Share.Size
	}
	return sum
}

func TestColdStartWithDeadListedVMServes(t *testing.T) {
	g := NewWithT(t)
	d := newDrive(workspace, contract.Share{Rate: 90_000, Size: 90_000}, "a", "b", "c", "d", "e", "f", "g", "h", "dead")
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		d.report(name, 0, true)
	}
	g.Expect(d.sum()).To(Equal(int64(45_000)))
}

func TestNothingIsGrantedBeforeAMajorityReported(t *testing.T) {
	g := NewWithT(t)
	d := newDrive(workspace, contract.Share{Rate: 90_000, Size: 90_000}, "a", "b", "c", "d")
	d.report("a", 0, true)
	d.report("b", 0, true)
	g.Expect(d.sum()).To(BeZero())
	d.report("c", 0, true)
	g.Expect(d.sum()).To(BeNumerically(">", 0))
}

func TestNothingMovesAtRest(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(9, limits(1))
	f.rest()
	for range 100 {
		f.manual.Advance(250)
		f.tick()
		g.Expect(f.nodes[0].ledger.Reallocated()).To(BeEmpty())
	}
}

// Only VMs that send uploads over a link, or read answers from it, hold a share.
func TestVMsAtBothEndsOfALinkHoldIt(t *testing.T) {
	g := NewWithT(t)
	share := contract.Share{Rate: 1_000_000, Size: 250_000}
	f := newFleet(9, map[contract.Resource]divide.Total{link: {Share: share, Location: divide.Location{Region: "r0"}, FarRegion: "r1"}})
	f.rest()
	for _, n := range f.nodes {
		held := n.holder.Allocation(link).Share()
		g.Expect(held != contract.Share{}).To(Equal(n.place.Region != "r2"), n.name)
	}
}

func TestDrainedAndLeavingEndpointsHaveNoSlots(t *testing.T) {
	g := NewWithT(t)
	service := &document.Service{
		Name:       "artes",
		Workspaces: []document.Workspace{{Name: "small", Rate: 2500, Burst: 5}},
		Endpoints:  []document.Endpoint{{Name: "e1", Slots: 3, Region: "r1"}, {Name: "e2", Slots: 3}, {Name: "e3", Slots: 3}},
		Drains:     []document.Drain{{Kind: document.DrainRegion, Name: "r1"}},
	}
	totals := divide.Totals([]*document.Service{service}, nil, map[string]vm.State{"e2": vm.StateLeaving})
	g.Expect(totals[contract.SlotsResource("artes", "e1")].Size).To(BeZero())
	g.Expect(totals[contract.SlotsResource("artes", "e2")].Size).To(BeZero())
	g.Expect(totals[contract.SlotsResource("artes", "e3")].Size).To(Equal(int64(3)))
	g.Expect(totals[contract.RateResource("artes", "small")].Share).To(Equal(contract.Share{Rate: 2500, Size: 5000}))
}

// The rate was the whole cap, and the burst came on top of it.
func TestNoSecondOfALinkHoldsMoreThanItsCap(t *testing.T) {
	g := NewWithT(t)
	fleet := &document.Fleet{Links: []document.Link{{A: "clyde", B: "lothian", Mbit: 8}}}
	totals := divide.Totals(nil, fleet, nil)
	for _, link := range []contract.Resource{contract.LinkResource("clyde", "lothian"), contract.LinkResource("lothian", "clyde")} {
		g.Expect(totals[link].Rate + totals[link].Size).To(Equal(int64(1_000_000)))
	}
}

// A divider that was paused does not know that its successor gave away what a
// restarted VM had.
func TestPausedDividerCannotGrantToRestartedVM(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3, limits(1))
	f.rest()
	paused := f.nodes[0].ledger
	f.nodes[0].ledger = nil
	f.lead(f.nodes[1])
	for range 8 {
		f.lean(f.nodes[1])
		f.tick()
	}
	f.kill(f.nodes[2])
	f.start(f.nodes[2])
	f.nodes[0].ledger = paused
	grant := func() {
		for range 4 {
			f.plan(f.nodes[0])
			f.deliverAll()
		}
	}
	grant()
	f.fence(f.nodes[2])
	grant()
	for resource := range f.totals {
		g.Expect(f.nodes[2].holder.Allocation(resource).Share()).To(Equal(contract.Share{}), string(resource))
	}
	f.nodes[0].ledger = nil
	f.tick()
	f.rush(30 * clock.Second)
	g.Expect(f.err).NotTo(HaveOccurred())
}

// A document lowered the slots while two VMs used more than their new shares. When
// one of them had ended its requests, its new share let it start another beside
// the other's.
func TestLoweredSlotsAreNotStartedBesideOldRequests(t *testing.T) {
	g := NewWithT(t)
	d := newDrive(artes, contract.Share{Size: 4}, "a", "b")
	d.report("a", 0, true)
	d.report("b", 0, true)
	first := d.grants()
	g.Expect([]int64{first["a"].Share.Size, first["b"].Share.Size}).To(Equal([]int64{2, 2}))
	full := holding(artes, first["a"].Seq, 2)
	full.Busy = 2
	d.report("a", 1, false, full)
	d.report("b", 1, false, full)
	d.totals[artes] = divide.Total{Share: contract.Share{Size: 2}}
	d.list("a", "b")
	lowered := d.grants()
	g.Expect([]int64{lowered["a"].Share.Size, lowered["b"].Share.Size}).To(Equal([]int64{0, 0}))
	d.report("a", 2, false, contract.Holding{Resource: artes, Seq: lowered["a"].Seq, Share: contract.Share{Size: 2}, Busy: 2})
	d.report("b", 2, false, holding(artes, lowered["b"].Seq, 0))
	g.Expect(d.grants()).To(BeEmpty(), "a still runs 2")
	d.report("a", 3, false, holding(artes, lowered["a"].Seq, 0))
	g.Expect(d.sum()).To(Equal(int64(2)))
}

// A frozen VM ran more than the cap of a lowered total, and a new divider gave the
// rest away.
func TestUnreportedVMMayHoldMoreThanTheCap(t *testing.T) {
	g := NewWithT(t)
	d := newDrive(artes, contract.Share{Size: 2}, "a", "b", "frozen")
	d.report("a", 0, true, holding(contract.SlotsResource("artes", "other"), 0, 1))
	d.report("b", 0, true)
	for _, offers := range d.ledger.Plan() {
		for _, grant := range offers.Offer.Grants {
			g.Expect(grant.Share.Size).To(BeZero(), string(grant.Resource))
		}
	}
}

func TestShareMovesOnlyWhenAMajorityReported(t *testing.T) {
	g := NewWithT(t)
	d := newDrive(artes, contract.Share{Size: 6}, "a", "b", "c", "d")
	d.report("a", 0, true, holding(artes, 0, 6))
	d.report("b", 0, true)
	first := d.grants()
	g.Expect(first["a"].Share.Size).To(BeNumerically("<", 6))
	d.report("a", 1, false, holding(artes, first["a"].Seq, first["a"].Share.Size))
	d.report("b", 1, false, holding(artes, first["b"].Seq, 0))
	g.Expect(d.grants()).To(BeEmpty())
	d.report("c", 1, true)
	g.Expect(d.sum()).To(BeNumerically(">", 0))
}

func TestTokensOfALoweredTotalAreNotGivenAgain(t *testing.T) {
	g := NewWithT(t)
	d := newDrive(workspace, contract.Share{Rate: 30_000, Size: 30_000}, "a", "b")
	held := contract.Holding{Resource: workspace, Share: contract.Share{Rate: 60_000, Size: 60_000}}
	d.report("a", 0, true, held)
	d.report("b", 0, true)
	cut := d.grants()["a"]
	d.report("a", 1, false, contract.Holding{Resource: workspace, Seq: cut.Seq, Share: cut.Share, Surrendered: 45_000})
	raise := d.grants()["b"]
	g.Expect(raise.Share.Size).To(Equal(int64(15_000)))
	g.Expect(raise.Tokens).To(Equal(int64(15_000)))
	d.report("b", 2, false, contract.Holding{Resource: workspace, Seq: raise.Seq, Share: raise.Share})
	d.totals[workspace] = divide.Total{Share: contract.Share{Rate: 60_000, Size: 60_000}}
	d.list("a", "b")
	again := d.grants()
	g.Expect(again["a"].Tokens).To(BeZero())
	g.Expect(again["b"].Tokens).To(Equal(int64(15_000)))
}

func TestRestartedVMGetsAShareAgain(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3, limits(1))
	f.rest()
	f.kill(f.nodes[2])
	f.start(f.nodes[2])
	for range 8 {
		f.tick()
	}
	for resource, total := range f.totals {
		sum := contract.Share{}
		for _, n := range f.nodes {
			sum = sum.Plus(n.holder.Allocation(resource).Share())
		}
		g.Expect(sum).To(Equal(total.Share), string(resource))
	}
}

// asked returns the VMs that the next plan asks.
func (d *drive) asked() (names []string) {
	for _, offers := range d.ledger.Plan() {
		names = append(names, offers.VM.Name)
	}
	return names
}

func TestVMsAtRestAreAskedRarely(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(9, limits(1))
	f.rest()
	offers := 0
	for range 40 {
		offers += len(f.nodes[0].ledger.Plan())
		f.plan(f.nodes[0])
		f.deliverAll()
		f.pass(250)
	}
	g.Expect(offers).To(BeNumerically("<=", 9*6))
	f.nodes[4].holder.Allocation(workspace).AddUnmet(contract.TokensPerRequest)
	f.tick()
	g.Expect(f.nodes[0].ledger.Plan()).To(ContainElement(HaveField("VM.Name", "vm0004")), "it told the divider")
}

func TestUnansweredOfferIsRepeatedAtOnce(t *testing.T) {
	g := NewWithT(t)
	d := newDrive(artes, contract.Share{Size: 2}, "a", "b")
	d.report("a", 0, true)
	d.report("b", 0, true)
	for round := int64(1); round <= 4; round++ {
		grants := d.grants()
		d.report("a", round, false, holding(artes, grants["a"].Seq, 1))
		d.report("b", round, false, holding(artes, grants["b"].Seq, 1))
	}
	d.asked()
	d.report("a", 5, false)
	d.report("b", 5, false)
	g.Expect(d.asked()).To(BeEmpty())
	d.manual.Advance(2 * clock.Second)
	g.Expect(d.asked()).To(Equal([]string{"a", "b"}))
	d.report("a", 7, false)
	g.Expect(d.asked()).To(Equal([]string{"b"}))
	d.list("a", "b", "c")
	g.Expect(d.asked()).To(Equal([]string{"a", "b", "c"}))
}

// A document lowered the slots to 2 while a VM, cut off now, ran 2 and a ran 1. A new
// divider granted a the slot that it ran on, so that another request followed.
func TestNewTermGrantsNoSlotForARequestAboveTheShare(t *testing.T) {
	g := NewWithT(t)
	d := newDrive(artes, contract.Share{Size: 2}, "a", "b", "away")
	above := contract.Holding{Resource: artes, Busy: 1}
	d.report("a", 0, true, above)
	d.report("b", 0, true)
	first := d.grants()
	g.Expect(first["a"].Share.Size).To(BeZero())
	above.Seq, above.Busy = first["a"].Seq, 0
	d.report("a", 1, false, above)
	d.report("b", 1, false, contract.Holding{Resource: artes, Seq: first["b"].Seq})
	g.Expect(d.grants()).To(BeEmpty(), "nobody knows what runs at the VM that is away")
}

// After a long rest the ledger plans no resource again without a cause. Each of
// these is one.
func TestLedgerPlansAgainAfterALongRest(t *testing.T) {
	sum := func(f *fleet, resource contract.Resource) (sum int64) {
		for _, n := range f.nodes {
			sum += n.holder.Allocation(resource).Share().Size
		}
		return sum
	}
	ticks := func(f *fleet, count int) {
		for range count {
			f.tick()
			f.pass(tickInterval)
		}
	}
	rested := func() *fleet {
		f := newFleet(4, limits(1))
		f.rest()
		ticks(f, 320)
		return f
	}
	t.Run("slots are short", func(t *testing.T) {
		f := rested()
		for range 8 {
			f.nodes[1].holder.Allocation(endpoints[2]).AddUnmet(4)
			ticks(f, 1)
		}
		NewWithT(t).Expect(f.nodes[1].holder.Allocation(endpoints[2]).Share().Size).To(Equal(int64(3)), "the cap")
	})
	t.Run("limits grow, and offers get lost", func(t *testing.T) {
		g := NewWithT(t)
		f := rested()
		f.totals = limits(2)
		f.sync(f.nodes[0])
		f.plan(f.nodes[0])
		f.messages = nil
		ticks(f, 4)
		for resource, total := range f.totals {
			g.Expect(sum(f, resource)).To(Equal(total.Size), string(resource))
		}
	})
	t.Run("demand is reported before a deal is due", func(t *testing.T) {
		f := rested()
		part := f.nodes[2].holder.Allocation(link)
		f.nodes[1].holder.Allocation(link).AddUnmet(1_000_000)
		ticks(f, 4)
		before := part.Share().Rate
		part.AddUnmet(10_000_000)
		ticks(f, 2)
		NewWithT(t).Expect(part.Share().Rate).To(Equal(before))
		ticks(f, 12)
		NewWithT(t).Expect(part.Share().Rate).To(BeNumerically(">", before))
	})
}
