package usage

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"baobabladder.example/baobabladder/internal/base/clock"
	policy "baobabladder.example/baobabladder/internal/policy/usage"
	"baobabladder.example/baobabladder/internal/standin/fuzz"
	"baobabladder.example/baobabladder/internal/world/vm"
)

func TestMain(m *testing.M) {
	os.Exit(fuzz.Main(m, fuzz.Config{Seed: 20261207, Checks: 200, Steps: 80}))
}

const leaseTime = 3 * clock.Second

// site is the store's object of the duty, and the metering interface.
type site struct {
	manual clock.Manual
	holder *vmUnderTest
	term   int64
	state  []byte
	// older is a copy of state to which the store may come back.
	older []byte
	// isStoreDown makes writes fail, loseAnswer makes one fail that is applied.
	isStoreDown, loseAnswer bool
	// status is the answer of the metering interface, 0 for none; calls are those that it got.
	status int
	calls  []Report
}

// vmUnderTest is a VM with its Sender. It implements Duty and Client.
type vmUnderTest struct {
	*site
	sender *Sender
	until  clock.Millis
}

func (v *vmUnderTest) Tenure() (term int64, until clock.Millis, isHeld bool) {
	isHeld = v.holder == v && v.manual.Clock().Boottime() < v.until
	return v.term, v.until, isHeld
}

func (v *vmUnderTest) State() []byte { return v.state }

func (v *vmUnderTest) SetState(_ context.Context, state []byte) error {
	if _, _, isHeld := v.Tenure(); !isHeld || v.isStoreDown {
		return errors.New("the store is down, or the duty is not held")
	}
	v.state = bytes.Clone(state)
	if v.loseAnswer {
		v.loseAnswer = false
		return errors.New("the outcome is unknown")
	}
	return nil
}

func (v *vmUnderTest) Report(_ context.Context, report Report) (status int, err error) {
	if !report.MaySend() {
		return 0, errors.New("not sent")
	}
	v.calls = append(v.calls, report)
	if v.status == 0 {
		return 0, errors.New("no answer")
	}
	return v.status, nil
}

func (s *site) start(name string) *vmUnderTest {
	v := &vmUnderTest{site: s}
	log := logrus.New()
	log.SetOutput(io.Discard)
	schedule := policy.Schedule{Length: 5 * clock.Second, Due: 10 * clock.Second}
	ledger := &policy.Ledger{Schedule: schedule, Clock: s.manual.Clock()}
	id := vm.ID{Name: name, Incarnation: 1}
	v.sender = &Sender{
		Self: name, Duty: v, Client: v, Ledger: ledger, Schedule: schedule, CallsPerSecond: 50, Tolerance: 0.05,
		Collector:   &policy.Collector{Self: id, Region: "r", Ledger: ledger, Clock: s.manual.Clock()},
		FirstWindow: func() policy.Window { return 720 }, FleetStart: func() policy.Window { return 720 }, Clock: s.manual.Clock(), Log: log, Scope: tally.NoopScope,
	}
	v.sender.Collector.SetMembers([]policy.Member{{ID: id, Region: "r", IsReachable: true, IsAwaited: true}})
	return v
}

func newSite() *site {
	s := &site{status: 200}
	s.manual.Advance(clock.Hour)
	return s
}

// acquire makes a VM the holder under the next term.
func (s *site) acquire(v *vmUnderTest) {
	s.term++
	s.holder = v
	v.until = s.manual.Clock().Boottime() + leaseTime
}

// run lets a VM work for a time; a holder renews its tenure unless the store is down.
func (s *site) run(v *vmUnderTest, d clock.Millis) {
	for range d / stepInterval {
		s.manual.Advance(stepInterval)
		if s.holder == v && !s.isStoreDown {
			v.until = s.manual.Clock().Boottime() + leaseTime
		}
		v.sender.tick(context.Background())
		v.sender.freeze(context.Background())
		v.sender.send(context.Background())
	}
}

func (s *site) bodies() (bodies []string) {
	for _, call := range s.calls {
		bodies = append(bodies, string(call.Body))
	}
	return bodies
}

func body(window, count int) string {
	return fmt.Sprintf(`{"window_id":%d,"counts":{"w":%d}}`, window, count)
}

