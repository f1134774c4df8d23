// Package mover takes version moves from stage to stage. Every VM runs a Mover:
// it gives the state of moves to the VM's guard and passes on word of faults.
// The one that holds the lease also collects what all VMs saw and writes the next
// state to the store.
package mover

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/account"
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/policy/move"
	"baobabladder.example/baobabladder/internal/policy/retry"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/replica"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	// syncInterval is how often the guard is given new states and documents.
	syncInterval = 100 * clock.Millis(1)
	// roundInterval is how often the lease holder judges.
	roundInterval = 1 * clock.Second
	// callTimeout bounds one call to a peer, storeTimeout one to the store.
	callTimeout  = 500 * clock.Millis(1)
	storeTimeout = 2 * clock.Second
	// longestWait bounds the wait before a peer or the store that failed is called
	// again: word of a fault must reach all VMs within seconds.
	longestWait = 1 * clock.Second
	// maxParallel bounds the calls to peers at one time.
	maxParallel = 32
)

// Store is the part of the store's client that a Mover uses.
type Store interface {
	Get(ctx context.Context, key string) (store.Object, error)
	Put(ctx context.Context, key string, value []byte, ifVersion int64) (int64, error)
}

// Lease tells whether this VM is the mover.
type Lease interface {
	// Term returns the lease's term, and whether this VM holds it now.
	Term() (term int64, held bool)
}

// Caller calls peers; peer.Client is one.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Mover is one VM's part in version moves. Self, Guard, Lease, Caller, Store, View
// and Snapshot must be set before Run; the guard's Peers must be the Mover.
type Mover struct {
	Self   vm.ID
	Clock  clock.Clock
	Guard  *move.Guard
	Lease  Lease
	Caller Caller
	Store  Store
	// View returns the membership as this VM sees it, never nil.
	View func() *membership.View
	// Snapshot returns the configuration in force, never nil.
	Snapshot func() *replica.Snapshot
	// Written, when set, is given each object that this VM wrote, to bring it into
	// its own copy and to its peers without waiting for a watch.
	OnWritten func(ctx context.Context, object store.Object)
	Account   *account.DecisionLog
	Log       logrus.FieldLogger

	mu sync.Mutex
	// outbox holds the newest evidence after a failure, until it is told. Guarded
	// by mu.
	outbox []move.Evidence
	// wake has room for one signal. It is nil before the first use. Guarded by mu.
	wake chan struct{}
	// greeted holds for each peer's run which generation of suspensions it
	// confirmed; see generationOf. Guarded by mu.
	greeted map[vm.ID]int64
	// waits holds the peers whose last call failed. Guarded by mu.
	waits map[vm.ID]*peerWait
	// term is the newest mover's term heard of; older ones are refused. Guarded by mu.
	term int64
	// seen holds the newest change of each service's move that the account has.
	// Guarded by mu.
	seen map[string]move.Change
}

// Run does a VM's part until ctx ends. Judging has a goroutine of its own, so that
// a slow store never holds up word of a fault.
func (m *Mover) Run(ctx context.Context) {
	var both sync.WaitGroup
	both.Go(func() { m.judgeLoop(ctx) })
	both.Go(func() { m.tellLoop(ctx) })
	both.Wait()
}

func (m *Mover) judgeLoop(ctx context.Context) {
	backoff := retry.Backoff{Max: longestWait}
	wait := roundInterval
	for clock.Sleep(ctx, wait) == nil {
		err := m.AdvanceMoves(ctx)
		if err == nil {
			wait = roundInterval + backoff.Reset()
			continue
		}
		wait = roundInterval + backoff.NextDelay()
		if m.Log != nil {
			m.Log.WithError(err).Warn("judging moves")
		}
	}
}

func (m *Mover) tellLoop(ctx context.Context) {
	for ctx.Err() == nil {
		m.UpdateGuard()
		m.SendReports(ctx)
		m.pause(ctx)
	}
}

// pause waits for the next round or for something to tell.
func (m *Mover) pause(ctx context.Context) {
	wait, cancel := context.WithTimeout(ctx, syncInterval.Duration())
	defer cancel()
	select {
	case <-wait.Done():
	case <-m.woken():
	}
}

func (m *Mover) woken() chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.wake == nil {
		m.wake = make(chan struct{}, 1)
	}
	return m.wake
}

func (m *Mover) signal() {
	select {
	case m.woken() <- struct{}{}:
	default:
	}
}

// UpdateGuard gives the guard the documents and states in force, and accounts for the
// changes of states.
func (m *Mover) UpdateGuard() {
	snapshot := m.Snapshot()
	for i := range snapshot.Services {
		service := &snapshot.Services[i]
		state, err := parse(snapshot.Moves[service.Name])
		if err != nil {
			m.warn(err, service.Name)
			continue
		}
		m.Guard.Update(service.Service, state)
		if state != nil {
			m.account(state)
		}
	}
}

