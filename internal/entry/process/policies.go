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
	// refreshInterval is how often new snapshots and membership views are passed to the
	// policies, and so the longest delay until a change that this VM knows takes effect.
	refreshInterval = 50 * clock.Millis(1)
	// abandonedClaimInterval is the pause between two attempts to remove abandoned order
	// claims, whose removal the store did not confirm. abandonedClaimBatch is the
	// maximum number of claims in one attempt.
	abandonedClaimInterval = 3 * clock.Second
	abandonedClaimBatch    = 20
	// claimSweepInterval is the pause between two sweeps of expired order claims, and
	// claimSweepBatch the maximum number of claims that one sweep removes.
	claimSweepInterval = 10 * clock.Minute
	claimSweepBatch    = 1000
)

// policies holds the components that decide on traffic: limits, placement, version
// moves, order claims and the ranking of entry VMs. They are updated whenever the
// configuration or the view of the membership changes.
type policies struct {
	control     *controlPlane
	shareHolder *contract.Holder
	limiter     *limit.Limiter
	slots       *limit.SlotPool
	placer      *placement.Placer
	guard       *move.Guard
	divider     *divider.Divider
	mover       *mover.Mover
	claims      *order.Claims
	ranker      ranker
	// totals holds the limits in force. The map is replaced, never modified.
	totals atomic.Pointer[map[contract.Resource]divide.Total]
	// totalsSnapshot and totalsEndpoints are what totals was built from. Only update
	// uses them.
	totalsSnapshot  *replica.Snapshot
	totalsEndpoints map[string]vm.State
}

// newPolicies creates the components without starting them, and registers their RPC
// receivers.
func newPolicies(control *controlPlane, config settings.Settings) (p *policies, err error) {
	p = &policies{control: control, ranker: ranker{region: config.Region}}
	p.totals.Store(&map[contract.Resource]divide.Total{})
	peerClient := &divider.PeerClient{Peers: control.peerClient, View: control.heartbeat.View}
	scope := control.metrics.Scope
	p.shareHolder = &contract.Holder{Self: control.id}
	p.limiter = &limit.Limiter{Holder: p.shareHolder, Peers: peerClient, MaxWait: limit.DefaultMaxWait, Scope: scope}
	p.slots = &limit.SlotPool{Holder: p.shareHolder, Lenders: peerClient, Scope: scope}
	p.guard = &move.Guard{VM: control.id.Name}
	p.placer = &placement.Placer{
		Slots: p.slots, Links: limit.LinkLimiter{Holder: p.shareHolder}, Versions: p.guard,
		Region: config.Region, DataCentre: config.DataCentre,
	}
	p.divider = &divider.Divider{
		Self: control.id, Holder: p.shareHolder, Limiter: p.limiter, Lease: control.leases[dividerLease], Peers: control.peerClient,
		View: control.heartbeat.View, Totals: func() map[contract.Resource]divide.Total { return *p.totals.Load() },
		Decisions: control.decisions, Log: control.log, Scope: scope,
	}
	p.mover = &mover.Mover{
		Self: control.id, Guard: p.guard, Lease: control.leases[moverLease], Peers: control.peerClient, Store: control.store,
		View: control.heartbeat.View, Snapshot: control.replica.Snapshot, OnWritten: p.propagateObject,
		Decisions: control.decisions, Log: control.log,
	}
	p.guard.Peers = p.mover
	p.claims = &order.Claims{Store: control.store}
	control.operator.Shares = p.shares
	if err := control.peerServer.Register(divider.ReceiverName, &divider.Receiver{Divider: p.divider}); err != nil {
		return nil, err
	}
	return p, control.peerServer.Register(mover.ReceiverName, &mover.Receiver{Mover: p.mover})
}

// shares returns the shares of limits that this VM holds, for operators.
func (p *policies) shares() []operator.ShareStatus {
	lines := []operator.ShareStatus{}
	for _, holding := range p.shareHolder.Holdings() {
		lines = append(lines, operator.ShareStatus{Resource: holding.Resource, Share: holding.Share})
	}
	return lines
}

// propagateObject merges an object that this VM wrote into its own copy and pushes it
// to all peers, without waiting for the watch on the store to return it.
func (p *policies) propagateObject(ctx context.Context, object store.Object) {
	if _, err := p.control.replica.Merge(store.Listing{Objects: []store.Object{object}}); err != nil {
		p.control.log.WithError(err).Error("decoding an object that this VM wrote failed; its older value stays in force")
	}
	p.control.follower.PushAll(ctx, []store.Object{object})
}

