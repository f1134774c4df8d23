// Package fault annotates errors in deferred calls.
package fault

import (
	"errors"

	"github.com/joomcode/errorx"
)

// Annotate adds what was being done to *err, if there is an error. It keeps the
// error's type and cause. Defer it once in a function with a named result:
//
//	defer fault.Annotate(&err, "reading object %s", key)
//
// The arguments are read when the call is deferred.
func Annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = errorx.Decorate(*err, format, args...)
	}
}

// causer is implemented by errors that return their cause, such as those of
// errorx.
type causer interface{ Cause() error }

// As returns the first error of type T in err's chain of causes. It is needed
// because errors.As does not follow the causes of errorx errors.
func As[T error](err error) (found T, ok bool) {
	for err != nil {
		if errors.As(err, &found) {
			return found, true
		}
		wrapped, isCauser := err.(causer)
		if !isCauser {
			break
		}
		err = wrapped.Cause()
	}
	return found, false
}
