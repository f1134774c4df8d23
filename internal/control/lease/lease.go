// Package lease decides which VM holds a duty: work that one VM does for the whole
// fleet, such as dividing limits. A lease is one store object, changed only by
// conditional writes. Only its holder may start an action of the duty. Every action
// also carries the lease's term, so that receivers can refuse the late action of a
// holder that was paused.
package lease

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"slices"
	"sync"

	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/base/account"
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// ObjectPrefix is the prefix of the store keys of leases.
const ObjectPrefix = "leases/"

// Durations of a lease.
const (
	// Duration is how long the lease is held after a renewal was sent.
	Duration = 9 * clock.Second
	// RenewInterval is the time between two renewals by the holder.
	RenewInterval = 3 * clock.Second

	// peerClaimTime is how long a peer's claim in a heartbeat keeps this VM from
	// contending for the lease.
	peerClaimTime = 3 * clock.Second
	// stepInterval is the least time between two Steps that call the store. After a
	// successful write it is RenewInterval.
	stepInterval = 1 * clock.Second
)

// Record is the value of a lease's object.
type Record struct {
	// Holder is the zero ID after a release.
	Holder vm.ID `json:"holder"`
	// Term increases by one with each change of holder and never decreases.
	Term int64 `json:"term"`
	// Renewed counts the renewals within the term.
	Renewed int64 `json:"renewed"`
	// Takeovers holds the last changes of holder, oldest first. It does not affect
	// the lease. It shows operators which VM held the lease at which time.
	Takeovers []Takeover `json:"takeovers,omitempty"`
	// WriteID is unique to the write that stored the record.
	WriteID string `json:"write_id"`
}

// Takeover is a change of a lease's holder.
type Takeover struct {
	Holder vm.ID `json:"holder"`
	Term   int64 `json:"term"`
	// At is the holder's wall time in Unix milliseconds.
	At clock.Millis `json:"at"`
}

// maxTakeovers bounds Record.Takeovers.
const maxTakeovers = 32

// Claim is a VM's statement that it holds a lease.
type Claim struct {
	Duty   string `json:"duty"`
	Holder vm.ID  `json:"holder"`
	Term   int64  `json:"term"`
}

// Store is the part of the store's client that a Lease uses.
type Store interface {
	Get(ctx context.Context, key string) (store.Object, error)
	Put(ctx context.Context, key string, value []byte, ifVersion int64) (int64, error)
}

// Lease acquires, renews and releases the lease of one duty for one VM. Duty, Self
// and Store must be set; the other fields are optional. Step must be called from one
// goroutine only, the other methods may be called from any.
type Lease struct {
	Duty      string
	Self      vm.ID
	Store     Store
	Clock     clock.Clock
	Decisions *account.DecisionLog
	// PeerClaim returns the last claim that a peer made of a duty, and its age. A VM
	// that has a recent claim of another VM makes no store calls.
	PeerClaim func(duty string) (claim Claim, age clock.Millis, found bool)
	// CanHold reports whether this VM may take the lease now; a stopping VM may not.
	CanHold func() bool
	// Jitter returns a number from 0 up to below n.
	Jitter func(n clock.Millis) clock.Millis

	mu sync.Mutex
	// term is the last term held. heldUntil is when it ends without a renewal:
	// Duration after the last successful renewal was sent. Guarded by mu.
	term      int64
	heldUntil clock.Millis
	// nextStep is the time of the next Step that may call the store. Guarded by mu.
	nextStep clock.Millis

	// known is the record last read or written, version its version in the store, and
	// versionSeenAt when this VM first knew of that version. Only Step uses them.
	known         Record
	version       int64
	versionSeenAt clock.Millis
	// pendingWrite is the last write if its outcome is unknown; its WriteID is empty
	// if there is none. sentAt is when the last write was sent.
	pendingWrite Record
	sentAt       clock.Millis
}

// Term returns the term and whether this VM holds the lease now, by its own clock.
// While held is true, no other VM can have taken the lease.
func (l *Lease) Term() (term int64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.term > 0 && l.Clock.Now() < l.heldUntil
}

// Claim returns this VM's claim. held is false if it does not hold the lease.
func (l *Lease) Claim() (claim Claim, held bool) {
	term, held := l.Term()
	return Claim{Duty: l.Duty, Holder: l.Self, Term: term}, held
}

// Run contends for the lease until ctx ends and then releases it.
func (l *Lease) Run(ctx context.Context) {
	for clock.Sleep(ctx, 100) == nil {
		_ = l.Step(ctx)
	}
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), clock.Second.Duration())
	defer cancel()
	_ = l.Release(releaseCtx)
}

