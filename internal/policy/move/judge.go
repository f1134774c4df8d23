package move

import (
	"fmt"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
)

const (
	// minDwell is the least time at a step: a fault may need a moment to show.
	minDwell = 20 * clock.Second
	// canaryAnswers and risingAnswers are how many answers of the new version, on
	// each route with traffic, end a step early.
	canaryAnswers = 50
	risingAnswers = 100
	// minTimed is how many of the answers must have come from warm endpoints.
	minTimed = 10
	// paceParts divides the time of a move: each step after the first has one part,
	// the canary all the rest, and one part at the end is a margin.
	paceParts = 16
	// stepDelay is what a step may last longer than planned: the mover judges once a
	// second, and its word has to reach the VMs.
	stepDelay = 1 * clock.Second
	// maxHistory bounds a state's history.
	maxHistory = 32
)

// Input is what the mover knows when it judges a service's move.
type Input struct {
	// Service is the document in force, and Revision its revision.
	Service  *document.Service
	Revision int64
	// VM is the mover's.
	VM string
	// Term is the mover's lease term.
	Term int64
	// Now is the wall time.
	Now clock.Millis
	// Evidence is that of all VMs that answered.
	Evidence []Evidence
	// Complete says that all listed VMs answered.
	AllAnswered bool
	// Suspension is a VM's word of a fault in the attempt, or nil.
	Suspension *Suspension
}

// Advance returns the state that follows from the input and whether it differs.
// state is nil if the store has none. A state written under a later term, or for
// a later document, is left as it is: this mover's lease or copy is old.
func Advance(state *State, input Input) (next *State, changed bool) {
	if state != nil && (state.Term > input.Term || state.Revision > input.Revision) {
		return state, false
	}
	if len(input.Service.Moves) == 0 {
		return breakOff(state, input)
	}
	move := &input.Service.Moves[0]
	if state == nil || !state.matches(move) {
		return follow(state, move, input)
	}
	switch state.Stage {
	case RolledBack:
		return state, false
	case Done:
		return reopen(state, input)
	default:
		return judge(state, input)
	}
}

// breakOff ends a move that the document no longer asks for.
func breakOff(state *State, input Input) (*State, bool) {
	if state == nil || state.IsFinal() {
		return state, false
	}
	next := state.after(input)
	next.enter(RolledBack, 0, 0, "the document no longer asks for the move", input)
	return next, true
}

// follow takes over a changed move. A change of time alone lets a move that is
// under way go on; anything else is a new attempt, and so is any change of a
// move that was taken back.
func follow(state *State, move *document.Move, input Input) (*State, bool) {
	if state != nil && state.Revision >= input.Revision {
		return state, false
	}
	if state != nil && state.contradicts(move) {
		return reverse(state, move, input)
	}
	var next *State
	sameVersions := state != nil && state.From == move.From && state.To == move.To
	if sameVersions && state.Stage != RolledBack {
		next = state.after(input)
	} else {
		next = &State{Service: input.Service.Name, Attempt: input.Revision, Stage: Waiting, StageStartedAt: input.Now}
		if state != nil {
			next.History = append(next.History, state.History...)
		}
	}
	next.Term = input.Term
	next.take(move, input.Revision)
	next.enter(next.Stage, next.Step, next.Share, fmt.Sprintf("document revision %d asks for %s in place of %s", input.Revision, move.To, move.From), input)
	return next, true
}

// reopen takes back a move that ended while a VM, not knowing of the end yet,
// found a fault.
func reopen(state *State, input Input) (*State, bool) {
	why := state.fault(nil, input.Suspension)
	if why == "" {
		return state, false
	}
	next := state.after(input)
	next.enter(RolledBack, 0, 0, why, input)
	return next, true
}

// reverse follows a move that starts from a version that does not carry the
// traffic. The way back is done at once, under the cap; anything else is not begun.
func reverse(state *State, move *document.Move, input Input) (*State, bool) {
	next := state.after(input)
	if !state.isReversed(move.From, move.To) {
		next.Revision = input.Revision
		why := fmt.Sprintf("document revision %d asks for a move from %s, which does not carry the traffic: not begun", input.Revision, move.From)
		next.enter(state.Stage, state.Step, state.Share, why, input)
		return next, true
	}
	next.Attempt = input.Revision
	next.take(move, input.Revision)
	next.enter(Done, len(steps)-1, FullShare, fmt.Sprintf("document revision %d asks for the way back", input.Revision), input)
	return next, true
}

// take takes over what a document of the given revision says of the move.
func (s *State) take(move *document.Move, revision int64) {
	s.Revision = revision
	s.From, s.To = move.From, move.To
	s.Start, s.By, s.SlowPercent = move.Start, move.Deadline, move.MaxSlowdownPercent
}

