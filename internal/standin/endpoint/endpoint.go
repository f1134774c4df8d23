// Package endpoint implements a stand-in for a firm's endpoint: an HTTP server with a
// fixed number of request slots and connections, seeded random service times, and load
// reports. It echoes the request id, injects faults on request, and keeps statistics of
// the requests and connections that reached it.
//
// A slot is the right to run one request; a request that finds none free is shed. After
// a cold start the first requests are slower, until the endpoint is warm.
package endpoint

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	wire "baobabladder.example/baobabladder/internal/wire/endpoint"
)

// DigestHeader is the response header with the SHA-256 digest of the request body, in
// hexadecimal.
const DigestHeader = "Body-Digest"

// ReportPath is the URL path of the load report.
const ReportPath = "/-/report"

// Endpoint is the stand-in for an endpoint. The zero value responds immediately and has
// no limits. Set the exported fields before the first request.
type Endpoint struct {
	Clock   clock.Clock
	Name    string
	Version string
	// Slots is the maximum number of concurrent requests; 0 means unlimited.
	Slots int
	// ServiceTime is the mean time that a request takes at a warm endpoint. Each
	// request deviates from it by up to JitterPercent.
	ServiceTime   clock.Millis
	JitterPercent int
	// Seed seeds the random sequence of service times.
	Seed uint64
	// ServiceTimeByPath derives the deviation from the request path instead of Seed,
	// so that a path takes the same time at every endpoint and in every process.
	ServiceTimeByPath bool
	// OnArrival, if set, is called with the path of each request on arrival, before
	// a slot is requested, except for control and report requests.
	OnArrival func(path string)
	// WarmUpRequests is the number of slower requests after a cold start, which is the
	// start of the endpoint or a call of ResetWarmUp. The first of them takes
	// WarmUpSlowPercent longer; the percentage then falls linearly to 0.
	WarmUpRequests    int
	WarmUpSlowPercent int
	// MaxConnections is the maximum number of open connections; 0 means unlimited.
	MaxConnections int
	// AcceptDelay is the time that it takes to accept one connection. Connections are
	// accepted one after the other.
	AcceptDelay clock.Millis

	mu sync.Mutex
	// counts holds the statistics so far. Guarded by mu.
	counts Counts
	// running is the number of requests that hold a slot. Guarded by mu.
	running int
	// runsAtWarmUpReset was counts.Runs at the last cold start. Guarded by mu.
	runsAtWarmUpReset int
	// jitterSource is the source of random deviations; nil before the first use.
	// Guarded by mu.
	jitterSource *rand.Rand
	// faults holds the current faults, set at faultsSetAt. Guarded by mu.
	faults      Faults
	faultsSetAt clock.Millis
	// leavingSince is the time at which Faults.Leaving was set. Guarded by mu.
	leavingSince clock.Millis
	// responseCount counts the responses to requests that ran. lastID and lastBody are
	// the id and the body of the last one. Guarded by mu.
	responseCount int
	lastID        string
	lastBody      string
	// loadHistory holds past load samples, oldest first. Guarded by mu.
	loadHistory []loadSample
}

var errDeadlineExceeded = errors.New("the deadline passed")

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	e.scanRequestHead(request)
	switch {
	case request.URL.Path == ReportPath:
		writeJSON(w, e.Report())
	case e.serveControl(w, request):
	default:
		e.serve(w, request)
	}
}

func (e *Endpoint) serve(w http.ResponseWriter, request *http.Request) {
	if e.OnArrival != nil {
		e.OnArrival(request.URL.Path)
	}
	admitted := e.acquire()
	w.Header().Set(wire.RequestIDHeader, request.Header.Get(wire.RequestIDHeader))
	w.Header().Set(wire.LoadHeader, e.loadHeader())
	if !admitted {
		writeNotRun(w, "shed")
		return
	}
	defer e.release()
	ctx, cancel, hasTimeLeft := withDeadline(request)
	defer cancel()
	if !hasTimeLeft {
		e.updateCounts(func(c *Counts) { c.Late++ })
		writeNotRun(w, "deadline")
		return
	}
	size, digest, err := e.readBody(request)
	if err != nil {
		e.updateCounts(func(c *Counts) { c.TruncatedUploads++ })
		return
	}
	e.recordRun(request, size, digest)
	fault := e.activeVersionFault(request.URL.Path)
	if err := clock.Sleep(ctx, e.serviceTime(fault, request.URL.Path)); err != nil {
		e.updateCounts(func(c *Counts) { c.Cancelled++ })
		if errors.Is(err, context.DeadlineExceeded) {
			http.Error(w, errDeadlineExceeded.Error(), http.StatusGatewayTimeout)
		}
		return
	}
	if fault.Fail {
		e.updateCounts(func(c *Counts) { c.Failed++ })
		http.Error(w, "the version is broken", http.StatusInternalServerError)
		return
	}
	w.Header().Set(DigestHeader, digest)
	e.writeResponse(w, request, fmt.Sprintf("%s %s %s %d\n", e.Name, e.Version, request.URL.Path, size))
}

