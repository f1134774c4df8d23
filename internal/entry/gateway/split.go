package gateway

import (
	"sync"

	"baobabladder.example/baobabladder/internal/world/routing"
)

// targetSelector distributes a route's requests over its targets by weight, using
// smooth weighted round-robin. Its zero value is ready to use.
type targetSelector struct {
	mu sync.Mutex
	// credit maps "ROUTE SERVICE" to the requests that the target is due: its share
	// of each request, less one for each request that it got. Guarded by mu.
	credit map[string]float64
}

// selectService returns the service that gets the route's next request.
func (s *targetSelector) selectService(route *routing.Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credit == nil {
		s.credit = map[string]float64{}
	}
	best, highest := "", 0.0
	for _, target := range route.Targets {
		id := route.Name + " " + target.Service
		s.credit[id] += float64(target.Weight) / float64(max(total, 1))
		if best == "" || s.credit[id] > highest {
			best, highest = target.Service, s.credit[id]
		}
	}
	s.credit[route.Name+" "+best]--
	return best
}
