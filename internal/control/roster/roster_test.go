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

// fleet is VMs that call each other under one clock.
type fleet struct {
	manual *clock.Manual
	vms    map[string]*Roster
	states map[string]*State
	mesh   *mesh.Mesh
	// apart, if set, is a data centre that is cut off from the others.
	apart string
	// briefs counts what relays told of single VMs.
	briefs int
}

func newFleet(count int) *fleet {
	f := &fleet{manual: &clock.Manual{}, vms: map[string]*Roster{}, states: map[string]*State{}, mesh: mesh.New()}
	f.mesh.Parts = f.parts
	f.manual.Advance(clock.Minute)
	var all []vm.VM
	for i := range count {
		region := string("abc"[i%3])
		all = append(all, vm.VM{Name: fmt.Sprintf("vm-%02d", i), Region: region, DataCentre: fmt.Sprint(region, i%2+1), PeerAddress: fmt.Sprintf("vm-%02d", i)})
	}
	for _, one := range all {
		state := &State{ID: vm.ID{Name: one.Name, Incarnation: 1}, VM: one, Ready: true, Contact: true}
		f.states[one.Name] = state
		roster := &Roster{Self: one, Peers: mesh.Caller{Mesh: f.mesh, From: one.Name}, Clock: f.manual.Clock()}
		roster.LocalState = func() State {
			// VMs of a large fleet stood still: what is loaded asked for the relays.
			if !roster.mu.TryLock() {
				panic("the state is loaded under the roster's lock")
			}
			roster.mu.Unlock()
			return *state
		}
		roster.SetRegistered(all)
		f.vms[one.Name] = roster
		f.mesh.Serve[one.Name] = func(_ string, args, reply any) error { return f.serve(roster, args, reply) }
	}
	return f
}

// serve answers a peer's exchange and counts what both tell.
func (f *fleet) serve(r *Roster, args, reply any) error {
	err := NewReceiver(r).Exchange(args.(State), reply.(*State))
	for _, word := range append(args.(State).Words, reply.(*State).Words...) {
		f.briefs += len(word.VMs)
	}
	return err
}

// parts says whether apart is between two VMs.
func (f *fleet) parts(from, to string) bool {
	one, other := f.states[from].VM.DataCentre, f.states[to].VM.DataCentre
	return one != other && (one == f.apart || other == f.apart)
}

// run lets all VMs exchange their states for a time.
func (f *fleet) run(time clock.Millis) {
	for passed := clock.Millis(0); passed < time; passed += exchangeInterval {
		for _, roster := range f.vms {
			for name, address := range roster.targets() {
				roster.call(context.Background(), name, address)
			}
		}
		f.manual.Advance(exchangeInterval)
	}
}

func names(vms []vm.VM) (list []string) {
	for _, one := range vms {
		list = append(list, one.Name)
	}
	return list
}

func TestAVMThatIsSilentIsNamedNoMore(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(9)
	f.run(2 * clock.Second)
	g.Expect(names(PreferredVMs(f.vms["vm-01"].Members(), "a", "a1"))).To(Equal([]string{"vm-00", "vm-06"}))
	f.mesh.Cut["vm-00"] = true
	// Users allow 7 s; half of it is left to callers who keep an answer.
	f.run(3500)
	g.Expect(names(PreferredVMs(f.vms["vm-01"].Members(), "a", "a1"))).NotTo(ContainElement("vm-00"))
	f.mesh.Cut["vm-00"] = false
	f.run(2 * clock.Second)
	g.Expect(names(PreferredVMs(f.vms["vm-01"].Members(), "a", "a1"))).To(ContainElement("vm-00"))
}

func TestAVMThatStopsIsNamedNoMoreAtOnce(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(9)
	f.run(2 * clock.Second)
	f.states["vm-00"].Stopping = true
	f.run(exchangeInterval)
	g.Expect(names(PreferredVMs(f.vms["vm-01"].Members(), "a", "a1"))).NotTo(ContainElement("vm-00"))
}

