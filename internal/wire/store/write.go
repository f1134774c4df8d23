package store

import (
	"context"

	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// Bounds of the delay before Write reads an object back after a lost response. The
// delay doubles with each attempt.
const (
	minReadBackDelay = 5 * clock.Millis(1)
	maxReadBackDelay = 200 * clock.Millis(1)
)

// Changer is the part of a Client that Write uses.
type Changer interface {
	Get(ctx context.Context, key string) (Object, error)
	Put(ctx context.Context, key string, value []byte, ifVersion int64) (int64, error)
}

// Write writes value at key if the object is at version ifVersion. If the outcome is
// unknown, it reads the object back and retries the write until the outcome is known or
// ctx ends. isApplied reports whether a value that was read contains the change, so
// value must contain something unique, such as a random id.
//
// An ErrConflict states that the change did not take effect, an ErrOutcomeUnknown that
// it may have taken effect or may still do so.
func Write(ctx context.Context, client Changer, key string, value []byte, ifVersion int64, isApplied func(value []byte) bool) (object Object, err error) {
	version, err := client.Put(ctx, key, value, ifVersion)
	if err == nil {
		return Object{Key: key, Version: version, Value: value}, nil
	}
	if !errorx.IsOfType(err, ErrOutcomeUnknown) {
		return Object{}, err
	}
	unknownErr := err
	for delay := minReadBackDelay; clock.Sleep(ctx, delay) == nil; delay = min(2*delay, maxReadBackDelay) {
		object, err = client.Get(ctx, key)
		if errorx.IsOfType(err, ErrNotFound) {
			object, err = Object{}, nil
		}
		switch {
		case err != nil:
			continue
		case object.Version > 0 && isApplied(object.Value):
			return object, nil
		case object.Version != ifVersion:
			return Object{}, ErrConflict.Wrap(unknownErr, "the object moved on without the change")
		}
		// The change has not taken effect but still may. Retrying it is safe, because
		// only one of the two writes can find the object at ifVersion.
		version, err = client.Put(ctx, key, value, ifVersion)
		if err == nil {
			return Object{Key: key, Version: version, Value: value}, nil
		}
	}
	return Object{}, unknownErr
}
