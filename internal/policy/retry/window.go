package retry

import (
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
)

const (
	// windowBuckets is the number of buckets that a WindowBudget divides its window
	// into.
	windowBuckets = 20
	// usableFraction is the fraction of the allowed retries that is used. The rest is a
	// margin, because requests arrive at endpoints a little later than they are counted
	// here, perhaps in the next window.
	usableFraction = 0.85
	// restartedFraction is the fraction of the retries by its own requests that a VM uses until
	// FullFrom: with what earlier runs of it may have used within the window, it is all.
	restartedFraction = 1 - usableFraction
)

// WindowBudget limits the retries for each service by all VMs together: in any window
// of length Length there are at most Ratio times the number of requests, plus Slack.
// Each VM applies Ratio to its own requests and uses an equal part of Slack.
type WindowBudget struct {
	Clock  clock.Clock
	Length clock.Millis
	Ratio  float64
	Slack  float64
	// FullFrom is the time from which on this VM uses its whole part of the budget. A VM that has
	// started again does not know what it used within the window before.
	FullFrom clock.Millis

	mu sync.Mutex
	// vms is the number of VMs among which the slack is divided. Guarded by mu.
	vms int
	// rings holds the counts of each service. Guarded by mu.
	rings map[string]*windowRing
}

// windowRing is a ring of buckets; newest is the number of the newest one, counted from
// time 0.
type windowRing struct {
	buckets [windowBuckets]bucket
	newest  int64
}

// SetVMs sets the number of VMs among which the slack is divided.
func (w *WindowBudget) SetVMs(vms int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.vms = vms
}

// RecordRequest counts the first attempt of a request to the service.
func (w *WindowBudget) RecordRequest(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(service).requests++
}

// TakeRetry takes a retry for the service out of the budget and reports whether there
// was one.
func (w *WindowBudget) TakeRetry(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.advance(service)
	var requests, retries int64
	for _, bucket := range w.rings[service].buckets {
		requests += bucket.requests
		retries += bucket.retries
	}
	if float64(retries+1) > w.allowed(requests) {
		return false
	}
	current.retries++
	return true
}

// allowed returns how many retries this VM may make beside the given number of requests. The
// caller must hold mu.
func (w *WindowBudget) allowed(requests int64) float64 {
	byRequests := w.Ratio * float64(requests)
	if w.Clock.Now() < w.FullFrom {
		return restartedFraction * byRequests
	}
	return usableFraction * (byRequests + w.Slack/float64(max(w.vms, 1)))
}

// advance clears the service's buckets that have expired and returns the current one.
// The caller must hold mu.
func (w *WindowBudget) advance(service string) *bucket {
	if w.rings == nil {
		w.rings = map[string]*windowRing{}
	}
	ring := w.rings[service]
	if ring == nil {
		ring = &windowRing{}
		w.rings[service] = ring
	}
	current := int64(w.Clock.Now() * windowBuckets / max(w.Length, 1))
	for cleared := 0; ring.newest < current && cleared < windowBuckets; cleared++ {
		ring.newest++
		ring.buckets[ring.newest%windowBuckets] = bucket{}
	}
	ring.newest = current
	return &ring.buckets[current%windowBuckets]
}
