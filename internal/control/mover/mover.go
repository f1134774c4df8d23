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
	"sync"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/account"
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/wakeup"
	"baobabladder.example/baobabladder/internal/policy/move"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/replica"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// maxBackoff bounds the delay before a peer or the store is called again after a
// failure. It is short because a suspension must reach all VMs within seconds.
const maxBackoff = 1 * clock.Second

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
