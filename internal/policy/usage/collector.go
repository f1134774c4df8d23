package usage

import (
	"maps"
	"slices"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	// statedWindows is the number of windows, the open one included, that a VM states. A
	// window is frozen at the latest when the third one after it is open.
	statedWindows = 4
	// ownMaxAge is the maximum age of this VM's own counts in a message. A relay answers the
	// calls of all VMs of its region.
	ownMaxAge = 50 * clock.Millis(1)
	// regionSumMaxAge is the maximum age of a relay's cached sum over its region.
	regionSumMaxAge = 200 * clock.Millis(1)
)

// Link says what a VM states to a peer.
type Link int

const (
	// LinkFollower is a VM of this VM's region, of which this VM is a relay. It gets the sums of
	// all regions if it wants them: a holder of the duty keeps it when it stops
	// being a relay.
	LinkFollower Link = iota
	// LinkDirect is a peer that gets this VM's own statement, and those of VMs that are no
	// longer reachable: any VM of a full mesh, or a relay of this VM's region.
	LinkDirect
	// LinkRegion is a relay of another region. It gets the sum over this VM's region if it
	// wants it.
	LinkRegion
)

// Member is a VM of the fleet as this VM sees it.
type Member struct {
	ID     vm.ID
	Region string
	// IsReachable reports that the VM was heard lately. IsAwaited reports that its counts are
	// waited for until a window must be frozen: it is reachable, or was heard within the last
	// 30 s and was not stopping, so that it may be cut off or suspended and still run.
	IsReachable, IsAwaited bool
}

// Collector collects what VMs state. Self, Region and Ledger must be set.
type Collector struct {
	Self   vm.ID
	Region string
	Ledger *Ledger
	Clock  clock.Clock

	mu sync.Mutex
	// byAuthor holds the stated counts by author, this VM's own included. Guarded by mu.
	byAuthor map[Author]*statedCounts
	// peers holds what is known of the exchange with each peer, by name. Guarded by mu.
	peers map[string]*peer
	// members holds the VMs of the fleet by name. Guarded by mu.
	members map[string]Member
	// next is the first window that is not frozen, as far as any VM is known to know.
	// wants reports that this VM needs the sums of other regions. Guarded by mu.
	next  Window
	wants bool
	// open is the window that was open when this VM's own counts were read last, at
	// refreshedAt. wasRefreshed is set once they were read.
	// Guarded by mu.
	open         Window
	refreshedAt  clock.Millis
	wasRefreshed bool
	// regionSummedAt is when the sum over this VM's region was last built. Guarded by mu.
	regionSummedAt  clock.Millis
	wasRegionSummed bool
}

// statedCounts holds an author's counts and region.
type statedCounts struct {
	authorCounts
	region string
}

// peer is the state of the exchange with a peer.
type peer struct {
	incarnation vm.Incarnation
	wants       bool
	// link is the link by which the last message to the peer was made.
	link Link
	// acked holds the version up to which the peer has each author's statements.
	acked map[Author]int64
	// received holds the versions of the peer's last message, to be acknowledged.
	received []Ack
}

// SetMembers replaces the VMs of the fleet, this one included.
func (c *Collector) SetMembers(members []Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = make(map[string]Member, len(members))
	for _, member := range members {
		c.members[member.ID.Name] = member
	}
}

// SetWants sets whether this VM needs the sums of other regions: it holds the duty or
// contends for it.
func (c *Collector) SetWants(wants bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wants = wants
}

// SetNext records that the windows before next are frozen.
func (c *Collector) SetNext(next Window) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = max(c.next, next)
}

// Next returns the first window that is not frozen, as far as this VM knows, or 0.
func (c *Collector) Next() Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next
}

// MessageFor returns the encoded Message for a peer.
func (c *Collector) MessageFor(name string, link Link) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if link != LinkFollower {
		c.refreshOwn()
	}
	p := c.peer(name)
	p.link = link
	message := Message{Next: c.next, Wants: c.needsRegions(), Acks: p.received}
	first := max(c.next, c.open-statedWindows+1)
	switch {
	case link == LinkDirect:
		for author, stated := range c.byAuthor {
			if !author.IsRegion && author.ID != (vm.ID{Name: name, Incarnation: p.incarnation}) && (author.ID == c.Self || !c.isReachable(author.ID)) {
				message.add(author, stated, p, first)
			}
		}
	case link == LinkRegion && p.wants:
		c.refreshRegion()
		own := Author{c.Self, true}
		message.add(own, c.byAuthor[own], p, first)
	case link == LinkFollower && p.wants:
		c.refreshRegion()
		for author, stated := range c.byAuthor {
			if author.IsRegion {
				message.add(author, stated, p, first)
			}
		}
	}
	return message.Encode()
}

