// Package waiting orders the requests that wait at their VM until an endpoint of their
// service has room. It decides which request is tried next when room appears, whether a
// request may begin or continue to wait, and which one is refused when too many wait.
//
// Requests of a higher rank come first, but of lowerShare grants of a service one goes to
// the lower ranks that wait. Inside a rank, requests that can still meet the target of their
// route come first, the one with the least slack before others. Those that can only meet
// their deadline follow, the one with the shortest run before others.
//
// A request waits only if it is expected to end in time. The expected wait follows from the
// requests ahead of it and the rate at which requests of the service were granted room at
// this VM.
//
// The package does no I/O and starts no goroutines; see package gateway for its use.
package waiting

import (
	"sync"
	"sync/atomic"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/routing"
)

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of refusals. Their lower bound is
	// that of refusals for which no queue exists.
	minRetryAfter = 250 * clock.Millis(1)
	maxRetryAfter = 2 * clock.Second
)

// Limits bound the requests that wait.
type Limits struct {
	// PerService and Total bound the number of requests that wait for one service and for all.
	PerService, Total int
	// Bytes bounds the size of the bodies of all waiting requests.
	Bytes int64
}

// DefaultLimits are the limits of a VM. A VM has 136 MB or more, of which the bodies of
// waiting requests may take an eighth.
var DefaultLimits = Limits{PerService: 256, Total: 1024, Bytes: 16 << 20}

// Cause is the reason for which a request may not wait.
type Cause string

// Values of Cause.
const (
	// Late: the request is not expected to end in time.
	Late Cause = "late"
	// Full: as many requests wait as may, and no other one costs less to turn away.
	Full Cause = "full"
	// Displaced: the request waited and gave way to one that costs more to turn away.
	Displaced Cause = "displaced"
)

// Request is a request that waits or is to wait. The fields up to Owner are set by the caller
// and must not change while it waits.
type Request struct {
	Service string
	Rank    routing.Rank
	// Bytes is the size of the body that is kept while the request waits.
	Bytes int64
	// Target is the time at which the request should have been answered, Deadline that at
	// which it must have been.
	Target, Deadline clock.Millis
	// Run is the expected time from the grant to the answer.
	Run clock.Millis
	// Owner is not used by this package.
	Owner any

	// RetryAfter is set when the request is refused.
	RetryAfter clock.Millis
	// Ahead is the number of requests that were ahead when the request began to wait at Since.
	Ahead int
	Since clock.Millis

	// level is nil unless the request waits. isPastTarget reports whether the
	// request can no longer meet its target, and so in which list of its level it is.
	level        *level
	isPastTarget bool
	// number counts requests in the order in which they began to wait.
	number int64
	// overtaken counts the grants to requests that came later or are of a lower rank. They show
	// that this request cannot use some of the room, or that others keep coming before it.
	overtaken int
}

// latestStart is the latest time of a grant with which the request meets its target.
func (r *Request) latestStart() clock.Millis { return r.Target - r.Run }

// canEnd reports whether the request is expected to end by its deadline after a wait.
func (r *Request) canEnd(now, wait clock.Millis) bool { return now+wait+r.Run <= r.Deadline }

// Queues holds the waiting requests of a VM by service. The zero value with Limits is ready
// to use.
type Queues struct {
	Clock  clock.Clock
	Limits Limits

	// count is the number of waiting requests. It is written only under mu.
	count atomic.Int64

	mu sync.Mutex
	// queues has an entry for each service of which a request was seen. Guarded by mu.
	queues map[string]*queue
	// bytes is the size of the bodies of all waiting requests. Guarded by mu.
	bytes int64
	// lastNumber is the number of the request that began to wait last. Guarded by mu.
	lastNumber int64
}

// Count returns the number of waiting requests.
func (q *Queues) Count() int { return int(q.count.Load()) }

