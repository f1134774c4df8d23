package waiting

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/routing"
)

// machine compares Queues with a plain list of the waiting requests.
type machine struct {
	Gomega
	manual  clock.Manual
	queues  Queues
	waiting []*Request
}

func newMachine(t rapid.TB) *machine {
	m := &machine{Gomega: NewWithT(t)}
	m.queues = Queues{Clock: m.manual.Clock(), Limits: Limits{PerService: 5, Total: 8, Bytes: 40}}
	m.manual.Advance(clock.Minute)
	return m
}

// order returns the values by which requests of one rank are ordered, by the definition.
func (m *machine) order(r *Request) (isLate int, value clock.Millis) {
	if slack := r.Target - m.queues.Clock.Now() - r.Run; slack >= 0 {
		return 0, slack
	}
	return 1, r.Run
}

// isBefore reports whether x must be granted before y.
func (m *machine) isBefore(x, y *Request) bool {
	if c := x.Rank.Compare(y.Rank); c != 0 {
		return c < 0
	}
	xLate, xValue := m.order(x)
	yLate, yValue := m.order(y)
	return xLate < yLate || xLate == yLate && xValue < yValue
}

func (m *machine) forget(r *Request) {
	m.waiting = slices.DeleteFunc(m.waiting, func(each *Request) bool { return each == r })
}

func (m *machine) add(t *rapid.T) {
	now := m.queues.Clock.Now()
	r := &Request{
		Service: rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service"),
		Rank:    routing.Rank{Workspace: rapid.IntRange(0, 1).Draw(t, "workspace"), Route: rapid.IntRange(0, 2).Draw(t, "route")},
		Bytes:   rapid.Int64Range(0, 20).Draw(t, "bytes"), Run: rapid.Custom(func(t *rapid.T) clock.Millis { return clock.Millis(rapid.IntRange(1, 900).Draw(t, "ms")) }).Draw(t, "run"),
	}
	r.Target = now + clock.Millis(rapid.IntRange(0, 1500).Draw(t, "target"))
	r.Deadline = r.Target + clock.Millis(rapid.IntRange(0, 9000).Draw(t, "deadline"))
	if m.queues.Begin(r.Service, r.Rank) {
		m.queues.Withdraw(r.Service, r.Rank)
	} else {
		m.Expect(m.waiting).To(ContainElement(HaveField("Service", r.Service)), "nothing waits")
	}
	cause, displaced := m.queues.Add(r)
	for _, each := range displaced {
		m.Expect(m.isBefore(each, r)).To(BeFalse(), "a request was displaced by one that comes after it")
		m.Expect(m.waiting).To(ContainElement(each))
		m.forget(each)
	}
	if cause == "" {
		m.waiting = append(m.waiting, r)
		return
	}
	m.Expect(displaced).To(BeEmpty())
	m.Expect(r.RetryAfter).To(And(BeNumerically(">=", minRetryAfter), BeNumerically("<=", maxRetryAfter)))
	if cause == Full {
		m.Expect(m.isFullFor(r)).To(BeTrue())
	}
}

// isFullFor reports whether r fits only if requests before it are removed.
func (m *machine) isFullFor(r *Request) bool {
	ahead, aheadInService, bytes := 0, 0, r.Bytes
	for _, each := range m.waiting {
		if !m.isBefore(r, each) {
			ahead++
			bytes += each.Bytes
			if each.Service == r.Service {
				aheadInService++
			}
		}
	}
	return aheadInService >= m.queues.Limits.PerService || ahead >= m.queues.Limits.Total || bytes > m.queues.Limits.Bytes
}

// grant gives room that only some of the requests can use to the first one in order.
func (m *machine) grant(t *rapid.T) {
	service, part := rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service"), clock.Millis(rapid.IntRange(1, 3).Draw(t, "part"))
	isSkipped := func(r *Request) bool { return r.Run%part != 0 }
	isDue := m.queues.queue(service).isLowerDue()
	r := m.queues.Next(service, isSkipped)
	for _, each := range m.waiting {
		if each.Service == service && !isSkipped(each) {
			m.Expect(r).NotTo(BeNil())
			m.Expect(m.isBefore(each, r) && !isDue).To(BeFalse(), "%+v is before %+v", each, r)
		}
	}
	if r != nil {
		m.Expect(isSkipped(r)).To(BeFalse())
		m.Expect(m.queues.Grant(r)).To(BeTrue())
		m.Expect(m.queues.Grant(r)).To(BeFalse(), "a request was granted twice")
		m.forget(r)
	}
}

func (m *machine) leave(t *rapid.T) {
	if len(m.waiting) > 0 {
		r := rapid.SampledFrom(m.waiting).Draw(t, "request")
		m.Expect(m.queues.Remove(r)).To(BeTrue())
		m.Expect(m.queues.Remove(r)).To(BeFalse())
		m.forget(r)
	}
}

func (m *machine) advance(t *rapid.T) {
	m.manual.Advance(clock.Millis(rapid.IntRange(1, 1200).Draw(t, "ms")))
	for _, service := range []string{"s", "t"} {
		for _, r := range m.queues.RemoveLate(service, nil) {
			m.Expect(m.waiting).To(ContainElement(r))
			m.forget(r)
		}
	}
	for _, r := range m.waiting {
		m.Expect(m.queues.Clock.Now()+r.Run).To(BeNumerically("<=", r.Deadline), "a request waits that cannot end in time")
	}
}

