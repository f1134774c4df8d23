package document

import "baobabladder.example/baobabladder/internal/base/clock"

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
}
