package link

const (
	microsPerSecond = 1_000_000
	bytesPerMbit    = 125_000
)

// lane is one direction between two regions. The network's mutex guards it.
type lane struct {
	// bytesPerSecond is the bandwidth; 0 is without limit.
	bytesPerSecond int64
	// freeAt is when all that was booked so far has passed, in microseconds.
	freeAt int64
	// bytes counts all that was booked.
	bytes int64
	// second and inSecond are the last second with traffic and its bytes; worst
	// is the most bytes in any one second.
	second   int64
	inSecond int64
	worst    int64
}

// book lets size bytes queue behind what was booked before, and returns when
// they have passed. They count in the second in which they pass.
func (l *lane) book(now, size int64) (passedAt int64) {
	l.freeAt = max(l.freeAt, now)
	if l.bytesPerSecond > 0 {
		l.freeAt += size * microsPerSecond / l.bytesPerSecond
	}
	l.bytes += size
	if second := l.freeAt / microsPerSecond; second != l.second {
		l.second, l.inSecond = second, 0
	}
	l.inSecond += size
	l.worst = max(l.worst, l.inSecond)
	return l.freeAt
}
