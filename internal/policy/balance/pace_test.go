package balance

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// pacedFleet is a fleet of which each endpoint runs work at a pace and states one. One request
// is sent each 20 ms.
type pacedFleet struct {
	*fleet
	runs map[*Grant]clock.Millis
	// paceOf returns how long work takes on the endpoint and what it states.
	paceOf func(id string, now clock.Millis) (actual, stated int)
}

// usualRun is how long the work of testRoute takes on an endpoint at the usual pace, without
// the round trip.
const usualRun = 400

// run sends requests for the given time and returns how many were sent to each endpoint.
func (f *pacedFleet) run(t *testing.T, length clock.Millis) map[string]int {
	sent := map[string]int{}
	for end := f.manual.Clock().Now() + length; f.manual.Clock().Now() < end; f.manual.Advance(20) {
		now := f.manual.Clock().Now()
		for grant, endAt := range f.runs {
			if now >= endAt {
				delete(f.runs, grant)
				_, stated := f.paceOf(grant.Endpoint.ID, now)
				grant.Done(Result{Outcome: Answered, Running: len(f.balancer.states[grant.Endpoint.ID].inFlightSince), Slots: testSlots, Pace: stated})
			}
		}
		grant := f.place(t, request(""))
		actual, _ := f.paceOf(grant.Endpoint.ID, now)
		f.runs[grant] = now + clock.Millis(usualRun*actual/UsualPace)
		sent[grant.Endpoint.ID]++
	}
	return sent
}

func newPacedFleet(paceOf func(id string, now clock.Millis) (actual, stated int)) *pacedFleet {
	f := &pacedFleet{newFleet(12), map[*Grant]clock.Millis{}, paceOf}
	for i := range f.endpoints {
		f.endpoints[i].Region, f.endpoints[i].DataCentre = "a", "a1"
	}
	f.update(nil)
	return f
}

// Guards against a slow moment of an endpoint's machine that delays the requests sent to it, or
// that is learned as the speed of the endpoint or of the service.
func TestEndpointThatIsSlowForAMomentGetsFewerRequests(t *testing.T) {
	for stated, isAvoided := range map[int]bool{250: true, UsualPace: false, 0: false} {
		t.Run(fmt.Sprint("states ", stated), func(t *testing.T) {
			g := NewWithT(t)
			slowFrom := 5 * clock.Second
			f := newPacedFleet(func(id string, now clock.Millis) (int, int) {
				if id < "e04" && now >= slowFrom && now < slowFrom+600 {
					return 250, stated
				}
				return UsualPace, min(stated, UsualPace)
			})
			f.run(t, slowFrom)
			run := *f.balancer.runTime(request(""), f.manual.Clock().Now())
			sent, toSlow := f.run(t, 600), 0
			for _, id := range []string{"e00", "e01", "e02", "e03"} {
				toSlow += sent[id]
			}
			if !isAvoided {
				g.Expect(toSlow).To(BeNumerically(">=", 12), "the endpoints that come first")
				return
			}
			g.Expect(toSlow).To(BeNumerically("<=", 6))
			sent = f.run(t, 800)
			after := *f.balancer.runTime(request(""), f.manual.Clock().Now())
			g.Expect(after.uncached).To(BeNumerically("~", run.uncached, run.uncached/8))
			for id, state := range f.balancer.states {
				g.Expect(state.slowdown).To(BeNumerically("<", 1.25), id)
			}
			for range len(f.endpoints)*testSlots - len(f.runs) {
				grant := f.place(t, request(""))
				sent[grant.Endpoint.ID]++
			}
			for _, id := range []string{"e00", "e01", "e02", "e03"} {
				g.Expect(sent[id]).To(BeNumerically(">=", 2), "%s is used again", id)
			}
		})
	}
}

// Guards against endpoints that keep requests away, or draw them, with a pace that their
// answers do not show.
func TestPaceWithoutConfirmationLosesWeight(t *testing.T) {
	for _, c := range []struct {
		actual, stated int
		isTrusted      bool
	}{{250, 250, true}, {100, 250, false}, {700, 250, false}, {50, 50, true}, {100, 50, false}, {105, 110, true}} {
		t.Run(fmt.Sprintf("takes %d, states %d", c.actual, c.stated), func(t *testing.T) {
			g := NewWithT(t)
			pace := paceState{}
			for range 12 {
				pace.set(c.stated, 0)
				pace.judge(pace.statedFactor(1), float64(usualRun*c.actual/UsualPace), usualRun, usualRun)
			}
			if c.isTrusted {
				g.Expect(pace.distrust).To(BeNumerically("<", 0.05))
				return
			}
			g.Expect(pace.trusted(pace.statedFactor(1))).To(BeNumerically("~", 1, 0.1))
			for range 12 {
				pace.judge(pace.statedFactor(1), usualRun*pace.stated, usualRun, usualRun)
			}
			g.Expect(pace.distrust).To(BeNumerically("<", 0.05), "confirmed later")
		})
	}
}

func TestPaceLosesWeightWithAge(t *testing.T) {
	g := NewWithT(t)
	pace := paceState{}
	at := func(now clock.Millis) float64 { return pace.statedFactor(pace.weight(now)) }
	g.Expect(at(0)).To(Equal(1.0))
	pace.set(300, 1000)
	g.Expect(at(1000)).To(Equal(3.0))
	g.Expect(at(1000 + paceDecayTime)).To(BeNumerically("~", 1.74, 0.01))
	g.Expect(at(1000 + maxPaceAge)).To(Equal(1.0))

	run := pacedRun{statedFactor: at(1000), weight: pace.weight(1000)}
	g.Expect(run.mean(100)).To(Equal(2.0))
	g.Expect(run.mean(0)).To(Equal(3.0), "an answer that states none")
	run = pacedRun{statedFactor: at(1000 + maxPaceAge), weight: pace.weight(1000 + maxPaceAge)}
	g.Expect(run.mean(250)).To(Equal(2.5), "an old statement does not count")
}

func TestFewerReportedSlotsCountWhileTheReportIsFresh(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1)
	report := func(slots int) *endpointState {
		grant := f.place(t, request("x"))
		grant.Done(Result{Outcome: Answered, Running: 0, Slots: slots})
		return f.balancer.states["e00"]
	}
	for reported, want := range map[int]int{0: testSlots, 2: 2, testSlots: testSlots, 9: testSlots} {
		g.Expect(report(reported).slots(f.manual.Clock().Now())).To(Equal(want))
	}
	state := report(1)
	f.manual.Advance(maxReportAge)
	g.Expect(state.slots(f.manual.Clock().Now())).To(Equal(testSlots))
}
