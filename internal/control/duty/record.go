package duty

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"math"
	"slices"

	"baobabladder.example/baobabladder/internal/world/vm"
)

// maxPrevious bounds Record.Previous. Within one lease time each VM can acquire a duty
// only once, so it is above the number of VMs that contend at a time.
const maxPrevious = 32

// Record is the spec of a duty's object.
type Record struct {
	// Holder is the zero ID after a release.
	Holder vm.ID `json:"holder"`
	// Term is the fencing token. Its era is that of the store when the duty was acquired;
	// see tracker.EraOf.
	Term int64 `json:"term"`
	// Renewed counts the writes within the term after the first one.
	Renewed int64 `json:"renewed"`
	// WriteID is unique to the write that stored the record. Its part before "-" is that of
	// the run of the VM that wrote it.
	WriteID string `json:"write_id"`
	// Previous holds the holders before Holder that may have acted within the last lease
	// time, oldest first and at most one for each VM name. The zero FormerHolder stands for
	// holders that are not known.
	Previous []FormerHolder `json:"previous,omitempty"`
	// State is the JSON of the duty itself.
	State json.RawMessage `json:"state,omitempty"`
}

// FormerHolder is a former holder of a duty.
type FormerHolder struct {
	Holder vm.ID `json:"holder"`
	Term   int64 `json:"term"`
}

// isValid reports whether the record's term is in range and can be followed by a higher one.
func (r *Record) isValid() bool { return r.Term >= 0 && r.Term < math.MaxInt64 }

// mayHaveActed reports whether a VM is among the previous holders, in any incarnation, or
// may be one that is not known.
func (r *Record) mayHaveActed(name string) bool {
	return slices.ContainsFunc(r.Previous, func(t FormerHolder) bool { return t.Holder.Name == name || t == FormerHolder{} })
}

// isHistoryKnown reports whether the record names a holder or its former ones. A record
// that was just created, or that can't be decoded, does not.
func (r *Record) isHistoryKnown() bool { return r.Holder != (vm.ID{}) || len(r.Previous) > 0 }

// previousWith returns Previous with a former holder at its end.
func (r *Record) previousWith(last FormerHolder) (previous []FormerHolder) {
	previous = slices.DeleteFunc(slices.Clone(r.Previous), func(t FormerHolder) bool { return t.Holder.Name == last.Holder.Name })
	previous = append(previous, last)
	if dropped := len(previous) - maxPrevious; dropped > 0 {
		previous = previous[dropped:]
		previous[0] = FormerHolder{}
	}
	return previous
}

// isNewerThan reports whether r was written after other, in the same term or in a later one.
func (r *Record) isNewerThan(other *Record) bool {
	return r.Term > other.Term || r.Term == other.Term && r.Renewed > other.Renewed
}

// newRunID returns the prefix of the write IDs of one run of a VM. It tells runs apart also
// if their incarnations are equal because the wall clock was set back.
func newRunID() string {
	id := make([]byte, 12)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}
