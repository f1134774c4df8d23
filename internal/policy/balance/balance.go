// Package balance chooses the endpoint that runs a request: the one from which
// its answer is expected first, counting what the choice costs others. An
// endpoint that served the request's object lately is faster, so that requests
// for one object keep to one endpoint; a hash of object and endpoint lets all VMs
// agree on it without a word. The package does no input or output.
package balance

import (
	"fmt"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/hashing"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/canary"
	"baobabladder.example/baobabladder/internal/world/directory"
	"baobabladder.example/baobabladder/internal/world/routing"
)

const (
	// occupancyCost is what a millisecond of an endpoint's slot costs others.
	occupancyCost = 5
	// farMillis and nearMillis stand for the round trip to another region and to
	// another data centre of this one, farPerKilobyte and nearPerKilobyte for the
	// price of the bytes.
	farMillis       = 60
	nearMillis      = 3
	farPerKilobyte  = 9
	nearPerKilobyte = 3
	// answerKilobytes is what an answer is expected to hold.
	answerKilobytes = 2
	// memorySpan is how long an object's endpoint is taken to be warm.
	memorySpan = 30 * clock.Second
	// maxMemory bounds the remembered objects.
	maxMemory = 20_000
	// toldSpan is how long a move of an object is told to peers, and maxTold how many
	// are told at once.
	toldSpan = 2 * clock.Second
	maxTold  = 64
	// queueDepth is how many requests may wait at an endpoint beyond its slots.
	queueDepth = 12
	// pressedPart is the part of a service's slots in use above which requests only
	// go where their object is warm.
	pressedPart = 0.6
	// tooLateCost is added for an endpoint that would answer after the deadline, in
	// times of the route's aim: a run there is lost, and its slot with it.
	tooLateCost = 10
	// errorCost weighs an endpoint's part of failures, in times of the route's aim.
	errorCost = 2.5
	// refusedRetry is when a refused caller may try again.
	refusedRetry = 250 * clock.Millis(1)
	// coldSpacing is the span, a little above a second, in which a cold endpoint's
	// rate is counted.
	coldSpacing = 1080 * clock.Millis(1)
	// coldMargin is left of what is allowed, for VMs that are not known yet.
	coldMargin = 0.75
)

// Request is what is to be placed.
type Request struct {
	Route     *routing.Route
	Workspace *routing.Workspace
	Service   *routing.Service
	// Object names what the request is about; empty if it is not known.
	Object string
	// Kilobytes is the size of the body.
	Kilobytes float64
	// Remaining is the time left.
	Remaining clock.Millis
	// Versions says which versions may run it.
	Versions canary.Choice
	// Tried names endpoints not to use again.
	ExcludedEndpoints []string
}

// ColdLimit bounds what a cold endpoint gets in a second from all VMs together.
type ColdLimit struct {
	// Overage multiplies the endpoint's stated rate, Slack is added to it.
	Overage float64
	Slack   float64
}

// VM is one of the VMs that send requests to endpoints.
type VM struct {
	Name, Region string
}

// Balancer places requests. VM, Region, DataCentre and Cold must be set.
type Balancer struct {
	Clock clock.Clock
	// VM is this VM's name; Region and DataCentre are where it is.
	VM, Region, DataCentre string
	ColdLimit              ColdLimit

	mu sync.Mutex
	// directory is the newest given to Update. Guarded by mu.
	directory *directory.Directory
	// nodes holds what is known of each endpoint, by ID. Guarded by mu.
	nodes map[string]*node
	// vms holds all VMs, this one included, and vmsIn counts them by region. Guarded
	// by mu.
	vms   []VM
	vmsIn map[string]float64
	// slots counts each service's slots by region, slotsOf in all of them. Guarded
	// by mu.
	slots   map[place]float64
	slotsOf map[string]float64
	// reservations holds what requests need that are bound to a region. Guarded by mu.
	reservations map[place]*reservation
	// memory maps an object to the endpoints that served it lately. Guarded by mu.
	memory map[string]memory
	// works holds what requests take, by service and kind of work. Guarded by mu.
	works map[string]*work
}

// work is how long endpoints work on one kind of requests, in milliseconds.
type work struct {
	cold, warm float64
}

// Grant is the choice of an endpoint for one request.
type Grant struct {
	Endpoint directory.Endpoint
	// Cold says that the endpoint was cold when it was chosen.
	IsCold bool

	balancer *Balancer
	node     *node
	request  *Request
	sentAt   clock.Millis
	// expected is the expected time in milliseconds, without the way.
	expected float64
	// usual is the time in milliseconds that an endpoint without the object takes,
	// with the way and the wait.
	usual float64
	// alone says that no other request was expected on the endpoint's slot.
	alone, warm bool
	ended       bool
	// Basis is what the choice rested on.
	Basis Basis
}

