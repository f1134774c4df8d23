package placement

import "baobabladder.example/baobabladder/internal/base/clock"

const (
	// shiftWindow is the time over which a region's share of the traffic may change
	// by the cap.
	shiftWindow = 1 * clock.Second
	// maxShiftCredit limits the unused credit that can carry over to later
	// requests, in thousandths of a request.
	maxShiftCredit = 2000
	// fullShare is all of the traffic, in thousandths.
	fullShare = 1000
)

// shiftLimiter limits how fast the traffic of one service shifts between regions. A
// region's share may exceed its share of the previous window by at most the cap.
// Each VM limits its own traffic: if no VM's share changes by more than the cap,
// neither does that of the whole fleet.
type shiftLimiter struct {
	// cap is in thousandths of the traffic per window. There is no limit if it is 0
	// or at least fullShare.
	cap         int64
	windowStart clock.Millis
	// total counts the requests that arrived in the window, whether they were
	// placed or not. If refused requests were left out while a region is down, the
	// remaining ones would look like all of the traffic.
	total   int64
	regions []regionTraffic
	// hasShares is true once a window with traffic has ended, so that the shares
	// are known.
	hasShares bool
}

// regionTraffic counts the traffic of one region.
type regionTraffic struct {
	region string
	count  int64
	// share is the region's share of the last window with traffic, in thousandths.
	share int64
	// credit is how many more requests the region may get now, in thousandths.
	// Each arriving request adds the share that the cap allows the region, and
	// each request placed in the region takes fullShare.
	credit int64
	// creditedTotal is the value of the window's total up to which credit was
	// added.
	creditedTotal int64
}

// rollWindow starts a new window if the current one is over.
func (l *shiftLimiter) rollWindow(now clock.Millis) {
	if now-l.windowStart < shiftWindow {
		return
	}
	l.windowStart = now
	if l.total == 0 {
		return
	}
	for i := range l.regions {
		traffic := &l.regions[i]
		traffic.share = min(traffic.count*fullShare/l.total, fullShare)
		traffic.count, traffic.creditedTotal = 0, 0
	}
	l.total = 0
	l.hasShares = true
}

// canPlace reports whether one more request may go to region. Before any
// traffic, the share of nearest, the region nearest to this VM, is taken to be
// all of it.
func (l *shiftLimiter) canPlace(region, nearest string) bool {
	if l.cap == 0 || l.cap >= fullShare {
		return true
	}
	traffic := l.region(region, nearest)
	if traffic.share+l.cap >= fullShare {
		// The cap allows the region all of the traffic, so its requests need no
		// credit. If they did, the credit earned above the limit while requests
		// wait for slots would be lost, and the waiting requests would be
		// refused although slots become free.
		traffic.credit, traffic.creditedTotal = maxShiftCredit, l.total
		return true
	}
	earned := (l.total - traffic.creditedTotal) * min(traffic.share+l.cap, fullShare)
	traffic.credit = min(traffic.credit+earned, maxShiftCredit)
	traffic.creditedTotal = l.total
	return traffic.credit >= fullShare
}

// countArrival counts a request that is to be placed.
func (l *shiftLimiter) countArrival() { l.total++ }

// countPlaced counts a request that was placed in region.
func (l *shiftLimiter) countPlaced(region string) {
	for i := range l.regions {
		if l.regions[i].region == region {
			l.regions[i].count++
			l.regions[i].credit -= fullShare
		}
	}
}

func (l *shiftLimiter) region(region, nearest string) *regionTraffic {
	for i := range l.regions {
		if l.regions[i].region == region {
			return &l.regions[i]
		}
	}
	fresh := regionTraffic{region: region}
	if region == nearest && !l.hasShares {
		fresh.share = fullShare
	}
	l.regions = append(l.regions, fresh)
	return &l.regions[len(l.regions)-1]
}
