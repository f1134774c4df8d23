// Package mover moves services from one version to another, stage by stage; see
// package move. Every VM runs a Mover, which passes the stored states of moves to the
// VM's guard and sends evidence and suspensions to its peers. Evidence is the counts
// of a VM's requests to both versions by outcome. The guard of a VM suspends a move
// when it finds a fault of the new version; a VM that has the suspension sends no
// requests to that version. The VM that holds the lease also collects the evidence of
// all VMs, decides on the next state of each move and writes it to the store.
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
	"baobabladder.example/baobabladder/internal/base/wakeup"
	"baobabladder.example/baobabladder/internal/policy/move"
	"baobabladder.example/baobabladder/internal/policy/retry"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/replica"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	// reportInterval is the time between two updates of the guard, each with reports
	// to peers.
	reportInterval = 100 * clock.Millis(1)
	// advanceInterval is the time between two rounds of the lease holder's decisions.
	advanceInterval = 1 * clock.Second
	// callTimeout bounds a call to a peer, storeTimeout the calls to the store for one
	// write.
	callTimeout  = 500 * clock.Millis(1)
	storeTimeout = 2 * clock.Second
	// maxBackoff bounds the delay before a peer or the store is called again after a
	// failure. It is short because a suspension must reach all VMs within seconds.
	maxBackoff = 1 * clock.Second
	// maxParallelCalls bounds the calls to peers in flight.
	maxParallelCalls = 32
)

// Store is the part of the store's client that a Mover uses.
type Store interface {
	Get(ctx context.Context, key string) (store.Object, error)
	Put(ctx context.Context, key string, value []byte, ifVersion int64) (int64, error)
}

// Lease reports whether this VM holds the lease of version moves.
type Lease interface {
	// Term returns the lease's term and whether this VM holds the lease now.
	Term() (term int64, held bool)
}

// PeerCaller calls peers; see peer.Client.
type PeerCaller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Mover runs version moves for one VM. Self, Guard, Lease, Peers, Store, View and
// Snapshot must be set before Run. The guard's Peers must be the Mover.
type Mover struct {
	Self  vm.ID
	Clock clock.Clock
	Guard *move.Guard
	Lease Lease
	Peers PeerCaller
	Store Store
	// View returns the membership as this VM sees it, never nil.
	View func() *membership.View
	// Snapshot returns the configuration in force, never nil.
	Snapshot func() *replica.Snapshot
	// OnWritten, if set, is called with each object that is in the store after a
	// write of this VM. It brings the object into this VM's copy and to its peers
	// without waiting for a watch.
	OnWritten func(ctx context.Context, object store.Object)
	Decisions *account.DecisionLog
	Log       logrus.FieldLogger

	// reportsDue wakes reportLoop if there are evidence or suspensions to send.
	reportsDue wakeup.Signal

	mu sync.Mutex
	// pendingEvidence is the newest evidence with a failed request that was not sent
	// to the peers yet, or nil. Guarded by mu.
	pendingEvidence []move.Evidence
	// confirmedGenerations holds the generation of suspensions that each peer's
	// incarnation confirmed last; see generationOf. Guarded by mu.
	confirmedGenerations map[vm.ID]int64
	// peerBackoffs holds the peers whose last call failed. Guarded by mu.
	peerBackoffs map[vm.ID]*peerBackoff
	// term is the newest known term of the lease; requests under older terms are
	// refused. Guarded by mu.
	term int64
	// lastRecorded holds, for each service, the newest change of its move that the
	// decision log has. Guarded by mu.
	lastRecorded map[string]move.Change
}

// Run updates the guard, sends reports to the peers and, while this VM holds the
// lease, advances the moves, until ctx ends. Advancing has a goroutine of its own, so
// that a slow store never delays a suspension.
func (m *Mover) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { m.advanceLoop(ctx) })
	group.Go(func() { m.reportLoop(ctx) })
	group.Wait()
}

