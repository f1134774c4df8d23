package measure

import (
	"context"
	"math"
	"strings"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/standin/firm"
)

// watchInterval is how often the endpoints' load is looked at.
const watchInterval = 10 * clock.Millis(1)

// group is the endpoints of one service in one region.
type group struct{ service, region string }

// load sums looks at a group.
type load struct{ running, slots int64 }

// free is the share of the slots that no request held, on average.
func (l load) free() float64 {
	if l.slots == 0 {
		return 1
	}
	return 1 - float64(l.running)/float64(l.slots)
}

// watcher looks at the endpoints while a load runs.
type watcher struct {
	firm  *firm.Firm
	clock clock.Clock

	mu sync.Mutex
	// out holds data centres and regions that do not count as headroom. Guarded by mu.
	out map[string]bool
	// seconds holds the looks of each second since the start. Guarded by mu.
	seconds map[clock.Millis]map[group]load
	// leaving is the data centre that is being drained; emptyAt is when its
	// endpoints were last seen to run a request. Guarded by mu.
	leaving string
	emptyAt clock.Millis
	// arrivals and repeats count by second what came to endpoints. Guarded by mu.
	arrivals, repeats map[clock.Millis]int
	// seen holds the paths that came. Guarded by mu.
	seen map[string]bool
	// lag holds how late this watcher's own timers were, in microseconds. Guarded by mu.
	lag *hdrhistogram.Histogram
}

func newWatcher() *watcher {
	return &watcher{
		out: map[string]bool{}, seconds: map[clock.Millis]map[group]load{}, arrivals: map[clock.Millis]int{},
		repeats: map[clock.Millis]int{}, seen: map[string]bool{}, lag: newHistogram(),
	}
}

// arrive notes a request that came to an endpoint. A path that came before is a
// retry, unless its caller sent it twice on purpose.
func (w *watcher) arrive(path string) {
	second := w.clock.Now() / clock.Second
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals[second]++
	if w.seen[path] && !strings.HasSuffix(path, twiceMark) {
		w.repeats[second]++
	}
	w.seen[path] = true
}

// leaveOut takes a data centre or region out of the headroom, or back in.
func (w *watcher) leaveOut(name string, isOut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.out[name] = isOut
}

// drain notes that a data centre is to be emptied.
func (w *watcher) drain(dataCentre string) {
	w.leaveOut(dataCentre, true)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving, w.emptyAt = dataCentre, w.clock.Now()
}

// run looks until ctx ends.
func (w *watcher) run(ctx context.Context) {
	for {
		before := w.clock.Micros()
		if clock.Sleep(ctx, watchInterval) != nil {
			return
		}
		w.look(w.clock.Micros() - before - int64(watchInterval)*1000)
	}
}

func (w *watcher) look(lag int64) {
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.lag.RecordValue(min(maxMicros, max(0, lag)))
	second := w.seconds[now/clock.Second]
	if second == nil {
		second = map[group]load{}
		w.seconds[now/clock.Second] = second
	}
	for _, service := range w.firm.CurrentServices() {
		for i := range service.Endpoints {
			w.lookAt(now, second, service, &service.Endpoints[i])
		}
	}
}

// lookAt adds an endpoint's load. Callers hold mu.
func (w *watcher) lookAt(now clock.Millis, second map[group]load, service *document.Service, endpoint *document.Endpoint) {
	running := w.firm.Endpoint(endpoint.Name).Running()
	if endpoint.DataCentre == w.leaving && running > 0 {
		w.emptyAt = now
	}
	if w.out[endpoint.Region] || w.out[endpoint.DataCentre] {
		return
	}
	at := group{service.Name, endpoint.Region}
	sum := second[at]
	sum.running += int64(running)
	sum.slots += int64(endpoint.Slots)
	second[at] = sum
}

// leastFree returns the least free share of any group in any second from a time
// to another.
func (w *watcher) leastFree(from, to clock.Millis) (least float64, where string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	least = math.Inf(1)
	for second, groups := range w.seconds {
		if second*clock.Second < from || (second+1)*clock.Second > to {
			continue
		}
		for at, load := range groups {
			name := at.service + " in " + at.region
			if free := load.free(); free < least || (free == least && name < where) {
				least, where = free, name
			}
		}
	}
	return least, where
}

// worstRepeats returns the largest share of retries in what came in a second.
func (w *watcher) worstRepeats(from, to clock.Millis) (share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for second, arrivals := range w.arrivals {
		if second*clock.Second >= from && second*clock.Second < to && arrivals > 0 {
			share = max(share, float64(w.repeats[second])/float64(arrivals))
		}
	}
	return share
}
