package roster

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/canary"
	"baobabladder.example/baobabladder/internal/standin/mesh"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// fleet is a set of VMs that call each other under one manual clock.
type fleet struct {
	manual *clock.Manual
	vms    map[string]*Roster
	states map[string]*State
	mesh   *mesh.Mesh
	// partitioned, if set, is a data centre that is cut off from the others.
	partitioned string
	// statuses counts the VM statuses sent in reports.
	statuses int
}

func newFleet(count int) *fleet {
	f := &fleet{manual: &clock.Manual{}, vms: map[string]*Roster{}, states: map[string]*State{}, mesh: mesh.New()}
	f.mesh.IsPartitioned = f.isPartitioned
	f.manual.Advance(clock.Minute)
	var all []vm.VM
	for i := range count {
		region := string("abc"[i%3])
		all = append(all, vm.VM{Name: fmt.Sprintf("vm-%02d", i), Region: region, DataCentre: fmt.Sprint(region, i%2+1), PeerAddress: fmt.Sprintf("vm-%02d", i)})
	}
	for _, one := range all {
		state := &State{ID: vm.ID{Name: one.Name, Incarnation: 1}, VM: one, Ready: true, Contact: true}
		f.states[one.Name] = state
		roster := &Roster{Self: one, Peers: mesh.Client{Mesh: f.mesh, From: one.Name}, Clock: f.manual.Clock()}
		roster.LocalState = func() State {
			// Guards against a deadlock: LocalState asks the roster for its relays,
			// so it must not be called with the roster's lock held.
			if !roster.mu.TryLock() {
				panic("LocalState is called with the roster's lock held")
			}
			roster.mu.Unlock()
			return *state
		}
		roster.SetRegistered(all)
		f.vms[one.Name] = roster
		f.mesh.Handlers[one.Name] = func(_ string, args, reply any) error { return f.serve(roster, args, reply) }
	}
	return f
}

// serve handles a peer's exchange and counts the VM statuses that both sides send.
func (f *fleet) serve(r *Roster, args, reply any) error {
	err := NewReceiver(r).Exchange(args.(State), reply.(*State))
	for _, report := range append(args.(State).Words, reply.(*State).Words...) {
		f.statuses += len(report.VMs)
	}
	return err
}

// isPartitioned reports whether the partition separates two VMs.
func (f *fleet) isPartitioned(from, to string) bool {
	one, other := f.states[from].VM.DataCentre, f.states[to].VM.DataCentre
	return one != other && (one == f.partitioned || other == f.partitioned)
}

// run advances the clock by duration while all VMs exchange their states.
func (f *fleet) run(duration clock.Millis) {
	for elapsed := clock.Millis(0); elapsed < duration; elapsed += fullMeshInterval {
		for _, roster := range f.vms {
			for name, address := range roster.targets() {
				roster.exchange(context.Background(), name, address)
			}
		}
		f.manual.Advance(fullMeshInterval)
	}
}

func names(vms []vm.VM) (list []string) {
	for _, one := range vms {
		list = append(list, one.Name)
	}
	return list
}

func TestUnreachableVMIsNotPreferred(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(9)
	f.run(2 * clock.Second)
	g.Expect(names(PreferredVMs(f.vms["vm-01"].Members(), "a", "a1"))).To(Equal([]string{"vm-00", "vm-06"}))
	f.mesh.Isolated["vm-00"] = true
	// Users allow 7 s. Half of it is left for callers that cache the list of VMs.
	f.run(3500)
	g.Expect(names(PreferredVMs(f.vms["vm-01"].Members(), "a", "a1"))).NotTo(ContainElement("vm-00"))
	f.mesh.Isolated["vm-00"] = false
	f.run(2 * clock.Second)
	g.Expect(names(PreferredVMs(f.vms["vm-01"].Members(), "a", "a1"))).To(ContainElement("vm-00"))
}

func TestStoppingVMIsNotPreferredAfterOneExchange(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(9)
	f.run(2 * clock.Second)
	f.states["vm-00"].Stopping = true
	f.run(fullMeshInterval)
	g.Expect(names(PreferredVMs(f.vms["vm-01"].Members(), "a", "a1"))).NotTo(ContainElement("vm-00"))
}

func TestPreferredVMsFallBackToRegionThenFleet(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(9)
	f.run(2 * clock.Second)
	g.Expect(names(PreferredVMs(f.vms["vm-01"].Members(), "a", "another data centre"))).To(Equal([]string{"vm-00", "vm-03", "vm-06"}))
	g.Expect(PreferredVMs(f.vms["vm-01"].Members(), "a region without VMs", "")).To(HaveLen(9))
}

