package node

import (
	"context"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/hashing"
	"baobabladder.example/baobabladder/internal/control/roster"
	"baobabladder.example/baobabladder/internal/policy/balance"
	"baobabladder.example/baobabladder/internal/policy/quota"
	"baobabladder.example/baobabladder/internal/world/routing"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// state is what this VM tells its peers.
func (n *Node) state() roster.State {
	revisions := make(map[string]int64, len(n.feeds))
	isLoaded := true
	for _, feed := range n.feeds {
		revisions[feed.Kind] = feed.NewestChange()
		isLoaded = isLoaded && feed.Revision() > 0
	}
	return roster.State{
		ID: n.id, VM: n.self, Ready: n.knowsEnough(), Stopping: n.stopping.Load(), Contact: isLoaded && n.direct.mayReach(),
		Demand: n.quota.Demand(), Running: n.balancer.Running(), Away: n.balancer.Relocations(), Trials: n.guard.Evidence(), Revisions: revisions,
	}
}

// heard takes over what a peer told.
func (n *Node) heard(state roster.State) {
	n.guard.SetPeerEvidence(state.ID.Name, state.Trials)
	_, isRelay := n.roster.Relays()
	for region, evidence := range state.Regions {
		// A relay hears the VMs of its region themselves.
		if !isRelay || region != n.self.Region {
			n.guard.SetPeerEvidence("region "+region, evidence)
		}
	}
	n.balancer.MergeRelocations(state.Away)
	for _, feed := range n.feeds {
		if known := state.Revisions[feed.Kind]; known > feed.NewestChange() {
			go feed.CatchUp(context.Background(), n.peers, state.VM.PeerAddress, known)
		}
	}
}

// spread passes what the peers told on to the policies, and writes down the
// outcome of moves if this VM is the one to do so.
func (n *Node) spread(ctx context.Context) {
	wasRelay := true
	for clock.Sleep(ctx, spreadInterval) == nil {
		members := n.roster.Members()
		if _, isRelay := n.roster.Relays(); isRelay != wasRelay {
			// Evidence comes from the VMs themselves or as their region's sum, not both.
			n.guard.ClearPeerEvidence()
			wasRelay = isRelay
		}
		demands := []quota.PeerDemand{}
		vms := make([]balance.VM, 0, len(members))
		for _, member := range members {
			vms = append(vms, balance.VM{Name: member.ID.Name, Region: member.VM.Region})
			if member.ID.Name == n.id.Name {
				continue
			}
			demands = append(demands, quota.PeerDemand{VM: member.ID.Name, Demand: member.Demand})
		}
		n.quota.UpdatePeers(demands)
		n.balancer.UpdatePeers(n.roster.Running(), vms)
		n.budget.SetVMs(len(members))
		deciders, isMost := n.roster.DutyCandidates(members)
		n.setDuties(&duties{deciders, isMost, partHeard(members)})
		n.settleMoves(ctx, deciders)
		n.reportGauges(members)
	}
}

// duties is how duties for all VMs are divided, as this VM sees it.
type duties struct {
	deciders []roster.Member
	isMost   bool
	// part is the part of the known VMs that were heard lately.
	part float64
}

// names lists the deciders.
func (d *duties) names() (names []string) {
	if d == nil {
		return nil
	}
	for _, member := range d.deciders {
		names = append(names, member.ID.Name)
	}
	return names
}

// setDuties takes a new division over and logs it if it differs.
func (n *Node) setDuties(newest *duties) {
	last := n.duties.Swap(newest)
	if last != nil && last.isMost == newest.isMost && slices.Equal(last.names(), newest.names()) {
		return
	}
	n.Log.WithFields(logrus.Fields{"deciders": strings.Join(newest.names(), " "), "hears_most": newest.isMost, "part_heard": newest.part, "registered": n.known.countVMs()}).
		Info("duties are divided anew")
}

func partHeard(members []roster.Member) float64 {
	heard, known := 0, 0
	for _, member := range members {
		if member.Reachable {
			heard++
		}
		if member.Known {
			known++
		}
	}
	return float64(heard) / float64(max(known, 1))
}

// owner returns the VM that owns a workspace's quota: the one of the deciders with
// the highest hash.
func (n *Node) owner(workspace string) (owner vm.VM, known bool) {
	d := n.duties.Load()
	if d == nil || !d.isMost {
		return vm.VM{}, false
	}
	var highest uint64
	for i := range d.deciders {
		if score := hashing.Strings(workspace, d.deciders[i].ID.Name); !known || score > highest {
			owner, known, highest = d.deciders[i].VM, true, score
		}
	}
	return owner, known
}

// settleTime is how long VMs that start together take to agree on the owners of
// quotas.
const settleTime = 4 * clock.Second

// assembleTime is for how long a VM of a large fleet that starts again takes it that
// all do, as after a loss of power: they become ready and reach the store one after
// the other, and the owners of quotas change each time.
const assembleTime = 6 * clock.Second

func (n *Node) isAssembling() bool {
	return !n.Settings.FirstStart && n.clock.Now()-n.startedAt < assembleTime && n.roster.HasFollowers()
}

// fillBursts gives the workspaces that this VM owns their whole bursts, once the VMs
// of a system that starts for the first time know each other. An owner that comes
// later begins with a part, as the one before may have given the rest.
func (n *Node) fillBursts(ctx context.Context) {
	if !n.Settings.FirstStart || clock.Sleep(ctx, settleTime) != nil {
		return
	}
	table := n.gateway.Table()
	if table == nil {
		return
	}
	for name, workspace := range table.Workspaces {
		if owner, known := n.owner(name); known && owner.Name == n.id.Name {
			n.admission.OwnedBuckets.FillBurst(workspace)
		}
	}
}

func (n *Node) part() float64 {
	if d := n.duties.Load(); d != nil {
		return d.part
	}
	return 0
}

func (n *Node) workspace(name string) *routing.Workspace {
	if table := n.gateway.Table(); table != nil {
		return table.Workspaces[name]
	}
	return nil
}

// othersReachStore says whether the store answers another VM.
func (n *Node) othersReachStore() bool {
	for _, member := range n.roster.Members() {
		if member.ID.Name != n.id.Name && member.Reachable && member.Contact {
			return true
		}
	}
	return false
}

// relays is the roster's, which is made after the feeds.
func (n *Node) relays() (others []vm.VM, isRelay bool) { return n.roster.Relays() }

func (n *Node) settleMoves(ctx context.Context, deciders []roster.Member) {
	verdicts := n.guard.PendingVerdicts()
	if len(verdicts) == 0 || !n.isWriter(deciders) {
		return
	}
	for _, verdict := range verdicts {
		if verdict.Move.StartedWall == 0 {
			verdict.Move.StartedWall = n.clock.Wall() - (n.clock.Now() - verdict.Move.FirstSeen)
		}
		evidence := verdict.Evidence
		fields := logrus.Fields{
			"service": verdict.Move.Service, "to": verdict.Move.TargetVersion, "state": verdict.State, "why": verdict.Why,
			"answers": evidence.EverAnswers, "bad": evidence.EverBad, "failed": evidence.EverFailed,
			"old_answers": evidence.OldAnswers, "old_bad": evidence.OldBad, "old_failed": evidence.OldFailed,
		}
		if err := n.Platform.WriteMove(ctx, verdict.Move, verdict.State); err != nil {
			n.Log.WithError(err).WithFields(fields).Warn("writing the state of a version move failed")
			continue
		}
		n.Log.WithFields(fields).Info("wrote the state of a version move")
	}
}

// isWriter says whether this VM writes outcomes down: the first by name of those
// that serve and reach the store. Two may do so at once for a moment, which the
// store's conditions make harmless.
func (n *Node) isWriter(deciders []roster.Member) bool {
	for _, member := range deciders {
		if member.Contact {
			return member.ID.Name == n.id.Name
		}
	}
	return false
}

// isFollowed is the roster's, which is made after the feeds.
func (n *Node) isFollowed() bool { return n.roster.HasFollowers() }
