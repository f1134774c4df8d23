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

// allocatorDriver drives an allocator with reports made by the test.
type allocatorDriver struct {
	manual    clock.Manual
	allocator *divide.Allocator
	totals    map[contract.Resource]divide.Total
}

func newDriver(resource contract.Resource, total contract.Share, names ...string) *allocatorDriver {
	d := &allocatorDriver{totals: map[contract.Resource]divide.Total{resource: {Share: total}}}
	d.allocator = divide.New(1, "a", d.manual.Clock())
	d.setMembers(names...)
	return d
}

func (d *allocatorDriver) setMembers(names ...string) {
	var members []divide.Member
	for _, name := range names {
		members = append(members, divide.Member{ID: vm.ID{Name: name, Incarnation: 1}})
	}
	d.allocator.SetMembers(members, 0)
	d.allocator.SetTotals(d.totals)
}

func (d *allocatorDriver) report(name string, round int64, full bool, holdings ...contract.Holding) *contract.Report {
	report := &contract.Report{VM: vm.ID{Name: name, Incarnation: 1}, Term: 1, Round: round, Full: full, Holdings: holdings}
	d.allocator.ApplyReport(report)
	return report
}

// grants returns the last grant that a plan sends to each VM.
func (d *allocatorDriver) grants() map[string]contract.Grant {
	grants := map[string]contract.Grant{}
	for _, vmOffer := range d.allocator.Plan() {
		for _, grant := range vmOffer.Offer.Grants {
			grants[vmOffer.VM.Name] = grant
		}
	}
	return grants
}

var (
	workspaceRate = contract.RateResource("artes", "large")
	slots         = contract.SlotsResource("artes", "e1")
)

func holding(resource contract.Resource, seq, size int64) contract.Holding {
	return contract.Holding{Resource: resource, Seq: seq, Share: contract.Share{Size: size}}
}

func TestRaiseWaitsForConfirmedReduction(t *testing.T) {
	g := NewWithT(t)
	d := newDriver(slots, contract.Share{Size: 6}, "a", "b")
	d.report("a", 0, true, holding(slots, 0, 6))
	d.report("b", 0, true)
	first := d.grants()
	g.Expect(first["a"].Share.Size).To(Equal(int64(3)))
	g.Expect(first["b"].Share.Size).To(BeZero())
	d.report("a", 1, false, holding(slots, first["a"].Seq, 5))
	d.report("b", 1, false, holding(slots, first["b"].Seq, 0))
	g.Expect(d.grants()["b"].Share.Size).To(Equal(int64(1)), "a may still run 5 requests")
	d.report("a", 2, false, holding(slots, first["a"].Seq, 3))
	g.Expect(d.grants()["b"].Share.Size).To(Equal(int64(3)))
}

func TestReportOfOlderGrantFreesNothing(t *testing.T) {
	g := NewWithT(t)
	d := newDriver(slots, contract.Share{Size: 6}, "a", "b")
	d.report("a", 0, true, holding(slots, 0, 6))
	d.report("b", 0, true)
	d.grants()
	d.report("a", 1, false, holding(slots, 0, 2))
	g.Expect(d.grants()["b"].Share.Size).To(BeZero())
}

func TestSlotsOfRemovedVMStayCountedWhileBorrowed(t *testing.T) {
	g := NewWithT(t)
	d := newDriver(slots, contract.Share{Size: 6}, "a", "b", "c")
	d.report("a", 0, true)
	d.report("b", 0, true)
	d.report("c", 0, true, holding(slots, 0, 6))
	d.grants()
	d.setMembers("a", "b")
	g.Expect(d.totalGranted()).To(BeZero(), "no VM has reported what it borrows from c")
	lender := vm.ID{Name: "c", Incarnation: 1}
	borrower := &contract.Report{VM: vm.ID{Name: "b", Incarnation: 1}, Term: 1, Round: 2, Borrowed: []contract.Borrowed{{Lender: lender, Resource: slots, Count: 2}}}
	d.allocator.ApplyReport(borrower)
	g.Expect(d.totalGranted()).To(BeZero(), "a has not reported what it borrows from c")
	d.report("a", 3, false)
	g.Expect(d.totalGranted()).To(Equal(int64(4)))
	d.report("b", 4, false)
	g.Expect(d.totalGranted()).To(Equal(int64(6)))
}

