package balance

import (
	"fmt"
	"testing"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/directory"
)

// newLargeFleet returns a Balancer in region a of a fleet of 66 VMs in two regions, and of
// the given number of endpoints. Each second endpoint has one free slot, the others have a
// queue of one.
func newLargeFleet(endpoints int) *fleet {
	f := &fleet{manual: &clock.Manual{}}
	f.manual.Advance(clock.Minute)
	f.balancer = &Balancer{Clock: f.manual.Clock(), VM: "vm-0", Region: "a", DataCentre: "a1", ColdLimit: ColdLimit{Overage: 1.5, Slack: 5}}
	running := map[string]int{}
	for i := range endpoints {
		region := "ab"[i%2 : i%2+1]
		e := directory.Endpoint{
			ID: fmt.Sprintf("e%04d", i), Service: testService.Name, Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Slots: testSlots,
			Region: region, DataCentre: fmt.Sprint(region, i%4/2+1), Version: "v1", Revision: 1,
		}
		f.endpoints = append(f.endpoints, e)
		running[e.ID] = testSlots - 1 + i/2%2*2
	}
	f.update(nil)
	f.balancer.UpdatePeers(running, testVMs(66))
	return f
}

func BenchmarkPlace(b *testing.B) {
	for _, endpoints := range []int{42, 1800} {
		b.Run(fmt.Sprint(endpoints, " endpoints"), func(b *testing.B) {
			benchmarkPlace(b, newLargeFleet(endpoints), func(_ int, object string) *Request { return request(object) })
		})
	}
}

// BenchmarkPlaceWithPriorities places requests of two route priorities in turn, on endpoints
// that have all just stated a pace.
func BenchmarkPlaceWithPriorities(b *testing.B) {
	for _, endpoints := range []int{42, 1800} {
		b.Run(fmt.Sprint(endpoints, " endpoints"), func(b *testing.B) {
			f := newLargeFleet(endpoints)
			for _, state := range f.balancer.states {
				state.pace.set(90+int(state.hash%160), f.manual.Clock().Now())
			}
			benchmarkPlace(b, f, func(i int, object string) *Request {
				if i%2 == 0 {
					return requestOn(urgentRoute, object)
				}
				return requestOn(bulkRoute, object)
			})
		})
	}
}

func benchmarkPlace(b *testing.B, f *fleet, newRequest func(i int, object string) *Request) {
	var objects []string
	for i := range 64 {
		objects = append(objects, fmt.Sprint("object ", i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if grant, err := f.balancer.Place(newRequest(i, objects[i/2%len(objects)])); err == nil {
			grant.Done(Result{Outcome: Cancelled, Running: -1})
		}
	}
}
