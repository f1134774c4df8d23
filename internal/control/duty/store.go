package duty

import (
	"context"

	"github.com/joomcode/errorx"
)

// Kind is the kind of the store objects of duties. Each object has its duty's name.
const Kind = "baobabladder-duties"

var (
	errorNamespace = errorx.NewNamespace("duty")
	// ErrUnavailable is the type of errors for a store call that failed and changed
	// nothing.
	ErrUnavailable = errorNamespace.NewType("unavailable")
	// ErrConflict is the type of errors for an object that was not at the expected
	// revision.
	ErrConflict = errorNamespace.NewType("conflict")
	// ErrOutcomeUnknown is the type of errors for a write that may have been applied, or
	// may be applied later if the object is still at the expected revision then.
	ErrOutcomeUnknown = errorNamespace.NewType("outcome_unknown")
	// ErrNotHeld is the type of errors for a state that was not stored because this VM
	// does not hold the duty.
	ErrNotHeld = errorNamespace.NewType("not_held")

	errInvalidState = errorNamespace.NewType("invalid_state")
)

// Store reads and writes single objects of the deployment's store. Its errors are of the
// types ErrUnavailable, ErrConflict and ErrOutcomeUnknown. Revisions include the store's
// era; see tracker.RevisionInEra.
type Store interface {
	// ReadObject reads an object. The revision of an absent object is number 0 of the
	// store's era.
	ReadObject(ctx context.Context, kind, name string) (spec []byte, revision int64, found bool, err error)
	// WriteObject replaces an object that is at ifRevision, or creates it if ifRevision
	// has the number 0, and returns its new revision. If the store came back from a copy
	// in the meantime, the write may have been applied in the era of the returned
	// revision to another object that has the same number there.
	WriteObject(ctx context.Context, kind, name string, spec []byte, ifRevision int64) (revision int64, err error)
}