// totalGranted returns the sum of the sizes in the grants of a plan.
func (d *allocatorDriver) totalGranted() (sum int64) {
	for _, grant := range d.grants() {
		sum += grant.Share.Size
	}
	return sum
}

func TestColdStartGrantsSharesDespiteUnreportedVM(t *testing.T) {
	g := NewWithT(t)
	d := newDriver(workspaceRate, contract.Share{Rate: 90_000, Size: 90_000}, "a", "b", "c", "d", "e", "f", "g", "h", "dead")
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		d.report(name, 0, true)
	}
	g.Expect(d.totalGranted()).To(Equal(int64(45_000)))
}

func TestNothingIsGrantedBeforeMajorityReported(t *testing.T) {
	g := NewWithT(t)
	d := newDriver(workspaceRate, contract.Share{Rate: 90_000, Size: 90_000}, "a", "b", "c", "d")
	d.report("a", 0, true)
	d.report("b", 0, true)
	g.Expect(d.totalGranted()).To(BeZero())
	d.report("c", 0, true)
	g.Expect(d.totalGranted()).To(BeNumerically(">", 0))
}

func TestNothingIsReallocatedAtSteadyDemand(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(9, limits(1))
	f.stabilize()
	for range 100 {
		f.manual.Advance(250)
		f.tick()
		g.Expect(f.vms[0].allocator.Reallocated()).To(BeEmpty())
	}
}

