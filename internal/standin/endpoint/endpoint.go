// Package endpoint stands in for a firm's endpoint: an HTTP server with a fixed
// number of slots and connections, a seeded service time, a cold start and load
// reports, that echoes the request's id. It goes wrong on command and counts
// what reached it.
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

// DigestHeader in an answer holds the SHA-256 of the request's body, in
// hexadecimal.
const DigestHeader = "Body-Digest"

// ReportPath is where an endpoint reports its load.
const ReportPath = "/-/report"

// Endpoint is the stand-in. Its zero value answers at once without a limit. Its
// exported fields are set before the first request.
type Endpoint struct {
	Clock   clock.Clock
	Name    string
	Version string
	// Slots is how many requests run at once; 0 is without limit.
	Slots int
	// ServiceTime is how long a request takes, give or take Spread percent.
	ServiceTime   clock.Millis
	JitterPercent int
	// Seed starts the sequence of service times.
	Seed uint64
	// ByPath draws the service time from the request's path, so that a request
	// takes the same time at every endpoint and in every run.
	ServiceTimeByPath bool
	// OnArrival, if set, is called with the path of each request that comes.
	OnArrival func(path string)
	// ColdRuns is how many requests it takes to warm up. The first is slower by
	// ColdPercent; the surcharge falls evenly to nothing.
	WarmUpRequests    int
	WarmUpSlowPercent int
	// MaxConnections is how many connections are held; 0 is without limit.
	MaxConnections int
	// ConnectionCost is the time that each new connection takes, one by one.
	AcceptDelay clock.Millis

	mu sync.Mutex
	// counts is what happened so far. Guarded by mu.
	counts Counts
	// running is how many requests hold a slot. Guarded by mu.
	running int
	// coldFrom is the number of runs at the last cold start. Guarded by mu.
	coldFrom int
	// service draws service times; nil before the first. Guarded by mu.
	service *rand.Rand
	// faults are in force since faultsAt. Guarded by mu.
	faults   Faults
	faultsAt clock.Millis
	// leavingAt is when the endpoint began to leave. Guarded by mu.
	leavingAt clock.Millis
	// answered counts answers to requests that ran; lastID and lastBody are of
	// the last one. Guarded by mu.
	answered int
	lastID   string
	lastBody string
	// reports holds past loads, oldest first. Guarded by mu.
	reports []loadAt
}

var errDeadline = errors.New("the deadline passed")

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	e.noteHead(request)
	switch {
	case request.URL.Path == ReportPath:
		writeJSON(w, e.Report())
	case e.isControl(w, request):
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
		refuse(w, "shed")
		return
	}
	defer e.release()
	ctx, cancel, inTime := withDeadline(request)
	defer cancel()
	if !inTime {
		e.count(func(c *Counts) { c.Late++ })
		refuse(w, "deadline")
		return
	}
	size, digest, err := e.readBody(request)
	if err != nil {
		e.count(func(c *Counts) { c.TruncatedUploads++ })
		return
	}
	e.countRun(request, size, digest)
	fault := e.versionFault(request.URL.Path)
	if err := clock.Sleep(ctx, e.serviceTime(fault, request.URL.Path)); err != nil {
		e.count(func(c *Counts) { c.Cancelled++ })
		if errors.Is(err, context.DeadlineExceeded) {
			http.Error(w, errDeadline.Error(), http.StatusGatewayTimeout)
		}
		return
	}
	if fault.Fail {
		e.count(func(c *Counts) { c.Failed++ })
		http.Error(w, "the version is broken", http.StatusInternalServerError)
		return
	}
	w.Header().Set(DigestHeader, digest)
	e.answer(w, request, fmt.Sprintf("%s %s %s %d\n", e.Name, e.Version, request.URL.Path, size))
}

// refuse answers that the request did not run.
func refuse(w http.ResponseWriter, why string) {
	w.Header().Set(wire.NotRunHeader, why)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// acquire takes a slot.
func (e *Endpoint) acquire() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Slots > 0 && e.running >= e.Slots {
		e.counts.Shed++
		return false
	}
	e.running++
	e.counts.PeakRunning = max(e.counts.PeakRunning, e.running)
	e.noteLoad()
	return true
}

func (e *Endpoint) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.noteLoad()
}

// withDeadline bounds the request's context by its deadline header.
func withDeadline(request *http.Request) (ctx context.Context, cancel context.CancelFunc, inTime bool) {
	left, err := strconv.ParseInt(request.Header.Get(wire.DeadlineHeader), 10, 64)
	if err != nil {
		return request.Context(), func() {}, true
	}
	ctx, cancel = context.WithTimeout(request.Context(), clock.Millis(left).Duration())
	return ctx, cancel, left > 0
}

// readBody takes the whole body and returns its size and digest.
func (e *Endpoint) readBody(request *http.Request) (size int64, digest string, err error) {
	hash := sha256.New()
	size, err = io.Copy(hash, request.Body)
	return size, hex.EncodeToString(hash.Sum(nil)), err
}

// Running returns how many requests hold a slot.
func (e *Endpoint) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// ResetWarmUp makes the endpoint as cold as after a start.
func (e *Endpoint) ResetWarmUp() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldFrom = int(e.counts.Runs)
}

// PathServiceTime returns the service time that ByPath gives a path at a warm endpoint.
func (e *Endpoint) PathServiceTime(path string) clock.Millis {
	return e.ServiceTime * clock.Millis(100+e.pathSpread(path)) / 100
}

// pathSpread draws a path's deviation in percent.
func (e *Endpoint) pathSpread(path string) int {
	if e.JitterPercent == 0 {
		return 0
	}
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, path)
	return rand.New(rand.NewPCG(hash.Sum64(), 0)).IntN(2*e.JitterPercent+1) - e.JitterPercent
}

// serviceTime draws the next service time.
func (e *Endpoint) serviceTime(fault VersionFault, path string) clock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	percent := 100 + fault.SlowPercent + e.spread(path)
	if run := int(e.counts.Runs) - e.coldFrom; run <= e.WarmUpRequests {
		percent += e.WarmUpSlowPercent * (e.WarmUpRequests - run + 1) / e.WarmUpRequests
	}
	return e.ServiceTime * clock.Millis(percent) / 100
}

// spread draws a request's deviation in percent. Callers hold mu.
func (e *Endpoint) spread(path string) int {
	switch {
	case e.ServiceTimeByPath:
		return e.pathSpread(path)
	case e.JitterPercent == 0:
		return 0
	case e.service == nil:
		e.service = rand.New(rand.NewPCG(e.Seed, 0))
	}
	return e.service.IntN(2*e.JitterPercent+1) - e.JitterPercent
}
