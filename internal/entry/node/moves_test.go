package node

import (
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/control/tracker"
	"baobabladder.example/baobabladder/internal/world/directory"
)

// Guards against a trial that begins anew because the operator wrote a move again after the
// store had lost its state.
func TestMoveKeepsStateThatTheStoreLost(t *testing.T) {
	g := NewWithT(t)
	before := directory.Move{Service: "cat", TargetVersion: "v2", State: directory.MoveDone, StartedWall: 5, Revision: tracker.RevisionInEra(1, 90)}
	again := directory.Move{Service: "cat", TargetVersion: "v2", Revision: tracker.RevisionInEra(2, 60)}
	kept := keepMoveState(before, again)
	g.Expect(kept.State).To(Equal(directory.MoveDone))
	g.Expect(kept.StartedWall).To(Equal(before.StartedWall))
	g.Expect(kept.IsStateLost).To(BeTrue())

	again.Revision++
	g.Expect(keepMoveState(kept, again).State).To(Equal(directory.MoveDone), "the state is not written again yet")
	again.State = directory.MoveDone
	g.Expect(keepMoveState(kept, again).IsStateLost).To(BeFalse())

	another := directory.Move{Service: "cat", TargetVersion: "v3", Revision: tracker.RevisionInEra(2, 70)}
	g.Expect(keepMoveState(before, another).State).To(Equal(directory.MoveRequested), "another version's move")
	restarted := directory.Move{Service: "cat", TargetVersion: "v2", Revision: tracker.RevisionInEra(1, 95)}
	g.Expect(keepMoveState(before, restarted).State).To(Equal(directory.MoveRequested), "the same era: the operator took the state away")
	spoiled := restarted
	spoiled.IsStateUnreadable = true
	g.Expect(keepMoveState(before, spoiled).State).To(Equal(directory.MoveDone), "another writer has spoiled the state")
	g.Expect(keepMoveState(before, spoiled).IsStateLost).To(BeTrue())
}