func TestACallerIsSentToItsRegionWhileThereIsAVM(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(9)
	f.run(2 * clock.Second)
	g.Expect(names(PreferredVMs(f.vms["vm-01"].Members(), "a", "another data centre"))).To(Equal([]string{"vm-00", "vm-03", "vm-06"}))
	g.Expect(PreferredVMs(f.vms["vm-01"].Members(), "a region without VMs", "")).To(HaveLen(9))
}

func TestALargeFleetKnowsAllVMsThroughItsRelays(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(48)
	f.run(8 * clock.Second)
	for name, roster := range f.vms {
		heard := 0
		for _, member := range roster.Members() {
			if member.Reachable {
				heard++
			}
		}
		g.Expect(heard).To(Equal(48), name)
	}
	f.mesh.Calls.Store(0)
	f.run(exchangeInterval)
	g.Expect(f.mesh.Calls.Load()).To(BeNumerically("<", 48*47/2), "not every pair exchanges states")
}

// At 302 VMs a relay told each VM of its region of all VMs elsewhere at each
// exchange, 8 MB a second.
func TestALargeFleetTellsChangesOnly(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(300)
	f.run(12 * clock.Second)
	f.mesh.Calls.Store(0)
	f.briefs = 0
	f.run(2 * clock.Second)
	g.Expect(f.briefs).To(BeZero())
	rounds := int(2 * clock.Second / exchangeInterval)
	relays := 3 * relaysPerRegion
	g.Expect(f.mesh.Calls.Load()).To(BeNumerically("<=", rounds*(300*relaysPerRegion+relays*relays)), "VMs exchange states with relays only")
	for name, roster := range f.vms {
		g.Expect(len(roster.versions())).To(BeNumerically("<=", relays), "%s names only words that are told again", name)
	}
	f.states["vm-50"].Stopping = true
	f.run(2 * clock.Second)
	g.Expect(f.briefs).To(BeNumerically(">", 0))
	for _, name := range []string{"vm-40", "vm-53", "vm-100"} {
		g.Expect(names(PreferredVMs(f.vms[name].Members(), "c", "c1"))).NotTo(ContainElement("vm-50"), name)
	}
}

func TestAVMOfALargeFleetThatIsSilentIsNamedNoMore(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(48)
	f.run(8 * clock.Second)
	f.mesh.Cut["vm-20"] = true
	// Users allow 7 s; two are left to callers who keep an answer.
	f.run(5 * clock.Second)
	for name, roster := range f.vms {
		if name != "vm-20" {
			g.Expect(names(PreferredVMs(roster.Members(), "c", "c1"))).NotTo(ContainElement("vm-20"), name)
		}
	}
	f.mesh.Cut["vm-20"] = false
	f.run(3 * clock.Second)
	for name, roster := range f.vms {
		g.Expect(names(PreferredVMs(roster.Members(), "c", "c1"))).To(ContainElement("vm-20"), name)
	}
}

func TestADataCentreThatIsCutOffKnowsItsVMs(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(60)
	f.run(8 * clock.Second)
	f.apart = "a2"
	f.run(12 * clock.Second)
	_, isRelay := f.vms["vm-03"].Relays()
	g.Expect(isRelay).To(BeTrue(), "the first VM of each data centre is a relay")
	for name, roster := range f.vms {
		named := names(PreferredVMs(roster.Members(), "a", "a2"))
		if f.states[name].VM.DataCentre == "a2" {
			g.Expect(named).To(Equal([]string{"vm-03", "vm-09", "vm-15", "vm-21", "vm-27", "vm-33", "vm-39", "vm-45", "vm-51", "vm-57"}), name)
			continue
		}
		g.Expect(named).NotTo(ContainElement("vm-09"), name)
	}
	f.apart = ""
	f.run(8 * clock.Second)
	for name, roster := range f.vms {
		g.Expect(names(PreferredVMs(roster.Members(), "a", "a2"))).To(HaveLen(10), name)
	}
}

