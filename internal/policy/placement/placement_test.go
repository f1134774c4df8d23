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
	os.Exit(fuzz.Main(m, fuzz.Plan{Seed: 20261204, Checks: 200, Steps: 100}))
}

// fakeSlots holds shares and counts by itself what is taken.
type fakeSlots struct {
	mu    sync.Mutex
	share map[contract.Resource]int
	taken map[contract.Resource]int
	// lendable is what peers would lend.
	lendable map[contract.Resource]int
	// gone is how many of the next takes find the slot lent away since Free.
	gone int
	// over is set when more was taken than held, or given back than taken.
	over bool
}

func (f *fakeSlots) Free(resource contract.Resource) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.share[resource] - f.taken[resource]
}

func (f *fakeSlots) Take(resource contract.Resource) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.gone > 0 {
		f.gone--
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
	f.over = f.over || f.taken[resource] < 0
}

func (f *fakeSlots) lend(resource contract.Resource) {
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

// fakeLinks has room for a number of bytes.
type fakeLinks struct{ left, used int64 }

func (f *fakeLinks) Take(_ contract.Resource, bytes int64) bool {
	if bytes > f.left {
		return false
	}
	f.left -= bytes
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

func good(micros int64) Result {
	return Result{Outcome: Answered, Micros: micros, Running: -1, Slots: -1}
}

// warm gives every endpoint enough answers to take requests side by side.
func warm(placer *Placer, service *document.Service) {
	request := testRequest(service)
	placer.mu.Lock()
	defer placer.mu.Unlock()
	for _, n := range placer.plan(request.Service, move.Choice{}).nodes {
		n.answers = probationAnswers
		n.micros = 10_000
	}
}

func refusalOf(err error) *reason.Refusal {
	refusal, _ := fault.As[*reason.Refusal](err)
	return refusal
}

// The placer is driven by hand: no step waits, and an oracle counts what is held.
func TestPlacementFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := testService(rapid.SampledFrom([]int{2, 30}).Draw(t, "endpoints"), 2)
		service.ShiftCap = rapid.SampledFrom([]int{100, 250, 1000}).Draw(t, "cap")
		placer, slots, manual := testPlacer(service)
		links := &fakeLinks{left: 5000}
		placer.Links = links
		var held []*Grant
		closed := map[string]bool{}
		var far int64
		t.Repeat(map[string]func(*rapid.T){
			"place": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "count") {
					request := testRequest(service)
					grant, _ := placer.try(&request, move.Choice{})
					if grant == nil {
						continue
					}
					if closed[grant.Endpoint.Name] {
						t.Fatalf("new work for the closed endpoint %s", grant.Endpoint.Name)
					}
					if grant.Endpoint.Region != placer.Region {
						far += request.Bytes
					}
					held = append(held, grant)
				}
			},
			"done": func(t *rapid.T) {
				for range rapid.IntRange(1, 10).Draw(t, "count") {
					if len(held) == 0 {
						return
					}
					at := rapid.IntRange(0, len(held)-1).Draw(t, "at")
					outcome := rapid.SampledFrom([]Outcome{Answered, Answered, Answered, Failed, Shed, DeadlineExceeded, Cancelled}).Draw(t, "outcome")
					result := Result{Outcome: outcome, Micros: 5000, Running: rapid.IntRange(-1, 3).Draw(t, "running"), Slots: 2}
					held[at].Done(result)
					held[at].Done(result)
					held = append(held[:at], held[at+1:]...)
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
			"lend away": func(t *rapid.T) { slots.gone = rapid.IntRange(1, 3).Draw(t, "count") },
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
						t.Fatalf("%d taken of %d of %s", taken, slots.share[resource], resource)
					}
				}
				if slots.over || total != len(held) {
					t.Fatalf("%d slots taken for %d requests held", total, len(held))
				}
				if far != links.used || links.used > 5000 {
					t.Fatalf("%d bytes went over links, room was taken for %d", far, links.used)
				}
			},
		})
	})
}

