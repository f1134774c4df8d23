package balance

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/canary"
	"baobabladder.example/baobabladder/internal/world/directory"
	"baobabladder.example/baobabladder/internal/world/routing"
)

const testSlots = 3

var (
	testService = &routing.Service{Name: "catalogue", ColdRate: 2.5}
	testRoute   = &routing.Route{Name: "r", Work: document.WorkCatalogue, TargetLatency: 600, Timeout: 1200, MaxAttempts: 2}
)

// fleet is a Balancer with endpoints in two regions of two data centres each.
type fleet struct {
	manual    *clock.Manual
	balancer  *Balancer
	endpoints []directory.Endpoint
}

func newFleet(count int) *fleet {
	f := &fleet{manual: &clock.Manual{}}
	f.balancer = &Balancer{Clock: f.manual.Clock(), VM: "vm-0", Region: "a", DataCentre: "a1", ColdLimit: ColdLimit{Overage: 1.5, Slack: 5}}
	places := []struct{ region, dataCentre string }{{"a", "a1"}, {"a", "a2"}, {"b", "b1"}, {"b", "b2"}}
	for i := range count {
		place := places[i%len(places)]
		f.endpoints = append(f.endpoints, directory.Endpoint{
			ID: fmt.Sprintf("e%02d", i), Service: testService.Name, Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: testSlots,
			Region: place.region, DataCentre: place.dataCentre, Version: "v1", Revision: 1,
		})
	}
	f.update(nil)
	f.balancer.UpdatePeers(nil, testVMs(8))
	return f
}

func (f *fleet) update(evacuated map[string]bool) {
	f.balancer.UpdateDirectory(directory.New(f.endpoints, evacuated, nil))
}

// coldRateBound returns how many requests per second a cold endpoint of testService may
// get.
func coldRateBound() float64 { return testService.ColdRate*1.5 + 5 }

// testVMs returns VMs of which every third is in region b and the others in region a.
func testVMs(count int) (vms []VM) {
	for i := range count {
		vms = append(vms, VM{Name: fmt.Sprint("vm-", i), Region: "aab"[i%3 : i%3+1]})
	}
	return vms
}

func request(object string) *Request {
	return &Request{Route: testRoute, Service: testService, Object: object, Remaining: 1200}
}

func (f *fleet) place(t *testing.T, r *Request) *Grant {
	t.Helper()
	grant, err := f.balancer.Place(r)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return grant
}

func TestRequestsForOneObjectUseOneEndpoint(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(16)
	first := f.place(t, request("x"))
	first.Done(Result{Outcome: Answered, Running: -1})
	for range 20 {
		grant := f.place(t, request("x"))
		g.Expect(grant.Endpoint.ID).To(Equal(first.Endpoint.ID))
		grant.Done(Result{Outcome: Answered, Running: -1})
	}
}

func TestVMsAgreeOnHomeWithoutMessages(t *testing.T) {
	g := NewWithT(t)
	one, other := newFleet(16), newFleet(16)
	for i := range 50 {
		object := fmt.Sprint("object ", i)
		g.Expect(one.place(t, request(object)).Endpoint.ID).To(Equal(other.place(t, request(object)).Endpoint.ID), object)
		one, other = newFleet(16), newFleet(16)
	}
}

// A saturated service did not recover: requests sent to endpoints that were not warm
// took longer and evicted other objects from the endpoints' caches.
func TestSaturatedServiceUsesOnlyWarmEndpoints(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4)
	running := map[string]int{}
	for _, e := range f.endpoints {
		running[e.ID] = testSlots
	}
	f.balancer.UpdatePeers(running, testVMs(8))
	home := f.place(t, request("x")).Endpoint.ID
	for range 3 * testSlots {
		grant, err := f.balancer.Place(request("x"))
		if err != nil {
			refusal, isRefusal := err.(*reason.Refusal)
			g.Expect(isRefusal).To(BeTrue())
			g.Expect(refusal.Ran).To(Equal(reason.RanNo))
			g.Expect(refusal.Reason).To(Equal(reason.RegionFull))
			g.Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
			return
		}
		g.Expect(grant.Endpoint.ID).To(Equal(home))
	}
	t.Fatal("the home endpoint accepted every request")
}

func TestRequestsOverflowToOtherEndpoints(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(16)
	seen := map[string]bool{}
	for range 6 * testSlots {
		seen[f.place(t, request("x")).Endpoint.ID] = true
	}
	g.Expect(len(seen)).To(BeNumerically(">", 1))
}

