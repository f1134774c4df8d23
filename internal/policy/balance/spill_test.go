package balance

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/world/routing"
)

// Guards against large bodies and uploads that fill the links of a region with few endpoints
// while small requests stay in it, and against a region whose requests change places all at
// once. Of ten requests seven or eight have small bodies and one is an upload.
func TestSmallBodiesLeaveRegionWithFewEndpointsFirst(t *testing.T) {
	// Runs of requests without objects are expected to take three times as long.
	for hasObjects, requests := range map[bool]int{true: 40, false: 10} {
		t.Run(fmt.Sprint("objects ", hasObjects), func(t *testing.T) {
			g := NewWithT(t)
			f := newFleetByRegion(map[string]int{"a": 2, "b": 7, "c": 7})
			upload := &routing.Route{Name: "upload", Work: document.WorkUpload, TargetLatency: 600, Timeout: 1200, MaxAttempts: 1}
			var regions map[int]string
			// play sends the given number of requests in each of the windows and returns the
			// shares of small and large bodies and of uploads that left the region in the last.
			play := func(windows, requests int) (shares [3]float64) {
				for range windows {
					f.balancer.demand(testService.Name).recordPace(f.manual.Clock().Now())
					newest, sent, changed := map[int]string{}, [3]float64{}, 0
					shares = [3]float64{}
					for i := range requests {
						r, class := request(""), 0
						switch {
						case i%10 == 0:
							r.Route, r.Kilobytes, class = upload, 100, 2
						case i%20%7 == 1:
							r.Kilobytes, class = 30, 1
						}
						if hasObjects {
							r.Object = fmt.Sprint("object ", i)
						}
						grant := f.place(t, r)
						grant.Done(Result{Outcome: Cancelled, Running: -1})
						f.manual.Advance(2 * clock.Second / clock.Millis(requests))
						newest[i] = grant.Endpoint.Region
						sent[class]++
						if newest[i] != "a" {
							shares[class]++
						}
						if before, found := regions[i]; found && (before == "a") != (newest[i] == "a") {
							changed++
						}
					}
					if hasObjects && regions != nil {
						g.Expect(changed).To(BeNumerically("<=", 0.15*float64(min(len(regions), requests))))
					}
					regions = newest
					for class := range shares {
						shares[class] /= sent[class]
					}
				}
				return shares
			}
			usual := play(12, requests)
			g.Expect(usual[1:]).To(HaveEach(BeNumerically("<=", 0.4)), "%v", usual)
			wave := play(12, 4*requests)
			g.Expect(wave[0]).To(BeNumerically(">=", 0.85), "%v %v", usual, wave)
			g.Expect(wave[2]).To(BeNumerically("<=", 0.2), "uploads stay")
			after := play(16, requests)
			g.Expect(after[1:]).To(HaveEach(BeNumerically("<=", 0.4)), "%v", after)
		})
	}
}
