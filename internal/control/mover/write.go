package mover

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"

	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/policy/move"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/replica"
)

// storeTimeout bounds the calls to the store for one write.
const storeTimeout = 2 * clock.Second

// write writes the next state of a move to the store. It decides again from the state
// in the store, because this VM's copy may be older. A write whose outcome stays unknown
// needs no repair: the next round starts from the state in the store, regardless of
// which VM wrote it.
func (m *Mover) write(ctx context.Context, input move.Input) (err error) {
	defer fault.Annotate(&err, "writing the state of the version move of %s under term %d", input.Service.Name, input.Term)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	key := replica.MovePrefix + input.Service.Name
	object, err := m.Store.Get(ctx, key)
	if err != nil && !errorx.IsOfType(err, store.ErrNotFound) {
		return err
	}
	state, err := parseState(object.Value)
	if err != nil {
		return err
	}
	next, changed := move.Advance(state, input)
	if !changed {
		m.notifyWritten(ctx, object)
		return nil
	}
	next.WriteID = newWriteID()
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	if now, held := m.Lease.Term(); !held || now != input.Term {
		return nil
	}
	version, err := m.Store.Put(ctx, key, value, object.Version)
	if err != nil {
		return m.resolveUnknownOutcome(ctx, key, next.WriteID, err)
	}
	m.notifyWritten(ctx, store.Object{Key: key, Version: version, Value: value})
	return nil
}

// resolveUnknownOutcome reads the store after a write with an unknown outcome, to
// find out whether the write was applied. It returns cause unless it was.
func (m *Mover) resolveUnknownOutcome(ctx context.Context, key, writeID string, cause error) error {
	if !errorx.IsOfType(cause, store.ErrOutcomeUnknown) {
		return cause
	}
	object, err := m.Store.Get(ctx, key)
	if err != nil {
		return cause
	}
	state, err := parseState(object.Value)
	if err != nil || state == nil || state.WriteID != writeID {
		return cause
	}
	m.notifyWritten(ctx, object)
	return nil
}

// notifyWritten calls OnWritten for an object that exists in the store.
func (m *Mover) notifyWritten(ctx context.Context, object store.Object) {
	if m.OnWritten != nil && object.Version > 0 {
		m.OnWritten(ctx, object)
	}
}

// parseState decodes a stored state. It returns nil for an empty value.
func parseState(value []byte) (*move.State, error) {
	if len(value) == 0 {
		return nil, nil
	}
	state := &move.State{}
	if err := json.Unmarshal(value, state); err != nil {
		return nil, err
	}
	return state, nil
}

func newWriteID() string {
	id := make([]byte, 16)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}
