package process

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/metric"
	"baobabladder.example/baobabladder/internal/base/settings"
	"baobabladder.example/baobabladder/internal/control/divider"
	"baobabladder.example/baobabladder/internal/control/mover"
	"baobabladder.example/baobabladder/internal/entry/router"
	"baobabladder.example/baobabladder/internal/policy/divide"
	"baobabladder.example/baobabladder/internal/policy/limit"
	"baobabladder.example/baobabladder/internal/policy/lookup"
	"baobabladder.example/baobabladder/internal/policy/move"
	"baobabladder.example/baobabladder/internal/policy/placement"
	"baobabladder.example/baobabladder/internal/policy/retry"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
	"baobabladder.example/baobabladder/internal/wire/operator"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/order"
	"baobabladder.example/baobabladder/internal/world/replica"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	// refreshInterval bounds how long a change of documents or membership takes to
	// reach the policies, once it is known here.
	refreshInterval = 50 * clock.Millis(1)
	// settleInterval is the pause between two tries to settle claims whose end the
	// store did not confirm, and settleClaims how many one try takes up at most.
	settleInterval = 3 * clock.Second
	settleClaims   = 20
	// sweepInterval is the pause between two sweeps of old order claims, and
	// sweepClaims how many claims one sweep removes at most.
	sweepInterval = 10 * clock.Minute
	sweepClaims   = 1000
)

// steering is what a VM decides with: limits, placement, moves and the ranking
// of entry VMs. It is rebuilt from what the VM knows whenever that changes.
type steering struct {
	known   *knowledge
	holder  *contract.Holder
	limiter *limit.Limiter
	slots   *limit.SlotPool
	placer  *placement.Placer
	guard   *move.Guard
	divider *divider.Divider
	mover   *mover.Mover
	claims  *order.Claims
	ranker  ranker
	// totals holds the limits in force; it is replaced, never changed.
	totals atomic.Pointer[map[contract.Resource]divide.Total]
	// dividedFrom and dividedWith are what totals was built from. Only update uses
	// them.
	dividedFrom *replica.Snapshot
	dividedWith map[string]vm.State
}

// newSteering puts the parts together; nothing runs yet.
func newSteering(known *knowledge, read settings.Settings) (s *steering, err error) {
	s = &steering{known: known, ranker: ranker{home: read.Region}}
	s.totals.Store(&map[contract.Resource]divide.Total{})
	neighbours := &divider.PeerClient{Caller: known.peers, View: known.heartbeat.View}
	scope := known.metrics.Scope
	s.holder = &contract.Holder{Self: known.id}
	s.limiter = &limit.Limiter{Holder: s.holder, Peers: neighbours, MaxWait: limit.DefaultMaxWait, Scope: scope}
	s.slots = &limit.SlotPool{Holder: s.holder, Lenders: neighbours, Scope: scope}
	s.guard = &move.Guard{VM: known.id.Name}
	s.placer = &placement.Placer{
		Slots: s.slots, Links: limit.LinkLimiter{Holder: s.holder}, Versions: s.guard,
		Region: read.Region, DataCentre: read.DataCentre,
	}
	s.divider = &divider.Divider{
		Self: known.id, Holder: s.holder, Limiter: s.limiter, Lease: known.leases[dividerDuty], Caller: known.peers,
		View: known.heartbeat.View, Totals: func() map[contract.Resource]divide.Total { return *s.totals.Load() },
		Account: known.account, Log: known.log, Scope: scope,
	}
	s.mover = &mover.Mover{
		Self: known.id, Guard: s.guard, Lease: known.leases[moverDuty], Caller: known.peers, Store: known.store,
		View: known.heartbeat.View, Snapshot: known.replica.Snapshot, OnWritten: s.spread,
		Account: known.account, Log: known.log,
	}
	s.guard.Peers = s.mover
	s.claims = &order.Claims{Store: known.store}
	known.operator.Shares = s.shares
	if err := known.server.Register(divider.ReceiverName, &divider.Receiver{Divider: s.divider}); err != nil {
		return nil, err
	}
	return s, known.server.Register(mover.ReceiverName, &mover.Receiver{Mover: s.mover})
}

// shares lists the shares that this VM holds, for operators.
func (s *steering) shares() []operator.ShareStatus {
	lines := []operator.ShareStatus{}
	for _, holding := range s.holder.Holdings() {
		lines = append(lines, operator.ShareStatus{Resource: holding.Resource, Share: holding.Share})
	}
	return lines
}

