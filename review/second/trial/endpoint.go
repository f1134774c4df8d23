package trial

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"baobabladder.example/baobabladder/platform/standin"
)

// Endpoint is a sound instance of a service: it reads the whole request, works, and answers
// with the request's id and its own signature. It keeps no bodies.
type Endpoint struct {
	ID      string
	Service string
	Slots   int
	// Work is how long a request runs.
	Work time.Duration

	mu sync.Mutex
	// arrived and ran hold the ids of the requests whose head came, and which ran. running
	// counts those that run. All are guarded by mu.
	arrived, ran map[string]int
	running      int
}

// StartEndpoint starts an endpoint and registers it in the store.
func (t *Trial) StartEndpoint(id, service, dataCentre string, slots int, work time.Duration) (e *Endpoint, err error) {
	e = &Endpoint{ID: id, Service: service, Slots: slots, Work: work, arrived: map[string]int{}, ran: map[string]int{}}
	address, stop, err := standin.Serve(e)
	if err != nil {
		return nil, err
	}
	t.stops = append(t.stops, stop)
	t.Store.Put("servers", id, standin.EndpointEntry(service, address, dataCentre, "v1", "ready", "0ms", slots))
	return e, nil
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != e.ID {
		w.Header().Set("Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.arrived[id]++
	e.mu.Unlock()
	size, err := io.Copy(io.Discard, request.Body)
	if err != nil {
		return
	}
	running := e.begin(id)
	time.Sleep(e.Work)
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", running-1, e.Slots))
	w.Header().Set("Server-Stamp", e.ID+"."+id)
	_, _ = fmt.Fprintf(w, "%s has run %s with %d bytes\n", e.ID, id, size)
}

func (e *Endpoint) begin(id string) (running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ran[id]++
	e.running++
	return e.running
}

// HasArrived reports whether the head of a request came to the endpoint.
func (e *Endpoint) HasArrived(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrived[id] > 0
}

// Ran returns how often a request ran.
func (e *Endpoint) Ran(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[id]
}

// RunCount returns how many runs there were.
func (e *Endpoint) RunCount() (count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, runs := range e.ran {
		count += runs
	}
	return count
}
