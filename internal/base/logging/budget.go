package logging

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// Kind is a kind of line with a budget of its own, so that a frequent kind never
// silences another.
type Kind string

// The kinds of lines about requests.
const (
	// Refused requests did not run; those over their workspace's rate are Limited.
	KindRefused     Kind = "refused"
	KindRateLimited Kind = "limited"
	// Failed requests were answered with a failure by an endpoint.
	KindFailed Kind = "failed"
	// Unknown requests may have run, but have no answer.
	KindOutcomeUnknown Kind = "unknown"
	// Resent requests were sent to more than one endpoint.
	KindRetried Kind = "resent"
	// Slow requests were answered later than their aim.
	KindSlow Kind = "slow"
	// Sampled requests stand for the others.
	KindSampled Kind = "sampled"
)

// linesPerSecond is each kind's budget.
var linesPerSecond = map[Kind]int64{
	KindRefused: 20, KindRateLimited: 10, KindOutcomeUnknown: 40, KindFailed: 20, KindRetried: 20, KindSlow: 10, KindSampled: 5,
}

// sampleOf is one of how many ordinary requests is logged.
const sampleOf = 64

// Budget counts lines by kind. Its zero value is ready.
type Budget struct {
	Clock clock.Clock

	mu sync.Mutex
	// kinds holds the count of each kind that was ever asked for. Guarded by mu.
	kinds map[Kind]*count
}

// count is what became of one kind of lines.
type count struct {
	// limit is the kind's budget a second; second is the number of the second that
	// kept counts.
	limit, second, kept int64
	// dropped counts the lines over budget since the last report.
	dropped int64
}

// Allow takes one line out of a kind's budget.
func (b *Budget) Allow(kind Kind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.kinds[kind]
	if c == nil {
		if b.kinds == nil {
			b.kinds = map[Kind]*count{}
		}
		c = &count{limit: linesPerSecond[kind]}
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

// takeDropped returns the lines over budget since the last call.
func (b *Budget) takeDropped() map[Kind]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := map[Kind]int64{}
	for kind, c := range b.kinds {
		taken[kind], c.dropped = c.dropped, 0
	}
	return taken
}

// IsSampled says whether an ordinary request is logged. All VMs choose the same
// ones.
func IsSampled(requestID string) bool {
	hash := uint32(2166136261)
	for i := range len(requestID) {
		hash = (hash ^ uint32(requestID[i])) * 16777619
	}
	return hash%sampleOf == 0
}

// KindBufferFull is the kind of lines that found the buffer full.
const KindBufferFull Kind = "buffer_full"

// ReportDropped tells and counts once a second what was dropped, until ctx ends.
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
			log.WithFields(fields).Warn("log lines were dropped")
		}
	}
}
