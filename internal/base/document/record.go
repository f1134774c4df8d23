package document

import (
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// ObjectPrefix is the prefix of the store keys of current document records.
const ObjectPrefix = "documents/"

// Record is an accepted document as stored at ObjectPrefix + Name.
type Record struct {
	Name string `json:"name"`
	// Revision numbers the accepted texts of the document from 1. It never
	// decreases.
	Revision int64  `json:"revision"`
	Text     string `json:"text"`
	Author   string `json:"author"`
	// AcceptedAt is the wall time in Unix milliseconds.
	AcceptedAt clock.Millis `json:"accepted_at"`
	// WriteID is the unique id of the write that created the record.
	WriteID string `json:"write_id"`
	// EarlierWriteIDs holds the write ids of the last few revisions, newest
	// first. With them a writer whose reply was lost recognises its own change
	// even after a later revision has replaced it.
	EarlierWriteIDs []string `json:"earlier_write_ids,omitempty"`
}

// HistoryPrefix is the prefix of the store keys of superseded records. The key
// is HistoryPrefix + Name + "/" + Revision.
const HistoryPrefix = "documents-history/"

// maxEarlierWriteIDs is the maximum length of Record.EarlierWriteIDs.
const maxEarlierWriteIDs = 8

// Next returns the record that follows r. The caller must set its WriteID.
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

// HasWrite reports whether r, or one of the recent revisions before it, was
// created by the write with the given id.
func (r *Record) HasWrite(id string) bool {
	return id != "" && (r.WriteID == id || slices.Contains(r.EarlierWriteIDs, id))
}
