package usage

import (
	"encoding/json"
	"slices"
	"strconv"

	"baobabladder.example/baobabladder/internal/base/fault"
)

// Limits on the frozen windows that have not been acknowledged. Beyond either, the oldest is
// given up: the store's object must stay small, and so must the time to catch up.
const (
	maxFrozen      = 24
	maxFrozenBytes = 256 << 10
)

// Frozen is a window whose counts no longer change.
type Frozen struct {
	Window Window `json:"window_id"`
	// Body is the exact body of the report. A repeated report must be identical in every
	// byte.
	Body string `json:"body"`
}

// Progress is the state of the duty, as it is stored: which windows are frozen and not
// reported yet.
type Progress struct {
	// Frozen lists the windows whose counts are taken and not acknowledged, oldest first.
	Frozen []Frozen `json:"frozen"`
	// Next is the next window to freeze; 0 before the first.
	Next Window `json:"next"`
}

// DecodeProgress decodes the state of the duty. An empty text is that of a duty which no VM
// ever held.
func DecodeProgress(text []byte) (p Progress, err error) {
	defer fault.Annotate(&err, "decoding the state of usage reports")
	if len(text) == 0 {
		return Progress{}, nil
	}
	return p, json.Unmarshal(text, &p)
}

// Encode returns the state as it is stored.
func (p *Progress) Encode() ([]byte, error) { return json.Marshal(p) }

// Clone returns a copy that shares nothing that changes.
func (p *Progress) Clone() Progress { return Progress{slices.Clone(p.Frozen), p.Next} }

// Freeze takes the counts of the next window.
func (p *Progress) Freeze(counts Counts) {
	p.Frozen = append(p.Frozen, Frozen{p.Next, formatReport(p.Next, counts)})
	p.Next++
}

// formatReport returns the body of a window's report.
func formatReport(window Window, counts Counts) string {
	if counts == nil {
		counts = Counts{}
	}
	encoded, err := json.Marshal(counts)
	if err != nil {
		// A map of strings to integers can always be encoded.
		panic(err)
	}
	return `{"window_id":` + strconv.FormatInt(int64(window), 10) + `,"counts":` + string(encoded) + `}`
}

// Remove removes the windows that need no more calls.
func (p *Progress) Remove(isDone func(Window) bool) {
	p.Frozen = slices.DeleteFunc(p.Frozen, func(f Frozen) bool { return isDone(f.Window) })
}

// Trim removes the oldest windows above the limits and returns them.
func (p *Progress) Trim() (givenUp []Window) {
	bytes := 0
	for i := range p.Frozen {
		bytes += len(p.Frozen[i].Body)
	}
	for len(p.Frozen) > maxFrozen || bytes > maxFrozenBytes {
		givenUp = append(givenUp, p.Frozen[0].Window)
		bytes -= len(p.Frozen[0].Body)
		p.Frozen = p.Frozen[1:]
	}
	return givenUp
}

// SkipTo moves Next ahead if more than maxFrozen windows before the open one are not frozen yet,
// so that maxFrozen are left. It returns the number of windows that it skips.
func (p *Progress) SkipTo(open Window) (skipped Window) {
	oldest := open - maxFrozen
	if p.Next >= oldest {
		return 0
	}
	skipped = oldest - p.Next
	p.Next = oldest
	return skipped
}
