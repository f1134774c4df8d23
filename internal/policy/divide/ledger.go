// Package divide decides how the limits of the whole fleet are divided among its
// entry VMs. Its Ledger counts for each VM the most that it may hold, and gives
// a part to one VM only when the others' count leaves room for it. It does no
// input or output: a driver carries its offers to the VMs and their reports back.
package divide

import (
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// Member is a listed VM.
type Member struct {
	vm.ID
	Location
}

// Allocator is the account of one term. Create it with New; it is not safe for use
// by several goroutines.
type Allocator struct {
	term  int64
	self  string
	clock clock.Clock
	// round grows with each Plan.
	round int64
	// names holds the listed VMs, sorted.
	names     []string
	holders   map[string]*holder
	resources []contract.Resource
	entries   map[contract.Resource]*entry
	ghosts    []*ghost
	// gone counts VMs that were dropped from the list.
	gone int
	// isWarm says that some VM held something when it was fenced. If none did, the
	// whole fleet has just started.
	isWarm bool
	// wasUnsure is what isUnsure was in the last Plan.
	wasUnsure bool
	// moved holds the resources that the last Plan dealt anew, sorted.
	moved []contract.Resource
	// membershipChanged says that the parts must be dealt anew.
	membershipChanged bool
}

// holder is a listed VM as the ledger knows it.
type holder struct {
	id    vm.ID
	place Location
	// reported says that the VM has reported in this term, and so refuses older
	// terms. Until then nobody knows what it holds.
	reported bool
	// answered is the last round that the VM answered.
	answered int64
	borrowed []contract.Borrowed
	// askedAt is when an offer to the VM was last planned, and unanswered counts the
	// offers since its last report.
	askedAt    clock.Millis
	unanswered int
	// active says that the last report had a change, or that the VM asked for a round.
	active bool
}

// entry is the account of one resource.
type entry struct {
	total Total
	// dealtFor is the total for which the parts were last dealt.
	dealtFor Total
	dealt    bool
	dealtAt  clock.Millis
	// settled says that planning the entry again would change nothing, unless a
	// report or the limits change it or reportedAt is long enough ago for demand
	// to have fallen.
	settled    bool
	reportedAt clock.Millis
	// pot holds tokens that VMs surrendered; at most what no VM is counted for.
	pot   int64
	parts map[string]*part
}

// part is one VM's part of a resource.
type part struct {
	// fenced is the share that the VM had when it first reported in this term. Slots
	// in use above it do not count: the total may have been lowered below what is in
	// use, so they say nothing of what other VMs do not hold.
	fenced contract.Share
	// counted is the most that the VM may hold: the maximum of what it reported
	// for acked and of every later grant.
	counted contract.Share
	// want is what dealing gave; target is the last grant, between it and counted.
	want, target contract.Share
	// seq is the last grant's number, acked the last that the VM confirmed.
	seq, acked int64
	// given and surrendered are the sums of tokens that went and came in the term.
	given, surrendered int64
	asked              meter
	unmet              meter
	inUse              int64
	// busy counts the slots of the VM in use or lent by its last report.
	busy int64
}

// ghost is a VM that is gone, until every VM that was listed then has said which
// of the ghost's slots it still borrows.
type ghost struct {
	id      vm.ID
	round   int64
	waiting map[string]vm.Incarnation
	counted map[contract.Resource]int64
}

// New returns the ledger that the VM called self keeps in a term. Nobody has
// reported in it yet.
func New(term int64, self string, clock clock.Clock) *Allocator {
	return &Allocator{
		term: term, self: self, clock: clock,
		holders: map[string]*holder{}, entries: map[contract.Resource]*entry{},
	}
}

// Term returns the ledger's term.
func (l *Allocator) Term() int64 { return l.term }

// Reallocated returns the resources that the last Plan dealt anew, sorted.
func (l *Allocator) Reallocated() []contract.Resource { return l.moved }

// Unreported returns the listed VMs that have not reported in this term, sorted.
func (l *Allocator) Unreported() []string {
	var names []string
	for _, name := range l.names {
		if !l.holders[name].reported {
			names = append(names, name)
		}
	}
	return names
}

// SetMembers takes over the platform's list. A VM that was listed and is not any
// more is gone. gone counts the VMs that the list dropped before this term.
func (l *Allocator) SetMembers(members []Member, gone int) {
	l.gone = max(l.gone, gone)
	listed := map[string]bool{}
	for i := range members {
		member := &members[i]
		listed[member.Name] = true
		known := l.holders[member.Name]
		if known == nil {
			known = &holder{id: vm.ID{Name: member.Name}}
			l.holders[member.Name] = known
			l.membershipChanged = true
		}
		known.place = member.Location
		if member.Incarnation > known.id.Incarnation {
			// A VM that was started anew holds nothing until it is asked.
			known.active = true
		}
	}
	for _, name := range l.names {
		if !listed[name] {
			l.bury(name)
			delete(l.holders, name)
			l.gone++
		}
	}
	l.names = l.names[:0]
	for name := range l.holders {
		l.names = append(l.names, name)
	}
	slices.Sort(l.names)
}

// bury frees what a VM that is gone held. Its slots stay counted while others
// may still borrow them.
func (l *Allocator) bury(name string) {
	left := &ghost{id: l.holders[name].id, round: l.round + 1, waiting: map[string]vm.Incarnation{}, counted: map[contract.Resource]int64{}}
	for resource, entry := range l.entries {
		if size := l.mostHeld(resource, entry, name).Size; size > 0 && resource.Kind() == contract.KindSlots {
			left.counted[resource] = size
		}
	}
	for _, entry := range l.entries {
		delete(entry.parts, name)
	}
	for other, holder := range l.holders {
		if other != name {
			left.waiting[other] = holder.id.Incarnation
		}
	}
	if len(left.counted) > 0 && len(left.waiting) > 0 {
		l.ghosts = append(l.ghosts, left)
	}
	l.membershipChanged = true
}

// mostHeld returns the most that one listed VM may hold of a resource.
func (l *Allocator) mostHeld(resource contract.Resource, entry *entry, name string) contract.Share {
	if !l.holders[name].reported {
		return l.unknown(resource, entry)
	}
	if part := entry.parts[name]; part != nil {
		return part.counted
	}
	return contract.Share{}
}

// SetTotals takes over the limits in force.
func (l *Allocator) SetTotals(totals map[contract.Resource]Total) {
	for resource, total := range totals {
		l.entry(resource).setTotal(total)
	}
	for resource, entry := range l.entries {
		if _, inForce := totals[resource]; !inForce {
			entry.setTotal(Total{Location: entry.total.Location})
		}
	}
}

func (e *entry) setTotal(total Total) {
	e.settled = e.settled && total == e.total
	e.total = total
}

func (l *Allocator) entry(resource contract.Resource) *entry {
	known := l.entries[resource]
	if known == nil {
		known = &entry{parts: map[string]*part{}}
		l.entries[resource] = known
		at, _ := slices.BinarySearch(l.resources, resource)
		l.resources = slices.Insert(l.resources, at, resource)
	}
	return known
}

func (e *entry) part(name string) *part {
	known := e.parts[name]
	if known == nil {
		known = &part{}
		e.parts[name] = known
	}
	return known
}

// ApplyReport takes over a VM's report.
func (l *Allocator) ApplyReport(report *contract.Report) {
	known := l.holders[report.VM.Name]
	if known == nil || report.Term != l.term || report.VM.Incarnation < known.id.Incarnation {
		return
	}
	if report.VM.Incarnation > known.id.Incarnation {
		if known.reported {
			l.bury(report.VM.Name)
		}
		*known = holder{id: report.VM, place: known.place}
	}
	if !known.reported && !report.Full {
		return
	}
	for i := range report.Holdings {
		l.applyHolding(known, &report.Holdings[i])
	}
	if !known.reported {
		known.reported = true
		l.membershipChanged = true
	}
	if report.Round >= known.answered {
		known.answered = report.Round
		known.borrowed = report.Borrowed
		known.unanswered = 0
		known.active = len(report.Holdings) > 0
	}
	l.settleGhosts(report)
}

func (l *Allocator) applyHolding(holder *holder, holding *contract.Holding) {
	entry := l.entry(holding.Resource)
	part := entry.part(holder.id.Name)
	now := l.clock.Now()
	entry.settled, entry.reportedAt = false, now
	window := entry.window(holding.Resource.Kind())
	part.asked.observe(now, holding.Asked, window)
	part.unmet.observe(now, holding.Unmet, window)
	part.inUse, part.busy = holding.InUse, holding.Busy
	if !holder.reported {
		l.isWarm = l.isWarm || holding.MaxUsage() != contract.Share{}
		part.fenced, part.counted = holding.Share, holding.MaxUsage()
		part.target = holding.Share
		part.want = holding.Share
		return
	}
	if holding.Surrendered > part.surrendered {
		entry.pot += holding.Surrendered - part.surrendered
		part.surrendered = holding.Surrendered
	}
	if holding.Seq == part.seq && part.seq > 0 {
		part.acked = holding.Seq
		part.counted = holding.MaxUsage().Max(part.target)
	}
}

func (l *Allocator) settleGhosts(report *contract.Report) {
	for _, ghost := range l.ghosts {
		if report.Round >= ghost.round {
			delete(ghost.waiting, report.VM.Name)
		}
	}
	l.ghosts = slices.DeleteFunc(l.ghosts, func(g *ghost) bool { return len(g.waiting) == 0 })
}

// dropGhostsOfUnlisted lets ghosts no longer wait for VMs that are gone too.
func (l *Allocator) dropGhostsOfUnlisted() {
	for _, ghost := range l.ghosts {
		for name, incarnation := range ghost.waiting {
			holder := l.holders[name]
			if holder == nil || holder.id.Incarnation > incarnation && incarnation > 0 {
				delete(ghost.waiting, name)
			}
		}
	}
	l.ghosts = slices.DeleteFunc(l.ghosts, func(g *ghost) bool { return len(g.waiting) == 0 })
}

const (
	// offersUntilFull is how many offers a VM may leave unanswered before it is asked
	// for a full report.
	offersUntilFull = 8
	// restInterval is the time between two offers to a VM whose reports bring nothing
	// new.
	restInterval = 2 * clock.Second
)

// VMOffer is what Plan asks the driver to send to one VM.
type VMOffer struct {
	VM    vm.ID
	Offer contract.Offer
}

// Plan moves shares and returns the offers to send, sorted by name: one for each
// listed VM but those that have had nothing to say of late. The offers repeat each
// grant that is not confirmed.
func (l *Allocator) Plan() []VMOffer {
	l.round++
	l.moved = nil
	l.dropGhostsOfUnlisted()
	everybody := l.membershipChanged || len(l.ghosts) > 0
	plan := make([]VMOffer, len(l.names))
	settling := make([]bool, len(l.names))
	for i, name := range l.names {
		holder := l.holders[name]
		plan[i] = VMOffer{VM: holder.id, Offer: contract.Offer{Term: l.term, From: l.self, Round: l.round, To: holder.id.Incarnation}}
		// A report that got lost may have had a change that the next ones do not.
		plan[i].Offer.Full = !holder.reported || holder.unanswered >= offersUntilFull
	}
	unsure := everybody || l.isUnsure()
	for _, resource := range l.resources {
		entry := l.entries[resource]
		if entry.settled && !unsure && !l.wasUnsure && !l.hasFallingDemand(resource, entry) {
			continue
		}
		l.planEntry(resource, entry)
		entry.settled = true
		for i, name := range l.names {
			part := entry.parts[name]
			if part == nil || !l.holders[name].reported {
				continue
			}
			if part.acked < part.seq {
				plan[i].Offer.Grants = append(plan[i].Offer.Grants, contract.Grant{Resource: resource, Seq: part.seq, Share: part.target, Tokens: part.given})
			}
			isMoving := part.acked < part.seq || part.counted != part.target
			settling[i] = settling[i] || isMoving
			entry.settled = entry.settled && !isMoving && part.target == part.want
		}
	}
	l.membershipChanged, l.wasUnsure = false, unsure
	due := plan[:0]
	for i, name := range l.names {
		if everybody || settling[i] || l.holders[name].isDue(l.clock.Now()) {
			l.holders[name].askedAt = l.clock.Now()
			l.holders[name].unanswered++
			due = append(due, plan[i])
		}
	}
	return due
}

// isUnsure reports whether the ledger waits for VMs to say what they hold or
// borrow, which may move any resource.
func (l *Allocator) isUnsure() bool {
	for _, holder := range l.holders {
		if !holder.reported || len(holder.borrowed) > 0 {
			return true
		}
	}
	return false
}

// hasFallingDemand reports whether the averages of demand may still fall, and
// with them the parts of a rate or a link.
func (l *Allocator) hasFallingDemand(resource contract.Resource, entry *entry) bool {
	return resource.Kind() != contract.KindSlots && l.clock.Now()-entry.reportedAt <= maxWindow+silenceAllowed+dealInterval
}

// isDue reports whether the VM is to be asked for a report, by what it said last.
func (h *holder) isDue(now clock.Millis) bool {
	return !h.reported || h.unanswered > 0 || h.active || len(h.borrowed) > 0 || now-h.askedAt >= restInterval
}

// MarkActive lets the next Plan ask a VM that has demand which its share did not meet.
func (l *Allocator) MarkActive(name string) {
	if known := l.holders[name]; known != nil {
		known.active = true
	}
}

func (l *Allocator) planEntry(resource contract.Resource, entry *entry) {
	if l.isDealDue(resource, entry) {
		l.deal(resource, entry)
	}
	for _, name := range l.names {
		if part := entry.parts[name]; part != nil {
			part.lower()
		}
	}
	l.shed(resource, entry)
	if !l.hasQuorum() {
		return
	}
	room := entry.total.Share.Minus(l.counted(resource, entry)).Minus(l.unknown(resource, entry))
	entry.pot = min(entry.pot, room.Size)
	if room == (contract.Share{}) {
		return
	}
	for _, name := range l.names {
		if part := entry.parts[name]; part != nil {
			left := part.raise(room)
			tokens := min(entry.pot, room.Size-left.Size)
			part.given += tokens
			entry.pot -= tokens
			room = left
		}
	}
}

// hasQuorum reports whether enough VMs refuse older terms that every new
// incarnation hears of this term from one of them, before it takes a grant.
func (l *Allocator) hasQuorum() bool {
	return 2*(len(l.names)-len(l.Unreported())) > len(l.names)
}

// FenceQuorum returns how many peers of a fleet a new incarnation must have asked
// for the newest term. Together with the majority that must have reported before
// a ledger raises any share, that makes one of them know it.
func FenceQuorum(listed int) int {
	return min(listed-1, listed/2+1)
}

// lower sends the VM a smaller grant where it holds more than it is to. The
// first grant of a term is always sent: the VM may use slots above its share, and
// only a confirmed grant shows when they end.
func (p *part) lower() {
	lowered := p.target.Min(p.want)
	if lowered != p.target || p.seq == 0 {
		p.target = lowered
		p.seq++
	}
}

// shed lowers each grant that would, with what the other VMs hold, exceed the
// total. That comes after a document lowered the total: slots in use above a VM's
// grant are free again only when their requests end.
func (l *Allocator) shed(resource contract.Resource, entry *entry) {
	if resource.Kind() != contract.KindSlots {
		return
	}
	sum := l.lentByGone(resource)
	for _, part := range entry.parts {
		sum += part.expected()
	}
	if sum <= entry.total.Size {
		return
	}
	for _, name := range l.names {
		part := entry.parts[name]
		if part == nil {
			continue
		}
		others := sum - part.expected()
		allowed := max(0, entry.total.Size-others)
		if part.target.Size > allowed {
			part.target.Size = allowed
			part.seq++
		}
		sum = others + part.expected()
	}
}

// expected returns the slots that the VM will hold once it has confirmed its
// last grant, as far as is known.
func (p *part) expected() int64 {
	return max(p.target.Size, p.busy)
}

// raise grants the VM more, as far as there is room, and returns what room is
// left. What is already counted for the VM needs no room.
func (p *part) raise(room contract.Share) (left contract.Share) {
	raised := p.want.Min(p.counted.Plus(room)).Max(p.target)
	if raised == p.target {
		return room
	}
	p.target = raised
	p.seq++
	before := p.counted
	p.counted = p.counted.Max(raised)
	return room.Minus(p.counted.Minus(before))
}

// counted sums what all known holders may hold of a resource.
func (l *Allocator) counted(resource contract.Resource, entry *entry) (sum contract.Share) {
	for _, part := range entry.parts {
		sum = sum.Plus(part.counted)
	}
	if resource.Kind() == contract.KindSlots {
		sum.Size += l.lentByGone(resource)
	}
	return sum
}

// lentByGone returns the most slots that may be in use through VMs that are gone.
func (l *Allocator) lentByGone(resource contract.Resource) (sum int64) {
	for _, ghost := range l.ghosts {
		sum += ghost.counted[resource]
	}
	return sum + l.orphaned(resource)
}

// orphaned counts slots that are borrowed from lenders that no longer run. A
// loan whose reply is awaited may be of any resource.
func (l *Allocator) orphaned(resource contract.Resource) (sum int64) {
	for _, holder := range l.holders {
		for _, borrowed := range holder.borrowed {
			lender := l.holders[borrowed.Lender.Name]
			if lender != nil && lender.reported && lender.id == borrowed.Lender {
				continue
			}
			if borrowed.Resource == resource || borrowed.Resource == "" {
				sum += borrowed.Count
			}
		}
	}
	return sum
}

// unknown returns the most that listed VMs may hold that have not reported in
// this term: what the others did not hold when they were fenced. In a fleet that
// has just started that would be everything, so there each counts for no more than
// the cap, and for slots the VMs that are gone count too, which may have lent theirs.
func (l *Allocator) unknown(resource contract.Resource, entry *entry) contract.Share {
	count := 0
	for _, holder := range l.holders {
		if !holder.reported {
			count++
		}
	}
	if count == 0 {
		return contract.Share{}
	}
	rest := entry.total.Share
	for _, part := range entry.parts {
		rest = rest.Minus(part.fenced)
	}
	if l.isWarm {
		// A VM may hold more than the cap: slots in use from before a document
		// lowered the total.
		return rest
	}
	if resource.Kind() == contract.KindSlots {
		count += l.gone
	}
	// The VM may have been granted its share when fewer VMs were listed.
	limit := capOf(resource.Kind(), entry.total.Share, min(len(l.names), smallCapDivisor))
	return rest.Min(contract.Share{Rate: limit.Rate * int64(count), Size: limit.Size * int64(count)})
}
