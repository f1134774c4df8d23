package node

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/roster"
	"baobabladder.example/baobabladder/internal/control/tracker"
	"baobabladder.example/baobabladder/internal/policy/canary"
	"baobabladder.example/baobabladder/internal/world/directory"
)

// keepMoveState returns the newest form of a move with the state of the previous one, if
// the store may have lost that: the two are of different eras, another writer has spoiled
// the state, or it was lost before, and the newest is not as far. The state must then be
// written again. Otherwise it returns the newest form.
func keepMoveState(previous, newest directory.Move) directory.Move {
	mayBeLost := previous.IsStateLost || newest.IsStateUnreadable || tracker.EraOf(previous.Revision) < tracker.EraOf(newest.Revision)
	if !mayBeLost || previous.TargetVersion != newest.TargetVersion || previous.State.Progress() <= newest.State.Progress() {
		return newest
	}
	newest.State, newest.StartedWall, newest.IsStateLost = previous.State, previous.StartedWall, true
	return newest
}

// moveStart returns when a move began, by this VM's clock: when this VM first saw it,
// or the start that another VM wrote to the store, if that is earlier. The written
// start is compared by the wall clocks of two VMs, so the resulting age is limited to
// the move's MaxDuration.
func (n *Node) moveStart(previous, newest directory.Move) clock.Millis {
	start := newest.FirstSeen
	if previous.TargetVersion == newest.TargetVersion {
		start = previous.FirstSeen
	}
	if newest.StartedWall == 0 {
		return start
	}
	age := min(max(n.clock.Wall()-newest.StartedWall, 0), newest.MaxDuration)
	return min(start, n.clock.Now()-age)
}

// writeMoves writes the outcome of version moves, and again what the store has lost of it,
// while this VM is the writer; see isMoveWriter.
func (n *Node) writeMoves(ctx context.Context) {
	for clock.Sleep(ctx, peerSyncInterval) == nil {
		if assignment := n.dutyAssignment.Load(); assignment != nil {
			n.writeMoveVerdicts(ctx, assignment.candidates)
			n.rewriteLostMoveStates(ctx, assignment.candidates)
		}
	}
}

// writeMoveVerdicts writes the verdicts of this VM's canary guard on version moves to
// the store if this VM is the writer. It writes them side by side, as moves that were
// ordered together also have their deadlines together.
func (n *Node) writeMoveVerdicts(ctx context.Context, candidates []roster.Member) {
	verdicts := n.canary.PendingVerdicts()
	if len(verdicts) == 0 || !n.isMoveWriter(candidates) {
		return
	}
	var writes sync.WaitGroup
	for _, verdict := range verdicts {
		writes.Go(func() { n.writeMoveVerdict(ctx, verdict) })
	}
	writes.Wait()
}

func (n *Node) writeMoveVerdict(ctx context.Context, verdict canary.Verdict) {
	if verdict.Move.StartedWall == 0 {
		verdict.Move.StartedWall = n.clock.Wall() - (n.clock.Now() - verdict.Move.FirstSeen)
	}
	fields := moveFields(verdict.Move, &verdict.Evidence)
	fields["state"], fields["why"] = verdict.State, verdict.Reason
	if err := n.Platform.WriteMove(ctx, verdict.Move, verdict.State, verdict.Evidence); err != nil {
		n.Log.WithError(err).WithFields(fields).Warn("writing the state of a version move failed")
		return
	}
	n.Log.WithFields(fields).Info("wrote the state of a version move")
}

// moveFields returns the fields that describe a version move and the evidence of all VMs
// on it in a log line.
func moveFields(move directory.Move, evidence *canary.Evidence) logrus.Fields {
	return logrus.Fields{
		"service": move.Service, "to": move.TargetVersion, "age_ms": evidence.Age,
		"new": evidence.Whole.New, "old": evidence.Whole.Old, "recent_new": evidence.Recent.New, "recent_old": evidence.Recent.Old,
	}
}

// logBadVersion logs that this VM sends no more requests to a new version, and why.
func (n *Node) logBadVersion(move directory.Move, evidence canary.Evidence, why string) {
	n.Log.WithFields(moveFields(move, &evidence)).WithField("why", why).Warn("found a new version bad")
}

// rewriteLostMoveStates writes the states of version moves again that the store may have
// lost by coming back from a copy, if this VM is the writer. It tries each at most once
// every moveRewriteInterval, as the operator must first have written the move again.
func (n *Node) rewriteLostMoveStates(ctx context.Context, candidates []roster.Member) {
	now := n.clock.Now()
	if now < n.nextMoveRewriteAt || !n.isMoveWriter(candidates) {
		return
	}
	for _, move := range n.lostMoves() {
		n.nextMoveRewriteAt = now + moveRewriteInterval
		line := n.Log.WithFields(logrus.Fields{"service": move.Service, "to": move.TargetVersion, "state": move.State})
		if err := n.Platform.WriteMove(ctx, move, move.State, canary.Evidence{}); err != nil {
			line.WithError(err).Warn("writing the lost state of a version move failed; retrying")
			continue
		}
		line.Info("the store has the state of a version move again")
	}
}

// lostMoves returns the moves whose state the store may not have.
func (n *Node) lostMoves() (lost []directory.Move) {
	era := n.Platform.Era()
	n.objects.mu.Lock()
	defer n.objects.mu.Unlock()
	for _, service := range slices.Sorted(maps.Keys(n.objects.moves)) {
		move := n.objects.moves[service]
		if move.State != directory.MoveRequested && (move.IsStateLost || tracker.EraOf(move.Revision) < era) {
			lost = append(lost, move)
		}
	}
	return lost
}

// isMoveWriter reports whether this VM writes the outcome of version moves: it is the
// first candidate, by name, that reaches the store. Two VMs may briefly both be the
// writer; the store's conditional writes make that harmless.
func (n *Node) isMoveWriter(candidates []roster.Member) bool {
	for _, member := range candidates {
		if member.Contact {
			return member.ID.Name == n.id.Name
		}
	}
	return false
}
