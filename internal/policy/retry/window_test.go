package retry_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/retry"
)

func TestAWindowBoundsSecondSendsOfAllVMs(t *testing.T) {
	g := NewWithT(t)
	const (
		vms    = 8
		length = 10 * clock.Second
		ratio  = 0.2
		slack  = 56
	)
	manual := &clock.Manual{}
	var windows []*retry.WindowBudget
	for range vms {
		w := &retry.WindowBudget{Clock: manual.Clock(), Length: length, Ratio: ratio, Slack: slack}
		w.SetVMs(vms)
		windows = append(windows, w)
	}
	var firsts, seconds []clock.Millis
	for now := clock.Millis(0); now < 4*length; now += 100 {
		for _, w := range windows {
			w.RecordRequest("s")
			firsts = append(firsts, now)
			for w.TakeRetry("s") {
				seconds = append(seconds, now)
			}
		}
		manual.Advance(100)
	}
	for end := length; end < 4*length; end += 100 {
		g.Expect(float64(within(seconds, end-length, end))).To(BeNumerically("<=", ratio*float64(within(firsts, end-length, end))+slack))
	}
	g.Expect(seconds).NotTo(BeEmpty())
}

func within(times []clock.Millis, from, to clock.Millis) (count int) {
	for _, at := range times {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

// 4,454 second sends reached a service of the grown fleet in 10 s, 4,441 were
// allowed: the budget was used to its last part, and what a VM counts in one
// window arrives in another.
func TestAWindowLeavesRoomForWhatArrivesLater(t *testing.T) {
	g := NewWithT(t)
	w := &retry.WindowBudget{Length: 10 * clock.Second, Ratio: 0.2}
	for range 1000 {
		w.RecordRequest("s")
	}
	seconds := 0
	for w.TakeRetry("s") {
		seconds++
	}
	g.Expect(seconds).To(BeNumerically("<", 190))
	g.Expect(seconds).To(BeNumerically(">", 150))
}

func TestServicesHaveBudgetsOfTheirOwn(t *testing.T) {
	g := NewWithT(t)
	w := &retry.WindowBudget{Length: clock.Second, Slack: 1.5}
	g.Expect(w.TakeRetry("a")).To(BeTrue())
	g.Expect(w.TakeRetry("a")).To(BeFalse())
	g.Expect(w.TakeRetry("b")).To(BeTrue())
}
