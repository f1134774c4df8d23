package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"baobabladder.example/baobabladder/internal/base/hashing"
)

const (
	// regionDelay is the delay between two regions, one way.
	regionDelay = 35 * time.Millisecond
	// catalogueEndpoints and ordersEndpoints are the numbers of endpoints of the services.
	catalogueEndpoints = 100
	ordersEndpoints    = 900
	// leavingEndpoints of the catalogue leave, one every leavingInterval. One in
	// silentDivisor never reports that it drains: its entry is removed. The others report
	// it, and keep their entries.
	leavingEndpoints = 20
	silentDivisor    = 3
	leavingInterval  = 25 * time.Millisecond
	// leavingDelay is the time from the restart until the first of them leaves.
	leavingDelay = 250 * time.Millisecond
	// calmSpan is the time between the start of the gateways and the disruption.
	calmSpan = 6 * time.Second
	// drain is the bound of that name, and touchSpan is more than stable_window.
	drain     = 2500 * time.Millisecond
	touchSpan = 5 * time.Second
	// staySpan is how long endpoints serve after they began to leave.
	staySpan = 16 * time.Second
	// requestInterval is the time between two requests, requestTimeout the callers' deadline.
	requestInterval = 20 * time.Millisecond
	requestTimeout  = 4 * time.Second
)

// departure is an endpoint that leaves, and when the store had accepted that.
type departure struct {
	endpoint *registered
	at       time.Time
}

// runDrain makes endpoints leave that serve on for a while, and looks whether a gateway in
// touch still sends requests to them. With trouble, the gateway is killed and
// started again just before the first of them leaves.
func runDrain(r *run) (isBroken bool, err error) {
	endpoints, far, err := r.startFleet()
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	defer callers.Wait()
	defer cancel()
	callers.Go(func() { r.sendReads(ctx, far) })
	time.Sleep(calmSpan)
	restartedAt := time.Now()
	if r.hasTrouble {
		far.kill()
		r.record("killed %s", far.name)
		if err := r.start(far); err != nil {
			return false, err
		}
		r.record("started %s again", far.name)
	}
	time.Sleep(leavingDelay)
	departures := r.leave(endpoints[:leavingEndpoints])
	if err := r.awaitReady(far); err != nil {
		return false, err
	}
	time.Sleep(time.Until(restartedAt.Add(staySpan)))
	r.recordLog(far, "a peer's copy")
	r.recordLog(far, "a listing is older")
	cancel()
	callers.Wait()
	r.recordRuns(endpoints)
	return r.findLateRuns(departures, restartedAt)
}

// startFleet starts all endpoints and two gateways: one in the store's region, and the
// returned one in another region.
func (r *run) startFleet() (catalogue []*registered, far *gateway, err error) {
	nearStore, otherRegion := location{"leith", "lothian"}, location{"dyce", "grampian"}
	r.putConfig()
	for i := range catalogueEndpoints + ordersEndpoints {
		id := fmt.Sprintf("i-%016x", hashing.Mix(uint64(i+1)))
		if i >= catalogueEndpoints {
			if _, err := r.addEndpoint(id, "orders", otherRegion); err != nil {
				return nil, nil, err
			}
			continue
		}
		e, err := r.addEndpoint(id, "catalogue", otherRegion)
		if err != nil {
			return nil, nil, err
		}
		catalogue = append(catalogue, e)
	}
	near, err := r.newGateway("front-leith-1", nearStore, r.storeAddress)
	if err != nil {
		return nil, nil, err
	}
	storeLink, err := (&link{target: r.storeAddress, delay: regionDelay}).serve()
	if err != nil {
		return nil, nil, err
	}
	if far, err = r.newGateway("front-dyce-1", otherRegion, storeLink, near); err != nil {
		return nil, nil, err
	}
	err = errors.Join(r.start(near), r.start(far))
	if err == nil {
		err = errors.Join(r.awaitReady(near), r.awaitReady(far))
	}
	return catalogue, far, err
}

// leave makes the endpoints leave one after the other.
func (r *run) leave(endpoints []*registered) (departures []departure) {
	for i, e := range endpoints {
		if i%silentDivisor == 0 {
			r.store.Remove("servers", e.ID)
			r.record("the entry of endpoint %s is removed", e.ID)
		} else {
			r.store.Put("servers", e.ID, strings.Replace(e.entry, `"ready"`, `"draining"`, 1))
			r.record("endpoint %s reports that it drains", e.ID)
		}
		departures = append(departures, departure{e, time.Now()})
		time.Sleep(leavingInterval)
	}
	return departures
}

// sendReads sends idempotent requests through a gateway until ctx ends.
func (r *run) sendReads(ctx context.Context, g *gateway) {
	client := &http.Client{Timeout: requestTimeout}
	var group sync.WaitGroup
	defer group.Wait()
	for number := 0; ctx.Err() == nil; number++ {
		group.Go(func() { r.sendRead(client, g, number) })
		time.Sleep(requestInterval)
	}
}

// sendRead sends one request. Its id is the Unix microsecond at which it was sent and a number.
func (r *run) sendRead(client *http.Client, g *gateway, number int) {
	sentAt := time.Now()
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/read/%d", g.callers, number), nil)
	if err != nil {
		return
	}
	request.Host = host
	request.Header.Set("Request-Id", fmt.Sprintf("%d-%d", sentAt.UnixMicro(), number))
	request.Header.Set("Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+keyA)
	request.Header.Set("Cookie", fmt.Sprintf("Affinity-Key=%d", number))
	response, err := client.Do(request)
	if err != nil {
		r.record("request %s to %s: no answer", request.Header.Get("Request-Id"), g.name)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	r.record("request %s to %s: answered %d", request.Header.Get("Request-Id"), g.name, response.StatusCode)
}

// recordRuns records which endpoint ran which requests.
func (r *run) recordRuns(endpoints []*registered) {
	for _, e := range endpoints {
		var ids []string
		for _, each := range e.Runs() {
			ids = append(ids, each.ID)
		}
		r.record("endpoint %s ran %s", e.ID, strings.Join(ids, " "))
	}
}

// findLateRuns records the requests that ran on endpoints after the end of their drain,
// while the gateway was in touch, and reports whether there were any.
func (r *run) findLateRuns(departures []departure, restartedAt time.Time) (found bool, err error) {
	inTouch := restartedAt.Add(touchSpan)
	late, sound := 0, 0
	for _, left := range departures {
		for _, each := range left.endpoint.Runs() {
			var sentMicros, number int64
			if _, err := fmt.Sscanf(strings.Replace(each.ID, "-", " ", 1), "%d %d", &sentMicros, &number); err != nil {
				return false, err
			}
			sentAt := time.UnixMicro(sentMicros)
			if sentAt.Before(inTouch) || sentAt.Before(left.at.Add(drain)) {
				sound++
				continue
			}
			late++
			r.record("request %d ran at %s on endpoint %s, which had left %d ms before it was sent", number, each.At.Format("15:04:05.000"), left.endpoint.ID, sentAt.Sub(left.at).Milliseconds())
		}
	}
	r.record("the leaving endpoints ran %d requests in time, %d late", sound, late)
	if sound == 0 {
		return false, errors.New("no request ran on the leaving endpoints before they left")
	}
	return late > 0, nil
}
