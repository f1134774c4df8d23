// Package divider moves the VMs' shares of the fleet-wide limits to where the demand
// is. Every VM runs a Divider, which holds shares, admits requests for peers and
// lends slots: a slot is the right to one request in flight on an endpoint. The VM
// that holds the lease is the divider: it keeps the allocator and sends offers to the
// VMs in rounds. An offer grants new shares, and the reply to it is the VM's report.
// Every offer carries the term of the lease. A new incarnation of a VM is fenced
// first: it reads the newest term from its peers, so that it refuses offers of
// earlier holders of the lease. A borrower reports ended loans to the lender in a
// settlement.
package divider

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"baobabladder.example/baobabladder/internal/base/account"
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/wakeup"
	"baobabladder.example/baobabladder/internal/control/inflight"
	"baobabladder.example/baobabladder/internal/policy/divide"
	"baobabladder.example/baobabladder/internal/policy/limit"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// ReceiverName is the name under which Receiver is registered for net/rpc.
const ReceiverName = "Limits"

const (
	// minRoundInterval is the time between two rounds of offers in a fleet of up to
	// vmsPerInterval VMs.
	minRoundInterval = 250 * clock.Millis(1)
	// minPause is the least time between two rounds.
	minPause = 10 * clock.Millis(1)
	// vmsPerInterval is the number of VMs that the divider calls per
	// minRoundInterval. In a larger fleet the rounds are proportionally longer.
	vmsPerInterval = 100
	// wakeDelay is how long a VM with unmet demand waits for an offer, at least,
	// before it sends a Wake to the divider.
	wakeDelay = 300 * clock.Millis(1)
	// wakeTimeout bounds a Wake call.
	wakeTimeout = 500 * clock.Millis(1)
	// offerTimeout bounds an Offer call, whose reply is the VM's report.
	offerTimeout = 1 * clock.Second
	// settleTimeout bounds a Settle call.
	settleTimeout = 1 * clock.Second
	// minSettleInterval is the least time between two settlements.
	minSettleInterval = 5 * clock.Millis(1)
	// fenceTimeout bounds the Term calls of a new incarnation.
	fenceTimeout = 500 * clock.Millis(1)
	// fenceRetryDelay is the delay before a fence without enough replies, or of a VM
	// that is not listed yet, is tried again.
	fenceRetryDelay = 50 * clock.Millis(1)
	// noTerm is the term of a peer that did not reply.
	noTerm = -1
	// maxNamedResources bounds the resources named in one entry of the decision log.
	maxNamedResources = 5
)

// Lease reports whether this VM is the divider.
type Lease interface {
	// Term returns the lease's term and whether this VM holds the lease now.
	Term() (term int64, held bool)
}

// PeerCaller calls peers; see peer.Client.
type PeerCaller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Divider holds one VM's shares, and divides the limits while the VM holds the lease.
// All fields but Scope must be set before Run.
type Divider struct {
	Self    vm.ID
	Clock   clock.Clock
	Holder  *contract.Holder
	Limiter *limit.Limiter
	Lease   Lease
	Peers   PeerCaller
	// View returns the membership as this VM sees it, never nil.
	View func() *membership.View
	// Totals returns the limits of the documents in force; see divide.Totals.
	Totals    func() map[contract.Resource]divide.Total
	Decisions *account.DecisionLog
	Log       logrus.FieldLogger
	Scope     tally.Scope

	mu sync.Mutex
	// allocator is nil unless this VM is the divider. Guarded by mu.
	allocator *divide.Allocator
	// roundDue starts the next round early.
	roundDue wakeup.Signal

	// offering holds the VMs with an Offer call in flight, settling the lenders with a
	// Settle call, waking the divider with a Wake call.
	offering, settling, waking inflight.Set
}

// Run fences this VM against old terms, and then holds and divides limits until ctx
// ends.
func (d *Divider) Run(ctx context.Context) (err error) {
	defer fault.Annotate(&err, "dividing limits on %s", d.Self.Name)
	if err := d.fence(ctx); err != nil {
		return err
	}
	go d.settleLoop(ctx)
	for ctx.Err() == nil {
		d.settle(ctx)
		d.sendWake(ctx)
		d.round(ctx)
		d.pause(ctx)
	}
	return nil
}

// settleLoop settles loans with their lenders soon after slots are returned, many
// slots per call. A slot that was lent for a request of a few milliseconds must not
// stay counted as lent until the next round: the lenders would run out of slots and
// borrow in turn.
func (d *Divider) settleLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.Holder.LoansEnded():
		}
		d.settleLoans(ctx)
		if clock.Sleep(ctx, minSettleInterval) != nil {
			return
		}
	}
}

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

func (d *Divider) roundInterval() clock.Millis {
	intervals := (len(d.View().Members) + vmsPerInterval - 1) / vmsPerInterval
	return minRoundInterval * clock.Millis(max(1, intervals))
}

