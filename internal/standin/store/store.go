// Package store stands in for the platform's object store in tests, in the demo
// and in local runs: versions, conditional updates, watches and the lagging list
// of VMs, over the same HTTP calls. It keeps everything in memory.
package store

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	wire "baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// Store is the stand-in. Make it with New.
type Store struct {
	mu sync.Mutex
	// objects holds live objects and removals by key. Guarded by mu.
	objects map[string]wire.Object
	// revision counts changes. Guarded by mu.
	revision int64
	// vms is the platform's list by name. Guarded by mu.
	vms map[string]vm.VM
	// changed is closed and replaced at each change. Guarded by mu.
	changed chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{objects: map[string]wire.Object{}, vms: map[string]vm.VM{}, changed: make(chan struct{})}
}

// ListVM puts an entry into the platform's list or replaces it.
func (s *Store) ListVM(v vm.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms[v.Name] = v
}

// DropVM takes an entry off the platform's list.
func (s *Store) DropVM(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.vms, name)
}

// Handler returns the store's HTTP calls.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{key...}", s.get)
	mux.HandleFunc("PUT /v1/objects/{key...}", s.put)
	mux.HandleFunc("DELETE /v1/objects/{key...}", s.remove)
	mux.HandleFunc("GET /v1/objects", s.list)
	mux.HandleFunc("GET /v1/watch", s.watch)
	mux.HandleFunc("GET /v1/vms", s.listVMs)
	mux.HandleFunc("PUT /standin/vms/{name}", s.putVM)
	mux.HandleFunc("DELETE /standin/vms/{name}", func(w http.ResponseWriter, request *http.Request) {
		s.DropVM(request.PathValue("name"))
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

func (s *Store) get(w http.ResponseWriter, request *http.Request) {
	s.mu.Lock()
	object := s.objects[request.PathValue("key")]
	s.mu.Unlock()
	if object.Version == 0 || object.Deleted {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(wire.VersionHeader, strconv.FormatInt(object.Version, 10))
	_, _ = w.Write(object.Value)
}

func (s *Store) put(w http.ResponseWriter, request *http.Request) {
	value, err := io.ReadAll(io.LimitReader(request.Body, wire.MaxValueBytes+1))
	if err != nil || len(value) > wire.MaxValueBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	s.change(w, request, wire.Object{Key: request.PathValue("key"), Value: value})
}

func (s *Store) remove(w http.ResponseWriter, request *http.Request) {
	s.change(w, request, wire.Object{Key: request.PathValue("key"), Deleted: true})
}

func (s *Store) change(w http.ResponseWriter, request *http.Request, object wire.Object) {
	ifVersion, err := strconv.ParseInt(request.Header.Get(wire.VersionHeader), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	old := s.objects[object.Key]
	if old.Deleted {
		old.Version = 0
	}
	if old.Version != ifVersion {
		s.mu.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.revision++
	object.Version = s.revision
	s.objects[object.Key] = object
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	w.Header().Set(wire.VersionHeader, strconv.FormatInt(object.Version, 10))
}

func (s *Store) list(w http.ResponseWriter, request *http.Request) {
	listing, _ := s.since([]string{request.URL.Query().Get("prefix")}, 0)
	kept := listing.Objects[:0]
	for _, object := range listing.Objects {
		if !object.Deleted {
			kept = append(kept, object)
		}
	}
	listing.Objects = kept
	sort.Slice(kept, func(i, j int) bool { return kept[i].Key < kept[j].Key })
	writeJSON(w, listing)
}

func (s *Store) watch(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMillis, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	wait, cancel := contextFor(request, clock.Millis(waitMillis))
	defer cancel()
	for {
		listing, changed := s.since(query["prefix"], after)
		if len(listing.Objects) > 0 {
			writeJSON(w, listing)
			return
		}
		select {
		case <-changed:
		case <-wait.Done():
			writeJSON(w, listing)
			return
		}
	}
}

// since returns the changes after a revision and a channel that closes at the
// next one.
func (s *Store) since(prefixes []string, after int64) (listing wire.Listing, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listing.Objects = []wire.Object{}
	for key, object := range s.objects {
		if object.Version > after && hasPrefix(key, prefixes) {
			listing.Objects = append(listing.Objects, object)
		}
	}
	sort.Slice(listing.Objects, func(i, j int) bool { return listing.Objects[i].Version < listing.Objects[j].Version })
	listing.Revision = s.revision
	return listing, s.changed
}

func hasPrefix(key string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

func (s *Store) listVMs(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	list := wire.VMList{VMs: []vm.VM{}}
	for _, v := range s.vms {
		list.VMs = append(list.VMs, v)
	}
	s.mu.Unlock()
	sort.Slice(list.VMs, func(i, j int) bool { return list.VMs[i].Name < list.VMs[j].Name })
	writeJSON(w, list)
}

func (s *Store) putVM(w http.ResponseWriter, request *http.Request) {
	var v vm.VM
	if err := json.NewDecoder(request.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v.Name = request.PathValue("name")
	s.ListVM(v)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