// run runs the background work on limits, moves and claims until ctx is done.
func (p *policies) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { p.refresh(ctx) })
	group.Go(func() { p.mover.Run(ctx) })
	group.Go(func() { p.removeAbandonedClaims(ctx) })
	group.Go(func() { p.sweepExpiredClaims(ctx) })
	group.Go(func() {
		if err := p.divider.Run(ctx); err != nil && ctx.Err() == nil {
			p.control.log.WithError(err).Error("dividing limits stopped unexpectedly")
		}
	})
	group.Wait()
}

// refresh passes new snapshots and membership views to the policies.
func (p *policies) refresh(ctx context.Context) {
	var snapshot *replica.Snapshot
	var view *membership.View
	for {
		newest, newestView := p.control.replica.Snapshot(), p.control.heartbeat.View()
		if newest != snapshot || newestView != view {
			snapshot, view = newest, newestView
			p.update(snapshot, view)
		}
		if clock.Sleep(ctx, refreshInterval) != nil {
			return
		}
	}
}

func (p *policies) update(snapshot *replica.Snapshot, view *membership.View) {
	if snapshot != p.totalsSnapshot || !maps.Equal(view.Endpoints, p.totalsEndpoints) {
		p.totalsSnapshot, p.totalsEndpoints = snapshot, view.Endpoints
		totals := limitTotals(snapshot, view)
		p.totals.Store(&totals)
	}
	p.placer.Update(snapshot.Fleet, view)
	p.ranker.update(snapshot.Fleet, view)
}

// limitTotals returns the limits of the documents in force.
func limitTotals(snapshot *replica.Snapshot, view *membership.View) map[contract.Resource]divide.Total {
	services := make([]*document.Service, len(snapshot.Services))
	for i := range snapshot.Services {
		services[i] = snapshot.Services[i].Service
	}
	return divide.Totals(services, snapshot.Fleet, view.Endpoints)
}

// removeAbandonedClaims removes the claims that this VM gave up while the store did not
// respond.
func (p *policies) removeAbandonedClaims(ctx context.Context) {
	for clock.Sleep(ctx, abandonedClaimInterval) == nil {
		p.claims.RemoveAbandoned(ctx, abandonedClaimBatch)
	}
}

// sweepExpiredClaims removes order claims that are past their lifetime. It does so only
// while this VM holds moverLease.
func (p *policies) sweepExpiredClaims(ctx context.Context) {
	for clock.Sleep(ctx, claimSweepInterval) == nil {
		if _, held := p.control.leases[moverLease].Term(); !held {
			continue
		}
		if _, err := p.claims.Sweep(ctx, claimSweepBatch); err != nil {
			p.control.log.WithError(err).Warn("removing expired order claims failed; retrying in the next sweep")
		}
	}
}

// router creates the handler of callers' requests.
func (p *policies) router(refuser caller.RefusalWriter, client *endpoint.Client, region string) *router.Router {
	return &router.Router{
		Replica: p.control.replica, Placer: p.placer, Client: client, Freshness: p.control.freshness,
		Limiter: p.limiter, Claims: p.claims, Retry: &retry.Budget{}, Links: p.limiter,
		Region: region, Refuser: refuser, RetryCounters: metric.NewReasonCounters(p.control.metrics.Scope, "retries"),
	}
}

// ranker ranks the entry VMs for a caller. Readers take no lock.
type ranker struct {
	region  string
	ranking atomic.Pointer[lookup.Ranking]
	// table maps blocks of client addresses to regions.
	table atomic.Pointer[lookup.Table]
	// fleet and eligibleVMs are what table and ranking were built from. Only update
	// uses them.
	fleet       *document.Fleet
	eligibleVMs []vm.VM
}

// update rebuilds the ranking and the table if their inputs have changed. Views change
// about ten times a second, mostly without an effect on the ranking.
func (r *ranker) update(fleet *document.Fleet, view *membership.View) {
	eligible := lookup.EligibleVMs(view)
	if r.ranking.Load() == nil || fleet != r.fleet || !slices.Equal(eligible, r.eligibleVMs) {
		r.eligibleVMs = eligible
		r.ranking.Store(lookup.NewRanking(fleet, eligible, r.region))
	}
	if fleet == r.fleet {
		return
	}
	r.fleet = fleet
	table := &lookup.Table{}
	if fleet != nil {
		// Loading cannot fail: invalid blocks are rejected when the document is
		// checked.
		_ = table.Load(fleet.ClientBlocks)
	}
	r.table.Store(table)
}

// Lookup implements caller.VMRanker.
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
