package operator

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/wire/store"
)

func invalid(format string, args ...any) *Failure {
	return &Failure{Code: Invalid, Detail: fmt.Sprintf(format, args...)}
}

func notFound(format string, args ...any) *Failure {
	return &Failure{Code: NotFound, Detail: fmt.Sprintf(format, args...)}
}

// asFailure maps an error of the store client to a *Failure. It returns other errors
// unchanged.
func asFailure(err error) error {
	switch {
	case errorx.IsOfType(err, store.ErrOutcomeUnknown):
		return &Failure{Code: OutcomeUnknown, Detail: "the store's answer was lost, the change may stand: " + err.Error()}
	case errorx.IsOfType(err, store.ErrUnavailable), errorx.IsOfType(err, store.ErrOverBudget):
		return &Failure{Code: Unavailable, Detail: "nothing was changed: " + err.Error()}
	}
	return err
}

// newWriteID returns a random id by which a write whose response was lost is
// recognised in the store.
func newWriteID() string {
	id := make([]byte, 16)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}
