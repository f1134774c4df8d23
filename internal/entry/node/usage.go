package node

import (
	"context"
	"slices"
	"sync/atomic"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/hashing"
	"baobabladder.example/baobabladder/internal/control/duty"
	"baobabladder.example/baobabladder/internal/control/roster"
	"baobabladder.example/baobabladder/internal/control/usage"
	policy "baobabladder.example/baobabladder/internal/policy/usage"
)

const (
	// usageDuty is the name of the duty of reporting usage.
	usageDuty = "usage"
	// maxContenders is the number of VMs that contend for the duty. Each one costs reads of the
	// duty's object while another VM holds it, and messages with the sums of all regions.
	maxContenders = 3
	// lastExchangeDivisor gives the time in which a stopping VM states its last counts, as a
	// fraction of shutdownMargin.
	lastExchangeDivisor = 3
)

// usageReports holds the components that count the requests which endpoints run, and report
// them.
type usageReports struct {
	ledger    *policy.Ledger
	collector *policy.Collector
	duty      *duty.Duty
	sender    *usage.Sender
	// isContender reports that this VM is one of those that contend for the duty.
	isContender atomic.Bool
	// stopSender ends the sender; senderStopped is closed when it has ended.
	stopSender    context.CancelFunc
	senderStopped chan struct{}
}

// buildUsage creates the components of usage reports, if the settings name a metering interface. Without
// one nothing is counted, stated or stored.
func (n *Node) buildUsage() {
	config := n.Settings.Usage
	if config.Address == "" {
		return
	}
	schedule := policy.Schedule{Length: config.Window, Due: config.Due}
	u := &usageReports{ledger: &policy.Ledger{Schedule: schedule}, senderStopped: make(chan struct{})}
	u.collector = &policy.Collector{Self: n.id, Region: n.self.Region, Ledger: u.ledger}
	u.duty = &duty.Duty{
		Name: usageDuty, Self: n.id, Store: dutyStore{n.Platform, n.store}, LeaseTime: config.LeaseTime,
		CanHold: func() bool { return u.isContender.Load() && !n.stopping.Load() }, Log: n.Log, Scope: n.metrics.Scope,
	}
	u.sender = &usage.Sender{
		Self: n.id.Name, Duty: u.duty, Client: n.Platform.Metering(config.Address), Collector: u.collector, Ledger: u.ledger,
		Schedule: schedule, CallsPerSecond: config.CallsPerSecond, Tolerance: config.Tolerance,
		FirstWindow: n.firstUsageWindow, FleetStart: n.fleetStartWindow, Log: n.Log, Scope: n.metrics.Scope,
	}
	n.usage, n.gateway.Usage, n.roster.Usage = u, u.ledger, u.collector
}

// startUsage contends for the duty and reports usage until ctx ends or the VM stops.
func (n *Node) startUsage(ctx context.Context) {
	u := n.usage
	if u == nil {
		return
	}
	var sending context.Context
	sending, u.stopSender = context.WithCancel(ctx)
	go u.duty.Run(ctx)
	go func() {
		defer close(u.senderStopped)
		u.sender.Run(sending)
	}()
}

// updateUsage passes the VMs of the fleet to the collector, and decides whether this VM
// contends for the duty.
func (n *Node) updateUsage(members, candidates []roster.Member) {
	u := n.usage
	if u == nil {
		return
	}
	list := make([]policy.Member, 0, len(members))
	for _, member := range members {
		list = append(list, policy.Member{ID: member.ID, Region: member.VM.Region, IsReachable: member.Reachable, IsAwaited: member.Reachable || member.Known && !member.Stopping})
	}
	u.collector.SetMembers(list)
	u.isContender.Store(slices.Contains(contenders(usageDuty, candidates), n.id.Name))
	u.collector.SetWants(u.isContender.Load() || u.sender.IsHeld())
}

// contenders returns the names of the VMs that contend for a duty: the first few in an order
// that all VMs compute alike, those with contact to the store before others.
func contenders(name string, candidates []roster.Member) (names []string) {
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(a, b roster.Member) int {
		if a.Contact != b.Contact {
			if a.Contact {
				return -1
			}
			return 1
		}
		ofA, ofB := hashing.Strings(name, a.ID.Name), hashing.Strings(name, b.ID.Name)
		switch {
		case ofA < ofB:
			return -1
		case ofA > ofB:
			return 1
		default:
			return 0
		}
	})
	for _, member := range ordered[:min(len(ordered), maxContenders)] {
		names = append(names, member.ID.Name)
	}
	return names
}

// firstUsageWindow returns the first window to report if none ever was. If the fleet was
// started before, the counts of windows up to this VM's start may be incomplete.
func (n *Node) firstUsageWindow() policy.Window {
	if !n.Settings.FirstStart {
		return n.usage.ledger.Schedule.WindowAt(clock.Millis(n.id.Incarnation)) + 1
	}
	return n.fleetStartWindow()
}

// fleetStartWindow returns the window in which the VM that has run longest started.
func (n *Node) fleetStartWindow() policy.Window {
	first := n.id.Incarnation
	for _, member := range n.roster.Members() {
		if member.Known && member.ID.Incarnation > 0 {
			first = min(first, member.ID.Incarnation)
		}
	}
	return n.usage.ledger.Schedule.WindowAt(clock.Millis(first))
}

// releaseUsage ends the reports and gives the duty up, so that another VM can go on at once.
func (n *Node) releaseUsage(ctx context.Context) {
	u := n.usage
	if u == nil {
		return
	}
	u.stopSender()
	<-u.senderStopped
	if err := u.duty.Release(ctx); err != nil {
		n.Log.WithError(err).Warn("releasing the duty of usage reports failed; another VM takes over when the lease ends")
	}
}

// finishUsage states this VM's last counts to its peers.
func (n *Node) finishUsage(ctx context.Context) {
	if n.usage == nil {
		return
	}
	n.usage.ledger.Finish()
	limit, cancel := context.WithTimeout(ctx, (shutdownMargin(n.Settings.Bounds.StopGrace) / lastExchangeDivisor).Duration())
	defer cancel()
	n.roster.ExchangeUsage(limit)
}