// Basis is what a choice rested on, for the log.
type Basis struct {
	Endpoint, DataCentre, Version string
	// Revision is the store's at the last change of the endpoint's entry.
	Revision int64
	// Why is "warm" for an endpoint that served the object lately, "home" for one to
	// which it belongs, else "room".
	Why string
	// Load is how many requests the endpoint was thought to hold of its Slots, by
	// knowledge of age LoadAge.
	Load    int
	LoadAge clock.Millis
	Slots   int
	// Expected is the time in milliseconds in which an answer was expected.
	Expected float64
	Cold     bool
}

// Outcome is how a placed request ended.
type Outcome string

// The outcomes.
const (
	Answered Outcome = "answered"
	Failed   Outcome = "failed"
	// Shed requests were refused by the endpoint, which did not run them.
	Shed Outcome = "shed"
	// Moved says that another endpoint has the address.
	Moved Outcome = "moved"
	// Unreachable endpoints took no connection.
	Unreachable      Outcome = "unreachable"
	DeadlineExceeded Outcome = "late"
	Cancelled        Outcome = "cancelled"
)

// Result is what is known at a request's end.
type Result struct {
	Outcome Outcome
	// Running and Waiting are the endpoint's report; Running is -1 without one.
	Running, Waiting int
}

// UpdateDirectory takes over the directory.
func (b *Balancer) UpdateDirectory(newest *directory.Directory) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.directory = newest
	b.countSlots()
	nodes := map[string]*node{}
	for _, endpoints := range newest.Services {
		for _, e := range endpoints {
			n := b.nodes[e.ID]
			if n == nil || n.endpoint.Started != e.Started || n.endpoint.Address != e.Address {
				n = &node{reported: -1, hash: hashing.Strings(e.ID), speed: 1}
			}
			if n.moved && n.endpoint.Revision != e.Revision {
				n.moved = false
			}
			n.endpoint = e
			nodes[e.ID] = n
		}
	}
	b.nodes = nodes
}

// UpdatePeers takes over what the other VMs run on each endpoint, and which VMs there
// are.
func (b *Balancer) UpdatePeers(running map[string]int, vms []VM) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = vms
	b.vmsIn = map[string]float64{}
	for _, vm := range vms {
		b.vmsIn[vm.Region]++
	}
	now := b.Clock.Now()
	for id, n := range b.nodes {
		n.others, n.othersAt = running[id], now
	}
}

// Running returns this VM's requests on each endpoint that has some.
func (b *Balancer) Running() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	running := map[string]int{}
	for id, n := range b.nodes {
		if len(n.starts) > 0 {
			running[id] = len(n.starts)
		}
	}
	return running
}

// Place chooses an endpoint. The error is a *reason.Refusal of a request that did
// not run.
func (b *Balancer) Place(request *Request) (*Grant, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	if b.directory == nil {
		return nil, reason.NotRun(reason.NotReady, refusedRetry, "no endpoint is known yet")
	}
	if request.Remaining <= 0 {
		return nil, reason.NotRun(reason.DeadlinePassed, 0, "the deadline passed before an endpoint was chosen")
	}
	if request.isBound() {
		b.reserve(request, now)
	}
	best, passed := b.best(request, now, false)
	if best.node == nil && passed.reason() == reason.NoEndpoint {
		best, passed = b.best(request, now, true)
	}
	if best.node == nil && request.Versions.Pack {
		// A request of a trial goes to the old version where the new one has no room.
		request.Versions = canary.Choice{Not: request.Versions.Only}
		best, passed = b.best(request, now, false)
	}
	if best.node == nil {
		load, slots := b.room(b.directory.Services[request.Service.Name], now)
		return nil, reason.NotRun(passed.reason(), refusedRetry, "no endpoint of %s can run the request in time: %.0f requests on %.0f slots; %s",
			request.Service.Name, load, slots, passed)
	}
	return b.grant(request, best, now), nil
}

// candidate is an endpoint with what it would cost.
type candidate struct {
	node     *node
	cost     float64
	expected float64
	usual    float64
	wait     float64
	warm     bool
	isHome   bool
}

