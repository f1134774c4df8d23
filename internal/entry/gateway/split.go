package gateway

import (
	"sync"

	"baobabladder.example/baobabladder/internal/world/routing"
)

// splitter spreads a route's requests over its targets in the proportion of
// their weights, as evenly as whole requests allow. Its zero value is ready.
type splitter struct {
	mu sync.Mutex
	// owed maps a route and target to the requests owed to it. Guarded by mu.
	owed map[string]float64
}

// choose returns the service that gets the route's next request.
func (s *splitter) choose(route *routing.Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owed == nil {
		s.owed = map[string]float64{}
	}
	best, most := "", 0.0
	for _, target := range route.Targets {
		id := route.Name + " " + target.Service
		s.owed[id] += float64(target.Weight) / float64(max(total, 1))
		if best == "" || s.owed[id] > most {
			best, most = target.Service, s.owed[id]
		}
	}
	s.owed[route.Name+" "+best]--
	return best
}
