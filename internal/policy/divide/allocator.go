// Package divide decides how the limits of the whole fleet are divided into
// shares of its entry VMs. The limits are those of package contract: rates of
// workspaces, slots of endpoints and bandwidth of links. For each VM, the
// Allocator tracks the most that the VM may hold. It raises a share only as far
// as the sum over all VMs, including those that are unreachable or removed,
// stays within the limit. The package does no I/O: its caller delivers the
// offers to the VMs and their reports to the Allocator.
//
// One VM at a time, the divider, holds a lease and runs an Allocator for the
// term of the lease. It works in rounds. In each round, Plan allocates resources
// anew where that is due and returns an offer for each VM. The offer contains
// grants, which set new shares, and asks for a report of what the VM holds. The
// report confirms the grants that the VM has applied. A VM that has reported in
// a term refuses offers of older terms.
//
// VMs lend each other slots without the divider. A slot stays counted for the VM
// whose share it belongs to until the borrower has returned it.
package divide

import (
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// Member is a VM on the platform's list.
type Member struct {
	vm.ID
	Location
}

// Allocator divides the limits during one lease term. Create it with New. It must
// not be used concurrently.
type Allocator struct {
	term  int64
	self  string
	clock clock.Clock
	// round is incremented by each Plan.
	round int64
	// names holds the names of the listed VMs, sorted.
	names     []string
	members   map[string]*memberState
	resources []contract.Resource
	states    map[contract.Resource]*resourceState
	removed   []*removedVM
	// removedCount counts the VMs that were removed from the list.
	removedCount int
	// hadHoldings is true if any VM held a share, or used slots, in its first
	// report of this term. If none did, the whole fleet has just started.
	hadHoldings bool
	// hadUncertainHoldings is the result of hasUncertainHoldings in the last Plan.
	hadUncertainHoldings bool
	// reallocated holds the resources that the last Plan allocated anew, sorted.
	reallocated []contract.Resource
	// membershipChanged is true if all resources must be allocated anew because of
	// a change of the listed or the reporting VMs.
	membershipChanged bool
}

// memberState holds what the allocator knows of a listed VM.
type memberState struct {
	id       vm.ID
	location Location
	// hasReported is true once the VM has reported in this term; from then on it
	// refuses offers of older terms. Until then its holdings are unknown.
	hasReported bool
	// reportedRound is the last round for which the VM has reported.
	reportedRound int64
	borrowed      []contract.Borrowed
	// offeredAt is when the last offer to the VM was planned; unansweredOffers
	// counts the offers since its last report.
	offeredAt        clock.Millis
	unansweredOffers int
	// isActive is true if the last report contained a change, the VM has
	// restarted or it asked for an offer.
	isActive bool
}

// resourceState holds the allocations of one resource.
type resourceState struct {
	total Total
	// allocatedTotal is the total of the last allocation, which happened at
	// allocatedAt.
	allocatedTotal Total
	isAllocated    bool
	allocatedAt    clock.Millis
	// isStable is true if planning the resource again would change nothing until
	// a report or a new limit arrives, or until the average demand has fallen
	// since reportedAt, the time of the last report.
	isStable   bool
	reportedAt clock.Millis
	// freeTokens are the tokens that VMs have surrendered and that were not granted
	// again. They never exceed the size that no VM may hold.
	freeTokens  int64
	allocations map[string]*vmAllocation
}

// vmAllocation is the allocation of a resource to one VM.
type vmAllocation struct {
	// initialShare is the share in the VM's first report of this term. Slots in use
	// above the share are not included: after the total was lowered they may exceed
	// it, so they prove nothing about what other VMs hold.
	initialShare contract.Share
	// maxHeld is the most that the VM may hold: the maximum of what it reported
	// when it confirmed the grant ackedSeq, and of all later grants.
	maxHeld contract.Share
	// desired is the share that the last allocation computed. granted is the share
	// in the last grant: it is lowered to desired at once, and raised as far as the
	// total allows.
	desired, granted contract.Share
	// seq is the sequence number of the last grant, ackedSeq that of the last grant
	// that the VM confirmed.
	seq, ackedSeq int64
	// tokensGranted and tokensSurrendered are the sums of the tokens sent to and
	// returned by the VM in this term.
	tokensGranted, tokensSurrendered int64
	// asked measures the demand of the VM's callers, and unmet the part of it
	// that the VM's share did not meet.
	asked rateMeter
	unmet rateMeter
	// inUse is the number of slots that the VM's requests used at its last
	// report, including borrowed ones.
	inUse int64
	// busy is the number of the VM's own slots that were in use or lent at its
	// last report.
	busy int64
}

// removedVM is a VM that was removed from the list or restarted. It is kept
// until every other VM listed at that time has reported which of the removed
// VM's slots it still borrows.
type removedVM struct {
	id vm.ID
	// round is the first round whose reports show what is still borrowed.
	round int64
	// awaited holds the VMs whose reports are awaited, with their incarnations.
	awaited map[string]vm.Incarnation
	// maxSlots is the most that the VM may have held of each endpoint's slots.
	maxSlots map[contract.Resource]int64
}

// New returns the allocator that the VM named self runs in a term. It knows no
// VMs and no limits yet.
func New(term int64, self string, clock clock.Clock) *Allocator {
	return &Allocator{
		term: term, self: self, clock: clock,
		members: map[string]*memberState{}, states: map[contract.Resource]*resourceState{},
	}
}

// Term returns the lease term.
func (a *Allocator) Term() int64 { return a.term }

// Reallocated returns the resources that the last Plan allocated anew, sorted.
func (a *Allocator) Reallocated() []contract.Resource { return a.reallocated }

// Unreported returns the listed VMs that have not reported in this term, sorted.
func (a *Allocator) Unreported() []string {
	var names []string
	for _, name := range a.names {
		if !a.members[name].hasReported {
			names = append(names, name)
		}
	}
	return names
}

// SetMembers sets the VMs on the platform's list. VMs that are no longer listed
// are removed. removedCount is the number of VMs that this VM has seen being
// removed from the list.
func (a *Allocator) SetMembers(members []Member, removedCount int) {
	a.removedCount = max(a.removedCount, removedCount)
	listed := map[string]bool{}
	for i := range members {
		member := &members[i]
		listed[member.Name] = true
		m := a.members[member.Name]
		if m == nil {
			m = &memberState{id: vm.ID{Name: member.Name}}
			a.members[member.Name] = m
			a.membershipChanged = true
		}
		m.location = member.Location
		if member.Incarnation > m.id.Incarnation {
			// A restarted VM holds nothing until it gets an offer.
			m.isActive = true
		}
	}
	for _, name := range a.names {
		if !listed[name] {
			a.removeVM(name)
			delete(a.members, name)
			a.removedCount++
		}
	}
	a.names = a.names[:0]
	for name := range a.members {
		a.names = append(a.names, name)
	}
	slices.Sort(a.names)
}

// removeVM frees the shares of a VM that was removed or restarted. Its slots stay
// counted as long as other VMs may borrow them.
func (a *Allocator) removeVM(name string) {
	removed := &removedVM{id: a.members[name].id, round: a.round + 1, awaited: map[string]vm.Incarnation{}, maxSlots: map[contract.Resource]int64{}}
	for resource, state := range a.states {
		if size := a.maxHeldBy(resource, state, name).Size; size > 0 && resource.Kind() == contract.KindSlots {
			removed.maxSlots[resource] = size
		}
	}
	for _, state := range a.states {
		delete(state.allocations, name)
	}
	for other, member := range a.members {
		if other != name {
			removed.awaited[other] = member.id.Incarnation
		}
	}
	if len(removed.maxSlots) > 0 && len(removed.awaited) > 0 {
		a.removed = append(a.removed, removed)
	}
	a.membershipChanged = true
}

// SetTotals sets the limits in force.
func (a *Allocator) SetTotals(totals map[contract.Resource]Total) {
	for resource, total := range totals {
		a.state(resource).setTotal(total)
	}
	for resource, state := range a.states {
		if _, inForce := totals[resource]; !inForce {
			state.setTotal(Total{Location: state.total.Location})
		}
	}
}

func (s *resourceState) setTotal(total Total) {
	s.isStable = s.isStable && total == s.total
	s.total = total
}

func (a *Allocator) state(resource contract.Resource) *resourceState {
	state := a.states[resource]
	if state == nil {
		state = &resourceState{allocations: map[string]*vmAllocation{}}
		a.states[resource] = state
		at, _ := slices.BinarySearch(a.resources, resource)
		a.resources = slices.Insert(a.resources, at, resource)
	}
	return state
}

func (s *resourceState) allocation(name string) *vmAllocation {
	allocation := s.allocations[name]
	if allocation == nil {
		allocation = &vmAllocation{}
		s.allocations[name] = allocation
	}
	return allocation
}

// ApplyReport applies a VM's report. It ignores reports of other terms and of older
// incarnations.
func (a *Allocator) ApplyReport(report *contract.Report) {
	member := a.members[report.VM.Name]
	if member == nil || report.Term != a.term || report.VM.Incarnation < member.id.Incarnation {
		return
	}
	if report.VM.Incarnation > member.id.Incarnation {
		if member.hasReported {
			a.removeVM(report.VM.Name)
		}
		*member = memberState{id: report.VM, location: member.location}
	}
	if !member.hasReported && !report.Full {
		return
	}
	for i := range report.Holdings {
		a.applyHolding(member, &report.Holdings[i])
	}
	if !member.hasReported {
		member.hasReported = true
		a.membershipChanged = true
	}
	if report.Round >= member.reportedRound {
		member.reportedRound = report.Round
		member.borrowed = report.Borrowed
		member.unansweredOffers = 0
		member.isActive = len(report.Holdings) > 0
	}
	a.confirmRemovals(report)
}

// applyHolding applies one resource's part of a VM's report.
func (a *Allocator) applyHolding(member *memberState, holding *contract.Holding) {
	state := a.state(holding.Resource)
	allocation := state.allocation(member.id.Name)
	now := a.clock.Now()
	state.isStable, state.reportedAt = false, now
	window := state.demandWindow(holding.Resource.Kind())
	allocation.asked.observe(now, holding.Asked, window)
	allocation.unmet.observe(now, holding.Unmet, window)
	allocation.inUse, allocation.busy = holding.InUse, holding.Busy
	if !member.hasReported {
		a.hadHoldings = a.hadHoldings || holding.MaxUsage() != contract.Share{}
		allocation.initialShare, allocation.maxHeld = holding.Share, holding.MaxUsage()
		allocation.granted = holding.Share
		allocation.desired = holding.Share
		return
	}
	if holding.Surrendered > allocation.tokensSurrendered {
		state.freeTokens += holding.Surrendered - allocation.tokensSurrendered
		allocation.tokensSurrendered = holding.Surrendered
	}
	if holding.Seq == allocation.seq && allocation.seq > 0 {
		allocation.ackedSeq = holding.Seq
		allocation.maxHeld = holding.MaxUsage().Max(allocation.granted)
	}
}

// confirmRemovals records that the VM has reported which slots of removed VMs it
// still borrows.
func (a *Allocator) confirmRemovals(report *contract.Report) {
	for _, removed := range a.removed {
		if report.Round >= removed.round {
			delete(removed.awaited, report.VM.Name)
		}
	}
	a.removed = slices.DeleteFunc(a.removed, func(r *removedVM) bool { return len(r.awaited) == 0 })
}

// stopAwaitingRemoved stops waiting for reports from VMs that were themselves
// removed or restarted.
func (a *Allocator) stopAwaitingRemoved() {
	for _, removed := range a.removed {
		for name, incarnation := range removed.awaited {
			member := a.members[name]
			if member == nil || member.id.Incarnation > incarnation && incarnation > 0 {
				delete(removed.awaited, name)
			}
		}
	}
	a.removed = slices.DeleteFunc(a.removed, func(r *removedVM) bool { return len(r.awaited) == 0 })
}
