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
	// Refused requests did not run.
	Refused Kind = "refused"
	// Unknown requests may have run, but have no answer.
	Unknown Kind = "unknown"
	// Resent requests were sent to more than one endpoint.
	Resent Kind = "resent"
	// Slow requests were answered later than their aim.
	Slow Kind = "slow"
	// Sampled requests stand for the others.
	Sampled Kind = "sampled"
)

// linesPerSecond is each kind's budget.
var linesPerSecond = map[Kind]int{Refused: 20, Unknown: 40, Resent: 20, Slow: 10, Sampled: 5}

// sampleOf is one of how many ordinary requests is logged.
const sampleOf = 64

// Budget counts lines by kind. Its zero value is ready.
type Budget struct {
	Clock clock.Clock

	mu sync.Mutex
	// second is the number of the current second, counts its lines by kind. Guarded
	// by mu.
	second int64
	counts map[Kind]int
	// dropped counts the lines over budget since the last report. Guarded by mu.
	dropped map[Kind]int64
}

// Allow takes one line out of a kind's budget.
func (b *Budget) Allow(kind Kind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.counts == nil {
		b.counts, b.dropped = map[Kind]int{}, map[Kind]int64{}
	}
	if second := int64(b.Clock.Now() / clock.Second); second != b.second {
		b.second = second
		clear(b.counts)
	}
	if b.counts[kind] >= linesPerSecond[kind] {
		b.dropped[kind]++
		return false
	}
	b.counts[kind]++
	return true
}

// takeDropped returns the lines over budget since the last call.
func (b *Budget) takeDropped() map[Kind]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.dropped
	b.dropped = map[Kind]int64{}
	if taken == nil {
		taken = map[Kind]int64{}
	}
	return taken
}

// IsSample says whether an ordinary request is logged. All VMs choose the same
// ones.
func IsSample(requestID string) bool {
	hash := uint32(2166136261)
	for i := range len(requestID) {
		hash = (hash ^ uint32(requestID[i])) * 16777619
	}
	return hash%sampleOf == 0
}

// BufferFull is the kind of lines that found the buffer full.
const BufferFull Kind = "buffer_full"

// Report tells and counts once a second what was dropped, until ctx ends.
func Report(ctx context.Context, log logrus.FieldLogger, budget *Budget, writer *Writer, count func(kind Kind, lines int64)) {
	for clock.Sleep(ctx, clock.Second) == nil {
		dropped := budget.takeDropped()
		dropped[BufferFull] = writer.TakeDropped()
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