// writeNotRun responds with status 503 and the reason why the request did not run.
func writeNotRun(w http.ResponseWriter, reason string) {
	w.Header().Set(wire.NotRunHeader, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// acquire takes a slot. It returns false, and counts the request as shed, if none is
// free.
func (e *Endpoint) acquire() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Slots > 0 && e.running >= e.Slots {
		e.counts.Shed++
		return false
	}
	e.running++
	e.counts.PeakRunning = max(e.counts.PeakRunning, e.running)
	e.recordLoad()
	return true
}

func (e *Endpoint) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.recordLoad()
}

// withDeadline returns the request's context, limited by the remaining milliseconds in
// its deadline header if there is one. hasTimeLeft is false if none remain.
func withDeadline(request *http.Request) (ctx context.Context, cancel context.CancelFunc, hasTimeLeft bool) {
	remaining, err := strconv.ParseInt(request.Header.Get(wire.DeadlineHeader), 10, 64)
	if err != nil {
		return request.Context(), func() {}, true
	}
	ctx, cancel = context.WithTimeout(request.Context(), clock.Millis(remaining).Duration())
	return ctx, cancel, remaining > 0
}

// readBody reads the whole body and returns its size in bytes and its SHA-256 digest.
func (e *Endpoint) readBody(request *http.Request) (size int64, digest string, err error) {
	hash := sha256.New()
	size, err = io.Copy(hash, request.Body)
	return size, hex.EncodeToString(hash.Sum(nil)), err
}

// Running returns the number of requests that hold a slot.
func (e *Endpoint) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// ResetWarmUp makes the endpoint as cold as after its start.
func (e *Endpoint) ResetWarmUp() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runsAtWarmUpReset = int(e.counts.Runs)
}

// PathServiceTime returns the service time of a path at a warm endpoint under
// ServiceTimeByPath.
func (e *Endpoint) PathServiceTime(path string) clock.Millis {
	return e.ServiceTime * clock.Millis(100+e.pathJitter(path)) / 100
}

// pathJitter returns a path's deviation from the service time in percent. It depends on
// the path and JitterPercent only.
func (e *Endpoint) pathJitter(path string) int {
	if e.JitterPercent == 0 {
		return 0
	}
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, path)
	return rand.New(rand.NewPCG(hash.Sum64(), 0)).IntN(2*e.JitterPercent+1) - e.JitterPercent
}

// serviceTime returns the service time of the request that started last, with the
// slowdowns of the fault and of the cold start.
func (e *Endpoint) serviceTime(fault VersionFault, path string) clock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	percent := 100 + fault.SlowPercent + e.jitter(path)
	if run := int(e.counts.Runs) - e.runsAtWarmUpReset; run <= e.WarmUpRequests {
		percent += e.WarmUpSlowPercent * (e.WarmUpRequests - run + 1) / e.WarmUpRequests
	}
	return e.ServiceTime * clock.Millis(percent) / 100
}

// jitter returns a request's deviation from the service time in percent. The caller must
// hold mu.
func (e *Endpoint) jitter(path string) int {
	switch {
	case e.ServiceTimeByPath:
		return e.pathJitter(path)
	case e.JitterPercent == 0:
		return 0
	case e.jitterSource == nil:
		e.jitterSource = rand.New(rand.NewPCG(e.Seed, 0))
	}
	return e.jitterSource.IntN(2*e.JitterPercent+1) - e.JitterPercent
}
