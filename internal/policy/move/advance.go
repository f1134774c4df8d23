package move

import (
	"fmt"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
)

const (
	// minStepDuration is the least time at a step, because a fault may take a
	// while to show. It does not include the time for shifting the traffic.
	minStepDuration = 20 * clock.Second
	// minCanaryResponses and minRampingResponses are the numbers of responses of the
	// new version that end a step before its deadline. They are required on each route
	// with traffic.
	minCanaryResponses  = 50
	minRampingResponses = 100
	// minWarmResponses is how many successful responses of warm endpoints of the new
	// version are required as well, on each of these routes since the attempt began.
	minWarmResponses = 10
	// timeParts divides the time of a move: each step after the canary gets one
	// part, the canary gets the rest, and one part is a margin at the end.
	timeParts = 16
	// maxStepDelay is how much longer than planned a step may take: the mover
	// evaluates a move once per second, and the new state must reach the VMs.
	maxStepDelay = 1 * clock.Second
	// maxHistory limits the history of a state.
	maxHistory = 32
)

// Input is what the mover knows when it evaluates a service's move.
type Input struct {
	// Service is the document in force; Revision is its revision.
	Service  *document.Service
	Revision int64
	// VM is the name of the mover's VM.
	VM string
	// Term is the term of the mover's lease.
	Term int64
	// Now is the wall-clock time.
	Now clock.Millis
	// Evidence is the evidence of all VMs that replied.
	Evidence []Evidence
	// AllReplied is true if all listed VMs replied.
	AllReplied bool
	// Suspension is a suspension that is in force at some VM, or nil if there is
	// none.
	Suspension *Suspension
}

// Advance returns the state that follows from state and the input, and whether
// it differs from state. state is nil if the store has none. Advance returns a
// state that was written in a later term or for a later document unchanged,
// because the mover's lease or document is then outdated.
func Advance(state *State, input Input) (next *State, changed bool) {
	if state != nil && (state.Term > input.Term || state.Revision > input.Revision) {
		return state, false
	}
	if len(input.Service.Moves) == 0 {
		return cancelMove(state, input)
	}
	move := &input.Service.Moves[0]
	if state == nil || !state.isSameMove(move) {
		return updateMove(state, move, input)
	}
	switch state.Stage {
	case RolledBack:
		return state, false
	case Done:
		return rollBackDone(state, input)
	default:
		return evaluate(state, input)
	}
}

// cancelMove ends a move that the document no longer contains.
func cancelMove(state *State, input Input) (*State, bool) {
	if state == nil || state.IsFinal() {
		return state, false
	}
	next := state.copyForTerm(input)
	next.setStage(RolledBack, 0, 0, "the document no longer asks for the move", input)
	return next, true
}

// updateMove adopts a changed move from the document. If only its times have
// changed, a move in progress continues. Any other change, and any change of a move
// that was rolled back, starts a new attempt.
func updateMove(state *State, move *document.Move, input Input) (*State, bool) {
	if state != nil && state.Revision >= input.Revision {
		return state, false
	}
	if state != nil && state.isSourceUnserved(move) {
		return handleUnservedSource(state, move, input)
	}
	var next *State
	sameVersions := state != nil && state.From == move.From && state.To == move.To
	if sameVersions && state.Stage != RolledBack {
		next = state.copyForTerm(input)
	} else {
		next = &State{Service: input.Service.Name, Attempt: input.Revision, Stage: Waiting, StageStartedAt: input.Now}
		if state != nil {
			next.History = append(next.History, state.History...)
		}
	}
	next.Term = input.Term
	next.setMove(move, input.Revision)
	next.setStage(next.Stage, next.Step, next.Share, fmt.Sprintf("document revision %d asks for %s in place of %s", input.Revision, move.To, move.From), input)
	return next, true
}

// rollBackDone rolls back a completed move if a VM found a fault before it knew of
// the completion.
func rollBackDone(state *State, input Input) (*State, bool) {
	reason := state.fault(nil, input.Suspension)
	if reason == "" {
		return state, false
	}
	next := state.copyForTerm(input)
	next.setStage(RolledBack, 0, 0, reason, input)
	return next, true
}

// handleUnservedSource handles a move from a version that does not serve all
// traffic. If it reverses the current move, it is done at once, and the traffic
// returns to the old version within the shift cap. Any other such move is not
// started.
func handleUnservedSource(state *State, move *document.Move, input Input) (*State, bool) {
	next := state.copyForTerm(input)
	if !state.isReversed(move.From, move.To) {
		next.Revision = input.Revision
		reason := fmt.Sprintf("document revision %d asks for a move from %s, which does not carry the traffic: not begun", input.Revision, move.From)
		next.setStage(state.Stage, state.Step, state.Share, reason, input)
		return next, true
	}
	next.Attempt = input.Revision
	next.setMove(move, input.Revision)
	next.setStage(Done, len(stepShares)-1, FullShare, fmt.Sprintf("document revision %d asks for the way back", input.Revision), input)
	return next, true
}

// setMove adopts the move from a document of the given revision.
func (s *State) setMove(move *document.Move, revision int64) {
	s.Revision = revision
	s.From, s.To = move.From, move.To
	s.Start, s.Deadline, s.MaxSlowdownPercent = move.Start, move.Deadline, move.MaxSlowdownPercent
}