func TestWindowIsReportedUntilItIsAcknowledged(t *testing.T) {
	for name, c := range map[string]struct {
		status, calls int
		isGivenUp     bool
	}{
		"accepted":       {200, 1, true},
		"too many calls": {429, 5, false},
		"failing":        {503, 5, false},
		"no answer":      {0, 5, false},
		"rejected":       {403, maxRejections, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newSite()
			v := s.start("vm-1")
			s.acquire(v)
			v.sender.Ledger.Begin("w", policy.Expectation{}).End(policy.Ending{AnsweredAt: s.manual.Clock().Now()})
			s.status = c.status
			s.run(v, 9500)
			g.Expect(s.calls).To(HaveLen(c.calls), "calls after 5, 5.2, 5.6, 6.4 and 8 s")
			g.Expect(s.bodies()).To(HaveEach(body(720, 1)))
			_, isLeft := v.sender.oldest()
			g.Expect(isLeft).To(Equal(!c.isGivenUp))
		})
	}
}

// A holder that can't renew must send nothing that could arrive after its tenure, and a VM
// that was suspended must not send what it was about to.
func TestNothingIsSentOutsideTheTenure(t *testing.T) {
	g := NewWithT(t)
	s := newSite()
	v := s.start("vm-1")
	s.acquire(v)
	s.status = 503
	s.run(v, 5000)
	calls := len(s.calls)
	g.Expect(calls).To(Equal(1))
	s.isStoreDown = true
	s.run(v, leaseTime-CallTimeout)
	g.Expect(len(s.calls)).To(BeNumerically(">", calls))
	calls = len(s.calls)
	s.run(v, 2*leaseTime)
	g.Expect(s.calls).To(HaveLen(calls))
	s.isStoreDown = false
	s.acquire(v)
	s.manual.Suspend(2 * leaseTime)
	v.sender.send(context.Background())
	g.Expect(s.calls).To(HaveLen(calls))
}

// A holder must go on with the windows that it froze if the store comes back from a copy that
// lacks them.
func TestFrozenWindowOutlivesARestoreOfTheStore(t *testing.T) {
	g := NewWithT(t)
	s := newSite()
	v := s.start("vm-1")
	s.acquire(v)
	s.status = 0
	s.run(v, 5000)
	s.state, s.status = nil, 200
	s.acquire(v)
	calls := len(s.calls)
	s.run(v, 5000)
	g.Expect(s.bodies()[calls:]).To(Equal([]string{`{"window_id":720,"counts":{}}`, `{"window_id":721,"counts":{}}`}))
}

// Whatever happens to the store, to answers and to holders, a window must never be sent with
// two bodies.
func TestReportsOfAWindowAreIdenticalFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite()
		vms := []*vmUnderTest{s.start("vm-1"), s.start("vm-2"), s.start("vm-3")}
		s.acquire(vms[0])
		drawVM := func(t *rapid.T) *vmUnderTest { return rapid.SampledFrom(vms).Draw(t, "vm") }
		bodies, checked := map[int]string{}, 0
		t.Repeat(map[string]func(*rapid.T){
			"count": func(t *rapid.T) {
				// The VMs of this test exchange nothing, so that their counts differ.
				drawVM(t).sender.Ledger.Begin("w", policy.Expectation{}).End(policy.Ending{AnsweredAt: s.manual.Clock().Now()})
			},
			"run":          func(t *rapid.T) { s.run(s.holder, clock.Millis(rapid.IntRange(100, 6000).Draw(t, "millis"))) },
			"run a former": func(t *rapid.T) { s.run(drawVM(t), 500) },
			"take over": func(t *rapid.T) {
				next := drawVM(t)
				// Holders learn from others which windows are frozen, some time later.
				next.sender.Collector.SetNext(s.holder.sender.Collector.Next())
				s.acquire(next)
			},
			"store":      func(t *rapid.T) { s.isStoreDown = rapid.Bool().Draw(t, "is down") },
			"lost write": func(*rapid.T) { s.loseAnswer = true },
			"copy":       func(*rapid.T) { s.older = bytes.Clone(s.state) },
			"restore": func(*rapid.T) {
				if s.older != nil {
					s.state = bytes.Clone(s.older)
					s.acquire(s.holder)
				}
			},
			"answers": func(t *rapid.T) { s.status = rapid.SampledFrom([]int{200, 0, 429, 500}).Draw(t, "status") },
			"": func(t *rapid.T) {
				for ; checked < len(s.calls); checked++ {
					var window, count int
					text := string(s.calls[checked].Body)
					if _, err := fmt.Sscanf(text, `{"window_id":%d,"counts":{"w":%d}}`, &window, &count); err != nil && window == 0 {
						t.Fatalf("body %s: %v", text, err)
					}
					if known, found := bodies[window]; found && known != text {
						t.Fatalf("window %d was sent as %s and %s", window, known, text)
					}
					bodies[window] = text
				}
			},
		})
	})
}
