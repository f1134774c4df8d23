// Package account keeps the log of a VM's decisions. Every decision that
// changes traffic is recorded as one entry that states what was done, why, by
// which VM and when.
package account

import (
	"sync"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// capacity is the number of entries that a DecisionLog keeps; the oldest are
// dropped first.
const capacity = 4096

// Decision is one entry of the log.
type Decision struct {
	// At is the wall time in Unix milliseconds.
	At clock.Millis `json:"at"`
	// VM is the name of the VM that made the decision.
	VM string `json:"vm"`
	// Term is the term of the lease under which the VM decided, or 0 if it held
	// none.
	Term int64 `json:"term,omitempty"`
	// What is a fixed identifier of the kind of decision, such as
	// "move_advanced".
	What string `json:"what"`
	// Subject is the service, VM or other object that the decision concerns.
	Subject string `json:"subject"`
	// Why is an explanation for operators. It must not contain an API key.
	Why string `json:"why"`
}

// DecisionLog is a bounded list of decisions. Its zero value is ready to use;
// Log and Clock are optional.
type DecisionLog struct {
	VM    string
	Clock clock.Clock
	Log   logrus.FieldLogger

	mu sync.Mutex
	// decisions is a ring buffer once it is full; next is then the index of the
	// oldest entry. Guarded by mu.
	decisions []Decision
	next      int
}

// Add appends a decision. It sets VM and At.
func (l *DecisionLog) Add(decision Decision) {
	decision.VM = l.VM
	decision.At = l.Clock.Wall()
	if l.Log != nil {
		l.Log.WithFields(logrus.Fields{"what": decision.What, "subject": decision.Subject, "term": decision.Term}).Info(decision.Why)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.decisions) < capacity {
		l.decisions = append(l.decisions, decision)
		return
	}
	l.decisions[l.next] = decision
	l.next = (l.next + 1) % capacity
}

// Decisions returns a copy of the recorded decisions, oldest first.
func (l *DecisionLog) Decisions() []Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	decisions := make([]Decision, 0, len(l.decisions))
	decisions = append(decisions, l.decisions[l.next:]...)
	return append(decisions, l.decisions[:l.next]...)
}