// Services appends the names of the services for which requests wait.
func (q *Queues) Services(names []string) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, queue := range q.queues {
		if queue.waiting > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Begin reports whether a new request may be given room at once. It may not while requests of
// the same or a higher rank wait for the service, or if the next grant is due to a lower rank
// that waits. If that grant is due to lower ranks and none of them waits, it may be the
// request's. If it may, the request is counted as granted; Withdraw undoes that if there was no
// room.
func (q *Queues) Begin(service string, rank routing.Rank) (mayTry bool) {
	now := q.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue(service).begin(rank, now)
}

// Withdraw undoes the effect of a call of Begin that returned true.
func (q *Queues) Withdraw(service string, rank routing.Rank) {
	now := q.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue(service).withdraw(rank, now)
}

// Add adds a request to the queue of its service. If it may not wait, cause is set, and so is
// the request's RetryAfter. displaced holds the requests that were removed to make place for it.
func (q *Queues) Add(r *Request) (cause Cause, displaced []*Request) {
	now := q.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.queue(r.Service)
	queue.movePastTarget(now)
	r.isPastTarget = r.latestStart() < now
	ahead, wait := queue.outlook(r, now)
	r.Ahead, r.RetryAfter = ahead, retryAfter(wait)
	if !r.canEnd(now, wait) {
		queue.level(r.Rank).deny(now)
		return Late, nil
	}
	displaced, ok := q.makePlace(queue, r, now)
	if !ok {
		queue.level(r.Rank).deny(now)
		return Full, nil
	}
	q.lastNumber++
	r.Since, r.number = now, q.lastNumber
	q.insert(queue, r)
	return "", displaced
}

// Next returns the first request in order that waits for the service and is not skipped, or
// nil.
func (q *Queues) Next(service string, isSkipped func(*Request) bool) *Request {
	now := q.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.queue(service)
	queue.movePastTarget(now)
	return queue.next(isSkipped)
}

// Grant removes a request that was given room, and counts the grant. It returns false if the
// request no longer waits.
func (q *Queues) Grant(r *Request) bool {
	now := q.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if r.level == nil {
		return false
	}
	queue, level := q.queue(r.Service), r.level
	queue.recordOvertaking(r)
	q.remove(queue, r)
	queue.recordGrant(level, now)
	return true
}

// Remove removes a request that no longer waits, and returns false if it did not.
func (q *Queues) Remove(r *Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r.level == nil {
		return false
	}
	q.remove(q.queue(r.Service), r)
	return true
}

// RemoveLate removes the requests of a service that are no longer expected to end in time, and
// appends them to removed.
func (q *Queues) RemoveLate(service string, removed []*Request) []*Request {
	now := q.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.queue(service)
	queue.movePastTarget(now)
	first := len(removed)
	removed = queue.missingDeadline(removed, now)
	for _, r := range removed[first:] {
		q.remove(queue, r)
	}
	return removed
}

// All appends the requests that wait for a service, in order of rank.
func (q *Queues) All(service string, requests []*Request) []*Request {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, level := range q.queue(service).levels {
		requests = append(append(requests, level.onTime...), level.pastTarget...)
	}
	return requests
}

// makePlace removes requests until r may wait within the limits. It removes none if requests
// that cost less to turn away do not suffice. The caller must hold mu.
func (q *Queues) makePlace(queue *queue, r *Request, now clock.Millis) (displaced []*Request, ok bool) {
	for {
		var last *Request
		switch {
		case queue.waiting >= q.Limits.PerService:
			last = queue.last()
		case q.Count() >= q.Limits.Total || q.bytes+r.Bytes > q.Limits.Bytes:
			last = q.last(now)
		default:
			for _, each := range displaced {
				_, wait := q.queue(each.Service).outlook(each, now)
				each.RetryAfter = retryAfter(wait)
			}
			return displaced, true
		}
		if last == nil || compare(last, r) <= 0 {
			for _, each := range displaced {
				q.insert(q.queue(each.Service), each)
			}
			return nil, false
		}
		q.remove(q.queue(last.Service), last)
		displaced = append(displaced, last)
	}
}

// last returns the request that costs least to turn away, or nil. The caller must hold mu.
func (q *Queues) last(now clock.Millis) (last *Request) {
	for _, queue := range q.queues {
		queue.movePastTarget(now)
		if r := queue.last(); r != nil && (last == nil || compare(r, last) > 0) {
			last = r
		}
	}
	return last
}

// queue returns the queue of a service. The caller must hold mu.
func (q *Queues) queue(service string) *queue {
	found := q.queues[service]
	if found == nil {
		if q.queues == nil {
			q.queues = map[string]*queue{}
		}
		found = &queue{}
		q.queues[service] = found
	}
	return found
}

func (q *Queues) insert(queue *queue, r *Request) {
	queue.insert(r)
	q.bytes += r.Bytes
	q.count.Add(1)
}

func (q *Queues) remove(queue *queue, r *Request) {
	queue.remove(r)
	q.bytes -= r.Bytes
	q.count.Add(-1)
}

// retryAfter returns the Retry-After of a request that would have waited for wait.
func retryAfter(wait clock.Millis) clock.Millis { return min(max(wait, minRetryAfter), maxRetryAfter) }
