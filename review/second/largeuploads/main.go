// Command largeuploads shows what happens to uploads in chunks, of a size inside the limits of
// the configuration, while one workspace sends many times its usual number of them.
package main

import (
	"errors"
	"flag"
	"fmt"
	"sync"
	"time"

	"baobabladder.example/baobabladder/review/second/trial"
)

const (
	// An upload has 16 MiB, a quarter of max_body_bytes, and takes two seconds to send.
	uploadChunks = 256
	chunkBytes   = 64 << 10
	chunkPause   = 7500 * time.Microsecond
	deadline     = 4 * time.Second
	// usualUploads is how many uploads of the workspace are sent at a time, hotFactor how many
	// times as many while it is hot, which it is for hotTime.
	usualUploads = 1
	hotFactor    = 7
	hotTime      = 6500 * time.Millisecond
	usualTime    = 5 * time.Second
	// maxLost is how many requests the rule lets a VM lose.
	maxLost = 3
)

const config = `{"version":"00000007","routes":[
{"name":"r-read","host":"jepu9.example","path_prefix":"/lepu270/","kind":"idempotent","timeout":"3000ms","target_latency":"400ms","priority":2,"service":"huvo11a","max_attempts":2,"public":false,"sticky":false,"home_regions":[]},
{"name":"r-up","host":"jepu9.example","path_prefix":"/fiti832/","kind":"upload","timeout":"4000ms","target_latency":"3000ms","priority":1,"service":"kafi81c","max_attempts":2,"public":false,"sticky":false,"home_regions":[]}],
"services":[{"name":"huvo11a","health_path":"/health","max_conns":330,"cold_start":"3s","cold_per_s":6.9},{"name":"kafi81c","health_path":"/health","max_conns":330,"cold_start":"3s","cold_per_s":6.9}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},
"tenants":[{"name":"yefi830","api_keys":["tnfzs989anu6wsjnbanf"],"priority":0,"rate_per_s":0,"burst":0,"home_regions":[]}]}`

func main() {
	record := flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	trial.Run(*record, run)
}

// script holds what the callers have seen.
type script struct {
	trial     *trial.Trial
	endpoints []*trial.Endpoint

	mu sync.Mutex
	// statuses counts the answers by status, lost the uploads that were passed on and whose
	// connection ended without an answer. Guarded by mu.
	statuses map[int]int
	lost     int
}

func run(t *trial.Trial) (held bool, err error) {
	t.Store.Put("config", "main", config)
	s := &script{trial: t, statuses: map[int]int{}}
	for i := range 6 {
		service := []string{"huvo11a", "kafi81c", "kafi81c"}[i%3]
		endpoint, err := t.StartEndpoint(fmt.Sprint("i-", i), service, "mvd-a", 3, 300*time.Millisecond)
		if err != nil {
			return false, err
		}
		s.endpoints = append(s.endpoints, endpoint)
	}
	vm, err := t.StartVM("front-mvd-a-1", "mvd-a")
	if err != nil {
		return false, err
	}
	if err := vm.AwaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	s.upload(vm, usualUploads, usualTime)
	count := usualUploads
	if t.HasTrouble {
		count = usualUploads * hotFactor
		t.Printf("the workspace sends %d uploads at a time", count)
	}
	s.upload(vm, count, hotTime)
	t.Printf("the workspace sends as usual")
	s.upload(vm, usualUploads, usualTime)
	if s.statuses[200] == 0 {
		return false, errors.New("no upload was served")
	}
	t.Printf("answers by status: %v; passed on and closed without an answer: %d; resident memory at the end: %d MB of %d; the VM runs: %v",
		s.statuses, s.lost, vm.ResidentMB(), trial.MemoryMB, vm.IsRunning())
	return s.lost <= maxLost, nil
}

// upload lets callers send uploads one after the other for a time.
func (s *script) upload(vm *trial.VM, callers int, length time.Duration) {
	var group sync.WaitGroup
	end := time.Now().Add(length)
	for range callers {
		group.Go(func() {
			for time.Now().Before(end) {
				s.uploadOnce(vm)
			}
		})
	}
	group.Wait()
}

// uploadOnce sends a small request and then an upload on one kept connection.
func (s *script) uploadOnce(vm *trial.VM) {
	connection, err := trial.Dial(vm)
	if err != nil {
		s.trial.Printf("no connection: %v", err)
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer connection.Close()
	if first := connection.Get("/lepu270/2f", deadline); first.Status != 200 || first.IsClosing {
		s.trial.Printf("request %s before an upload: status %d, %v", first.ID, first.Status, first.Err)
		return
	}
	begin := time.Now()
	answer := connection.Upload("/fiti832/2f", deadline, uploadChunks, chunkBytes, chunkPause)
	hasArrived, ran := false, 0
	for _, endpoint := range s.endpoints {
		hasArrived = hasArrived || endpoint.HasArrived(answer.ID)
		ran += endpoint.Ran(answer.ID)
	}
	s.trial.Printf("upload %s: status %d after %d ms, at an endpoint: %v, ran: %d, error: %v", answer.ID, answer.Status, time.Since(begin).Milliseconds(), hasArrived, ran, answer.Err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if answer.Status != 0 {
		s.statuses[answer.Status]++
	} else if hasArrived {
		s.lost++
	}
}
