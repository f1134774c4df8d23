package node

import (
	"context"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/hashing"
	"baobabladder.example/baobabladder/internal/control/roster"
	"baobabladder.example/baobabladder/internal/control/tracker"
	"baobabladder.example/baobabladder/internal/policy/balance"
	"baobabladder.example/baobabladder/internal/world/routing"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// localState returns the state that this VM sends to its peers. Contact in it is false
// until every feed has loaded its objects.
func (n *Node) localState() roster.State {
	revisions := make(map[string]int64, len(n.feeds))
	isLoaded := true
	for _, feed := range n.feeds {
		revisions[feed.Kind] = feed.NewestChange()
		isLoaded = isLoaded && feed.Revision() > 0
	}
	copyAge, isKnown := tracker.OldestAge(n.feeds)
	if isKnown {
		copyAge = max(copyAge, 1)
	}
	return roster.State{
		ID: n.id, VM: n.self, Ready: n.hasConfigAndEndpoints(), Stopping: n.stopping.Load(), Contact: isLoaded && n.store.canReachStore(),
		CutOff: n.reach.IsCutOff(),
		Demand: n.quota.Demand(), Running: n.balancer.Running(), Away: n.balancer.Relocations(),
		Limits: n.balancer.LimitReadings(), LimitDemand: n.balancer.LimitDemand(),
		Trials: n.canary.Evidence(), Revisions: revisions, CopyAge: copyAge,
		Blocked: n.blocklist.Entries(),
	}
}

// onExchange applies the state that a peer sent.
func (n *Node) onExchange(state roster.State) {
	n.admission.RecordContact()
	n.canary.SetPeerEvidence(state.ID.Name, state.Trials)
	_, isRelay := n.roster.Relays()
	for region, evidence := range state.Regions {
		// A relay gets the evidence of its own region from the VMs directly.
		if !isRelay || region != n.self.Region {
			n.canary.SetPeerEvidence("region "+region, evidence)
		}
	}
	n.balancer.MergeRelocations(state.Away)
	n.balancer.MergeLimitReadings(state.Limits)
	n.blocklist.Merge(state.Blocked)
	for _, feed := range n.feeds {
		known := state.Revisions[feed.Kind]
		if state.CopyAge > 0 {
			feed.Confirm(known, state.CopyAge)
		}
		if known > feed.NewestChange() {
			go feed.CatchUp(context.Background(), n.peers, state.VM.PeerAddress, known)
		}
	}
}

// syncPeers passes the states of the peers to the policies once every
// peerSyncInterval, and updates the duty assignment and the gauges. It makes no calls.
func (n *Node) syncPeers(ctx context.Context) {
	wasRelay := true
	for clock.Sleep(ctx, peerSyncInterval) == nil {
		members := n.roster.Members()
		if _, isRelay := n.roster.Relays(); isRelay != wasRelay {
			// Relays get evidence from each VM of their region, other VMs the sum of each
			// region. Keeping both after the role changed would count it twice.
			n.canary.ClearPeerEvidence()
			wasRelay = isRelay
		}
		vms, names := make([]balance.VM, 0, len(members)), make([]string, 0, len(members))
		for _, member := range members {
			vms = append(vms, balance.VM{
				Name: member.ID.Name, Region: member.VM.Region, Unavailable: !member.IsServing(),
			})
			names = append(names, member.ID.Name)
		}
		n.alternates.Store(roster.NewAlternates(members, n.self))
		n.updateQuotaPeers(members)
		n.balancer.UpdatePeers(n.roster.Running(), vms)
		n.balancer.UpdateLimitDemands(n.limitDemands(members))
		n.retryBudget.SetVMs(len(members))
		n.blocklist.SetVMs(names)
		n.canary.SetVMs(len(members))
		candidates, hasMajority := n.roster.DutyCandidates(members)
		n.setDutyAssignment(&dutyAssignment{candidates, hasMajority, fractionReachable(members)})
		n.updateUsage(members, candidates)
		n.logLimits()
		n.logEra()
		n.reportGauges(members)
	}
}

// updateQuotaPeers passes the number of peers to the quota, once the registered VMs are known.
func (n *Node) updateQuotaPeers(members []roster.Member) {
	if n.objects.countVMs() > 0 {
		n.quota.SetPeers(len(members) - 1)
	}
}

// checkInterval returns how old this VM's copy must be before it checks the store; see
// tracker.Checker. The first of the VMs that read the store checks it, and each next one
// only if those before it have not for one more interval.
func (n *Node) checkInterval() (interval clock.Millis, ok bool) {
	if _, isRelay := n.roster.Relays(); !isRelay {
		return 0, false
	}
	rank := clock.Millis(0)
	if assignment := n.dutyAssignment.Load(); assignment != nil {
		self := n.store.canReachStore()
		for _, member := range assignment.candidates {
			isBefore := member.ID.Name < n.id.Name
			if member.ID.Name != n.id.Name && (member.Contact == self && isBefore || member.Contact && !self) {
				rank++
			}
		}
	}
	return (1 + rank) * checkInterval, true
}

// dutyAssignment is this VM's view of which VMs share the fleet-wide duties: owning
// the quotas of workspaces and writing the outcome of version moves.
type dutyAssignment struct {
	// candidates are the VMs that share the duties. hasMajority reports whether this
	// VM reaches more than half of the registered VMs.
	candidates  []roster.Member
	hasMajority bool
	// reachableFraction is the fraction of the known VMs that are reachable.
	reachableFraction float64
}

// candidateNames returns the names of the candidates.
func (a *dutyAssignment) candidateNames() (names []string) {
	if a == nil {
		return nil
	}
	for _, member := range a.candidates {
		names = append(names, member.ID.Name)
	}
	return names
}

// setDutyAssignment replaces the assignment and logs it if it has changed.
func (n *Node) setDutyAssignment(newest *dutyAssignment) {
	last := n.dutyAssignment.Swap(newest)
	if last != nil && last.hasMajority == newest.hasMajority && slices.Equal(last.candidateNames(), newest.candidateNames()) {
		return
	}
	n.Log.WithFields(logrus.Fields{"deciders": strings.Join(newest.candidateNames(), " "), "hears_most": newest.hasMajority, "part_heard": newest.reachableFraction, "registered": n.objects.countVMs()}).
		Info("duties are divided anew")
}

// fractionReachable returns the fraction of the known members that are reachable.
func fractionReachable(members []roster.Member) float64 {
	reachable, known := 0, 0
	for _, member := range members {
		if member.Reachable {
			reachable++
		}
		if member.Known {
			known++
		}
	}
	return float64(reachable) / float64(max(known, 1))
}

// ownerOf returns the VM that owns a workspace's quota, by rendezvous hashing over the
// candidates. It returns false while this VM does not reach a majority of the
// registered VMs.
func (n *Node) ownerOf(workspace string) (owner vm.VM, known bool) {
	assignment := n.dutyAssignment.Load()
	if assignment == nil || !assignment.hasMajority {
		return vm.VM{}, false
	}
	var highest uint64
	for i := range assignment.candidates {
		if score := hashing.Strings(workspace, assignment.candidates[i].ID.Name); !known || score > highest {
			owner, known, highest = assignment.candidates[i].VM, true, score
		}
	}
	return owner, known
}

// ownershipSettleTime is how long VMs that start together take to agree on the owners
// of quotas.
const ownershipSettleTime = 4 * clock.Second

// restartSettleTime is how long a VM assumes after its own restart that it may have owned the
// buckets of quotas before, or that all VMs are restarting, as after a loss of power: the VMs
// become ready and reach the store one by one, and the owners of quotas change each time.
const restartSettleTime = 6 * clock.Second

// isOwnershipUnstable reports whether the owners of quotas may be changing often, so
// that a new owner must start with an empty bucket; see quota.Owner.
func (n *Node) isOwnershipUnstable() bool {
	return !n.Settings.FirstStart && n.clock.Now()-n.startedAt < restartSettleTime
}

// fillOwnedBursts fills the buckets of the workspaces that this VM owns. It does so
// only at the first start of the whole system, after ownershipSettleTime. A later
// owner starts with a partial bucket, as the previous owner may have granted the rest.
func (n *Node) fillOwnedBursts(ctx context.Context) {
	if !n.Settings.FirstStart || clock.Sleep(ctx, ownershipSettleTime) != nil {
		return
	}
	table := n.gateway.Table()
	if table == nil {
		return
	}
	for name, workspace := range table.Workspaces {
		if owner, known := n.ownerOf(name); known && owner.Name == n.id.Name {
			n.admission.OwnedBuckets.FillBurst(workspace)
		}
	}
}

// reachableFraction returns the fraction in the current duty assignment, or 0 if there is
// none yet.
func (n *Node) reachableFraction() float64 {
	if assignment := n.dutyAssignment.Load(); assignment != nil {
		return assignment.reachableFraction
	}
	return 0
}

func (n *Node) workspace(name string) *routing.Workspace {
	if table := n.gateway.Table(); table != nil {
		return table.Workspaces[name]
	}
	return nil
}

// canPeerReachStore reports whether any reachable peer can reach the store.
func (n *Node) canPeerReachStore() bool {
	for _, member := range n.roster.Members() {
		if member.ID.Name != n.id.Name && member.Reachable && member.Contact {
			return true
		}
	}
	return false
}

// relays calls Roster.Relays. The feeds are built before the roster, so they cannot
// hold its method.
func (n *Node) relays() (others []vm.VM, isRelay bool) { return n.roster.Relays() }

// hasFollowers calls Roster.HasFollowers; see relays.
func (n *Node) hasFollowers() bool { return n.roster.HasFollowers() }