// evaluate decides on the next stage of a move in progress.
func evaluate(state *State, input Input) (*State, bool) {
	pooled := Pool(input.Evidence, state.Service, state.Attempt, state.Step)
	if reason := state.fault(pooled, input.Suspension); reason != "" {
		next := state.copyForTerm(input)
		next.setStage(RolledBack, 0, 0, reason, input)
		return next, true
	}
	if state.Stage == Waiting {
		if input.Now < state.Start {
			return state, false
		}
		next := state.copyForTerm(input)
		next.StartedAt = input.Now
		next.setStage(Canary, 0, stepShares[0], "the start time has come", input)
		return next, true
	}
	if input.Now < state.StageStartedAt+state.minTimeAtStep(input.Service) {
		return state, false
	}
	if input.AllReplied && hasEnoughResponses(pooled, state) {
		next := state.copyForTerm(input)
		next.advanceStep("enough answers without a fault", input)
		return next, true
	}
	if input.Now < state.stepDeadline(input.Service) {
		return state, false
	}
	return decideAtStepDeadline(state, pooled, input)
}

// decideAtStepDeadline decides although there are not enough responses, because the
// move would miss its deadline if it waited for more. Failures that are doubtful,
// though no proof of a fault, cause a rollback. Otherwise the next step begins, in
// which more of the little traffic reaches the new version.
func decideAtStepDeadline(state *State, pooled []Evidence, input Input) (*State, bool) {
	next := state.copyForTerm(input)
	var responses int64
	for i := range pooled {
		counts := &pooled[i].Whole
		responses += counts.New.Answers
		if counts.isDoubtful() {
			reason := fmt.Sprintf("route %s: %d of %d failed and there is no time to see more", pooled[i].Route, counts.New.Failures, counts.New.Answers)
			next.setStage(RolledBack, 0, 0, reason, input)
			return next, true
		}
	}
	next.advanceStep(fmt.Sprintf("little time is left; %d answers so far show no fault", responses), input)
	return next, true
}

// fault returns a description of the version's fault, or "" if there is none.
func (s *State) fault(pooled []Evidence, suspension *Suspension) string {
	if suspension != nil && suspension.Attempt == s.Attempt {
		return fmt.Sprintf("%s on route %s: %s", suspension.VM, suspension.Route, suspension.Why)
	}
	for i := range pooled {
		if reason := pooled[i].fault(s.MaxSlowdownPercent); reason != "" {
			return fmt.Sprintf("route %s: %s", pooled[i].Route, reason)
		}
	}
	return ""
}

// hasEnoughResponses reports whether the new version has given enough responses on each
// route with traffic in this stage, and at least one route has traffic.
func hasEnoughResponses(pooled []Evidence, state *State) bool {
	minResponses := int64(minRampingResponses)
	if state.Stage == Canary {
		minResponses = minCanaryResponses
	}
	hasTraffic := false
	for i := range pooled {
		counts := &pooled[i].Stage
		if counts.New.Answers+counts.Old.Answers == 0 {
			continue
		}
		// Without responses from warm endpoints the latency is unknown.
		if counts.New.Answers < minResponses || pooled[i].Whole.New.latencyCount() < minWarmResponses {
			return false
		}
		hasTraffic = true
	}
	return hasTraffic
}

// stepTime returns the time planned for each step after the canary.
func (s *State) stepTime() clock.Millis { return max((s.Deadline-s.StartedAt)/timeParts, clock.Second) }

// minTimeAtStep returns the least time at the current step: the time to shift
// the traffic within the cap and then some time for a fault to show. It is not
// reduced when a move is late.
func (s *State) minTimeAtStep(service *document.Service) clock.Millis {
	return min(minStepDuration, s.stepTime()) + shiftTime(s.Step, service.ShiftCap)
}

// shiftTime returns how long a VM takes to reach the share of a step within the
// shift cap.
func shiftTime(step, shiftCap int) clock.Millis {
	jump := stepShares[step]
	if step > 0 {
		jump -= stepShares[step-1]
	}
	return clock.Millis(jump) * clock.Second / clock.Millis(max(shiftCap, 1))
}

// stepDeadline returns when the current step must end for the move to meet its
// deadline, with a margin of one planned step.
func (s *State) stepDeadline(service *document.Service) clock.Millis {
	deadline := s.Deadline - s.stepTime()
	deadline -= clock.Millis(FullShare-stepShares[len(stepShares)-1]) * clock.Second / clock.Millis(max(service.ShiftCap, 1))
	for step := s.Step + 1; step < len(stepShares); step++ {
		deadline -= s.stepTime() + maxStepDelay + shiftTime(step, service.ShiftCap)
	}
	return deadline
}

// copyForTerm returns a copy of the state with the term of the input.
func (s *State) copyForTerm(input Input) *State {
	next := *s
	next.Term = input.Term
	next.History = append([]Change(nil), s.History...)
	return &next
}

// advanceStep goes to the next step. After the last step it completes the move.
func (s *State) advanceStep(reason string, input Input) {
	step := s.Step + 1
	if step < len(stepShares) {
		s.setStage(Ramping, step, stepShares[step], reason, input)
		return
	}
	if input.Now > s.Deadline {
		reason += "; later than asked for"
	}
	s.setStage(Done, s.Step, FullShare, reason, input)
}

func (s *State) setStage(stage Stage, step, share int, reason string, input Input) {
	if stage != s.Stage || step != s.Step {
		s.StageStartedAt = input.Now
	}
	s.Stage, s.Step, s.Share = stage, step, share
	s.History = append(s.History, Change{At: input.Now, VM: input.VM, Term: input.Term, Stage: stage, Share: share, Why: reason})
	if excess := len(s.History) - maxHistory; excess > 0 {
		s.History = s.History[excess:]
	}
}
