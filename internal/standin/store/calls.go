package store

import (
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// CallKind names an operation of the store's API. Call counts are kept per kind.
type CallKind string

// CallPut and CallRemove are writes, the others are reads.
const (
	CallGet    CallKind = "get"
	CallList   CallKind = "list"
	CallWatch  CallKind = "watch"
	CallVMs    CallKind = "vms"
	CallPut    CallKind = "put"
	CallRemove CallKind = "remove"
)

func (k CallKind) isWrite() bool { return k == CallPut || k == CallRemove }

// Budget limits the reads and the writes that the store accepts per second. A limit of 0
// means unlimited.
type Budget struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

// DefaultBudget is the budget of the platform's real store.
var DefaultBudget = Budget{Reads: 2000, Writes: 400}

// maxKeptSeconds limits the length of CallCounts.Seconds.
const maxKeptSeconds = 120

// SecondCounts counts the calls of one second. A waiting watch counts as one read in
// each second during which it waits.
type SecondCounts struct {
	// At is the start of the second on the store's clock.
	At     clock.Millis       `json:"at"`
	Reads  int                `json:"reads"`
	Writes int                `json:"writes"`
	Calls  map[CallKind]int64 `json:"calls"`
}

// CallCounts holds statistics of all calls since the store was created.
type CallCounts struct {
	Total map[CallKind]int64 `json:"total"`
	// OverBudget counts calls rejected because the budget of their second was used
	// up. Total does not include them.
	OverBudget int64 `json:"refused"`
	// WaitingWatches is the current number of waiting watches, MaxWaitingWatches the
	// highest number at any time.
	WaitingWatches    int `json:"held"`
	MaxWaitingWatches int `json:"max_held"`
	// BusiestSecond is the second with the highest sum of reads and writes.
	BusiestSecond SecondCounts `json:"worst"`
	// MaxReadsPerSecond and MaxWritesPerSecond are the highest counts in any one
	// second, each taken separately.
	MaxReadsPerSecond  int `json:"worst_reads"`
	MaxWritesPerSecond int `json:"worst_writes"`
	// Seconds lists the most recent seconds with calls, oldest first, at most
	// maxKeptSeconds of them. A second in which watches waited but no call arrived is
	// not listed.
	Seconds []SecondCounts `json:"seconds"`
}

// meter counts calls and enforces a budget. The zero value is ready to use.
type meter struct {
	mu sync.Mutex
	// calls.Seconds ends with the most recent second that had a call. Guarded by mu.
	calls CallCounts
}

// admit counts a call and returns true, or returns false if the budget of the current
// second is used up. A limit of 0 admits every call.
func (m *meter) admit(now clock.Millis, kind CallKind, budget Budget) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	second := m.second(now)
	used, limit := &second.Reads, budget.Reads
	if kind.isWrite() {
		used, limit = &second.Writes, budget.Writes
	}
	if limit > 0 && *used >= limit {
		m.calls.OverBudget++
		return false
	}
	*used++
	second.Calls[kind]++
	if m.calls.Total == nil {
		m.calls.Total = map[CallKind]int64{}
	}
	m.calls.Total[kind]++
	m.updateMaxima(second)
	return true
}

// second returns the counts of the current second, and adds an entry for it if there
// is none yet. The entry starts with one read for each waiting watch. The caller must
// hold mu.
func (m *meter) second(now clock.Millis) *SecondCounts {
	at := now - now%clock.Second
	seconds := m.calls.Seconds
	if len(seconds) == 0 || seconds[len(seconds)-1].At != at {
		if len(seconds) >= maxKeptSeconds {
			seconds = append([]SecondCounts{}, seconds[1:]...)
		}
		m.calls.Seconds = append(seconds, SecondCounts{At: at, Reads: m.calls.WaitingWatches, Calls: map[CallKind]int64{}})
	}
	return &m.calls.Seconds[len(m.calls.Seconds)-1]
}

// updateMaxima updates the maxima with the counts of a second. The caller must hold mu.
func (m *meter) updateMaxima(second *SecondCounts) {
	m.calls.MaxReadsPerSecond = max(m.calls.MaxReadsPerSecond, second.Reads)
	m.calls.MaxWritesPerSecond = max(m.calls.MaxWritesPerSecond, second.Writes)
	if second.Reads+second.Writes > m.calls.BusiestSecond.Reads+m.calls.BusiestSecond.Writes {
		m.calls.BusiestSecond = second.copy()
	}
}

// addWaiting changes the number of waiting watches by delta: 1 when a watch starts to
// wait, -1 when it stops.
func (m *meter) addWaiting(delta int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.WaitingWatches += delta
	m.calls.MaxWaitingWatches = max(m.calls.MaxWaitingWatches, m.calls.WaitingWatches)
}

// snapshot returns a deep copy of the statistics.
func (m *meter) snapshot() CallCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	calls := m.calls
	calls.Total = copyCounts(m.calls.Total)
	calls.Seconds = make([]SecondCounts, 0, len(m.calls.Seconds))
	for i := range m.calls.Seconds {
		calls.Seconds = append(calls.Seconds, m.calls.Seconds[i].copy())
	}
	return calls
}

func (s *SecondCounts) copy() SecondCounts {
	second := *s
	second.Calls = copyCounts(s.Calls)
	return second
}

func copyCounts(counts map[CallKind]int64) map[CallKind]int64 {
	copied := make(map[CallKind]int64, len(counts))
	for kind, count := range counts {
		copied[kind] = count
	}
	return copied
}

// CallCounts returns a copy of the statistics of all calls so far.
func (s *Store) CallCounts() CallCounts { return s.meter.snapshot() }
