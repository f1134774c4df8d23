package balance

import "baobabladder.example/baobabladder/internal/base/clock"

// replacedLimitTime is how long a replaced limit holds after the endpoint has ceased to name
// any: the length of the windows over which its requests are counted.
const replacedLimitTime = 4 * clock.Second

// replacedLimit is the lowest limit that another one has replaced. An endpoint names only its
// newest limit, and an earlier one may outlast it. The zero value is that of none.
type replacedLimit struct {
	limit Limit
	// until is when the limit ends, and 0 while the endpoint names another one.
	until clock.Millis
}

// holds reports whether there is a replaced limit that has not ended.
func (r *replacedLimit) holds(now clock.Millis) bool {
	return r.limit.Statement == LimitNamed && (r.until == 0 || now < r.until)
}

// change records that the endpoint has stated one thing and now states another.
func (r *replacedLimit) change(from, to Limit, readAt clock.Millis) {
	if !r.holds(readAt) {
		*r = replacedLimit{}
	}
	r.until = 0
	switch {
	case to.Statement == LimitNone:
		r.until = readAt + replacedLimitTime
	case from.Statement == LimitNamed && to != r.limit && (r.limit.Statement != LimitNamed || from.Rate < r.limit.Rate):
		r.limit = from
	}
}

// binding returns the rate of the limit that binds now, if any does: the one that the endpoint
// names, or else the one that it replaced.
func (l *limitState) binding(now clock.Millis) (rate float64, ok bool) {
	if !l.isNamed() && l.replaced.holds(now) {
		return l.replaced.limit.Rate, true
	}
	return l.stated.Rate, l.isNamed()
}

// binds reports whether a limit binds now.
func (l *limitState) binds(now clock.Millis) bool {
	_, ok := l.binding(now)
	return ok
}
