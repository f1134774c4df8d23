package divide_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/divide"
	"baobabladder.example/baobabladder/internal/policy/limit"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// roundTrip is the longest round-trip time between two regions of the users.
const roundTrip = 35 * clock.Millis(1)

var errUnreachable = errors.New("unreachable")

// testVM is one VM of the simulated fleet. A restart replaces its holder.
type testVM struct {
	name     string
	location divide.Location
	holder   *contract.Holder
	limiter  *limit.Limiter
	// allocator is set while the VM acts as the divider.
	allocator                   *divide.Allocator
	isAlive, isPaused, isCutOff bool
	// isFenced is true once the VM knows the newest term and may accept offers.
	isFenced bool
	// listed is the platform's list as the VM knows it, with the incarnations it
	// has learned; removedCount counts the removals that it has seen.
	listed       map[string]vm.Incarnation
	removedCount int
	totals       map[contract.Resource]divide.Total
	// inUse holds the slots in use by the VM's requests.
	inUse []slotUse
	// awaitedLoans holds the loans without a reply yet. Their resource is not set.
	awaitedLoans map[slotUse]bool
}

type slotUse struct {
	resource contract.Resource
	// lender is empty for one of the VM's own slots.
	lender string
	loan   int64
}

// message is in flight to one incarnation of a VM, or to any incarnation if that is
// 0.
type message struct {
	to          string
	incarnation vm.Incarnation
	deliver     func(to *testVM)
}

// fleet is a set of VMs with a simulated network whose messages the test delivers.
type fleet struct {
	// clock reads manual, or the system clock in a synctest bubble.
	clock  clock.Clock
	manual clock.Manual
	// maxWait and roundTrip are 0 with the manual clock, with which nothing can
	// wait.
	maxWait   clock.Millis
	roundTrip clock.Millis

	// mu guards the fleet in tests that run requests concurrently.
	mu              sync.Mutex
	vms             []*testVM
	listed          map[string]bool
	totals          map[contract.Resource]divide.Total
	term            int64
	lastIncarnation vm.Incarnation
	messages        []message
	oracle          *oracle
	// random decides whether the reply to a remote take is lost; lossPercent is the
	// probability.
	random      *rand.Rand
	lossPercent int
	err         error
}

func newFleet(size int, totals map[contract.Resource]divide.Total) *fleet {
	f := &fleet{}
	f.clock = f.manual.Clock()
	f.build(size, totals)
	return f
}

// newTimedFleet returns a fleet for a synctest bubble.
func newTimedFleet(size int, totals map[contract.Resource]divide.Total) *fleet {
	f := &fleet{maxWait: limit.DefaultMaxWait, roundTrip: roundTrip}
	f.build(size, totals)
	return f
}

func (f *fleet) build(size int, totals map[contract.Resource]divide.Total) {
	f.listed, f.totals, f.oracle, f.random = map[string]bool{}, totals, newOracle(totals), rand.New(rand.NewPCG(1, 2))
	for i := range size {
		location := divide.Location{Region: fmt.Sprintf("r%d", i%3), DataCentre: fmt.Sprintf("r%d-%d", i%3, i/3%2)}
		f.vms = append(f.vms, &testVM{name: fmt.Sprintf("vm%04d", i), location: location})
	}
	for _, v := range f.vms {
		f.listed[v.name] = true
	}
	for _, v := range f.vms {
		f.start(v)
	}
}

func (f *fleet) vm(name string) *testVM {
	for _, v := range f.vms {
		if v.name == name {
			return v
		}
	}
	return nil
}

func (v *testVM) isActive() bool    { return v.isAlive && !v.isPaused }
func (v *testVM) isReachable() bool { return v.isActive() && !v.isCutOff }