// fence reads the newest term known to the peers and refuses older terms from then
// on. It retries until as many peers have replied as divide.FenceQuorum requires.
func (d *Divider) fence(ctx context.Context) error {
	for {
		view := d.View()
		if view.Member(d.Self.Name) != nil {
			newest, replies := d.readTerms(ctx, view.Peers())
			if replies >= divide.FenceQuorum(len(view.Members)) {
				d.Holder.Fence(newest)
				return nil
			}
		}
		if err := clock.Sleep(ctx, fenceRetryDelay); err != nil {
			return err
		}
	}
}

// readTerms returns the newest term among the replies of the peers, and the number of
// peers that replied.
func (d *Divider) readTerms(ctx context.Context, peers []membership.Member) (newest int64, replies int) {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout.Duration())
	defer cancel()
	terms := make(chan int64, len(peers))
	for i := range peers {
		go func() {
			term := int64(noTerm)
			if d.Peers.Call(ctx, peers[i].PeerAddress, ReceiverName+".Term", &TermRequest{From: d.Self}, &term) != nil {
				term = noTerm
			}
			terms <- term
		}()
	}
	for range peers {
		term := <-terms
		if term == noTerm {
			continue
		}
		replies++
		newest = max(newest, term)
	}
	return newest, replies
}

// sendWake sends a Wake to the divider if requests here exceed this VM's shares and
// no offer has come for wakeDelay or a round, whichever is longer. Without a Wake the
// VM could wait long, because the divider rarely calls a VM that had nothing to
// report.
func (d *Divider) sendWake(ctx context.Context) {
	name := d.Holder.DividerToNotify(max(wakeDelay, d.roundInterval()))
	if name == "" || !d.waking.Begin(name) {
		return
	}
	go func() {
		defer d.waking.End(name)
		ctx, cancel := context.WithTimeout(ctx, wakeTimeout.Duration())
		defer cancel()
		d.count("limits_wakes", 1)
		if err := d.call(ctx, name, "Wake", &WakeRequest{From: d.Self}, &WakeReply{}); err != nil {
			d.Log.WithError(err).WithField("vm", name).Debug("sending a Wake to the divider failed; unmet demand waits for the next offer")
		}
	}()
}

// receiveWake makes the allocator include a VM with unmet demand in the next round
// and starts it, if this VM is the divider.
func (d *Divider) receiveWake(name string) {
	d.mu.Lock()
	isDivider := d.allocator != nil
	if isDivider {
		d.allocator.MarkActive(name)
	}
	d.mu.Unlock()
	if isDivider {
		d.roundDue.Notify()
	}
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
	members := make([]divide.Member, len(view.Members))
	for i := range view.Members {
		member := &view.Members[i]
		location := divide.Location{Region: member.Region, DataCentre: member.DataCentre}
		members[i] = divide.Member{ID: member.ID(), Location: location}
	}
	d.allocator.SetMembers(members, len(view.Removed))
	d.allocator.SetTotals(d.Totals())
	plan := d.allocator.Plan()
	d.reportMoves(d.allocator)
	return plan
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
	if len(vmOffer.Offer.Grants) == 0 {
		return
	}
	d.roundDue.Notify()
}

func (d *Divider) apply(report *contract.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.allocator != nil {
		d.allocator.ApplyReport(report)
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

// settle settles ended loans with their lenders and reclaims the slots lent to VMs
// that were removed from the platform's list or restarted.
func (d *Divider) settle(ctx context.Context) {
	view := d.View()
	for i := range view.Members {
		d.Holder.ReclaimLoans(view.Members[i].Name, view.Members[i].Incarnation)
	}
	for _, removed := range view.Removed {
		d.Holder.ReclaimLoans(removed.Name, removed.Incarnation+1)
		d.Holder.ForgetLender(removed.Name)
	}
	d.settleLoans(ctx)
}

func (d *Divider) settleLoans(ctx context.Context) {
	for lender, settlement := range d.Holder.UnconfirmedSettlements() {
		if d.settling.Begin(lender) {
			go d.settleWith(ctx, lender, settlement)
		}
	}
}

func (d *Divider) settleWith(ctx context.Context, lender string, settlement *contract.Settlement) {
	defer d.settling.End(lender)
	ctx, cancel := context.WithTimeout(ctx, settleTimeout.Duration())
	defer cancel()
	if err := d.call(ctx, lender, "Settle", settlement, &SettleReply{}); err != nil {
		d.count("limits_settlements_failed", 1)
		return
	}
	d.Holder.ConfirmSettlement(lender, settlement)
}

func (d *Divider) call(ctx context.Context, name, method string, args, reply any) error {
	return callMember(ctx, d.Peers, d.View(), name, method, args, reply)
}

func (d *Divider) count(name string, by int64) {
	if d.Scope != nil {
		d.Scope.Counter(name).Inc(by)
	}
}

func (d *Divider) gauge(name string, level float64) {
	if d.Scope != nil {
		d.Scope.Gauge(name).Update(level)
	}
}
