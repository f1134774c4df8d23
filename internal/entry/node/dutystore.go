package node

import (
	"context"

	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/control/duty"
)

// dutyStore makes the store calls of duties, counted like those of the feeds.
type dutyStore struct {
	calls  duty.Store
	source *storeSource
}

var _ duty.Store = dutyStore{}

// ReadObject implements duty.Store.
func (s dutyStore) ReadObject(ctx context.Context, kind, name string) (spec []byte, revision int64, found bool, err error) {
	defer func() { s.source.recordCall(kind, "read", err) }()
	return s.calls.ReadObject(ctx, kind, name)
}

// WriteObject implements duty.Store. A conflict is counted as a success: the store answered.
func (s dutyStore) WriteObject(ctx context.Context, kind, name string, spec []byte, ifRevision int64) (revision int64, err error) {
	defer func() {
		if errorx.IsOfType(err, duty.ErrConflict) {
			s.source.recordCall(kind, "write", nil)
			return
		}
		s.source.recordCall(kind, "write", err)
	}()
	return s.calls.WriteObject(ctx, kind, name, spec, ifRevision)
}
