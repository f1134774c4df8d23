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
	// Address is where it listens.
	Address string
	Slots   int
	// Work is how long a request runs.
	Work time.Duration

	// slots has an element for each request that runs.
	slots chan struct{}

	mu sync.Mutex
	// arrived and ran hold the ids of the requests whose head came, and which ran, and arrivedAt
	// when the head came. running and waiting count those that run, and those that wait for a
	// slot. All are guarded by mu.
	arrived, ran     map[string]int
	arrivedAt        map[string]time.Time
	running, waiting int
}

// waitingPerSlot is how many requests wait for a slot of an endpoint, by slot, as in the site
// files.
const waitingPerSlot = 3

// StartEndpoint starts an endpoint and registers it in the store.
func (t *Trial) StartEndpoint(id, service, dataCentre string, slots int, work time.Duration) (e *Endpoint, err error) {
	e = &Endpoint{ID: id, Service: service, Slots: slots, Work: work, slots: make(chan struct{}, slots), arrived: map[string]int{}, ran: map[string]int{}, arrivedAt: map[string]time.Time{}}
	address, stop, err := standin.Serve(e)
	if err != nil {
		return nil, err
	}
	e.Address = address
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
	e.arrivedAt[id] = time.Now()
	isFull := e.waiting >= waitingPerSlot*e.Slots
	if !isFull {
		e.waiting++
	}
	e.mu.Unlock()
	if isFull {
		e.writeLoad(w)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	size, err := io.Copy(io.Discard, request.Body)
	if err != nil {
		e.mu.Lock()
		e.waiting--
		e.mu.Unlock()
		return
	}
	if !e.run(request, id) {
		return
	}
	e.writeLoad(w)
	w.Header().Set("Server-Stamp", e.ID+"."+id)
	_, _ = fmt.Fprintf(w, "%s has run %s with %d bytes\n", e.ID, id, size)
}

// run waits for a slot and runs a request. It returns false if the request's connection has
// ended before that.
func (e *Endpoint) run(request *http.Request, id string) bool {
	defer func() { <-e.slots }()
	e.slots <- struct{}{}
	e.mu.Lock()
	e.waiting--
	if request.Context().Err() != nil {
		e.mu.Unlock()
		return false
	}
	e.ran[id]++
	e.running++
	e.mu.Unlock()
	time.Sleep(e.Work)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	return true
}

func (e *Endpoint) writeLoad(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d,100", e.running, e.waiting, e.Slots))
}

// ArrivedAt returns when the head of a request last came to the endpoint; zero if it did not.
func (e *Endpoint) ArrivedAt(id string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrivedAt[id]
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
