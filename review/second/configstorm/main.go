// Command configstorm shows what happens to the memory of entry VMs while a large
// configuration changes in quick succession.
package main

import (
	"errors"
	"flag"
	"fmt"
	"strings"
	"sync"
	"time"

	"baobabladder.example/baobabladder/review/second/trial"
)

const (
	// routes is how many routes the configuration has grown by.
	routes = 1400
	// memoryMB is the memory of a VM.
	memoryMB = 184
	// A storm has stormChanges changes, stormGap apart. The next one begins stormPause later.
	storms       = 22
	stormChanges = 25
	stormGap     = 60 * time.Millisecond
	stormPause   = 2500 * time.Millisecond
	// Without the disruption a change comes each calmGap.
	calmGap = 10 * time.Second
	runTime = 100 * time.Second
	// callers is the number of callers of each VM; a request runs for work.
	callers  = 8
	work     = 300 * time.Millisecond
	deadline = 4 * time.Second
	// restartDelay is how long the platform takes to restart a process that has ended.
	restartDelay = 500 * time.Millisecond
	// maxLost is how many requests the rule lets a VM lose.
	maxLost = 3
)

func main() {
	record := flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	trial.Run(*record, run)
}

// config returns a version of the configuration. Versions differ in the timeout of a route.
func config(version int) string {
	text := &strings.Builder{}
	fmt.Fprintf(text, `{"version":"%08x","routes":[{"name":"r-read","host":"jepu9.example","path_prefix":"/lepu270/","kind":"idempotent","timeout":"%dms","target_latency":"600ms","priority":2,"service":"huvo11a","max_attempts":2,"public":false,"sticky":false,"home_regions":[]}`,
		version, 4000+version%2)
	for i := range routes {
		fmt.Fprintf(text, `,{"name":"r-added-%04d-%s","host":"jepu9.example","path_prefix":"/added%04d/%s/","kind":"idempotent","timeout":"4000ms","target_latency":"600ms","priority":2,"service":"huvo11a","max_attempts":2,"public":false,"sticky":true,"home_regions":[]}`,
			i, strings.Repeat("n", 40), i, strings.Repeat("p", 40))
	}
	text.WriteString(`],"services":[{"name":"huvo11a","health_path":"/health","max_conns":330,"cold_start":"3s","cold_per_s":6.9}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},
"tenants":[{"name":"yefi830","api_keys":["tnfzs989anu6wsjnbanf"],"priority":0,"rate_per_s":0,"burst":0,"home_regions":[]}]}`)
	return text.String()
}

// script holds what the platform and the callers have seen.
type script struct {
	trial     *trial.Trial
	endpoints []*trial.Endpoint
	stop      chan struct{}

	mu sync.Mutex
	// sent counts the requests, statuses the answers by status, lost the requests on kept connections that were
	// passed on and whose connection ended without an answer, by VM, and killed how often a VM
	// was over its memory. All are guarded by mu.
	sent     int
	statuses map[int]int
	lost     map[string]int
	killed   map[string]int
}

