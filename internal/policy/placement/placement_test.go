package placement

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/move"
	"baobabladder.example/baobabladder/internal/standin/fuzz"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/vm"
)

func TestMain(m *testing.M) {
	os.Exit(fuzz.Main(m, fuzz.Config{Seed: 20261204, Checks: 200, Steps: 100}))
}

// fakeSlots implements Slots and counts the slots taken independently of the
// placer.
type fakeSlots struct {
	mu    sync.Mutex
	share map[contract.Resource]int
	taken map[contract.Resource]int
	// lendable counts the slots that peers would lend.
	lendable map[contract.Resource]int
	// takeFailures is the number of the next Take calls that fail, as if the
	// slot had been lent to a peer after the call of Free.
	takeFailures int
	// isInconsistent is true once a slot was released that was not taken.
	isInconsistent bool
}

func (f *fakeSlots) Free(resource contract.Resource) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.share[resource] - f.taken[resource]
}

func (f *fakeSlots) Take(resource contract.Resource) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.takeFailures > 0 {
		f.takeFailures--
		return false
	}
	if f.taken[resource] >= f.share[resource] {
		return false
	}
	f.taken[resource]++
	return true
}

func (f *fakeSlots) Release(resource contract.Resource) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.taken[resource]--
	f.isInconsistent = f.isInconsistent || f.taken[resource] < 0
}

func (f *fakeSlots) addLendable(resource contract.Resource) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lendable[resource]++
}

func (f *fakeSlots) Borrow(_ context.Context, candidates []contract.Resource) (contract.Resource, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, candidate := range candidates {
		if f.lendable[candidate] > 0 {
			f.lendable[candidate]--
			f.taken[candidate]++
			return candidate, true
		}
	}
	return "", false
}

// fakeLinks has a fixed number of bytes for all links together.
type fakeLinks struct{ available, used int64 }

func (f *fakeLinks) Take(_ contract.Resource, bytes int64) bool {
	if bytes > f.available {
		return false
	}
	f.available -= bytes
	f.used += bytes
	return true
}

var testFleet = &document.Fleet{
	Regions: []document.Region{{Name: "clyde"}, {Name: "grampian"}, {Name: "lothian"}},
	Links: []document.Link{
		{A: "clyde", B: "grampian", Mbit: 280, Latency: 70},
		{A: "clyde", B: "lothian", Mbit: 280, Latency: 70},
		{A: "grampian", B: "lothian", Mbit: 280, Latency: 60},
	},
}

func testService(perRegion, slots int) *document.Service {
	service := &document.Service{Name: "orders", ShiftCap: 1000, Routes: []document.Route{{Prefix: "/", MaxBody: 1000}}}
	for _, region := range []string{"clyde", "grampian", "lothian"} {
		for i := range perRegion {
			service.Endpoints = append(service.Endpoints, document.Endpoint{
				Name: fmt.Sprintf("%s-%d", region, i), Region: region, DataCentre: fmt.Sprintf("%s-%d", region, i%2), Version: "v1", Slots: slots,
			})
		}
	}
	return service
}

func testPlacer(service *document.Service) (*Placer, *fakeSlots, *clock.Manual) {
	manual := &clock.Manual{}
	slots := &fakeSlots{share: map[contract.Resource]int{}, taken: map[contract.Resource]int{}, lendable: map[contract.Resource]int{}}
	for _, endpoint := range service.Endpoints {
		slots.share[contract.SlotsResource(service.Name, endpoint.Name)] = endpoint.Slots
	}
	placer := &Placer{Clock: manual.Clock(), Slots: slots, Region: "lothian", DataCentre: "lothian-0"}
	placer.Update(testFleet, &membership.View{})
	return placer, slots, manual
}

func testRequest(service *document.Service) Request {
	return Request{Service: service, Route: &service.Routes[0], Workspace: "a", Remaining: 2 * clock.Second, Bytes: 100}
}

func answeredResult(micros int64) Result {
	return Result{Outcome: Answered, Micros: micros, Running: -1, Slots: -1}
}

// warmUp ends the probation of all endpoints, so that they take concurrent
// requests.
func warmUp(placer *Placer, service *document.Service) {
	request := testRequest(service)
	placer.mu.Lock()
	defer placer.mu.Unlock()
	for _, e := range placer.serviceState(request.Service, move.Choice{}).endpoints {
		e.responses = probationResponses
		e.latencyMicros = 10_000
	}
}