func TestRelocationIsAnnouncedToPeers(t *testing.T) {
	g := NewWithT(t)
	sender, peer := newFleet(16), newFleet(16)
	home := sender.place(t, request("x")).Endpoint.ID
	running := map[string]int{home: testSlots + maxQueueLength}
	sender.balancer.UpdatePeers(running, testVMs(8))
	relocated := sender.place(t, request("x"))
	g.Expect(relocated.Endpoint.ID).NotTo(Equal(home))
	announced := sender.balancer.Relocations()
	g.Expect(announced).To(HaveKey("x"))
	g.Expect(announced["x"].Endpoint).To(Equal(relocated.Endpoint.ID))
	peer.balancer.MergeRelocations(announced)
	peer.balancer.UpdatePeers(running, testVMs(8))
	g.Expect(peer.place(t, request("x")).Endpoint.ID).To(Equal(relocated.Endpoint.ID))
	sender.manual.Advance(relocationAnnounceTime)
	g.Expect(sender.balancer.Relocations()).To(BeEmpty(), "a relocation is announced for a limited time")
}

// The only endpoint that is not excluded must get all requests.
func TestIneligibleEndpoints(t *testing.T) {
	for name, exclude := range map[string]func(f *fleet, r *Request){
		"draining": func(f *fleet, _ *Request) {
			for i := range f.endpoints[1:] {
				f.endpoints[i+1].Draining = true
			}
			f.update(nil)
		},
		"evacuated": func(f *fleet, _ *Request) { f.update(map[string]bool{"a2": true, "b1": true, "b2": true}) },
		"outside the home region": func(f *fleet, r *Request) {
			r.Workspace = &routing.Workspace{Name: "w", HomeRegions: []string{"a"}}
			f.update(map[string]bool{"a2": true})
		},
		"tried": func(_ *fleet, r *Request) { r.ExcludedEndpoints = []string{"e01", "e02", "e03"} },
		"another version": func(f *fleet, r *Request) {
			f.endpoints[0].Version = "v2"
			f.update(nil)
			r.Versions = canary.Choice{Only: "v2"}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(4)
			r := request("")
			exclude(f, r)
			for range 4 {
				g.Expect(f.place(t, r).Endpoint.ID).To(Equal("e00"))
			}
		})
	}
}

func TestEndpointWithReusedAddressIsExcludedUntilEntryChanges(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1)
	f.place(t, request("x")).Done(Result{Outcome: Moved, Running: -1})
	_, err := f.balancer.Place(request("x"))
	g.Expect(err).To(HaveOccurred())
	f.update(nil)
	_, err = f.balancer.Place(request("x"))
	g.Expect(err).To(HaveOccurred(), "an unchanged entry must not make the endpoint eligible")
	f.endpoints[0].Revision++
	f.update(nil)
	f.place(t, request("x"))
}

// The limit on a cold endpoint's requests per second applies to all VMs together,
// although they exchange only their names and regions.
func TestAllVMsTogetherRespectColdLimit(t *testing.T) {
	for _, vms := range []int{1, 8, 89} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			g := NewWithT(t)
			var fleets []*fleet
			for i := range vms {
				f := newFleet(1)
				f.balancer.VM, f.balancer.Region = testVMs(vms)[i].Name, testVMs(vms)[i].Region
				f.endpoints[0].ColdUntil = 60 * clock.Second
				f.update(nil)
				f.balancer.UpdatePeers(nil, testVMs(vms))
				fleets = append(fleets, f)
			}
			var sent []clock.Millis
			const step = 20
			for now := clock.Millis(0); now < 10*clock.Second; now += step {
				for _, f := range fleets {
					if grant, err := f.balancer.Place(request("")); err == nil {
						grant.Done(Result{Outcome: Answered, Running: -1})
						sent = append(sent, now)
					}
					f.manual.Advance(step)
				}
			}
			inSecond := 0
			for from, first := 0, 0; from < len(sent); from++ {
				for sent[from]-sent[first] >= clock.Second {
					first++
				}
				inSecond = max(inSecond, from-first+1)
			}
			g.Expect(float64(inSecond)).To(BeNumerically("<=", coldRateBound()))
			g.Expect(sent).NotTo(BeEmpty(), "a cold endpoint must get some requests")
		})
	}
}

func TestFailingEndpointIsSuspended(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4)
	home := f.place(t, request("x"))
	home.Done(Result{Outcome: Unreachable, Running: -1})
	g.Expect(f.place(t, request("x")).Endpoint.ID).NotTo(Equal(home.Endpoint.ID))
}

func TestSuspensionIsIgnoredIfAllEndpointsFail(t *testing.T) {
	f := newFleet(4)
	for range 4 {
		f.place(t, request("")).Done(Result{Outcome: Unreachable, Running: -1})
	}
	f.place(t, request(""))
}

func TestHungEndpointGetsNoRequests(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4)
	home := f.place(t, request("x"))
	f.manual.Advance(hangTimeout + 1)
	g.Expect(f.place(t, request("x")).Endpoint.ID).NotTo(Equal(home.Endpoint.ID))
}