func run(t *trial.Trial) (held bool, err error) {
	s := &script{trial: t, stop: make(chan struct{}), statuses: map[int]int{}, lost: map[string]int{}, killed: map[string]int{}}
	t.MemoryMB = memoryMB
	text := config(1)
	t.Printf("the configuration has %d routes and %d bytes", routes+1, len(text))
	t.Store.Put("config", "main", text)
	for i := range 6 {
		endpoint, err := t.StartEndpoint(fmt.Sprint("i-", i), "huvo11a", []string{"mvd-a", "lit-a"}[i%2], 6, work)
		if err != nil {
			return false, err
		}
		s.endpoints = append(s.endpoints, endpoint)
	}
	var vms []*trial.VM
	for i, dataCentre := range []string{"mvd-a", "lit-a"} {
		vm, err := t.StartVM(fmt.Sprintf("front-%s-%d", dataCentre, i+1), dataCentre)
		if err != nil {
			return false, err
		}
		vms = append(vms, vm)
	}
	for _, vm := range vms {
		if err := vm.AwaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	var group sync.WaitGroup
	for _, vm := range vms {
		group.Go(func() { s.watchMemory(vm) })
		for range callers {
			group.Go(func() { s.call(vm) })
		}
	}
	s.changeConfig()
	close(s.stop)
	group.Wait()
	if s.statuses[200] == 0 {
		return false, errors.New("no request was served")
	}
	ran := 0
	for _, endpoint := range s.endpoints {
		ran += endpoint.RunCount()
	}
	t.Printf("requests sent: %d, run: %d", s.sent, ran)
	t.Printf("answers by status: %v; killed over %d MB, by VM: %v; passed on and closed without an answer, by VM: %v", s.statuses, memoryMB, s.killed, s.lost)
	lost := 0
	for _, count := range s.lost {
		lost += count
	}
	return lost <= maxLost, nil
}

// changeConfig writes versions of the configuration for runTime.
func (s *script) changeConfig() {
	begin, version, storm := time.Now(), 1, 0
	for time.Since(begin) < runTime {
		if !s.trial.HasTrouble {
			time.Sleep(calmGap)
			version++
			s.trial.Store.Put("config", "main", config(version))
			continue
		}
		if storm++; storm > storms {
			time.Sleep(time.Second)
			continue
		}
		for range stormChanges {
			version++
			s.trial.Store.Put("config", "main", config(version))
			time.Sleep(stormGap)
		}
		time.Sleep(stormPause)
	}
	s.trial.Printf("the configuration was changed %d times", version-1)
}

// watchMemory kills a process that is over the memory of its machine, as the platform does, and
// starts it again.
func (s *script) watchMemory(vm *trial.VM) {
	peak, reported := 0, time.Now()
	for !s.isStopped() {
		time.Sleep(20 * time.Millisecond)
		resident := vm.ResidentMB()
		peak = max(peak, resident)
		if time.Since(reported) > 10*time.Second {
			reported = time.Now()
			s.mu.Lock()
			s.trial.Printf("%s: %d MB, most so far %d MB; requests so far at all VMs: sent %d, answered by status %v", vm.Name, resident, peak, s.sent, s.statuses)
			s.mu.Unlock()
		}
		if resident <= memoryMB {
			continue
		}
		s.trial.Printf("%s: %d MB is over its memory of %d MB, the platform kills it", vm.Name, resident, memoryMB)
		vm.Kill()
		s.mu.Lock()
		s.killed[vm.Name]++
		s.mu.Unlock()
		time.Sleep(restartDelay)
		if err := vm.Start(); err != nil {
			s.trial.Printf("%s: %v", vm.Name, err)
			return
		}
	}
	s.trial.Printf("%s: most %d MB", vm.Name, peak)
}

func (s *script) isStopped() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// call sends requests on kept connections.
func (s *script) call(vm *trial.VM) {
	for !s.isStopped() {
		connection, err := trial.Dial(vm)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for isKept := false; !s.isStopped(); isKept = true {
			answer := connection.Get("/lepu270/2f", deadline)
			s.record(vm, answer, isKept)
			if answer.Status == 0 || answer.IsClosing {
				break
			}
			if answer.Status != 200 {
				time.Sleep(200 * time.Millisecond)
			}
		}
		connection.Close()
	}
}

func (s *script) record(vm *trial.VM, answer trial.Answer, isKept bool) {
	hasArrived := false
	for _, endpoint := range s.endpoints {
		hasArrived = hasArrived || endpoint.HasArrived(answer.ID)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	switch {
	case answer.Status != 0:
		s.statuses[answer.Status]++
	case isKept && hasArrived:
		s.lost[vm.Name]++
		s.trial.Printf("request %s at %s: passed on, and its kept connection closed without an answer: %v", answer.ID, vm.Name, answer.Err)
	}
}
