package retry

import (
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
)

const (
	// windowSpans is the resolution of a Window's count.
	windowSpans = 20
	// windowPart is the part of the bound that is used. A request is counted here
	// when it comes and at endpoints a little later.
	windowPart = 0.85
)

// WindowBudget bounds the second sends to each service over all VMs: in any span of
// time Length they are at most Ratio times the requests plus Slack. Each VM keeps
// to its own requests and to its part of the slack.
type WindowBudget struct {
	Clock  clock.Clock
	Length clock.Millis
	Ratio  float64
	Slack  float64

	mu sync.Mutex
	// vms is among how many VMs the slack is divided. Guarded by mu.
	vms int
	// services holds the counts by service. Guarded by mu.
	services map[string]*windowCounts
}

// windowCounts is a ring of spans; at is the number of the newest.
type windowCounts struct {
	spans [windowSpans]count
	at    int64
}

// SetVMs sets among how many VMs the slack is divided.
func (w *WindowBudget) SetVMs(vms int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.vms = vms
}

// RecordRequest counts a request for a service.
func (w *WindowBudget) RecordRequest(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.roll(service).first++
}

// TakeRetry takes one second send out of the budget and reports whether there was one.
func (w *WindowBudget) TakeRetry(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.roll(service)
	var first, retries int64
	for _, span := range w.services[service].spans {
		first += span.first
		retries += span.retries
	}
	allowed := windowPart * (w.Ratio*float64(first) + w.Slack/float64(max(w.vms, 1)))
	if float64(retries+1) > allowed {
		return false
	}
	current.retries++
	return true
}

// roll forgets the spans that are over. Callers hold mu.
func (w *WindowBudget) roll(service string) *count {
	if w.services == nil {
		w.services = map[string]*windowCounts{}
	}
	counts := w.services[service]
	if counts == nil {
		counts = &windowCounts{}
		w.services[service] = counts
	}
	at := int64(w.Clock.Now() * windowSpans / max(w.Length, 1))
	for gone := 0; counts.at < at && gone < windowSpans; gone++ {
		counts.at++
		counts.spans[counts.at%windowSpans] = count{}
	}
	counts.at = at
	return &counts.spans[at%windowSpans]
}