// Step makes the store calls that are due, if any. It takes the lease from another
// holder only when it has known the same version of the record for Duration: the
// holder sent that renewal before, so its lease has expired.
func (l *Lease) Step(ctx context.Context) (err error) {
	defer fault.Annotate(&err, "contending for the lease of %s", l.Duty)
	now := l.Clock.Now()
	if now < l.due() {
		return nil
	}
	l.setDue(now + stepInterval + l.jitter(stepInterval/2))
	if l.pendingWrite.WriteID != "" {
		return l.readRecord(ctx)
	}
	if l.known.Holder == l.Self && l.Self != (vm.ID{}) {
		return l.write(ctx, Record{Holder: l.Self, Term: l.known.Term, Renewed: l.known.Renewed + 1, Takeovers: l.known.Takeovers})
	}
	if l.isHeldByPeer() || !l.canHold() {
		return nil
	}
	if l.versionSeenAt == 0 && l.version == 0 {
		return l.readRecord(ctx)
	}
	if wait := l.versionSeenAt + Duration - now; wait > 0 && l.known.Holder != (vm.ID{}) {
		l.setDue(now + min(wait, stepInterval) + l.jitter(stepInterval/2))
		return nil
	}
	return l.write(ctx, l.takeoverRecord())
}

// takeoverRecord returns the record with which this VM takes the lease.
func (l *Lease) takeoverRecord() Record {
	term := l.known.Term + 1
	takeovers := append(slices.Clone(l.known.Takeovers), Takeover{Holder: l.Self, Term: term, At: l.Clock.Wall()})
	return Record{Holder: l.Self, Term: term, Takeovers: takeovers[max(0, len(takeovers)-maxTakeovers):]}
}

// Release releases the lease, so that the next holder need not wait until it expires.
func (l *Lease) Release(ctx context.Context) (err error) {
	defer fault.Annotate(&err, "releasing the lease of %s", l.Duty)
	if _, held := l.Term(); !held {
		return nil
	}
	l.mu.Lock()
	l.heldUntil = 0
	l.mu.Unlock()
	return l.write(ctx, Record{Term: l.known.Term, Takeovers: l.known.Takeovers})
}

// write replaces the known version by record, if the store still has that version.
func (l *Lease) write(ctx context.Context, record Record) (err error) {
	record.WriteID = newWriteID()
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	l.sentAt = l.Clock.Now()
	version, err := l.Store.Put(ctx, ObjectPrefix+l.Duty, value, l.version)
	switch {
	case err == nil:
		l.applyOwnWrite(record, version)
		return nil
	case errorx.IsOfType(err, store.ErrOutcomeUnknown):
		l.pendingWrite = record
		return err
	case errorx.IsOfType(err, store.ErrConflict):
		return l.readRecord(ctx)
	}
	return err
}

// readRecord reads the lease's object. A write with an unknown outcome was applied if
// the object has its write ID. The write may also be applied after a read that did
// not show it. Then the next conditional write fails with a conflict, and the object
// is read again.
func (l *Lease) readRecord(ctx context.Context) (err error) {
	object, err := l.Store.Get(ctx, ObjectPrefix+l.Duty)
	if errorx.IsOfType(err, store.ErrNotFound) {
		object, err = store.Object{}, nil
	}
	if err != nil {
		return err
	}
	var record Record
	if object.Version > 0 {
		if err := json.Unmarshal(object.Value, &record); err != nil {
			return err
		}
	}
	if record.WriteID != "" && record.WriteID == l.pendingWrite.WriteID {
		l.applyOwnWrite(record, object.Version)
		return nil
	}
	if object.Version != l.version || l.versionSeenAt == 0 {
		l.known, l.version, l.versionSeenAt = record, object.Version, max(1, l.Clock.Now())
	}
	l.pendingWrite = Record{}
	return nil
}

// applyOwnWrite updates the state after a write of this VM that was applied.
func (l *Lease) applyOwnWrite(record Record, version int64) {
	isTakeover := record.Term != l.known.Term
	l.known, l.version, l.versionSeenAt = record, version, max(1, l.Clock.Now())
	l.pendingWrite = Record{}
	if record.Holder != l.Self {
		return
	}
	l.mu.Lock()
	l.term = record.Term
	l.heldUntil = l.sentAt + Duration
	l.nextStep = l.sentAt + RenewInterval
	l.mu.Unlock()
	if isTakeover && l.Decisions != nil {
		l.Decisions.Add(account.Decision{Term: record.Term, What: "lease_taken", Subject: l.Duty, Why: "no other VM held the lease"})
	}
}

func (l *Lease) isHeldByPeer() bool {
	if l.PeerClaim == nil {
		return false
	}
	claim, age, found := l.PeerClaim(l.Duty)
	return found && claim.Holder != l.Self && age < peerClaimTime
}

func (l *Lease) canHold() bool { return l.CanHold == nil || l.CanHold() }

func (l *Lease) jitter(n clock.Millis) clock.Millis {
	if l.Jitter == nil {
		return 0
	}
	return l.Jitter(n)
}

func (l *Lease) due() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nextStep
}

func (l *Lease) setDue(at clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextStep = at
}

func newWriteID() string {
	id := make([]byte, 16)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}
