package quota

import (
	"math"
	"slices"
	"sync"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/routing"
)

const (
	// An owner becomes strict about a workspace, which makes VMs ask for tokens, once
	// less than strictThreshold of the burst is left or demand exceeds the rate. It
	// stops being strict once more than freeThreshold of the burst is left and demand
	// is below freeDemandFraction of the rate.
	strictThreshold    = 0.6
	freeThreshold      = 0.9
	freeDemandFraction = 0.75
	// ownerDemandDecayTime is the time constant of the smoothed demand at an owner.
	ownerDemandDecayTime = 1 * clock.Second
	// strictAnnounceTime is how long after the last report StrictWorkspaces lists a
	// workspace.
	strictAnnounceTime = 2 * clock.Second
	// A VM that reports a workspace does so each 0.25 s while it has requests. If one that has
	// reported minReports times, at most silentAfter apart, falls silent for silentAfter, it
	// may have lost the owner, and its share is withheld until silentUntil, by when the owner
	// knows which VMs it has lost. A VM with few requests reports each of them twice.
	minReports  = 3
	silentAfter = 500 * clock.Millis(1)
	silentUntil = 2200 * clock.Millis(1)
	// initialBurstFraction is the fraction of a burst in the bucket of a new owner, as
	// its predecessor may have granted the rest.
	initialBurstFraction = 0.1
	// unownedBurstFraction is the fraction of a burst that a VM keeps in a bucket which it does
	// not own.
	unownedBurstFraction = 0.25
)

// Usage is a VM's report about one workspace.
type Usage struct {
	// Used is the number of requests that the VM admitted without granted tokens since
	// its last report, less the granted tokens that it did not use.
	Used float64
	// Want is the number of tokens that the VM asks for.
	Want float64
}

// Grant is the owner's reply about one workspace.
type Grant struct {
	// Strict reports whether the VM must have a token for each request it admits.
	Strict bool
	// Tokens is the number of requests that the VM may admit.
	Tokens float64
	// Wait is the time after which the VM may ask for more tokens; 0 if it got some.
	Wait clock.Millis
}

// Owner holds the token buckets of the workspaces that this VM owns. VMs admit requests
// before they learn that the owner has become strict about a workspace. The owner
// subtracts these requests from the bucket, whose tokens may become negative, and
// grants nothing until there are tokens again. The excess over the limit is therefore
// at most what is admitted in one reporting interval. For silentUntil an owner that is alone,
// see Reach, grants no more than its share: it may be cut off from VMs that admit theirs
// without it. The zero value is ready for use.
type Owner struct {
	Clock clock.Clock
	// IsOwnershipUnstable, if set, reports whether workspaces change owners frequently.
	// The buckets of a new owner are then empty at first, as otherwise each of the
	// owners would grant a part of the burst.
	IsOwnershipUnstable func() bool

	mu sync.Mutex
	// buckets holds the bucket of each workspace, by name. Guarded by mu.
	buckets map[string]*ownedBucket
}

// ownedBucket is the token bucket of one workspace, for all VMs together.
type ownedBucket struct {
	tokens float64
	// demand is the smoothed number of requests per second.
	demand     float64
	refilledAt clock.Millis
	// reportedAt is when a VM last reported the workspace, rate and burst are what this VM
	// granted then at most.
	reportedAt  clock.Millis
	rate, burst float64
	isStrict    bool
	// ownedSince is when the workspace was first reported while this VM was the owner without
	// interruption, as far as it knows. isUnowned is set while another VM owns it, or none.
	ownedSince clock.Millis
	isUnowned  bool
	// reporters holds the VMs that have reported lately, by name.
	reporters map[string]reporter
}

// reporter is a VM that reports: when it last did, and how often in sequence.
type reporter struct {
	at    clock.Millis
	count int
}

// Reach is what an owner reaches of the fleet.
type Reach struct {
	// Fraction is the fraction of the limit that the VMs which the owner reaches may use
	// together. It is below 1 if the owner does not reach all VMs.
	Fraction float64
	// Share is the fraction that one VM may use without an owner.
	Share float64
	// IsAlone is set if the owner has had no contact with another VM lately.
	IsAlone bool
}

