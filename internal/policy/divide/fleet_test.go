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

// roundTrip is the longest between two regions of the users.
const roundTrip = 35 * clock.Millis(1)

var errUnreachable = errors.New("unreachable")

// node is one VM of the fake fleet. A restart replaces its holder.
type node struct {
	name    string
	place   divide.Location
	holder  *contract.Holder
	limiter *limit.Limiter
	// ledger is set while the VM takes itself for the divider.
	ledger             *divide.Allocator
	alive, frozen, cut bool
	isFenced           bool
	// list is the platform's list as the VM knows it, with the incarnations it
	// has heard of, and gone counts what it saw dropped.
	list   map[string]vm.Incarnation
	gone   int
	totals map[contract.Resource]divide.Total
	// running holds the VM's requests at endpoints.
	running []running
	// awaited holds the loans whose reply has not come, without their resource.
	awaited map[running]bool
}

type running struct {
	resource contract.Resource
	// lender is empty for an own slot.
	lender string
	loan   int64
}

// message is on its way to one incarnation of a VM, or to any if incarnation is 0.
type message struct {
	to          string
	incarnation vm.Incarnation
	deliver     func(to *node)
}

// fleet is a set of VMs with a network that the test moves by hand.
type fleet struct {
	// clock reads manual, or the machine's clock in a synctest bubble.
	clock  clock.Clock
	manual clock.Manual
	// maxWait and roundTrip are 0 under the manual clock, where nobody can wait.
	maxWait   clock.Millis
	roundTrip clock.Millis

	// mu is for tests in which requests run by themselves.
	mu       sync.Mutex
	nodes    []*node
	listed   map[string]bool
	totals   map[contract.Resource]divide.Total
	term     int64
	started  vm.Incarnation
	messages []message
	oracle   *oracle
	// random decides whether a remote take is lost; lossy is in percent.
	random *rand.Rand
	lossy  int
	err    error
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
		place := divide.Location{Region: fmt.Sprintf("r%d", i%3), DataCentre: fmt.Sprintf("r%d-%d", i%3, i/3%2)}
		f.nodes = append(f.nodes, &node{name: fmt.Sprintf("vm%04d", i), place: place})
	}
	for _, n := range f.nodes {
		f.listed[n.name] = true
	}
	for _, n := range f.nodes {
		f.start(n)
	}
}

