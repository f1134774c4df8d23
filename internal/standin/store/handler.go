package store

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"

	"baobabladder.example/baobabladder/internal/base/clock"
	wire "baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// watchDelayPollInterval is how often a waiting watch checks whether a change hidden by
// Faults.WatchDelay has become visible.
const watchDelayPollInterval = 10 * clock.Millis(1)

// Handler returns the HTTP handler of the store's API and, under /standin/, of the
// control API of the stand-in.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{key...}", s.withFaults(CallGet, s.serveGet))
	mux.HandleFunc("PUT /v1/objects/{key...}", s.withFaults(CallPut, s.servePut))
	mux.HandleFunc("DELETE /v1/objects/{key...}", s.withFaults(CallRemove, s.serveRemove))
	mux.HandleFunc("GET /v1/objects", s.withFaults(CallList, s.serveList))
	mux.HandleFunc("GET /v1/watch", s.withFaults(CallWatch, s.serveWatch))
	mux.HandleFunc("GET /v1/vms", s.withFaults(CallVMs, s.serveVMs))
	mux.HandleFunc("PUT /standin/vms/{name}", s.controlPutVM)
	mux.HandleFunc("DELETE /standin/vms/{name}", func(_ http.ResponseWriter, request *http.Request) {
		s.RemoveVM(request.PathValue("name"))
	})
	mux.HandleFunc("PUT /standin/faults", s.controlFaults)
	mux.HandleFunc("GET /standin/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
	mux.HandleFunc("GET /standin/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.CallCounts()) })
	return mux
}

// withFaults wraps an API handler so that faults and the budget apply before it runs.
func (s *Store) withFaults(kind CallKind, serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		faults := s.Faults()
		if slices.Contains(faults.BlockedCallers, callerOf(request)) {
			panic(http.ErrAbortHandler)
		}
		if faults.Delay > 0 && clock.Sleep(request.Context(), faults.Delay) != nil {
			return
		}
		if faults.Unavailable {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !s.meter.admit(s.Clock.Now(), kind, s.Budget) {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		serve(w, request)
	}
}

func (s *Store) serveGet(w http.ResponseWriter, request *http.Request) {
	object, found := s.get(request.PathValue("key"))
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(wire.VersionHeader, strconv.FormatInt(object.Version, 10))
	_, _ = w.Write(object.Value)
}

func (s *Store) servePut(w http.ResponseWriter, request *http.Request) {
	value, err := io.ReadAll(io.LimitReader(request.Body, wire.MaxValueBytes+1))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(value) > wire.MaxValueBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	s.serveUpdate(w, request, wire.Object{Key: request.PathValue("key"), Value: value})
}

func (s *Store) serveRemove(w http.ResponseWriter, request *http.Request) {
	s.serveUpdate(w, request, wire.Object{Key: request.PathValue("key"), Deleted: true})
}

func (s *Store) serveUpdate(w http.ResponseWriter, request *http.Request, object wire.Object) {
	ifVersion, err := strconv.ParseInt(request.Header.Get(wire.VersionHeader), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	version, updated := s.update(object, ifVersion)
	if !updated {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	if s.consumeLostReply(object.Key) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(wire.VersionHeader, strconv.FormatInt(version, 10))
}

func (s *Store) serveList(w http.ResponseWriter, request *http.Request) {
	listing, _ := s.changesSince([]string{request.URL.Query().Get("prefix")}, 0, 0)
	listing.Objects = slices.DeleteFunc(listing.Objects, func(object wire.Object) bool { return object.Deleted })
	sort.Slice(listing.Objects, func(i, j int) bool { return listing.Objects[i].Key < listing.Objects[j].Key })
	writeJSON(w, listing)
}

func (s *Store) serveWatch(w http.ResponseWriter, request *http.Request) {
	s.meter.addWaiting(1)
	defer s.meter.addWaiting(-1)
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMillis, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	waitCtx, cancel := context.WithTimeout(request.Context(), clock.Millis(waitMillis).Duration())
	defer cancel()
	for {
		faults := s.Faults()
		if faults.Unavailable {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if slices.Contains(faults.BlockedCallers, callerOf(request)) {
			panic(http.ErrAbortHandler)
		}
		listing, changed := s.changesSince(query["prefix"], after, faults.WatchDelay)
		if !faults.WatchStall && (len(listing.Objects) > 0 || waitCtx.Err() != nil) {
			if faults.WatchReorder && len(listing.Objects) > 0 {
				listing = s.reorder(listing)
			}
			writeJSON(w, listing)
			return
		}
		if !s.awaitChange(request.Context(), waitCtx, changed, faults) {
			return
		}
	}
}

// awaitChange blocks until the watch must check for changes again: after a change of
// objects or faults, after watchDelayPollInterval if changes are delayed, or when
// waitCtx ends. Stalled watches ignore waitCtx. It returns false if the caller
// cancelled the request.
func (s *Store) awaitChange(ctx, waitCtx context.Context, changed chan struct{}, faults Faults) bool {
	var delayPoll <-chan struct{}
	if faults.WatchDelay > 0 {
		poll, cancel := context.WithTimeout(ctx, watchDelayPollInterval.Duration())
		defer cancel()
		delayPoll = poll.Done()
	}
	waitDone := waitCtx.Done()
	if faults.WatchStall {
		waitDone = nil
	}
	select {
	case <-changed:
	case <-delayPoll:
	case <-waitDone:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

func (s *Store) serveVMs(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, wire.VMList{VMs: s.VMs()})
}

func (s *Store) controlPutVM(w http.ResponseWriter, request *http.Request) {
	var v vm.VM
	if readJSON(w, request, &v) {
		v.Name = request.PathValue("name")
		s.PutVM(v)
	}
}

func (s *Store) controlFaults(w http.ResponseWriter, request *http.Request) {
	var faults Faults
	if readJSON(w, request, &faults) {
		s.SetFaults(faults)
	}
}

func readJSON(w http.ResponseWriter, request *http.Request, into any) bool {
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
