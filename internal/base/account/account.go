// Package account keeps a VM's account of its decisions: every decision that
// changes traffic leaves one line that says what was done, why, by whom and when.
package account

import (
	"sync"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// capacity is how many lines an Account keeps; the oldest go first.
const capacity = 4096

// Decision is one decision.
type Decision struct {
	// At is the wall time in Unix milliseconds.
	At clock.Millis `json:"at"`
	// VM is the VM that decided.
	VM string `json:"vm"`
	// Term is the term of the lease under which it decided, or 0 without one.
	Term int64 `json:"term,omitempty"`
	// What is a fixed word such as "move_advanced".
	What string `json:"what"`
	// Subject is what the decision is about, such as a service or a VM.
	Subject string `json:"subject"`
	// Why is for people. It never holds a key.
	Why string `json:"why"`
}

// DecisionLog is a bounded list of lines. Its zero value is ready; Log and Clock are
// optional.
type DecisionLog struct {
	VM    string
	Clock clock.Clock
	Log   logrus.FieldLogger

	mu sync.Mutex
	// lines is a ring once it is full; next is the place of the oldest line then.
	// Guarded by mu.
	lines []Decision
	next  int
}

// Add appends a line. Add sets VM and At.
func (a *DecisionLog) Add(line Decision) {
	line.VM = a.VM
	line.At = a.Clock.Wall()
	if a.Log != nil {
		a.Log.WithFields(logrus.Fields{"what": line.What, "subject": line.Subject, "term": line.Term}).Info(line.Why)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.lines) < capacity {
		a.lines = append(a.lines, line)
		return
	}
	a.lines[a.next] = line
	a.next = (a.next + 1) % capacity
}

// Decisions returns a copy of the kept lines, oldest first.
func (a *DecisionLog) Decisions() []Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	lines := make([]Decision, 0, len(a.lines))
	lines = append(lines, a.lines[a.next:]...)
	return append(lines, a.lines[:a.next]...)
}