func (m *Mover) warn(err error, service string) {
	if m.Log != nil {
		m.Log.WithError(err).WithField("service", service).Error("a move's state can't be read")
	}
}

// account adds a line for each change that is new here. On a VM's start only the
// last one is.
func (m *Mover) account(state *move.State) {
	if m.Account == nil || len(state.History) == 0 {
		return
	}
	m.mu.Lock()
	last, known := m.seen[state.Service]
	if m.seen == nil {
		m.seen = map[string]move.Change{}
	}
	m.seen[state.Service] = state.History[len(state.History)-1]
	m.mu.Unlock()
	for _, change := range since(state.History, last, known) {
		m.Account.Add(account.Decision{
			Term:    change.Term,
			What:    "move_" + string(change.Stage),
			Subject: state.Service + "/" + state.To,
			Why:     fmt.Sprintf("share %d of 1000, decided by %s: %s", change.Share, change.VM, change.Why),
		})
	}
}

// since returns the changes after last.
func since(history []move.Change, last move.Change, known bool) []move.Change {
	if !known {
		return history[len(history)-1:]
	}
	for i := len(history) - 1; i >= 0; i-- {
		if history[i] == last {
			return history[i+1:]
		}
	}
	return history
}

// AdvanceMoves does one round of the lease holder's work, if this VM holds the lease.
func (m *Mover) AdvanceMoves(ctx context.Context) (err error) {
	term, held := m.Lease.Term()
	snapshot := m.Snapshot()
	if !held || !m.isDue(snapshot, term) {
		return nil
	}
	replies, complete := m.collect(ctx, term)
	for i := range snapshot.Services {
		service := &snapshot.Services[i]
		input := m.input(service, term, replies, complete)
		state, e := parse(snapshot.Moves[service.Name])
		if e != nil {
			err = e
			continue
		}
		if _, changed := move.Advance(state, input); !changed {
			continue
		}
		if e := m.write(ctx, input); e != nil {
			err = e
		}
	}
	return err
}

// isDue says whether some move is under way or about to change, so that a fleet
// without moves is not asked anything.
func (m *Mover) isDue(snapshot *replica.Snapshot, term int64) bool {
	own := []CollectReply{{Suspensions: m.Guard.Suspensions()}}
	for i := range snapshot.Services {
		service := &snapshot.Services[i]
		state, err := parse(snapshot.Moves[service.Name])
		if err != nil || state != nil && !state.IsFinal() {
			return true
		}
		if _, changed := move.Advance(state, m.input(service, term, own, false)); changed {
			return true
		}
	}
	return false
}

func (m *Mover) input(service *replica.Service, term int64, replies []CollectReply, complete bool) move.Input {
	input := move.Input{
		Service:     service.Service,
		Revision:    service.Revision,
		VM:          m.Self.Name,
		Term:        term,
		Now:         m.Clock.Wall(),
		AllAnswered: complete,
	}
	for i := range replies {
		input.Evidence = append(input.Evidence, replies[i].Evidence...)
		for j := range replies[i].Suspensions {
			suspension := &replies[i].Suspensions[j]
			isNewer := input.Suspension == nil || suspension.Attempt > input.Suspension.Attempt
			if suspension.Service == service.Name && isNewer {
				input.Suspension = suspension
			}
		}
	}
	return input
}

// write brings the store's state forward. It judges again on what the store has,
// as this VM's copy may be old. An answer that is lost needs no repair: the next
// round reads what stands, by whomever it was written.
func (m *Mover) write(ctx context.Context, input move.Input) (err error) {
	defer fault.Annotate(&err, "writing the move of %s under term %d", input.Service.Name, input.Term)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	key := replica.MovePrefix + input.Service.Name
	object, err := m.Store.Get(ctx, key)
	if err != nil && !errorx.IsOfType(err, store.ErrNotFound) {
		return err
	}
	state, err := parse(object.Value)
	if err != nil {
		return err
	}
	next, changed := move.Advance(state, input)
	if !changed {
		m.written(ctx, object)
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
		return m.settle(ctx, key, next.WriteID, err)
	}
	m.written(ctx, store.Object{Key: key, Version: version, Value: value})
	return nil
}

// settle finds out whether a write with a lost answer stands.
func (m *Mover) settle(ctx context.Context, key, writeID string, cause error) error {
	if !errorx.IsOfType(cause, store.ErrOutcomeUnknown) {
		return cause
	}
	object, err := m.Store.Get(ctx, key)
	if err != nil {
		return cause
	}
	state, err := parse(object.Value)
	if err != nil || state == nil || state.WriteID != writeID {
		return cause
	}
	m.written(ctx, object)
	return nil
}

func (m *Mover) written(ctx context.Context, object store.Object) {
	if m.OnWritten != nil && object.Version > 0 {
		m.OnWritten(ctx, object)
	}
}

// parse reads a stored state; nothing stored is nil.
func parse(value []byte) (*move.State, error) {
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