func (f *fleet) start(v *testVM) {
	f.lastIncarnation++
	holder := &contract.Holder{Self: vm.ID{Name: v.name, Incarnation: f.lastIncarnation}, Clock: f.clock}
	*v = testVM{name: v.name, location: v.location, holder: holder, isAlive: true, isCutOff: v.isCutOff, totals: f.totals, listed: map[string]vm.Incarnation{}, awaitedLoans: map[slotUse]bool{}}
	v.limiter = &limit.Limiter{Holder: holder, Clock: f.clock, MaxWait: f.maxWait, Peers: &testPeers{fleet: f, self: v}}
	f.listed[v.name] = true
	f.updateView(v)
}

func (f *fleet) kill(v *testVM) {
	for len(v.inUse) > 0 {
		f.recordError(f.oracle.run(v.inUse[0].resource, -1))
		v.inUse = v.inUse[1:]
	}
	v.isAlive, v.isPaused, v.allocator = false, false, nil
}

// updateView updates a VM's list and documents.
func (f *fleet) updateView(v *testVM) {
	v.totals = f.totals
	for name, incarnation := range v.listed {
		if !f.listed[name] {
			v.removedCount++
			v.holder.ReclaimLoans(name, incarnation+1)
			v.holder.ForgetLender(name)
			delete(v.listed, name)
		}
	}
	for name := range f.listed {
		other := f.vm(name)
		if other.isReachable() && v.isReachable() || other == v {
			v.listed[name] = other.holder.Self.Incarnation
			v.holder.ReclaimLoans(name, v.listed[name])
		} else if _, isKnown := v.listed[name]; !isKnown {
			v.listed[name] = 0
		}
	}
}

// fence asks the peers for the newest term, as a VM does when it starts.
func (f *fleet) fence(v *testVM) {
	answers, newest := 0, int64(0)
	for name := range v.listed {
		if other := f.vm(name); other != v && other.isReachable() && v.isReachable() {
			answers++
			newest = max(newest, other.holder.Term())
		}
	}
	if answers >= divide.FenceQuorum(len(v.listed)) {
		v.holder.Fence(newest)
		v.isFenced = true
	}
}

// startDivider makes a VM the divider of the next term. It does not notify
// dividers of earlier terms.
func (f *fleet) startDivider(v *testVM) {
	f.term++
	v.allocator = divide.New(f.term, v.name, f.clock)
}

func (f *fleet) sendOffers(v *testVM) {
	var members []divide.Member
	for name, incarnation := range v.listed {
		members = append(members, divide.Member{ID: vm.ID{Name: name, Incarnation: incarnation}, Location: f.vm(name).location})
	}
	v.allocator.SetMembers(members, v.removedCount)
	v.allocator.SetTotals(v.totals)
	allocator, from := v.allocator, v.holder.Self
	for _, vmOffer := range v.allocator.Plan() {
		offer := vmOffer.Offer
		f.enqueue(vmOffer.VM.Name, 0, func(to *testVM) {
			report, err := to.holder.Accept(&offer)
			if err == nil {
				f.enqueue(from.Name, from.Incarnation, func(*testVM) { allocator.ApplyReport(report) })
			}
		})
	}
}

func (f *fleet) enqueue(to string, incarnation vm.Incarnation, deliver func(to *testVM)) {
	f.messages = append(f.messages, message{to: to, incarnation: incarnation, deliver: deliver})
}

// deliver delivers the message at index. If keep is set, the message stays in the
// queue as a duplicate.
func (f *fleet) deliver(index int, keep bool) {
	carried := f.messages[index]
	to := f.vm(carried.to)
	if to.isPaused {
		return
	}
	if !keep {
		f.messages = slices.Delete(f.messages, index, index+1)
	}
	if to.isReachable() && (carried.incarnation == 0 || carried.incarnation == to.holder.Self.Incarnation) {
		carried.deliver(to)
	}
}

// deliverAll delivers all messages in order, including those sent as a result.
func (f *fleet) deliverAll() {
	for i := 0; i < len(f.messages); {
		before := len(f.messages)
		f.deliver(i, false)
		if len(f.messages) == before && f.vm(f.messages[i].to).isPaused {
			i++
		}
	}
}

