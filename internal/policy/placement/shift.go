package placement

import "baobabladder.example/baobabladder/internal/base/clock"

const (
	// shiftWindow is the time over which a share of traffic may change by the cap.
	shiftWindow = 1 * clock.Second
	// maxShiftCredit bounds what unused credit can add to a window, in
	// thousandths of a request.
	maxShiftCredit = 2000
	// whole is all of the traffic, in thousandths.
	whole = 1000
)

// shift bounds how fast one service's traffic changes region. In each window a
// region's share may exceed that of the window before by at most the cap. Each
// VM bounds its own traffic; as each VM's part changes by at most the cap, so
// does the sum.
type shift struct {
	// cap is in thousandths of the traffic for each window.
	cap   int64
	began clock.Millis
	// total counts the requests that came in the window, placed or not: else what
	// is refused in a loss would make the rest look like all of the traffic.
	total int64
	areas []area
	// settled says that some window had traffic, so shares are known.
	settled bool
}

// area is one region's count.
type area struct {
	region string
	count  int64
	// share is the region's part of the last window with traffic, in thousandths.
	share int64
	// credit is in thousandths of a request.
	credit int64
	// granted is the window's total up to which credit was added.
	granted int64
}

// tick closes the window when it is over.
func (s *shift) tick(now clock.Millis) {
	if now-s.began < shiftWindow {
		return
	}
	s.began = now
	if s.total == 0 {
		return
	}
	for i := range s.areas {
		area := &s.areas[i]
		area.share = min(area.count*whole/s.total, whole)
		area.count, area.granted = 0, 0
	}
	s.total = 0
	s.settled = true
}

// allows says whether one more request may go to region. Before any traffic the
// home region counts as having all of it.
func (s *shift) allows(region, home string) bool {
	if s.cap == 0 || s.cap >= whole {
		return true
	}
	area := s.area(region, home)
	if area.share+s.cap >= whole {
		// The cap leaves the region room for all of the traffic. Credit would be
		// lost while requests wait, and what waits could then never catch up.
		area.credit, area.granted = maxShiftCredit, s.total
		return true
	}
	earned := (s.total - area.granted) * min(area.share+s.cap, whole)
	area.credit = min(area.credit+earned, maxShiftCredit)
	area.granted = s.total
	return area.credit >= whole
}

// arrive counts a request that is to be placed.
func (s *shift) arrive() { s.total++ }

// use counts a request that goes to region.
func (s *shift) use(region string) {
	for i := range s.areas {
		if s.areas[i].region == region {
			s.areas[i].count++
			s.areas[i].credit -= whole
		}
	}
}

func (s *shift) area(region, home string) *area {
	for i := range s.areas {
		if s.areas[i].region == region {
			return &s.areas[i]
		}
	}
	fresh := area{region: region}
	if region == home && !s.settled {
		fresh.share = whole
	}
	s.areas = append(s.areas, fresh)
	return &s.areas[len(s.areas)-1]
}
