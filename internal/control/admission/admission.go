// Package admission holds workspaces to their limits over all VMs. One VM owns
// each workspace's bucket. The others report to it a few times a second what they
// admitted; while a workspace is far below its limit they admit freely, and near
// the limit they ask the owner before they admit. A VM that does not reach the
// owner admits from its own share, see quota.Limiter. So no request waits for
// another VM unless its workspace is near its limit.
package admission

import (
	"context"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/quota"
	"baobabladder.example/baobabladder/internal/world/routing"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	// reportInterval is the pause between two reports to an owner.
	reportInterval = 250 * clock.Millis(1)
	callTimeout    = 400 * clock.Millis(1)
	// ownerAge is how long an owner's last reply counts. A VM that has nothing to
	// report hears nothing; its first request after the owner became strict is
	// reported, and its next one is not admitted freely.
	ownerAge = 10 * clock.Second
	// askAhead is how many tokens are asked for at once beside the one needed, in
	// times of what the last interval needed.
	askAhead = 1.0
)

// ReceiverName names the receiver of reports.
const ReceiverName = "Admission"

const reportMethod = ReceiverName + ".Report"

// Report is what a VM tells an owner, by workspace.
type Report struct {
	VM     string
	Usages map[string]quota.Usage
}

// Reply is the owner's answer, by workspace.
type Reply struct {
	Grants map[string]quota.Grant
	// Strict names all workspaces of the owner for which VMs must ask. A VM that is
	// asked for one of them seldom learns of it before its next request.
	Strict []string
}

// Caller calls peers; see peer.Client.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Admission admits this VM's requests. All exported fields but Clock must be set.
type Admission struct {
	Self  string
	Peers Caller
	// Owner returns the VM that owns a workspace, or false while this VM hears too
	// few others to know.
	OwnerOf func(workspace string) (owner vm.VM, known bool)
	// Workspace returns a workspace of the configuration in force, or nil.
	Workspace func(name string) *routing.Workspace
	// Part is the part of all limits that the VMs in reach may use.
	ReachableFraction func() float64
	OwnedBuckets      *quota.Owner
	LocalLimiter      *quota.Limiter
	Clock             clock.Clock

	mu sync.Mutex
	// states holds this VM's part in each workspace. Guarded by mu.
	states map[string]*state
}

// state is what a VM knows of one workspace.
type state struct {
	isStrict bool
	tokens   float64
	// used counts what was admitted since the last report, missed what was not.
	used, missed float64
	// lastUsed is used of the interval before.
	lastUsed float64
	// repliedAt is when the owner last replied; hasReplied says that it ever did.
	repliedAt  clock.Millis
	hasReplied bool
	// waitUntil is when the owner has more tokens.
	waitUntil clock.Millis
}

// Admit takes one request out of the workspace's limit. It returns how long the
// caller should wait if there is none left.
func (a *Admission) Admit(ctx context.Context, workspace *routing.Workspace) (wait clock.Millis, ok bool) {
	if workspace == nil || workspace.Rate <= 0 {
		return 0, true
	}
	a.LocalLimiter.Observe(workspace)
	now := a.Clock.Now()
	a.mu.Lock()
	s := a.state(workspace.Name)
	isCurrent := s.hasReplied && now-s.repliedAt < ownerAge
	if isCurrent && s.take() {
		a.mu.Unlock()
		return 0, true
	}
	if isCurrent && now < s.waitUntil {
		s.missed++
		wait = s.waitUntil - now
		a.mu.Unlock()
		return wait, false
	}
	a.mu.Unlock()
	return a.ask(ctx, workspace)
}

// take admits one request if the state allows it. Callers hold the mutex.
func (s *state) take() bool {
	if s.isStrict && s.tokens < 1 {
		return false
	}
	if s.isStrict {
		s.tokens--
		return true
	}
	s.used++
	return true
}

func (a *Admission) admitLocally(workspace *routing.Workspace) (wait clock.Millis, ok bool) {
	wait, ok = a.LocalLimiter.Admit(workspace)
	if ok {
		a.mu.Lock()
		a.state(workspace.Name).used++
		a.mu.Unlock()
	}
	return wait, ok
}

