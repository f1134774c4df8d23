package waiting

import (
	"cmp"
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/routing"
)

// lowerShare is the number of grants of a service of which one goes to the lower ranks that
// wait, so that a constant flow of urgent requests does not stop the others.
const lowerShare = 8

// queue holds the requests that wait for one service. Guarded by the mutex of Queues.
type queue struct {
	// levels holds a level for each rank that was seen, the highest first.
	levels  []*level
	waiting int
	// sinceShare counts the grants since a lower rank had its share. Only grants at which
	// requests of lower ranks waited, or had lately been denied to wait, count.
	sinceShare int
	// granted counts the grants of waiting requests.
	granted int64
}

// level holds the waiting requests of one rank.
type level struct {
	rank routing.Rank
	// onTime holds the requests that can still meet their target, ordered by latestStart;
	// pastTarget holds the others, ordered by run.
	onTime, pastTarget []*Request
	// grants counts the grants of requests of the rank, waiting or not.
	grants window
	// lastGrant is the value of queue.granted at the last grant of a waiting request.
	lastGrant int64
	// denied is when a request of the rank was last not allowed to wait, if wasDenied is set.
	denied    clock.Millis
	wasDenied bool
}

func (l *level) size() int { return len(l.onTime) + len(l.pastTarget) }

// deny records that a request of the rank is not allowed to wait.
func (l *level) deny(now clock.Millis) { l.denied, l.wasDenied = now, true }

// at returns the request at a position in order.
func (l *level) at(i int) *Request {
	if i < len(l.onTime) {
		return l.onTime[i]
	}
	return l.pastTarget[i-len(l.onTime)]
}

// list returns the list that holds a request, or would.
func (l *level) list(r *Request) *[]*Request {
	if r.isPastTarget {
		return &l.pastTarget
	}
	return &l.onTime
}

// compare returns a negative number if x comes before y, and a positive one otherwise. Of two
// requests that are alike, the one that began to wait earlier comes first; a number of 0 stands
// for a request that does not wait yet.
func compare(x, y *Request) int {
	if c := x.Rank.Compare(y.Rank); c != 0 {
		return c
	}
	switch {
	case x.isPastTarget != y.isPastTarget && x.isPastTarget:
		return 1
	case x.isPastTarget != y.isPastTarget:
		return -1
	case x.isPastTarget:
		return cmp.Or(cmp.Compare(x.Run, y.Run), compareNumbers(x, y))
	default:
		return cmp.Or(cmp.Compare(x.latestStart(), y.latestStart()), compareNumbers(x, y))
	}
}

func compareNumbers(x, y *Request) int {
	if x.number == 0 || y.number == 0 {
		return cmp.Compare(y.number, x.number)
	}
	return cmp.Compare(x.number, y.number)
}

// level returns the level of a rank.
func (q *queue) level(rank routing.Rank) *level {
	i := 0
	for ; i < len(q.levels); i++ {
		c := q.levels[i].rank.Compare(rank)
		if c == 0 {
			return q.levels[i]
		}
		if c > 0 {
			break
		}
	}
	q.levels = slices.Insert(q.levels, i, &level{rank: rank})
	return q.levels[i]
}

// hasRank reports whether a request of the rank or a higher one waits.
func (q *queue) hasRank(rank routing.Rank) bool {
	for _, l := range q.levels {
		if l.rank.Compare(rank) > 0 {
			return false
		}
		if l.size() > 0 {
			return true
		}
	}
	return false
}

// isLowerDue reports whether the next grant goes to a lower rank than the highest that asks.
func (q *queue) isLowerDue() bool { return q.sinceShare >= lowerShare-1 }

// hasLower reports whether requests of a lower rank wait or were denied that lately.
func (q *queue) hasLower(rank routing.Rank, now clock.Millis) bool {
	for _, l := range q.levels {
		if l.rank.Compare(rank) > 0 && (l.size() > 0 || l.wasDenied && now-l.denied < grantWindow) {
			return true
		}
	}
	return false
}

// isShareFree reports whether requests of only one rank wait, a higher one than the given.
func (q *queue) isShareFree(rank routing.Rank) bool {
	ranks := 0
	for _, l := range q.levels {
		if l.size() > 0 {
			ranks++
			if l.rank.Compare(rank) >= 0 {
				return false
			}
		}
	}
	return ranks == 1
}

