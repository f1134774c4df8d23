// Package duty decides which VM of a fleet holds a duty: work that one VM does for all of
// them. A duty is held under a lease whose term is a fencing token: each tenure has a
// higher term than all before it. The lease and the duty's own state are one store object,
// changed only by conditional writes, so that a write both renews the lease and stores the
// state, and a delayed write of a former holder fails.
//
// As long as holders act only within their tenure, these hold in any order of events:
//
//   - Two VMs never act under one term.
//   - After a VM acted under a term, no VM acts under a lower one.
//   - Two VMs never act in the order A, B, A within the lease time.
package duty

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	// stepInterval is the time between two Steps, most of which make no store call.
	stepInterval = 100 * clock.Millis(1)
	// maxReleaseWrites bounds the writes of a Release.
	maxReleaseWrites = 2
)

// Duty contends for one duty for one VM, holds and releases it. Name, Self, Store and
// LeaseTime must be set, and must not change; the other fields are optional. All methods
// may be called from any goroutine. The store calls of one Duty are made one at a time.
type Duty struct {
	// Name is the name of the duty and of its object.
	Name  string
	Self  vm.ID
	Store Store
	Clock clock.Clock
	// LeaseTime is how long other VMs wait at least for a holder that does not renew. It
	// must be the same on all VMs.
	LeaseTime clock.Millis
	// CanHold reports whether this VM may contend. If false, it makes no store calls,
	// except as the holder, which keeps the duty. Nil means true.
	CanHold func() bool
	Log     logrus.FieldLogger
	Scope   tally.Scope

	// calling is held during a store call and the evaluation of its result. It is locked
	// before mu.
	calling sync.Mutex
	mu      sync.Mutex
	// view, reported and hasReported are guarded by mu.
	view        view
	reported    reported
	hasReported bool
}

// Tenure returns whether this VM holds the duty now, and if so its term and when it ends
// unless it is renewed, by Clock.Boottime. The holder may act only before until, and all
// that it began must have ended then: a call to another process with a timeout may begin
// no later than until less the timeout. It must check Tenure before each action.
func (d *Duty) Tenure() (term int64, until clock.Millis, isHeld bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.view.isReleased || !d.view.isHeld(d.Clock.Boottime()) {
		return 0, 0, false
	}
	return d.view.term, d.view.until, true
}

// State returns the state as it was last stored, as far as this VM knows, or nil. It is
// JSON, not byte for byte what was passed to SetState. While this VM holds the duty it is
// the state on which the next SetState builds. After the store came back from a copy, it
// may be older than a state that was stored before.
func (d *Duty) State() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return bytes.Clone(d.view.known.State)
}

// SetState stores a state, which must be JSON, if this VM holds the duty and no other VM
// has changed the object. It also renews the tenure. It returns nil only if the store
// acknowledged the write, or shows that it was applied. After an error of type
// ErrOutcomeUnknown the write may still be applied later; State shows it once this VM knows.
// So a state must be derived anew from State before it is tried again.
func (d *Duty) SetState(ctx context.Context, state []byte) (err error) {
	defer fault.Annotate(&err, "storing the state of duty %s", d.Name)
	if !json.Valid(state) {
		return errInvalidState.New("the state is not JSON")
	}
	d.calling.Lock()
	defer d.calling.Unlock()
	now := d.Clock.Boottime()
	d.mu.Lock()
	if d.view.isReleased || !d.view.isHolder() || !d.view.isHeld(now) {
		d.mu.Unlock()
		return ErrNotHeld.New("this VM does not hold the duty")
	}
	record := d.view.newRecord(actionRenew, now)
	d.mu.Unlock()
	record.State = bytes.Clone(state)
	return d.write(ctx, &record)
}

// Run contends for the duty and renews it until ctx ends. It does not release it.
func (d *Duty) Run(ctx context.Context) {
	for clock.Sleep(ctx, stepInterval) == nil {
		if err := d.Step(ctx); err != nil && d.Log != nil && ctx.Err() == nil {
			d.Log.WithError(err).Warn("a store call for a duty failed; retrying")
		}
	}
}

// Step makes the store call that is due, if any.
func (d *Duty) Step(ctx context.Context) (err error) {
	defer fault.Annotate(&err, "contending for duty %s", d.Name)
	d.calling.Lock()
	defer d.calling.Unlock()
	canHold := d.CanHold == nil || d.CanHold()
	now := d.Clock.Boottime()
	d.mu.Lock()
	if d.view.runID == "" {
		d.view.self, d.view.leaseTime, d.view.runID = d.Self, d.LeaseTime, newRunID()
	}
	d.report(now)
	due := d.view.next(now, canHold)
	record := Record{}
	if due != actionNone && due != actionRead {
		record = d.view.newRecord(due, now)
	}
	d.mu.Unlock()
	switch due {
	case actionNone:
		return nil
	case actionRead:
		return d.read(ctx)
	default:
		return d.write(ctx, &record)
	}
}