func (f *fleet) node(name string) *node {
	for _, n := range f.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (n *node) acts() bool    { return n.alive && !n.frozen }
func (n *node) reaches() bool { return n.acts() && !n.cut }

func (f *fleet) start(n *node) {
	f.started++
	holder := &contract.Holder{Self: vm.ID{Name: n.name, Incarnation: f.started}, Clock: f.clock}
	*n = node{name: n.name, place: n.place, holder: holder, alive: true, cut: n.cut, totals: f.totals, list: map[string]vm.Incarnation{}, awaited: map[running]bool{}}
	n.limiter = &limit.Limiter{Holder: holder, Clock: f.clock, MaxWait: f.maxWait, Peers: &peers{fleet: f, self: n}}
	f.listed[n.name] = true
	f.sync(n)
}

func (f *fleet) kill(n *node) {
	for len(n.running) > 0 {
		f.note(f.oracle.run(n.running[0].resource, -1))
		n.running = n.running[1:]
	}
	n.alive, n.frozen, n.ledger = false, false, nil
}

// sync brings a VM's list and documents up to date.
func (f *fleet) sync(n *node) {
	n.totals = f.totals
	for name, incarnation := range n.list {
		if !f.listed[name] {
			n.gone++
			n.holder.ReclaimLoans(name, incarnation+1)
			n.holder.ForgetLender(name)
			delete(n.list, name)
		}
	}
	for name := range f.listed {
		other := f.node(name)
		if other.reaches() && n.reaches() || other == n {
			n.list[name] = other.holder.Self.Incarnation
			n.holder.ReclaimLoans(name, n.list[name])
		} else if _, known := n.list[name]; !known {
			n.list[name] = 0
		}
	}
}

// fence asks the peers for the newest term, as a starting VM does.
func (f *fleet) fence(n *node) {
	answers, newest := 0, int64(0)
	for name := range n.list {
		if other := f.node(name); other != n && other.reaches() && n.reaches() {
			answers++
			newest = max(newest, other.holder.Term())
		}
	}
	if answers >= divide.FenceQuorum(len(n.list)) {
		n.holder.Fence(newest)
		n.isFenced = true
	}
}

// lead makes a VM the divider of the next term. Earlier ones are not told.
func (f *fleet) lead(n *node) {
	f.term++
	n.ledger = divide.New(f.term, n.name, f.clock)
}

func (f *fleet) plan(n *node) {
	var members []divide.Member
	for name, incarnation := range n.list {
		members = append(members, divide.Member{ID: vm.ID{Name: name, Incarnation: incarnation}, Location: f.node(name).place})
	}
	n.ledger.SetMembers(members, n.gone)
	n.ledger.SetTotals(n.totals)
	ledger, from := n.ledger, n.holder.Self
	for _, offers := range n.ledger.Plan() {
		offer := offers.Offer
		f.post(offers.VM.Name, 0, func(to *node) {
			report, err := to.holder.Accept(&offer)
			if err == nil {
				f.post(from.Name, from.Incarnation, func(*node) { ledger.ApplyReport(report) })
			}
		})
	}
}

func (f *fleet) post(to string, incarnation vm.Incarnation, deliver func(to *node)) {
	f.messages = append(f.messages, message{to: to, incarnation: incarnation, deliver: deliver})
}

// deliver hands over the message at index; keep leaves a copy to come again.
func (f *fleet) deliver(index int, keep bool) {
	carried := f.messages[index]
	to := f.node(carried.to)
	if to.frozen {
		return
	}
	if !keep {
		f.messages = slices.Delete(f.messages, index, index+1)
	}
	if to.reaches() && (carried.incarnation == 0 || carried.incarnation == to.holder.Self.Incarnation) {
		carried.deliver(to)
	}
}

// deliverAll hands over all messages in order, and those that they cause.
func (f *fleet) deliverAll() {
	for i := 0; i < len(f.messages); {
		before := len(f.messages)
		f.deliver(i, false)
		if len(f.messages) == before && f.node(f.messages[i].to).frozen {
			i++
		}
	}
}

// wake tells the divider of demand that a VM's shares did not meet.
func (f *fleet) wake(n *node) {
	from := n.name
	if divider := n.holder.DividerToNotify(300); divider != "" {
		f.post(divider, 0, func(to *node) {
			if to.ledger != nil {
				to.ledger.MarkActive(from)
			}
		})
	}
}

// tick is a quarter of a second of a fleet whose network works.
func (f *fleet) tick() {
	for _, n := range f.nodes {
		if n.acts() {
			f.sync(n)
			if !n.isFenced {
				f.fence(n)
			}
			f.settle(n)
			f.wake(n)
		}
	}
	for range 2 {
		for _, n := range f.nodes {
			if n.acts() && n.ledger != nil {
				f.plan(n)
			}
		}
		f.deliverAll()
	}
}

// pass lets time go by.
func (f *fleet) pass(d clock.Millis) {
	if f.maxWait == 0 {
		f.manual.Advance(d)
		return
	}
	time.Sleep(d.Duration())
}

// rest heals everything and lets the shares settle.
func (f *fleet) rest() {
	for _, n := range f.nodes {
		n.frozen, n.cut, n.ledger = false, false, nil
		if !n.alive {
			f.start(n)
		}
	}
	f.messages = nil
	f.lead(f.nodes[0])
	for range 12 {
		f.tick()
		f.pass(250)
	}
	f.oracle.rest(f.totals)
}

func (f *fleet) note(err error) { f.err = errors.Join(f.err, err) }

func (f *fleet) admit(n *node, service, workspace string) bool {
	if n.limiter.Admit(context.Background(), service, workspace) != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.note(f.oracle.admit(f.clock.Now(), contract.RateResource(service, workspace), contract.TokensPerRequest))
	return true
}

// rush lets every VM use all that its own shares give, after a time in which
// buckets fill.
func (f *fleet) rush(after clock.Millis) {
	f.manual.Advance(after)
	for _, n := range f.nodes {
		if !n.acts() {
			continue
		}
		for resource := range f.totals {
			f.useUp(n, resource)
		}
	}
}

// lean lets callers ask so much of one VM that shares move to it.
func (f *fleet) lean(n *node) {
	for resource, total := range f.totals {
		f.useUp(n, resource)
		n.holder.Allocation(resource).AddUnmet(10 * total.Size)
	}
	f.manual.Advance(2 * clock.Second)
}

func (f *fleet) useUp(n *node, resource contract.Resource) {
	part := n.holder.Allocation(resource)
	switch resource.Kind() {
	case contract.KindSlots:
		for f.take(n, resource) {
		}
	case contract.KindLink:
		if bytes := part.AvailableTokens(); bytes > 0 {
			f.send(n, resource, bytes)
		}
	case contract.KindRate:
		for part.Take(contract.TokensPerRequest) {
			f.note(f.oracle.admit(f.clock.Now(), resource, contract.TokensPerRequest))
		}
	}
}

func (f *fleet) endAll() {
	for _, n := range f.nodes {
		for n.acts() && len(n.running) > 0 {
			f.end(n, 0)
		}
	}
}

func (f *fleet) send(n *node, link contract.Resource, bytes int64) {
	if (limit.LinkLimiter{Holder: n.holder}).Take(link, bytes) {
		f.note(f.oracle.admit(f.clock.Now(), link, bytes))
	}
}

// sendFar sends what the VM's own share and its peers' give.
func (f *fleet) sendFar(n *node, link contract.Resource, most int64) {
	if bytes := n.limiter.TakeBytes(context.Background(), link, most); bytes > 0 {
		f.note(f.oracle.admit(f.clock.Now(), link, bytes))
	}
}

func (f *fleet) take(n *node, endpoint contract.Resource) bool {
	if !n.holder.Allocation(endpoint).TakeSlot() {
		return false
	}
	f.begin(n, running{resource: endpoint})
	return true
}

func (f *fleet) begin(n *node, r running) {
	n.running = append(n.running, r)
	f.note(f.oracle.run(r.resource, 1))
}

func (f *fleet) end(n *node, index int) {
	ended := n.running[index]
	n.running = slices.Delete(n.running, index, index+1)
	f.note(f.oracle.run(ended.resource, -1))
	if ended.lender == "" {
		n.holder.Allocation(ended.resource).ReleaseSlot()
		return
	}
	n.holder.EndLoan(ended.lender, ended.loan)
}

// borrow sends a loan request whose reply may come much later, after the
// borrower gave up, or never.
func (f *fleet) borrow(n, lender *node, endpoint contract.Resource, giveUp bool) {
	request := n.holder.RequestLoan(vm.ID{Name: lender.name, Incarnation: n.list[lender.name]}, []contract.Resource{endpoint})
	from := n.holder.Self
	f.post(lender.name, 0, func(to *node) {
		reply := to.holder.Lend(request, to.list[from.Name])
		if giveUp {
			return
		}
		f.post(from.Name, from.Incarnation, func(n *node) { f.lent(n, lender.name, request.Loan, reply) })
	})
	if giveUp {
		n.holder.EndLoan(lender.name, request.Loan)
		return
	}
	n.awaited[running{lender: lender.name, loan: request.Loan}] = true
}

// lent takes over a loan's reply, if it is still awaited: a call has one reply.
func (f *fleet) lent(n *node, lender string, loan int64, reply contract.LoanReply) {
	awaited := running{lender: lender, loan: loan}
	if !n.awaited[awaited] {
		return
	}
	delete(n.awaited, awaited)
	if n.holder.AcceptLoanReply(lender, loan, &reply) {
		f.begin(n, running{resource: reply.Resource, lender: lender, loan: loan})
	}
}

func (f *fleet) settle(n *node) {
	for lender, settlement := range n.holder.UnconfirmedSettlements() {
		from := n.holder.Self
		f.post(lender, 0, func(to *node) {
			to.holder.Settle(settlement)
			f.post(from.Name, from.Incarnation, func(n *node) { n.holder.ConfirmSettlement(lender, settlement) })
		})
	}
}

// peers carries remote takes at once, and loses some replies.
type peers struct {
	fleet *fleet
	self  *node
}

func (p *peers) Near() []string {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	var names []string
	for name := range p.self.list {
		if name != p.self.name {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (p *peers) NearLink(resource contract.Resource) []string {
	if resource != link {
		return nil
	}
	return slices.DeleteFunc(p.Near(), func(name string) bool { return p.fleet.node(name).place.Region == "r2" })
}

func (p *peers) Take(_ context.Context, peer string, request limit.TakeRequest) (limit.TakeReply, error) {
	if p.fleet.roundTrip > 0 {
		time.Sleep(p.fleet.roundTrip.Duration())
	}
	p.fleet.mu.Lock()
	other := p.fleet.node(peer)
	reaches, limiter := other.reaches() && p.self.reaches(), other.limiter
	p.fleet.mu.Unlock()
	if !reaches {
		return limit.TakeReply{}, errUnreachable
	}
	reply := limiter.Serve(request)
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.fleet.random.IntN(100) < p.fleet.lossy {
		return limit.TakeReply{}, errUnreachable
	}
	return reply, nil
}
