package divide

import (
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	// bytesPerMbit is a link's bytes per second for each Mbit/s.
	bytesPerMbit = 1_000_000 / 8
	// linkBurst is the part of each second that a link's burst takes of its cap. The
	// rate has only the rest, so that no second holds more than the cap.
	linkBurst = 200 * clock.Millis(1)
)

// Location is where a VM or an endpoint stands.
type Location struct {
	Region     string
	DataCentre string
}

// Total is a whole limit.
type Total struct {
	contract.Share
	// Place is where the endpoint of a KindSlots resource stands. Of a KindLink
	// resource it has the region in which the link begins, whose VMs send uploads
	// over it, or nothing if that is not known.
	Location Location
	// FarRegion is the region in which a KindLink resource ends, whose VMs read
	// answers that come over it. VMs of other regions never use the link.
	FarRegion string
}

// excludes reports whether a VM in a region can't use the resource: neither end of
// the link is there.
func (t *Total) excludes(kind contract.Kind, region string) bool {
	return kind == contract.KindLink && t.Location.Region != "" && region != t.Location.Region && region != t.FarRegion
}

// Totals returns the limits that the documents state. An endpoint that is
// drained, or leaving according to the platform's list, has no slots. A nil
// fleet has no links.
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
		most := int64(link.Mbit) * bytesPerMbit
		burst := most * int64(linkBurst) / int64(clock.Second)
		share := contract.Share{Rate: most - burst, Size: burst}
		totals[contract.LinkResource(link.A, link.B)] = Total{Share: share, Location: Location{Region: link.A}, FarRegion: link.B}
		totals[contract.LinkResource(link.B, link.A)] = Total{Share: share, Location: Location{Region: link.B}, FarRegion: link.A}
	}
}
