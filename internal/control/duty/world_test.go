package duty_test

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"pgregory.net/rapid"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/duty"
	"baobabladder.example/baobabladder/internal/control/tracker"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	leaseTime = 3 * clock.Second
	// actTimeout is the timeout of an action at the receiver.
	actTimeout = 800 * clock.Millis(1)
	// maxRateError is by how many percent a VM's clock is fast or slow at most.
	maxRateError = 5
	// maxDepth bounds how many calls are in progress within each other.
	maxDepth = 3
)

// rapid's ranges of integers favour small numbers, with which hardly any lease ends.
var (
	shortTime = rapid.SampledFrom([]clock.Millis{600, 300, 1000, 100, 1500, 30, 800, 0})
	longTime  = rapid.SampledFrom([]clock.Millis{3300, 2700, 3000, 1500, 3500, 2100, 5000, 9000})
	actTime   = rapid.SampledFrom([]clock.Millis{0, actTimeout, 100, 700, 400, 10, 600, 200})
)

// object is the stored object of the duty at a number of the store. It is absent at 0.
type object struct {
	spec   []byte
	number int64
}

// entryVM is one VM through all of its runs.
type entryVM struct {
	name string
	duty *duty.Duty
	// rate is the rate of the VM's clock in percent, rest what it lacks to a whole
	// millisecond.
	clock      *clock.Manual
	rate, rest clock.Millis
	// isBusy is set while a store call of the VM is in progress.
	isBusy, isFrozen, isCutOff, isStopped bool
}

// act is an action of a holder that arrives at the receiver.
type act struct {
	by   *entryVM
	term int64
	at   clock.Millis
}

// world consists of the VMs, the store and the receiver. Its time is the true one.
type world struct {
	t   *rapid.T
	now clock.Millis
	vms []*entryVM

	stored      object
	number, era int64
	isDown      bool
	// isQuiet is set while no call has a fault of its own.
	isQuiet bool
	// answerTime is how long each answer takes. reads and writes count the calls.
	answerTime    clock.Millis
	reads, writes int
	// copies are earlier states of the store; lateWrites may still be applied.
	copies     []object
	lateWrites []func()
	// applied holds the states of all applied writes.
	applied map[string]bool
	depth   int
	// events are what may happen at any time.
	events map[string]func()

	// sent holds the acts that have not arrived yet.
	sent         []act
	highest      int64
	holders      map[int64]string
	lastActs     map[string]act
	acts         int
	lastActor    string
	acquisitions int
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, applied: map[string]bool{}, holders: map[int64]string{}, lastActs: map[string]act{}}
	w.events = w.newEvents()
	for i := range rapid.IntRange(3, 5).Draw(t, "vms") {
		rate := rapid.SampledFrom([]clock.Millis{100, 100 - maxRateError, 100 + maxRateError, 99}).Draw(t, "rate")
		v := &entryVM{name: "vm-" + strconv.Itoa(i), rate: rate}
		w.vms = append(w.vms, v)
		w.start(v)
	}
	return w
}

// start begins a new run of a VM. Its incarnation may be that of an earlier run, as the wall
// clock may have been set back.
func (w *world) start(v *entryVM) {
	v.clock, v.isFrozen, v.isStopped = &clock.Manual{}, false, false
	incarnation := vm.Incarnation(rapid.IntRange(1, 3).Draw(w.t, "incarnation"))
	v.duty = &duty.Duty{
		Name: "usage", Self: vm.ID{Name: v.name, Incarnation: incarnation}, Store: storeOf{w, v}, Clock: v.clock.Clock(), LeaseTime: leaseTime,
	}
}

// advance moves the time, and delivers the acts that arrive meanwhile.
func (w *world) advance(by clock.Millis) {
	end := w.now + by
	slices.SortStableFunc(w.sent, func(a, b act) int { return int(a.at - b.at) })
	for len(w.sent) > 0 && w.sent[0].at <= end {
		arrived := w.sent[0]
		w.sent = w.sent[1:]
		w.receive(arrived)
	}
	w.now = end
	for _, v := range w.vms {
		ticks := by*v.rate + v.rest
		v.rest = ticks % 100
		if v.isFrozen {
			v.clock.Suspend(ticks / 100)
		} else {
			v.clock.Advance(ticks / 100)
		}
	}
}

// receive checks the invariants as the receiver sees them.
func (w *world) receive(a act) {
	if holder := w.holders[a.term]; holder != "" && holder != a.by.name {
		w.t.Fatalf("%s and %s acted under term %d", holder, a.by.name, a.term)
	}
	if a.term < w.highest {
		w.t.Fatalf("%s acted under term %d after %d", a.by.name, a.term, w.highest)
	}
	last, hasActed := w.lastActs[a.by.name]
	if hasActed && w.lastActor != a.by.name && a.at-last.at < leaseTime {
		w.t.Fatalf("%s acted again %d ms after its last act, and %s meanwhile", a.by.name, a.at-last.at, w.lastActor)
	}
	w.holders[a.term], w.highest, w.lastActor, w.lastActs[a.by.name] = a.by.name, a.term, a.by.name, a
	w.acts++
}

// act lets a VM act if it may.
func (w *world) act(v *entryVM) { w.send(v, actTime.Draw(w.t, "act takes")) }

