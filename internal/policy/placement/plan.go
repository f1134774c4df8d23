package placement

import (
	"sort"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/policy/move"
	"baobabladder.example/baobabladder/internal/world/contract"
)

const (
	// scanLimit is the largest group that is looked through whole; of a larger
	// one a sample is taken, so that a choice costs the same at any size.
	scanLimit = 24
	// sampleSize is how many endpoints of a large group are compared.
	sampleSize = 8
	// scanInterval is how often a large group whose sample had no free slot is
	// looked through whole.
	scanInterval = 10 * clock.Millis(1)
	// spillHeadroom is the least share of a far region's slots, in thousandths,
	// that must be free for traffic of other regions to go there.
	spillHeadroom = 150
	// maxEjectShare is the largest share of a group, in thousandths, that may be
	// ejected at once.
	maxEjectShare = 334
	// fastestWeight is the divisor of a slower request's part in the least latency.
	fastestWeight = 64
	// uploadShare is the part of a link, in thousandths, that uploads may use.
	uploadShare = 600
	// firstPiece is the room that must be free for a body that is paced.
	firstPiece = 16 << 10
	// uploadBurst is how many seconds of the uploads' part may go at once.
	uploadBurst = 1
)

// plan is the index of one service's endpoints. It is rebuilt when a document or
// the membership changes; nodes outlive it.
type plan struct {
	service *document.Service
	// generation is the placer's that the plan was made at.
	generation int
	// from and to are the versions that choices tell apart, as in move.Choice.
	from, to string
	// regions is sorted by distance, this VM's own first.
	regions    []region
	nodes      map[string]*node
	byResource map[contract.Resource]*node
	shift      shift
	queue      queue
	// fastest is the least latency lately by route prefix, in microseconds.
	fastest map[string]int64
	// health holds what was seen of each region.
	health map[string]*health
	// uploads holds the room for uploads by region.
	uploads map[string]*uploadRoom
}

// region is a region's endpoints as seen from this VM.
type region struct {
	name string
	// far says that a link lies between this VM and the region.
	far     bool
	latency clock.Millis
	link    contract.Resource
	health  *health
	// all holds the endpoints of every version, fresh those of a move's target
	// and old those that it leaves.
	all, fresh, old members
}

// members are endpoints among which a choice is made.
type members struct {
	nodes []*node
	// opened counts nodes that neither the platform nor a drain closes.
	opened int
	// ejected counts ejected nodes.
	ejected int
	// micros is the smoothed latency of warm nodes; 0 before the first answer.
	micros int64
	// choices counts choices; at times isExploring lets a cold node be preferred.
	choices     int
	isExploring bool
	// ready are places in nodes that had a free slot when last seen, for large
	// groups only.
	ready    []int32
	isReady  []bool
	cursor   int
	scanAt   clock.Millis
	scanOnce bool
}

func (m *members) mayEject() bool {
	return len(m.nodes) > 1 && (m.ejected+1)*1000 <= max(len(m.nodes)*maxEjectShare, 1000)
}

func (r *region) members(choice move.Choice) *members {
	switch {
	case choice.To == "":
		return &r.all
	case choice.IsNew:
		return &r.fresh
	default:
		return &r.old
	}
}

func (p *plan) home() string {
	if len(p.regions) == 0 {
		return ""
	}
	return p.regions[0].name
}

// plan returns the service's index, made anew if anything it was made of
// changed. Callers hold mu.
func (p *Placer) plan(service *document.Service, choice move.Choice) *plan {
	old := p.plans[service.Name]
	isSame := old != nil && old.service == service && old.generation == p.generation
	if isSame && old.from == choice.From && old.to == choice.To {
		return old
	}
	if p.plans == nil {
		p.plans = map[string]*plan{}
	}
	if old == nil {
		old = &plan{fastest: map[string]int64{}, uploads: map[string]*uploadRoom{}, health: map[string]*health{}}
		p.plans[service.Name] = old
	}
	old.from, old.to = choice.From, choice.To
	p.rebuild(old, service)
	return old
}

// rebuild changes plan in place, so that its queue and counts go on.
func (p *Placer) rebuild(plan *plan, service *document.Service) {
	known := plan.nodes
	plan.service, plan.generation = service, p.generation
	plan.nodes = make(map[string]*node, len(service.Endpoints))
	plan.byResource = make(map[contract.Resource]*node, len(service.Endpoints))
	byRegion := map[string][]*node{}
	for _, endpoint := range service.Endpoints {
		n := known[endpoint.Name]
		if n == nil || n.endpoint != endpoint {
			n = &node{endpoint: endpoint, reported: -1}
		}
		n.resource = contract.SlotsResource(service.Name, endpoint.Name)
		n.open = p.isOpen(service, &endpoint)
		plan.nodes[endpoint.Name] = n
		plan.byResource[n.resource] = n
		byRegion[endpoint.Region] = append(byRegion[endpoint.Region], n)
	}
	plan.regions = plan.regions[:0:0]
	for name, nodes := range byRegion {
		plan.regions = append(plan.regions, p.region(plan, name, nodes))
	}
	p.sortRegions(plan)
	for i := range plan.regions {
		plan.adopt(&plan.regions[i])
	}
	plan.shift.cap = int64(service.ShiftCap)
}