// spread takes an object that this VM wrote over into its own copy and tells all
// peers of it, without waiting for the watch to bring it back.
func (s *steering) spread(ctx context.Context, object store.Object) {
	if _, err := s.known.replica.Merge(store.Listing{Objects: []store.Object{object}}); err != nil {
		s.known.log.WithError(err).Error("an object that this VM wrote can't be read")
	}
	s.known.follower.PushAll(ctx, []store.Object{object})
}

// run does the VM's part in limits and moves until ctx ends.
func (s *steering) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.refresh(ctx) })
	group.Go(func() { s.mover.Run(ctx) })
	group.Go(func() { s.settle(ctx) })
	group.Go(func() { s.sweep(ctx) })
	group.Go(func() {
		if err := s.divider.Run(ctx); err != nil && ctx.Err() == nil {
			s.known.log.WithError(err).Error("the divider ended")
		}
	})
	group.Wait()
}

// refresh passes each new snapshot and view on to the policies.
func (s *steering) refresh(ctx context.Context) {
	var snapshot *replica.Snapshot
	var view *membership.View
	for {
		newest, newestView := s.known.replica.Snapshot(), s.known.heartbeat.View()
		if newest != snapshot || newestView != view {
			snapshot, view = newest, newestView
			s.update(snapshot, view)
		}
		if clock.Sleep(ctx, refreshInterval) != nil {
			return
		}
	}
}

func (s *steering) update(snapshot *replica.Snapshot, view *membership.View) {
	if snapshot != s.dividedFrom || !maps.Equal(view.Endpoints, s.dividedWith) {
		s.dividedFrom, s.dividedWith = snapshot, view.Endpoints
		totals := totalsOf(snapshot, view)
		s.totals.Store(&totals)
	}
	s.placer.Update(snapshot.Fleet, view)
	s.ranker.update(snapshot.Fleet, view)
}

// totalsOf returns the limits of the documents in force.
func totalsOf(snapshot *replica.Snapshot, view *membership.View) map[contract.Resource]divide.Total {
	services := make([]*document.Service, len(snapshot.Services))
	for i := range snapshot.Services {
		services[i] = snapshot.Services[i].Service
	}
	return divide.Totals(services, snapshot.Fleet, view.Endpoints)
}

// settle ends the claims that this VM gave up while the store did not answer.
func (s *steering) settle(ctx context.Context) {
	for clock.Sleep(ctx, settleInterval) == nil {
		s.claims.RemoveAbandoned(ctx, settleClaims)
	}
}

// sweep removes order claims that are past their lifetime, on the VM that holds
// the mover's lease.
func (s *steering) sweep(ctx context.Context) {
	for clock.Sleep(ctx, sweepInterval) == nil {
		if _, held := s.known.leases[moverDuty].Term(); !held {
			continue
		}
		if _, err := s.claims.Sweep(ctx, sweepClaims); err != nil {
			s.known.log.WithError(err).Warn("sweeping old order claims failed")
		}
	}
}

// router puts together what answers callers' requests.
func (s *steering) router(refuser caller.RefusalWriter, client *endpoint.Client, region string) *router.Router {
	return &router.Router{
		Replica: s.known.replica, Placer: s.placer, Client: client, Freshness: s.known.freshness,
		Limiter: s.limiter, Claims: s.claims, Retry: &retry.Budget{}, Links: s.limiter,
		Region: region, Refuser: refuser, RetryCounters: metric.NewReasonCounters(s.known.metrics.Scope, "retries"),
	}
}

// ranker answers which VMs a caller should use. Readers take no lock.
type ranker struct {
	home    string
	ranking atomic.Pointer[lookup.Ranking]
	table   atomic.Pointer[lookup.Table]
	// fleet and named are what table and ranking were built from. Only update uses
	// them.
	fleet *document.Fleet
	named []vm.VM
}

// update rebuilds what changed. A view comes ten times a second, and most tell
// nothing new to callers.
func (r *ranker) update(fleet *document.Fleet, view *membership.View) {
	named := lookup.EligibleVMs(view)
	if r.ranking.Load() == nil || fleet != r.fleet || !slices.Equal(named, r.named) {
		r.named = named
		r.ranking.Store(lookup.NewRanking(fleet, named, r.home))
	}
	if fleet == r.fleet {
		return
	}
	r.fleet = fleet
	table := &lookup.Table{}
	if fleet != nil {
		// The document's check has refused blocks that a table can't keep.
		_ = table.Load(fleet.ClientBlocks)
	}
	r.table.Store(table)
}

// Lookup implements caller.VMs.
func (r *ranker) Lookup(address netip.Addr) []vm.VM {
	ranking, table := r.ranking.Load(), r.table.Load()
	if ranking == nil {
		return nil
	}
	region := ""
	if table != nil {
		region = table.Region(address)
	}
	return ranking.Pick(region, address)
}