// best compares the endpoints. desperate also looks at suspended ones. Callers
// hold mu.
func (b *Balancer) best(request *Request, now clock.Millis, desperate bool) (best candidate, passed passedOver) {
	endpoints := b.directory.Services[request.Service.Name]
	home := b.home(request, endpoints, now)
	isPressed := home != nil && b.isPressed(endpoints, now)
	for i := range endpoints {
		n := b.nodes[endpoints[i].ID]
		switch {
		case n == nil || !b.isAllowed(request, n):
			passed.closed++
			continue
		case !desperate && n.isSuspended(now):
			passed.suspended++
			continue
		case n.endpoint.ColdUntil > now && (now < n.coldNext || !b.feeds(request.Service, n)):
			passed.cold++
			continue
		}
		c := b.weigh(request, n, n == home, now)
		switch {
		case int(n.load(now)) >= n.endpoint.Slots+queueDepth:
			passed.full++
			continue
		case isPressed && !c.warm && !c.isHome:
			passed.strange++
			continue
		case isPressed && c.expected > float64(request.Remaining):
			passed.slow++
			continue
		}
		if c.expected > float64(request.Remaining) {
			c.cost += tooLateCost * float64(request.Route.TargetLatency)
		}
		if request.Versions.Pack {
			c.cost += b.packCost(request, n, endpoints, now)
		}
		if best.node == nil || c.cost < best.cost {
			best = c
		}
	}
	return best, passed
}

// passedOver counts the endpoints that were not chosen, by why.
type passedOver struct {
	// closed endpoints may not run the request at all.
	closed, suspended, cold, full int
	// strange endpoints don't have the request's object, slow ones would end too
	// late, while the service is short of room.
	strange, slow int
}

// String tells the counts that are not 0.
func (p passedOver) String() string {
	return fmt.Sprintf("endpoints closed %d, suspended %d, cold %d, full %d, without the object %d, too slow %d",
		p.closed, p.suspended, p.cold, p.full, p.strange, p.slow)
}

func (p passedOver) reason() reason.Reason {
	if p.full+p.strange+p.slow > 0 {
		return reason.RegionFull
	}
	return reason.NoEndpoint
}

// packStep is above the difference that any other cost makes, in milliseconds.
const packStep = 1e6

// packCost orders the endpoints that may run the request in a circle, those
// without a free slot after all others. Callers hold mu.
func (b *Balancer) packCost(request *Request, n *node, endpoints []directory.Endpoint, now clock.Millis) float64 {
	place, count := 0, 0
	for i := range endpoints {
		other := b.nodes[endpoints[i].ID]
		if other == nil || !b.isAllowed(request, other) {
			continue
		}
		count++
		if other.hash < n.hash {
			place++
		}
	}
	place = (place + count - request.Versions.PackOffset%max(count, 1)) % max(count, 1)
	if int(n.load(now)) >= n.endpoint.Slots {
		place += count
	}
	return packStep * float64(place)
}

// isPressed says whether a service has so little room that a cold run would cost
// others more than it brings. Callers hold mu.
func (b *Balancer) isPressed(endpoints []directory.Endpoint, now clock.Millis) bool {
	load, slots := b.room(endpoints, now)
	return load > pressedPart*slots
}

// room returns how many requests the endpoints that may be used are thought to
// hold, and their slots. Callers hold mu.
func (b *Balancer) room(endpoints []directory.Endpoint, now clock.Millis) (load, slots float64) {
	for i := range endpoints {
		n := b.nodes[endpoints[i].ID]
		if n == nil || n.endpoint.Draining || n.isSuspended(now) || b.directory.Evacuated[n.endpoint.DataCentre] {
			continue
		}
		load += n.load(now)
		slots += float64(n.endpoint.Slots)
	}
	return load, slots
}

// feeds says whether this VM is one of those that may send to a cold endpoint: as
// many as requests are allowed in a second, of the endpoint's region if possible.
// Callers hold mu.
func (b *Balancer) feeds(service *routing.Service, n *node) bool {
	allowed := int(max(service.ColdRate*b.ColdLimit.Overage+b.ColdLimit.Slack-coldMargin, 1))
	if len(b.vms) <= allowed {
		return true
	}
	before := 0
	own := rank(VM{b.VM, b.Region}, n)
	for _, vm := range b.vms {
		if vm.Name != b.VM && rank(vm, n) > own {
			before++
		}
	}
	return before < allowed
}

// rank orders VMs as feeders of an endpoint.
func rank(vm VM, n *node) uint64 {
	score := hashing.Mix(hashing.Strings(vm.Name)^n.hash) >> 1
	if vm.Region == n.endpoint.Region {
		score |= 1 << 63
	}
	return score
}

// isAllowed says whether the endpoint may ever run the request. Callers hold mu.
func (b *Balancer) isAllowed(request *Request, n *node) bool {
	e := &n.endpoint
	if e.Draining || n.moved || b.directory.Evacuated[e.DataCentre] || !request.Versions.Allows(e.Version) {
		return false
	}
	for _, tried := range request.ExcludedEndpoints {
		if tried == e.ID {
			return false
		}
	}
	return routing.IsRegionAllowed(request.Route, request.Workspace, e.Region)
}

