package endpoint

import (
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"baobabladder.example/baobabladder/internal/base/clock"
	wire "baobabladder.example/baobabladder/internal/wire/endpoint"
	"baobabladder.example/baobabladder/internal/world/key"
)

// Counts is what reached an endpoint so far.
type Counts struct {
	// Runs counts requests that began to run, Shed those refused for want of a
	// slot, Late those whose deadline had passed on arrival.
	Runs int64 `json:"runs"`
	Shed int64 `json:"shed"`
	Late int64 `json:"late"`
	// Failed and Cancelled count runs that ended without their answer.
	Failed    int64 `json:"failed"`
	Cancelled int64 `json:"cancelled"`
	// CutUploads counts requests whose body ended too early; they did not run.
	TruncatedUploads int64 `json:"cut_uploads"`
	// PeakRunning is the most requests that held a slot at once.
	PeakRunning int `json:"peak_running"`
	// Connections is how many are open now.
	Connections        int   `json:"connections"`
	PeakConnections    int   `json:"peak_connections"`
	RefusedConnections int64 `json:"refused_connections"`
	// KeySeen says that a caller's key reached the endpoint.
	KeySeen bool `json:"key_seen"`
	// Orders counts the runs of each order id.
	OrderRuns map[string]int `json:"orders"`
	// UploadBytes sums the bodies of requests without an order id; Uploads lists
	// those bodies' digests, in order of arrival.
	UploadBytes int64    `json:"upload_bytes"`
	Uploads     []Upload `json:"uploads"`
	// LeavingRuns counts runs begun since the endpoint began to leave, and
	// LastLeavingRun says how long after that the last of them began.
	RunsWhileLeaving    int64        `json:"leaving_runs"`
	LastRunWhileLeaving clock.Millis `json:"last_leaving_run_ms"`
}

// Upload is one body received whole.
type Upload struct {
	Path   string `json:"path"`
	Bytes  int64  `json:"bytes"`
	Digest string `json:"digest"`
}

// maxUploads is how many uploads are listed; later ones are only summed.
const maxUploads = 10_000

// Counts returns a copy of what reached the endpoint.
func (e *Endpoint) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.OrderRuns = maps.Clone(e.counts.OrderRuns)
	counts.Uploads = slices.Clone(e.counts.Uploads)
	return counts
}

// OrderRuns returns how often the order with the given id ran.
func (e *Endpoint) OrderRuns(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts.OrderRuns[id]
}

func (e *Endpoint) count(change func(counts *Counts)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.counts)
}

// countRun notes that a request begins to run.
func (e *Endpoint) countRun(request *http.Request, size int64, digest string) {
	order := request.Header.Get(wire.OrderIDHeader)
	now := e.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Runs++
	if e.faults.Leaving {
		e.counts.RunsWhileLeaving++
		e.counts.LastRunWhileLeaving = now - e.leavingAt
	}
	switch {
	case order != "":
		if e.counts.OrderRuns == nil {
			e.counts.OrderRuns = map[string]int{}
		}
		e.counts.OrderRuns[order]++
	case size > 0:
		e.counts.UploadBytes += size
		if len(e.counts.Uploads) < maxUploads {
			e.counts.Uploads = append(e.counts.Uploads, Upload{request.URL.Path, size, digest})
		}
	}
}

// noteHead looks for a key in a request's head, for servers that are not
// started by Serve, which looks at every byte.
func (e *Endpoint) noteHead(request *http.Request) {
	uri, err := url.QueryUnescape(request.RequestURI)
	seen := strings.Contains(request.RequestURI, key.Prefix) || (err == nil && strings.Contains(uri, key.Prefix))
	for _, values := range request.Header {
		seen = seen || strings.Contains(strings.Join(values, "\n"), key.Prefix)
	}
	if seen {
		e.count(func(c *Counts) { c.KeySeen = true })
	}
}
