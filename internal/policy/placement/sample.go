package placement

import "baobabladder.example/baobabladder/internal/base/clock"

const (
	// maxFullScan is the size up to which all endpoints of a group are compared.
	// Larger groups are sampled, so that the cost of a selection does not depend on
	// the size.
	maxFullScan = 24
	// sampleSize is the number of endpoints that are compared in a sample.
	sampleSize = 8
	// fullScanInterval is how often a large group is searched completely after a
	// sample found no free slot.
	fullScanInterval = 10 * clock.Millis(1)
)

// cheapest returns the endpoint of a group with the lowest cost among those with a
// free slot, or nil. The caller must hold mu.
func (p *Placer) cheapest(group *endpointGroup, request *Request, now clock.Millis) (chosen *endpointState) {
	group.choiceCount++
	group.isExploring = group.choiceCount%exploreInterval == 0
	defer func() { group.isExploring = false }()
	if len(group.endpoints) <= maxFullScan {
		for _, e := range group.endpoints {
			chosen = p.cheaper(chosen, e, request, now)
		}
		return chosen
	}
	p.refillCandidates(group, 2)
	chosen = p.sampleCandidates(group, request, now)
	if chosen == nil && (!group.wasScanned || now-group.fullScanAt >= fullScanInterval) {
		group.wasScanned, group.fullScanAt = true, now
		p.refillCandidates(group, len(group.endpoints))
		chosen = p.sampleCandidates(group, request, now)
	}
	return chosen
}

// cheaper returns e if it is usable, has a free slot and costs less than chosen,
// which may be nil. Otherwise it returns chosen.
func (p *Placer) cheaper(chosen, e *endpointState, request *Request, now clock.Millis) *endpointState {
	if !e.isUsable(now) || isExcluded(request.ExcludedEndpoints, e) || p.freeSlots(e) < 1 {
		return chosen
	}
	if chosen == nil || e.cost(now) < chosen.cost(now) {
		return e
	}
	return chosen
}

// refillCandidates checks the next count endpoints and adds those with free slots
// to the candidates.
func (p *Placer) refillCandidates(group *endpointGroup, count int) {
	for range count {
		index := group.scanCursor
		group.scanCursor = (group.scanCursor + 1) % len(group.endpoints)
		if !group.isCandidate[index] && group.endpoints[index].isOpen && p.freeSlots(group.endpoints[index]) > 0 {
			group.isCandidate[index] = true
			group.candidates = append(group.candidates, int32(index))
		}
	}
}

// sampleCandidates compares some random candidates and removes those that are
// full. Each candidate is removed at most once for each time it was added, so
// the amortized cost of a call is constant.
func (p *Placer) sampleCandidates(group *endpointGroup, request *Request, now clock.Millis) (chosen *endpointState) {
	for compared := 0; compared < sampleSize && len(group.candidates) > 0; {
		index := int(p.nextRandom() % uint64(len(group.candidates)))
		e := group.endpoints[group.candidates[index]]
		if !e.isOpen || p.freeSlots(e) < 1 {
			last := len(group.candidates) - 1
			group.isCandidate[group.candidates[index]] = false
			group.candidates[index] = group.candidates[last]
			group.candidates = group.candidates[:last]
			continue
		}
		compared++
		chosen = p.cheaper(chosen, e, request, now)
	}
	return chosen
}
