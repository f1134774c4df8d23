package usage

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/vm"
)

func TestBeginOfAnAttemptIsEstimatedFromItsAnswer(t *testing.T) {
	free, busy := Load{Occupancy: HasFreeSlot}, Load{Occupancy: HasNoFreeSlot}
	for name, c := range map[string]struct {
		expected   Expectation
		took, want clock.Millis
		load       Load
	}{
		"starts at once":                 {Expectation{RoundTrip: 60, Run: 200, LongRun: 700}, 265, 30, free},
		"not warm after all":             {Expectation{RoundTrip: 60, Run: 200, LongRun: 700}, 770, 30, free},
		"on a slow machine":              {Expectation{RoundTrip: 60, Run: 700, LongRun: 700}, 1200, 30, free},
		"on one that says so":            {Expectation{RoundTrip: 60, Run: 700, LongRun: 700}, 1810, 30, Load{HasNoFreeSlot, 250}},
		"queue known":                    {Expectation{RoundTrip: 60, Wait: 400, Run: 200, LongRun: 700}, 760, 530, busy},
		"queue known, not warm":          {Expectation{RoundTrip: 60, Wait: 400, Run: 200, LongRun: 700}, 1160, 430, busy},
		"queue unknown at the send":      {Expectation{RoundTrip: 60, Run: 200, LongRun: 700}, 660, 430, busy},
		"queue gone, no word of load":    {Expectation{RoundTrip: 60, Wait: 400, Run: 200, LongRun: 700}, 260, 30, Load{}},
		"faster than the round trip":     {Expectation{RoundTrip: 60, Run: 200, LongRun: 700}, 20, 10, Load{}},
		"much longer than any run takes": {Expectation{RoundTrip: 60, Run: 200, LongRun: 700}, 2060, 1830, free},
	} {
		if got := c.expected.waitShownBy(c.took, c.load); got != c.want {
			t.Errorf("%s: began after %d ms, want %d", name, got, c.want)
		}
	}
}

// ledgerAt returns a ledger whose wall clock is ahead of its monotonic clock by *offset, at
// the given time after the begin of window 1000.
func ledgerAt(after clock.Millis, offset *clock.Millis) (*Ledger, *clock.Manual) {
	manual := &clock.Manual{}
	manual.Advance(after)
	*offset = 1000 * testSchedule.Length
	l := &Ledger{Schedule: testSchedule, Clock: manual.Clock(), ReadWall: func() clock.Millis { return manual.Clock().Now() + *offset }}
	l.Tick()
	return l, manual
}

func TestAttemptsCountInTheWindowInWhichEndpointsBeganThem(t *testing.T) {
	queued := Expectation{Wait: 500, Run: 300, LongRun: 300}
	for name, c := range map[string]struct {
		// sentAt is the time after the begin of window 1000, took the time until the end.
		sentAt, took clock.Millis
		expected     Expectation
		ending       Ending
		want         map[Window]int64
	}{
		"at once":                        {4900, 300, Expectation{Run: 300}, Ending{AnsweredAt: 1}, map[Window]int64{1000: 1}},
		"after a wait":                   {4900, 800, queued, Ending{AnsweredAt: 1}, map[Window]int64{1001: 1}},
		"after less wait than expected":  {4900, 350, queued, Ending{AnsweredAt: 1}, map[Window]int64{1000: 1}},
		"not run":                        {4900, 350, queued, Ending{IsNotRun: true}, nil},
		"without an answer":              {4400, 900, queued, Ending{}, map[Window]int64{1000: 1}},
		"ended by this VM in the queue":  {4400, 400, queued, Ending{}, nil},
		"with an upload before the send": {4000, 2000, Expectation{Run: 300}, Ending{SentAt: 5500, AnsweredAt: 1}, map[Window]int64{1001: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var offset clock.Millis
			l, manual := ledgerAt(c.sentAt, &offset)
			attempt := l.Begin("w", c.expected)
			for at := clock.Millis(0); at < c.took; at += 50 {
				manual.Advance(50)
				l.Tick()
			}
			if c.ending.AnsweredAt > 0 {
				c.ending.AnsweredAt = manual.Clock().Now()
			}
			attempt.End(c.ending)
			attempt.End(c.ending)
			manual.Advance(testSchedule.Length)
			windows, _ := l.windows()
			for window, counted := range windows {
				g.Expect(counted.counts["w"]).To(Equal(c.want[window]), "window %d", window)
			}
		})
	}
}

