package link

const (
	microsPerSecond = 1_000_000
	bytesPerMbit    = 125_000
)

// directedLink is one direction of the link between two regions. It is guarded by the
// mutex of its Network.
type directedLink struct {
	// bytesPerSecond is the bandwidth; 0 means unlimited.
	bytesPerSecond int64
	// busyUntilMicros is the time at which all data queued so far has been sent, in
	// microseconds of the network's clock.
	busyUntilMicros int64
	// bytes is the total of all data queued.
	bytes int64
	// lastSecond is the last second with traffic, counted from the zero of the network's
	// clock, and lastSecondBytes its traffic. maxBytesPerSecond is the highest traffic
	// of any one second.
	lastSecond        int64
	lastSecondBytes   int64
	maxBytesPerSecond int64
}

// reserve queues size bytes behind the data queued before, and returns the time at which
// they have been sent, in microseconds. They all count as traffic of the second in which
// the last of them is sent.
func (l *directedLink) reserve(nowMicros, size int64) (sentAtMicros int64) {
	l.busyUntilMicros = max(l.busyUntilMicros, nowMicros)
	if l.bytesPerSecond > 0 {
		l.busyUntilMicros += size * microsPerSecond / l.bytesPerSecond
	}
	l.bytes += size
	if second := l.busyUntilMicros / microsPerSecond; second != l.lastSecond {
		l.lastSecond, l.lastSecondBytes = second, 0
	}
	l.lastSecondBytes += size
	l.maxBytesPerSecond = max(l.maxBytesPerSecond, l.lastSecondBytes)
	return l.busyUntilMicros
}
