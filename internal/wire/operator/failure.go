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

// failureOf maps an error of the store's client.
func failureOf(err error) error {
	switch {
	case errorx.IsOfType(err, store.ErrOutcomeUnknown):
		return &Failure{Code: OutcomeUnknown, Detail: "the store's answer was lost, the change may stand: " + err.Error()}
	case errorx.IsOfType(err, store.ErrUnavailable), errorx.IsOfType(err, store.ErrOverBudget):
		return &Failure{Code: Unavailable, Detail: "nothing was changed: " + err.Error()}
	}
	return err
}

func newWriteID() string {
	id := make([]byte, 16)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}
