package measure

import (
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/standin/endpoint"
	"baobabladder.example/baobabladder/internal/standin/firm"
)

// sample returns a request's end; a latency of 0 is a refusal.
func sample(service, workspace string, within bool, floor, micros int64) Sample {
	made := Sample{
		Request: &Request{Service: service, Workspace: workspace, WithinRate: within, Floor: floor, Deadline: 1000, Work: document.WorkCatalogue},
		Outcome: Answered, LatencyMicros: micros,
	}
	if micros == 0 {
		made.Outcome = Refused
	}
	return made
}

func TestLatencyOverFloorIsTakenRequestByRequest(t *testing.T) {
	g := NewWithT(t)
	ended := []Sample{sample("s", "a", true, 100, 0), sample("s", "a", true, 50, 30)}
	for i := range int64(100) {
		ended = append(ended, sample("s", "a", true, 100*(i+1), 100*(i+1)+i))
	}
	got := measureLatency(ended, func(*Sample) bool { return true })
	g.Expect(got.Count).To(BeEquivalentTo(101))
	// One answer came below its floor and counts as 0 over it.
	g.Expect(got.OverP50).To(BeEquivalentTo(49))
	g.Expect(got.OverP99).To(BeEquivalentTo(98))
	g.Expect(got.P99).To(BeNumerically("~", 9998, 10))
	g.Expect(got.FloorP99).To(BeNumerically("~", 9900, 10))
}

func TestWorstWorkspaceLeavesOutOpenLookUpsAndExcess(t *testing.T) {
	g := NewWithT(t)
	ended := []Sample{
		sample("s", "", true, 1, 0),
		sample("s", "large", true, 1, 9), sample("s", "large", false, 1, 9), sample("s", "large", false, 1, 0),
		sample("s", "small", true, 1, 9), sample("s", "small", true, 1, 0), sample("s", "small", true, 1, 1_000_001),
	}
	list := fates(ended)
	g.Expect(list).To(HaveLen(3))
	g.Expect(worst(list)).To(Equal(WorkspaceResult{Service: "s", Workspace: "small", Sent: 3, WithinRate: 3, InTime: 1, Refused: 1}))
	g.Expect(list[1].ServedShare()).To(BeNumerically("==", 1))
	// The large one's refusal is explained by its excess, the small one's is not.
	g.Expect(refusedInside(list)).To(Equal(1))
}

func TestHeadroomIsTheLeastOfWholeSeconds(t *testing.T) {
	g := NewWithT(t)
	watcher := newWatcher()
	busy, idle := group{"s", "a"}, group{"s", "b"}
	watcher.seconds[10] = map[group]load{busy: {running: 99, slots: 100}}
	watcher.seconds[11] = map[group]load{busy: {running: 60, slots: 80}, idle: {running: 10, slots: 80}}
	watcher.seconds[12] = map[group]load{busy: {running: 40, slots: 80}, idle: {running: 80, slots: 80}}
	least, where := watcher.leastFree(10_500, 12_900)
	g.Expect(least).To(BeNumerically("==", 0.25))
	g.Expect(where).To(Equal("s in a"))
}

func TestRetriesLeaveOutOrdersSentTwiceOnPurpose(t *testing.T) {
	g := NewWithT(t)
	manual := &clock.Manual{}
	watcher := newWatcher()
	watcher.clock = manual.Clock()
	for _, path := range []string{"/a", "/b", "/c" + twiceMark, "/c" + twiceMark, "/a"} {
		watcher.arrive(path)
	}
	g.Expect(watcher.worstRepeats(0, clock.Second)).To(BeNumerically("==", 0.2))
}

func TestSecondsBeginAfterTheWarmUp(t *testing.T) {
	g := NewWithT(t)
	ended := []Sample{sample("s", "a", true, 1, 9), sample("s", "a", true, 1, 0), sample("s", "a", true, 1, 9)}
	for i := range ended {
		ended[i].SendAt = int64(warmTime+clock.Millis(i)*600) * 1000
	}
	g.Expect(secondShares(ended)).To(Equal([]float64{0.5, 1}))
}