// A region's share of the requests that came never grows by more than the cap
// in a window, in losses and returns.
func TestShiftBetweenRegionsStaysUnderCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := testService(4, 100)
		service.ShiftCap = rapid.SampledFrom([]int{50, 250, 500}).Draw(t, "cap")
		placer, _, manual := testPlacer(service)
		warm(placer, service)
		count := rapid.IntRange(50, 300).Draw(t, "requests a second")
		last := map[string]int{"lothian": count}
		isLost := false
		for second := range 20 {
			if rapid.IntRange(0, 4).Draw(t, "turn") == 0 {
				isLost = !isLost
			}
			now := map[string]int{}
			for range count {
				request := testRequest(service)
				grant, _ := placer.try(&request, move.Choice{})
				if grant == nil {
					continue
				}
				now[grant.Endpoint.Region]++
				if isLost && grant.Endpoint.Region == "lothian" {
					grant.Done(Result{Outcome: Failed, Running: -1, Slots: -1})
				} else {
					grant.Done(good(10_000))
				}
			}
			for region, served := range now {
				// Saved credit and rounding add up to three requests.
				if served > last[region]+count*service.ShiftCap/1000+3 {
					t.Fatalf("second %d: %s went from %d to %d of %d under a cap of %d", second, region, last[region], served, count, service.ShiftCap)
				}
			}
			last = now
			manual.Advance(shiftWindow)
		}
	})
}

func TestNearRegionGoesFirst(t *testing.T) {
	g := NewWithT(t)
	service := testService(2, 2)
	placer, _, _ := testPlacer(service)
	warm(placer, service)
	request := testRequest(service)
	for range 4 {
		grant, err := placer.Place(context.Background(), request)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant.Endpoint.Region).To(Equal("lothian"))
	}
	grant, why := placer.try(&request, move.Choice{})
	g.Expect(grant).To(BeNil(), "a far region was used without waiting for a near slot")
	g.Expect(why).To(Equal(reason.RegionFull))
}

func TestBorrowedSlotGoesBeforeFarRegion(t *testing.T) {
	g := NewWithT(t)
	service := testService(1, 1)
	placer, slots, _ := testPlacer(service)
	warm(placer, service)
	near := contract.SlotsResource("orders", "lothian-0")
	slots.share[near] = 0
	slots.lendable[near] = 1
	grant, err := placer.Place(context.Background(), testRequest(service))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(grant.Endpoint.Name).To(Equal("lothian-0"))
	grant.Done(good(1000))
	g.Expect(slots.taken[near]).To(Equal(0))
}

// A VM without slots of its own gets one that a peer has free only later.
func TestWaitingRequestBorrowsLater(t *testing.T) {
	g := NewWithT(t)
	service := testService(1, 1)
	service.Endpoints = service.Endpoints[2:]
	placer, slots, manual := testPlacer(service)
	warm(placer, service)
	near := contract.SlotsResource("orders", "lothian-0")
	slots.share[near] = 0
	placed := make(chan *Grant)
	go func() {
		grant, _ := placer.Place(context.Background(), testRequest(service))
		placed <- grant
	}()
	g.Eventually(func() int {
		placer.mu.Lock()
		defer placer.mu.Unlock()
		return len(placer.plans["orders"].queue.waiters)
	}, "20s").Should(Equal(1))
	slots.lend(near)
	manual.Advance(borrowInterval)
	var grant *Grant
	g.Eventually(placed, "20s").Should(Receive(&grant))
	g.Expect(grant).NotTo(BeNil())
	grant.Done(good(1000))
	g.Expect(slots.taken[near]).To(Equal(0))
}

// A slot of the VM's own that comes while a peer lends one is enough.
func TestBorrowedSlotIsGivenBackWhenAnOwnOneCame(t *testing.T) {
	g := NewWithT(t)
	service := testService(1, 2)
	placer, slots, _ := testPlacer(service)
	warm(placer, service)
	request := testRequest(service)
	own, _ := placer.try(&request, move.Choice{})
	borrowed, _ := placer.try(&request, move.Choice{})
	w := &waiter{granted: make(chan *Grant, 1)}
	w.granted <- own
	g.Expect(placer.settle(placer.plans["orders"], w, borrowed)).To(BeIdenticalTo(own))
	g.Expect(slots.taken[contract.SlotsResource("orders", "lothian-0")]).To(Equal(1))
}

