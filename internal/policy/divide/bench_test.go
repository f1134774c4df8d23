package divide_test

import (
	"fmt"
	"testing"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/divide"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// benchmarkLedger returns a ledger to which size VMs have reported.
func benchmarkLedger(size int, totals map[contract.Resource]divide.Total) (*clock.Manual, *divide.Ledger, []contract.Report) {
	manual := &clock.Manual{}
	ledger := divide.New(1, "vm0000", manual.Clock())
	members := make([]divide.Member, size)
	reports := make([]contract.Report, size)
	for i := range members {
		id := vm.ID{Name: fmt.Sprintf("vm%04d", i), Incarnation: 1}
		place := divide.Place{Region: fmt.Sprintf("r%d", i%3), DataCentre: fmt.Sprintf("r%d-%d", i%3, i%6)}
		members[i] = divide.Member{ID: id, Place: place}
		reports[i] = contract.Report{VM: id, Term: 1, Full: true}
	}
	ledger.Members(members, 0)
	ledger.Totals(totals)
	for i := range reports {
		ledger.Apply(&reports[i])
	}
	return manual, ledger, reports
}

// BenchmarkDivideRate deals one workspace's rate anew to VMs whose demand moves.
func BenchmarkDivideRate(b *testing.B) {
	resource := contract.RateOf("artes", "large")
	totals := map[contract.Resource]divide.Total{resource: {Share: contract.Share{Rate: 10_000_000, Size: 10_000_000}}}
	for _, size := range []int{9, 90, 900, 4900} {
		b.Run(fmt.Sprintf("%d_holders", size), func(b *testing.B) {
			manual, ledger, reports := benchmarkLedger(size, totals)
			ledger.Plan()
			b.ReportAllocs()
			round := int64(0)
			for b.Loop() {
				round++
				manual.Advance(2 * clock.Second)
				report := &reports[int(round)%size]
				report.Holdings = []contract.Holding{{Resource: resource, Asked: round * 10_000_000}}
				ledger.Apply(report)
				ledger.Plan()
			}
		})
	}
}

// BenchmarkDealSlots deals the slots of 1800 endpoints to 9 VMs.
func BenchmarkDealSlots(b *testing.B) {
	totals := map[contract.Resource]divide.Total{}
	for i := range 1800 {
		place := divide.Place{Region: fmt.Sprintf("r%d", i%3), DataCentre: fmt.Sprintf("r%d-%d", i%3, i%6)}
		totals[contract.SlotsOf("artes", fmt.Sprintf("e%04d", i))] = divide.Total{Share: contract.Share{Size: 3}, Place: place}
	}
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		_, ledger, _ := benchmarkLedger(9, totals)
		b.StartTimer()
		ledger.Plan()
	}
}