func TestLossBoundCountsSurvivingSlots(t *testing.T) {
	g := NewWithT(t)
	service := &document.Service{Name: "s", Endpoints: []document.Endpoint{{Region: "a", Slots: 2}, {Region: "b", Slots: 3}}}
	var sent []Sample
	for range 40 {
		sent = append(sent, sample("s", "a", true, 1, 9))
	}
	sent = append(sent, sample("s", "a", false, 1, 9), sample("other", "a", true, 1, 9))
	g.Expect(lossBound(service, "b", sent, 100, clock.Second)).To(BeNumerically("==", 0.5))
	g.Expect(lossBound(service, "a", sent, 10, clock.Second)).To(BeNumerically("==", 1))
}

func TestStretchDividesOnlyTheCataloguesLimits(t *testing.T) {
	g := NewWithT(t)
	measure := &Benchmark{Firm: "munro-lennox", Stretch: 4}
	text := "[service]\nname = catalogue\n\n[workspace w]\nrate = 450\nburst = 3\n"
	g.Expect(measure.edit(text)).To(ContainSubstring("rate = 112\nburst = 1\n"))
	g.Expect(measure.edit(strings.Replace(text, "catalogue", "orders", 1))).To(ContainSubstring("rate = 450\nburst = 3\n"))
	g.Expect(measure.edit("blocks = 10.10.0.0/16")).To(Equal("blocks = 127.10.0.0/16"))
	g.Expect(measure.times()["catalogue"]).To(BeEquivalentTo(80))
	g.Expect(measure.times()["orders"]).To(BeEquivalentTo(60))
}

// All measured uploads ran on cold endpoints, as there were fewer of them in a run
// than it takes to warm the endpoints up.
func TestMeasuredUploadsMetColdEndpoints(t *testing.T) {
	g := NewWithT(t)
	run := &run{Benchmark: &Benchmark{Firm: "munro-lennox", Stretch: 1}, watcher: newWatcher()}
	for work, runs := range map[document.Work]int{document.WorkUpload: 0, document.WorkOrder: coldRuns} {
		made := &endpoint.Endpoint{}
		look := document.Route{Prefix: "/look/", Work: document.WorkCatalogue}
		run.shape(&document.Service{Routes: []document.Route{look, {Prefix: "/", Work: work}}}, made)
		g.Expect(made.WarmUpRequests).To(Equal(runs), "%s", work)
	}
}

// requests draws a load against a service without sockets.
func requests(seed uint64, factors map[string]float64) []*Request {
	service := &document.Service{
		Name: "s", Deadline: 800, Routes: []document.Route{{Prefix: "/c/", Work: document.WorkCatalogue}},
		Workspaces: []document.Workspace{{Name: "w", Rate: 100_000, Burst: 10}},
		Endpoints:  []document.Endpoint{{Name: "e", Region: "a", Slots: 3}},
	}
	made := &endpoint.Endpoint{ServiceTime: 20, JitterPercent: spread, ServiceTimeByPath: true}
	run := firm.NewUnstarted(&document.Fleet{Regions: []document.Region{{Name: "a"}, {Name: "b"}}}, service, made)
	planner := &planner{firm: run, random: rand.New(rand.NewPCG(seed, 0)), factors: factors, times: map[string]clock.Millis{"s": 20}}
	return planner.plan(20 * clock.Second)
}

func TestSameSeedGivesTheSameLoad(t *testing.T) {
	g := NewWithT(t)
	g.Expect(requests(7, nil)).To(Equal(requests(7, nil)))
	g.Expect(requests(8, nil)).NotTo(Equal(requests(7, nil)))
}

func TestLoadWithinTheRateIsWhatOneBucketAdmits(t *testing.T) {
	g := NewWithT(t)
	within := func(all []*Request) (count int) {
		for _, request := range all {
			if request.WithinRate {
				count++
			}
		}
		return count
	}
	ordinary, five := requests(7, nil), requests(7, map[string]float64{"w": fiveTimes})
	g.Expect(len(ordinary)).To(BeNumerically("~", 1600, 160))
	g.Expect(len(five)).To(BeNumerically("~", 10_000, 500))
	g.Expect(within(five)).To(BeNumerically("~", 2000, 15))
	for _, request := range ordinary {
		g.Expect(request.Floor).To(BeNumerically(">=", 16_000))
		g.Expect(request.Floor).To(BeNumerically("<=", 24_000))
	}
}
