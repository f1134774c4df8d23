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

// sampleInterval is the interval at which the load of the endpoints is sampled.
const sampleInterval = 10 * clock.Millis(1)

// endpointGroup identifies the endpoints of one service in one region.
type endpointGroup struct{ service, region string }

// slotUsage holds sums over samples: the slots in use and all slots.
type slotUsage struct{ running, slots int64 }

// freeShare returns the average share of slots that were free.
func (u slotUsage) freeShare() float64 {
	if u.slots == 0 {
		return 1
	}
	return 1 - float64(u.running)/float64(u.slots)
}

// monitor samples the load of the endpoints while a benchmark runs, and counts the
// requests that reach them.
type monitor struct {
	firm  *firm.Firm
	clock clock.Clock

	mu sync.Mutex
	// excluded holds the data centres and regions whose slots do not count, because
	// they are draining or have failed. Guarded by mu.
	excluded map[string]bool
	// usageBySecond holds the samples of each second, summed by endpoint group. The
	// keys are times of clock in whole seconds. Guarded by mu.
	usageBySecond map[clock.Millis]map[endpointGroup]slotUsage
	// drainingDataCentre is the data centre that is being drained, and lastBusyAt the
	// last time at which one of its endpoints ran a request. Guarded by mu.
	drainingDataCentre string
	lastBusyAt         clock.Millis
	// arrivals counts the requests that reached endpoints, and retries the retries
	// among them. The keys are those of usageBySecond. Guarded by mu.
	arrivals, retries map[clock.Millis]int
	// seenPaths holds the paths of the requests that reached endpoints. Guarded by mu.
	seenPaths map[string]bool
	// timerLag records how late the monitor's own timers fired, in microseconds.
	// Guarded by mu.
	timerLag *hdrhistogram.Histogram
}

func newMonitor() *monitor {
	return &monitor{
		excluded: map[string]bool{}, usageBySecond: map[clock.Millis]map[endpointGroup]slotUsage{}, arrivals: map[clock.Millis]int{},
		retries: map[clock.Millis]int{}, seenPaths: map[string]bool{}, timerLag: newHistogram(),
	}
}

// recordArrival counts a request that reached an endpoint. A path that was seen
// before is a retry, unless it belongs to an order that the load sends twice.
func (m *monitor) recordArrival(path string) {
	second := m.clock.Now() / clock.Second
	m.mu.Lock()
	defer m.mu.Unlock()
	m.arrivals[second]++
	if m.seenPaths[path] && !strings.HasSuffix(path, duplicateOrderSuffix) {
		m.retries[second]++
	}
	m.seenPaths[path] = true
}

// setExcluded sets whether the slots of a data centre or region are left out of the
// samples.
func (m *monitor) setExcluded(name string, isExcluded bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.excluded[name] = isExcluded
}

// startDrain records that the drain of a data centre starts now.
func (m *monitor) startDrain(dataCentre string) {
	m.setExcluded(dataCentre, true)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drainingDataCentre, m.lastBusyAt = dataCentre, m.clock.Now()
}

// run takes a sample every sampleInterval until ctx ends.
func (m *monitor) run(ctx context.Context) {
	for {
		before := m.clock.Micros()
		if clock.Sleep(ctx, sampleInterval) != nil {
			return
		}
		m.sample(m.clock.Micros() - before - int64(sampleInterval)*1000)
	}
}

// sample takes one sample of all endpoints. lagMicros is how late the timer fired.
func (m *monitor) sample(lagMicros int64) {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.timerLag.RecordValue(min(maxLatencyMicros, max(0, lagMicros)))
	usage := m.usageBySecond[now/clock.Second]
	if usage == nil {
		usage = map[endpointGroup]slotUsage{}
		m.usageBySecond[now/clock.Second] = usage
	}
	for _, service := range m.firm.CurrentServices() {
		for i := range service.Endpoints {
			m.sampleEndpoint(now, usage, service, &service.Endpoints[i])
		}
	}
}

// sampleEndpoint adds an endpoint's load to the samples of a second. The caller
// must hold mu.
func (m *monitor) sampleEndpoint(now clock.Millis, usage map[endpointGroup]slotUsage, service *document.Service, endpoint *document.Endpoint) {
	running := m.firm.Endpoint(endpoint.Name).Running()
	if endpoint.DataCentre == m.drainingDataCentre && running > 0 {
		m.lastBusyAt = now
	}
	if m.excluded[endpoint.Region] || m.excluded[endpoint.DataCentre] {
		return
	}
	group := endpointGroup{service.Name, endpoint.Region}
	sum := usage[group]
	sum.running += int64(running)
	sum.slots += int64(endpoint.Slots)
	usage[group] = sum
}

// minFreeSlots returns the lowest share of free slots that any endpoint group had
// in any whole second between from and to, and the name of the group.
func (m *monitor) minFreeSlots(from, to clock.Millis) (lowest float64, lowestName string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lowest = math.Inf(1)
	for second, groups := range m.usageBySecond {
		if second*clock.Second < from || (second+1)*clock.Second > to {
			continue
		}
		for group, usage := range groups {
			name := group.service + " in " + group.region
			if free := usage.freeShare(); free < lowest || (free == lowest && name < lowestName) {
				lowest, lowestName = free, name
			}
		}
	}
	return lowest, lowestName
}

// peakRetryShare returns the highest share of retries among the requests that
// reached endpoints in one second, of the seconds between from and to.
func (m *monitor) peakRetryShare(from, to clock.Millis) (share float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for second, arrivals := range m.arrivals {
		if second*clock.Second >= from && second*clock.Second < to && arrivals > 0 {
			share = max(share, float64(m.retries[second])/float64(arrivals))
		}
	}
	return share
}
