package store

import (
	"context"

	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// Pauses between tries to learn a change's outcome; each is twice the last.
const (
	minSettleDelay = 5 * clock.Millis(1)
	maxSettleDelay = 200 * clock.Millis(1)
)

// Changer is the part of a Client that Write uses.
type Changer interface {
	Get(ctx context.Context, key string) (Object, error)
	Put(ctx context.Context, key string, value []byte, ifVersion int64) (int64, error)
}

// Write puts value at key if the object is at version ifVersion, and settles a
// lost answer by reading back until ctx ends. stands says whether the change is
// contained in what was read, so the value must carry something unique.
//
// ErrConflict says that the change did not take effect, ErrOutcomeUnknown that
// it may have or still may.
func Write(ctx context.Context, client Changer, key string, value []byte, ifVersion int64, stands func(value []byte) bool) (object Object, err error) {
	version, err := client.Put(ctx, key, value, ifVersion)
	if err == nil {
		return Object{Key: key, Version: version, Value: value}, nil
	}
	if !errorx.IsOfType(err, ErrOutcomeUnknown) {
		return Object{}, err
	}
	unknown := err
	for delay := minSettleDelay; clock.Sleep(ctx, delay) == nil; delay = min(2*delay, maxSettleDelay) {
		object, err = client.Get(ctx, key)
		if errorx.IsOfType(err, ErrNotFound) {
			object, err = Object{}, nil
		}
		switch {
		case err != nil:
			continue
		case object.Version > 0 && stands(object.Value):
			return object, nil
		case object.Version != ifVersion:
			return Object{}, ErrConflict.Wrap(unknown, "the object moved on without the change")
		}
		// The change has not taken effect and still may. Sending it again is safe:
		// only one of the two can find the object at ifVersion.
		version, err = client.Put(ctx, key, value, ifVersion)
		if err == nil {
			return Object{Key: key, Version: version, Value: value}, nil
		}
	}
	return Object{}, unknown
}