// notifyDivider notifies the divider of demand that a VM's shares did not meet.
func (f *fleet) notifyDivider(v *testVM) {
	from := v.name
	if divider := v.holder.DividerToNotify(300); divider != "" {
		f.enqueue(divider, 0, func(to *testVM) {
			if to.allocator != nil {
				to.allocator.MarkActive(from)
			}
		})
	}
}

// tick simulates one quarter-second round of a fleet with a working network. It
// does not advance the clock.
func (f *fleet) tick() {
	for _, v := range f.vms {
		if v.isActive() {
			f.updateView(v)
			if !v.isFenced {
				f.fence(v)
			}
			f.settleLoans(v)
			f.notifyDivider(v)
		}
	}
	for range 2 {
		for _, v := range f.vms {
			if v.isActive() && v.allocator != nil {
				f.sendOffers(v)
			}
		}
		f.deliverAll()
	}
}

// advance advances the clock by d.
func (f *fleet) advance(d clock.Millis) {
	if f.maxWait == 0 {
		f.manual.Advance(d)
		return
	}
	time.Sleep(d.Duration())
}

// stabilize ends all failures and runs the fleet until the shares are stable.
func (f *fleet) stabilize() {
	for _, v := range f.vms {
		v.isPaused, v.isCutOff, v.allocator = false, false, nil
		if !v.isAlive {
			f.start(v)
		}
	}
	f.messages = nil
	f.startDivider(f.vms[0])
	for range 12 {
		f.tick()
		f.advance(250)
	}
	f.oracle.reset(f.totals)
}

func (f *fleet) recordError(err error) { f.err = errors.Join(f.err, err) }

func (f *fleet) admit(v *testVM, service, workspace string) bool {
	if v.limiter.Admit(context.Background(), service, workspace) != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordError(f.oracle.admit(f.clock.Now(), contract.RateResource(service, workspace), contract.TokensPerRequest))
	return true
}

// useAllShares makes every VM use up its own shares after a time in which the
// buckets fill.
func (f *fleet) useAllShares(after clock.Millis) {
	f.manual.Advance(after)
	for _, v := range f.vms {
		if !v.isActive() {
			continue
		}
		for resource := range f.totals {
			f.useShare(v, resource)
		}
	}
}

// concentrateDemand makes callers ask one VM for so much that shares move to it.
func (f *fleet) concentrateDemand(v *testVM) {
	for resource, total := range f.totals {
		f.useShare(v, resource)
		v.holder.Allocation(resource).AddUnmet(10 * total.Size)
	}
	f.manual.Advance(2 * clock.Second)
}

func (f *fleet) useShare(v *testVM, resource contract.Resource) {
	allocation := v.holder.Allocation(resource)
	switch resource.Kind() {
	case contract.KindSlots:
		for f.takeSlot(v, resource) {
		}
	case contract.KindLink:
		if bytes := allocation.AvailableTokens(); bytes > 0 {
			f.sendBytes(v, resource, bytes)
		}
	case contract.KindRate:
		for allocation.Take(contract.TokensPerRequest) {
			f.recordError(f.oracle.admit(f.clock.Now(), resource, contract.TokensPerRequest))
		}
	}
}

func (f *fleet) endAllRequests() {
	for _, v := range f.vms {
		for v.isActive() && len(v.inUse) > 0 {
			f.endRequest(v, 0)
		}
	}
}

func (f *fleet) sendBytes(v *testVM, link contract.Resource, bytes int64) {
	if (limit.LinkLimiter{Holder: v.holder}).Take(link, bytes) {
		f.recordError(f.oracle.admit(f.clock.Now(), link, bytes))
	}
}

// sendBytesWithPeers sends the bytes available in the VM's own share and in those
// of its peers.
func (f *fleet) sendBytesWithPeers(v *testVM, link contract.Resource, most int64) {
	if bytes := v.limiter.TakeBytes(context.Background(), link, most); bytes > 0 {
		f.recordError(f.oracle.admit(f.clock.Now(), link, bytes))
	}
}