func (m *Mover) advanceLoop(ctx context.Context) {
	backoff := retry.Backoff{Max: maxBackoff}
	wait := advanceInterval
	for clock.Sleep(ctx, wait) == nil {
		err := m.AdvanceMoves(ctx)
		if err == nil {
			wait = advanceInterval + backoff.Reset()
			continue
		}
		wait = advanceInterval + backoff.NextDelay()
		if m.Log != nil {
			m.Log.WithError(err).Warn("advancing version moves failed; retrying in the next round")
		}
	}
}

func (m *Mover) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		m.UpdateGuard()
		m.SendReports(ctx)
		m.pause(ctx)
	}
}

// pause waits for reportInterval or until there are evidence or suspensions to send.
func (m *Mover) pause(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, reportInterval.Duration())
	defer cancel()
	select {
	case <-waitCtx.Done():
	case <-m.reportsDue.C():
	}
}

// UpdateGuard passes the documents and states in force to the guard, and records
// changes of states in the decision log.
func (m *Mover) UpdateGuard() {
	snapshot := m.Snapshot()
	for i := range snapshot.Services {
		service := &snapshot.Services[i]
		state, err := parseState(snapshot.Moves[service.Name])
		if err != nil {
			m.logUnreadable(err, service.Name)
			continue
		}
		m.Guard.Update(service.Service, state)
		if state != nil {
			m.recordChanges(state)
		}
	}
}

func (m *Mover) logUnreadable(err error, service string) {
	if m.Log != nil {
		m.Log.WithError(err).WithField("service", service).Error("decoding the stored state of a version move failed; the guard keeps the last state that it read")
	}
}

// recordChanges adds each new change of a move to the decision log. After a start of
// the VM it adds only the last change.
func (m *Mover) recordChanges(state *move.State) {
	if m.Decisions == nil || len(state.History) == 0 {
		return
	}
	m.mu.Lock()
	last, known := m.lastRecorded[state.Service]
	if m.lastRecorded == nil {
		m.lastRecorded = map[string]move.Change{}
	}
	m.lastRecorded[state.Service] = state.History[len(state.History)-1]
	m.mu.Unlock()
	for _, change := range changesAfter(state.History, last, known) {
		m.Decisions.Add(account.Decision{
			Term:    change.Term,
			What:    "move_" + string(change.Stage),
			Subject: state.Service + "/" + state.To,
			Why:     fmt.Sprintf("share %d of 1000, decided by %s: %s", change.Share, change.VM, change.Why),
		})
	}
}

// changesAfter returns the changes after last. Without a known last change it returns
// only the newest.
func changesAfter(history []move.Change, last move.Change, known bool) []move.Change {
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
	if !held || !m.hasWork(snapshot, term) {
		return nil
	}
	replies, isComplete := m.collect(ctx, term)
	for i := range snapshot.Services {
		service := &snapshot.Services[i]
		input := m.newInput(service, term, replies, isComplete)
		state, e := parseState(snapshot.Moves[service.Name])
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

// hasWork reports whether a move is in progress or about to change. If not, the lease
// holder need not call the peers.
func (m *Mover) hasWork(snapshot *replica.Snapshot, term int64) bool {
	ownReplies := []CollectReply{{Suspensions: m.Guard.Suspensions()}}
	for i := range snapshot.Services {
		service := &snapshot.Services[i]
		state, err := parseState(snapshot.Moves[service.Name])
		if err != nil || state != nil && !state.IsFinal() {
			return true
		}
		if _, changed := move.Advance(state, m.newInput(service, term, ownReplies, false)); changed {
			return true
		}
	}
	return false
}

func (m *Mover) newInput(service *replica.Service, term int64, replies []CollectReply, isComplete bool) move.Input {
	input := move.Input{
		Service:    service.Service,
		Revision:   service.Revision,
		VM:         m.Self.Name,
		Term:       term,
		Now:        m.Clock.Wall(),
		AllReplied: isComplete,
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
