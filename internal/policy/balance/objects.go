package balance

import "baobabladder.example/baobabladder/internal/base/clock"

// memory is where an object went last.
type memory struct {
	endpoint string
	at       clock.Millis
	// since is when the object went to the endpoint first, and isAway says that it
	// does not belong there.
	since  clock.Millis
	isAway bool
}

// Relocation tells peers of an object that went to another endpoint than the one to
// which it belongs.
type Relocation struct {
	Endpoint string
	// For is since when, as an age.
	For clock.Millis
}

func (b *Balancer) remember(object, endpoint string, isAway bool, now clock.Millis) {
	if b.memory == nil || len(b.memory) > maxMemory {
		b.memory = map[string]memory{}
	}
	last := b.memory[object]
	if last.endpoint != endpoint {
		last = memory{endpoint: endpoint, since: now, isAway: isAway}
	}
	last.at = now
	b.memory[object] = last
}

// Relocations lists the objects that went away lately.
func (b *Balancer) Relocations() map[string]Relocation {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	away := map[string]Relocation{}
	for object, last := range b.memory {
		if last.isAway && now-last.since < toldSpan && len(away) < maxTold {
			away[object] = Relocation{Endpoint: last.endpoint, For: now - last.since}
		}
	}
	return away
}

// MergeRelocations takes over where a peer sent objects that went away. The last change
// counts.
func (b *Balancer) MergeRelocations(told map[string]Relocation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	for object, away := range told {
		last, known := b.memory[object]
		since := now - away.For
		if known && (last.since >= since || last.endpoint == away.Endpoint) || b.nodes[away.Endpoint] == nil {
			continue
		}
		if b.memory == nil {
			b.memory = map[string]memory{}
		}
		b.memory[object] = memory{endpoint: away.Endpoint, at: now, since: since, isAway: true}
	}
}
