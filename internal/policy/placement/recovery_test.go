package placement

import (
	"math/rand/v2"
	"sort"
	"testing"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/policy/move"
)

// event is an action scheduled in a simulation.
type event struct {
	at clock.Millis
	do func()
}

// regionSimulation sends the requests of one VM to endpoints with simulated
// latencies.
type regionSimulation struct {
	placer  *Placer
	service *document.Service
	manual  *clock.Manual
	random  *rand.Rand
	events  []event
	// requestCounts counts the requests of each endpoint since its start.
	requestCounts map[string]int
	isDown        bool
	// inTime counts the responses within requestTimeout by the second in which the
	// request arrived.
	inTime map[clock.Millis]int
}

const (
	requestTimeout = 200 * clock.Millis(1)
	// coldSlowdown is the factor by which the first request on a cold endpoint is
	// slower.
	coldSlowdown = 40
)

func (s *regionSimulation) schedule(wait clock.Millis, do func()) {
	at := s.manual.Clock().Now() + wait
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].at > at })
	s.events = append(s.events, event{})
	copy(s.events[i+1:], s.events[i:])
	s.events[i] = event{at, do}
}

// run processes the events before a time.
func (s *regionSimulation) run(until clock.Millis) {
	for len(s.events) > 0 && s.events[0].at < until {
		next := s.events[0]
		s.events = s.events[1:]
		s.manual.Advance(next.at - s.manual.Clock().Now())
		next.do()
	}
}

// handleArrival tries to place one request. If no local slot is free, it tries once
// more after the spill delay, with remote regions allowed.
func (s *regionSimulation) handleArrival() {
	arrivedAt := s.manual.Clock().Now()
	request := testRequest(s.service)
	request.Remaining = requestTimeout
	if grant, _ := s.placer.tryPlace(&request, move.Choice{}); grant != nil {
		s.serve(grant, arrivedAt)
		return
	}
	state := s.placer.services["orders"]
	s.schedule(state.spillDelay(), func() {
		s.placer.mu.Lock()
		grant, _ := s.placer.tryVersions(state, &request, move.Choice{}, s.manual.Clock().Now(), true)
		s.placer.mu.Unlock()
		if grant != nil {
			s.serve(grant, arrivedAt)
		}
	})
}

func (s *regionSimulation) serve(grant *Grant, arrivedAt clock.Millis) {
	sent := s.manual.Clock().Now()
	isLocal := grant.Endpoint.Region == s.placer.Region
	if isLocal && s.isDown {
		s.schedule(1, func() { grant.Done(Result{Outcome: Failed, Running: -1, Slots: -1}) })
		return
	}
	latency := clock.Millis(16 + s.random.IntN(9))
	if isLocal {
		if remaining := maxColdRequests - s.requestCounts[grant.Endpoint.Name]; remaining > 0 {
			latency += latency * (coldSlowdown - 1) * clock.Millis(remaining) / maxColdRequests
		}
		s.requestCounts[grant.Endpoint.Name]++
	} else {
		latency += 70
	}
	s.schedule(latency, func() {
		now := s.manual.Clock().Now()
		grant.Done(answeredResult(int64(now-sent) * 1000))
		if now-arrivedAt <= requestTimeout {
			s.inTime[arrivedAt/clock.Second]++
		}
	})
}

// A region that recovers with cold endpoints must take back its traffic slowly, so that
// no second has fewer responses in time than while the region was down.
func TestColdRegionRecoversWithoutLostAnswers(t *testing.T) {
	const perSecond = 400
	service := testService(6, 3)
	service.ShiftCap = 250
	placer, _, manual := testPlacer(service)
	warmUp(placer, service)
	simulation := &regionSimulation{
		placer: placer, service: service, manual: manual, random: rand.New(rand.NewPCG(1, 2)),
		requestCounts: map[string]int{}, inTime: map[clock.Millis]int{},
	}
	for _, endpoint := range service.Endpoints {
		simulation.requestCounts[endpoint.Name] = maxColdRequests
	}
	for i := range 40 * perSecond {
		simulation.schedule(clock.Millis(i)*clock.Second/perSecond, simulation.handleArrival)
	}
	simulation.run(5 * clock.Second)
	simulation.isDown = true
	simulation.run(20 * clock.Second)
	simulation.isDown = false
	clear(simulation.requestCounts)
	simulation.run(41 * clock.Second)
	baseline := simulation.inTime[18]
	for second := clock.Millis(19); second < 40; second++ {
		if simulation.inTime[second] < baseline {
			t.Errorf("second %d: %d responses in time, %d while the region was down", second, simulation.inTime[second], baseline)
		}
	}
	t.Logf("responses in time by second: %v", simulation.inTime)
	if simulation.inTime[39] != perSecond {
		t.Errorf("%d of %d responses in time in the last second", simulation.inTime[39], perSecond)
	}
}