func TestRelaysTellWhatTheOthersOfTheRegionRun(t *testing.T) {
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

// After a loss of power each of 86 VMs took itself for a relay until it heard the
// others, and those that it heard first: a workspace had many owners.
func TestVMsThatStartTogetherAgreeOnTheirRelays(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(86)
	relays := []string{"vm-00", "vm-01", "vm-02", "vm-03", "vm-04", "vm-05"}
	for range 8 {
		for name, roster := range f.vms {
			deciders, _ := roster.DutyCandidates(roster.Members())
			for _, decider := range deciders {
				g.Expect(relays).To(ContainElement(decider.ID.Name), "as %s sees it", name)
			}
		}
		f.run(exchangeInterval)
	}
	for name, roster := range f.vms {
		deciders, isMost := roster.DutyCandidates(roster.Members())
		g.Expect(isMost).To(BeTrue(), name)
		g.Expect(deciders).To(HaveLen(len(relays)), name)
	}
}

// One relay of each region gave all its VMs their copies.
func TestRelaysShareThoseThatAsk(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(300)
	f.run(4 * clock.Second)
	asked := map[string]int{}
	for _, roster := range f.vms {
		if others, isRelay := roster.Relays(); !isRelay {
			g.Expect(others).To(HaveLen(relaysPerRegion))
			asked[others[0].Name]++
		}
	}
	g.Expect(asked).To(HaveLen(3 * relaysPerRegion))
	for name, count := range asked {
		g.Expect(count).To(BeNumerically("~", 49, 20), name)
	}
}

func TestARelaysDutyPassesOn(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(48)
	f.run(6 * clock.Second)
	others, isRelay := f.vms["vm-06"].Relays()
	g.Expect(isRelay).To(BeFalse())
	g.Expect(names(others)).To(ConsistOf("vm-00", "vm-03"))
	f.mesh.Cut["vm-00"] = true
	f.states["vm-03"].Contact = false
	f.run(6 * clock.Second)
	others, isRelay = f.vms["vm-12"].Relays()
	g.Expect(isRelay).To(BeFalse())
	g.Expect(names(others)).To(ConsistOf("vm-06", "vm-09"), "those that the store answers go first")
}

func TestEvidenceOnANewVersionReachesOtherRegions(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(48)
	for _, state := range f.states {
		if state.VM.Region == "a" {
			state.Trials = map[string]canary.Evidence{"s": {To: "v2", NewAnswers: 1, NewBad: 1}}
		}
	}
	heard := 0.0
	f.vms["vm-46"].OnExchange = func(state State) {
		if told, found := state.Regions["a"]; found {
			heard = max(heard, told["s"].NewBad)
		}
	}
	f.run(8 * clock.Second)
	g.Expect(heard).To(Equal(16.0))
}

func TestOnlyTheSideWithMostVMsDecides(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(9)
	f.run(2 * clock.Second)
	_, isMost := f.vms["vm-08"].DutyCandidates(f.vms["vm-08"].Members())
	g.Expect(isMost).To(BeTrue())
	f.mesh.Cut["vm-08"] = true
	f.run(4 * clock.Second)
	deciders, isMost := f.vms["vm-08"].DutyCandidates(f.vms["vm-08"].Members())
	g.Expect(isMost).To(BeFalse())
	g.Expect(deciders).To(HaveLen(1))
	_, isMost = f.vms["vm-07"].DutyCandidates(f.vms["vm-07"].Members())
	g.Expect(isMost).To(BeTrue())
}

func TestAnOldRunsWordIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2)
	old := *f.states["vm-01"]
	f.states["vm-01"].ID.Incarnation = 2
	f.run(clock.Second)
	old.Stopping = true
	f.vms["vm-00"].hear(old)
	g.Expect(PreferredVMs(f.vms["vm-00"].Members(), "b", "b2")).To(HaveLen(1))
}

// A workspace had two owners in a calm fleet of 86 VMs: each saw half of its
// demand, and found it far below the limit.
func TestAllVMsOfACalmFleetDivideDutiesAlike(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(86)
	// VMs reach the store one after the other when all start at once.
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
		f.run(exchangeInterval)
		var first []string
		for name, roster := range f.vms {
			var deciders []string
			members, isMost := roster.DutyCandidates(roster.Members())
			for _, member := range members {
				deciders = append(deciders, member.ID.Name)
			}
			if first == nil {
				first = deciders
			}
			g.Expect(isMost).To(BeTrue(), name)
			g.Expect(deciders).To(Equal(first), name)
		}
	}
}
