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

// coldFleet is nine VMs in three regions that move a service to endpoints
// started just now.
type coldFleet struct {
	manual  *clock.Manual
	service *document.Service
	state   *move.State
	placers []*Placer
	guards  []*move.Guard
	// runs counts what each endpoint ran.
	runs   map[string]int
	random *rand.Rand
}

func newColdFleet(by clock.Millis, seed uint64) *coldFleet {
	f := &coldFleet{manual: &clock.Manual{}, runs: map[string]int{}, random: rand.New(rand.NewPCG(seed, 20261204))}
	f.service = &document.Service{
		Name: "orders", ShiftCap: 250, Routes: []document.Route{{Prefix: "/"}},
		Moves: []document.Move{{From: "v1", To: "v2", Deadline: by, MaxSlowdownPercent: 50}},
	}
	for i := range 2 * coldEndpoints {
		region := testFleet.Regions[i%3].Name
		f.service.Endpoints = append(f.service.Endpoints, document.Endpoint{
			Name: fmt.Sprintf("%02d", i), Region: region, DataCentre: fmt.Sprintf("%s-%d", region, i/3%2),
			Version: fmt.Sprintf("v%d", 1+i/coldEndpoints), Slots: 3,
		})
		if i < coldEndpoints {
			f.runs[fmt.Sprintf("%02d", i)] = 1000
		}
	}
	for i := range coldVMs {
		f.addVM(i)
	}
	return f
}

// addVM starts a VM that holds one slot of each endpoint near it.
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

func (f *coldFleet) mover() {
	input := move.Input{Service: f.service, Revision: 1, Term: 1, Now: f.manual.Clock().Wall(), AllAnswered: true}
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

// request plays one request at a VM. A cold endpoint takes twice its time at
// first, which falls to the usual with the fourth run.
func (f *coldFleet) request(vm int, fault Result) (isNew bool) {
	request := testRequest(f.service)
	request.Workspace = ""
	grant, _ := f.placers[vm].try(&request, f.placers[vm].choose(&request))
	if grant == nil {
		return false
	}
	name := grant.Endpoint.Name
	result := good(warmMicros * int64(80+f.random.IntN(41)) / 100)
	isNew = grant.Endpoint.Version == "v2"
	if isNew && fault.Outcome != "" {
		result = fault
	}
	if left := coldRuns - f.runs[name]; left > 0 {
		result.Micros += result.Micros * int64(left) / coldRuns
	}
	f.runs[name]++
	grant.Done(result)
	return isNew
}

// play runs requests until the move should be over.
func (f *coldFleet) play(every clock.Millis, fault Result) (exposed, total int) {
	next := clock.Millis(0)
	for by := f.service.Moves[0].Deadline; f.manual.Clock().Now() < by; f.manual.Advance(clock.Second) {
		f.mover()
		for ; next <= f.manual.Clock().Now(); next += every {
			if f.request(total%coldVMs, fault) {
				exposed++
			}
			total++
		}
	}
	return exposed, total
}

// The first answers of a cold endpoint must not be taken for a slow version, and
// must not hide one.
func TestMoveToColdEndpoints(t *testing.T) {
	slow := good(3 * warmMicros)
	fails := Result{Outcome: Failed, Running: -1, Slots: -1}
	hangs := Result{Outcome: DeadlineExceeded, Micros: 2_000_000, Running: -1, Slots: -1}
	cases := []struct {
		name  string
		every clock.Millis
		by    clock.Millis
		fault Result
		want  move.Stage
	}{
		{"good, 50 a second", 20, 10 * clock.Minute, Result{}, move.Done},
		{"slow, 50 a second", 20, 10 * clock.Minute, slow, move.RolledBack},
		{"fails, 50 a second", 20, 10 * clock.Minute, fails, move.RolledBack},
		{"hangs, 50 a second", 20, 10 * clock.Minute, hangs, move.RolledBack},
		{"good, 2 a minute", 30 * clock.Second, clock.Hour, Result{}, move.Done},
		{"slow, 2 a minute", 30 * clock.Second, clock.Hour, slow, move.RolledBack},
		{"fails, 2 a minute", 30 * clock.Second, clock.Hour, fails, move.RolledBack},
		{"hangs, 2 a minute", 30 * clock.Second, clock.Hour, hangs, move.RolledBack},
	}
	const runs = 5
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			worst, ended := 0, clock.Millis(0)
			for run := range runs {
				f := newColdFleet(c.by, uint64(run))
				exposed, _ := f.play(c.every, c.fault)
				worst, ended = max(worst, exposed), max(ended, f.state.StageStartedAt)
				if f.state.Stage != c.want {
					t.Errorf("run %d: %s at %d: %s", run, f.state.Stage, f.state.Share, f.state.History[len(f.state.History)-1].Why)
				}
			}
			t.Logf("in %d runs at most %d requests on the new version, over at %d s at the latest", runs, worst, ended/clock.Second)
		})
	}
}
