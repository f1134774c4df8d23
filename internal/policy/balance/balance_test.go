package balance

import (
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

// fleet is a balancer over endpoints in two data centres of each of two regions.
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

// bound is what a cold endpoint of testService may get in a second.
func bound() float64 { return testService.ColdRate*1.5 + 5 }

// testVMs names VMs of region a and, one in three, b.
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

func TestRequestsForOneObjectKeepToOneEndpoint(t *testing.T) {
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

func TestVMsAgreeOnAnObjectsEndpointWithoutAWord(t *testing.T) {
	g := NewWithT(t)
	one, other := newFleet(16), newFleet(16)
	for i := range 50 {
		object := fmt.Sprint("object ", i)
		g.Expect(one.place(t, request(object)).Endpoint.ID).To(Equal(other.place(t, request(object)).Endpoint.ID), object)
		one, other = newFleet(16), newFleet(16)
	}
}

// A service that was short of room stayed so: spilled requests ran cold, and each
// pushed another object out of an endpoint's memory.
func TestShortOfRoomRequestsRunOnlyWhereTheirObjectIsWarm(t *testing.T) {
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
	t.Fatal("the home takes any number of requests")
}

func TestRoomElsewhereIsUsedWhileThereIsSome(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(16)
	seen := map[string]bool{}
	for range 6 * testSlots {
		seen[f.place(t, request("x")).Endpoint.ID] = true
	}
	g.Expect(len(seen)).To(BeNumerically(">", 1))
}

func TestAnObjectThatLeftItsEndpointIsToldToPeers(t *testing.T) {
	g := NewWithT(t)
	one, other := newFleet(16), newFleet(16)
	home := one.place(t, request("x")).Endpoint.ID
	running := map[string]int{home: testSlots + queueDepth}
	one.balancer.UpdatePeers(running, testVMs(8))
	away := one.place(t, request("x"))
	g.Expect(away.Endpoint.ID).NotTo(Equal(home))
	told := one.balancer.Relocations()
	g.Expect(told).To(HaveKey("x"))
	g.Expect(told["x"].Endpoint).To(Equal(away.Endpoint.ID))
	other.balancer.MergeRelocations(told)
	other.balancer.UpdatePeers(running, testVMs(8))
	g.Expect(other.place(t, request("x")).Endpoint.ID).To(Equal(away.Endpoint.ID))
	one.manual.Advance(toldSpan)
	g.Expect(one.balancer.Relocations()).To(BeEmpty(), "what is old is not told again")
}

func TestEndpointsThatMustNotGetARequest(t *testing.T) {
	for name, spoil := range map[string]func(f *fleet, r *Request){
		"draining": func(f *fleet, _ *Request) {
			for i := range f.endpoints[1:] {
				f.endpoints[i+1].Draining = true
			}
			f.update(nil)
		},
		"evacuated": func(f *fleet, _ *Request) { f.update(map[string]bool{"a2": true, "b1": true, "b2": true}) },
		"another region than a home": func(f *fleet, r *Request) {
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
			spoil(f, r)
			for range 4 {
				g.Expect(f.place(t, r).Endpoint.ID).To(Equal("e00"))
			}
		})
	}
}

func TestAnEndpointWhoseAddressAnotherHasGetsNothingUntilItsEntryChanges(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1)
	f.place(t, request("x")).Done(Result{Outcome: Moved, Running: -1})
	_, err := f.balancer.Place(request("x"))
	g.Expect(err).To(HaveOccurred())
	f.update(nil)
	_, err = f.balancer.Place(request("x"))
	g.Expect(err).To(HaveOccurred(), "the same entry again tells nothing new")
	f.endpoints[0].Revision++
	f.update(nil)
	f.place(t, request("x"))
}

// The bound on a cold endpoint's requests in any second holds for all VMs
// together, each of which knows only how many there are.
func TestAllVMsTogetherKeepToAColdEndpointsRate(t *testing.T) {
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
			g.Expect(float64(inSecond)).To(BeNumerically("<=", bound()))
			g.Expect(sent).NotTo(BeEmpty(), "a cold endpoint must get some")
		})
	}
}

func TestAFailingEndpointIsLeftAloneForAWhile(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4)
	home := f.place(t, request("x"))
	home.Done(Result{Outcome: Unreachable, Running: -1})
	g.Expect(f.place(t, request("x")).Endpoint.ID).NotTo(Equal(home.Endpoint.ID))
}

func TestWhereAllEndpointsFailNoneIsLeftAlone(t *testing.T) {
	f := newFleet(4)
	for range 4 {
		f.place(t, request("")).Done(Result{Outcome: Unreachable, Running: -1})
	}
	f.place(t, request(""))
}

func TestASilentEndpointGetsNoMore(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4)
	home := f.place(t, request("x"))
	f.manual.Advance(hungAfter + 1)
	g.Expect(f.place(t, request("x")).Endpoint.ID).NotTo(Equal(home.Endpoint.ID))
}

// Good versions were taken back: the first run of each object on their endpoints
// takes three times as long as a later one, which was counted as slow.
func TestAFirstRunOfAnObjectIsNotSlow(t *testing.T) {
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

// A version that fails under load only passed its trial: its endpoints had a
// fourteenth of the others' load each.
func TestAVersionOnTrialGetsItsRequestsOnFewEndpoints(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(16)
	r := request("")
	r.Versions = canary.Choice{Only: "v1", Pack: true}
	first := f.place(t, r).Endpoint.ID
	for range testSlots - 1 {
		g.Expect(f.place(t, r).Endpoint.ID).To(Equal(first))
	}
	g.Expect(f.place(t, r).Endpoint.ID).NotTo(Equal(first), "a full endpoint is followed by the next")
	r.Versions.PackOffset = 1
	seen := map[string]bool{}
	for turn := range 16 {
		f = newFleet(16)
		r.Versions.PackOffset = turn
		seen[f.place(t, r).Endpoint.ID] = true
	}
	g.Expect(seen).To(HaveLen(16), "in turn all of them get some")
}

// A twelfth of a service's requests was refused, with two thirds of its slots
// free, while the endpoints of the version on trial were cold.
func TestATrialsRequestGoesToTheOldVersionWhereTheNewOneHasNoRoom(t *testing.T) {
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
	g.Expect("a cold endpoint").To(BeEmpty(), "gets one request a second from this VM")
}