// Good versions were rolled back: the first run of each object on their endpoints takes
// three times as long as later ones and was counted as slow.
func TestUncachedRunIsNotSlow(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4)
	for range 40 {
		grant := f.place(t, request("x"))
		f.manual.Advance(264)
		grant.Done(Result{Outcome: Answered, Running: -1})
	}
	first := f.place(t, request("y"))
	g.Expect(first.IsSlow(1000)).To(BeFalse())
	g.Expect(first.IsSlow(8 * 264)).To(BeTrue())
	g.Expect(first.IsPastTypical(264)).To(BeFalse())
	g.Expect(first.IsPastTypical(1200)).To(BeTrue())
}

// A version that fails only under load passed its trial, because each of its endpoints
// had one fourteenth of the load of the others.
func TestTrialVersionFillsEndpointsOneAfterAnother(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(16)
	r := request("")
	r.Versions = canary.Choice{Only: "v1", Pack: true}
	first := f.place(t, r).Endpoint.ID
	for range testSlots - 1 {
		g.Expect(f.place(t, r).Endpoint.ID).To(Equal(first))
	}
	g.Expect(f.place(t, r).Endpoint.ID).NotTo(Equal(first), "after a full endpoint the next one is used")
	r.Versions.PackOffset = 1
	seen := map[string]bool{}
	for turn := range 16 {
		f = newFleet(16)
		r.Versions.PackOffset = turn
		seen[f.place(t, r).Endpoint.ID] = true
	}
	g.Expect(seen).To(HaveLen(16), "all endpoints are used as PackOffset grows")
}

// While the endpoints of the version on trial were cold, one twelfth of a service's
// requests was refused although two thirds of its slots were free.
func TestTrialFallsBackToOldVersionWithoutCapacity(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4)
	f.endpoints[3].Version = "v2"
	f.endpoints[3].ColdUntil = clock.Minute
	f.update(nil)
	for range 3 {
		r := request("")
		r.Versions = canary.Choice{Only: "v2", Pack: true}
		grant := f.place(t, r)
		grant.Done(Result{Outcome: Answered, Running: -1})
		if grant.Endpoint.Version == "v1" {
			return
		}
	}
	g.Expect("a cold endpoint").To(BeEmpty(), "must get no more than one request a second from this VM")
}

func TestPausedEndpointIsNoLastResortAndSuspendedOneIs(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2)
	request := func(excluded ...string) *Request {
		return &Request{Route: testRoute, Service: testService, Remaining: 4 * clock.Second, ExcludedEndpoints: excluded}
	}
	paused, err := f.balancer.Place(request("e01"))
	g.Expect(err).NotTo(HaveOccurred())
	paused.Done(Result{Outcome: Shed, Running: -1, Pause: 2 * clock.Second})
	suspended, err := f.balancer.Place(request())
	g.Expect(err).NotTo(HaveOccurred())
	suspended.Done(Result{Outcome: Unreachable, Running: -1})
	last, err := f.balancer.Place(request())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(last.Endpoint.ID).To(Equal("e01"))
	_, err = f.balancer.Place(request("e01"))
	refusal := &reason.Refusal{}
	g.Expect(errors.As(err, &refusal)).To(BeTrue())
	g.Expect(refusal.RetryAfter).To(Equal(2 * clock.Second))
	f.manual.Advance(2 * clock.Second)
	_, err = f.balancer.Place(request("e01"))
	g.Expect(err).NotTo(HaveOccurred())
}

// A trial announced to all VMs that its endpoints had an object cached.
func TestTrialLeavesObjectsWithOldVersion(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(8)
	for i := range 4 {
		f.endpoints[i].Version = "v2"
	}
	f.update(nil)
	send := func(versions canary.Choice) *Grant {
		r := request("x")
		r.Versions = versions
		grant := f.place(t, r)
		grant.Done(Result{Outcome: Answered, Running: -1})
		return grant
	}
	old := send(canary.Choice{Not: "v2"}).Endpoint.ID
	for offset := range 4 {
		trial := canary.Choice{Only: "v2", Pack: true, PackOffset: offset}
		first := send(trial)
		g.Expect(first.Endpoint.Version).To(Equal("v2"))
		again := send(trial)
		g.Expect(again.Endpoint.ID).To(Equal(first.Endpoint.ID))
		g.Expect(again.isWarm).To(BeTrue())
		g.Expect(again.IsSlow(clock.Millis(1.5*again.typical))).To(BeTrue(), "warm endpoints respond much faster")
		g.Expect(first.IsSlow(clock.Millis(1.5 * first.typical))).To(BeFalse())
	}
	g.Expect(f.balancer.Relocations()).To(BeEmpty())
	again := send(canary.Choice{Not: "v2"})
	g.Expect(again.Endpoint.ID).To(Equal(old))
	g.Expect(again.isWarm).To(BeTrue())
}