// Only VMs that send uploads over a link or read responses that come over it may hold a
// share of it.
func TestOnlyVMsAtLinkEndsHoldLinkShares(t *testing.T) {
	g := NewWithT(t)
	share := contract.Share{Rate: 1_000_000, Size: 250_000}
	f := newFleet(9, map[contract.Resource]divide.Total{link: {Share: share, Location: divide.Location{Region: "r0"}, DestinationRegion: "r1"}})
	f.stabilize()
	for _, v := range f.vms {
		held := v.holder.Allocation(link).Share()
		g.Expect(held != contract.Share{}).To(Equal(v.location.Region != "r2"), v.name)
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

// A link could send more than its cap in one second: the rate was the whole cap,
// and the burst was added to it.
func TestLinkRateAndBurstStayWithinCapPerSecond(t *testing.T) {
	g := NewWithT(t)
	fleet := &document.Fleet{Links: []document.Link{{A: "clyde", B: "lothian", Mbit: 8}}}
	totals := divide.Totals(nil, fleet, nil)
	for _, link := range []contract.Resource{contract.LinkResource("clyde", "lothian"), contract.LinkResource("lothian", "clyde")} {
		g.Expect(totals[link].Rate + totals[link].Size).To(Equal(int64(1_000_000)))
	}
}

// A divider that was paused does not know that its successor has granted a
// restarted VM's previous shares to other VMs. Its offers must be refused.
func TestPausedDividerCannotGrantToRestartedVM(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3, limits(1))
	f.stabilize()
	paused := f.vms[0].allocator
	f.vms[0].allocator = nil
	f.startDivider(f.vms[1])
	for range 8 {
		f.concentrateDemand(f.vms[1])
		f.tick()
	}
	f.kill(f.vms[2])
	f.start(f.vms[2])
	f.vms[0].allocator = paused
	grant := func() {
		for range 4 {
			f.sendOffers(f.vms[0])
			f.deliverAll()
		}
	}
	grant()
	f.fence(f.vms[2])
	grant()
	for resource := range f.totals {
		g.Expect(f.vms[2].holder.Allocation(resource).Share()).To(Equal(contract.Share{}), string(resource))
	}
	f.vms[0].allocator = nil
	f.tick()
	f.useAllShares(30 * clock.Second)
	g.Expect(f.err).NotTo(HaveOccurred())
}

// A document lowered the slots while two VMs used more than their new shares. When
// one of them had ended its requests, its new share let it start another one while
// the other VM still ran its old requests.
func TestLoweredSlotsAreGrantedOnlyAfterOldRequestsEnd(t *testing.T) {
	g := NewWithT(t)
	d := newDriver(slots, contract.Share{Size: 4}, "a", "b")
	d.report("a", 0, true)
	d.report("b", 0, true)
	first := d.grants()
	g.Expect([]int64{first["a"].Share.Size, first["b"].Share.Size}).To(Equal([]int64{2, 2}))
	full := holding(slots, first["a"].Seq, 2)
	full.Busy = 2
	d.report("a", 1, false, full)
	d.report("b", 1, false, full)
	d.totals[slots] = divide.Total{Share: contract.Share{Size: 2}}
	d.setMembers("a", "b")
	lowered := d.grants()
	g.Expect([]int64{lowered["a"].Share.Size, lowered["b"].Share.Size}).To(Equal([]int64{0, 0}))
	d.report("a", 2, false, contract.Holding{Resource: slots, Seq: lowered["a"].Seq, Share: contract.Share{Size: 2}, Busy: 2})
	d.report("b", 2, false, holding(slots, lowered["b"].Seq, 0))
	g.Expect(d.grants()).To(BeEmpty(), "a still runs 2 requests")
	d.report("a", 3, false, holding(slots, lowered["a"].Seq, 0))
	g.Expect(d.totalGranted()).To(Equal(int64(2)))
}

// A paused VM ran more requests than maxShare allows of a total that had been
// lowered, and a new divider granted the rest of the total to other VMs.
func TestUnreportedVMMayHoldMoreThanCap(t *testing.T) {
	g := NewWithT(t)
	d := newDriver(slots, contract.Share{Size: 2}, "a", "b", "frozen")
	d.report("a", 0, true, holding(contract.SlotsResource("artes", "other"), 0, 1))
	d.report("b", 0, true)
	for _, vmOffer := range d.allocator.Plan() {
		for _, grant := range vmOffer.Offer.Grants {
			g.Expect(grant.Share.Size).To(BeZero(), string(grant.Resource))
		}
	}
}

func TestSharesMoveOnlyAfterMajorityReported(t *testing.T) {
	g := NewWithT(t)
	d := newDriver(slots, contract.Share{Size: 6}, "a", "b", "c", "d")
	d.report("a", 0, true, holding(slots, 0, 6))
	d.report("b", 0, true)
	first := d.grants()
	g.Expect(first["a"].Share.Size).To(BeNumerically("<", 6))
	d.report("a", 1, false, holding(slots, first["a"].Seq, first["a"].Share.Size))
	d.report("b", 1, false, holding(slots, first["b"].Seq, 0))
	g.Expect(d.grants()).To(BeEmpty())
	d.report("c", 1, true)
	g.Expect(d.totalGranted()).To(BeNumerically(">", 0))
}

func TestTokensOfLoweredTotalAreNotReused(t *testing.T) {
	g := NewWithT(t)
	d := newDriver(workspaceRate, contract.Share{Rate: 30_000, Size: 30_000}, "a", "b")
	held := contract.Holding{Resource: workspaceRate, Share: contract.Share{Rate: 60_000, Size: 60_000}}
	d.report("a", 0, true, held)
	d.report("b", 0, true)
	reduction := d.grants()["a"]
	d.report("a", 1, false, contract.Holding{Resource: workspaceRate, Seq: reduction.Seq, Share: reduction.Share, Surrendered: 45_000})
	raise := d.grants()["b"]
	g.Expect(raise.Share.Size).To(Equal(int64(15_000)))
	g.Expect(raise.Tokens).To(Equal(int64(15_000)))
	d.report("b", 2, false, contract.Holding{Resource: workspaceRate, Seq: raise.Seq, Share: raise.Share})
	d.totals[workspaceRate] = divide.Total{Share: contract.Share{Rate: 60_000, Size: 60_000}}
	d.setMembers("a", "b")
	again := d.grants()
	g.Expect(again["a"].Tokens).To(BeZero())
	g.Expect(again["b"].Tokens).To(Equal(int64(15_000)))
}

func TestRestartedVMGetsShareAgain(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3, limits(1))
	f.stabilize()
	f.kill(f.vms[2])
	f.start(f.vms[2])
	for range 8 {
		f.tick()
	}
	for resource, total := range f.totals {
		sum := contract.Share{}
		for _, v := range f.vms {
			sum = sum.Plus(v.holder.Allocation(resource).Share())
		}
		g.Expect(sum).To(Equal(total.Share), string(resource))
	}
}

// offeredVMs returns the VMs to which the next plan sends offers.
func (d *allocatorDriver) offeredVMs() (names []string) {
	for _, vmOffer := range d.allocator.Plan() {
		names = append(names, vmOffer.VM.Name)
	}
	return names
}

