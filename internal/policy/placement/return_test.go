package placement

import (
	"math/rand/v2"
	"sort"
	"testing"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/policy/move"
)

// event is something that happens in a play.
type event struct {
	at clock.Millis
	do func()
}

// regionPlay sends one VM's requests to endpoints that take their time.
type regionPlay struct {
	placer  *Placer
	service *document.Service
	manual  *clock.Manual
	random  *rand.Rand
	events  []event
	// runs counts what each endpoint ran since its start.
	runs   map[string]int
	isLost bool
	// inTime counts answers in time by the second in which the request came.
	inTime map[clock.Millis]int
}

const (
	playDeadline = 200 * clock.Millis(1)
	// coldTimes is how many times as long the first run of an endpoint takes.
	coldTimes = 40
)

func (p *regionPlay) after(wait clock.Millis, do func()) {
	at := p.manual.Clock().Now() + wait
	i := sort.Search(len(p.events), func(i int) bool { return p.events[i].at > at })
	p.events = append(p.events, event{})
	copy(p.events[i+1:], p.events[i:])
	p.events[i] = event{at, do}
}

// run plays what happens until a time.
func (p *regionPlay) run(until clock.Millis) {
	for len(p.events) > 0 && p.events[0].at < until {
		next := p.events[0]
		p.events = p.events[1:]
		p.manual.Advance(next.at - p.manual.Clock().Now())
		next.do()
	}
}

// arrive plays one request: a try, and one more that may go far after the wait
// for a near slot.
func (p *regionPlay) arrive() {
	came := p.manual.Clock().Now()
	request := testRequest(p.service)
	request.Remaining = playDeadline
	if grant, _ := p.placer.try(&request, move.Choice{}); grant != nil {
		p.serve(grant, came)
		return
	}
	plan := p.placer.plans["orders"]
	p.after(plan.patience(), func() {
		p.placer.mu.Lock()
		grant, _ := p.placer.tryVersions(plan, &request, move.Choice{}, p.manual.Clock().Now(), true)
		p.placer.mu.Unlock()
		if grant != nil {
			p.serve(grant, came)
		}
	})
}

func (p *regionPlay) serve(grant *Grant, came clock.Millis) {
	sent := p.manual.Clock().Now()
	near := grant.Endpoint.Region == p.placer.Region
	if near && p.isLost {
		p.after(1, func() { grant.Done(Result{Outcome: Failed, Running: -1, Slots: -1}) })
		return
	}
	takes := clock.Millis(16 + p.random.IntN(9))
	if near {
		if left := coldRuns - p.runs[grant.Endpoint.Name]; left > 0 {
			takes += takes * (coldTimes - 1) * clock.Millis(left) / coldRuns
		}
		p.runs[grant.Endpoint.Name]++
	} else {
		takes += 70
	}
	p.after(takes, func() {
		now := p.manual.Clock().Now()
		grant.Done(good(int64(now-sent) * 1000))
		if now-came <= playDeadline {
			p.inTime[came/clock.Second]++
		}
	})
}

// A region that returns with cold endpoints takes its share back slowly, so that
// no second has fewer answers in time than the ones without it.
func TestReturningColdRegionLosesNoAnswers(t *testing.T) {
	const perSecond = 400
	service := testService(6, 3)
	service.ShiftCap = 250
	placer, _, manual := testPlacer(service)
	warm(placer, service)
	p := &regionPlay{
		placer: placer, service: service, manual: manual, random: rand.New(rand.NewPCG(1, 2)),
		runs: map[string]int{}, inTime: map[clock.Millis]int{},
	}
	for _, endpoint := range service.Endpoints {
		p.runs[endpoint.Name] = coldRuns
	}
	for i := range 40 * perSecond {
		p.after(clock.Millis(i)*clock.Second/perSecond, p.arrive)
	}
	p.run(5 * clock.Second)
	p.isLost = true
	p.run(20 * clock.Second)
	p.isLost = false
	clear(p.runs)
	p.run(41 * clock.Second)
	without := p.inTime[18]
	for second := clock.Millis(19); second < 40; second++ {
		if p.inTime[second] < without {
			t.Errorf("second %d: %d answers in time, %d without the region", second, p.inTime[second], without)
		}
	}
	t.Logf("answers in time by second: %v", p.inTime)
	if p.inTime[39] != perSecond {
		t.Errorf("%d of %d answers in time in the end", p.inTime[39], perSecond)
	}
}
