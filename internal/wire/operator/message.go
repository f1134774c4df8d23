// Package operator is the HTTP server for operators, with its client. It serves
// documents, keys, the status, version moves, decision logs, metrics and health checks.
// A change is accepted when it is written to the platform's store; the response lists
// the VMs that have confirmed that the change is in force.
//
// Each VM has a decision log (account.DecisionLog). The command account merges those
// of all VMs with the decisions that objects of the store record, and its reply is an
// Account.
package operator

import (
	"encoding/json"

	"baobabladder.example/baobabladder/internal/base/account"
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/membership"
)

// ErrorCode identifies why a command failed. Its values do not change.
type ErrorCode string

// Error codes of commands.
const (
	Invalid        ErrorCode = "invalid"
	NotFound       ErrorCode = "not_found"
	Conflict       ErrorCode = "conflict"
	NotReady       ErrorCode = "not_ready"
	Unavailable    ErrorCode = "store_unavailable"
	OutcomeUnknown ErrorCode = "outcome_unknown"
	Internal       ErrorCode = "internal"
)

// Failure is the JSON response to a command that failed. It implements error.
type Failure struct {
	Code   ErrorCode `json:"error"`
	Detail string    `json:"detail"`
	// CurrentRevision, CurrentAuthor and Difference are set for a Conflict: the newest
	// revision of the document, its author, and what the refused text would change in
	// it.
	CurrentRevision int64    `json:"current_revision,omitempty"`
	CurrentAuthor   string   `json:"current_author,omitempty"`
	Difference      []string `json:"difference,omitempty"`
	// Confirmed and Unconfirmed are set for a withdrawal with OutcomeUnknown: the VMs
	// that treat the key as withdrawn, and the others.
	Confirmed   []string `json:"confirmed,omitempty"`
	Unconfirmed []string `json:"rest,omitempty"`
}

// Error implements error.
func (f *Failure) Error() string { return string(f.Code) + ": " + f.Detail }

// ApplyRequest submits a new text of a document.
type ApplyRequest struct {
	Text string `json:"text"`
	// BasedOn is the revision from which the text was edited; 0 for a new document.
	BasedOn int64  `json:"based_on"`
	Author  string `json:"author"`
}

// ApplyResponse is the response to an accepted ApplyRequest.
type ApplyResponse struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	// Unchanged is set if the text equals the newest revision. Nothing was written.
	Unchanged bool `json:"unchanged,omitempty"`
	Propagation
}

// Propagation lists the VMs that have and have not confirmed an accepted change.
type Propagation struct {
	// Confirmed lists the VMs in which the change is in force, sorted.
	Confirmed []string `json:"confirmed"`
	// Unconfirmed lists the other known VMs, sorted.
	Unconfirmed []string `json:"rest"`
}

// Revision is one accepted revision of a document. Lists omit the text.
type Revision struct {
	Name       string       `json:"name"`
	Revision   int64        `json:"revision"`
	Author     string       `json:"author"`
	AcceptedAt clock.Millis `json:"accepted_at"`
	Text       string       `json:"text,omitempty"`
}

// History lists the revisions of a document, newest first.
type History struct {
	Revisions []Revision `json:"revisions"`
}

// Comparison is the line difference between two revisions of a document. Each line has
// the prefix "+", "-" or a space; see Compare.
type Comparison struct {
	Name  string   `json:"name"`
	From  int64    `json:"from"`
	To    int64    `json:"to"`
	Lines []string `json:"lines"`
}

// IssueRequest requests a new key.
type IssueRequest struct {
	Workspace string `json:"workspace"`
	Author    string `json:"author"`
}

// IssueResponse is the response to an IssueRequest. The text of the key appears only
// here.
type IssueResponse struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Text      string `json:"text"`
	Propagation
}

// WithdrawResponse is the response to the withdrawal of a key.
type WithdrawResponse struct {
	ID string `json:"id"`
	Propagation
}

// KeySummary describes one key in a KeyList.
type KeySummary struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Withdrawn bool   `json:"withdrawn"`
	// IssuedBy and WithdrawnBy are the authors of the commands, IssuedAt and
	// WithdrawnAt their times in Unix milliseconds; see key.Key.
	IssuedBy    string       `json:"issued_by,omitempty"`
	IssuedAt    clock.Millis `json:"issued_at,omitempty"`
	WithdrawnBy string       `json:"withdrawn_by,omitempty"`
	WithdrawnAt clock.Millis `json:"withdrawn_at,omitempty"`
}

// KeyList lists keys, sorted by workspace and id.
type KeyList struct {
	Keys []KeySummary `json:"keys"`
}

// Status is the state of the fleet as known to one VM.
type Status struct {
	VM       string `json:"vm"`
	Ready    bool   `json:"ready"`
	NotReady string `json:"not_ready,omitempty"`
	// Fresh reports whether the VM's copy of the configuration is recent enough to
	// serve requests with keys; Age is the age of that copy.
	Fresh     bool               `json:"fresh"`
	Age       clock.Millis       `json:"age_ms"`
	Revision  int64              `json:"revision"`
	Documents []DocumentStatus   `json:"documents"`
	Members   []MemberStatus     `json:"members"`
	Removed   []string           `json:"gone"`
	Shares    []ShareStatus      `json:"shares"`
	Endpoints []EndpointStatus   `json:"endpoints"`
	Moves     map[string]RawMove `json:"moves"`
}

// RawMove is the state of a version move as stored.
type RawMove = json.RawMessage

// DocumentStatus is the revision of a document that is in force.
type DocumentStatus struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

// MemberStatus is the state of one entry VM.
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
	// RoundTrip is the round-trip time to the VM in microseconds.
	RoundTrip int64 `json:"round_trip_us"`
}

// EndpointStatus is the state of one endpoint VM in the platform's list of VMs.
type EndpointStatus struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// ShareStatus is the share of a limit that the VM holds.
type ShareStatus struct {
	Resource contract.Resource `json:"resource"`
	Share    contract.Share    `json:"share"`
}

// Moves holds the state of each service's version move, by service.
type Moves struct {
	Moves map[string]RawMove `json:"moves"`
}

// Account is the reply to the command account.
type Account struct {
	// Lines holds the decision logs of all VMs that responded, in order of time.
	Lines []account.Decision `json:"lines"`
	// Stored holds the decisions that objects of the store record, in order of time:
	// on keys, on the documents in force and lease takeovers. They remain when the VMs
	// that decided have ended.
	Stored []account.Decision `json:"kept"`
	// Missing lists the VMs that did not respond and "store" if the leases could not
	// be read, sorted. It does not list VMs that have ended, although their decision
	// logs are missing from Lines.
	Missing []string `json:"missing"`
}

func newMemberStatus(member membership.Member) MemberStatus {
	return MemberStatus{
		Name: member.Name, DataCentre: member.DataCentre, Region: member.Region, State: string(member.State),
		Incarnation: int64(member.Incarnation), Reachable: member.Reachable, Ready: member.Ready, Stopping: member.Stopping,
		HasContact: member.HasContact, Age: member.StoreAge, Revision: member.Revision, Leases: member.Leases, RoundTrip: member.RoundTrip,
	}
}
