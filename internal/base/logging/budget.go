package logging

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// Kind is a kind of log line. Each kind has its own rate limit, so that a
// frequent kind never suppresses another.
type Kind string

// Kinds of log lines about requests.
const (
	// KindRefused and KindRateLimited lines are about requests that were refused
	// and did not run. KindRateLimited is for requests over the rate of their
	// workspace.
	KindRefused     Kind = "refused"
	KindRateLimited Kind = "limited"
	// KindFailed lines are about requests to which an endpoint responded with a
	// failure.
	KindFailed Kind = "failed"
	// KindOutcomeUnknown lines are about requests without a response that may have run.
	KindOutcomeUnknown Kind = "unknown"
	// KindRetried lines are about requests that were sent to more than one
	// endpoint.
	KindRetried Kind = "resent"
	// KindSlow lines are about requests whose latency exceeded the target latency
	// of their route.
	KindSlow Kind = "slow"
	// KindUndelivered lines are about answers that were written and not delivered.
	KindUndelivered Kind = "undelivered"
	// KindSampled lines are about a sample of all other requests.
	KindSampled Kind = "sampled"
)

// linesPerSecond is the maximum number of lines per second of each kind.
var linesPerSecond = map[Kind]int64{
	KindRefused: 20, KindRateLimited: 10, KindOutcomeUnknown: 40, KindFailed: 20, KindRetried: 20, KindSlow: 10, KindUndelivered: 20, KindSampled: 5,
}

// sampleInterval is the sampling rate of ordinary requests: one in
// sampleInterval is logged.
const sampleInterval = 64

// Budget limits the rate of log lines by kind. Its zero value is ready to use.
type Budget struct {
	Clock clock.Clock

	mu sync.Mutex
	// kinds holds the counts of each kind that was passed to Allow. Guarded by
	// mu.
	kinds map[Kind]*kindState
}

// kindState is the state of one kind of log line.
type kindState struct {
	// limit is the kind's limit in lines per second. kept is the number of lines
	// allowed in the current second, whose number is second.
	limit, second, kept int64
	// dropped is the number of lines dropped since the last report.
	dropped int64
}

// Allow reports whether a line of the kind may be logged now, and counts it as
// logged or dropped.
func (b *Budget) Allow(kind Kind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.kinds[kind]
	if c == nil {
		if b.kinds == nil {
			b.kinds = map[Kind]*kindState{}
		}
		c = &kindState{limit: linesPerSecond[kind]}
		b.kinds[kind] = c
	}
	if second := int64(b.Clock.Now() / clock.Second); second != c.second {
		c.second, c.kept = second, 0
	}
	if c.kept >= c.limit {
		c.dropped++
		return false
	}
	c.kept++
	return true
}

// takeDropped returns the number of dropped lines by kind since the last call.
func (b *Budget) takeDropped() map[Kind]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := map[Kind]int64{}
	for kind, c := range b.kinds {
		taken[kind], c.dropped = c.dropped, 0
	}
	return taken
}

// IsSampled reports whether an ordinary request is logged. It depends only on
// the FNV-1a hash of the request id, so all VMs choose the same requests.
func IsSampled(requestID string) bool {
	hash := uint32(2166136261)
	for i := range len(requestID) {
		hash = (hash ^ uint32(requestID[i])) * 16777619
	}
	return hash%sampleInterval == 0
}

// KindBufferFull is the kind under which lines are counted that the Writer
// dropped because its buffer was full.
const KindBufferFull Kind = "buffer_full"

// ReportDropped logs the number of dropped lines by kind once a second and
// passes it to count, until ctx ends.
func ReportDropped(ctx context.Context, log logrus.FieldLogger, budget *Budget, writer *Writer, count func(kind Kind, lines int64)) {
	for clock.Sleep(ctx, clock.Second) == nil {
		dropped := budget.takeDropped()
		dropped[KindBufferFull] = writer.TakeDropped()
		fields := logrus.Fields{}
		for kind, lines := range dropped {
			if lines > 0 {
				fields["dropped_"+string(kind)] = lines
				count(kind, lines)
			}
		}
		if len(fields) > 0 {
			log.WithFields(fields).Warn("log lines dropped: over the rate limit of their kind, or buffer full")
		}
	}
}
