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

// sample returns the sample of a look-up with the given floor and latency, in
// microseconds; a latency of 0 stands for a refusal.
func sample(service, workspace string, withinRate bool, floor, latencyMicros int64) Sample {
	result := Sample{
		Request: &Request{Service: service, Workspace: workspace, WithinRate: withinRate, FloorMicros: floor, Deadline: 1000, Work: document.WorkCatalogue},
		Outcome: Answered, LatencyMicros: latencyMicros,
	}
	if latencyMicros == 0 {
		result.Outcome = Refused
	}
	return result
}

func TestLatencyOverFloorIsComputedPerRequest(t *testing.T) {
	g := NewWithT(t)
	completed := []Sample{sample("s", "a", true, 100, 0), sample("s", "a", true, 50, 30)}
	for i := range int64(100) {
		completed = append(completed, sample("s", "a", true, 100*(i+1), 100*(i+1)+i))
	}
	got := measureLatency(completed, func(*Sample) bool { return true })
	g.Expect(got.Count).To(BeEquivalentTo(101))
	// One sample is below its floor and counts as 0 over it.
	g.Expect(got.OverP50).To(BeEquivalentTo(49))
	g.Expect(got.OverP99).To(BeEquivalentTo(98))
	g.Expect(got.P99).To(BeNumerically("~", 9998, 10))
	g.Expect(got.FloorP99).To(BeNumerically("~", 9900, 10))
}

func TestWorstWorkspaceExcludesPublicLookUpsAndExcess(t *testing.T) {
	g := NewWithT(t)
	completed := []Sample{
		sample("s", "", true, 1, 0),
		sample("s", "large", true, 1, 9), sample("s", "large", false, 1, 9), sample("s", "large", false, 1, 0),
		sample("s", "small", true, 1, 9), sample("s", "small", true, 1, 0), sample("s", "small", true, 1, 1_000_001),
	}
	results := workspaceResults(completed)
	g.Expect(results).To(HaveLen(3))
	g.Expect(worstWorkspace(results)).To(Equal(WorkspaceResult{Service: "s", Workspace: "small", Sent: 3, WithinRate: 3, InTime: 1, Refused: 1}))
	g.Expect(results[1].ServedShare()).To(BeNumerically("==", 1))
	// The refusal of "large" is explained by its excess over the rate; that of
	// "small" is not.
	g.Expect(refusedWithinRate(results)).To(Equal(1))
}

func TestMinFreeSlotsUsesWholeSecondsOnly(t *testing.T) {
	g := NewWithT(t)
	monitor := newMonitor()
	busy, idle := endpointGroup{"s", "a"}, endpointGroup{"s", "b"}
	monitor.usageBySecond[10] = map[endpointGroup]slotUsage{busy: {running: 99, slots: 100}}
	monitor.usageBySecond[11] = map[endpointGroup]slotUsage{busy: {running: 60, slots: 80}, idle: {running: 10, slots: 80}}
	monitor.usageBySecond[12] = map[endpointGroup]slotUsage{busy: {running: 40, slots: 80}, idle: {running: 80, slots: 80}}
	lowest, name := monitor.minFreeSlots(10_500, 12_900)
	g.Expect(lowest).To(BeNumerically("==", 0.25))
	g.Expect(name).To(Equal("s in a"))
}

func TestRetryShareExcludesDuplicateOrders(t *testing.T) {
	g := NewWithT(t)
	manualClock := &clock.Manual{}
	monitor := newMonitor()
	monitor.clock = manualClock.Clock()
	for _, path := range []string{"/a", "/b", "/c" + duplicateOrderSuffix, "/c" + duplicateOrderSuffix, "/a"} {
		monitor.recordArrival(path)
	}
	g.Expect(monitor.peakRetryShare(0, clock.Second)).To(BeNumerically("==", 0.2))
}

func TestInTimeSharesStartAfterWarmUp(t *testing.T) {
	g := NewWithT(t)
	completed := []Sample{sample("s", "a", true, 1, 9), sample("s", "a", true, 1, 0), sample("s", "a", true, 1, 9)}
	for i := range completed {
		completed[i].SendAtMicros = int64(warmUpDuration+clock.Millis(i)*600) * 1000
	}
	g.Expect(inTimeShares(completed)).To(Equal([]float64{0.5, 1}))
}