func TestWaitingRequestGetsTheFreedSlot(t *testing.T) {
	g := NewWithT(t)
	service := testService(1, 1)
	service.Endpoints = service.Endpoints[2:]
	placer, _, _ := testPlacer(service)
	warm(placer, service)
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
		return len(placer.plans["orders"].queue.waiters)
	}, "20s").Should(Equal(1))
	first.Done(good(1000))
	g.Eventually(placed, "20s").Should(Receive(Not(BeNil())))
}

func TestHopelessDeadlineIsRefusedAsNotRun(t *testing.T) {
	g := NewWithT(t)
	service := testService(1, 1)
	placer, _, _ := testPlacer(service)
	grant, err := placer.Place(context.Background(), testRequest(service))
	g.Expect(err).NotTo(HaveOccurred())
	grant.Done(good(400_000))
	request := testRequest(service)
	request.Remaining = 50
	_, err = placer.Place(context.Background(), request)
	g.Expect(refusalOf(err).Reason).To(Equal(reason.DeadlinePassed))
	g.Expect(refusalOf(err).Ran).To(Equal(reason.RanNo))
}

// Uploads leave part of the link to orders, and one of unknown size stays near.
func TestUploadsDoNotCrowdOutOrders(t *testing.T) {
	g := NewWithT(t)
	service := testService(1, 50)
	service.Endpoints = service.Endpoints[:1]
	service.Routes[0].Work = document.WorkUpload
	placer, _, manual := testPlacer(service)
	warm(placer, service)
	placer.Update(testFleet, &membership.View{Members: make([]membership.Member, 2)})
	manual.Advance(clock.Second)
	request := testRequest(service)
	request.Bytes = 1 << 20
	request2 := request
	request2.Bytes = -1
	sent := int64(0)
	for range 10 {
		for range 40 {
			if grant, _ := placer.try(&request, move.Choice{}); grant != nil {
				sent += request.Bytes
				grant.Done(good(1000))
			}
		}
		manual.Advance(clock.Second)
	}
	part := int64(280*125_000) * uploadShare / 1000 / 2
	g.Expect(sent).To(BeNumerically("<=", 11*part+request.Bytes))
	g.Expect(sent).To(BeNumerically(">=", 8*part))
	grant, _ := placer.try(&request2, move.Choice{})
	g.Expect(grant).To(BeNil())
}

// A paced body that is larger than what the link takes at once goes far all the
// same, if the link has any room.
func TestPacedBodyNeedsRoomForItsFirstPieceOnly(t *testing.T) {
	g := NewWithT(t)
	service := testService(1, 1)
	service.Endpoints = service.Endpoints[:1]
	placer, _, _ := testPlacer(service)
	links := &fakeLinks{left: firstPiece}
	placer.Links = links
	request := testRequest(service)
	request.Bytes, request.Paced = 1<<20, true
	grant, _ := placer.try(&request, move.Choice{})
	g.Expect(grant).NotTo(BeNil())
	g.Expect(links.used).To(BeEquivalentTo(firstPiece))
	grant.Done(good(1000))
	grant, _ = placer.try(&request, move.Choice{})
	g.Expect(grant).To(BeNil(), "the link has no room")
}

func TestReportsAreDistrusted(t *testing.T) {
	g := NewWithT(t)
	fresh := node{endpoint: document.Endpoint{Slots: 3}, running: 1, reported: 2, reportedAt: 1000}
	g.Expect(fresh.trusted(1500)).To(BeTrue())
	g.Expect(fresh.trusted(4000)).To(BeFalse(), "an old report")
	fresh.running = 3
	g.Expect(fresh.trusted(1500)).To(BeFalse(), "a report below what this VM has there")
	frozen := node{endpoint: document.Endpoint{Slots: 3}, reported: 2}
	for i := range frozenReports + 1 {
		frozen.running = i % 2
		frozen.report(Result{Running: 2, Slots: 3}, 1000)
	}
	g.Expect(frozen.trusted(1000)).To(BeFalse(), "a report that never changes")
}

