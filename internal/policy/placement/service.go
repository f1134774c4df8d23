package placement

import (
	"sort"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/policy/move"
	"baobabladder.example/baobabladder/internal/world/contract"
)

const (
	// minSpillHeadroom is the share of this VM's slots in a remote region, in
	// thousandths, that must be free before traffic spills to it.
	minSpillHeadroom = 150
	// maxEjectShare is the largest share of a group, in thousandths, that may be
	// ejected at the same time.
	maxEjectShare = 334
	// minLatencyDivisor divides the difference that each slower request adds to the
	// minimum latency.
	minLatencyDivisor = 64
)

// serviceState holds the state of one service and the index of its endpoints. The
// index is rebuilt when a document or the membership changes; an endpointState is
// kept as long as its endpoint's configuration does not change.
type serviceState struct {
	service *document.Service
	// generation is the placer's generation for which the index was built.
	generation int
	// fromVersion and toVersion are the versions From and To of the move.Choice for
	// which the index was built.
	fromVersion, toVersion string
	// regions is sorted by distance, this VM's own region first.
	regions    []region
	endpoints  map[string]*endpointState
	byResource map[contract.Resource]*endpointState
	shift      shiftLimiter
	queue      queue
	// minLatency is the recent minimum latency by route prefix, in microseconds.
	minLatency map[string]int64
	// health holds the health of each region by name.
	health map[string]*regionHealth
	// uploadBuckets holds the token bucket for uploads to each region.
	uploadBuckets map[string]*uploadBucket
}

// region is the part of the index for one region.
type region struct {
	name string
	// isRemote is true if traffic from this VM to the region crosses a link.
	isRemote bool
	latency  clock.Millis
	link     contract.Resource
	health   *regionHealth
	// all holds the endpoints of every version, target those of the new version
	// of a move and source those of the old one.
	all, target, source endpointGroup
}

// endpointGroup is a set of endpoints to select from.
type endpointGroup struct {
	endpoints []*endpointState
	// openCount counts the endpoints that are neither leaving nor drained.
	openCount int
	// ejectedCount counts the ejected endpoints.
	ejectedCount int
	// latencyMicros is the moving average latency of the endpoints past their
	// probation; 0 before their first response.
	latencyMicros int64
	// choiceCount counts selections. isExploring is set during every selection that
	// prefers cold endpoints.
	choiceCount int
	isExploring bool
	// candidates holds the indexes of endpoints that had a free slot when last
	// checked, and isCandidate marks them. scanCursor is the index of the
	// endpoint to check next. fullScanAt is the time of the last check of all
	// endpoints, if wasScanned is set. All of these are used for large groups
	// only.
	candidates  []int32
	isCandidate []bool
	scanCursor  int
	fullScanAt  clock.Millis
	wasScanned  bool
}

// canEject reports whether one more endpoint of the group may be ejected. Up to
// maxEjectShare of a group may be ejected at the same time, and always one if
// the group has more than one endpoint.
func (g *endpointGroup) canEject() bool {
	return len(g.endpoints) > 1 && (g.ejectedCount+1)*1000 <= max(len(g.endpoints)*maxEjectShare, 1000)
}

// group returns the endpoints of the version that choice selects.
func (r *region) group(choice move.Choice) *endpointGroup {
	switch {
	case choice.To == "":
		return &r.all
	case choice.IsNew:
		return &r.target
	default:
		return &r.source
	}
}

// nearestRegion returns the region nearest to this VM that has endpoints of the
// service, or "" if there is none.
func (s *serviceState) nearestRegion() string {
	if len(s.regions) == 0 {
		return ""
	}
	return s.regions[0].name
}

// serviceState returns the state of a service. It rebuilds the index if the
// documents, the membership or the versions have changed. The caller must hold mu.
func (p *Placer) serviceState(service *document.Service, choice move.Choice) *serviceState {
	state := p.services[service.Name]
	isSame := state != nil && state.service == service && state.generation == p.generation
	if isSame && state.fromVersion == choice.From && state.toVersion == choice.To {
		return state
	}
	if p.services == nil {
		p.services = map[string]*serviceState{}
	}
	if state == nil {
		state = &serviceState{minLatency: map[string]int64{}, uploadBuckets: map[string]*uploadBucket{}, health: map[string]*regionHealth{}}
		p.services[service.Name] = state
	}
	state.fromVersion, state.toVersion = choice.From, choice.To
	p.rebuildIndex(state, service)
	return state
}

// rebuildIndex rebuilds the index in place, so that the queue and the counters are
// kept.
func (p *Placer) rebuildIndex(state *serviceState, service *document.Service) {
	previous := state.endpoints
	state.service, state.generation = service, p.generation
	state.endpoints = make(map[string]*endpointState, len(service.Endpoints))
	state.byResource = make(map[contract.Resource]*endpointState, len(service.Endpoints))
	byRegion := map[string][]*endpointState{}
	for _, endpoint := range service.Endpoints {
		e := previous[endpoint.Name]
		if e == nil || e.config != endpoint {
			e = &endpointState{config: endpoint, reportedRunning: -1}
		}
		e.resource = contract.SlotsResource(service.Name, endpoint.Name)
		e.isOpen = p.isOpen(service, &endpoint)
		state.endpoints[endpoint.Name] = e
		state.byResource[e.resource] = e
		byRegion[endpoint.Region] = append(byRegion[endpoint.Region], e)
	}
	state.regions = state.regions[:0:0]
	for name, endpoints := range byRegion {
		state.regions = append(state.regions, p.newRegion(state, name, endpoints))
	}
	p.sortRegions(state)
	for i := range state.regions {
		state.initRegion(&state.regions[i])
	}
	state.shift.cap = int64(service.ShiftCap)
}

