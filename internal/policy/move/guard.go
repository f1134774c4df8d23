package move

import (
	"sort"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
)

// Peers notifies the other VMs of faults. Its methods must not block.
type Peers interface {
	// Suspend sends a suspension to all peers.
	Suspend(suspension Suspension)
	// Report sends this VM's evidence to all peers after a failure.
	Report(evidence []Evidence)
}

// Guard selects the version for each request on one VM and stops using a faulty
// version. Its zero value is ready for use.
type Guard struct {
	Clock clock.Clock
	// VM is the name of this VM.
	VM string
	// Peers may be nil.
	Peers Peers

	mu sync.Mutex
	// services holds the state of each service's move by service. Guarded by mu.
	services map[string]*serviceMove
}

// Update sets the service's document in force and the stored state of its move,
// which is nil if there is none. It ignores the state of an older attempt and a
// state that would resume an attempt that has ended.
func (g *Guard) Update(service *document.Service, state *State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.serviceMove(service.Name)
	now := g.Clock.Now()
	m.updateShare(now)
	m.shiftCap = int64(service.ShiftCap)
	if state == nil || m.isOutdated(state) {
		return
	}
	if m.state == nil || m.state.Attempt != state.Attempt {
		m.startAttempt(state, now)
	}
	if m.state.Step != state.Step {
		m.clearStage()
	}
	m.state = state
}

// Choose returns which versions may run a request of the service on the route. The
// choice must be passed to Record when the request has ended.
func (g *Guard) Choose(service *document.Service, route *document.Route) Choice {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.services[service.Name]
	if len(service.Moves) == 0 {
		return m.choiceWithoutMove()
	}
	ordered := &service.Moves[0]
	if m == nil || m.state == nil || !m.state.decides(ordered) {
		return Choice{To: ordered.To, From: ordered.From}
	}
	m.updateShare(g.Clock.Now())
	return m.choose(route.Prefix)
}

// Suspend applies a suspension from a peer. It reports whether the suspension was
// new.
func (g *Guard) Suspend(suspension Suspension) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.serviceMove(suspension.Service)
	if m.state != nil && suspension.Attempt < m.state.Attempt {
		return false
	}
	if m.suspension != nil && m.suspension.Attempt >= suspension.Attempt {
		return false
	}
	m.updateShare(g.Clock.Now())
	m.suspension = &suspension
	return true
}

// Suspensions returns the suspensions in force, sorted by service.
func (g *Guard) Suspensions() (suspensions []Suspension) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.services {
		if m.suspension != nil {
			suspensions = append(suspensions, *m.suspension)
		}
	}
	sort.Slice(suspensions, func(i, j int) bool { return suspensions[i].Service < suspensions[j].Service })
	return suspensions
}

func (g *Guard) serviceMove(service string) *serviceMove {
	if g.services == nil {
		g.services = map[string]*serviceMove{}
	}
	m := g.services[service]
	if m == nil {
		m = &serviceMove{}
		g.services[service] = m
	}
	return m
}
