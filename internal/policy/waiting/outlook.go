package waiting

import (
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
)

const (
	// grantWindow is the time over which grants are counted. A VM of the smaller deployments
	// grants 4 to 10 requests of a service a second.
	grantWindow = 2 * clock.Second
	// minGrants is the least number of grants that is expected in a window. Without requests
	// there are no grants, which does not show that there is no room.
	minGrants = 1
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

// interval returns the expected time between grants, in milliseconds, if there were grants in
// the last grantWindow.
func interval(grants float64) float64 { return float64(grantWindow) / max(grants, minGrants) }

// flow is what the requests of one rank can expect.
type flow struct {
	// above is the number of waiting requests of higher ranks, isHighest whether there is no
	// higher rank.
	above     int
	isHighest bool
	// atOrBelow is the number of grants to the rank and lower ones in the last grantWindow.
	atOrBelow float64
	// all and own are the expected times between grants of the service, and between those to
	// the rank and lower ones. share is that between grants to the rank if it gets no more than
	// its part of the share of the lower ranks. All are in milliseconds.
	all, own, share float64
}

// wait returns the expected wait of a request with ahead requests of its rank ahead. It has to
// wait for those above, and is passed by requests of higher ranks that do not wait; but it does
// not wait longer than its rank's part of the share. A request that was overtaken gets only a
// part of the room, so each request that overtook it counts as if it were still ahead.
func (f *flow) wait(r *Request, ahead int) clock.Millis {
	ahead += r.overtaken + 1
	wait := max(float64(f.above+ahead)*f.all, float64(ahead)*f.own)
	if !f.isHighest {
		wait = min(wait, float64(ahead)*f.share)
	}
	return clock.Millis(wait)
}

// flow returns what the requests of the highest rank can expect.
func (q *queue) flow(now clock.Millis) flow {
	grants, sharing := 0.0, 0
	for i, l := range q.levels {
		grants += l.grants.count(now)
		if i > 0 && l.size() > 0 {
			sharing++
		}
	}
	all := interval(grants)
	return flow{isHighest: true, atOrBelow: grants, all: all, own: all, share: all * lowerShare * float64(max(sharing, 1))}
}

// descend changes the flow from that of a level to that of the next lower rank. waiting is the
// number of the level's requests that count as ahead of lower ranks.
func (f *flow) descend(l *level, waiting int, now clock.Millis) {
	f.above += waiting
	f.isHighest = false
	f.atOrBelow -= l.grants.count(now)
	f.own = interval(f.atOrBelow)
}

// outlook returns the number of requests that are ahead of a request which does not wait, and
// its expected wait if it did.
func (q *queue) outlook(r *Request, now clock.Millis) (ahead int, wait clock.Millis) {
	f, own := q.flow(now), 0
	for _, l := range q.levels {
		c := l.rank.Compare(r.Rank)
		if c == 0 {
			own, _ = slices.BinarySearchFunc(*l.list(r), r, compare)
			if r.isPastTarget {
				own += len(l.onTime)
			}
		}
		if c >= 0 {
			break
		}
		f.descend(l, l.size(), now)
	}
	return f.above + own, f.wait(r, own)
}

// missingDeadline appends the requests that are not expected to end by their deadline. They are
// not counted as ahead of others.
func (q *queue) missingDeadline(missing []*Request, now clock.Millis) []*Request {
	f := q.flow(now)
	for _, l := range q.levels {
		own := 0
		for i := range l.size() {
			r := l.at(i)
			wait := f.wait(r, own)
			if r.canEnd(now, wait) {
				own++
				continue
			}
			r.RetryAfter = retryAfter(wait)
			missing = append(missing, r)
		}
		f.descend(l, own, now)
	}
	return missing
}
