// Package divider moves the VMs' shares of the fleet's limits to where demand
// is. Every VM runs a Divider; the one that holds the lease keeps the ledger, and
// all of them hold shares, admit peers' requests and lend slots.
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
	"baobabladder.example/baobabladder/internal/policy/divide"
	"baobabladder.example/baobabladder/internal/policy/limit"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// ReceiverName is the name under which Receiver is registered with a peer.Server.
const ReceiverName = "Limits"

const (
	// roundInterval is the time between two rounds of offers in a small fleet.
	roundInterval = 250 * clock.Millis(1)
	// shortestPause is the shortest time between two rounds.
	shortestPause = 10 * clock.Millis(1)
	// smallFleet is how many VMs the divider asks in each roundInterval. In a
	// larger fleet the rounds are as much longer.
	smallFleet = 100
	// wakePatience is how long a VM with demand that its shares did not meet waits for
	// an offer before it tells the divider.
	wakePatience = 300 * clock.Millis(1)
	// wakeTimeout bounds that call.
	wakeTimeout = 500 * clock.Millis(1)
	// offerTimeout bounds one offer and its report.
	offerTimeout = 1 * clock.Second
	// settleTimeout bounds one settlement of loans.
	settleTimeout = 1 * clock.Second
	// settlePause is the shortest time between two settlements.
	settlePause = 5 * clock.Millis(1)
	// fenceTimeout bounds a new incarnation's question for the newest term.
	fenceTimeout = 500 * clock.Millis(1)
	// fenceRetry is the pause before a VM that is not listed yet looks again.
	fenceRetry = 50 * clock.Millis(1)
	// noTerm stands for a peer that did not answer.
	noTerm = -1
	// maxNamed bounds the resources that one account line names.
	maxNamed = 5
)

// Lease tells whether this VM is the divider.
type Lease interface {
	// Term returns the lease's term, and whether this VM holds it now.
	Term() (term int64, held bool)
}

// Caller calls peers; peer.Client is one.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Divider is one VM's part in holding and dividing limits. All fields but Scope
// must be set before Run.
type Divider struct {
	Self    vm.ID
	Clock   clock.Clock
	Holder  *contract.Holder
	Limiter *limit.Limiter
	Lease   Lease
	Caller  Caller
	// View returns the membership as this VM sees it, never nil.
	View func() *membership.View
	// Totals returns the limits of the documents in force. See divide.Totals.
	Totals  func() map[contract.Resource]divide.Total
	Account *account.DecisionLog
	Log     logrus.FieldLogger
	Scope   tally.Scope

	mu sync.Mutex
	// ledger is nil while another VM is the divider. Guarded by mu.
	ledger *divide.Allocator
	// busy holds the VMs whose report is awaited. Guarded by mu.
	busy map[string]bool
	// settling holds the lenders whose confirmation is awaited. Guarded by mu.
	settling map[string]bool
	// confirmed holds a value when a VM has confirmed grants since the last round.
	// It is made at first use. Guarded by mu; its value never changes after.
	confirmed chan struct{}
	// waking holds the divider whose answer to a Wake is awaited. Guarded by mu.
	waking map[string]bool
}

// Run fences the VM, and then holds and divides until ctx ends.
func (d *Divider) Run(ctx context.Context) (err error) {
	defer fault.Annotate(&err, "dividing limits on %s", d.Self.Name)
	if err := d.fence(ctx); err != nil {
		return err
	}
	go d.settleSoon(ctx)
	for ctx.Err() == nil {
		d.settle(ctx)
		d.wake(ctx)
		d.round(ctx)
		d.pause(ctx)
	}
	return nil
}

// settleSoon tells lenders of each slot given back, many with one call. A slot
// lent for a request of some milliseconds must not stay counted until the next
// round: lenders would run short and borrow in their turn.
func (d *Divider) settleSoon(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.Holder.LoansEnded():
		}
		d.settleLoans(ctx)
		if clock.Sleep(ctx, settlePause) != nil {
			return
		}
	}
}

// pause waits for the next round's time. A confirmed cut ends it early, because
// nobody has the use of a part on its way from one VM to another.
func (d *Divider) pause(ctx context.Context) {
	timer := time.NewTimer(d.interval().Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-d.confirmations():
		_ = clock.Sleep(ctx, shortestPause)
	}
}

