// Package divider moves the VMs' shares of the fleet-wide limits to where the demand
// is. Every VM runs a Divider, which holds shares, admits requests for peers and
// lends slots: a slot is the right to one request in flight on an endpoint. The VM
// that holds the lease is the divider: it keeps the allocator and sends offers to the
// VMs in rounds. An offer grants new shares, and the reply to it is the VM's report.
// Every offer carries the term of the lease. A new incarnation of a VM is fenced
// first: it reads the newest term from its peers, so that it refuses offers of
// earlier holders of the lease. A borrower reports ended loans to the lender in a
// settlement.
package divider

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"baobabladder.example/baobabladder/internal/base/account"
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/wakeup"
	"baobabladder.example/baobabladder/internal/control/inflight"
	"baobabladder.example/baobabladder/internal/policy/divide"
	"baobabladder.example/baobabladder/internal/policy/limit"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// ReceiverName is the name under which Receiver is registered for net/rpc.
const ReceiverName = "Limits"

// Lease reports whether this VM is the divider.
type Lease interface {
	// Term returns the lease's term and whether this VM holds the lease now.
	Term() (term int64, held bool)
}

// PeerCaller calls peers; see peer.Client.
type PeerCaller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Divider holds one VM's shares, and divides the limits while the VM holds the lease.
// All fields but Scope must be set before Run.
type Divider struct {
	Self    vm.ID
	Clock   clock.Clock
	Holder  *contract.Holder
	Limiter *limit.Limiter
	Lease   Lease
	Peers   PeerCaller
	// View returns the membership as this VM sees it, never nil.
	View func() *membership.View
	// Totals returns the limits of the documents in force; see divide.Totals.
	Totals    func() map[contract.Resource]divide.Total
	Decisions *account.DecisionLog
	Log       logrus.FieldLogger
	Scope     tally.Scope

	mu sync.Mutex
	// allocator is nil unless this VM is the divider. Guarded by mu.
	allocator *divide.Allocator
	// roundDue starts the next round early.
	roundDue wakeup.Signal

	// offering holds the VMs with an Offer call in flight, settling the lenders with a
	// Settle call, waking the divider with a Wake call.
	offering, settling, waking inflight.Set
}

// Run fences this VM against old terms, and then holds and divides limits until ctx
// ends.
func (d *Divider) Run(ctx context.Context) (err error) {
	defer fault.Annotate(&err, "dividing limits on %s", d.Self.Name)
	if err := d.fence(ctx); err != nil {
		return err
	}
	go d.settleLoop(ctx)
	for ctx.Err() == nil {
		d.settle(ctx)
		d.sendWake(ctx)
		d.round(ctx)
		d.pause(ctx)
	}
	return nil
}

func (d *Divider) call(ctx context.Context, name, method string, args, reply any) error {
	return callMember(ctx, d.Peers, d.View(), name, method, args, reply)
}

func (d *Divider) count(name string, by int64) {
	if d.Scope != nil {
		d.Scope.Counter(name).Inc(by)
	}
}

func (d *Divider) gauge(name string, level float64) {
	if d.Scope != nil {
		d.Scope.Gauge(name).Update(level)
	}
}
