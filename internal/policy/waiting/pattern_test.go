package waiting

import (
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/routing"
)

// pattern replays requests of two kinds that share the slots of a service.
type pattern struct {
	manual clock.Manual
	queues Queues
	// isRefusing refuses requests at once that find no free slot.
	isRefusing bool
	// running holds the ends of the runs.
	running []clock.Millis
	// arrived, inTime and onTarget count requests by kind: how many came, were answered by
	// their deadline and by their target.
	arrived, inTime, onTarget [2]float64
}

const (
	patternSlots  = 4
	patternLength = 2 * clock.Minute
)

func (p *pattern) arrive(kind int, run, target, timeout clock.Millis) {
	now := p.queues.Clock.Now()
	rank := routing.Rank{Workspace: kind, Route: kind}
	r := &Request{Service: "s", Rank: rank, Run: run, Target: now + target, Deadline: now + timeout}
	p.arrived[kind]++
	if p.queues.Begin("s", rank) {
		if len(p.running) < patternSlots {
			p.begin(r)
			return
		}
		p.queues.Withdraw("s", rank)
	}
	if !p.isRefusing {
		_, _ = p.queues.Add(r)
	}
}

func (p *pattern) begin(r *Request) {
	end := p.queues.Clock.Now() + r.Run
	p.running = append(p.running, end)
	if end <= r.Deadline {
		p.inTime[r.Rank.Route]++
	}
	if end <= r.Target {
		p.onTarget[r.Rank.Route]++
	}
}

// advance ends runs and gives their slots to requests that wait.
func (p *pattern) advance() {
	p.manual.Advance(10)
	kept := p.running[:0]
	for _, end := range p.running {
		if end > p.queues.Clock.Now() {
			kept = append(kept, end)
		}
	}
	p.running = kept
	p.queues.RemoveLate("s", nil)
	for len(p.running) < patternSlots {
		r := p.queues.Next("s", func(*Request) bool { return false })
		if r == nil || !p.queues.Grant(r) {
			return
		}
		p.begin(r)
	}
}

// replay lets extracts arrive all the time, at 1.4 times what the slots can run, and bursts of
// urgent requests for a second in four.
func (p *pattern) replay() {
	p.queues = Queues{Clock: p.manual.Clock(), Limits: DefaultLimits}
	for now := clock.Millis(0); now < patternLength; now += 10 {
		if now%400 == 0 {
			p.arrive(1, 2200, 3000, 5000)
		}
		if now%4000 < 1000 && now%125 == 0 {
			p.arrive(0, 300, 500, 2000)
		}
		p.advance()
	}
}

// Guards against urgent requests that are served worse than the extracts beside them, and
// against extracts that are served less than a quarter as often as all.
func TestBurstsOfUrgentRequestsBesideExtracts(t *testing.T) {
	g := NewWithT(t)
	refusing, queueing := &pattern{isRefusing: true}, &pattern{}
	refusing.replay()
	queueing.replay()
	t.Logf("refused at once: %+v in time, %+v on target; queued: %+v, %+v; of %+v", refusing.inTime, refusing.onTarget, queueing.inTime, queueing.onTarget, queueing.arrived)
	urgent, extracts := queueing.inTime[0]/queueing.arrived[0], queueing.inTime[1]/queueing.arrived[1]
	g.Expect(urgent).To(BeNumerically(">", extracts))
	g.Expect(urgent).To(BeNumerically(">", refusing.inTime[0]/refusing.arrived[0]))
	g.Expect(extracts).To(BeNumerically(">", (urgent+extracts)/4))
	g.Expect(queueing.queues.Count()).To(BeNumerically("<", 20))
}
