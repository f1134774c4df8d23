package mover

import (
	"fmt"

	"baobabladder.example/baobabladder/internal/base/account"
	"baobabladder.example/baobabladder/internal/policy/move"
)

// recordChanges adds each new change of a move to the decision log. After a start of
// the VM it adds only the last change.
func (m *Mover) recordChanges(state *move.State) {
	if m.Decisions == nil || len(state.History) == 0 {
		return
	}
	m.mu.Lock()
	last, known := m.lastRecorded[state.Service]
	if m.lastRecorded == nil {
		m.lastRecorded = map[string]move.Change{}
	}
	m.lastRecorded[state.Service] = state.History[len(state.History)-1]
	m.mu.Unlock()
	for _, change := range changesAfter(state.History, last, known) {
		m.Decisions.Add(account.Decision{
			Term:    change.Term,
			What:    "move_" + string(change.Stage),
			Subject: state.Service + "/" + state.To,
			Why:     fmt.Sprintf("share %d of 1000, decided by %s: %s", change.Share, change.VM, change.Why),
		})
	}
}

// changesAfter returns the changes after last. Without a known last change it returns
// only the newest.
func changesAfter(history []move.Change, last move.Change, known bool) []move.Change {
	if !known {
		return history[len(history)-1:]
	}
	for i := len(history) - 1; i >= 0; i-- {
		if history[i] == last {
			return history[i+1:]
		}
	}
	return history
}

func (m *Mover) recordSuspension(suspension move.Suspension) {
	if m.Decisions == nil {
		return
	}
	m.Decisions.Add(account.Decision{
		What:    "version_suspended",
		Subject: suspension.Service + "/" + suspension.To,
		Why:     "found by " + suspension.VM + " on route " + suspension.Route + ": " + suspension.Why,
	})
}
