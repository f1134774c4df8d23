package waiting

import (
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
)

const (
	// grantWindow is the time over which grants are counted. A VM of the smaller deployments
	// grants 4 to 10 requests of a service a second.
	grantWindow = 2 * clock.Second
	// assumedGrants is added to the grants of a window. Without requests there are no grants,
	// which does not show that there is no room.
	assumedGrants = 2
)

// window counts events of the last grantWindow, from the counts of the current interval of
// that length and the one before. Its zero value is ready to use.
type window struct {
	start             clock.Millis
	current, previous float64
}

func (w *window) roll(now clock.Millis) {
	switch elapsed := now - w.start; {
	case elapsed >= 2*grantWindow:
		*w = window{start: now}
	case elapsed >= grantWindow:
		*w = window{start: w.start + grantWindow, previous: w.current}
	}
}

func (w *window) add(count float64, now clock.Millis) {
	w.roll(now)
	w.current = max(w.current+count, 0)
}

// count returns the number of events in the last grantWindow.
func (w *window) count(now clock.Millis) float64 {
	w.roll(now)
	return w.current + w.previous*(1-float64(now-w.start)/float64(grantWindow))
}

// timeFor returns the time in which count requests are granted if grants were granted in the
// last grantWindow.
func timeFor(count int, grants float64) clock.Millis {
	return clock.Millis(float64(count) * float64(grantWindow) / (grants + assumedGrants))
}

// expectedWait returns the expected wait of a request with above requests of higher ranks and
// own ones of its rank ahead, where all grants of the service and those to its rank and
// lower ones are given. Grants to higher ranks that do not wait are taken from the request's.
// A request that was overtaken gets only a part of the room, so each request that overtook it
// counts as if it were still ahead.
func (r *Request) expectedWait(above, own int, all, atOrBelow float64) clock.Millis {
	own += r.overtaken + 1
	return max(timeFor(above+own, all), timeFor(own, atOrBelow))
}

// allGrants returns the number of grants of the service in the last grantWindow.
func (q *queue) allGrants(now clock.Millis) (grants float64) {
	for _, l := range q.levels {
		grants += l.grants.count(now)
	}
	return grants
}

// outlook returns the number of requests that are ahead of a request which does not wait, and
// its expected wait if it did.
func (q *queue) outlook(r *Request, now clock.Millis) (ahead int, wait clock.Millis) {
	all := q.allGrants(now)
	above, atOrBelow := 0, all
	for _, l := range q.levels {
		if l.rank.Compare(r.Rank) < 0 {
			above += l.size()
			atOrBelow -= l.grants.count(now)
			continue
		}
		if l.rank != r.Rank {
			break
		}
		own, _ := slices.BinarySearchFunc(*l.list(r), r, compare)
		if r.isLate {
			own += len(l.onTime)
		}
		return above + own, r.expectedWait(above, own, all, atOrBelow)
	}
	return above, r.expectedWait(above, 0, all, atOrBelow)
}

// late appends the requests that are not expected to end in time. A request is not counted as
// ahead of others if it is late itself.
func (q *queue) late(late []*Request, now clock.Millis) []*Request {
	all := q.allGrants(now)
	above, atOrBelow := 0, all
	for _, l := range q.levels {
		own := 0
		for i := range l.size() {
			r := l.at(i)
			wait := r.expectedWait(above, own, all, atOrBelow)
			if r.canEnd(now, wait) {
				own++
				continue
			}
			r.RetryAfter = retryAfter(wait)
			late = append(late, r)
		}
		above += own
		atOrBelow -= l.grants.count(now)
	}
	return late
}