func TestEjectionIsBounded(t *testing.T) {
	g := NewWithT(t)
	service := testService(6, 2)
	placer, _, manual := testPlacer(service)
	placer.Region = ""
	group := &members{}
	for range 6 {
		group.nodes = append(group.nodes, &node{group: group, open: true, answers: probationAnswers})
	}
	for range 10 {
		for _, n := range group.nodes {
			n.failed(manual.Clock().Now())
		}
	}
	usable := 0
	for _, n := range group.nodes {
		if n.usable(1) {
			usable++
		}
	}
	g.Expect(usable).To(Equal(4))
}

// A caller that allows a millisecond must not get endpoints ejected; a hang must.
func TestShortDeadlinesDoNotEject(t *testing.T) {
	g := NewWithT(t)
	service := testService(4, 50)
	placer, _, _ := testPlacer(service)
	warm(placer, service)
	finish := func(micros int64) {
		request := testRequest(service)
		grant, _ := placer.try(&request, move.Choice{})
		g.Expect(grant).NotTo(BeNil())
		grant.Done(Result{Outcome: DeadlineExceeded, Micros: micros, Running: -1, Slots: -1})
	}
	for range 100 {
		finish(1000)
	}
	home := placer.plans["orders"].regions[0]
	g.Expect(home.all.ejected + home.old.ejected).To(Equal(0))
	g.Expect(home.health.lost).To(BeFalse())
	for range lostFailures {
		finish(1_000_000)
	}
	g.Expect(home.health.lost).To(BeTrue())
}

// A retry that has tried every endpoint waited an eighth of its time for a slot
// that it could not use.
func TestRetryWithoutAnotherEndpointDoesNotWait(t *testing.T) {
	g := NewWithT(t)
	service := testService(2, 3)
	placer, _, _ := testPlacer(service)
	request := testRequest(service)
	for i := range service.Endpoints {
		_, why := placer.try(&request, move.Choice{})
		g.Expect(why).NotTo(Equal(reason.NoEndpoint), "%d endpoints are left", len(service.Endpoints)-i)
		request.ExcludedEndpoints = append(request.ExcludedEndpoints, service.Endpoints[i].Name)
	}
	_, why := placer.try(&request, move.Choice{})
	g.Expect(why).To(Equal(reason.NoEndpoint))
}

// A lost region's traffic goes to the others, and comes back when it does.
func TestLostRegionIsLeftAndTriedAgain(t *testing.T) {
	g := NewWithT(t)
	service := testService(4, 50)
	placer, _, manual := testPlacer(service)
	warm(placer, service)
	play := func(isLost bool) (near, far int) {
		for range 200 {
			request := testRequest(service)
			grant, _ := placer.try(&request, move.Choice{})
			switch {
			case grant == nil:
			case grant.Endpoint.Region != "lothian":
				far++
				grant.Done(good(40_000))
			case isLost:
				near++
				grant.Done(Result{Outcome: Failed, Running: -1, Slots: -1})
			default:
				near++
				grant.Done(good(10_000))
			}
		}
		return near, far
	}
	near, far := play(true)
	g.Expect(near).To(BeNumerically("<=", lostFailures))
	g.Expect(far).To(BeNumerically(">=", 190))
	for range 40 {
		manual.Advance(clock.Second)
		near, _ = play(false)
	}
	g.Expect(near).To(Equal(200))
}

// Many requests at once on few slots: each is served, no slot is held twice.
func TestConcurrentRequestsShareSlots(t *testing.T) {
	g := NewWithT(t)
	service := testService(2, 2)
	placer, slots, _ := testPlacer(service)
	warm(placer, service)
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
				grant.Done(good(1000))
			}
		})
	}
	all.Wait()
	g.Expect(refused).To(BeEmpty())
	g.Expect(slots.over).To(BeFalse())
	for resource, taken := range slots.taken {
		g.Expect(taken).To(Equal(0), "%s is still held", resource)
	}
}
