package balance

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/world/directory"
	"baobabladder.example/baobabladder/internal/world/routing"
)

// newFleetByRegion returns a Balancer in region a, with three VMs in each of the
// regions a, b and c and the given number of endpoints by region.
func newFleetByRegion(endpoints map[string]int) *fleet {
	f := &fleet{manual: &clock.Manual{}}
	f.manual.Advance(clock.Minute)
	f.balancer = &Balancer{Clock: f.manual.Clock(), VM: "vm-0", Region: "a", DataCentre: "a1", ColdLimit: ColdLimit{Overage: 1.5, Slack: 5}}
	vms := []VM{}
	for _, region := range []string{"a", "b", "c"} {
		for i := range 3 {
			vms = append(vms, VM{Name: fmt.Sprint("vm-", region, i), Region: region})
		}
		for i := range endpoints[region] {
			id := fmt.Sprint(region, i)
			f.endpoints = append(f.endpoints, directory.Endpoint{
				ID: id, Service: testService.Name, Address: id, Slots: testSlots, Region: region, DataCentre: region + "1", Version: "v1", Revision: 1,
			})
		}
	}
	f.update(nil)
	f.balancer.UpdatePeers(nil, vms)
	return f
}

// countByRegion places one request for each of the given number of objects and returns
// how many ran in each region. Each request ends before the next one is placed.
func (f *fleet) countByRegion(t *testing.T, objects int) map[string]int {
	regions := map[string]int{}
	for i := range objects {
		grant := f.place(t, request(fmt.Sprint("object ", i)))
		regions[grant.Endpoint.Region]++
		grant.Done(Result{Outcome: Answered, Running: -1})
	}
	return regions
}

// Requests that may run in any region filled the two endpoints of a region to which
// other requests were bound. One fifth of a day's requests was refused while half of
// the service's capacity was free.
func TestUnboundRequestsAvoidReservedRegion(t *testing.T) {
	g := NewWithT(t)
	f := newFleetByRegion(map[string]int{"a": 2, "b": 7, "c": 7})
	before := f.countByRegion(t, 200)["a"]
	g.Expect(before).To(BeNumerically(">", 50))

	home := &routing.Route{Name: "home", Work: document.WorkCatalogue, TargetLatency: 600, Timeout: 1200, MaxAttempts: 2, HomeRegions: []string{"a"}}
	for i := range 200 {
		bound := request(fmt.Sprint("bound ", i%5))
		bound.Route = home
		grant, err := f.balancer.Place(bound)
		if err == nil {
			g.Expect(grant.Endpoint.Region).To(Equal("a"))
			grant.Done(Result{Outcome: Answered, Running: -1})
		}
		f.manual.Advance(25)
	}
	g.Expect(f.countByRegion(t, 200)["a"]).To(BeNumerically("<", before/5))

	f.manual.Advance(10 * reservationDecayTime)
	g.Expect(f.countByRegion(t, 200)["a"]).To(BeNumerically(">", before/2), "the reservation must expire when region-bound requests stop")
}

// Endpoints of a region with few slots for its VMs had queues, while those of other
// regions had none, because objects requested elsewhere had their homes there too.
func TestRegionWithFewSlotsIsHomeOfFewForeignObjects(t *testing.T) {
	g := NewWithT(t)
	f := newFleetByRegion(map[string]int{"a": 6, "b": 2, "c": 10})
	regions := f.countByRegion(t, 3000)
	perSlot := func(region string, endpoints int) float64 { return float64(regions[region]) / float64(endpoints) }
	g.Expect(perSlot("b", 2)).To(BeNumerically("<", perSlot("c", 10)/3))
	g.Expect(perSlot("a", 6)).To(BeNumerically(">", perSlot("c", 10)))
}

// Requests queued at their object's home until their deadline passed, although another
// endpoint would have answered in time.
func TestEndpointThatWouldMissDeadlineIsAvoided(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(16)
	first := f.place(t, request("x"))
	for range testSlots + 8 {
		f.balancer.states[first.Endpoint.ID].inFlightSince = append(f.balancer.states[first.Endpoint.ID].inFlightSince, f.manual.Clock().Now())
	}
	g.Expect(f.place(t, request("x")).Endpoint.ID).NotTo(Equal(first.Endpoint.ID))
}

// A new run of an endpoint gets the objects that were not read while it was away. Those that
// were stay where they are warm, if that endpoint answers faster than expected.
func TestNewRunGetsUnreadObjects(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(5)
	other, started := f.endpoints[0], f.endpoints[4]
	readAt := func(object int) string {
		grant := f.place(t, request(fmt.Sprint("object ", object)))
		grant.Done(Result{Outcome: Answered, Running: -1})
		return grant.Endpoint.ID
	}
	f.endpoints = []directory.Endpoint{other}
	f.update(nil)
	for round := range 50 {
		g.Expect(readAt(round % 8)).To(Equal(other.ID))
	}
	f.endpoints = []directory.Endpoint{other, started}
	f.update(nil)
	for round := range 10_000 {
		g.Expect(readAt(round % 8)).To(Equal(other.ID))
	}
	unread := map[string]int{}
	for i := range 100 {
		unread[readAt(8+i)]++
	}
	g.Expect(unread[started.ID]).To(BeNumerically(">=", 25), "%v", unread)
}