// judge decides on a move under way.
func judge(state *State, input Input) (*State, bool) {
	pooled := Pool(input.Evidence, state.Service, state.Attempt, state.Step)
	if why := state.fault(pooled, input.Suspension); why != "" {
		next := state.after(input)
		next.enter(RolledBack, 0, 0, why, input)
		return next, true
	}
	if state.Stage == Waiting {
		if input.Now < state.Start {
			return state, false
		}
		next := state.after(input)
		next.TrafficStartedAt = input.Now
		next.enter(Canary, 0, steps[0], "the start time has come", input)
		return next, true
	}
	if input.Now < state.StageStartedAt+state.dwell(input.Service) {
		return state, false
	}
	if input.AllAnswered && enough(pooled, state) {
		next := state.after(input)
		next.rise("enough answers without a fault", input)
		return next, true
	}
	if input.Now < state.lastChance(input.Service) {
		return state, false
	}
	return lastChance(state, pooled, input)
}

// lastChance decides without enough answers, because waiting for more would miss
// the time. Failures that few answers can't explain away count against the
// version; otherwise a step shows more of it to the traffic there is.
func lastChance(state *State, pooled []Evidence, input Input) (*State, bool) {
	next := state.after(input)
	var answers int64
	for i := range pooled {
		pair := &pooled[i].Whole
		answers += pair.New.Answers
		if pair.isDoubtful() {
			why := fmt.Sprintf("route %s: %d of %d failed and there is no time to see more", pooled[i].Route, pair.New.Failures, pair.New.Answers)
			next.enter(RolledBack, 0, 0, why, input)
			return next, true
		}
	}
	next.rise(fmt.Sprintf("little time is left; %d answers so far show no fault", answers), input)
	return next, true
}

// fault returns why the version is bad, or "".
func (s *State) fault(pooled []Evidence, suspension *Suspension) string {
	if suspension != nil && suspension.Attempt == s.Attempt {
		return fmt.Sprintf("%s on route %s: %s", suspension.VM, suspension.Route, suspension.Why)
	}
	for i := range pooled {
		if why := pooled[i].fault(s.SlowPercent); why != "" {
			return fmt.Sprintf("route %s: %s", pooled[i].Route, why)
		}
	}
	return ""
}

// enough says whether each route with traffic in this stage gave enough answers
// of the new version, and some did.
func enough(pooled []Evidence, state *State) bool {
	need := int64(risingAnswers)
	if state.Stage == Canary {
		need = canaryAnswers
	}
	seen := false
	for i := range pooled {
		pair := &pooled[i].Stage
		if pair.New.Answers+pair.Old.Answers == 0 {
			continue
		}
		// Without answers of warm endpoints nothing is known of the latency.
		if pair.New.Answers < need || pooled[i].Whole.New.timed() < minTimed {
			return false
		}
		seen = true
	}
	return seen
}

// pace is the time planned for each step after the canary.
func (s *State) pace() clock.Millis { return max((s.By-s.TrafficStartedAt)/paceParts, clock.Second) }

// dwell is the least time at the current step: traffic must have shifted under
// the cap, and a fault had time to show. A late move takes no less.
func (s *State) dwell(service *document.Service) clock.Millis {
	return min(minDwell, s.pace()) + shiftTime(s.Step, service.ShiftCap)
}

// shiftTime is how long a VM takes to reach the share of a step under the cap.
func shiftTime(step, shiftCap int) clock.Millis {
	jump := steps[step]
	if step > 0 {
		jump -= steps[step-1]
	}
	return clock.Millis(jump) * clock.Second / clock.Millis(max(shiftCap, 1))
}

// lastChance is the time at which the current step must end for the move to be
// over in time, with a margin of one pace.
func (s *State) lastChance(service *document.Service) clock.Millis {
	at := s.By - s.pace()
	at -= clock.Millis(FullShare-steps[len(steps)-1]) * clock.Second / clock.Millis(max(service.ShiftCap, 1))
	for step := s.Step + 1; step < len(steps); step++ {
		at -= s.pace() + stepDelay + shiftTime(step, service.ShiftCap)
	}
	return at
}

// after returns a copy of the state to be changed under the input's term.
func (s *State) after(input Input) *State {
	next := *s
	next.Term = input.Term
	next.History = append([]Change(nil), s.History...)
	return &next
}

// rise goes to the next step, or ends the move after the last.
func (s *State) rise(why string, input Input) {
	step := s.Step + 1
	if step < len(steps) {
		s.enter(Ramping, step, steps[step], why, input)
		return
	}
	if input.Now > s.By {
		why += "; later than asked for"
	}
	s.enter(Done, s.Step, FullShare, why, input)
}

func (s *State) enter(stage Stage, step, share int, why string, input Input) {
	if stage != s.Stage || step != s.Step {
		s.StageStartedAt = input.Now
	}
	s.Stage, s.Step, s.Share = stage, step, share
	s.History = append(s.History, Change{At: input.Now, VM: input.VM, Term: input.Term, Stage: stage, Share: share, Why: why})
	if extra := len(s.History) - maxHistory; extra > 0 {
		s.History = s.History[extra:]
	}
}
