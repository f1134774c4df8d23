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

// Counts holds statistics of the requests and connections that reached an endpoint.
type Counts struct {
	// Runs counts requests that started to run, Shed those rejected because no slot
	// was free, and Late those whose deadline had passed on arrival.
	Runs int64 `json:"runs"`
	Shed int64 `json:"shed"`
	Late int64 `json:"late"`
	// Failed counts runs that ended with status 500 because of a VersionFault.
	// Cancelled counts runs ended by the caller's cancellation or by the deadline.
	Failed    int64 `json:"failed"`
	Cancelled int64 `json:"cancelled"`
	// TruncatedUploads counts requests whose body ended early. They did not run.
	TruncatedUploads int64 `json:"cut_uploads"`
	// PeakRunning is the highest number of requests that held a slot at once.
	PeakRunning int `json:"peak_running"`
	// Connections is the number of open connections, PeakConnections its highest value,
	// and RefusedConnections the number of connections closed on arrival because
	// MaxConnections were open.
	Connections        int   `json:"connections"`
	PeakConnections    int   `json:"peak_connections"`
	RefusedConnections int64 `json:"refused_connections"`
	// KeySeen is true if a caller's API key reached the endpoint.
	KeySeen bool `json:"key_seen"`
	// OrderRuns counts the runs of each order id.
	OrderRuns map[string]int `json:"orders"`
	// UploadBytes is the total size of the bodies of requests without an order id.
	// Uploads lists these bodies with their digests, in order of arrival.
	UploadBytes int64    `json:"upload_bytes"`
	Uploads     []Upload `json:"uploads"`
	// RunsWhileLeaving counts the runs started while Faults.Leaving was set.
	// LastRunWhileLeaving is the time from the setting of the fault to the start of the
	// last of these runs.
	RunsWhileLeaving    int64        `json:"leaving_runs"`
	LastRunWhileLeaving clock.Millis `json:"last_leaving_run_ms"`
}

// Upload describes a request body that was received completely.
type Upload struct {
	Path   string `json:"path"`
	Bytes  int64  `json:"bytes"`
	Digest string `json:"digest"`
}

// maxListedUploads limits Counts.Uploads. Later uploads only add to UploadBytes.
const maxListedUploads = 10_000

// Counts returns a copy of the endpoint's statistics.
func (e *Endpoint) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.OrderRuns = maps.Clone(e.counts.OrderRuns)
	counts.Uploads = slices.Clone(e.counts.Uploads)
	return counts
}

// OrderRuns returns the number of runs of the order with the given id.
func (e *Endpoint) OrderRuns(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts.OrderRuns[id]
}

func (e *Endpoint) updateCounts(change func(counts *Counts)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.counts)
}

// recordRun counts a request that starts to run. size and digest are those of its body.
func (e *Endpoint) recordRun(request *http.Request, size int64, digest string) {
	order := request.Header.Get(wire.OrderIDHeader)
	now := e.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Runs++
	if e.faults.Leaving {
		e.counts.RunsWhileLeaving++
		e.counts.LastRunWhileLeaving = now - e.leavingSince
	}
	switch {
	case order != "":
		if e.counts.OrderRuns == nil {
			e.counts.OrderRuns = map[string]int{}
		}
		e.counts.OrderRuns[order]++
	case size > 0:
		e.counts.UploadBytes += size
		if len(e.counts.Uploads) < maxListedUploads {
			e.counts.Uploads = append(e.counts.Uploads, Upload{request.URL.Path, size, digest})
		}
	}
}

// scanRequestHead searches a request's URI and header for an API key. It is for endpoints
// that are not served by Serve, which searches every received byte.
func (e *Endpoint) scanRequestHead(request *http.Request) {
	uri, err := url.QueryUnescape(request.RequestURI)
	seen := strings.Contains(request.RequestURI, key.Prefix) || (err == nil && strings.Contains(uri, key.Prefix))
	for _, values := range request.Header {
		seen = seen || strings.Contains(strings.Join(values, "\n"), key.Prefix)
	}
	if seen {
		e.updateCounts(func(c *Counts) { c.KeySeen = true })
	}
}
