package lookup_test

import (
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/policy/lookup"
	"baobabladder.example/baobabladder/internal/standin/fuzz"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/vm"
)

func TestMain(m *testing.M) { os.Exit(fuzz.Main(m, fuzz.Config{Seed: 20261204})) }

// regionByScan is the reference implementation: a scan over all blocks.
func regionByScan(blocks map[netip.Prefix]string, address netip.Addr) (region string) {
	bits := -1
	for prefix, owner := range blocks {
		if prefix.Contains(address) && prefix.Bits() > bits {
			bits, region = prefix.Bits(), owner
		}
	}
	return region
}

func drawAddress(t *rapid.T) netip.Addr {
	if rapid.Bool().Draw(t, "is_v6") {
		b := [16]byte{0x20, 0x01}
		for i := 2; i < 16; i++ {
			b[i] = rapid.SampledFrom([]byte{0, 1, 0x80, 0xff}).Draw(t, "octet")
		}
		return netip.AddrFrom16(b)
	}
	var b [4]byte
	for i := range b {
		b[i] = rapid.SampledFrom([]byte{0, 10, 127, 128, 255}).Draw(t, "octet")
	}
	return netip.AddrFrom4(b)
}

func TestTableMatchesLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &lookup.Table{}
		blocks := map[netip.Prefix]string{}
		drawPrefix := func(t *rapid.T) netip.Prefix {
			address := drawAddress(t)
			most := 32
			if address.Is6() {
				most = 64
			}
			return netip.PrefixFrom(address, rapid.IntRange(0, most).Draw(t, "bits")).Masked()
		}
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				block := document.ClientBlock{Prefix: drawPrefix(t), Region: rapid.SampledFrom([]string{"lothian", "grampian", "clyde"}).Draw(t, "region")}
				if err := table.Set(block); err != nil {
					t.Fatal(err)
				}
				blocks[block.Prefix] = block.Region
			},
			"remove": func(t *rapid.T) {
				prefix := drawPrefix(t)
				table.Remove(prefix)
				delete(blocks, prefix)
			},
			"remove_known": func(t *rapid.T) {
				known := slices.SortedFunc(maps.Keys(blocks), func(a, b netip.Prefix) int { return strings.Compare(a.String(), b.String()) })
				if len(known) == 0 {
					return
				}
				prefix := rapid.SampledFrom(known).Draw(t, "known")
				table.Remove(prefix)
				delete(blocks, prefix)
			},
			"": func(t *rapid.T) {
				address := drawAddress(t)
				if got, want := table.Region(address), regionByScan(blocks, address); got != want {
					t.Fatalf("region of %s: got %q, want %q of %v", address, got, want, blocks)
				}
			},
		})
	})
}

func TestSetRejectsUnsupportedPrefixes(t *testing.T) {
	g := NewWithT(t)
	table := &lookup.Table{}
	for _, text := range []string{"10.0.0.1/8", "2001:db8::/65", "::ffff:10.0.0.0/120"} {
		g.Expect(table.Set(document.ClientBlock{Prefix: netip.MustParsePrefix(text), Region: "clyde"})).NotTo(Succeed(), text)
	}
}

func fleet(t *testing.T) *document.Fleet {
	t.Helper()
	parsed, err := document.Parse([]byte("[fleet]\n[region lothian]\ndata_centres = l1, l2\n[region grampian]\ndata_centres = g1, g2\n[region clyde]\ndata_centres = c1, c2\n" +
		"[link lothian grampian]\nmbit = 280\nlatency_ms = 35\n[link lothian clyde]\nmbit = 280\nlatency_ms = 20\n"))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return parsed.Fleet
}

func view() *membership.View {
	v := &membership.View{}
	for region, letter := range map[string]string{"lothian": "l", "grampian": "g", "clyde": "c"} {
		for i := 1; i <= 4; i++ {
			member := membership.Member{Reachable: true}
			member.VM = vm.VM{Name: fmt.Sprintf("%s-%d", region, i), Region: region, DataCentre: fmt.Sprintf("%s%d", letter, 1+i%2), State: vm.StateLive}
			v.Members = append(v.Members, member)
		}
	}
	return v
}

func TestPickPrefersNearestRegionAndDifferentDataCentres(t *testing.T) {
	g := NewWithT(t)
	ranking := lookup.NewRanking(fleet(t), lookup.EligibleVMs(view()), "lothian")
	first := map[string]int{}
	for i := range 200 {
		answer := ranking.Pick("lothian", netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}))
		g.Expect(answer).To(HaveLen(lookup.MaxVMs))
		g.Expect(answer[0].Region).To(Equal("lothian"))
		g.Expect(answer[0].DataCentre).NotTo(Equal(answer[1].DataCentre))
		g.Expect(answer[3].Region).To(Equal("clyde"), "the nearest other region")
		first[answer[0].Name]++
	}
	g.Expect(first).To(HaveLen(4), "callers are spread over the region's VMs")
}

func TestPickOmitsStoppingAndUnreachableVMs(t *testing.T) {
	g := NewWithT(t)
	v := view()
	for i := range v.Members {
		member := &v.Members[i]
		switch member.Name {
		case "lothian-1":
			member.Stopping = true
		case "lothian-2":
			member.Reachable = false
		case "lothian-3":
			member.State = vm.StateLeaving
		}
	}
	ranking := lookup.NewRanking(fleet(t), lookup.EligibleVMs(v), "lothian")
	for i := range 50 {
		answer := ranking.Pick("lothian", netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}))
		g.Expect(answer[0].Name).To(Equal("lothian-4"))
		g.Expect(answer[1].Region).To(Equal("clyde"))
		g.Expect(answer).To(HaveLen(lookup.MaxVMs))
	}
}

func TestPickUsesHomeRegionForUnknownCallers(t *testing.T) {
	g := NewWithT(t)
	answer := lookup.NewRanking(nil, lookup.EligibleVMs(view()), "clyde").Pick("", netip.AddrFrom4([4]byte{192, 0, 2, 1}))
	g.Expect(answer).NotTo(BeEmpty())
	g.Expect(answer[0].Region).To(Equal("clyde"))
	g.Expect(answer).To(HaveLen(lookup.MaxVMs))
	g.Expect(answer[lookup.MaxVMs-1].Region).NotTo(Equal("clyde"), "the loss of a region must not leave a caller without a VM")
}
