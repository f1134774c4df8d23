// Package endpoint stands in for a firm's endpoint: an HTTP server with a fixed
// number of slots and a service time, that echoes the request's id.
package endpoint

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"baobabladder.example/baobabladder/internal/base/clock"
	wire "baobabladder.example/baobabladder/internal/wire/endpoint"
)

// Endpoint is the stand-in. Its zero value answers at once without a limit.
type Endpoint struct {
	Name    string
	Version string
	// Slots is how many requests run at once; 0 is without limit.
	Slots int
	// ServiceTime is how long each request takes.
	ServiceTime clock.Millis

	running atomic.Int64

	mu sync.Mutex
	// orders counts the runs of each order id. Guarded by mu.
	orders map[string]int
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	running := e.running.Add(1)
	defer e.running.Add(-1)
	w.Header().Set(wire.RequestIDHeader, request.Header.Get(wire.RequestIDHeader))
	w.Header().Set(wire.LoadHeader, fmt.Sprintf("%d/%d", running, e.Slots))
	if e.Slots > 0 && running > int64(e.Slots) {
		w.Header().Set(wire.NotRunHeader, "shed")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	size, err := io.Copy(io.Discard, request.Body)
	if err != nil {
		return
	}
	e.count(request.Header.Get(wire.OrderIDHeader))
	if clock.Sleep(request.Context(), e.ServiceTime) != nil {
		return
	}
	fmt.Fprintf(w, "%s %s %s %d\n", e.Name, e.Version, request.URL.Path, size)
}

// Orders returns how often the order with the given id ran.
func (e *Endpoint) Orders(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders[id]
}

func (e *Endpoint) count(order string) {
	if order == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orders == nil {
		e.orders = map[string]int{}
	}
	e.orders[order]++
}
