package store

import (
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// CallKind is a kind of call.
type CallKind string

// The kinds of calls. Put and Remove are writes, the others reads.
const (
	CallGet    CallKind = "get"
	CallList   CallKind = "list"
	CallWatch  CallKind = "watch"
	CallVMs    CallKind = "vms"
	CallPut    CallKind = "put"
	CallRemove CallKind = "remove"
)

func (k CallKind) isWrite() bool { return k == CallPut || k == CallRemove }

// Budget is how many calls a second the store takes.
type Budget struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

// DefaultBudget is what the platform's store takes.
var DefaultBudget = Budget{Reads: 2000, Writes: 400}

// keptSeconds is how many past seconds Calls shows one by one.
const keptSeconds = 120

// SecondCounts is what was called within one second. A watch that waits counts as one
// read in each second in which it waits.
type SecondCounts struct {
	// At is the second's start on the store's clock.
	At     clock.Millis       `json:"at"`
	Reads  int                `json:"reads"`
	Writes int                `json:"writes"`
	Calls  map[CallKind]int64 `json:"calls"`
}

// CallCounts is the account of the calls so far.
type CallCounts struct {
	Total map[CallKind]int64 `json:"total"`
	// Refused counts calls over the budget; they are not in Total.
	OverBudget int64 `json:"refused"`
	// Held is how many watches wait now, MaxHeld the most at one time.
	WaitingWatches    int `json:"held"`
	MaxWaitingWatches int `json:"max_held"`
	// Worst is the second with the most reads and writes together.
	BusiestSecond SecondCounts `json:"worst"`
	// WorstReads and WorstWrites are the most of each in any one second.
	MaxReadsPerSecond  int `json:"worst_reads"`
	MaxWritesPerSecond int `json:"worst_writes"`
	// Seconds holds the last seconds with calls, oldest first.
	Seconds []SecondCounts `json:"seconds"`
}

// meter counts calls and enforces a budget. Its zero value is ready.
type meter struct {
	mu sync.Mutex
	// calls.Seconds ends with the current second. Guarded by mu.
	calls CallCounts
}

// admit counts a call, or refuses it if its second's budget is spent.
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
	m.noteWorst(second)
	return true
}

// second returns the current second. Callers hold mu.
func (m *meter) second(now clock.Millis) *SecondCounts {
	at := now - now%clock.Second
	seconds := m.calls.Seconds
	if len(seconds) == 0 || seconds[len(seconds)-1].At != at {
		if len(seconds) >= keptSeconds {
			seconds = append([]SecondCounts{}, seconds[1:]...)
		}
		m.calls.Seconds = append(seconds, SecondCounts{At: at, Reads: m.calls.WaitingWatches, Calls: map[CallKind]int64{}})
	}
	return &m.calls.Seconds[len(m.calls.Seconds)-1]
}

// noteWorst keeps the largest figures. Callers hold mu.
func (m *meter) noteWorst(second *SecondCounts) {
	m.calls.MaxReadsPerSecond = max(m.calls.MaxReadsPerSecond, second.Reads)
	m.calls.MaxWritesPerSecond = max(m.calls.MaxWritesPerSecond, second.Writes)
	if second.Reads+second.Writes > m.calls.BusiestSecond.Reads+m.calls.BusiestSecond.Writes {
		m.calls.BusiestSecond = second.copy()
	}
}

// hold notes that a watch begins (1) or ends (-1) to wait.
func (m *meter) hold(change int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.WaitingWatches += change
	m.calls.MaxWaitingWatches = max(m.calls.MaxWaitingWatches, m.calls.WaitingWatches)
}

// snapshot returns a copy of the account.
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

// CallCounts returns the account of the calls so far.
func (s *Store) CallCounts() CallCounts { return s.meter.snapshot() }