// begin reports whether a new request may be given room at once, and if so counts the grant.
func (q *queue) begin(rank routing.Rank, now clock.Millis) (mayTry bool) {
	switch {
	case q.waiting == 0:
	case q.hasRank(rank):
		if !q.isLowerDue() || !q.isShareFree(rank) {
			return false
		}
		q.sinceShare = 0
	case q.isLowerDue():
		return false
	default:
		q.sinceShare++
	}
	q.level(rank).grants.add(1, now)
	return true
}

// withdraw undoes the effect of a call of begin that returned true.
func (q *queue) withdraw(rank routing.Rank, now clock.Millis) {
	q.level(rank).grants.add(-1, now)
	switch {
	case q.waiting == 0:
	case q.hasRank(rank):
		q.sinceShare = lowerShare - 1
	default:
		q.sinceShare = max(q.sinceShare-1, 0)
	}
}

func (q *queue) insert(r *Request) {
	l := q.level(r.Rank)
	list := l.list(r)
	i, _ := slices.BinarySearchFunc(*list, r, compare)
	*list = slices.Insert(*list, i, r)
	r.level = l
	q.waiting++
}

func (q *queue) remove(r *Request) {
	list := r.level.list(r)
	if i := slices.Index(*list, r); i >= 0 {
		*list = slices.Delete(*list, i, i+1)
		q.waiting--
	}
	r.level = nil
	if q.waiting == 0 {
		q.sinceShare = 0
	}
}

// movePastTarget moves the requests that can no longer meet their target from onTime to pastTarget.
func (q *queue) movePastTarget(now clock.Millis) {
	if q.waiting == 0 {
		return
	}
	for _, l := range q.levels {
		count := 0
		for count < len(l.onTime) && l.onTime[count].latestStart() < now {
			count++
		}
		for _, r := range l.onTime[:count] {
			r.isPastTarget = true
			i, _ := slices.BinarySearchFunc(l.pastTarget, r, compare)
			l.pastTarget = slices.Insert(l.pastTarget, i, r)
		}
		l.onTime = slices.Delete(l.onTime, 0, count)
	}
}

// next returns the first request in order that is not skipped, or nil.
func (q *queue) next(isSkipped func(*Request) bool) *Request {
	if q.isLowerDue() {
		if r := q.nextLower(isSkipped); r != nil {
			return r
		}
	}
	for _, l := range q.levels {
		if r := l.next(isSkipped); r != nil {
			return r
		}
	}
	return nil
}

// nextLower returns a request below the highest rank that waits, or nil. The rank that had a
// grant least recently has its turn.
func (q *queue) nextLower(isSkipped func(*Request) bool) (found *Request) {
	isLower := false
	for _, l := range q.levels {
		if l.size() == 0 {
			continue
		}
		if isLower && (found == nil || l.lastGrant < found.level.lastGrant) {
			found = cmp.Or(l.next(isSkipped), found)
		}
		isLower = true
	}
	return found
}

func (l *level) next(isSkipped func(*Request) bool) *Request {
	for i := range l.size() {
		if r := l.at(i); !isSkipped(r) {
			return r
		}
	}
	return nil
}

// last returns the last request of the lowest rank, or nil.
func (q *queue) last() *Request {
	for _, l := range slices.Backward(q.levels) {
		if size := l.size(); size > 0 {
			return l.at(size - 1)
		}
	}
	return nil
}

// recordOvertaking counts the grant of a request for those of its rank that began to wait
// before it, and for those of higher ranks unless the grant is the share of its rank.
func (q *queue) recordOvertaking(granted *Request) {
	isShare := q.isLowerDue()
	for _, l := range q.levels {
		isOwn := l == granted.level
		for i := range l.size() {
			if r := l.at(i); isOwn && r.number < granted.number || !isOwn && !isShare {
				r.overtaken++
			}
		}
		if isOwn {
			return
		}
	}
}

// recordGrant counts a grant of a request that waited and has been removed.
func (q *queue) recordGrant(granted *level, now clock.Millis) {
	q.granted++
	granted.grants.add(1, now)
	granted.lastGrant = q.granted
	switch {
	case q.hasHigher(granted):
		q.sinceShare = 0
	case q.hasLower(granted.rank, now):
		q.sinceShare++
	}
}

// hasHigher reports whether requests of a higher rank wait.
func (q *queue) hasHigher(than *level) bool {
	for _, l := range q.levels {
		if l == than {
			return false
		}
		if l.size() > 0 {
			return true
		}
	}
	return false
}