// send lets a VM act if it may, with a call that takes a time up to its timeout.
func (w *world) send(v *entryVM, takes clock.Millis) {
	term, until, isHeld := v.duty.Tenure()
	if isHeld && !v.isFrozen && !v.isStopped && v.duty.Clock.Boottime() <= until-actTimeout {
		w.sent = append(w.sent, act{v, term, w.now + takes*100/v.rate})
	}
}

// canRun reports whether a VM can make a step now.
func (v *entryVM) canRun() bool { return !v.isBusy && !v.isFrozen && !v.isStopped }

// step lets a VM make a call, or store a state one higher than the last one.
func (w *world) step(v *entryVM) {
	if !v.canRun() {
		return
	}
	run := v.duty
	defer func(term int64) {
		v.isBusy = false
		if newTerm, _, isHeld := run.Tenure(); isHeld && newTerm != term {
			w.acquisitions++
		}
	}(termOf(run))
	v.isBusy = true
	if _, _, isHeld := run.Tenure(); !isHeld || rapid.IntRange(0, 2).Draw(w.t, "set state") > 0 {
		_ = run.Step(context.Background())
		return
	}
	last, _ := strconv.Atoi(string(run.State()))
	state := strconv.Itoa(last + 1)
	if run.SetState(context.Background(), []byte(state)) == nil && !w.applied[state] {
		w.t.Fatalf("%s stored state %s, which the store has not applied", v.name, state)
	}
}

func termOf(run *duty.Duty) int64 {
	term, _, _ := run.Tenure()
	return term
}

// tick moves the time a little and lets all VMs step and act.
func (w *world) tick(by clock.Millis) {
	w.advance(by)
	for _, v := range w.vms {
		w.act(v)
		w.step(v)
		w.act(v)
	}
}

// pause lets events happen while a call is in progress.
func (w *world) pause() {
	if w.depth >= maxDepth {
		return
	}
	w.depth++
	defer func() { w.depth-- }()
	names := slices.Sorted(maps.Keys(w.events))
	for range rapid.IntRange(0, 4).Draw(w.t, "events in call") {
		w.events[rapid.SampledFrom(names).Draw(w.t, "event in call")]()
	}
}

// apply applies a write if the object is at a number, whatever the era is.
func (w *world) apply(spec []byte, ifNumber int64) bool {
	if w.stored.number != ifNumber {
		return false
	}
	var before, after duty.Record
	_ = json.Unmarshal(w.stored.spec, &before)
	_ = json.Unmarshal(spec, &after)
	isOfThisEra := tracker.EraOf(before.Term) == w.era && tracker.EraOf(after.Term) == w.era
	if last, next := stateOf(before), stateOf(after); isOfThisEra && (next < last || after.Term < before.Term) {
		w.t.Fatalf("state %d of term %d was replaced by state %d of term %d", last, before.Term, next, after.Term)
	}
	w.number++
	w.stored = object{spec, w.number}
	w.applied[string(after.State)] = true
	return true
}

func stateOf(record duty.Record) int {
	state, _ := strconv.Atoi(string(record.State))
	return state
}

// storeOf is the store as one VM reaches it.
type storeOf struct {
	w *world
	v *entryVM
}

// fault draws what happens to a call.
func (s storeOf) fault() string {
	if s.w.isDown || s.v.isCutOff {
		return "down"
	}
	if s.w.isQuiet || rapid.IntRange(0, 2).Draw(s.w.t, "call") > 0 {
		return ""
	}
	return rapid.SampledFrom([]string{"slow to arrive", "slow answer", "down", "lost", "late"}).Draw(s.w.t, "fault")
}

// ReadObject implements duty.Store.
func (s storeOf) ReadObject(context.Context, string, string) (spec []byte, revision int64, found bool, err error) {
	s.w.reads++
	fault := s.fault()
	s.w.advance(s.w.answerTime)
	if fault == "slow to arrive" {
		s.w.pause()
	}
	stored, era := s.w.stored, s.w.era
	if fault == "slow answer" || fault == "lost" {
		s.w.pause()
	}
	if fault == "down" || fault == "lost" {
		return nil, 0, false, duty.ErrUnavailable.New("no answer")
	}
	return stored.spec, tracker.RevisionInEra(era, stored.number), stored.number > 0, nil
}

// WriteObject implements duty.Store.
func (s storeOf) WriteObject(_ context.Context, _, _ string, spec []byte, ifRevision int64) (revision int64, err error) {
	number := tracker.NumberOf(ifRevision)
	s.w.writes++
	fault := s.fault()
	s.w.advance(s.w.answerTime)
	switch fault {
	case "down":
		return 0, duty.ErrUnavailable.New("refused")
	case "late":
		s.w.lateWrites = append(s.w.lateWrites, func() { s.w.apply(spec, number) })
		s.w.pause()
		return 0, duty.ErrOutcomeUnknown.New("no answer")
	case "slow to arrive":
		s.w.pause()
	}
	isApplied := s.w.apply(spec, number)
	revision = tracker.RevisionInEra(s.w.era, s.w.stored.number)
	if fault == "slow answer" || fault == "lost" {
		s.w.pause()
	}
	switch {
	case fault == "lost":
		return 0, duty.ErrOutcomeUnknown.New("no answer")
	case !isApplied:
		return 0, duty.ErrConflict.New("conflict")
	}
	return revision, nil
}
