package balance

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/world/routing"
)

// choicesWithoutPriorities is the digest of the choices in TestChoicesWithoutPrioritiesAreUnchanged
// as of commit d9bb25b, before there were rules for pace and for priorities.
const choicesWithoutPriorities = 2799497065476679002

// Guards against rules for pace and for priorities that act in services whose endpoints state
// no pace and whose requests all have one priority.
func TestChoicesWithoutPrioritiesAreUnchanged(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(7, 11))
	f := newFleet(24)
	f.endpoints[5].ColdUntil = 4 * clock.Second
	f.update(nil)
	routes := []*routing.Route{
		testRoute,
		{Name: "upload", Work: document.WorkUpload, TargetLatency: 900, Timeout: 1800, MaxAttempts: 1},
		{Name: "bound", Work: document.WorkCatalogue, TargetLatency: 600, Timeout: 1200, MaxAttempts: 2, HomeRegions: []string{"b"}},
	}
	digest := fnv.New64a()
	var running []limitedRun
	placed, refused := 0, 0
	for step := range 6000 {
		now := f.manual.Clock().Now()
		running = slices.DeleteFunc(running, func(r limitedRun) bool {
			if r.endAt > now {
				return false
			}
			result := Result{Outcome: Answered, Running: random.IntN(testSlots + 1), Waiting: random.IntN(3)}
			switch random.IntN(40) {
			case 0:
				result.Outcome = Shed
			case 1:
				result.Outcome, result.Running = Unreachable, -1
			case 2:
				result.Outcome = DeadlineExceeded
			}
			r.grant.Done(result)
			return true
		})
		if step%100 == 0 {
			others := map[string]int{}
			for _, e := range f.endpoints {
				others[e.ID] = random.IntN(1 + step/1000)
			}
			f.balancer.UpdatePeers(others, testVMs(8))
		}
		route := routes[random.IntN(len(routes))]
		r := requestOn(route, "")
		if random.IntN(4) > 0 {
			r.Object = fmt.Sprint("object ", random.IntN(60))
		}
		r.Kilobytes, r.Remaining = float64(random.IntN(40)), clock.Millis(100+random.IntN(int(route.Timeout)))
		if grant, err := f.balancer.Place(r); err != nil {
			refused++
			_, _ = fmt.Fprintln(digest, err)
		} else {
			placed++
			_, _ = fmt.Fprintln(digest, grant.Endpoint.ID)
			running = append(running, limitedRun{grant, now + clock.Millis(50+random.IntN(900))})
		}
		f.manual.Advance(clock.Millis(1 + random.IntN(12)))
	}
	g.Expect(placed).To(BeNumerically(">", 1000))
	g.Expect(refused).To(BeNumerically(">", 100))
	g.Expect(digest.Sum64()).To(Equal(uint64(choicesWithoutPriorities)))
}
