package routing

import "cmp"

// Rank orders requests by urgency; see Compare. 0 is the highest value of both fields.
type Rank struct {
	// Workspace is the priority of the request's workspace, or that of its route if the
	// workspace has none.
	Workspace int
	// Route is the priority of the request's route.
	Route int
}

// RankOf returns the rank of a route's requests of a workspace. The workspace is nil on
// public routes.
func RankOf(route *Route, workspace *Workspace) Rank {
	rank := Rank{Workspace: route.Priority, Route: route.Priority}
	if workspace != nil && workspace.HasPriority {
		rank.Workspace = workspace.Priority
	}
	return rank
}

// Compare returns a negative number if r is more urgent than other, 0 if both are equally
// urgent, and a positive number otherwise. The priority of a workspace takes precedence
// over that of a route, which decides between requests of equal workspace priority.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Workspace, other.Workspace), cmp.Compare(r.Route, other.Route))
}
