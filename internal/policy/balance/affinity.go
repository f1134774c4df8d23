package balance

import "baobabladder.example/baobabladder/internal/base/clock"

const (
	// affinityTTL is how long after a request for an object its endpoint counts as
	// warm.
	affinityTTL = 30 * clock.Second
	// maxAffinities bounds the number of stored affinities; all are dropped beyond it.
	maxAffinities = 20_000
	// relocationAnnounceTime is how long a relocation is announced to peers.
	// maxAnnouncedRelocations bounds the relocations in one announcement.
	relocationAnnounceTime  = 2 * clock.Second
	maxAnnouncedRelocations = 64
)

// affinity records the endpoint that last served an object.
type affinity struct {
	endpoint   string
	lastUsedAt clock.Millis
	// firstUsedAt is when the endpoint first served the object. isRelocated reports
	// whether the endpoint is not the object's home.
	firstUsedAt clock.Millis
	isRelocated bool
}

// affinityKey returns the name under which the endpoint that served the request's object is
// stored; empty if there is no object. Requests of a trial have names of their own: they
// must not draw the object away from the old version.
func (r *Request) affinityKey() string {
	if r.Object == "" || !r.Versions.Pack {
		return r.Object
	}
	return r.Object + " " + r.Versions.Only
}

// Relocation announces to peers that an object is served by an endpoint other than its
// home. The peers then send requests for the object to the same endpoint.
type Relocation struct {
	Endpoint string
	// For is how long the endpoint has been serving the object.
	For clock.Millis
}

// recordAffinity records that the endpoint serves the object. The caller must hold mu.
func (b *Balancer) recordAffinity(object, endpoint string, isRelocated bool, now clock.Millis) {
	if b.affinities == nil || len(b.affinities) > maxAffinities {
		b.affinities = map[string]affinity{}
	}
	current := b.affinities[object]
	if current.endpoint != endpoint {
		current = affinity{endpoint: endpoint, firstUsedAt: now, isRelocated: isRelocated}
	}
	current.lastUsedAt = now
	b.affinities[object] = current
}

// Relocations returns the objects that were recently relocated, by object.
func (b *Balancer) Relocations() map[string]Relocation {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	relocations := map[string]Relocation{}
	for object, current := range b.affinities {
		if current.isRelocated && now-current.firstUsedAt < relocationAnnounceTime && len(relocations) < maxAnnouncedRelocations {
			relocations[object] = Relocation{Endpoint: current.endpoint, For: now - current.firstUsedAt}
		}
	}
	return relocations
}

// MergeRelocations adds the relocations that a peer announced. Of several endpoints for
// one object, the one that began to serve it last is kept. Endpoints not in the
// directory are ignored.
func (b *Balancer) MergeRelocations(reported map[string]Relocation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	for object, relocation := range reported {
		current, known := b.affinities[object]
		since := now - relocation.For
		if known && (current.firstUsedAt >= since || current.endpoint == relocation.Endpoint) || b.states[relocation.Endpoint] == nil {
			continue
		}
		if b.affinities == nil {
			b.affinities = map[string]affinity{}
		}
		b.affinities[object] = affinity{endpoint: relocation.Endpoint, lastUsedAt: now, firstUsedAt: since, isRelocated: true}
	}
}
