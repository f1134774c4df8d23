// Package admission enforces the workspaces' rate limits over the whole fleet. Each
// workspace has a token bucket at one VM, its owner. The other VMs report to the
// owner four times a second how many requests they admitted. While a workspace is far
// below its limit they admit requests from a small bucket of their own, which each reply of
// the owner fills; see quota.Limiter. Near the limit the owner marks the workspace as
// strict, and they request tokens before they admit. So a request waits for a call to
// another VM only if its workspace is near its limit or its requests come together at this
// VM, and a VM that does not reach the owner admits no more than its share of the limit and
// what its bucket holds. VMs that have just started may disagree on the owner; a VM that
// gets a report on a workspace which another VM owns sends it on to that one.
package admission

import (
	"context"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/quota"
	"baobabladder.example/baobabladder/internal/world/routing"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// PeerCaller calls peers; see peer.Client.
type PeerCaller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Admission admits the requests that this VM receives. All exported fields but Clock
// must be set.
type Admission struct {
	Self  string
	Peers PeerCaller
	// OwnerOf returns the VM that owns a workspace's bucket. known is false while this
	// VM reaches too few others to decide on the owner.
	OwnerOf func(workspace string) (owner vm.VM, known bool)
	// Workspace returns a workspace of the configuration in force, or nil if there is
	// none of that name.
	Workspace func(name string) *routing.Workspace
	// ReachableFraction returns the fraction of all limits that the reachable VMs may
	// use, from 0 to 1.
	ReachableFraction func() float64
	// OwnedBuckets holds the buckets of the workspaces that this VM owns.
	OwnedBuckets *quota.Owner
	// LocalLimiter holds what this VM may admit without asking.
	LocalLimiter *quota.Limiter
	Clock        clock.Clock

	mu sync.Mutex
	// states holds this VM's state of each workspace, by name. Guarded by mu.
	states map[string]*workspaceState
	// contactAt is when this VM was last in contact with another one, hasContact is set if it
	// ever was. Both are guarded by mu.
	contactAt  clock.Millis
	hasContact bool
}

// Admit takes one token of the workspace's limit for a request. If there is none, ok
// is false and wait is the time after which the caller should retry.
func (a *Admission) Admit(ctx context.Context, workspace *routing.Workspace) (wait clock.Millis, ok bool) {
	if !workspace.HasRateLimit() {
		return 0, true
	}
	a.LocalLimiter.Observe(workspace)
	now := a.Clock.Now()
	a.mu.Lock()
	s := a.state(workspace.Name)
	isCurrent := s.hasReplied && now-s.repliedAt < replyMaxAge
	if isCurrent && a.take(s, workspace) {
		a.mu.Unlock()
		return 0, true
	}
	if isCurrent && now < s.waitUntil {
		s.refused++
		wait = s.waitUntil - now
		a.mu.Unlock()
		return wait, false
	}
	isPausing := s.isPausing(now)
	a.mu.Unlock()
	if _, isOwnerKnown := a.OwnerOf(workspace.Name); isPausing || !isOwnerKnown {
		return a.admitLocally(workspace)
	}
	return a.requestTokens(ctx, workspace)
}

// take admits one request if the owner's last reply allows it: with a token that the owner
// granted, or far from the limit from this VM's own bucket. The caller must hold mu.
func (a *Admission) take(s *workspaceState, workspace *routing.Workspace) bool {
	if s.isStrict && s.tokens < 1 {
		return false
	}
	if s.isStrict {
		s.tokens--
		return true
	}
	if _, ok := a.LocalLimiter.Admit(workspace); !ok {
		return false
	}
	s.used++
	return true
}

// admitLocally admits one request from this VM's own bucket. It is not reported while this VM
// knows no owner but has known one: owners withhold the shares of VMs that they lost. Nor has
// any owner granted the share of a VM that has just started, so of what it admits before it
// knows one, it reports what its bucket lacks; see takeUnanswered.
func (a *Admission) admitLocally(workspace *routing.Workspace) (wait clock.Millis, ok bool) {
	wait, ok = a.LocalLimiter.Admit(workspace)
	if !ok {
		return wait, false
	}
	_, isOwnerKnown := a.OwnerOf(workspace.Name)
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.state(workspace.Name)
	switch {
	case isOwnerKnown:
		s.used++
	case !s.hasReplied:
		s.unanswered++
	}
	return 0, true
}

// requestTokens requests tokens from the owner and admits one request if they
// suffice. It admits from the local share if the owner does not reply.
func (a *Admission) requestTokens(ctx context.Context, workspace *routing.Workspace) (wait clock.Millis, ok bool) {
	a.mu.Lock()
	s := a.state(workspace.Name)
	usage := quota.Usage{Used: s.used + a.takeUnanswered(workspace.Name, a.ownerName(workspace.Name)), Want: 1 + s.refused*prefetchFactor}
	s.usedBefore, s.used, s.refused = s.used, 0, 0
	a.mu.Unlock()
	usages := map[string]quota.Usage{workspace.Name: usage}
	if !a.sendReport(ctx, usages) {
		return a.admitLocally(workspace)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.take(s, workspace) {
		return 0, true
	}
	return max(s.waitUntil-a.Clock.Now(), 1), false
}

// ownerName returns the name of a workspace's owner, or "" if it is not known.
func (a *Admission) ownerName(workspace string) string {
	owner, known := a.OwnerOf(workspace)
	if !known {
		return ""
	}
	return owner.Name
}

// isOwner reports whether this VM owns a workspace's bucket, as far as it knows.
func (a *Admission) isOwner(workspace string) bool { return a.ownerName(workspace) == a.Self }

// Refund gives back the token that Admit took for a request that did not run.
func (a *Admission) Refund(workspace *routing.Workspace) {
	if !workspace.HasRateLimit() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.state(workspace.Name)
	if s.isStrict {
		s.tokens++
		return
	}
	s.used--
	a.LocalLimiter.Refund(workspace)
}