func TestOutageShareBoundCountsSurvivingSlots(t *testing.T) {
	g := NewWithT(t)
	service := &document.Service{Name: "s", Endpoints: []document.Endpoint{{Region: "a", Slots: 2}, {Region: "b", Slots: 3}}}
	var sent []Sample
	for range 40 {
		sent = append(sent, sample("s", "a", true, 1, 9))
	}
	sent = append(sent, sample("s", "a", false, 1, 9), sample("other", "a", true, 1, 9))
	g.Expect(outageShareBound(service, "b", sent, 100, clock.Second)).To(BeNumerically("==", 0.5))
	g.Expect(outageShareBound(service, "a", sent, 10, clock.Second)).To(BeNumerically("==", 1))
}

func TestStretchDividesOnlyCatalogueLimits(t *testing.T) {
	g := NewWithT(t)
	benchmark := &Benchmark{Firm: "munro-lennox", Stretch: 4}
	text := "[service]\nname = catalogue\n\n[workspace w]\nrate = 450\nburst = 3\n"
	g.Expect(benchmark.editDocument(text)).To(ContainSubstring("rate = 112\nburst = 1\n"))
	g.Expect(benchmark.editDocument(strings.Replace(text, "catalogue", "orders", 1))).To(ContainSubstring("rate = 450\nburst = 3\n"))
	g.Expect(benchmark.editDocument("blocks = 10.10.0.0/16")).To(Equal("blocks = 127.10.0.0/16"))
	g.Expect(benchmark.serviceTimes()["catalogue"]).To(BeEquivalentTo(80))
	g.Expect(benchmark.serviceTimes()["orders"]).To(BeEquivalentTo(60))
}

// Guards against measuring all uploads on cold endpoints: a run has fewer uploads than
// it takes to warm these endpoints up after a cold start.
func TestUploadEndpointsHaveNoColdStart(t *testing.T) {
	g := NewWithT(t)
	run := &run{Benchmark: &Benchmark{Firm: "munro-lennox", Stretch: 1}, monitor: newMonitor()}
	for work, wantRequests := range map[document.Work]int{document.WorkUpload: 0, document.WorkOrder: warmUpRequests} {
		standIn := &endpoint.Endpoint{}
		lookUp := document.Route{Prefix: "/look/", Work: document.WorkCatalogue}
		run.configureEndpoint(&document.Service{Routes: []document.Route{lookUp, {Prefix: "/", Work: work}}}, standIn)
		g.Expect(standIn.WarmUpRequests).To(Equal(wantRequests), "%s", work)
	}
}

// requests generates a load for a service without starting a firm.
func requests(seed uint64, factors map[string]float64) []*Request {
	service := &document.Service{
		Name: "s", Deadline: 800, Routes: []document.Route{{Prefix: "/c/", Work: document.WorkCatalogue}},
		Workspaces: []document.Workspace{{Name: "w", Rate: 100_000, Burst: 10}},
		Endpoints:  []document.Endpoint{{Name: "e", Region: "a", Slots: 3}},
	}
	standIn := &endpoint.Endpoint{ServiceTime: 20, JitterPercent: serviceTimeJitterPercent, ServiceTimeByPath: true}
	unstarted := firm.NewUnstarted(&document.Fleet{Regions: []document.Region{{Name: "a"}, {Name: "b"}}}, service, standIn)
	generator := &generator{firm: unstarted, random: rand.New(rand.NewPCG(seed, 0)), rateFactors: factors, serviceTimes: map[string]clock.Millis{"s": 20}}
	return generator.generate(20 * clock.Second)
}

func TestSameSeedGeneratesSameLoad(t *testing.T) {
	g := NewWithT(t)
	g.Expect(requests(7, nil)).To(Equal(requests(7, nil)))
	g.Expect(requests(8, nil)).NotTo(Equal(requests(7, nil)))
}

func TestRequestsWithinRateMatchOneTokenBucket(t *testing.T) {
	g := NewWithT(t)
	countWithinRate := func(requests []*Request) (count int) {
		for _, request := range requests {
			if request.WithinRate {
				count++
			}
		}
		return count
	}
	baseLoad, fiveTimes := requests(7, nil), requests(7, map[string]float64{"w": largestWorkspaceFactor})
	g.Expect(len(baseLoad)).To(BeNumerically("~", 1600, 160))
	g.Expect(len(fiveTimes)).To(BeNumerically("~", 10_000, 500))
	g.Expect(countWithinRate(fiveTimes)).To(BeNumerically("~", 2000, 15))
	for _, request := range baseLoad {
		g.Expect(request.FloorMicros).To(BeNumerically(">=", 16_000))
		g.Expect(request.FloorMicros).To(BeNumerically("<=", 24_000))
	}
}