// sortRegions puts the nearest region first.
func (p *Placer) sortRegions(plan *plan) {
	sort.Slice(plan.regions, func(i, j int) bool {
		a, b := &plan.regions[i], &plan.regions[j]
		if a.far != b.far {
			return !a.far
		}
		if a.latency != b.latency {
			return a.latency < b.latency
		}
		return a.name < b.name
	})
}

func (p *Placer) region(plan *plan, name string, nodes []*node) region {
	r := region{name: name, far: p.Region != "" && name != p.Region, link: contract.LinkResource(p.Region, name)}
	if p.fleet != nil && r.far {
		if link := p.fleet.Link(p.Region, name); link != nil {
			r.latency = link.Latency
		}
	}
	sort.Slice(nodes, func(i, j int) bool { return p.before(nodes[i], nodes[j]) })
	r.all.nodes = nodes
	for _, n := range nodes {
		switch {
		case n.endpoint.Version == plan.to:
			r.fresh.nodes = append(r.fresh.nodes, n)
		case plan.from == "" || n.endpoint.Version == plan.from:
			r.old.nodes = append(r.old.nodes, n)
		}
	}
	// The VMs of a region warm up the same endpoints of a new version.
	sort.Slice(r.fresh.nodes, func(i, j int) bool { return r.fresh.nodes[i].endpoint.Name < r.fresh.nodes[j].endpoint.Name })
	return r
}

// before orders endpoints of this VM's data centre first, then by name.
func (p *Placer) before(a, b *node) bool {
	nearA, nearB := a.endpoint.DataCentre == p.DataCentre, b.endpoint.DataCentre == p.DataCentre
	if nearA != nearB {
		return nearA
	}
	return a.endpoint.Name < b.endpoint.Name
}

// adopt points each node at the version's group, whose ejections it counts in,
// and gives the region the health that was known of it.
func (p *plan) adopt(r *region) {
	if p.health[r.name] == nil {
		p.health[r.name] = &health{}
	}
	r.health = p.health[r.name]
	r.health.alone = len(p.regions) == 1
	for _, group := range []*members{&r.fresh, &r.old} {
		for _, n := range group.nodes {
			n.group = group
			if n.answers >= probationAnswers {
				group.micros = smooth(group.micros, n.micros)
			}
			if n.ejected {
				group.ejected++
			}
		}
	}
	for _, group := range []*members{&r.all, &r.fresh, &r.old} {
		group.isReady = make([]bool, len(group.nodes))
		group.ready = make([]int32, 0, len(group.nodes))
		for _, n := range group.nodes {
			if n.open {
				group.opened++
			}
		}
	}
}

// region returns the region with the given name, which must have endpoints.
func (p *plan) region(name string) *region {
	for i := range p.regions {
		if p.regions[i].name == name {
			return &p.regions[i]
		}
	}
	return nil
}

// cool takes the endpoints of a region that was lost for cold.
func (p *plan) cool(name string) {
	for _, n := range p.nodes {
		if n.endpoint.Region == name {
			n.answers, n.sent = 0, 0
		}
	}
}

func (p *Placer) isOpen(service *document.Service, endpoint *document.Endpoint) bool {
	if p.leaving[endpoint.Name] {
		return false
	}
	for _, drain := range service.Drains {
		switch {
		case drain.Kind == document.DrainEndpoint && drain.Name == endpoint.Name,
			drain.Kind == document.DrainDataCentre && drain.Name == endpoint.DataCentre,
			drain.Kind == document.DrainRegion && drain.Name == endpoint.Region:
			return false
		}
	}
	return true
}

// best returns the cheapest endpoint of a group that has a free slot, or nil.
// Callers hold mu.
func (p *Placer) best(group *members, request *Request, now clock.Millis) (chosen *node) {
	group.choices++
	group.isExploring = group.choices%exploreInterval == 0
	defer func() { group.isExploring = false }()
	if len(group.nodes) <= scanLimit {
		for _, n := range group.nodes {
			chosen = p.cheaper(chosen, n, request, now)
		}
		return chosen
	}
	p.refill(group, 2)
	chosen = p.sample(group, request, now)
	if chosen == nil && (!group.scanOnce || now-group.scanAt >= scanInterval) {
		group.scanOnce, group.scanAt = true, now
		p.refill(group, len(group.nodes))
		chosen = p.sample(group, request, now)
	}
	return chosen
}

