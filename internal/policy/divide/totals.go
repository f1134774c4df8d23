package divide

import (
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	// bytesPerMbit is the number of bytes per second in 1 Mbit/s.
	bytesPerMbit = 1_000_000 / 8
	// linkBurstTime is the part of each second whose bytes form the burst of a
	// link. The rate gets only the rest, so that rate and burst together stay
	// within the cap in every second.
	linkBurstTime = 200 * clock.Millis(1)
)

// Location is the location of a VM or an endpoint.
type Location struct {
	Region     string
	DataCentre string
}

// Total is the limit of a resource for the whole fleet.
type Total struct {
	contract.Share
	// Location is the location of the endpoint for a KindSlots resource. For a
	// KindLink resource it holds the region at which the link starts, whose VMs
	// send uploads over it; it is empty if that is unknown.
	Location Location
	// DestinationRegion is the region at which a KindLink resource ends, whose VMs read
	// responses that come over it. VMs of other regions never use the link.
	DestinationRegion string
}

// excludesRegion reports whether VMs in a region cannot use the resource because
// neither end of the link is there.
func (t *Total) excludesRegion(kind contract.Kind, region string) bool {
	return kind == contract.KindLink && t.Location.Region != "" && region != t.Location.Region && region != t.DestinationRegion
}

// Totals returns the limits in the documents. An endpoint that is drained or that
// the platform reports as leaving has no slots. If fleet is nil, there are no
// links.
func Totals(services []*document.Service, fleet *document.Fleet, endpoints map[string]vm.State) map[contract.Resource]Total {
	totals := map[contract.Resource]Total{}
	for _, service := range services {
		addWorkspaces(totals, service)
		addEndpoints(totals, service, endpoints)
	}
	if fleet != nil {
		addLinks(totals, fleet)
	}
	return totals
}

func addWorkspaces(totals map[contract.Resource]Total, service *document.Service) {
	for _, workspace := range service.Workspaces {
		share := contract.Share{Rate: workspace.Rate, Size: workspace.Burst * contract.TokensPerRequest}
		totals[contract.RateResource(service.Name, workspace.Name)] = Total{Share: share}
	}
}

func addEndpoints(totals map[contract.Resource]Total, service *document.Service, endpoints map[string]vm.State) {
	for i := range service.Endpoints {
		endpoint := &service.Endpoints[i]
		total := Total{Location: Location{Region: endpoint.Region, DataCentre: endpoint.DataCentre}}
		if endpoints[endpoint.Name] != vm.StateLeaving && !isDrained(service, endpoint) {
			total.Size = int64(endpoint.Slots)
		}
		totals[contract.SlotsResource(service.Name, endpoint.Name)] = total
	}
}

func isDrained(service *document.Service, endpoint *document.Endpoint) bool {
	for _, drain := range service.Drains {
		switch {
		case drain.Kind == document.DrainEndpoint && drain.Name == endpoint.Name,
			drain.Kind == document.DrainDataCentre && drain.Name == endpoint.DataCentre,
			drain.Kind == document.DrainRegion && drain.Name == endpoint.Region:
			return true
		}
	}
	return false
}

func addLinks(totals map[contract.Resource]Total, fleet *document.Fleet) {
	for _, link := range fleet.Links {
		capacity := int64(link.Mbit) * bytesPerMbit
		burst := capacity * int64(linkBurstTime) / int64(clock.Second)
		share := contract.Share{Rate: capacity - burst, Size: burst}
		totals[contract.LinkResource(link.A, link.B)] = Total{Share: share, Location: Location{Region: link.A}, DestinationRegion: link.B}
		totals[contract.LinkResource(link.B, link.A)] = Total{Share: share, Location: Location{Region: link.B}, DestinationRegion: link.A}
	}
}
