package roster

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/usage"
)

// meter gives each VM of a fleet a collector, and has each count one request.
func (f *fleet) meter() map[string]*usage.Collector {
	collectors := map[string]*usage.Collector{}
	for name, roster := range f.vms {
		ledger := &usage.Ledger{Schedule: usage.Schedule{Length: 5 * clock.Second, Due: 10 * clock.Second}, Clock: f.manual.Clock()}
		collectors[name] = &usage.Collector{Self: f.states[name].ID, Region: roster.Self.Region, Ledger: ledger, Clock: f.manual.Clock()}
		roster.Usage = collectors[name]
		ledger.Begin("w", usage.Expectation{}).End(usage.Ending{AnsweredAt: f.manual.Clock().Now()})
	}
	return collectors
}

func membersOf(r *Roster) (list []usage.Member) {
	for _, member := range r.Members() {
		list = append(list, usage.Member{ID: member.ID, Region: member.VM.Region, IsReachable: member.Reachable, IsAwaited: member.Reachable})
	}
	return list
}

// The counts of all VMs must reach a VM that needs the sums, in a full mesh and over relays,
// and also the last counts of a VM that ends.
func TestCountsReachTheVMThatReportsThem(t *testing.T) {
	for _, vms := range []int{9, 30} {
		g := NewWithT(t)
		f := newFleet(vms)
		f.run(3 * clock.Second)
		collectors := f.meter()
		window := usage.Window(f.manual.Clock().Now() / (5 * clock.Second))
		// The first VM is a relay of its region, the last one of a large fleet is not.
		holders := []string{"vm-00", fmt.Sprintf("vm-%02d", vms-1)}
		for _, name := range holders {
			collectors[name].SetWants(true)
			collectors[name].SetMembers(membersOf(f.vms[name]))
		}
		for _, relay := range f.vms["vm-00"].currentView(f.states["vm-00"]).relays {
			for _, name := range relay {
				collectors[name].SetMembers(membersOf(f.vms[name]))
			}
		}
		f.run(3 * clock.Second)
		for _, name := range holders {
			g.Expect(collectors[name].Sum(window).Counts).To(Equal(usage.Counts{"w": int64(vms)}), "%s of %d VMs", name, vms)
		}
		last := collectors["vm-08"].Ledger
		last.Begin("w", usage.Expectation{}).End(usage.Ending{AnsweredAt: f.manual.Clock().Now()})
		last.Finish()
		f.vms["vm-08"].ExchangeUsage(context.Background())
		f.mesh.Isolated["vm-08"] = true
		f.run(3 * clock.Second)
		total := int64(0)
		for later := window; later <= window+1; later++ {
			total += collectors["vm-00"].Sum(later).Counts["w"]
		}
		g.Expect(total).To(Equal(int64(vms+1)), "%d VMs", vms)
	}
}

func TestMessagesHoldNothingOfUsageWhereItIsNotReported(t *testing.T) {
	f := newFleet(9)
	f.run(clock.Second)
	NewWithT(t).Expect(f.vms["vm-00"].stateFor("vm-01", false).Usage).To(BeNil())
}
