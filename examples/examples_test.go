package examples_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/examples"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/settings"
)

// sizes holds the number of endpoints and the slots of each endpoint of a firm, by
// service, and the bandwidth in Mbit/s and the latency in milliseconds of its links
// between regions.
type sizes struct {
	endpoints map[string]int
	slots     map[string]int
	mbit      int
	latency   int
}

var currentSizes = map[string]sizes{
	examples.MunroLennox: {
		map[string]int{"catalogue": 16, "orders": 12, "proofroom": 12},
		map[string]int{"catalogue": 3, "orders": 3, "proofroom": 3},
		280, 35,
	},
	examples.TresTintas: {
		map[string]int{"catalogo": 16, "pedidos": 12, "artes": 12},
		map[string]int{"catalogo": 6, "pedidos": 4, "artes": 3},
		4000, 20,
	},
}

func TestExamplesMatchCurrentSizes(t *testing.T) {
	owners := map[string]string{}
	for _, firm := range examples.Firms() {
		g := NewWithT(t)
		example, err := examples.Load(firm)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(example.Documents).To(HaveLen(4))
		for _, text := range example.Documents {
			parsed, err := document.Parse([]byte(text))
			g.Expect(err).NotTo(HaveOccurred())
			if parsed.Fleet != nil {
				checkFleet(g, parsed.Fleet, currentSizes[firm])
				continue
			}
			checkService(g, parsed.Service, currentSizes[firm])
			for _, endpoint := range parsed.Service.Endpoints {
				claimAddress(g, owners, endpoint.Address, firm+" "+endpoint.Name)
			}
		}
		checkSettings(g, owners, example)
	}
}

func checkFleet(g Gomega, fleet *document.Fleet, sizes sizes) {
	g.Expect(fleet.Regions).To(HaveLen(3))
	g.Expect(fleet.Regions).To(HaveEach(HaveField("DataCentres", HaveLen(2))))
	g.Expect(fleet.Links).To(HaveLen(3))
	g.Expect(fleet.Links).To(HaveEach(And(HaveField("Mbit", sizes.mbit), HaveField("Latency", BeNumerically("==", sizes.latency)))))
}

func checkService(g Gomega, service *document.Service, sizes sizes) {
	g.Expect(service.Endpoints).To(HaveLen(sizes.endpoints[service.Name]))
	g.Expect(service.Endpoints).To(HaveEach(HaveField("Slots", sizes.slots[service.Name])))
	g.Expect(service.Workspaces).To(HaveLen(8))
	inDataCentre := map[string]int{}
	for _, endpoint := range service.Endpoints {
		inDataCentre[endpoint.DataCentre]++
	}
	g.Expect(inDataCentre).To(HaveLen(6))
	perDataCentre := len(service.Endpoints) / 6
	g.Expect(inDataCentre).To(HaveEach(BeElementOf(perDataCentre, perDataCentre+1)), "endpoints must be spread evenly over the data centres")
}

func checkSettings(g Gomega, owners map[string]string, example examples.Example) {
	g.Expect(example.Settings).To(HaveLen(9))
	for _, text := range example.Settings {
		vm, err := settings.Parse([]byte(text))
		g.Expect(err).NotTo(HaveOccurred())
		for _, address := range []string{vm.CallerAddress, vm.PeerAddress, vm.OperatorAddress} {
			claimAddress(g, owners, address, example.Firm+" "+vm.Name)
		}
	}
}

// claimAddress records the owner of an address and fails if the address already has
// one.
func claimAddress(g Gomega, owners map[string]string, address, owner string) {
	g.Expect(owners).NotTo(HaveKey(address), owner)
	owners[address] = owner
}
