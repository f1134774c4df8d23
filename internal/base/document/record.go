package document

import (
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// ObjectPrefix starts the store keys of document records.
const ObjectPrefix = "documents/"

// Record is an accepted document as the store keeps it, at ObjectPrefix + Name.
type Record struct {
	Name string `json:"name"`
	// Revision counts the document's accepted texts from 1; it never falls.
	Revision int64  `json:"revision"`
	Text     string `json:"text"`
	Author   string `json:"author"`
	// AcceptedAt is in Unix milliseconds.
	AcceptedAt clock.Millis `json:"accepted_at"`
	// WriteID is unique to the change that wrote the record.
	WriteID string `json:"write_id"`
	// EarlierWriteIDs holds those of the last few revisions before, newest first,
	// so that a change whose answer was lost is still recognised once a later one
	// stands on it.
	EarlierWriteIDs []string `json:"earlier_write_ids,omitempty"`
}

// HistoryPrefix starts the store keys of records that a later revision replaced:
// HistoryPrefix + Name + "/" + Revision.
const HistoryPrefix = "documents-history/"

// maxEarlierWriteIDs bounds Record.EarlierWriteIDs.
const maxEarlierWriteIDs = 8

// Next returns the record that follows r, without its WriteID.
func (r *Record) Next(text, author string, at clock.Millis) Record {
	earlier := append([]string{r.WriteID}, r.EarlierWriteIDs...)
	return Record{
		Name:            r.Name,
		Revision:        r.Revision + 1,
		Text:            text,
		Author:          author,
		AcceptedAt:      at,
		EarlierWriteIDs: earlier[:min(len(earlier), maxEarlierWriteIDs)],
	}
}

// HasWrite reports whether the change with the given write id stands in r or in
// a revision that r followed lately.
func (r *Record) HasWrite(id string) bool {
	return id != "" && (r.WriteID == id || slices.Contains(r.EarlierWriteIDs, id))
}
