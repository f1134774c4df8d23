package lookup_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/policy/lookup"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// tableSizes are numbers of blocks, up to the largest for which the Table is designed.
var tableSizes = []int{530, 5_300, 53_000, 530_000}

const benchRegions = 28

// randomBlocks returns n distinct blocks, a tenth of them IPv6.
func randomBlocks(n int) []document.ClientBlock {
	random := rand.New(rand.NewPCG(1, 2))
	seen := map[netip.Prefix]bool{}
	blocks := make([]document.ClientBlock, 0, n)
	for len(blocks) < n {
		prefix := randomPrefix(random)
		if seen[prefix] {
			continue
		}
		seen[prefix] = true
		blocks = append(blocks, document.ClientBlock{Prefix: prefix, Region: fmt.Sprintf("region-%d", random.IntN(benchRegions))})
	}
	return blocks
}

func randomPrefix(random *rand.Rand) netip.Prefix {
	if random.IntN(10) == 0 {
		b := [16]byte{0x20, 0x01}
		for i := 2; i < 8; i++ {
			b[i] = byte(random.IntN(256))
		}
		return netip.PrefixFrom(netip.AddrFrom16(b), 40+random.IntN(17)).Masked()
	}
	address := netip.AddrFrom4([4]byte{byte(1 + random.IntN(223)), byte(random.IntN(256)), byte(random.IntN(256)), byte(random.IntN(256))})
	return netip.PrefixFrom(address, 16+random.IntN(9)).Masked()
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func BenchmarkTableMemory(b *testing.B) {
	for _, size := range tableSizes {
		b.Run(fmt.Sprintf("blocks=%d", size), func(b *testing.B) {
			blocks := randomBlocks(size)
			for b.Loop() {
				before := heapBytes()
				table := &lookup.Table{}
				if err := table.Load(blocks); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(heapBytes()-before)/1e6, "MB")
				runtime.KeepAlive(table)
			}
		})
	}
}

func newTable(b *testing.B, size int) (*lookup.Table, []document.ClientBlock, []netip.Addr) {
	b.Helper()
	blocks := randomBlocks(size)
	table := &lookup.Table{}
	if err := table.Load(blocks); err != nil {
		b.Fatal(err)
	}
	random := rand.New(rand.NewPCG(3, 4))
	addresses := make([]netip.Addr, 1<<16)
	for i := range addresses {
		addresses[i] = blocks[random.IntN(len(blocks))].Prefix.Addr()
	}
	return table, blocks, addresses
}

func BenchmarkTableRegion(b *testing.B) {
	for _, size := range tableSizes {
		table, _, addresses := newTable(b, size)
		b.Run(fmt.Sprintf("blocks=%d/cores=1", size), func(b *testing.B) {
			i := 0
			for b.Loop() {
				_ = table.Region(addresses[i&(len(addresses)-1)])
				i++
			}
		})
		b.Run(fmt.Sprintf("blocks=%d/cores=all", size), func(b *testing.B) {
			b.RunParallel(func(pb *testing.PB) {
				for i := rand.IntN(len(addresses)); pb.Next(); i++ {
					_ = table.Region(addresses[i&(len(addresses)-1)])
				}
			})
		})
	}
}

func BenchmarkTableChange(b *testing.B) {
	for _, size := range tableSizes {
		table, blocks, _ := newTable(b, size)
		b.Run(fmt.Sprintf("blocks=%d", size), func(b *testing.B) {
			i := 0
			for b.Loop() {
				block := blocks[i%len(blocks)]
				block.Region = fmt.Sprintf("region-%d", i%benchRegions)
				if err := table.Set(block); err != nil {
					b.Fatal(err)
				}
				i++
			}
		})
	}
}

// benchView distributes n VMs over the regions and their data centres.
func benchView(n int) (*document.Fleet, *membership.View) {
	const dataCentresPerRegion = 3
	fleet := &document.Fleet{}
	for i := range benchRegions {
		fleet.Regions = append(fleet.Regions, document.Region{Name: fmt.Sprintf("region-%d", i)})
		for j := range i {
			a, c := min(fmt.Sprintf("region-%d", i), fmt.Sprintf("region-%d", j)), max(fmt.Sprintf("region-%d", i), fmt.Sprintf("region-%d", j))
			fleet.Links = append(fleet.Links, document.Link{A: a, B: c, Latency: 10})
		}
	}
	view := &membership.View{}
	for i := range n {
		member := membership.Member{Reachable: true}
		region := fmt.Sprintf("region-%d", i%benchRegions)
		member.VM = vm.VM{Name: fmt.Sprintf("vm-%d", i), Region: region, DataCentre: fmt.Sprintf("%s-%d", region, i/benchRegions%dataCentresPerRegion), State: vm.StateLive}
		view.Members = append(view.Members, member)
	}
	return fleet, view
}

func BenchmarkRankingBuild(b *testing.B) {
	for _, size := range []int{9, 90, 900, 4900} {
		fleet, view := benchView(size)
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			for b.Loop() {
				_ = lookup.NewRanking(fleet, lookup.EligibleVMs(view), "region-0")
			}
		})
	}
}

func BenchmarkRankingPick(b *testing.B) {
	for _, size := range []int{9, 90, 900, 4900} {
		fleet, view := benchView(size)
		ranking := lookup.NewRanking(fleet, lookup.EligibleVMs(view), "region-0")
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			address := netip.AddrFrom4([4]byte{10, 1, 2, 3})
			for b.Loop() {
				_ = ranking.Pick("region-7", address)
			}
		})
	}
}