// sortRegions sorts the regions by distance, the local region first.
func (p *Placer) sortRegions(state *serviceState) {
	sort.Slice(state.regions, func(i, j int) bool {
		a, b := &state.regions[i], &state.regions[j]
		if a.isRemote != b.isRemote {
			return !a.isRemote
		}
		if a.latency != b.latency {
			return a.latency < b.latency
		}
		return a.name < b.name
	})
}

func (p *Placer) newRegion(state *serviceState, name string, endpoints []*endpointState) region {
	r := region{name: name, isRemote: p.Region != "" && name != p.Region, link: contract.LinkResource(p.Region, name)}
	if p.fleet != nil && r.isRemote {
		if link := p.fleet.Link(p.Region, name); link != nil {
			r.latency = link.Latency
		}
	}
	sort.Slice(endpoints, func(i, j int) bool { return p.isSortedBefore(endpoints[i], endpoints[j]) })
	r.all.endpoints = endpoints
	for _, e := range endpoints {
		switch {
		case e.config.Version == state.toVersion:
			r.target.endpoints = append(r.target.endpoints, e)
		case state.fromVersion == "" || e.config.Version == state.fromVersion:
			r.source.endpoints = append(r.source.endpoints, e)
		}
	}
	// All VMs use the same order here, so that the VMs of a region warm up the same
	// endpoints of a new version first.
	sort.Slice(r.target.endpoints, func(i, j int) bool { return r.target.endpoints[i].config.Name < r.target.endpoints[j].config.Name })
	return r
}

// isSortedBefore reports whether a comes before b: endpoints in this VM's data
// centre come first, then the order is by name.
func (p *Placer) isSortedBefore(a, b *endpointState) bool {
	isLocalA, isLocalB := a.config.DataCentre == p.DataCentre, b.config.DataCentre == p.DataCentre
	if isLocalA != isLocalB {
		return isLocalA
	}
	return a.config.Name < b.config.Name
}

// initRegion assigns the endpoints to their version groups, computes the counters
// of the groups and attaches the region's existing health.
func (s *serviceState) initRegion(r *region) {
	if s.health[r.name] == nil {
		s.health[r.name] = &regionHealth{}
	}
	r.health = s.health[r.name]
	r.health.isOnlyRegion = len(s.regions) == 1
	for _, group := range []*endpointGroup{&r.target, &r.source} {
		for _, e := range group.endpoints {
			e.group = group
			if e.responses >= probationResponses {
				group.latencyMicros = movingAverage(group.latencyMicros, e.latencyMicros)
			}
			if e.isEjected {
				group.ejectedCount++
			}
		}
	}
	for _, group := range []*endpointGroup{&r.all, &r.target, &r.source} {
		group.isCandidate = make([]bool, len(group.endpoints))
		group.candidates = make([]int32, 0, len(group.endpoints))
		for _, e := range group.endpoints {
			if e.isOpen {
				group.openCount++
			}
		}
	}
}

// region returns the region with the given name, which must have endpoints.
func (s *serviceState) region(name string) *region {
	for i := range s.regions {
		if s.regions[i].name == name {
			return &s.regions[i]
		}
	}
	return nil
}

// markCold marks the endpoints of a region as cold, because the region was found
// down.
func (s *serviceState) markCold(name string) {
	for _, e := range s.endpoints {
		if e.config.Region == name {
			e.responses, e.coldRequests = 0, 0
		}
	}
}

// isOpen reports whether an endpoint is neither leaving nor drained.
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

// hasHeadroom reports whether at least minSpillHeadroom of this VM's slots in the
// group are free.
func (p *Placer) hasHeadroom(group *endpointGroup) bool {
	free, running := 0, 0
	step := max(len(group.endpoints)/maxFullScan, 1)
	for i := 0; i < len(group.endpoints); i += step {
		free += max(p.freeSlots(group.endpoints[i]), 0)
		running += group.endpoints[i].running
	}
	return free > 0 && free*1000 >= (free+running)*minSpillHeadroom
}

// isDeadlineUnmeetable reports whether the remaining time is less than half the
// recent minimum latency of the route. An average instead of the minimum would
// refuse small uploads on a route with large ones.
func (s *serviceState) isDeadlineUnmeetable(request *Request) bool {
	return request.Remaining <= 0 || int64(request.Remaining)*1000 < s.minLatency[request.Route.Prefix]/2
}

// observeLatency updates the minimum latency. Slower requests raise it slowly, so
// that an outdated minimum is forgotten.
func (s *serviceState) observeLatency(prefix string, micros int64) {
	previous, isKnown := s.minLatency[prefix]
	if !isKnown || micros < previous {
		s.minLatency[prefix] = micros
		return
	}
	s.minLatency[prefix] = previous + (micros-previous)/minLatencyDivisor
}
