// Package operator speaks HTTP to operators: documents, keys, status, version
// moves, the account of decisions, metrics and health. A change is accepted once
// it is written in the platform's store; the answer names the VMs in which it is
// in force.
package operator

import (
	"encoding/json"

	"baobabladder.example/baobabladder/internal/base/account"
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/membership"
)

// ErrorCode is the fixed word of a failed command.
type ErrorCode string

// The ways in which a command fails.
const (
	Invalid        ErrorCode = "invalid"
	NotFound       ErrorCode = "not_found"
	Conflict       ErrorCode = "conflict"
	NotReady       ErrorCode = "not_ready"
	Unavailable    ErrorCode = "store_unavailable"
	OutcomeUnknown ErrorCode = "outcome_unknown"
	Internal       ErrorCode = "internal"
)

// Failure is the body of an answer to a command that failed. It is an error.
type Failure struct {
	Code   ErrorCode `json:"error"`
	Detail string    `json:"detail"`
	// CurrentRevision and Difference stand with a conflict: the document's newest
	// revision and what the refused text would change in it.
	CurrentRevision int64    `json:"current_revision,omitempty"`
	CurrentAuthor   string   `json:"current_author,omitempty"`
	Difference      []string `json:"difference,omitempty"`
	// Confirmed and Rest stand with a withdrawal whose outcome is unknown: the VMs
	// that treat the key as withdrawn, and the others.
	Confirmed   []string `json:"confirmed,omitempty"`
	Unconfirmed []string `json:"rest,omitempty"`
}

// Error implements error.
func (f *Failure) Error() string { return string(f.Code) + ": " + f.Detail }

// ApplyRequest asks to accept a document.
type ApplyRequest struct {
	Text string `json:"text"`
	// BasedOn is the revision that the text was edited from; 0 for a new document.
	BasedOn int64  `json:"based_on"`
	Author  string `json:"author"`
}

// ApplyResponse answers an accepted document.
type ApplyResponse struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	// Unchanged says that the text was in force already; nothing was written.
	Unchanged bool `json:"unchanged,omitempty"`
	Propagation
}

// Propagation tells how far an accepted change has come.
type Propagation struct {
	// Confirmed holds the VMs in which the change is in force, sorted.
	Confirmed []string `json:"confirmed"`
	// Rest holds the other listed VMs, sorted.
	Unconfirmed []string `json:"rest"`
}

// Revision is one accepted text of a document, with the text left out in lists.
type Revision struct {
	Name       string       `json:"name"`
	Revision   int64        `json:"revision"`
	Author     string       `json:"author"`
	AcceptedAt clock.Millis `json:"accepted_at"`
	Text       string       `json:"text,omitempty"`
}

// History lists a document's revisions, newest first.
type History struct {
	Revisions []Revision `json:"revisions"`
}

// Comparison is the difference between two texts, by line. A line starts with
// "+", "-" or a space.
type Comparison struct {
	Name  string   `json:"name"`
	From  int64    `json:"from"`
	To    int64    `json:"to"`
	Lines []string `json:"lines"`
}

// IssueRequest asks for a new key.
type IssueRequest struct {
	Workspace string `json:"workspace"`
	Author    string `json:"author"`
}

// IssueResponse answers an issued key. The text is shown here and never again.
type IssueResponse struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Text      string `json:"text"`
	Propagation
}

// WithdrawResponse answers a key's withdrawal.
type WithdrawResponse struct {
	ID string `json:"id"`
	Propagation
}

// KeySummary is what a list of keys shows of one.
type KeySummary struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Withdrawn bool   `json:"withdrawn"`
	// Who asked and when, in Unix milliseconds; see key.Key.
	IssuedBy    string       `json:"issued_by,omitempty"`
	IssuedAt    clock.Millis `json:"issued_at,omitempty"`
	WithdrawnBy string       `json:"withdrawn_by,omitempty"`
	WithdrawnAt clock.Millis `json:"withdrawn_at,omitempty"`
}

// KeyList lists keys, sorted by workspace and id.
type KeyList struct {
	Keys []KeySummary `json:"keys"`
}

// Status is the fleet as one VM sees it.
type Status struct {
	VM       string `json:"vm"`
	Ready    bool   `json:"ready"`
	NotReady string `json:"not_ready,omitempty"`
	// Fresh says whether the VM does keyed work; Age is that of its knowledge.
	Fresh     bool               `json:"fresh"`
	Age       clock.Millis       `json:"age_ms"`
	Revision  int64              `json:"revision"`
	Documents []DocumentStatus   `json:"documents"`
	Members   []MemberStatus     `json:"members"`
	Gone      []string           `json:"gone"`
	Shares    []ShareStatus      `json:"shares"`
	Endpoints []EndpointStatus   `json:"endpoints"`
	Moves     map[string]RawMove `json:"moves"`
}

// RawMove is the state of a move as the store keeps it.
type RawMove = json.RawMessage

// DocumentStatus is one document in force.
type DocumentStatus struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

// MemberStatus is one entry VM.
type MemberStatus struct {
	Name        string       `json:"name"`
	DataCentre  string       `json:"data_centre"`
	Region      string       `json:"region"`
	State       string       `json:"state"`
	Incarnation int64        `json:"incarnation"`
	Reachable   bool         `json:"reachable"`
	Ready       bool         `json:"ready"`
	Stopping    bool         `json:"stopping"`
	HasContact  bool         `json:"has_contact"`
	Age         clock.Millis `json:"age_ms"`
	Revision    int64        `json:"revision"`
	Leases      []string     `json:"leases"`
	// RoundTrip is in microseconds.
	RoundTrip int64 `json:"round_trip_us"`
}

// EndpointStatus is the platform's word on one endpoint VM.
type EndpointStatus struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// ShareStatus is a share of a limit that the VM holds.
type ShareStatus struct {
	Resource contract.Resource `json:"resource"`
	Share    contract.Share    `json:"share"`
}

// Moves holds the state of each service's version move, by service.
type Moves struct {
	Moves map[string]RawMove `json:"moves"`
}

// Account holds the decisions of all VMs that answered, in order of time.
type Account struct {
	Lines []account.Decision `json:"lines"`
	// Kept holds what the store's objects tell of decisions, in order of time. It
	// outlives the VMs: keys, the documents in force, who held the leases.
	Stored []account.Decision `json:"kept"`
	// Missing holds the VMs that gave no answer, sorted, and "store" if the leases
	// could not be read. Lines of VMs that ended since they decided are missing
	// without a mark.
	Missing []string `json:"missing"`
}

func memberLine(member membership.Member) MemberStatus {
	return MemberStatus{
		Name: member.Name, DataCentre: member.DataCentre, Region: member.Region, State: string(member.State),
		Incarnation: int64(member.Incarnation), Reachable: member.Reachable, Ready: member.Ready, Stopping: member.Stopping,
		HasContact: member.HasContact, Age: member.StoreAge, Revision: member.Revision, Leases: member.Leases, RoundTrip: member.RoundTrip,
	}
}