func (m *machine) check(*rapid.T) {
	bytes := int64(0)
	for _, r := range m.waiting {
		bytes += r.Bytes
	}
	all := m.queues.All("t", m.queues.All("s", nil))
	m.Expect(all).To(ConsistOf(m.waiting))
	m.Expect(m.queues.Count()).To(Equal(len(m.waiting)))
	m.Expect(m.queues.bytes).To(Equal(bytes))
	m.Expect(bytes).To(BeNumerically("<=", m.queues.Limits.Bytes))
	m.Expect(len(m.waiting)).To(BeNumerically("<=", m.queues.Limits.Total))
}

// Guards against an order other than the defined one, a bound that is exceeded, a request that
// is lost or removed twice, one refused for an urgent one's sake that comes after it, and one
// that is held although it cannot end in time.
func TestQueuesMatchPlainList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){"add": m.add, "add more": m.add, "grant": m.grant, "leave": m.leave, "advance": m.advance, "": m.check})
	})
}

// Guards against urgent requests that, waiting or not, take all room from lower ranks, and
// against lower ranks of which one takes the share of the others.
func TestLowerRanksGetTheirShare(t *testing.T) {
	for _, isWaiting := range []bool{true, false} {
		g, manual := NewWithT(t), clock.Manual{}
		queues := Queues{Clock: manual.Clock(), Limits: DefaultLimits}
		add := func(rank int) *Request {
			r := &Request{Service: "s", Rank: routing.Rank{Workspace: rank}, Run: 1, Deadline: clock.Hour}
			cause, _ := queues.Add(r)
			g.Expect(cause).To(BeEmpty())
			return r
		}
		granted := map[int]int{}
		for i := range 40 {
			add(1 + i%2)
		}
		for range 64 {
			if !isWaiting && queues.Begin("s", routing.Rank{}) {
				granted[0]++
				continue
			}
			add(0)
			r := queues.Next("s", func(*Request) bool { return false })
			g.Expect(queues.Grant(r)).To(BeTrue())
			granted[r.Rank.Workspace]++
		}
		g.Expect(granted[0]).To(BeNumerically("~", 56, 1), "waiting: %v", isWaiting)
		g.Expect(granted[1]).To(Equal(4))
		g.Expect(granted[2]).To(Equal(4))
	}
}

// Guards against a lower rank that gets nothing because its requests are refused before they
// wait: none of them expects its turn in time.
func TestDeniedLowerRankGetsItsShare(t *testing.T) {
	g, manual := NewWithT(t), clock.Manual{}
	queues := Queues{Clock: manual.Clock(), Limits: DefaultLimits}
	granted, isFull := 0, false
	for i := range 160 {
		manual.Advance(20)
		urgent := &Request{Service: "s", Deadline: clock.Hour}
		_, _ = queues.Add(urgent)
		lower := &Request{Service: "s", Rank: routing.Rank{Route: 1}, Run: clock.Hour, Deadline: 1}
		if queues.Begin("s", lower.Rank) {
			if isFull = !isFull; isFull {
				queues.Withdraw("s", lower.Rank)
				g.Expect(queues.Begin("s", lower.Rank)).To(BeTrue(), "its turn is not over")
			}
			granted++
		} else if cause, _ := queues.Add(lower); i > 0 {
			g.Expect(cause).To(Equal(Late))
		}
		g.Expect(queues.Grant(queues.Next("s", func(*Request) bool { return false }))).To(BeTrue())
		_, _ = queues.Add(&Request{Service: "s", Deadline: clock.Hour})
	}
	g.Expect(granted).To(BeNumerically("~", 160/lowerShare, 2))
}

// Guards against a request that is held until its deadline because the grants of its service
// are for others, which is seen from those that overtake it.
func TestOvertakenRequestIsGivenUp(t *testing.T) {
	g, manual := NewWithT(t), clock.Manual{}
	queues := Queues{Clock: manual.Clock(), Limits: DefaultLimits}
	bound := &Request{Service: "s", Run: 500, Target: 2000, Deadline: 2000}
	for range 20 {
		queues.Begin("s", bound.Rank)
	}
	_, _ = queues.Add(bound)
	for len(queues.RemoveLate("s", nil)) == 0 {
		manual.Advance(100)
		other := &Request{Service: "s", Run: 500, Target: clock.Minute, Deadline: clock.Minute}
		_, _ = queues.Add(other)
		g.Expect(queues.Grant(other)).To(BeTrue())
	}
	g.Expect(manual.Clock().Now()).To(And(BeNumerically(">", 300), BeNumerically("<", 1200)))
}

// Guards against allocations in the choice of the next request, which is made often when
// capacity is short.
func BenchmarkDecision(b *testing.B) {
	for _, count := range []int{0, 256} {
		queues := Queues{Limits: Limits{PerService: 1000, Total: 1000, Bytes: 1}}
		for i := range count {
			r := &Request{Service: "s", Rank: routing.Rank{Route: i % 3}, Run: clock.Millis(i), Target: clock.Millis(i%2) * clock.Hour, Deadline: clock.Hour}
			_, _ = queues.Add(r)
			queues.Begin("s", routing.Rank{})
		}
		isSkipped := func(r *Request) bool { return r.Run%2 == 0 }
		b.Run(fmt.Sprint(count, " waiting"), func(b *testing.B) {
			b.ReportAllocs()
			var removed []*Request
			for b.Loop() {
				if queues.Begin("s", routing.Rank{Workspace: -1}) {
					queues.Withdraw("s", routing.Rank{Workspace: -1})
				}
				if count > 0 {
					removed = queues.RemoveLate("s", removed[:0])
					r := queues.Next("s", isSkipped)
					queues.Remove(r)
					_, _ = queues.Add(r)
				}
			}
		})
	}
}
