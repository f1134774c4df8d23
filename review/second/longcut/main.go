// Command longcut shows how many requests of one tenant run while a region is cut off from the
// other regions for longer than VMs remember each other.
package main

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"baobabladder.example/baobabladder/review/second/trial"
)

const (
	// rate, burst and the bounds of the site make the limit of a window.
	rate    = 160
	burst   = 160
	overage = 0.1
	slack   = 20
	window  = 5 * time.Second
	// usualRate is how many requests a second the callers of each VM send, hotFactor how many
	// times as many while the tenant is hot.
	usualRate = 20
	hotFactor = 7.5
	hotTime   = 6500 * time.Millisecond
	// cutTime is how long the region is cut off before the tenant is hot.
	cutTime = 40 * time.Second
	// entryTime is after how long the store removes the entry of an endpoint that is silent.
	entryTime = 4500 * time.Millisecond
	work      = 20 * time.Millisecond
	// cutDataCentre is the data centre of the region that loses the others. The store is elsewhere.
	cutDataCentre = "est-a"
)

const config = `{"version":"00000007","routes":[
{"name":"r-read","host":"jepu9.example","path_prefix":"/lepu270/","kind":"idempotent","timeout":"3000ms","target_latency":"400ms","priority":2,"service":"huvo11a","max_attempts":2,"public":false,"sticky":false,"home_regions":[]}],
"services":[{"name":"huvo11a","health_path":"/health","max_conns":330,"cold_start":"3s","cold_per_s":6.9}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},
"tenants":[{"name":"yefi830","api_keys":["tnfzs989anu6wsjnbanf"],"priority":0,"rate_per_s":160,"burst":160,"home_regions":[]}]}`

func main() {
	record := flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	trial.Run(*record, run)
}

// request is a request of the tenant, as its caller has seen it.
type request struct {
	id, vm string
	sentAt time.Time
	status int
}

// second counts the requests that were sent in a second.
type second struct {
	sent     int
	answered map[int]int
	ran      map[string]int
}

// script holds what the callers have seen.
type script struct {
	trial     *trial.Trial
	endpoints []*trial.Endpoint

	mu sync.Mutex
	// requests is guarded by mu.
	requests []request
}

func run(t *trial.Trial) (held bool, err error) {
	s := &script{trial: t}
	t.Store.Put("config", "main", config)
	dataCentres := []string{"mvd-a", "lit-a", "est-a"}
	network, ofRegion := t.NewNetwork(), []string{}
	for i := range 6 {
		endpoint, err := t.StartEndpoint(fmt.Sprint("i-", i), "huvo11a", dataCentres[i%3], 30, work)
		if err != nil {
			return false, err
		}
		s.endpoints = append(s.endpoints, endpoint)
		network.AddEndpoint(endpoint)
		if dataCentres[i%3] == cutDataCentre {
			ofRegion = append(ofRegion, endpoint.ID)
		}
	}
	var vms []*trial.VM
	for _, dataCentre := range dataCentres {
		vm, err := network.StartVM("front-"+dataCentre+"-1", dataCentre)
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
	time.Sleep(5 * time.Second)
	if t.HasTrouble {
		t.Printf("the region of %s loses the others: VMs, endpoints and the store", vms[2].Name)
		network.Cut(append(ofRegion, vms[2].Name)...)
	}
	s.send(vms, usualRate, entryTime)
	if t.HasTrouble {
		t.Printf("the store removes the entries of %v, which it has not heard for three heartbeats", ofRegion)
		for _, id := range ofRegion {
			t.Store.Remove("servers", id)
		}
	}
	s.send(vms, usualRate, cutTime-entryTime)
	t.Printf("the tenant sends %.1f times its usual", hotFactor)
	s.send(vms, usualRate*hotFactor, hotTime)
	return s.check(vms)
}

// send sends requests to each VM at a rate for a time.
func (s *script) send(vms []*trial.VM, perSecond float64, length time.Duration) {
	var group sync.WaitGroup
	for _, vm := range vms {
		client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
		ticker, end := time.NewTicker(time.Duration(float64(time.Second)/perSecond)), time.Now().Add(length)
		group.Go(func() {
			defer ticker.Stop()
			for now := range ticker.C {
				if now.After(end) {
					return
				}
				group.Go(func() { s.sendOnce(client, vm) })
			}
		})
	}
	group.Wait()
}

func (s *script) sendOnce(client *http.Client, vm *trial.VM) {
	sent := request{id: trial.NewID(), vm: vm.Name, sentAt: time.Now()}
	call, err := http.NewRequest(http.MethodGet, "http://"+vm.CallerAddress+"/lepu270/2f", nil)
	if err != nil {
		return
	}
	call.Host = trial.Host
	call.Header.Set("Request-Id", sent.id)
	call.Header.Set("Deadline-Ms", "3000")
	call.Header.Set("Authorization", "Bearer "+trial.Key)
	if response, err := client.Do(call); err == nil {
		sent.status = response.StatusCode
		_ = response.Body.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, sent)
}

// check counts the requests that were sent and ran in each window.
func (s *script) check(vms []*trial.VM) (held bool, err error) {
	var ran []request
	perVM, seconds := map[string]map[int]int{}, map[int]*second{}
	for _, vm := range vms {
		perVM[vm.Name] = map[int]int{}
	}
	for _, sent := range s.requests {
		perVM[sent.vm][sent.status]++
		at := int(sent.sentAt.Sub(s.requests[0].sentAt).Seconds())
		if seconds[at] == nil {
			seconds[at] = &second{answered: map[int]int{}, ran: map[string]int{}}
		}
		seconds[at].sent++
		seconds[at].answered[sent.status]++
		if slices.ContainsFunc(s.endpoints, func(e *trial.Endpoint) bool { return e.Ran(sent.id) > 0 }) {
			ran = append(ran, sent)
			seconds[at].ran[sent.vm]++
		}
	}
	for _, at := range slices.Sorted(maps.Keys(seconds)) {
		s.trial.Printf("second %d of traffic: sent %d, answered by status %v, ran by VM %v", at, seconds[at].sent, seconds[at].answered, seconds[at].ran)
	}
	if len(ran) == 0 {
		return false, errors.New("no request ran")
	}
	slices.SortFunc(ran, func(a, b request) int { return a.sentAt.Compare(b.sentAt) })
	most, mostFrom, inMost := 0, 0, map[string]int{}
	for from, to := 0, 0; to < len(ran); to++ {
		// A run takes up to a window's last part, so the window of what was sent is shorter.
		for ran[to].sentAt.Sub(ran[from].sentAt) > window-10*work {
			from++
		}
		if to-from+1 > most {
			most, mostFrom = to-from+1, from
		}
	}
	for _, each := range ran[mostFrom : mostFrom+most] {
		inMost[each.vm]++
	}
	allowed := (rate*window.Seconds()+burst)*(1+overage) + slack
	for _, vm := range vms {
		s.trial.Printf("%s: answers by status %v; log lines of a lost peer: %d", vm.Name, perVM[vm.Name], vm.LogLines("lost a peer"))
	}
	s.trial.Printf("in some %v, %d requests were sent and ran, %v by VM; allowed are %.0f", window, most, inMost, allowed)
	return float64(most) <= allowed, nil
}