// A window whose attempts have no answers yet must be stated with those that likely began,
// and not as final.
func TestAttemptInFlightIsCountedWhenItsBeginIsLikely(t *testing.T) {
	g := NewWithT(t)
	var offset clock.Millis
	l, manual := ledgerAt(4000, &offset)
	attempt := l.Begin("w", Expectation{Wait: 500, Run: 300})
	count := func(window Window) (int64, bool) {
		windows, _ := l.windows()
		return windows[window].counts["w"], windows[window].isFinal
	}
	stated, _ := count(1000)
	g.Expect(stated).To(BeZero())
	for range 15 {
		manual.Advance(100)
		l.Tick()
	}
	stated, isFinal := count(1000)
	g.Expect(stated).To(Equal(int64(1)))
	g.Expect(isFinal).To(BeFalse())
	attempt.End(Ending{AnsweredAt: manual.Clock().Now(), Load: Load{Occupancy: HasNoFreeSlot}})
	stated, isFinal = count(1000)
	g.Expect(stated).To(BeZero(), "the answer shows that it began after 1.2 s")
	g.Expect(isFinal).To(BeTrue())
	stated, isFinal = count(1001)
	g.Expect(stated).To(Equal(int64(1)))
	g.Expect(isFinal).To(BeFalse())
	l.Finish()
	_, isFinal = count(1001)
	g.Expect(isFinal).To(BeTrue(), "a VM that ends states its last window as final")
}

// A jump of the wall clock must move requests to another window only if it is there to stay.
func TestWallClockIsFollowedOnlyIfItsJumpStays(t *testing.T) {
	g := NewWithT(t)
	var offset clock.Millis
	l, manual := ledgerAt(0, &offset)
	pass := func(d clock.Millis) Window {
		for range d / 100 {
			manual.Advance(100)
			l.Tick()
		}
		return testSchedule.WindowAt(l.Wall())
	}
	offset += clock.Hour
	g.Expect(pass(5000)).To(Equal(Window(1001)))
	offset -= clock.Hour
	g.Expect(pass(5000)).To(Equal(Window(1002)))
	offset += clock.Hour
	g.Expect(pass(10_200)).To(Equal(Window(1004 + 720)))
}

// Answers that wait while a process stands still must not be taken for waits in queues.
func TestStandstillIsNoWaitInAQueue(t *testing.T) {
	g := NewWithT(t)
	var offset clock.Millis
	l, manual := ledgerAt(4000, &offset)
	attempt := l.Begin("w", Expectation{Run: 300, LongRun: 300})
	manual.Advance(6000)
	attempt.End(Ending{AnsweredAt: manual.Clock().Now()})
	windows, _ := l.windows()
	g.Expect(windows[1000].counts["w"]).To(Equal(int64(1)))
}

func TestProgressKeepsBoundsAndBodies(t *testing.T) {
	g := NewWithT(t)
	p := Progress{Next: 353445120}
	p.Freeze(Counts{"yefi830": 412, "kaxa491": 41})
	p.Freeze(nil)
	g.Expect(p.Frozen[0].Body).To(Equal(`{"window_id":353445120,"counts":{"kaxa491":41,"yefi830":412}}`))
	g.Expect(p.Frozen[1].Body).To(Equal(`{"window_id":353445121,"counts":{}}`), "a receiver does not read null")
	encoded, err := p.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err := DecodeProgress(encoded)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded).To(Equal(p))
	for len(p.Frozen) < maxFrozen+2 {
		p.Freeze(Counts{"w": 1})
	}
	g.Expect(p.Trim()).To(Equal([]Window{353445120, 353445121}))
	p.Freeze(Counts{strings.Repeat("w", maxFrozenBytes): 1})
	g.Expect(p.Trim()).To(HaveLen(maxFrozen+1), "one body above the limit leaves none")
	g.Expect(p.SkipTo(p.Next + maxFrozen)).To(BeZero())
	g.Expect(p.SkipTo(p.Next + maxFrozen + 3)).To(Equal(Window(3)))
}

// One odd message of a peer must not end the process.
func FuzzOddMessages(f *testing.F) {
	author := Author{vm.ID{Name: "vm-1", Incarnation: 7}, true}
	message := Message{Next: 5, Wants: true, Acks: []Ack{{author, 3}}, Statements: []Statement{{author, "north", 1, 4, []WindowStatement{{6, 2, 1, Counts{"w": 3}}}}}}
	f.Add(message.Encode())
	f.Add([]byte{messageVersion, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Fuzz(func(t *testing.T, text []byte) {
		decoded, err := Decode(text)
		if err != nil {
			return
		}
		again, err := Decode(decoded.Encode())
		if err != nil {
			t.Fatalf("a decoded message can't be decoded again: %v", err)
		}
		NewWithT(t).Expect(again).To(Equal(decoded))
		var offset clock.Millis
		l, manual := ledgerAt(4000, &offset)
		c := &Collector{Self: vm.ID{Name: "vm-2"}, Region: "north", Ledger: l, Clock: manual.Clock()}
		_ = c.Receive(vm.ID{Name: "vm-1"}, text)
		c.Sum(1000)
		for _, link := range []Link{LinkFollower, LinkDirect, LinkRegion} {
			c.MessageFor("vm-1", link)
		}
	})
}
