package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/policy/move"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/membership"
)

const (
	coldVMs       = 9
	coldEndpoints = 16
	warmMicros    = 20_000
)

// coldFleet is a fleet of nine VMs in three regions during a version move to
// endpoints that have just started.
type coldFleet struct {
	manual  *clock.Manual
	service *document.Service
	state   *move.State
	placers []*Placer
	guards  []*move.Guard
	// requestCounts counts the requests of each endpoint since its start.
	requestCounts map[string]int
	random        *rand.Rand
}

func newColdFleet(deadline clock.Millis, seed uint64) *coldFleet {
	f := &coldFleet{manual: &clock.Manual{}, requestCounts: map[string]int{}, random: rand.New(rand.NewPCG(seed, 20261204))}
	f.service = &document.Service{
		Name: "orders", ShiftCap: 250, Routes: []document.Route{{Prefix: "/"}},
		Moves: []document.Move{{From: "v1", To: "v2", Deadline: deadline, MaxSlowdownPercent: 50}},
	}
	for i := range 2 * coldEndpoints {
		region := testFleet.Regions[i%3].Name
		f.service.Endpoints = append(f.service.Endpoints, document.Endpoint{
			Name: fmt.Sprintf("%02d", i), Region: region, DataCentre: fmt.Sprintf("%s-%d", region, i/3%2),
			Version: fmt.Sprintf("v%d", 1+i/coldEndpoints), Slots: 3,
		})
		if i < coldEndpoints {
			f.requestCounts[fmt.Sprintf("%02d", i)] = 1000
		}
	}
	for i := range coldVMs {
		f.addVM(i)
	}
	return f
}

// addVM adds a VM that holds one slot of each endpoint in its region.
func (f *coldFleet) addVM(i int) {
	region := testFleet.Regions[i%3].Name
	slots := &fakeSlots{share: map[contract.Resource]int{}, taken: map[contract.Resource]int{}, lendable: map[contract.Resource]int{}}
	for _, endpoint := range f.service.Endpoints {
		if endpoint.Region == region {
			slots.share[contract.SlotsResource("orders", endpoint.Name)] = 1
		}
	}
	guard := &move.Guard{Clock: f.manual.Clock(), VM: fmt.Sprintf("vm%d", i)}
	guard.Peers = &coldPeers{fleet: f, self: guard}
	placer := &Placer{Clock: f.manual.Clock(), Slots: slots, Versions: guard, Region: region, DataCentre: fmt.Sprintf("%s-%d", region, i/3%2)}
	placer.Update(testFleet, &membership.View{})
	f.placers, f.guards = append(f.placers, placer), append(f.guards, guard)
}

type coldPeers struct {
	fleet *coldFleet
	self  *move.Guard
}

func (p *coldPeers) Suspend(suspension move.Suspension) {
	for _, guard := range p.fleet.guards {
		guard.Suspend(suspension)
	}
}

func (p *coldPeers) Report(evidence []move.Evidence) {
	for _, guard := range p.fleet.guards {
		if guard != p.self {
			guard.SetPeerEvidence(p.self.VM, evidence)
		}
	}
}

func (f *coldFleet) runMover() {
	input := move.Input{Service: f.service, Revision: 1, Term: 1, Now: f.manual.Clock().Wall(), AllReplied: true}
	for _, guard := range f.guards {
		input.Evidence = append(input.Evidence, guard.Evidence()...)
		for _, suspension := range guard.Suspensions() {
			input.Suspension = &suspension
		}
	}
	f.state, _ = move.Advance(f.state, input)
	for _, guard := range f.guards {
		guard.Update(f.service, f.state)
	}
}

// request sends one request through a VM. The first request on a cold endpoint
// takes twice the usual time; from the fourth on, requests take the usual time.
func (f *coldFleet) request(vm int, fault Result) (isNew bool) {
	request := testRequest(f.service)
	request.Workspace = ""
	grant, _ := f.placers[vm].tryPlace(&request, f.placers[vm].chooseVersion(&request))
	if grant == nil {
		return false
	}
	name := grant.Endpoint.Name
	result := answeredResult(warmMicros * int64(80+f.random.IntN(41)) / 100)
	isNew = grant.Endpoint.Version == "v2"
	if isNew && fault.Outcome != "" {
		result = fault
	}
	if remaining := maxColdRequests - f.requestCounts[name]; remaining > 0 {
		result.Micros += result.Micros * int64(remaining) / maxColdRequests
	}
	f.requestCounts[name]++
	grant.Done(result)
	return isNew
}

// run sends requests until the deadline of the move.
func (f *coldFleet) run(interval clock.Millis, fault Result) (exposed, total int) {
	next := clock.Millis(0)
	for deadline := f.service.Moves[0].Deadline; f.manual.Clock().Now() < deadline; f.manual.Advance(clock.Second) {
		f.runMover()
		for ; next <= f.manual.Clock().Now(); next += interval {
			if f.request(total%coldVMs, fault) {
				exposed++
			}
			total++
		}
	}
	return exposed, total
}

// The slow first responses of a cold endpoint must not get a good version rolled back,
// and must not hide a slow version.
func TestMoveToColdEndpoints(t *testing.T) {
	slow := answeredResult(3 * warmMicros)
	fails := Result{Outcome: Failed, Running: -1, Slots: -1}
	hangs := Result{Outcome: DeadlineExceeded, Micros: 2_000_000, Running: -1, Slots: -1}
	cases := []struct {
		name  string
		every clock.Millis
		by    clock.Millis
		fault Result
		want  move.Stage
	}{
		{"good, 50 per second", 20, 10 * clock.Minute, Result{}, move.Done},
		{"slow, 50 per second", 20, 10 * clock.Minute, slow, move.RolledBack},
		{"fails, 50 per second", 20, 10 * clock.Minute, fails, move.RolledBack},
		{"hangs, 50 per second", 20, 10 * clock.Minute, hangs, move.RolledBack},
		{"good, 2 per minute", 30 * clock.Second, clock.Hour, Result{}, move.Done},
		{"slow, 2 per minute", 30 * clock.Second, clock.Hour, slow, move.RolledBack},
		{"fails, 2 per minute", 30 * clock.Second, clock.Hour, fails, move.RolledBack},
		{"hangs, 2 per minute", 30 * clock.Second, clock.Hour, hangs, move.RolledBack},
	}
	const runs = 5
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			maxExposed, maxEnd := 0, clock.Millis(0)
			for run := range runs {
				f := newColdFleet(c.by, uint64(run))
				exposed, _ := f.run(c.every, c.fault)
				maxExposed, maxEnd = max(maxExposed, exposed), max(maxEnd, f.state.StageStartedAt)
				if f.state.Stage != c.want {
					t.Errorf("run %d: stage %s at a share of %d: %s", run, f.state.Stage, f.state.Share, f.state.History[len(f.state.History)-1].Why)
				}
			}
			t.Logf("in %d runs: at most %d requests on the new version, last stage reached after at most %d s", runs, maxExposed, maxEnd/clock.Second)
		})
	}
}
