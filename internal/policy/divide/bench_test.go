package divide_test

import (
	"fmt"
	"testing"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/divide"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// benchmarkAllocator returns an allocator to which size VMs have reported.
func benchmarkAllocator(size int, totals map[contract.Resource]divide.Total) (*clock.Manual, *divide.Allocator, []contract.Report) {
	manual := &clock.Manual{}
	allocator := divide.New(1, "vm0000", manual.Clock())
	members := make([]divide.Member, size)
	reports := make([]contract.Report, size)
	for i := range members {
		id := vm.ID{Name: fmt.Sprintf("vm%04d", i), Incarnation: 1}
		location := divide.Location{Region: fmt.Sprintf("r%d", i%3), DataCentre: fmt.Sprintf("r%d-%d", i%3, i%6)}
		members[i] = divide.Member{ID: id, Location: location}
		reports[i] = contract.Report{VM: id, Term: 1, Full: true}
	}
	allocator.SetMembers(members, 0)
	allocator.SetTotals(totals)
	for i := range reports {
		allocator.ApplyReport(&reports[i])
	}
	return manual, allocator, reports
}

// BenchmarkAllocateRate reallocates one workspace's rate among VMs with changing
// demand.
func BenchmarkAllocateRate(b *testing.B) {
	resource := contract.RateResource("artes", "large")
	totals := map[contract.Resource]divide.Total{resource: {Share: contract.Share{Rate: 10_000_000, Size: 10_000_000}}}
	for _, size := range []int{9, 90, 900, 4900} {
		b.Run(fmt.Sprintf("%d_holders", size), func(b *testing.B) {
			manual, allocator, reports := benchmarkAllocator(size, totals)
			allocator.Plan()
			b.ReportAllocs()
			round := int64(0)
			for b.Loop() {
				round++
				manual.Advance(2 * clock.Second)
				report := &reports[int(round)%size]
				report.Holdings = []contract.Holding{{Resource: resource, Asked: round * 10_000_000}}
				allocator.ApplyReport(report)
				allocator.Plan()
			}
		})
	}
}

// BenchmarkAllocateSlots allocates the slots of 1800 endpoints to 9 VMs.
func BenchmarkAllocateSlots(b *testing.B) {
	totals := map[contract.Resource]divide.Total{}
	for i := range 1800 {
		location := divide.Location{Region: fmt.Sprintf("r%d", i%3), DataCentre: fmt.Sprintf("r%d-%d", i%3, i%6)}
		totals[contract.SlotsResource("artes", fmt.Sprintf("e%04d", i))] = divide.Total{Share: contract.Share{Size: 3}, Location: location}
	}
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		_, allocator, _ := benchmarkAllocator(9, totals)
		b.StartTimer()
		allocator.Plan()
	}
}

// BenchmarkRound runs rounds in which, if isBusy, every VM reports the demand of
// all workspaces.
func BenchmarkRound(b *testing.B) {
	for _, size := range []struct{ holders, endpoints int }{{9, 40}, {90, 200}, {900, 800}, {4900, 1800}} {
		for _, isBusy := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d_holders_%d_endpoints_busy_%t", size.holders, size.endpoints, isBusy), func(b *testing.B) {
				benchmarkRound(b, size.holders, size.endpoints, isBusy)
			})
		}
	}
}

func benchmarkRound(b *testing.B, size, endpointCount int, isBusy bool) {
	const workspaces = 24
	totals := map[contract.Resource]divide.Total{}
	var rates []contract.Resource
	for i := range workspaces {
		rates = append(rates, contract.RateResource("artes", fmt.Sprintf("w%02d", i)))
		totals[rates[i]] = divide.Total{Share: contract.Share{Rate: 10_000_000, Size: 10_000_000}}
	}
	for i := range endpointCount {
		location := divide.Location{Region: fmt.Sprintf("r%d", i%3), DataCentre: fmt.Sprintf("r%d-%d", i%3, i%6)}
		totals[contract.SlotsResource("artes", fmt.Sprintf("e%04d", i))] = divide.Total{Share: contract.Share{Size: 3}, Location: location}
	}
	manual, allocator, reports := benchmarkAllocator(size, totals)
	accepted := map[string]map[contract.Resource]int64{}
	for range 4 {
		for _, vmOffer := range allocator.Plan() {
			report := contract.Report{VM: vmOffer.VM, Term: 1, Round: vmOffer.Offer.Round}
			for _, grant := range vmOffer.Offer.Grants {
				report.Holdings = append(report.Holdings, contract.Holding{Resource: grant.Resource, Seq: grant.Seq, Share: grant.Share})
				if accepted[vmOffer.VM.Name] == nil {
					accepted[vmOffer.VM.Name] = map[contract.Resource]int64{}
				}
				accepted[vmOffer.VM.Name][grant.Resource] = grant.Seq
			}
			allocator.ApplyReport(&report)
		}
	}
	b.ReportAllocs()
	for round := int64(1); b.Loop(); round++ {
		manual.Advance(250)
		allocator.Plan()
		if !isBusy {
			continue
		}
		for i := range reports {
			report := &contract.Report{VM: reports[i].VM, Term: 1, Round: round + 4}
			for at, rate := range rates {
				asked := round * int64(1000+i%7*100+at)
				report.Holdings = append(report.Holdings, contract.Holding{Resource: rate, Seq: accepted[report.VM.Name][rate], Asked: asked})
			}
			allocator.ApplyReport(report)
		}
	}
}
