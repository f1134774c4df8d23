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
	"math"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/quota"
	"baobabladder.example/baobabladder/internal/world/routing"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	// reportInterval is the time between two reports to an owner.
	reportInterval = 250 * clock.Millis(1)
	// callTimeout bounds the call that carries a report.
	callTimeout = 400 * clock.Millis(1)
	// forwardTimeout bounds the call by which a VM sends a report on to the owner. It is part
	// of callTimeout.
	forwardTimeout = 250 * clock.Millis(1)
	// replyMaxAge is how long an owner's last reply is valid. A VM without requests
	// sends no reports and receives no replies. Its first request after the owner
	// became strict is reported, so the next one is not admitted without tokens.
	replyMaxAge = 10 * clock.Second
	// ownerPause is how long a VM does not ask an owner again that has not replied, so that
	// not each request waits for callTimeout.
	ownerPause = 500 * clock.Millis(1)
	// aloneAfter is the time without contact with another VM after which this VM may be cut
	// off. It is longer than the time between two exchanges with a peer.
	aloneAfter = 750 * clock.Millis(1)
	// prefetchFactor is the number of tokens requested for each request refused since
	// the last report, so that the next such requests need no call.
	prefetchFactor = 1.0
	// maxCount bounds the requests or tokens that one message counts. A message with more,
	// or with NaN, is malformed.
	maxCount = 1e6
)

// ReceiverName is the name under which Receiver is registered for net/rpc.
const ReceiverName = "Admission"

const reportMethod = ReceiverName + ".Report"

// Report is a VM's report to an owner, by workspace.
type Report struct {
	VM     string
	Usages map[string]quota.Usage
	// IsForwarded is set if another VM than VM sends the report, to the owner that it knows.
	IsForwarded bool
}

// Reply is the owner's reply to a Report, by workspace.
type Reply struct {
	// Grants lacks the workspaces of the report whose owner the asked VM does not know.
	Grants map[string]quota.Grant
	// Strict lists all strict workspaces of the owner, including those that were not
	// in the report. Without it, a VM that rarely gets a request of such a workspace
	// would admit the request without tokens.
	Strict []string
}

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

// sendReport sends usages to their owner and applies its reply. All workspaces must
// have the same owner. It reports whether the owner replied.
func (a *Admission) sendReport(ctx context.Context, usages map[string]quota.Usage) bool {
	var owner vm.VM
	known := false
	for name := range usages {
		owner, known = a.OwnerOf(name)
		break
	}
	var reply Reply
	switch {
	case !known:
		a.restoreUsages(usages)
		return false
	case owner.Name == a.Self:
		reply = a.replyTo(a.Self, usages)
	default:
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout.Duration())
		defer cancel()
		if err := a.Peers.Call(ctx, owner.PeerAddress, reportMethod, Report{VM: a.Self, Usages: usages}, &reply); err != nil {
			reply = Reply{}
		}
	}
	a.applyReply(reply)
	return a.recordUnanswered(owner.Name, usages, reply.Grants)
}

// restoreUsages adds usages that were not sent to an owner to the next report.
func (a *Admission) restoreUsages(usages map[string]quota.Usage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, usage := range usages {
		a.state(name).used += usage.Used
	}
}

// recordUnanswered records the usages about which an owner has not replied, and reports
// whether there are none. It may have processed the report, or not. So what was admitted is
// reported to it again, while unused tokens are not returned again: in doubt the owner has
// too few.
func (a *Admission) recordUnanswered(owner string, usages map[string]quota.Usage, grants map[string]quota.Grant) (areAnswered bool) {
	now := a.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	areAnswered = true
	for name, usage := range usages {
		if _, isAnswered := grants[name]; isAnswered {
			continue
		}
		areAnswered = false
		if !a.Workspace(name).HasRateLimit() {
			continue
		}
		s := a.state(name)
		s.unanswered += max(usage.Used, 0)
		s.unansweredBy = owner
		s.failedAt, s.hasFailed = now, true
	}
	return areAnswered
}

// takeUnanswered returns how many requests in unanswered reports are to be reported to an
// owner, and forgets them. An owner that is not the one of those reports has withheld this
// VM's share meanwhile, so it gets only what the VM's bucket lacks. The caller must hold mu.
func (a *Admission) takeUnanswered(workspace, owner string) (used float64) {
	s := a.state(workspace)
	used = s.unanswered
	if s.unansweredBy != owner && used > 0 {
		used = min(used, a.LocalLimiter.Spent(a.Workspace(workspace)))
	}
	s.unanswered = 0
	return used
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

func (a *Admission) applyReply(reply Reply) {
	now := a.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range reply.Strict {
		a.state(name).isStrict = true
	}
	for name, grant := range reply.Grants {
		if !isPlausible(grant.Tokens) || grant.Tokens < 0 {
			continue
		}
		s := a.state(name)
		s.hasReplied, s.repliedAt, s.hasFailed = true, now, false
		s.isStrict = grant.Strict
		s.waitUntil = now + grant.Wait
		s.tokens += grant.Tokens
		if !grant.Strict {
			s.tokens = 0
			a.LocalLimiter.Fill(a.Workspace(name))
		}
	}
}

// isPlausible reports whether a message may contain the count.
func isPlausible(count float64) bool { return math.Abs(count) <= maxCount }

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

// Run sends reports to the owners until ctx ends.
func (a *Admission) Run(ctx context.Context) {
	for clock.Sleep(ctx, reportInterval) == nil {
		for _, usages := range a.collectDue() {
			go a.sendReport(ctx, usages)
		}
	}
}

// ReportNow sends what is to be reported and returns when the owners have replied.
func (a *Admission) ReportNow(ctx context.Context) {
	for _, usages := range a.collectDue() {
		a.sendReport(ctx, usages)
	}
}

// collectDue returns the usages to report, by owner and workspace, and resets the
// counts. A workspace is reported while it has requests and once more afterwards.
func (a *Admission) collectDue() map[string]map[string]quota.Usage {
	a.OwnedBuckets.LimitUnowned(a.isOwner)
	a.mu.Lock()
	defer a.mu.Unlock()
	usagesByOwner := map[string]map[string]quota.Usage{}
	for name, s := range a.states {
		if s.used == 0 && s.refused == 0 && s.usedBefore == 0 && s.tokens == 0 && s.unanswered == 0 {
			continue
		}
		owner, known := a.OwnerOf(name)
		if !known {
			continue
		}
		if usagesByOwner[owner.Name] == nil {
			usagesByOwner[owner.Name] = map[string]quota.Usage{}
		}
		// Unused tokens are returned to the owner for other VMs.
		usagesByOwner[owner.Name][name] = quota.Usage{Used: s.used + a.takeUnanswered(name, owner.Name) - s.tokens, Want: s.refused * prefetchFactor}
		s.tokens = 0
		s.usedBefore, s.used, s.refused = s.used+s.refused, 0, 0
	}
	return usagesByOwner
}
