package routing

import (
	"testing"

	. "github.com/onsi/gomega"
)

// A workspace's priority must decide before the route's, and the route's among requests of
// workspaces with the same priority.
func TestWorkspacePriorityTakesPrecedence(t *testing.T) {
	g := NewWithT(t)
	urgent, usual, bulk := &Route{Priority: 0}, &Route{Priority: 1}, &Route{Priority: 2}
	first, second := &Workspace{HasPriority: true}, &Workspace{Priority: 1, HasPriority: true}
	ordered := []Rank{
		RankOf(urgent, first), RankOf(bulk, first), RankOf(urgent, second), RankOf(usual, nil), RankOf(bulk, second), RankOf(bulk, &Workspace{}),
	}
	for i := range ordered {
		for j := range ordered {
			g.Expect(ordered[i].Compare(ordered[j]) < 0).To(Equal(i < j && ordered[i] != ordered[j]), "%v and %v", ordered[i], ordered[j])
		}
	}
}