func (f *fleet) takeSlot(v *testVM, endpoint contract.Resource) bool {
	if !v.holder.Allocation(endpoint).TakeSlot() {
		return false
	}
	f.beginRequest(v, slotUse{resource: endpoint})
	return true
}

func (f *fleet) beginRequest(v *testVM, r slotUse) {
	v.inUse = append(v.inUse, r)
	f.recordError(f.oracle.run(r.resource, 1))
}

func (f *fleet) endRequest(v *testVM, index int) {
	ended := v.inUse[index]
	v.inUse = slices.Delete(v.inUse, index, index+1)
	f.recordError(f.oracle.run(ended.resource, -1))
	if ended.lender == "" {
		v.holder.Allocation(ended.resource).ReleaseSlot()
		return
	}
	v.holder.EndLoan(ended.lender, ended.loan)
}

// borrow sends a loan request. The reply may come much later, after the borrower
// gave up, or never.
func (f *fleet) borrow(v, lender *testVM, endpoint contract.Resource, giveUp bool) {
	request := v.holder.RequestLoan(vm.ID{Name: lender.name, Incarnation: v.listed[lender.name]}, []contract.Resource{endpoint})
	from := v.holder.Self
	f.enqueue(lender.name, 0, func(to *testVM) {
		reply := to.holder.Lend(request, to.listed[from.Name])
		if giveUp {
			return
		}
		f.enqueue(from.Name, from.Incarnation, func(v *testVM) { f.receiveLoanReply(v, lender.name, request.Loan, reply) })
	})
	if giveUp {
		v.holder.EndLoan(lender.name, request.Loan)
		return
	}
	v.awaitedLoans[slotUse{lender: lender.name, loan: request.Loan}] = true
}

// receiveLoanReply handles the reply to a loan request if it is still awaited. Each
// request gets at most one reply.
func (f *fleet) receiveLoanReply(v *testVM, lender string, loan int64, reply contract.LoanReply) {
	awaited := slotUse{lender: lender, loan: loan}
	if !v.awaitedLoans[awaited] {
		return
	}
	delete(v.awaitedLoans, awaited)
	if v.holder.AcceptLoanReply(lender, loan, &reply) {
		f.beginRequest(v, slotUse{resource: reply.Resource, lender: lender, loan: loan})
	}
}

func (f *fleet) settleLoans(v *testVM) {
	for lender, settlement := range v.holder.UnconfirmedSettlements() {
		from := v.holder.Self
		f.enqueue(lender, 0, func(to *testVM) {
			to.holder.Settle(settlement)
			f.enqueue(from.Name, from.Incarnation, func(v *testVM) { v.holder.ConfirmSettlement(lender, settlement) })
		})
	}
}

// testPeers delivers remote takes immediately and loses some of the replies.
type testPeers struct {
	fleet *fleet
	self  *testVM
}

func (p *testPeers) NearestPeers() []string {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	var names []string
	for name := range p.self.listed {
		if name != p.self.name {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (p *testPeers) NearestPeersAtLink(resource contract.Resource) []string {
	if resource != link {
		return nil
	}
	return slices.DeleteFunc(p.NearestPeers(), func(name string) bool { return p.fleet.vm(name).location.Region == "r2" })
}

func (p *testPeers) Take(_ context.Context, peer string, request limit.TakeRequest) (limit.TakeReply, error) {
	if p.fleet.roundTrip > 0 {
		time.Sleep(p.fleet.roundTrip.Duration())
	}
	p.fleet.mu.Lock()
	other := p.fleet.vm(peer)
	isReachable, limiter := other.isReachable() && p.self.isReachable(), other.limiter
	p.fleet.mu.Unlock()
	if !isReachable {
		return limit.TakeReply{}, errUnreachable
	}
	reply := limiter.Serve(request)
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.fleet.random.IntN(100) < p.fleet.lossPercent {
		return limit.TakeReply{}, errUnreachable
	}
	return reply, nil
}
