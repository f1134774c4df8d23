package admission

import (
	"context"
	"math"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/quota"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	// reportInterval is the time between two reports to an owner.
	reportInterval = 250 * clock.Millis(1)
	// callTimeout bounds the call that carries a report.
	callTimeout = 400 * clock.Millis(1)
	// prefetchFactor is the number of tokens requested for each request refused since
	// the last report, so that the next such requests need no call.
	prefetchFactor = 1.0
	// maxCount bounds the requests or tokens that one message counts. A message with more,
	// or with NaN, is malformed.
	maxCount = 1e6
)

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

// applyReply applies an owner's reply to the states of its workspaces. It ignores grants
// that are malformed.
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
