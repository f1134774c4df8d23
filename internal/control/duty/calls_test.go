package duty_test

import (
	"context"
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/duty"
	"baobabladder.example/baobabladder/internal/control/tracker"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// newQuietWorld returns a world without faults, with VMs that must be started.
func newQuietWorld(spec string, names ...string) *world {
	w := &world{isQuiet: true, applied: map[string]bool{}, number: 7, era: 1}
	if spec != "" {
		w.stored = object{[]byte(spec), 7}
	}
	for _, name := range names {
		v := &entryVM{name: name, rate: 100, clock: &clock.Manual{}}
		v.duty = &duty.Duty{
			Name: "usage", Self: vm.ID{Name: name, Incarnation: 2}, Store: storeOf{w, v}, Clock: v.clock.Clock(), LeaseTime: leaseTime,
		}
		w.vms = append(w.vms, v)
	}
	return w
}

// runFor lets the VMs step every 100 ms for a time, or until one holds the duty.
func (w *world) runFor(time clock.Millis, untilHeld bool) (took clock.Millis) {
	for ; took < time; took += 100 {
		for _, v := range w.vms {
			_ = v.duty.Step(context.Background())
			if untilHeld && termOf(v.duty) > 0 {
				return took
			}
		}
		w.advance(100)
	}
	return took
}

// Guards against a VM that acquires a duty while another may act, or that could be seen again
// between two acts of another, and against waiting without need.
func TestWhoWaitsBeforeAcquiring(t *testing.T) {
	const wait = 3300 * clock.Millis(1)
	era, newer := tracker.RevisionInEra(1, 4), tracker.RevisionInEra(1, 7)
	former := func(name string) duty.FormerHolder {
		return duty.FormerHolder{Holder: vm.ID{Name: name, Incarnation: 1}, Term: era}
	}
	record := func(r duty.Record) string {
		r.State = json.RawMessage("5")
		spec, _ := json.Marshal(r)
		return string(spec)
	}
	for name, test := range map[string]struct {
		spec string
		// least and most bound the time until the VM "a" holds the duty.
		least, most clock.Millis
		state       string
	}{
		"released by another":                        {record(duty.Record{Term: era, Previous: []duty.FormerHolder{former("b")}}), 0, 200, "5"},
		"released by an earlier run":                 {record(duty.Record{Term: era, Previous: []duty.FormerHolder{former("a")}}), wait, wait + 100, "5"},
		"released by another after an earlier run":   {record(duty.Record{Term: era, Previous: []duty.FormerHolder{former("a"), former("b")}}), wait, wait + 100, "5"},
		"released, and earlier holders unknown":      {record(duty.Record{Term: era, Previous: []duty.FormerHolder{{}, former("b")}}), wait, wait + 100, "5"},
		"released in an earlier era":                 {record(duty.Record{Term: 4, Previous: []duty.FormerHolder{former("b")}}), wait, wait + 100, "5"},
		"held by another":                            {record(duty.Record{Term: era, Holder: former("b").Holder}), wait, wait + 100, "5"},
		"held by an earlier run":                     {record(duty.Record{Term: era, Holder: former("a").Holder}), wait, wait + 100, "5"},
		"held by a run of the same incarnation":      {record(duty.Record{Term: era, Holder: vm.ID{Name: "a", Incarnation: 2}, WriteID: "0-1"}), wait, wait + 100, "5"},
		"absent":                                     {"", wait, wait + 200, ""},
		"cannot be decoded":                          {`{"holder":7}`, wait, wait + 100, ""},
		"has a term that no other can follow":        {record(duty.Record{Term: 1<<63 - 1}), wait, wait + 100, ""},
		"written by a build that adds other members": {`{"holder":{"name":"b","region":"x"},"term":9,"y":1,"state":5}`, wait, wait + 100, "5"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newQuietWorld(test.spec, "a")
			g.Expect(w.runFor(2*wait, true)).To(And(BeNumerically(">=", test.least), BeNumerically("<=", test.most)))
			g.Expect(termOf(w.vms[0].duty)).To(BeNumerically(">", newer), "the term contains the era and rises")
			g.Expect(string(w.vms[0].duty.State())).To(Equal(test.state))
		})
	}
}

// Guards against store calls that grow with the number of VMs, or are made without need.
func TestStoreCallsOfAMinute(t *testing.T) {
	g := NewWithT(t)
	w := newQuietWorld("", "holder", "contender", "other")
	w.vms[2].duty.CanHold = func() bool { return false }
	w.runFor(2*leaseTime, false)
	reads, writes := w.reads, w.writes
	w.runFor(clock.Minute, false)
	g.Expect(termOf(w.vms[0].duty)).To(BeNumerically(">", 0))
	g.Expect(w.writes-writes).To(BeNumerically("<=", 60), "one each third of the lease time, by the holder")
	g.Expect(w.reads-reads).To(BeNumerically("<=", 40), "one each half of the lease time, by the contender")
}

// Guards against a holder that loses the duty to a store that answers after a second, or to
// the loss of one answer.
func TestHolderKeepsTheDutyWithASlowStore(t *testing.T) {
	g := NewWithT(t)
	w := newQuietWorld("", "holder")
	w.runFor(2*leaseTime, false)
	holder := w.vms[0].duty
	term := termOf(holder)
	w.answerTime = clock.Second
	for range 200 {
		_ = holder.Step(context.Background())
		g.Expect(termOf(holder)).To(Equal(term))
		w.advance(50)
	}
	g.Expect(holder.SetState(context.Background(), []byte("3"))).To(Succeed())
	g.Expect(string(holder.State())).To(Equal("3"))
	g.Expect(holder.SetState(context.Background(), []byte("{"))).NotTo(Succeed())
	g.Expect(holder.Release(context.Background())).To(Succeed())
	g.Expect(termOf(holder)).To(BeZero())
	g.Expect(holder.SetState(context.Background(), []byte("4"))).NotTo(Succeed(), "after the release")
}