func refusalOf(err error) *reason.Refusal {
	refusal, _ := fault.As[*reason.Refusal](err)
	return refusal
}

// TestPlacementFuzz runs random operations, none of which waits in the queue,
// and compares the slots and link bytes in use with those of the requests in
// flight.
func TestPlacementFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := testService(rapid.SampledFrom([]int{2, 30}).Draw(t, "endpoints"), 2)
		service.ShiftCap = rapid.SampledFrom([]int{100, 250, 1000}).Draw(t, "cap")
		placer, slots, manual := testPlacer(service)
		links := &fakeLinks{available: 5000}
		placer.Links = links
		var inFlight []*Grant
		closed := map[string]bool{}
		var remote int64
		t.Repeat(map[string]func(*rapid.T){
			"place": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "count") {
					request := testRequest(service)
					grant, _ := placer.tryPlace(&request, move.Choice{})
					if grant == nil {
						continue
					}
					if closed[grant.Endpoint.Name] {
						t.Fatalf("request placed on endpoint %s, which is leaving or drained", grant.Endpoint.Name)
					}
					if grant.Endpoint.Region != placer.Region {
						remote += request.Bytes
					}
					inFlight = append(inFlight, grant)
				}
			},
			"done": func(t *rapid.T) {
				for range rapid.IntRange(1, 10).Draw(t, "count") {
					if len(inFlight) == 0 {
						return
					}
					index := rapid.IntRange(0, len(inFlight)-1).Draw(t, "at")
					outcome := rapid.SampledFrom([]Outcome{Answered, Answered, Answered, Failed, Shed, DeadlineExceeded, Cancelled}).Draw(t, "outcome")
					result := Result{Outcome: outcome, Micros: 5000, Running: rapid.IntRange(-1, 3).Draw(t, "running"), Slots: 2}
					inFlight[index].Done(result)
					inFlight[index].Done(result)
					inFlight = append(inFlight[:index], inFlight[index+1:]...)
				}
			},
			"time": func(t *rapid.T) { manual.Advance(clock.Millis(rapid.IntRange(1, 5000).Draw(t, "millis"))) },
			"leave": func(t *rapid.T) {
				name := service.Endpoints[rapid.IntRange(0, len(service.Endpoints)-1).Draw(t, "endpoint")].Name
				closed[name] = true
				view := &membership.View{Endpoints: map[string]vm.State{}}
				for endpoint := range closed {
					view.Endpoints[endpoint] = vm.StateLeaving
				}
				placer.Update(testFleet, view)
			},
			"drain": func(t *rapid.T) {
				next := *service
				drain := document.Drain{Kind: document.DrainDataCentre, Name: rapid.SampledFrom([]string{"lothian-0", "clyde-1"}).Draw(t, "name")}
				next.Drains = append(append([]document.Drain(nil), next.Drains...), drain)
				service = &next
				for _, endpoint := range service.Endpoints {
					if endpoint.DataCentre == drain.Name {
						closed[endpoint.Name] = true
					}
				}
			},
			"lend away": func(t *rapid.T) { slots.takeFailures = rapid.IntRange(1, 3).Draw(t, "count") },
			"share shrinks": func(t *rapid.T) {
				endpoint := service.Endpoints[rapid.IntRange(0, len(service.Endpoints)-1).Draw(t, "endpoint")]
				resource := contract.SlotsResource(service.Name, endpoint.Name)
				slots.share[resource] = max(slots.taken[resource], rapid.IntRange(0, 2).Draw(t, "share"))
			},
			"": func(t *rapid.T) {
				total := 0
				for resource, taken := range slots.taken {
					total += taken
					if taken > slots.share[resource] {
						t.Fatalf("%d slots taken of a share of %d on %s", taken, slots.share[resource], resource)
					}
				}
				if slots.isInconsistent || total != len(inFlight) {
					t.Fatalf("%d slots taken for %d requests in flight", total, len(inFlight))
				}
				if remote != links.used || links.used > 5000 {
					t.Fatalf("%d bytes sent over links, but %d bytes taken from them", remote, links.used)
				}
			},
		})
	})
}

