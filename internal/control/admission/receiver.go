package admission

import (
	"context"
	"maps"
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/quota"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// ReceiverName is the name under which Receiver is registered for net/rpc.
const ReceiverName = "Admission"

const reportMethod = ReceiverName + ".Report"

// forwardTimeout bounds the call by which a VM sends a report on to the owner. It is part
// of callTimeout.
const forwardTimeout = 250 * clock.Millis(1)

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

// Receiver serves the reports of other VMs over net/rpc.
type Receiver struct{ admission *Admission }

// NewReceiver returns the Receiver of an Admission.
func NewReceiver(admission *Admission) *Receiver { return &Receiver{admission} }

// Report processes a VM's report and replies with the tokens that it may use. VMs that have
// just started may take another VM for the owner than that VM does. So it sends on what it
// does not own, once, and stands in for an owner that does not reply.
func (r *Receiver) Report(report Report, reply *Reply) error {
	a := r.admission
	a.RecordContact()
	usages := a.withKnownOwner(report.Usages)
	if !report.IsForwarded {
		*reply = a.forward(report.VM, usages)
	}
	maps.DeleteFunc(usages, func(name string, _ quota.Usage) bool {
		_, isAnswered := reply.Grants[name]
		return isAnswered
	})
	own := a.replyTo(report.VM, usages)
	maps.Copy(own.Grants, reply.Grants)
	*reply = Reply{Grants: own.Grants, Strict: append(own.Strict, reply.Strict...)}
	return nil
}

// aloneAfter is the time without contact with another VM after which this VM may be cut off. It
// is longer than the time between two exchanges with a peer.
const aloneAfter = 750 * clock.Millis(1)

// RecordContact records that a message of another VM has arrived. Receiver calls it for reports.
// Without further calls, a new owner to which no other VM reports is taken for one that is cut
// off.
func (a *Admission) RecordContact() {
	now := a.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.contactAt, a.hasContact = now, true
}

// isAlone reports whether this VM has been without contact with others lately.
func (a *Admission) isAlone() bool {
	now := a.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.hasContact || now-a.contactAt >= aloneAfter
}

// withKnownOwner returns the usages of workspaces which this VM knows, and whose owner it
// knows.
func (a *Admission) withKnownOwner(usages map[string]quota.Usage) map[string]quota.Usage {
	known := maps.Clone(usages)
	maps.DeleteFunc(known, func(name string, _ quota.Usage) bool {
		return a.Workspace(name) == nil || a.ownerName(name) == ""
	})
	return known
}

// forward sends what a VM reports on workspaces that others own to these, and returns their
// replies.
func (a *Admission) forward(reporter string, usages map[string]quota.Usage) (reply Reply) {
	others := map[vm.VM]map[string]quota.Usage{}
	for name, usage := range usages {
		owner, known := a.OwnerOf(name)
		if !known || owner.Name == a.Self || owner.Name == reporter || a.isOwnerPausing(name) {
			continue
		}
		if others[owner] == nil {
			others[owner] = map[string]quota.Usage{}
		}
		others[owner][name] = usage
	}
	replies := make(chan Reply, len(others))
	for owner, owned := range others {
		go func() {
			replies <- a.callOwner(owner, Report{VM: reporter, Usages: owned, IsForwarded: true})
		}()
	}
	reply.Grants = map[string]quota.Grant{}
	for range others {
		ofOwner := <-replies
		maps.Copy(reply.Grants, ofOwner.Grants)
		reply.Strict = append(reply.Strict, ofOwner.Strict...)
	}
	return reply
}

// isOwnerPausing reports whether a workspace's owner did not reply a moment ago.
func (a *Admission) isOwnerPausing(workspace string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state(workspace).isPausing(a.Clock.Now())
}

// callOwner sends a report on to an owner and returns its reply, which is empty if there is
// none.
func (a *Admission) callOwner(owner vm.VM, report Report) (reply Reply) {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout.Duration())
	defer cancel()
	if err := a.Peers.Call(ctx, owner.PeerAddress, reportMethod, report, &reply); err == nil {
		return reply
	}
	now := a.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for name := range report.Usages {
		s := a.state(name)
		s.failedAt, s.hasFailed = now, true
	}
	return Reply{}
}

// replyTo processes a VM's report on workspaces that this VM owns.
func (a *Admission) replyTo(reporter string, usages map[string]quota.Usage) (reply Reply) {
	reply = Reply{Grants: make(map[string]quota.Grant, len(usages))}
	defer func() {
		isOther := func(name string) bool { return !a.isOwner(name) }
		reply.Strict = slices.DeleteFunc(a.OwnedBuckets.StrictWorkspaces(), isOther)
	}()
	reach := quota.Reach{Fraction: a.ReachableFraction(), Share: a.LocalLimiter.Share(), IsAlone: a.isAlone()}
	for name, usage := range usages {
		workspace := a.Workspace(name)
		if workspace.HasRateLimit() && isPlausible(usage.Used) && isPlausible(usage.Want) {
			reply.Grants[name] = a.OwnedBuckets.Report(workspace, reporter, usage, reach)
		}
	}
	return reply
}