func (p *Placer) cheaper(chosen, n *node, request *Request, now clock.Millis) *node {
	if !n.usable(now) || tried(request.ExcludedEndpoints, n) || p.free(n) < 1 {
		return chosen
	}
	if chosen == nil || n.cost(now) < chosen.cost(now) {
		return n
	}
	return chosen
}

// refill looks at the next count endpoints and lists those with free slots.
func (p *Placer) refill(group *members, count int) {
	for range count {
		at := group.cursor
		group.cursor = (group.cursor + 1) % len(group.nodes)
		if !group.isReady[at] && group.nodes[at].open && p.free(group.nodes[at]) > 0 {
			group.isReady[at] = true
			group.ready = append(group.ready, int32(at))
		}
	}
}

// sample compares some of the listed endpoints and strikes off those that are
// full. Each strike is bounded by one listing, so its cost is spread.
func (p *Placer) sample(group *members, request *Request, now clock.Millis) (chosen *node) {
	for looked := 0; looked < sampleSize && len(group.ready) > 0; {
		at := int(p.next() % uint64(len(group.ready)))
		n := group.nodes[group.ready[at]]
		if !n.open || p.free(n) < 1 {
			last := len(group.ready) - 1
			group.isReady[group.ready[at]] = false
			group.ready[at] = group.ready[last]
			group.ready = group.ready[:last]
			continue
		}
		looked++
		chosen = p.cheaper(chosen, n, request, now)
	}
	return chosen
}

// takeRoom takes room for the request on the link to a far region, if there is
// any. Callers hold mu.
func (p *Placer) takeRoom(plan *plan, region *region, request *Request, now clock.Millis) bool {
	bytes := request.Bytes
	if bytes < 0 {
		bytes = request.Route.MaxBody
	}
	if request.Route.Work == document.WorkUpload && !p.takeUpload(plan, region, request.Bytes, now) {
		return false
	}
	if request.Paced {
		bytes = min(bytes, firstPiece)
	}
	return p.Links == nil || p.Links.Take(region.link, bytes)
}

// hasHeadroom says whether enough of the VM's slots in the group are free.
func (p *Placer) hasHeadroom(group *members) bool {
	free, running := 0, 0
	step := max(len(group.nodes)/scanLimit, 1)
	for i := 0; i < len(group.nodes); i += step {
		free += max(p.free(group.nodes[i]), 0)
		running += group.nodes[i].running
	}
	return free > 0 && free*1000 >= (free+running)*spillHeadroom
}

// takeUpload takes room in the uploads' part of the link. The parts of all VMs
// add up to uploadShare, so orders always find the rest. An upload of unknown
// size stays in its region.
func (p *Placer) takeUpload(plan *plan, region *region, bytes int64, now clock.Millis) bool {
	if bytes < 0 || p.fleet == nil {
		return false
	}
	link := p.fleet.Link(p.Region, region.name)
	if link == nil {
		return false
	}
	room := plan.uploads[region.name]
	if room == nil {
		room = &uploadRoom{at: now}
		plan.uploads[region.name] = room
	}
	rate := int64(link.Mbit) * 125 * uploadShare / 1000 / int64(max(p.entries, 1))
	return room.take(bytes, rate, now)
}

// uploadRoom is a token bucket that may go into debt by one upload, so that an
// upload larger than the burst can pass.
type uploadRoom struct {
	// bytes is what may be sent; negative while an upload is paid off.
	bytes int64
	at    clock.Millis
}

// take takes bytes at a rate in bytes per millisecond.
func (u *uploadRoom) take(bytes, rate int64, now clock.Millis) bool {
	u.bytes = min(u.bytes+rate*int64(now-u.at), rate*uploadBurst*int64(clock.Second))
	u.at = now
	if u.bytes <= 0 {
		return false
	}
	u.bytes -= bytes
	return true
}

// hopeless says that the deadline can't be met: less is left than half of what
// the route's fastest request took lately. An average would not do, as it would
// refuse a small upload among large ones.
func (p *plan) hopeless(request *Request) bool {
	return request.Remaining <= 0 || int64(request.Remaining)*1000 < p.fastest[request.Route.Prefix]/2
}

// observe lets the least latency grow slowly, so that an old one is forgotten.
func (p *plan) observe(prefix string, micros int64) {
	old, known := p.fastest[prefix]
	if !known || micros < old {
		p.fastest[prefix] = micros
		return
	}
	p.fastest[prefix] = old + (micros-old)/fastestWeight
}