// Release gives the duty up for good, at a planned stop, so that the next holder need not
// wait for the end of the tenure. The caller must have ended all that it does for the duty:
// another VM may act as soon as Release has begun. Run should have ended too, as Release
// waits for a call that is in progress. If this VM is not the holder, it makes no call.
func (d *Duty) Release(ctx context.Context) (err error) {
	defer fault.Annotate(&err, "releasing duty %s", d.Name)
	d.mu.Lock()
	d.view.isReleased = true
	d.mu.Unlock()
	d.calling.Lock()
	defer d.calling.Unlock()
	for range maxReleaseWrites {
		d.mu.Lock()
		isHolder, mustRead := d.view.isHolder(), d.view.mustRead || d.view.pending.WriteID != ""
		d.view.until = 0
		d.report(d.Clock.Boottime())
		d.mu.Unlock()
		if mustRead {
			if err = d.read(ctx); err != nil {
				return err
			}
			d.mu.Lock()
			isHolder = d.view.isHolder()
			d.mu.Unlock()
		}
		if !isHolder {
			return nil
		}
		d.mu.Lock()
		record := d.view.releasedRecord()
		d.mu.Unlock()
		if err = d.write(ctx, &record); err == nil || errorx.IsOfType(err, ErrUnavailable) {
			return err
		}
	}
	return err
}

// write replaces the known revision by a record. It reads the object back if it is not known
// whether that was done. The caller must hold calling.
func (d *Duty) write(ctx context.Context, record *Record) (err error) {
	spec, err := json.Marshal(record)
	if err != nil {
		return err
	}
	callCtx, cancel := d.callContext(ctx)
	defer cancel()
	d.mu.Lock()
	d.view.sentAt = d.Clock.Boottime()
	ifRevision := d.view.revision
	d.mu.Unlock()
	revision, err := d.Store.WriteObject(callCtx, Kind, d.Name, spec, ifRevision)
	now := d.Clock.Boottime()
	d.mu.Lock()
	if err == nil {
		isApplied := d.view.onWritten(record, revision, now)
		d.report(now)
		d.mu.Unlock()
		if !isApplied {
			return ErrConflict.New("the store came back from a copy before it applied the write")
		}
		return nil
	}
	failure := failureOf(err)
	d.view.onWriteFailed(record, failure, now)
	// After a conflict the holder reads at once what the object has become, others later.
	mustRead := failure == failureUnknown || failure == failureConflict && d.view.isHolder()
	d.mu.Unlock()
	if !mustRead {
		return err
	}
	if d.read(ctx) == nil && d.isStored(record) {
		return nil
	}
	return err
}

// isStored reports whether the last known record is the given one, and was stored in the era
// for which it was written.
func (d *Duty) isStored(record *Record) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.known.WriteID == record.WriteID && d.view.isOfThisEra()
}

// read reads the object. The caller must hold calling.
func (d *Duty) read(ctx context.Context) (err error) {
	callCtx, cancel := d.callContext(ctx)
	defer cancel()
	spec, revision, found, err := d.Store.ReadObject(callCtx, Kind, d.Name)
	now := d.Clock.Boottime()
	var record Record
	if err == nil && found && (json.Unmarshal(spec, &record) != nil || !record.isValid()) {
		// The zero record has no known holders, so the object is replaced after a full wait.
		record = Record{}
		if d.Log != nil {
			d.Log.WithField("duty", d.Name).Error("the store's object of a duty cannot be decoded")
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil && !d.view.onRead(&record, revision, now) {
		err = ErrUnavailable.New("the store returned revision %d after %d", revision, d.view.revision)
	}
	if err != nil {
		d.view.pause(now)
	}
	d.report(now)
	return err
}

func (d *Duty) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, (d.LeaseTime / readDivisor).Duration())
}

// failureOf classifies the error of a write. After an error of an unknown type the write may
// have been applied.
func failureOf(err error) writeFailure {
	switch {
	case errorx.IsOfType(err, ErrUnavailable):
		return failureNothingDone
	case errorx.IsOfType(err, ErrConflict):
		return failureConflict
	default:
		return failureUnknown
	}
}
