package balance

import (
	"fmt"
	"testing"
)

// newLargeFleet returns a Balancer of a fleet of 66 VMs and the given number of endpoints. Half of
// the endpoints have one free slot, the others a queue of one.
func newLargeFleet(endpoints int) *fleet {
	f, running := newFleet(endpoints), map[string]int{}
	for i, e := range f.endpoints {
		running[e.ID] = testSlots - 1 + i/2%2*2
	}
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