// needsRegions reports whether this VM or one that follows it needs the sums of other
// regions. The caller must hold mu.
func (c *Collector) needsRegions() bool {
	for name, p := range c.peers {
		if p.wants && p.link == LinkFollower && c.members[name].IsReachable {
			return true
		}
	}
	return c.wants
}

// add adds what the peer does not have of an author's statements.
func (m *Message) add(author Author, stated *statedCounts, to *peer, first Window) {
	base := to.acked[author]
	if changes := stated.since(base, first); len(changes) > 0 {
		m.Statements = append(m.Statements, Statement{author, stated.region, base, stated.version, changes})
	}
}

// Receive applies a peer's message.
func (c *Collector) Receive(from vm.ID, text []byte) error {
	message, err := Decode(text)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peer(from.Name)
	if p.incarnation != from.Incarnation {
		// A later incarnation has nothing of what an earlier one received.
		*p = peer{incarnation: from.Incarnation, link: p.link, acked: map[Author]int64{}}
	}
	p.wants, p.received = message.Wants, nil
	c.refreshOwn()
	if message.Next <= c.open+1 {
		c.next = max(c.next, message.Next)
	}
	for _, ack := range message.Acks {
		// An acknowledged version may decrease: the peer has forgotten the author since.
		p.acked[ack.Author] = ack.Version
	}
	for i := range message.Statements {
		statement := &message.Statements[i]
		if statement.Author.ID == c.Self {
			continue
		}
		// A VM whose wall clock is ahead states future windows, which would be kept until
		// their time comes.
		windows := slices.DeleteFunc(statement.Windows, func(w WindowStatement) bool {
			return w.Window < max(c.next, c.open-maxWindows+1) || w.Window > c.open+1
		})
		stated := c.countsOf(statement.Author, statement.Region)
		stated.merge(statement.Base, statement.Version, windows)
		p.received = append(p.received, Ack{statement.Author, stated.complete})
	}
	return nil
}

// peer returns the state of the exchange with a peer. The caller must hold mu.
func (c *Collector) peer(name string) *peer {
	if c.peers == nil {
		c.peers = map[string]*peer{}
	}
	if c.peers[name] == nil {
		c.peers[name] = &peer{acked: map[Author]int64{}}
	}
	return c.peers[name]
}

// countsOf returns the stated counts of an author, which it creates if there are none. The
// caller must hold mu.
func (c *Collector) countsOf(author Author, region string) *statedCounts {
	if c.byAuthor == nil {
		c.byAuthor = map[Author]*statedCounts{}
	}
	if c.byAuthor[author] == nil {
		c.byAuthor[author] = &statedCounts{region: region}
	}
	return c.byAuthor[author]
}

// isReachable reports whether a VM's incarnation states its counts itself, as far as this VM
// knows. The caller must hold mu.
func (c *Collector) isReachable(id vm.ID) bool {
	member, found := c.members[id.Name]
	return id == c.Self || found && member.IsReachable && member.ID.Incarnation <= id.Incarnation
}

// isAwaited reports whether a VM's incarnation may still change its counts. The caller must
// hold mu.
func (c *Collector) isAwaited(id vm.ID) bool {
	member, found := c.members[id.Name]
	return id == c.Self || found && member.IsAwaited && member.ID.Incarnation <= id.Incarnation
}

// refreshOwn updates this VM's own counts if they are older than ownMaxAge, and forgets windows
// that are frozen or too old. The caller must hold mu.
func (c *Collector) refreshOwn() {
	now := c.Clock.Now()
	if c.wasRefreshed && now-c.refreshedAt < ownMaxAge && !c.Ledger.isFinished() {
		return
	}
	c.wasRefreshed, c.refreshedAt = true, now
	windows, open := c.Ledger.windows()
	c.open = open
	first := max(c.next, open-maxWindows+1)
	own := c.countsOf(Author{c.Self, false}, c.Region)
	for window, counted := range windows {
		if window < first {
			continue
		}
		sum := Sum{VMs: 1, Open: 1, Counts: counted.counts}
		if counted.isFinal {
			sum.Open = 0
		}
		own.set(window, &sum)
	}
	for _, stated := range c.byAuthor {
		stated.forget(first)
	}
	maps.DeleteFunc(c.byAuthor, func(author Author, stated *statedCounts) bool {
		return len(stated.windows) == 0 && !c.isReachable(author.ID)
	})
}