// The share of the arriving requests that a region gets must never grow by more
// than the cap in one window, also when a region goes down or recovers.
func TestShiftBetweenRegionsStaysUnderCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := testService(4, 100)
		service.ShiftCap = rapid.SampledFrom([]int{50, 250, 500}).Draw(t, "cap")
		placer, _, manual := testPlacer(service)
		warmUp(placer, service)
		count := rapid.IntRange(50, 300).Draw(t, "requests per second")
		previous := map[string]int{"lothian": count}
		isDown := false
		for second := range 20 {
			if rapid.IntRange(0, 4).Draw(t, "turn") == 0 {
				isDown = !isDown
			}
			now := map[string]int{}
			for range count {
				request := testRequest(service)
				grant, _ := placer.tryPlace(&request, move.Choice{})
				if grant == nil {
					continue
				}
				now[grant.Endpoint.Region]++
				if isDown && grant.Endpoint.Region == "lothian" {
					grant.Done(Result{Outcome: Failed, Running: -1, Slots: -1})
				} else {
					grant.Done(answeredResult(10_000))
				}
			}
			for region, served := range now {
				// Unused credit and rounding add up to three requests.
				if served > previous[region]+count*service.ShiftCap/1000+3 {
					t.Fatalf("second %d: region %s went from %d to %d of %d requests under a cap of %d thousandths", second, region, previous[region], served, count, service.ShiftCap)
				}
			}
			previous = now
			manual.Advance(shiftWindow)
		}
	})
}

func TestLocalRegionIsPreferred(t *testing.T) {
	g := NewWithT(t)
	service := testService(2, 2)
	placer, _, _ := testPlacer(service)
	warmUp(placer, service)
	request := testRequest(service)
	for range 4 {
		grant, err := placer.Place(context.Background(), request)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant.Endpoint.Region).To(Equal("lothian"))
	}
	grant, refusal := placer.tryPlace(&request, move.Choice{})
	g.Expect(grant).To(BeNil(), "a remote region was used without waiting for a local slot")
	g.Expect(refusal).To(Equal(reason.RegionFull))
}

func TestBorrowedSlotIsPreferredToRemoteRegion(t *testing.T) {
	g := NewWithT(t)
	service := testService(1, 1)
	placer, slots, _ := testPlacer(service)
	warmUp(placer, service)
	local := contract.SlotsResource("orders", "lothian-0")
	slots.share[local] = 0
	slots.lendable[local] = 1
	grant, err := placer.Place(context.Background(), testRequest(service))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(grant.Endpoint.Name).To(Equal("lothian-0"))
	grant.Done(answeredResult(1000))
	g.Expect(slots.taken[local]).To(Equal(0))
}

// A VM without slots of its own must borrow one that a peer frees only after the
// request began to wait.
func TestWaitingRequestRetriesBorrowing(t *testing.T) {
	g := NewWithT(t)
	service := testService(1, 1)
	service.Endpoints = service.Endpoints[2:]
	placer, slots, manual := testPlacer(service)
	warmUp(placer, service)
	local := contract.SlotsResource("orders", "lothian-0")
	slots.share[local] = 0
	placed := make(chan *Grant)
	go func() {
		grant, _ := placer.Place(context.Background(), testRequest(service))
		placed <- grant
	}()
	g.Eventually(func() int {
		placer.mu.Lock()
		defer placer.mu.Unlock()
		return len(placer.services["orders"].queue.waiters)
	}, "20s").Should(Equal(1))
	slots.addLendable(local)
	manual.Advance(borrowInterval)
	var grant *Grant
	g.Eventually(placed, "20s").Should(Receive(&grant))
	g.Expect(grant).NotTo(BeNil())
	grant.Done(answeredResult(1000))
	g.Expect(slots.taken[local]).To(Equal(0))
}

// A borrowed slot must be released if one of the VM's own slots was granted in the
// meantime.
func TestBorrowedSlotIsReleasedWhenOwnSlotWasGranted(t *testing.T) {
	g := NewWithT(t)
	service := testService(1, 2)
	placer, slots, _ := testPlacer(service)
	warmUp(placer, service)
	request := testRequest(service)
	own, _ := placer.tryPlace(&request, move.Choice{})
	borrowed, _ := placer.tryPlace(&request, move.Choice{})
	w := &waiter{granted: make(chan *Grant, 1)}
	w.granted <- own
	g.Expect(placer.finishBorrow(placer.services["orders"], w, borrowed)).To(BeIdenticalTo(own))
	g.Expect(slots.taken[contract.SlotsResource("orders", "lothian-0")]).To(Equal(1))
}