// ask asks the owner for tokens and admits one request if it gets some.
func (a *Admission) ask(ctx context.Context, workspace *routing.Workspace) (wait clock.Millis, ok bool) {
	a.mu.Lock()
	s := a.state(workspace.Name)
	usage := quota.Usage{Used: s.used, Want: 1 + s.missed*askAhead}
	s.lastUsed, s.used, s.missed = s.used, 0, 0
	a.mu.Unlock()
	usages := map[string]quota.Usage{workspace.Name: usage}
	if !a.report(ctx, usages) {
		return a.admitLocally(workspace)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.take() {
		return 0, true
	}
	return max(s.waitUntil-a.Clock.Now(), 1), false
}

// report tells owners about usages and takes their replies over. All workspaces
// must have one owner. It reports whether there was a reply.
func (a *Admission) report(ctx context.Context, usages map[string]quota.Usage) bool {
	var owner vm.VM
	known := false
	for name := range usages {
		owner, known = a.OwnerOf(name)
		break
	}
	var reply Reply
	switch {
	case !known:
		a.restore(usages)
		return false
	case owner.Name == a.Self:
		reply = a.answer(usages)
	default:
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout.Duration())
		defer cancel()
		if err := a.Peers.Call(ctx, owner.PeerAddress, reportMethod, Report{a.Self, usages}, &reply); err != nil {
			// The owner may have taken the report: what was admitted is not told again,
			// but the local share that takes over is far below the limit.
			return false
		}
	}
	a.take(reply)
	return true
}

// restore puts usages back that no owner heard of.
func (a *Admission) restore(usages map[string]quota.Usage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, usage := range usages {
		a.state(name).used += usage.Used
	}
}

func (a *Admission) take(reply Reply) {
	now := a.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, grant := range reply.Grants {
		s := a.state(name)
		s.hasReplied, s.repliedAt = true, now
		s.isStrict = grant.Strict
		s.waitUntil = now + grant.Wait
		s.tokens += grant.Tokens
		if !grant.Strict {
			s.tokens = 0
		}
	}
	for _, name := range reply.Strict {
		a.state(name).isStrict = true
	}
}

// answer replies to a report for the workspaces that this VM owns.
func (a *Admission) answer(usages map[string]quota.Usage) (reply Reply) {
	reply = Reply{Grants: make(map[string]quota.Grant, len(usages))}
	defer func() { reply.Strict = a.OwnedBuckets.StrictWorkspaces() }()
	part := a.ReachableFraction()
	for name, usage := range usages {
		if workspace := a.Workspace(name); workspace != nil && workspace.Rate > 0 {
			reply.Grants[name] = a.OwnedBuckets.Report(workspace, usage, part)
		}
	}
	return reply
}

// Return gives back what Admit took for a request that did not run.
func (a *Admission) Return(workspace *routing.Workspace) {
	if workspace == nil || workspace.Rate <= 0 {
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
}

func (a *Admission) state(name string) *state {
	if a.states == nil {
		a.states = map[string]*state{}
	}
	s := a.states[name]
	if s == nil {
		s = &state{}
		a.states[name] = s
	}
	return s
}

// Run reports to the owners until ctx ends.
func (a *Admission) Run(ctx context.Context) {
	for clock.Sleep(ctx, reportInterval) == nil {
		for _, usages := range a.due() {
			go a.report(ctx, usages)
		}
	}
}

// due returns what is to be reported, by owner. A workspace is reported while it
// is used, and once more afterwards.
func (a *Admission) due() map[string]map[string]quota.Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	due := map[string]map[string]quota.Usage{}
	for name, s := range a.states {
		if s.used == 0 && s.missed == 0 && s.lastUsed == 0 && s.tokens == 0 {
			continue
		}
		owner, known := a.OwnerOf(name)
		if !known {
			continue
		}
		if due[owner.Name] == nil {
			due[owner.Name] = map[string]quota.Usage{}
		}
		// Tokens left over go back to the owner, others may need them.
		due[owner.Name][name] = quota.Usage{Used: s.used - s.tokens, Want: s.missed * askAhead}
		s.tokens = 0
		s.lastUsed, s.used, s.missed = s.used+s.missed, 0, 0
	}
	return due
}

// Receiver answers VMs' reports.
type Receiver struct{ admission *Admission }

// NewReceiver returns the receiver of an Admission.
func NewReceiver(admission *Admission) *Receiver { return &Receiver{admission} }

// Report takes a VM's usages and replies with what it may admit.
func (r *Receiver) Report(report Report, reply *Reply) error {
	*reply = r.admission.answer(report.Usages)
	return nil
}
