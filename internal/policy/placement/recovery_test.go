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
	// inTime counts the answers within requestTimeout by the second in which the
	// request arrived.
	inTime map[clock.Millis]int
}

const (
	requestTimeout = 200 * clock.Millis(1)
	// coldSlowdown is the factor by which the first request on a cold endpoint is
	// slower.
	coldSlowdown = 40
)

func (p *regionSimulation) schedule(wait clock.Millis, do func()) {
	at := p.manual.Clock().Now() + wait
	i := sort.Search(len(p.events), func(i int) bool { return p.events[i].at > at })
	p.events = append(p.events, event{})
	copy(p.events[i+1:], p.events[i:])
	p.events[i] = event{at, do}
}

// run processes the events before a time.
func (p *regionSimulation) run(until clock.Millis) {
	for len(p.events) > 0 && p.events[0].at < until {
		next := p.events[0]
		p.events = p.events[1:]
		p.manual.Advance(next.at - p.manual.Clock().Now())
		next.do()
	}
}

// handleArrival tries to place one request. If no local slot is free, it tries once
// more after the spill delay, with remote regions allowed.
func (p *regionSimulation) handleArrival() {
	arrivedAt := p.manual.Clock().Now()
	request := testRequest(p.service)
	request.Remaining = requestTimeout
	if grant, _ := p.placer.tryPlace(&request, move.Choice{}); grant != nil {
		p.serve(grant, arrivedAt)
		return
	}
	state := p.placer.services["orders"]
	p.schedule(state.spillDelay(), func() {
		p.placer.mu.Lock()
		grant, _ := p.placer.tryVersions(state, &request, move.Choice{}, p.manual.Clock().Now(), true)
		p.placer.mu.Unlock()
		if grant != nil {
			p.serve(grant, arrivedAt)
		}
	})
}

func (p *regionSimulation) serve(grant *Grant, arrivedAt clock.Millis) {
	sent := p.manual.Clock().Now()
	isLocal := grant.Endpoint.Region == p.placer.Region
	if isLocal && p.isDown {
		p.schedule(1, func() { grant.Done(Result{Outcome: Failed, Running: -1, Slots: -1}) })
		return
	}
	latency := clock.Millis(16 + p.random.IntN(9))
	if isLocal {
		if remaining := maxColdRequests - p.requestCounts[grant.Endpoint.Name]; remaining > 0 {
			latency += latency * (coldSlowdown - 1) * clock.Millis(remaining) / maxColdRequests
		}
		p.requestCounts[grant.Endpoint.Name]++
	} else {
		latency += 70
	}
	p.schedule(latency, func() {
		now := p.manual.Clock().Now()
		grant.Done(answeredResult(int64(now-sent) * 1000))
		if now-arrivedAt <= requestTimeout {
			p.inTime[arrivedAt/clock.Second]++
		}
	})
}

// A region that recovers with cold endpoints must take back its traffic slowly, so
// that no second has fewer answers in time than while the region was down.
func TestColdRegionRecoversWithoutLostAnswers(t *testing.T) {
	const perSecond = 400
	service := testService(6, 3)
	service.ShiftCap = 250
	placer, _, manual := testPlacer(service)
	warmUp(placer, service)
	p := &regionSimulation{
		placer: placer, service: service, manual: manual, random: rand.New(rand.NewPCG(1, 2)),
		requestCounts: map[string]int{}, inTime: map[clock.Millis]int{},
	}
	for _, endpoint := range service.Endpoints {
		p.requestCounts[endpoint.Name] = maxColdRequests
	}
	for i := range 40 * perSecond {
		p.schedule(clock.Millis(i)*clock.Second/perSecond, p.handleArrival)
	}
	p.run(5 * clock.Second)
	p.isDown = true
	p.run(20 * clock.Second)
	p.isDown = false
	clear(p.requestCounts)
	p.run(41 * clock.Second)
	baseline := p.inTime[18]
	for second := clock.Millis(19); second < 40; second++ {
		if p.inTime[second] < baseline {
			t.Errorf("second %d: %d answers in time, %d while the region was down", second, p.inTime[second], baseline)
		}
	}
	t.Logf("answers in time by second: %v", p.inTime)
	if p.inTime[39] != perSecond {
		t.Errorf("%d of %d answers in time in the last second", p.inTime[39], perSecond)
	}
}