// weigh works out what running the request on an endpoint costs, in
// milliseconds. Callers hold mu.
func (b *Balancer) weigh(request *Request, n *node, isHome bool, now clock.Millis) candidate {
	w := b.work(request)
	c := candidate{node: n, isHome: isHome}
	took := w.cold
	last, known := b.memory[request.Object]
	switch {
	case request.Object != "" && known && last.endpoint == n.endpoint.ID && now-last.at < memorySpan:
		took, c.warm = w.warm, true
	case isHome:
		took = w.warm
	}
	if n.endpoint.ColdUntil > now {
		took *= 2
	}
	took *= n.speed
	slots := float64(n.endpoint.Slots)
	if over := n.load(now) + 1 - slots; over > 0 {
		c.wait = over / slots * (w.warm + w.cold) / 2 * n.speed
	}
	way, perKilobyte := 0.0, 0.0
	switch {
	case n.endpoint.Region != b.Region:
		way, perKilobyte = farMillis, farPerKilobyte
	case n.endpoint.DataCentre != b.DataCentre:
		way, perKilobyte = nearMillis, nearPerKilobyte
	}
	c.expected = way + c.wait + took
	c.usual = way + c.wait + w.cold
	c.cost = c.expected + occupancyCost*took + perKilobyte*(request.Kilobytes+answerKilobytes) + n.errors(now)*errorCost*float64(request.Route.TargetLatency)
	if !request.isBound() {
		c.cost += (1 - b.unreserved(request.Service.Name, n.endpoint.Region, now)) * reservationCost * float64(request.Route.TargetLatency)
	}
	return c
}

// work returns what requests of one kind to one service take. Callers hold mu.
func (b *Balancer) work(request *Request) *work {
	if b.works == nil {
		b.works = map[string]*work{}
	}
	id := request.Service.Name + " " + string(request.Route.Work)
	w := b.works[id]
	if w == nil {
		aim := float64(max(request.Route.TargetLatency, 1))
		w = &work{cold: 1.4 * aim, warm: 0.45 * aim}
		b.works[id] = w
	}
	return w
}

// grant records that the request goes to an endpoint. Callers hold mu.
func (b *Balancer) grant(request *Request, c candidate, now clock.Millis) *Grant {
	n := c.node
	g := &Grant{
		Endpoint: n.endpoint, IsCold: n.endpoint.ColdUntil > now, balancer: b, node: n, request: request,
		sentAt: now, expected: c.expected, usual: c.usual, alone: c.wait == 0, warm: c.warm,
	}
	g.Basis = basis(c, g.IsCold, now)
	if g.IsCold {
		n.coldNext = now + coldSpacing
	}
	n.starts = append(n.starts, now)
	if request.Object != "" {
		b.remember(request.Object, n.endpoint.ID, !c.isHome, now)
	}
	return g
}

func basis(c candidate, isCold bool, now clock.Millis) Basis {
	e := &c.node.endpoint
	why := "room"
	switch {
	case c.isHome:
		why = "home"
	case c.warm:
		why = "warm"
	}
	return Basis{
		Endpoint: e.ID, DataCentre: e.DataCentre, Version: e.Version, Revision: e.Revision, Why: why,
		Load: int(c.node.load(now)), LoadAge: now - c.node.loadAt(now), Slots: e.Slots, Expected: c.expected, Cold: isCold,
	}
}

// Done notes how the request went. Only the first call counts.
func (g *Grant) Done(result Result) {
	b := g.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if g.ended {
		return
	}
	g.ended = true
	now := b.Clock.Now()
	g.node.end(g.sentAt)
	took := float64(now - g.sentAt)
	if result.Outcome == Answered && g.alone && !g.IsCold {
		b.work(g.request).learn(took, g.warm)
	}
	if g.alone && result.Outcome == Answered {
		g.node.learnSpeed(took / max(g.expected, 1))
	}
	g.node.note(result, now)
	if result.Outcome != Answered && result.Outcome != Cancelled && g.request.Object != "" {
		delete(b.memory, g.request.Object)
	}
}

// slowTimes is how many times as long as usual a slow answer takes.
const slowTimes = 2.2

// IsSlow says whether an answer took far longer than an endpoint that does not
// have the object at hand usually takes. A new version's endpoints have none.
func (g *Grant) IsSlow(took clock.Millis) bool { return float64(took) > slowTimes*g.usual }

// IsPastTypical says whether an endpoint that does not have the object at hand usually has
// answered by then.
func (g *Grant) IsPastTypical(took clock.Millis) bool { return float64(took) >= g.usual }

// learnWeight is the divisor of a new value's part in an average.
const learnWeight = 16

func (w *work) learn(took float64, warm bool) {
	if warm {
		w.warm += (took - w.warm) / learnWeight
		return
	}
	// An object that another VM warmed the endpoint for does not tell what a cold
	// run takes.
	if took > w.warm*1.5 {
		w.cold += (took - w.cold) / learnWeight
	}
}
