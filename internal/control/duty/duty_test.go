package duty_test

import (
	"context"
	"os"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/standin/fuzz"
)

func TestMain(m *testing.M) { os.Exit(fuzz.Main(m, fuzz.Config{Seed: 43, Checks: 3000, Steps: 150})) }

// Guards against two holders that the receiver can't tell apart or sees in a wrong order,
// against states that are lost or reported as stored when they were not, and against a duty
// that nobody takes up again after the faults.
func TestReceiverSeesOneHolderAfterTheOtherInAnyOrderOfEvents(t *testing.T) {
	acts, acquisitions := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		actions := map[string]func(*rapid.T){"": func(*rapid.T) {}}
		for name, event := range w.events {
			actions[name] = func(t *rapid.T) {
				w.t = t
				event()
			}
		}
		t.Repeat(actions)
		w.t = t
		acts, acquisitions = acts+w.acts, acquisitions+w.acquisitions
		w.heal()
	})
	t.Logf("%d acts, %d acquisitions", acts, acquisitions)
	NewWithT(t).Expect(acquisitions).To(BeNumerically(">", 1000), "the runs are not those that this test is for")
}

// newEvents returns what may happen at any time, also while a VM's call is in progress.
func (w *world) newEvents() map[string]func() {
	tick := func() {
		for range rapid.SampledFrom([]int{1, 2, 4, 6}).Draw(w.t, "ticks") {
			w.tick(shortTime.Draw(w.t, "tick"))
		}
	}
	return map[string]func(){
		"tick": tick, "tick2": tick, "tick3": tick, "tick4": tick,
		"wait":   func() { w.advance(longTime.Draw(w.t, "wait")) },
		"act":    func() { w.act(w.pick()) },
		"freeze": func() { w.pick().isFrozen = true },
		"thaw": func() {
			for _, v := range w.vms {
				v.isFrozen = false
			}
		},
		"cut":   func() { w.pick().isCutOff = w.oneIn(3) },
		"down":  func() { w.isDown = w.oneIn(4) },
		"quiet": func() { w.isQuiet = w.oneIn(2) },
		"kill":  func() { w.start(w.pick()) },
		"kill all": func() {
			for _, v := range w.vms {
				w.start(v)
			}
		},
		"stop": func() { w.stop(w.pick(), w.oneIn(2)) },
		"roll": w.roll,
		"edge": func() { w.actLast(w.pick()) },
		"late": func() {
			if len(w.lateWrites) > 0 {
				rapid.SampledFrom(w.lateWrites).Draw(w.t, "late write")()
			}
		},
		"copy": func() { w.copies = append(w.copies, w.stored) },
		"restore": func() {
			if len(w.copies) > 0 && w.oneIn(3) {
				w.stored = rapid.SampledFrom(w.copies).Draw(w.t, "copy")
				w.number = w.stored.number
				w.era++
				w.actLast(w.pick())
				w.roll()
			}
		},
	}
}

func (w *world) oneIn(n int) bool { return rapid.IntRange(1, n).Draw(w.t, "one in") == 1 }

// pick returns any VM, but often the holder, as most faults are only of interest there.
func (w *world) pick() *entryVM {
	holder := slices.IndexFunc(w.vms, func(v *entryVM) bool { return termOf(v.duty) > 0 })
	if holder >= 0 && !w.oneIn(3) {
		return w.vms[holder]
	}
	return rapid.SampledFrom(w.vms).Draw(w.t, "vm")
}

// stop ends a VM as planned, once its acts have arrived, and may start it again at once. It
// starts one that has stopped.
func (w *world) stop(v *entryVM, restarts bool) {
	switch {
	case v.isStopped && !v.isBusy:
		w.start(v)
	case v.canRun():
		v.isBusy, v.isStopped = true, true
		for _, sent := range slices.Clone(w.sent) {
			if sent.by == v {
				w.advance(max(sent.at-w.now, 0))
			}
		}
		_ = v.duty.Release(context.Background())
		v.isBusy = false
		if restarts {
			w.start(v)
		}
	}
}

// roll restarts VMs one after the other.
func (w *world) roll() {
	for range 5 {
		w.stop(w.pick(), true)
		for range 3 {
			w.tick(rapid.SampledFrom([]clock.Millis{100, 30, 200, 500}).Draw(w.t, "tick in roll"))
		}
	}
}

// actLast cuts a holder off, lets it act at the end of its tenure for as long as it may, and
// gives the others time to take over.
func (w *world) actLast(v *entryVM) {
	_, until, isHeld := v.duty.Tenure()
	if !isHeld {
		return
	}
	v.isCutOff = true
	for range 40 {
		rest := (until - actTimeout - v.duty.Clock.Boottime()) * 100 / v.rate
		w.tick(min(max(rest, 0), 100))
	}
	w.send(v, actTimeout)
	for range 15 {
		w.tick(50)
	}
	v.isCutOff = false
}

// heal ends all faults and expects that one VM holds the duty soon.
func (w *world) heal() {
	w.isDown, w.isQuiet = false, true
	for _, v := range w.vms {
		v.isFrozen, v.isCutOff = false, false
		if v.isStopped {
			w.start(v)
		}
	}
	for range 120 {
		w.tick(100)
	}
	held := 0
	for _, v := range w.vms {
		if termOf(v.duty) > 0 {
			held++
		}
	}
	if held != 1 {
		w.t.Fatalf("%d VMs hold the duty after the faults, want 1", held)
	}
}