func TestIdleVMsGetFewOffers(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(9, limits(1))
	f.stabilize()
	offerCount := 0
	for range 40 {
		offerCount += len(f.vms[0].allocator.Plan())
		f.sendOffers(f.vms[0])
		f.deliverAll()
		f.advance(250)
	}
	g.Expect(offerCount).To(BeNumerically("<=", 9*6))
	f.vms[4].holder.Allocation(workspaceRate).AddUnmet(contract.TokensPerRequest)
	f.tick()
	g.Expect(f.vms[0].allocator.Plan()).To(ContainElement(HaveField("VM.Name", "vm0004")), "the VM notified the divider of unmet demand")
}

func TestUnansweredOfferIsRepeatedImmediately(t *testing.T) {
	g := NewWithT(t)
	d := newDriver(slots, contract.Share{Size: 2}, "a", "b")
	d.report("a", 0, true)
	d.report("b", 0, true)
	for round := int64(1); round <= 4; round++ {
		grants := d.grants()
		d.report("a", round, false, holding(slots, grants["a"].Seq, 1))
		d.report("b", round, false, holding(slots, grants["b"].Seq, 1))
	}
	d.offeredVMs()
	d.report("a", 5, false)
	d.report("b", 5, false)
	g.Expect(d.offeredVMs()).To(BeEmpty())
	d.manual.Advance(2 * clock.Second)
	g.Expect(d.offeredVMs()).To(Equal([]string{"a", "b"}))
	d.report("a", 7, false)
	g.Expect(d.offeredVMs()).To(Equal([]string{"b"}))
	d.setMembers("a", "b", "c")
	g.Expect(d.offeredVMs()).To(Equal([]string{"a", "b", "c"}))
}

// A document lowered the slots to 2 while a VM that is now partitioned ran 2
// requests and VM a ran 1. A new divider granted VM a the slot that its request
// used. VM a could therefore start another request after that one had ended,
// while the partitioned VM still used both slots.
func TestNewTermGrantsNoSlotForRequestAboveShare(t *testing.T) {
	g := NewWithT(t)
	d := newDriver(slots, contract.Share{Size: 2}, "a", "b", "away")
	above := contract.Holding{Resource: slots, Busy: 1}
	d.report("a", 0, true, above)
	d.report("b", 0, true)
	first := d.grants()
	g.Expect(first["a"].Share.Size).To(BeZero())
	above.Seq, above.Busy = first["a"].Seq, 0
	d.report("a", 1, false, above)
	d.report("b", 1, false, contract.Holding{Resource: slots, Seq: first["b"].Seq})
	g.Expect(d.grants()).To(BeEmpty(), "the requests of the partitioned VM are unknown")
}

// After a long idle time the allocator plans a resource again only if there is a
// cause. Each subtest covers one cause.
func TestAllocatorReplansAfterLongIdleTime(t *testing.T) {
	sum := func(f *fleet, resource contract.Resource) (sum int64) {
		for _, v := range f.vms {
			sum += v.holder.Allocation(resource).Share().Size
		}
		return sum
	}
	ticks := func(f *fleet, count int) {
		for range count {
			f.tick()
			f.advance(tickInterval)
		}
	}
	stabilized := func() *fleet {
		f := newFleet(4, limits(1))
		f.stabilize()
		ticks(f, 320)
		return f
	}
	t.Run("demand exceeds the slots", func(t *testing.T) {
		f := stabilized()
		for range 8 {
			f.vms[1].holder.Allocation(endpoints[2]).AddUnmet(4)
			ticks(f, 1)
		}
		NewWithT(t).Expect(f.vms[1].holder.Allocation(endpoints[2]).Share().Size).To(Equal(int64(3)), "the maximum share")
	})
	t.Run("limits are raised and offers get lost", func(t *testing.T) {
		g := NewWithT(t)
		f := stabilized()
		f.totals = limits(2)
		f.updateView(f.vms[0])
		f.sendOffers(f.vms[0])
		f.messages = nil
		ticks(f, 4)
		for resource, total := range f.totals {
			g.Expect(sum(f, resource)).To(Equal(total.Size), string(resource))
		}
	})
	t.Run("demand is reported before an allocation is due", func(t *testing.T) {
		f := stabilized()
		allocation := f.vms[2].holder.Allocation(link)
		f.vms[1].holder.Allocation(link).AddUnmet(1_000_000)
		ticks(f, 4)
		before := allocation.Share().Rate
		allocation.AddUnmet(10_000_000)
		ticks(f, 2)
		NewWithT(t).Expect(allocation.Share().Rate).To(Equal(before))
		ticks(f, 12)
		NewWithT(t).Expect(allocation.Share().Rate).To(BeNumerically(">", before))
	})
}