// confirmations tells of confirmed grants.
func (d *Divider) confirmations() chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.confirmed == nil {
		d.confirmed = make(chan struct{}, 1)
	}
	return d.confirmed
}

func (d *Divider) interval() clock.Millis {
	fleets := (len(d.View().Members) + smallFleet - 1) / smallFleet
	return roundInterval * clock.Millis(max(1, fleets))
}

// fence learns the newest term that the peers know, and refuses older ones from
// then on. It waits for divide.FenceQuorum answers.
func (d *Divider) fence(ctx context.Context) error {
	for {
		view := d.View()
		if view.Member(d.Self.Name) != nil {
			newest, answers := d.askTerms(ctx, view.Peers())
			if answers >= divide.FenceQuorum(len(view.Members)) {
				d.Holder.Fence(newest)
				return nil
			}
		}
		if err := clock.Sleep(ctx, fenceRetry); err != nil {
			return err
		}
	}
}

// askTerms returns the newest term of those peers that answer, and their number.
func (d *Divider) askTerms(ctx context.Context, peers []membership.Member) (newest int64, answers int) {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout.Duration())
	defer cancel()
	terms := make(chan int64, len(peers))
	for i := range peers {
		go func() {
			term := int64(noTerm)
			if d.Caller.Call(ctx, peers[i].PeerAddress, ReceiverName+".Term", &TermRequest{From: d.Self}, &term) != nil {
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
		answers++
		newest = max(newest, term)
	}
	return newest, answers
}

// wake tells the divider if callers here want more than this VM's shares give and
// it does not ask: a VM that had nothing to report is asked rarely.
func (d *Divider) wake(ctx context.Context) {
	name := d.Holder.DividerToNotify(max(wakePatience, d.interval()))
	if name == "" || !d.begin(d.wakingLocked, name) {
		return
	}
	go func() {
		defer d.end(d.wakingLocked, name)
		ctx, cancel := context.WithTimeout(ctx, wakeTimeout.Duration())
		defer cancel()
		d.count("limits_wakes", 1)
		if err := d.call(ctx, name, "Wake", &WakeRequest{From: d.Self}, &WakeReply{}); err != nil {
			d.Log.WithError(err).WithField("vm", name).Debug("the divider was not told of unmet demand")
		}
	}()
}

// wakeUp ends the pause between two rounds for a VM that has unmet demand.
func (d *Divider) wakeUp(name string) {
	d.mu.Lock()
	known := d.ledger != nil
	if known {
		d.ledger.MarkActive(name)
	}
	d.mu.Unlock()
	if known {
		d.endPause()
	}
}

// endPause lets the next round begin now.
func (d *Divider) endPause() {
	select {
	case d.confirmations() <- struct{}{}:
	default:
	}
}

// round sends one round of offers if this VM is the divider.
func (d *Divider) round(ctx context.Context) {
	for _, offers := range d.plan() {
		if d.begin(d.busyLocked, offers.VM.Name) {
			go d.send(ctx, offers)
		}
	}
}

func (d *Divider) plan() []divide.VMOffer {
	view := d.View()
	term, held := d.Lease.Term()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !held {
		d.ledger = nil
		return nil
	}
	if d.ledger == nil || d.ledger.Term() != term {
		d.ledger = divide.New(term, d.Self.Name, d.Clock)
		d.Account.Add(account.Decision{Term: term, What: "divider_started", Subject: d.Self.Name, Why: "holds the lease"})
	}
	members := make([]divide.Member, len(view.Members))
	for i := range view.Members {
		member := &view.Members[i]
		place := divide.Location{Region: member.Region, DataCentre: member.DataCentre}
		members[i] = divide.Member{ID: member.ID(), Location: place}
	}
	d.ledger.SetMembers(members, len(view.Removed))
	d.ledger.SetTotals(d.Totals())
	plan := d.ledger.Plan()
	d.tell(d.ledger)
	return plan
}

// tell accounts for what a plan changed.
func (d *Divider) tell(ledger *divide.Allocator) {
	d.gauge("limits_vms_unreported", float64(len(ledger.Unreported())))
	moved := ledger.Reallocated()
	if len(moved) == 0 {
		return
	}
	d.count("limits_moved", int64(len(moved)))
	named := make([]string, 0, maxNamed)
	for _, resource := range moved[:min(len(moved), maxNamed)] {
		named = append(named, string(resource))
	}
	why := fmt.Sprintf("demand, limits or the VMs changed: %d limits dealt anew", len(moved))
	d.Account.Add(account.Decision{Term: ledger.Term(), What: "limits_moved", Subject: strings.Join(named, " "), Why: why})
}

// send carries one offer to a VM and its report back.
func (d *Divider) send(ctx context.Context, offers divide.VMOffer) {
	defer d.end(d.busyLocked, offers.VM.Name)
	report, err := d.offer(ctx, offers)
	if err != nil {
		d.count("limits_offers_failed", 1)
		d.Log.WithError(err).WithField("vm", offers.VM.Name).Debug("an offer of shares failed")
		return
	}
	d.count("limits_offers", 1)
	d.apply(report)
	if len(offers.Offer.Grants) == 0 {
		return
	}
	d.endPause()
}

func (d *Divider) apply(report *contract.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ledger != nil {
		d.ledger.ApplyReport(report)
	}
}

func (d *Divider) offer(ctx context.Context, offers divide.VMOffer) (report *contract.Report, err error) {
	defer fault.Annotate(&err, "offering shares to %s", offers.VM.Name)
	if offers.VM.Name == d.Self.Name {
		return d.Holder.Accept(&offers.Offer)
	}
	ctx, cancel := context.WithTimeout(ctx, offerTimeout.Duration())
	defer cancel()
	report = &contract.Report{}
	err = d.call(ctx, offers.VM.Name, "Offer", &offers.Offer, report)
	return report, err
}

// settle tells lenders which loans are over, and takes back what borrowers that
// are gone had.
func (d *Divider) settle(ctx context.Context) {
	view := d.View()
	for i := range view.Members {
		d.Holder.ReclaimLoans(view.Members[i].Name, view.Members[i].Incarnation)
	}
	for _, gone := range view.Removed {
		d.Holder.ReclaimLoans(gone.Name, gone.Incarnation+1)
		d.Holder.ForgetLender(gone.Name)
	}
	d.settleLoans(ctx)
}

func (d *Divider) settleLoans(ctx context.Context) {
	for lender, settlement := range d.Holder.UnconfirmedSettlements() {
		if d.begin(d.settlingLocked, lender) {
			go d.settleWith(ctx, lender, settlement)
		}
	}
}

func (d *Divider) settleWith(ctx context.Context, lender string, settlement *contract.Settlement) {
	defer d.end(d.settlingLocked, lender)
	ctx, cancel := context.WithTimeout(ctx, settleTimeout.Duration())
	defer cancel()
	if err := d.call(ctx, lender, "Settle", settlement, &SettleReply{}); err != nil {
		d.count("limits_settlements_failed", 1)
		return
	}
	d.Holder.ConfirmSettlement(lender, settlement)
}

func (d *Divider) call(ctx context.Context, name, method string, args, reply any) error {
	member := d.View().Member(name)
	if member == nil {
		return ErrNotListed.New("%s is not listed", name)
	}
	return d.Caller.Call(ctx, member.PeerAddress, ReceiverName+"."+method, args, reply)
}

func (d *Divider) busyLocked() map[string]bool {
	if d.busy == nil {
		d.busy = map[string]bool{}
	}
	return d.busy
}

func (d *Divider) settlingLocked() map[string]bool {
	if d.settling == nil {
		d.settling = map[string]bool{}
	}
	return d.settling
}

func (d *Divider) wakingLocked() map[string]bool {
	if d.waking == nil {
		d.waking = map[string]bool{}
	}
	return d.waking
}

// begin marks name in a set, unless it is there already.
func (d *Divider) begin(set func() map[string]bool, name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if set()[name] {
		return false
	}
	set()[name] = true
	return true
}

func (d *Divider) end(set func() map[string]bool, name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(set(), name)
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