// Callers went on using VMs that were cut off from all endpoints.
func TestCutOffVMIsNotPreferredUnlessAllAre(t *testing.T) {
	for _, count := range []int{9, 48} {
		g := NewWithT(t)
		f := newFleet(count)
		f.run(8 * clock.Second)
		f.states["vm-00"].CutOff = true
		f.run(8 * clock.Second)
		members := f.vms["vm-01"].Members()
		g.Expect(names(PreferredVMs(members, "a", "a1"))).NotTo(ContainElement("vm-00"))
		for i := range members {
			members[i].VM.ForwardAddress = members[i].ID.Name
		}
		self := f.states["vm-01"].VM
		everywhere := func(string) bool { return true }
		alternates := NewAlternates(members, self)
		g.Expect(names(alternates.Pick(count, everywhere))).To(And(HaveLen(count-2), Not(ContainElement("vm-00")), Not(ContainElement("vm-01"))))
		g.Expect(alternates.Pick(1, everywhere)[0].Region).To(Equal(self.Region), "the nearest comes first")
		g.Expect(alternates.Pick(count, func(region string) bool { return region == "nowhere" })).To(BeEmpty())
		for _, state := range f.states {
			state.CutOff = true
		}
		f.run(8 * clock.Second)
		g.Expect(names(PreferredVMs(f.vms["vm-01"].Members(), "a", "a1"))).To(ContainElement("vm-00"))
		g.Expect(NewAlternates(f.vms["vm-01"].Members(), self).Pick(count, everywhere)).To(BeEmpty())
	}
}

func TestRelaysReportAllVMsOfALargeFleet(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(48)
	f.run(8 * clock.Second)
	for name, roster := range f.vms {
		reachable := 0
		for _, member := range roster.Members() {
			if member.Reachable {
				reachable++
			}
		}
		g.Expect(reachable).To(Equal(48), name)
	}
	f.mesh.CallCount.Store(0)
	f.run(fullMeshInterval)
	g.Expect(f.mesh.CallCount.Load()).To(BeNumerically("<", 48*47/2), "the VMs must not form a full mesh")
}

// Guards against reports that are sent again without a change. In a fleet of 302 VMs
// a relay sent each VM of its region the status of all VMs elsewhere at each
// exchange, 8 MB a second.
func TestRelaysSendUnchangedReportsOnce(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(300)
	f.run(12 * clock.Second)
	f.mesh.CallCount.Store(0)
	f.statuses = 0
	f.run(2 * clock.Second)
	g.Expect(f.statuses).To(BeZero())
	rounds := int(2 * clock.Second / fullMeshInterval)
	relays := 3 * relaysPerRegion
	g.Expect(f.mesh.CallCount.Load()).To(BeNumerically("<=", rounds*(300*relaysPerRegion+relays*relays)), "VMs must exchange states with relays only")
	for name, roster := range f.vms {
		g.Expect(len(roster.knownVersions())).To(BeNumerically("<=", relays), "%s must list only reports that relays may still send", name)
	}
	f.states["vm-50"].Stopping = true
	f.run(2 * clock.Second)
	g.Expect(f.statuses).To(BeNumerically(">", 0))
	for _, name := range []string{"vm-40", "vm-53", "vm-100"} {
		g.Expect(names(PreferredVMs(f.vms[name].Members(), "c", "c1"))).NotTo(ContainElement("vm-50"), name)
	}
}

func TestUnreachableVMOfALargeFleetIsNotPreferred(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(48)
	f.run(8 * clock.Second)
	f.mesh.Isolated["vm-20"] = true
	// Users allow 7 s. Two of them are left for callers that cache the list of VMs.
	f.run(5 * clock.Second)
	for name, roster := range f.vms {
		if name != "vm-20" {
			g.Expect(names(PreferredVMs(roster.Members(), "c", "c1"))).NotTo(ContainElement("vm-20"), name)
		}
	}
	f.mesh.Isolated["vm-20"] = false
	f.run(3 * clock.Second)
	for name, roster := range f.vms {
		g.Expect(names(PreferredVMs(roster.Members(), "c", "c1"))).To(ContainElement("vm-20"), name)
	}
}

func TestPartitionedDataCentreKnowsItsOwnVMs(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(60)
	f.run(8 * clock.Second)
	f.partitioned = "a2"
	f.run(12 * clock.Second)
	_, isRelay := f.vms["vm-03"].Relays()
	g.Expect(isRelay).To(BeTrue(), "the first VM of each data centre must be a relay")
	for name, roster := range f.vms {
		preferred := names(PreferredVMs(roster.Members(), "a", "a2"))
		if f.states[name].VM.DataCentre == "a2" {
			g.Expect(preferred).To(Equal([]string{"vm-03", "vm-09", "vm-15", "vm-21", "vm-27", "vm-33", "vm-39", "vm-45", "vm-51", "vm-57"}), name)
			continue
		}
		g.Expect(preferred).NotTo(ContainElement("vm-09"), name)
	}
	f.partitioned = ""
	f.run(8 * clock.Second)
	for name, roster := range f.vms {
		g.Expect(names(PreferredVMs(roster.Members(), "a", "a2"))).To(HaveLen(10), name)
	}
}

func TestRelaysSendRequestsInFlightOfTheRegion(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(48)
	for _, state := range f.states {
		state.Running = map[string]int{"in " + state.VM.Region: 1, "everywhere": 2}
	}
	f.run(8 * clock.Second)
	for name, roster := range f.vms {
		g.Expect(roster.Running()).To(Equal(map[string]int{"in " + f.states[name].VM.Region: 15, "everywhere": 30}), name)
	}
}

