// Package placement chooses the endpoint that runs a request. It does no input
// or output: it sees documents, reports and its own counts.
package placement

import (
	"sync"

	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/reason"
)

// Placer picks endpoints and counts what runs on each. Its zero value is ready.
type Placer struct {
	mu sync.Mutex
	// running counts this VM's requests by endpoint name. Guarded by mu.
	running map[string]int
}

// Place takes a slot on the least loaded endpoint of the service. The caller
// gives it back with Release.
func (p *Placer) Place(service *document.Service) (chosen *document.Endpoint, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range service.Endpoints {
		endpoint := &service.Endpoints[i]
		if p.running[endpoint.Name] >= endpoint.Slots {
			continue
		}
		if chosen == nil || p.running[endpoint.Name]*chosen.Slots < p.running[chosen.Name]*endpoint.Slots {
			chosen = endpoint
		}
	}
	if chosen == nil {
		return nil, reason.NotRun(reason.NoEndpoint, 100, "no endpoint of %s has a free slot", service.Name)
	}
	if p.running == nil {
		p.running = map[string]int{}
	}
	p.running[chosen.Name]++
	return chosen, nil
}

// Release gives back the slot that Place took.
func (p *Placer) Release(endpoint *document.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[endpoint.Name]--
}
