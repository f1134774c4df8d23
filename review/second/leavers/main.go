// Command leavers shows which requests reach an endpoint after their callers have left, while
// uploads wait for room.
package main

import (
	"errors"
	"flag"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"baobabladder.example/baobabladder/review/second/trial"
)

const (
	bodyBytes = 3 << 19
	deadline  = 4 * time.Second
	work      = 720 * time.Millisecond
	slots     = 4
	// callers is more than run and wait at the endpoint.
	callers = 26
	// There are periods of leaveTime in which a share of the callers leaves, calmTime apart.
	periods   = 3
	leaveTime = 4 * time.Second
	calmTime  = 3 * time.Second
	// A share of the callers leaves after half of the objective, unless it has the answer.
	leaverShare = 0.3
	leaveAfter  = 250 * time.Millisecond
	// lateAfter is how long after the close a request may still reach an endpoint, few how many
	// may do so later.
	lateAfter = 500 * time.Millisecond
	few       = 10
)

const config = `{"version":"00000007","routes":[
{"name":"r-up","host":"jepu9.example","path_prefix":"/fiti832/","kind":"non_idempotent","timeout":"4000ms","target_latency":"500ms","priority":1,"service":"kafi81c","max_attempts":2,"public":true,"sticky":false,"home_regions":[]}],
"services":[{"name":"kafi81c","health_path":"/health","max_conns":330,"cold_start":"3s","cold_per_s":6.9}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},
"tenants":[{"name":"yefi830","api_keys":["tnfzs989anu6wsjnbanf"],"priority":0,"rate_per_s":0,"burst":0,"home_regions":[]}]}`

func main() {
	record := flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	trial.Run(*record, run)
}

// script holds what the callers have seen.
type script struct {
	trial    *trial.Trial
	endpoint *trial.Endpoint
	// isLeaving is set while callers leave.
	isLeaving atomic.Bool

	mu sync.Mutex
	// statuses counts the answers by status, leftAt holds when callers left, by request.
	// Guarded by mu.
	statuses map[int]int
	leftAt   map[string]time.Time
}

func run(t *trial.Trial) (held bool, err error) {
	s := &script{trial: t, statuses: map[int]int{}, leftAt: map[string]time.Time{}}
	t.Store.Put("config", "main", config)
	if s.endpoint, err = t.StartEndpoint("i-0", "kafi81c", "mvd-a", slots, work); err != nil {
		return false, err
	}
	vm, err := t.StartVM("front-mvd-a-1", "mvd-a")
	if err != nil {
		return false, err
	}
	if err := vm.AwaitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	var group sync.WaitGroup
	stop := make(chan struct{})
	for range callers {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					s.uploadOnce(vm)
				}
			}
		})
	}
	for range periods {
		time.Sleep(calmTime)
		s.isLeaving.Store(t.HasTrouble)
		time.Sleep(leaveTime)
		s.isLeaving.Store(false)
	}
	time.Sleep(calmTime)
	close(stop)
	group.Wait()
	time.Sleep(deadline)
	t.Printf("log lines of requests that waited: %d", vm.LogLines("waited_for_room_ms"))
	return s.check()
}

func (s *script) uploadOnce(vm *trial.VM) {
	connection, err := trial.Dial(vm)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer connection.Close()
	patience := time.Duration(0)
	if s.isLeaving.Load() && rand.Float64() < leaverShare {
		patience = leaveAfter
	}
	answer, leftAt := connection.Post("/fiti832/2f", deadline, bodyBytes, patience)
	s.mu.Lock()
	if leftAt.IsZero() {
		s.statuses[answer.Status]++
		s.trial.Printf("request %s: status %d %v", answer.ID, answer.Status, answer.Err)
	} else {
		s.leftAt[answer.ID] = leftAt
	}
	s.mu.Unlock()
	if answer.Status == 503 {
		time.Sleep(300 * time.Millisecond)
	}
}

func (s *script) check() (held bool, err error) {
	if s.statuses[200] == 0 {
		return false, errors.New("no request was served")
	}
	late, ranLate, lateBy := 0, 0, time.Duration(0)
	for id, leftAt := range s.leftAt {
		after := s.endpoint.ArrivedAt(id).Sub(leftAt)
		if after <= lateAfter {
			continue
		}
		late++
		lateBy = max(lateBy, after)
		ran := s.endpoint.Ran(id)
		if ran > 0 {
			ranLate++
		}
		s.trial.Printf("request %s reached the endpoint %d ms after its caller had closed the connection, ran: %d", id, after.Milliseconds(), ran)
	}
	s.trial.Printf("answers by status: %v; callers that left: %d; their requests that came over %v later: %d, of which %d ran, the latest %d ms later", s.statuses, len(s.leftAt), lateAfter, late, ranLate, lateBy.Milliseconds())
	return late <= few, nil
}