// Report records a VM's usage of a workspace and returns what the VM may admit.
func (o *Owner) Report(workspace *routing.Workspace, vm string, usage Usage, reach Reach) Grant {
	o.mu.Lock()
	defer o.mu.Unlock()
	burst := max(workspace.Burst*reach.Fraction, 1)
	b := o.bucket(workspace.Name, burst)
	now := o.Clock.Now()
	b.reportedAt = now
	b.recordOwned(now)
	b.recordReporter(vm, now)
	withheld := float64(b.countSilent(now)) * reach.Share
	if reach.IsAlone && now-b.ownedSince < silentUntil {
		// VMs that do not reach the owner may admit their shares.
		withheld = reach.Fraction - reach.Share
	}
	rate := workspace.Rate * max(reach.Fraction-withheld, reach.Share)
	b.rate, b.burst = rate, burst
	b.refill(now, rate, burst)
	b.tokens -= usage.Used
	b.demand += (usage.Used + usage.Want) * float64(clock.Second) / float64(ownerDemandDecayTime)
	switch {
	case b.tokens < strictThreshold*burst || b.demand > rate:
		b.isStrict = true
	case b.tokens > freeThreshold*burst && b.demand < freeDemandFraction*rate:
		b.isStrict = false
	}
	if !b.isStrict {
		return Grant{}
	}
	granted := math.Floor(min(usage.Want, max(b.tokens, 0)))
	b.tokens -= granted
	grant := Grant{Strict: true, Tokens: granted}
	if granted < 1 {
		grant.Wait = clock.Millis((1-b.tokens)/max(rate, 1e-3)*float64(clock.Second)) + 1
	}
	return grant
}

// FillBurst fills the workspace's bucket, unless the workspace has already been
// reported. It must be called only at the first start of a system, when no part of the
// burst can have been used.
func (o *Owner) FillBurst(workspace *routing.Workspace) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.buckets[workspace.Name] == nil {
		b := o.bucket(workspace.Name, workspace.Burst)
		b.tokens, b.isStrict, b.isUnowned = workspace.Burst, false, false
		b.rate, b.burst = workspace.Rate, workspace.Burst
	}
}

// LimitUnowned leaves at most unownedBurstFraction of the burst in the buckets of the
// workspaces that this VM does not own, as another owner may have granted the rest.
func (o *Owner) LimitUnowned(isOwned func(workspace string) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, b := range o.buckets {
		if !isOwned(name) {
			b.refill(o.Clock.Now(), b.rate, unownedBurstFraction*b.burst)
			b.isUnowned = true
		}
	}
}

// bucket returns the bucket of a workspace, created at first use. The caller must hold
// mu.
func (o *Owner) bucket(name string, burst float64) *ownedBucket {
	if o.buckets == nil {
		o.buckets = map[string]*ownedBucket{}
	}
	b := o.buckets[name]
	if b == nil {
		b = &ownedBucket{tokens: initialBurstFraction * burst, refilledAt: o.Clock.Now(), isStrict: true, isUnowned: true, reporters: map[string]reporter{}}
		if o.IsOwnershipUnstable != nil && o.IsOwnershipUnstable() {
			b.tokens = 0
		}
		o.buckets[name] = b
	}
	return b
}

// recordOwned records that this VM owns the bucket.
func (b *ownedBucket) recordOwned(now clock.Millis) {
	if b.isUnowned {
		b.ownedSince, b.isUnowned = now, false
	}
}

// recordReporter records that a VM has reported.
func (b *ownedBucket) recordReporter(vm string, now clock.Millis) {
	r := b.reporters[vm]
	if now-r.at >= silentAfter {
		r.count = 0
	}
	b.reporters[vm] = reporter{at: now, count: r.count + 1}
}

// countSilent returns how many VMs have ceased to report lately, and forgets those that have
// done so longer ago.
func (b *ownedBucket) countSilent(now clock.Millis) (count int) {
	for vm, r := range b.reporters {
		switch silent := now - r.at; {
		case silent >= silentUntil:
			delete(b.reporters, vm)
		case silent >= silentAfter && r.count >= minReports:
			count++
		}
	}
	return count
}

// refill adds the tokens for the time since the last call and decays the demand.
func (b *ownedBucket) refill(now clock.Millis, rate, burst float64) {
	elapsed := float64(now - b.refilledAt)
	b.refilledAt = now
	b.tokens = min(b.tokens+elapsed/float64(clock.Second)*rate, burst)
	b.demand *= math.Exp(-elapsed / float64(ownerDemandDecayTime))
}

// StrictWorkspaces returns the names of the workspaces for which VMs must ask for
// tokens, sorted.
func (o *Owner) StrictWorkspaces() (names []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	for name, b := range o.buckets {
		if b.isStrict && now-b.reportedAt < strictAnnounceTime {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
