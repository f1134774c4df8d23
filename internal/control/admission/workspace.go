package admission

import "baobabladder.example/baobabladder/internal/base/clock"

const (
	// replyMaxAge is how long an owner's last reply is valid. A VM without requests
	// sends no reports and receives no replies. Its first request after the owner
	// became strict is reported, so the next one is not admitted without tokens.
	replyMaxAge = 10 * clock.Second
	// ownerPause is how long a VM does not ask an owner again that has not replied, so that
	// not each request waits for callTimeout.
	ownerPause = 500 * clock.Millis(1)
)

// workspaceState is a VM's state of one workspace.
type workspaceState struct {
	isStrict bool
	tokens   float64
	// used counts the requests admitted since the last report, refused those refused.
	used, refused float64
	// usedBefore counts the requests in the last report.
	usedBefore float64
	// repliedAt is when the owner last replied. hasReplied is set if it ever did.
	repliedAt  clock.Millis
	hasReplied bool
	// waitUntil is when the owner will have more tokens.
	waitUntil clock.Millis
	// unanswered counts the requests in reports without a reply, the last of them to the
	// owner unansweredBy.
	unanswered   float64
	unansweredBy string
	// failedAt is when the owner last did not reply, if it has not replied since; hasFailed
	// is set then.
	failedAt  clock.Millis
	hasFailed bool
}

// isPausing reports whether the owner did not reply a moment ago.
func (s *workspaceState) isPausing(now clock.Millis) bool {
	return s.hasFailed && now-s.failedAt < ownerPause
}

// state returns the state of a workspace, created if need be. The caller must hold
// mu.
func (a *Admission) state(name string) *workspaceState {
	if a.states == nil {
		a.states = map[string]*workspaceState{}
	}
	s := a.states[name]
	if s == nil {
		s = &workspaceState{}
		a.states[name] = s
	}
	return s
}
