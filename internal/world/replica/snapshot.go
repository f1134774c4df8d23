package replica

import (
	"encoding/json"
	"maps"
	"sort"

	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/world/key"
)

// Service is the document of a service that is currently in force.
type Service struct {
	*document.Service
	Revision int64
}

// Snapshot is an immutable view of a replica.
type Snapshot struct {
	// Revision is the store revision up to which the snapshot is complete.
	Revision int64
	// Services is sorted by name.
	Services []Service
	// Fleet is nil until a fleet document is known.
	Fleet         *document.Fleet
	FleetRevision int64
	// Keys holds the keys by digest. A key counts as withdrawn as soon as its
	// withdrawal is pending.
	Keys map[key.Digest]key.Key
	// Moves holds the encoded state of each service's version move, by service
	// name.
	Moves map[string]json.RawMessage
}

// Service returns the service with the given name, or nil.
func (s *Snapshot) Service(name string) *Service {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	return nil
}

// Match returns the service and route with the longest prefix of path, or nil.
func (s *Snapshot) Match(path string) (service *Service, route *document.Route) {
	for i := range s.Services {
		candidate := s.Services[i].Route(path)
		if candidate != nil && (route == nil || len(candidate.Prefix) > len(route.Prefix)) {
			service, route = &s.Services[i], candidate
		}
	}
	return service, route
}

// publish replaces the snapshot if the copy's content or revision changed. The
// caller must hold mu.
func (r *Replica) publish(changed bool) {
	old := r.Snapshot()
	if !changed {
		if old.Revision != r.revision {
			updated := *old
			updated.Revision = r.revision
			r.snapshot.Store(&updated)
		}
		return
	}
	// Unchanged parts are shared with the old snapshot, which is immutable.
	next := *old
	next.Revision = r.revision
	if r.outdated.documents {
		next.Services, next.Fleet, next.FleetRevision = nil, nil, 0
		for _, parsed := range r.documents {
			next.addDocument(parsed)
		}
		sort.Slice(next.Services, func(i, j int) bool { return next.Services[i].Name < next.Services[j].Name })
	}
	if r.outdated.keys {
		next.Keys = make(map[key.Digest]key.Key, len(r.keys))
		for _, k := range r.keys {
			k.Withdrawn = k.Withdrawn || r.pending[k.ID]
			next.Keys[k.Digest] = k
		}
	}
	if r.outdated.moves {
		next.Moves = maps.Clone(r.moves)
	}
	r.outdated = snapshotParts{}
	r.snapshot.Store(&next)
}

func (s *Snapshot) addDocument(parsed parsedDocument) {
	if parsed.document.Fleet != nil {
		s.Fleet, s.FleetRevision = parsed.document.Fleet, parsed.revision
		return
	}
	s.Services = append(s.Services, Service{Service: parsed.document.Service, Revision: parsed.revision})
}