func TestWaitingRequestGetsReleasedSlot(t *testing.T) {
	g := NewWithT(t)
	service := testService(1, 1)
	service.Endpoints = service.Endpoints[2:]
	placer, _, _ := testPlacer(service)
	warmUp(placer, service)
	first, err := placer.Place(context.Background(), testRequest(service))
	g.Expect(err).NotTo(HaveOccurred())
	placed := make(chan *Grant)
	go func() {
		second, _ := placer.Place(context.Background(), testRequest(service))
		placed <- second
	}()
	g.Eventually(func() int {
		placer.mu.Lock()
		defer placer.mu.Unlock()
		return len(placer.services["orders"].queue.waiters)
	}, "20s").Should(Equal(1))
	first.Done(answeredResult(1000))
	g.Eventually(placed, "20s").Should(Receive(Not(BeNil())))
}

func TestUnmeetableDeadlineIsRefusedAsNotRun(t *testing.T) {
	g := NewWithT(t)
	service := testService(1, 1)
	placer, _, _ := testPlacer(service)
	grant, err := placer.Place(context.Background(), testRequest(service))
	g.Expect(err).NotTo(HaveOccurred())
	grant.Done(answeredResult(400_000))
	request := testRequest(service)
	request.Remaining = 50
	_, err = placer.Place(context.Background(), request)
	g.Expect(refusalOf(err).Reason).To(Equal(reason.DeadlinePassed))
	g.Expect(refusalOf(err).Ran).To(Equal(reason.RanNo))
}

// Uploads must leave part of the link bandwidth to orders, and an upload of unknown
// size must stay in the local region.
func TestUploadsLeaveLinkBandwidthForOrders(t *testing.T) {
	g := NewWithT(t)
	service := testService(1, 50)
	service.Endpoints = service.Endpoints[:1]
	service.Routes[0].Work = document.WorkUpload
	placer, _, manual := testPlacer(service)
	warmUp(placer, service)
	placer.Update(testFleet, &membership.View{Members: make([]membership.Member, 2)})
	manual.Advance(clock.Second)
	request := testRequest(service)
	request.Bytes = 1 << 20
	unsizedRequest := request
	unsizedRequest.Bytes = -1
	sent := int64(0)
	for range 10 {
		for range 40 {
			if grant, _ := placer.tryPlace(&request, move.Choice{}); grant != nil {
				sent += request.Bytes
				grant.Done(answeredResult(1000))
			}
		}
		manual.Advance(clock.Second)
	}
	vmShare := int64(280*125_000) * uploadLinkShare / 1000 / 2
	g.Expect(sent).To(BeNumerically("<=", 11*vmShare+request.Bytes))
	g.Expect(sent).To(BeNumerically(">=", 8*vmShare))
	grant, _ := placer.tryPlace(&unsizedRequest, move.Choice{})
	g.Expect(grant).To(BeNil())
}

// A paced body larger than the link's available bytes must go to a remote region as
// long as its first chunk fits.
func TestPacedBodyNeedsLinkBytesForFirstChunkOnly(t *testing.T) {
	g := NewWithT(t)
	service := testService(1, 1)
	service.Endpoints = service.Endpoints[:1]
	placer, _, _ := testPlacer(service)
	links := &fakeLinks{available: firstChunk}
	placer.Links = links
	request := testRequest(service)
	request.Bytes, request.Paced = 1<<20, true
	grant, _ := placer.tryPlace(&request, move.Choice{})
	g.Expect(grant).NotTo(BeNil())
	g.Expect(links.used).To(BeEquivalentTo(firstChunk))
	grant.Done(answeredResult(1000))
	grant, _ = placer.tryPlace(&request, move.Choice{})
	g.Expect(grant).To(BeNil(), "no bytes are left on the link")
}

func TestUnreliableReportsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	fresh := endpointState{config: document.Endpoint{Slots: 3}, running: 1, reportedRunning: 2, reportedAt: 1000}
	g.Expect(fresh.isReportTrusted(1500)).To(BeTrue())
	g.Expect(fresh.isReportTrusted(4000)).To(BeFalse(), "the report is too old")
	fresh.running = 3
	g.Expect(fresh.isReportTrusted(1500)).To(BeFalse(), "the report is below the VM's own requests in flight")
	frozen := endpointState{config: document.Endpoint{Slots: 3}, reportedRunning: 2}
	for i := range stuckReports + 1 {
		frozen.running = i % 2
		frozen.recordReport(Result{Running: 2, Slots: 3}, 1000)
	}
	g.Expect(frozen.isReportTrusted(1000)).To(BeFalse(), "the report never changes")
}