// Guards against disagreement on the relays after a common start, such as after a
// loss of power. In a fleet of 86 VMs each considered itself and the VMs that it
// reached first to be relays until it had reached the others, so a workspace had
// several owners.
func TestVMsStartedTogetherAgreeOnRelays(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(86)
	relays := []string{"vm-00", "vm-01", "vm-02", "vm-03", "vm-04", "vm-05"}
	for range 8 {
		for name, roster := range f.vms {
			candidates, _ := roster.DutyCandidates(roster.Members())
			for _, candidate := range candidates {
				g.Expect(relays).To(ContainElement(candidate.ID.Name), "as seen by %s", name)
			}
		}
		f.run(fullMeshInterval)
	}
	for name, roster := range f.vms {
		candidates, hasMajority := roster.DutyCandidates(roster.Members())
		g.Expect(hasMajority).To(BeTrue(), name)
		g.Expect(candidates).To(HaveLen(len(relays)), name)
	}
}

// Guards against one relay serving a whole region: one relay of each region sent all
// its VMs their copies.
func TestFollowersAreSpreadOverRelays(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(300)
	f.run(4 * clock.Second)
	followers := map[string]int{}
	for _, roster := range f.vms {
		if others, isRelay := roster.Relays(); !isRelay {
			g.Expect(others).To(HaveLen(relaysPerRegion))
			followers[others[0].Name]++
		}
	}
	g.Expect(followers).To(HaveLen(3 * relaysPerRegion))
	for name, count := range followers {
		g.Expect(count).To(BeNumerically("~", 49, 20), name)
	}
}

func TestFailedRelaysAreReplaced(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(48)
	f.run(6 * clock.Second)
	others, isRelay := f.vms["vm-06"].Relays()
	g.Expect(isRelay).To(BeFalse())
	g.Expect(names(others)).To(ConsistOf("vm-00", "vm-03"))
	f.mesh.Isolated["vm-00"] = true
	f.states["vm-03"].Contact = false
	f.run(6 * clock.Second)
	others, isRelay = f.vms["vm-12"].Relays()
	g.Expect(isRelay).To(BeFalse())
	g.Expect(names(others)).To(ConsistOf("vm-06", "vm-09"), "VMs with contact to the store must come first")
}

func TestEvidenceOnNewVersionReachesOtherRegions(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(48)
	for _, state := range f.states {
		if state.VM.Region == "a" {
			state.Trials = map[string]canary.Evidence{"s": {To: "v2", Whole: canary.VersionCounts{New: canary.Counts{Answers: 1, Failed: 1}}}}
		}
	}
	received := 0
	f.vms["vm-46"].OnExchange = func(state State) {
		if evidence, found := state.Regions["a"]; found {
			received = max(received, evidence["s"].Whole.New.Failed)
		}
	}
	f.run(8 * clock.Second)
	g.Expect(received).To(Equal(16))
}

func TestOnlyTheMajorityPartitionHasAMajority(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(9)
	f.run(2 * clock.Second)
	_, hasMajority := f.vms["vm-08"].DutyCandidates(f.vms["vm-08"].Members())
	g.Expect(hasMajority).To(BeTrue())
	f.mesh.Isolated["vm-08"] = true
	f.run(4 * clock.Second)
	candidates, hasMajority := f.vms["vm-08"].DutyCandidates(f.vms["vm-08"].Members())
	g.Expect(hasMajority).To(BeFalse())
	g.Expect(candidates).To(HaveLen(1))
	_, hasMajority = f.vms["vm-07"].DutyCandidates(f.vms["vm-07"].Members())
	g.Expect(hasMajority).To(BeTrue())
}

func TestStateOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2)
	old := *f.states["vm-01"]
	f.states["vm-01"].ID.Incarnation = 2
	f.run(clock.Second)
	old.Stopping = true
	f.vms["vm-00"].receive(old)
	g.Expect(PreferredVMs(f.vms["vm-00"].Members(), "b", "b2")).To(HaveLen(1))
}

// Guards against disagreement on the duty candidates in a fleet without faults. In a
// fleet of 86 VMs a workspace had two owners; each saw half of its demand, far below
// the limit.
func TestAllVMsAgreeOnDutyCandidates(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(86)
	// VMs that start together reach the store one after the other.
	for _, state := range f.states {
		state.Contact = false
	}
	f.run(clock.Second)
	count := 0
	for _, state := range f.states {
		if count++; count%3 == 0 {
			state.Contact = true
		}
	}
	f.run(2 * clock.Second)
	for _, state := range f.states {
		state.Contact = true
	}
	f.run(10 * clock.Second)
	for range 10 {
		f.run(fullMeshInterval)
		var first []string
		for name, roster := range f.vms {
			var candidates []string
			members, hasMajority := roster.DutyCandidates(roster.Members())
			for _, member := range members {
				candidates = append(candidates, member.ID.Name)
			}
			if first == nil {
				first = candidates
			}
			g.Expect(hasMajority).To(BeTrue(), name)
			g.Expect(candidates).To(Equal(first), name)
		}
	}
}
