// Package lease decides which VM holds a duty. A lease is one store object,
// changed by conditional update. It bounds who may start an action; every action
// also carries the lease's term, so that a receiver can refuse the late action
// of a holder that was paused.
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

// ObjectPrefix starts the store keys of leases.
const ObjectPrefix = "leases/"

// Times of a lease.
const (
	// Time is how long a renewal lasts.
	Duration = 9 * clock.Second
	// RenewInterval is how often the holder renews.
	RenewInterval = 3 * clock.Second

	// heardTime is how long a heartbeat that names a holder keeps others from
	// contending.
	heardTime  = 3 * clock.Second
	retryDelay = 1 * clock.Second
)

// Record is the value of a lease's object.
type Record struct {
	// Holder is the zero ID after a release.
	Holder vm.ID `json:"holder"`
	// Term grows by one with each change of holder and never falls.
	Term int64 `json:"term"`
	// Renewed counts the renewals within the term.
	Renewed int64 `json:"renewed"`
	// Takeovers holds the last changes of holder, oldest first. It is no part of the
	// promise: it tells operators who held the lease when.
	Takeovers []Takeover `json:"takeovers,omitempty"`
	// WriteID is unique to the change that wrote the record.
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

// Claim is what a VM says of a lease that it holds.
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

// Lease is one VM's part in the contest for one duty. Duty, Self and Store must
// be set; the other fields are optional. Step is called from one goroutine; the
// other methods from any.
type Lease struct {
	Duty    string
	Self    vm.ID
	Store   Store
	Clock   clock.Clock
	Account *account.DecisionLog
	// Heard returns the claim that a peer last made, and how long ago. A VM that
	// hears of a holder makes no store calls.
	PeerClaim func(duty string) (claim Claim, age clock.Millis, found bool)
	// MayHold says whether this VM may take the duty now; a stopping VM may not.
	CanHold func() bool
	// Jitter returns a number from 0 up to below n.
	Jitter func(n clock.Millis) clock.Millis

	mu sync.Mutex
	// term is the last term held, and heldUntil the time at which that belief
	// ends: Time after the send of the last renewal that stands. Guarded by mu.
	term      int64
	heldUntil clock.Millis
	// next is the time of the next Step that may call the store. Guarded by mu.
	next clock.Millis

	// known is the record last read or written at version, and seenAt the time
	// when this VM first knew of that version. Only Step uses them.
	known   Record
	version int64
	seenAt  clock.Millis
	// unsettled is the last write whose outcome is unknown; its WriteID is empty
	// if there is none. sentAt is when it was sent.
	unsettled Record
	sentAt    clock.Millis
}

// Term returns the term and whether the lease is held now, by this VM's clock.
// A true held means that no other VM can have taken the lease yet.
func (l *Lease) Term() (term int64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.term > 0 && l.Clock.Now() < l.heldUntil
}

// Claim returns this VM's claim, if it holds the lease.
func (l *Lease) Claim() (claim Claim, held bool) {
	term, held := l.Term()
	return Claim{Duty: l.Duty, Holder: l.Self, Term: term}, held
}

// Run contends for the lease until ctx ends and then releases it.
func (l *Lease) Run(ctx context.Context) {
	for clock.Sleep(ctx, 100) == nil {
		_ = l.Step(ctx)
	}
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), clock.Second.Duration())
	defer cancel()
	_ = l.Release(release)
}

// Step makes the store calls that are due, if any.
func (l *Lease) Step(ctx context.Context) (err error) {
	defer fault.Annotate(&err, "contending for the lease of %s", l.Duty)
	now := l.Clock.Now()
	if now < l.due() {
		return nil
	}
	l.setDue(now + retryDelay + l.jitter(retryDelay/2))
	if l.unsettled.WriteID != "" {
		return l.observe(ctx)
	}
	if l.known.Holder == l.Self && l.Self != (vm.ID{}) {
		return l.write(ctx, Record{Holder: l.Self, Term: l.known.Term, Renewed: l.known.Renewed + 1, Takeovers: l.known.Takeovers})
	}
	if l.isHolderHeard() || !l.mayHold() {
		return nil
	}
	if l.seenAt == 0 && l.version == 0 {
		return l.observe(ctx)
	}
	if wait := l.seenAt + Duration - now; wait > 0 && l.known.Holder != (vm.ID{}) {
		l.setDue(now + min(wait, retryDelay) + l.jitter(retryDelay/2))
		return nil
	}
	return l.write(ctx, l.takeover())
}

// takeover returns the record by which this VM takes the lease.
func (l *Lease) takeover() Record {
	term := l.known.Term + 1
	takeovers := append(slices.Clone(l.known.Takeovers), Takeover{Holder: l.Self, Term: term, At: l.Clock.Wall()})
	return Record{Holder: l.Self, Term: term, Takeovers: takeovers[max(0, len(takeovers)-maxTakeovers):]}
}

// Release gives the lease up, so that the next holder need not wait.
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

// write tries to replace the known version by record.
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
		l.settle(record, version)
		return nil
	case errorx.IsOfType(err, store.ErrOutcomeUnknown):
		l.unsettled = record
		return err
	case errorx.IsOfType(err, store.ErrConflict):
		return l.observe(ctx)
	}
	return err
}

// observe reads the object. A write whose answer was lost stands if the object
// carries its write id. It can also take effect after a read that did not show
// it: then the next conditional write conflicts and the object is read again.
func (l *Lease) observe(ctx context.Context) (err error) {
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
	if record.WriteID != "" && record.WriteID == l.unsettled.WriteID {
		l.settle(record, object.Version)
		return nil
	}
	if object.Version != l.version || l.seenAt == 0 {
		l.known, l.version, l.seenAt = record, object.Version, max(1, l.Clock.Now())
	}
	l.unsettled = Record{}
	return nil
}

// settle takes over a write of this VM that stands.
func (l *Lease) settle(record Record, version int64) {
	taken := record.Term != l.known.Term
	l.known, l.version, l.seenAt = record, version, max(1, l.Clock.Now())
	l.unsettled = Record{}
	if record.Holder != l.Self {
		return
	}
	l.mu.Lock()
	l.term = record.Term
	l.heldUntil = l.sentAt + Duration
	l.next = l.sentAt + RenewInterval
	l.mu.Unlock()
	if taken && l.Account != nil {
		l.Account.Add(account.Decision{Term: record.Term, What: "lease_taken", Subject: l.Duty, Why: "no other VM held the lease"})
	}
}

func (l *Lease) isHolderHeard() bool {
	if l.PeerClaim == nil {
		return false
	}
	claim, age, found := l.PeerClaim(l.Duty)
	return found && claim.Holder != l.Self && age < heardTime
}

func (l *Lease) mayHold() bool { return l.CanHold == nil || l.CanHold() }

func (l *Lease) jitter(n clock.Millis) clock.Millis {
	if l.Jitter == nil {
		return 0
	}
	return l.Jitter(n)
}

func (l *Lease) due() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next
}

func (l *Lease) setDue(at clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next = at
}

func newWriteID() string {
	id := make([]byte, 16)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}