func TestEjectionIsBounded(t *testing.T) {
	g := NewWithT(t)
	service := testService(6, 2)
	placer, _, manual := testPlacer(service)
	placer.Region = ""
	group := &endpointGroup{}
	for range 6 {
		group.endpoints = append(group.endpoints, &endpointState{group: group, isOpen: true, responses: probationResponses})
	}
	for range 10 {
		for _, e := range group.endpoints {
			e.recordFailure(manual.Clock().Now())
		}
	}
	usable := 0
	for _, e := range group.endpoints {
		if e.isUsable(1) {
			usable++
		}
	}
	g.Expect(usable).To(Equal(4))
}

// Requests with a deadline of 1 ms must not get endpoints ejected; hangs must.
func TestShortDeadlinesDoNotEject(t *testing.T) {
	g := NewWithT(t)
	service := testService(4, 50)
	placer, _, _ := testPlacer(service)
	warmUp(placer, service)
	sendRequest := func(micros int64) {
		request := testRequest(service)
		grant, _ := placer.tryPlace(&request, move.Choice{})
		g.Expect(grant).NotTo(BeNil())
		grant.Done(Result{Outcome: DeadlineExceeded, Micros: micros, Running: -1, Slots: -1})
	}
	for range 100 {
		sendRequest(1000)
	}
	home := placer.services["orders"].regions[0]
	g.Expect(home.all.ejectedCount + home.source.ejectedCount).To(Equal(0))
	g.Expect(home.health.isDown).To(BeFalse())
	for range downFailures {
		sendRequest(1_000_000)
	}
	g.Expect(home.health.isDown).To(BeTrue())
}

// A retry that had tried every endpoint waited an eighth of its remaining time for
// a slot that it could not use.
func TestRetryWithoutAnotherEndpointDoesNotWait(t *testing.T) {
	g := NewWithT(t)
	service := testService(2, 3)
	placer, _, _ := testPlacer(service)
	request := testRequest(service)
	for i := range service.Endpoints {
		_, refusal := placer.tryPlace(&request, move.Choice{})
		g.Expect(refusal).NotTo(Equal(reason.NoEndpoint), "%d endpoints are not excluded yet", len(service.Endpoints)-i)
		request.ExcludedEndpoints = append(request.ExcludedEndpoints, service.Endpoints[i].Name)
	}
	_, refusal := placer.tryPlace(&request, move.Choice{})
	g.Expect(refusal).To(Equal(reason.NoEndpoint))
}

// The traffic of a region that is down must go to the other regions and must return
// after its recovery.
func TestTrafficLeavesDownRegionAndReturns(t *testing.T) {
	g := NewWithT(t)
	service := testService(4, 50)
	placer, _, manual := testPlacer(service)
	warmUp(placer, service)
	sendRequests := func(isDown bool) (local, remote int) {
		for range 200 {
			request := testRequest(service)
			grant, _ := placer.tryPlace(&request, move.Choice{})
			switch {
			case grant == nil:
			case grant.Endpoint.Region != "lothian":
				remote++
				grant.Done(answeredResult(40_000))
			case isDown:
				local++
				grant.Done(Result{Outcome: Failed, Running: -1, Slots: -1})
			default:
				local++
				grant.Done(answeredResult(10_000))
			}
		}
		return local, remote
	}
	local, remote := sendRequests(true)
	g.Expect(local).To(BeNumerically("<=", downFailures))
	g.Expect(remote).To(BeNumerically(">=", 190))
	for range 40 {
		manual.Advance(clock.Second)
		local, _ = sendRequests(false)
	}
	g.Expect(local).To(Equal(200))
}

// Many concurrent requests on few slots must all be served, and no slot may be held
// twice.
func TestConcurrentRequestsShareSlots(t *testing.T) {
	g := NewWithT(t)
	service := testService(2, 2)
	placer, slots, _ := testPlacer(service)
	warmUp(placer, service)
	var all sync.WaitGroup
	refused := make(chan error, 400)
	for i := range 40 {
		all.Go(func() {
			for range 10 {
				request := testRequest(service)
				request.Workspace = fmt.Sprint(i % 4)
				grant, err := placer.Place(context.Background(), request)
				if err != nil {
					refused <- err
					continue
				}
				grant.Done(answeredResult(1000))
			}
		})
	}
	all.Wait()
	g.Expect(refused).To(BeEmpty())
	g.Expect(slots.isInconsistent).To(BeFalse())
	for resource, taken := range slots.taken {
		g.Expect(taken).To(Equal(0), "slots of %s are still held", resource)
	}
}
