package divider

import (
	"context"
	"fmt"
	"strings"
	"time"

	"baobabladder.example/baobabladder/internal/base/account"
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/policy/divide"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/membership"
)

const (
	// minRoundInterval is the time between two rounds of offers in a fleet of up to
	// vmsPerInterval VMs.
	minRoundInterval = 250 * clock.Millis(1)
	// minPause is the least time between two rounds.
	minPause = 10 * clock.Millis(1)
	// vmsPerInterval is the number of VMs that the divider calls per
	// minRoundInterval. In a larger fleet the rounds are proportionally longer.
	vmsPerInterval = 100
	// offerTimeout bounds an Offer call, whose reply is the VM's report.
	offerTimeout = 1 * clock.Second
	// maxNamedResources bounds the resources named in one entry of the decision log.
	maxNamedResources = 5
)

// pause waits until the next round is due. A Wake or a confirmed offer with grants ends
// it early: after a share was reduced, no VM can use the capacity until the next offer
// grants it to another VM.
func (d *Divider) pause(ctx context.Context) {
	timer := time.NewTimer(d.roundInterval().Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-d.roundDue.C():
		_ = clock.Sleep(ctx, minPause)
	}
}

// roundInterval returns the time between two rounds, by the size of the fleet.
func (d *Divider) roundInterval() clock.Millis {
	intervals := (len(d.View().Members) + vmsPerInterval - 1) / vmsPerInterval
	return minRoundInterval * clock.Millis(max(1, intervals))
}

// round sends offers to all VMs of the plan, if this VM is the divider, except those
// with an Offer call in flight.
func (d *Divider) round(ctx context.Context) {
	for _, vmOffer := range d.plan() {
		if d.offering.Begin(vmOffer.VM.Name) {
			go d.send(ctx, vmOffer)
		}
	}
}

// plan returns the offers of the next round, or nil if this VM is not the divider.
func (d *Divider) plan() []divide.VMOffer {
	view := d.View()
	term, held := d.Lease.Term()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !held {
		d.allocator = nil
		return nil
	}
	if d.allocator == nil || d.allocator.Term() != term {
		d.allocator = divide.New(term, d.Self.Name, d.Clock)
		d.Decisions.Add(account.Decision{Term: term, What: "divider_started", Subject: d.Self.Name, Why: "holds the lease"})
	}
	d.allocator.SetMembers(locatedMembers(view), len(view.Removed))
	d.allocator.SetTotals(d.Totals())
	plan := d.allocator.Plan()
	d.reportMoves(d.allocator)
	return plan
}

// locatedMembers returns the members of view as the allocator takes them.
func locatedMembers(view *membership.View) []divide.Member {
	members := make([]divide.Member, len(view.Members))
	for i := range view.Members {
		member := &view.Members[i]
		location := divide.Location{Region: member.Region, DataCentre: member.DataCentre}
		members[i] = divide.Member{ID: member.ID(), Location: location}
	}
	return members
}

// reportMoves records the reallocated limits of a plan in metrics and the decision
// log.
func (d *Divider) reportMoves(allocator *divide.Allocator) {
	d.gauge("limits_vms_unreported", float64(len(allocator.Unreported())))
	resources := allocator.Reallocated()
	if len(resources) == 0 {
		return
	}
	d.count("limits_moved", int64(len(resources)))
	named := make([]string, 0, maxNamedResources)
	for _, resource := range resources[:min(len(resources), maxNamedResources)] {
		named = append(named, string(resource))
	}
	why := fmt.Sprintf("demand, limits or the VMs changed: %d limits dealt anew", len(resources))
	d.Decisions.Add(account.Decision{Term: allocator.Term(), What: "limits_moved", Subject: strings.Join(named, " "), Why: why})
}

// send sends an offer to a VM and applies the VM's report to the allocator.
func (d *Divider) send(ctx context.Context, vmOffer divide.VMOffer) {
	defer d.offering.End(vmOffer.VM.Name)
	report, err := d.offer(ctx, vmOffer)
	if err != nil {
		d.count("limits_offers_failed", 1)
		d.Log.WithError(err).WithField("vm", vmOffer.VM.Name).Debug("offering shares to a VM failed; it is included in the next round")
		return
	}
	d.count("limits_offers", 1)
	d.apply(report)
	if len(vmOffer.Offer.Grants) > 0 {
		d.roundDue.Notify()
	}
}

func (d *Divider) offer(ctx context.Context, vmOffer divide.VMOffer) (report *contract.Report, err error) {
	defer fault.Annotate(&err, "offering shares to %s", vmOffer.VM.Name)
	if vmOffer.VM.Name == d.Self.Name {
		return d.Holder.Accept(&vmOffer.Offer)
	}
	ctx, cancel := context.WithTimeout(ctx, offerTimeout.Duration())
	defer cancel()
	report = &contract.Report{}
	err = d.call(ctx, vmOffer.VM.Name, "Offer", &vmOffer.Offer, report)
	return report, err
}

// apply passes a VM's report to the allocator, if this VM is still the divider.
func (d *Divider) apply(report *contract.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.allocator != nil {
		d.allocator.ApplyReport(report)
	}
}