// refreshRegion brings this VM's sum over its region up to date. The caller must hold mu.
func (c *Collector) refreshRegion() {
	now := c.Clock.Now()
	if c.wasRegionSummed && now-c.regionSummedAt < regionSumMaxAge {
		return
	}
	c.wasRegionSummed, c.regionSummedAt = true, now
	total := c.countsOf(Author{c.Self, true}, c.Region)
	windows := map[Window]bool{}
	for author, stated := range c.byAuthor {
		if !author.IsRegion && stated.region == c.Region {
			for window := range stated.windows {
				windows[window] = true
			}
		}
	}
	for window := range windows {
		sums := c.directSums(window)
		if sum, found := sums[c.Region]; found {
			total.set(window, sum)
		}
	}
}

// directSums returns the sum of the VMs' own statements on a window, by region. The requests
// of VMs that are not awaited are included, but not these VMs themselves. The caller must hold
// mu.
func (c *Collector) directSums(window Window) map[string]*Sum {
	sums := map[string]*Sum{}
	for author, stated := range c.byAuthor {
		if author.IsRegion {
			continue
		}
		counted, found := stated.sum(window)
		if !found {
			continue
		}
		if sums[stated.region] == nil {
			sums[stated.region] = &Sum{Counts: Counts{}}
		}
		sum := sums[stated.region]
		if c.isAwaited(author.ID) {
			sum.VMs++
			sum.Open += counted.Open
		}
		sum.Counts.add(counted.Counts)
	}
	return sums
}

// Total is the sum of a window over the fleet.
type Total struct {
	Counts Counts
	// VMs is the number of VMs whose counts are awaited and included, Lacking that of awaited
	// VMs that have not stated the window as final.
	VMs, Lacking int
	// Unstated estimates the requests that VMs which are no longer reachable ran after their
	// last statement. It covers the VMs that state their counts to this VM directly.
	Unstated int64
}

// Sum returns the sum of a window over the fleet. For each region, the fullest of the sums
// that its relays and its VMs have stated is used.
func (c *Collector) Sum(window Window) Total {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshOwn()
	regions := c.directSums(window)
	for author, stated := range c.byAuthor {
		// This VM's own sum is built from the same statements as its direct sum.
		if sum, found := stated.sum(window); found && author.IsRegion && author.ID != c.Self {
			if known := regions[stated.region]; known == nil || sum.isFuller(known) {
				regions[stated.region] = &sum
			}
		}
	}
	awaited := map[string]int{}
	for _, member := range c.members {
		if member.IsAwaited {
			awaited[member.Region]++
		}
	}
	total := Total{Counts: Counts{}, Unstated: c.unstated(window)}
	for region, sum := range regions {
		total.VMs += sum.VMs
		total.Counts.add(sum.Counts)
		total.Lacking += max(sum.Open, awaited[region]-sum.VMs+sum.Open)
		delete(awaited, region)
	}
	for _, count := range awaited {
		total.Lacking += count
	}
	maps.DeleteFunc(total.Counts, func(_ string, count int64) bool { return count == 0 })
	return total
}

// statementInterval is the longest time between two statements of a VM; see roster.
const statementInterval = 900 * clock.Millis(1)

// unstated estimates the requests in a window of VMs that ended without stating it as final:
// on average half of what they ran in the time between two statements. The caller must hold
// mu.
func (c *Collector) unstated(window Window) int64 {
	requests := int64(0)
	for author, stated := range c.byAuthor {
		counted, found := stated.sum(window)
		if author.IsRegion || !found || counted.Open == 0 || c.isReachable(author.ID) {
			continue
		}
		if before, found := stated.sum(window - 1); found {
			requests += before.Counts.total()
		} else {
			requests += counted.Counts.total()
		}
	}
	return requests * int64(statementInterval) / int64(2*c.Ledger.Schedule.Length)
}
