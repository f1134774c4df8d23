// Package heartbeat sends heartbeats to the other entry VMs (the peers) at regular
// intervals. A reply carries the state of the replying VM and the platform's list of
// VMs; from both a VM makes its view of the membership. A reply also has a summary of
// the peer's copy of the configuration. Once this VM has fetched what its own copy
// lacks of it, the reply counts for the age of the copy (see package freshness), and
// this VM has caught up with that incarnation of the peer.
//
// In a small fleet a VM sends a heartbeat to every peer in each round. With more than
// MaxPeersPerRound peers the rounds are bounded: the VM sends heartbeats to some of the
// peers in each round, in turn, and peers relay what they know of the others. They
// relay for each data centre how long ago their copy had everything that its VMs had,
// claims of leases, and the VMs of their own data centre that they cannot reach.
package heartbeat

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/control/freshness"
	"baobabladder.example/baobabladder/internal/control/lease"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/replica"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// Durations of heartbeats.
const (
	// Interval is the time between two rounds of heartbeats.
	Interval = 500 * clock.Millis(1)

	// callTimeout bounds one heartbeat, and the fetch of a leaving peer's content.
	// leaveTimeout bounds the call that announces a stop to one peer.
	callTimeout  = 1 * clock.Second
	leaveTimeout = 3 * clock.Second
	// reachableTimeout is how long after its request a reply makes the peer count as
	// reachable.
	reachableTimeout = 1700 * clock.Millis(1)
	// contactTimeout is how long after its request a reply of the store counts as
	// contact. It is longer than the wait of a watch. A failed call ends the contact
	// immediately.
	contactTimeout = 15 * clock.Second
	// refreshInterval is the time between two rebuilds of the membership view, and
	// between two checks for new peers and for the next round.
	refreshInterval = 100 * clock.Millis(1)
	// unlistedTimeout is how long after its last call a VM that is not on the
	// platform's list counts as a peer.
	unlistedTimeout = 10 * clock.Second
)

// ReceiverName is the name under which Receiver is registered for net/rpc.
const ReceiverName = "Heartbeat"

var (
	errorNamespace = errorx.NewNamespace("heartbeat")
	errNoProfile   = errorNamespace.NewType("no_profile")
)

// PeerCaller calls peers; see peer.Client.
type PeerCaller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// CatchUp fetches what this VM's copy lacks of the content that reply summarises.
// isComplete reports whether the copy then has everything that the peer's had.
type CatchUp func(ctx context.Context, address string, reply *AskReply) (isComplete bool, err error)

// Heartbeat exchanges heartbeats between one VM and its peers. The exported fields
// must be set before use, except those marked optional.
type Heartbeat struct {
	Self      vm.VM
	ID        vm.ID
	Replica   *replica.Replica
	Freshness *freshness.Freshness
	Peers     PeerCaller
	Clock     clock.Clock
	// Seeds holds peer addresses to call while the platform's list is not known;
	// optional.
	Seeds []string
	// CatchUp is optional. Without it, replies don't count for freshness.
	CatchUp CatchUp
	// MaxPeersPerRound is the number of peers to which a heartbeat is sent in each
	// round if there are more peers; 0 selects 8. Peers that are due in every round
	// may exceed it.
	MaxPeersPerRound int
	// Claims returns the leases that this VM holds; optional.
	Claims func() []lease.Claim
	// Jitter returns a number from 0 up to below n; optional.
	Jitter func(n clock.Millis) clock.Millis
	// Spawn runs a function concurrently; nil starts a goroutine. Tests on a manual
	// clock call it synchronously.
	Spawn func(run func())

	view       atomic.Pointer[membership.View]
	isReady    atomic.Bool
	isStopping atomic.Bool

	ownOnce    sync.Once
	ownDigest  uint64
	ownProfile *Profile

	mu sync.Mutex
	// peers holds every other entry VM that is listed or has called, by name. Guarded
	// by mu.
	peers map[string]*peerState
	// list is the platform's list, or nil if it is not known, and listDigest its
	// digest, or 0. listAsOf is the time as of which the list is known to be current.
	// Guarded by mu.
	list       []vm.VM
	listAsOf   clock.Millis
	listDigest uint64
	// dataCentres holds the names of the listed entry VMs of each data centre, in
	// order of the data centres' names. Guarded by mu.
	dataCentres [][]string
	// isListed is set if the list contains this VM, and listedAt is when it was set.
	// Guarded by mu.
	isListed bool
	listedAt clock.Millis
	// claims holds the newest known claim of each duty by another VM. Guarded by mu.
	claims map[string]timedClaim
	// removed holds the VMs that were removed from the list, by name. Guarded by mu.
	removed map[string]vm.ID
	// contactAt is when the last request was sent to which the store replied.
	// hasContact is set if no call to the store has failed since. Guarded by mu.
	contactAt  clock.Millis
	hasContact bool
}

// SetStopping marks this VM as stopping in its replies and its view.
func (h *Heartbeat) SetStopping() {
	h.isStopping.Store(true)
	h.Refresh()
}

// SetReady marks this VM as ready to serve in its replies and its view.
func (h *Heartbeat) SetReady() { h.isReady.Store(true) }

// Targets returns the addresses of all peers, by name. While no list is known, it
// also has the seeds, with their addresses as names.
func (h *Heartbeat) Targets() map[string]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	targets := map[string]string{}
	known := map[string]bool{h.Self.PeerAddress: true}
	for name, state := range h.peers {
		targets[name] = state.vm.PeerAddress
		known[state.vm.PeerAddress] = true
	}
	if h.list == nil {
		for _, seed := range h.Seeds {
			if !known[seed] {
				targets[seed] = seed
			}
		}
	}
	return targets
}

// Run sends heartbeats until ctx ends. Each has a goroutine of its own, so that a
// peer that hangs delays no other.
func (h *Heartbeat) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		for ctx.Err() == nil {
			h.Refresh()
			_ = clock.Sleep(ctx, refreshInterval)
		}
	})
	inFlight := &sync.Map{}
	askAll := func(targets map[string]string, spread clock.Millis) {
		for i, name := range slices.Sorted(maps.Keys(targets)) {
			if _, isInFlight := inFlight.LoadOrStore(name, true); isInFlight {
				continue
			}
			pause := spread * clock.Millis(i) / clock.Millis(len(targets))
			group.Go(func() {
				defer inFlight.Delete(name)
				h.askAfter(ctx, pause, targets[name])
			})
		}
	}
	for next := h.Clock.Now(); ctx.Err() == nil; {
		added := h.newTargets()
		askAll(added, clock.Millis(len(added)))
		if h.Clock.Now() >= next {
			round := Interval*9/10 + h.jitter(Interval/5)
			next = h.Clock.Now() + round
			// The heartbeats of a round are spread over it.
			askAll(h.DueTargets(), round)
		}
		_ = clock.Sleep(ctx, refreshInterval)
	}
}

func (h *Heartbeat) askAfter(ctx context.Context, pause clock.Millis, address string) {
	if clock.Sleep(ctx, pause) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	_ = h.Ask(ctx, address)
}

// Ask sends one heartbeat to the peer at address and processes the reply.
func (h *Heartbeat) Ask(ctx context.Context, address string) (err error) {
	defer fault.Annotate(&err, "sending a heartbeat to the peer at %s", address)
	request, known := h.newRequest(address)
	sent, sentMicros := h.Clock.Now(), h.Clock.Micros()
	var reply AskReply
	if err := h.Peers.Call(ctx, address, ReceiverName+".Ask", request, &reply); err != nil {
		h.recordFailure(address)
		return err
	}
	if reply.Profile == nil {
		reply.Profile = known
	}
	if reply.Profile == nil {
		h.recordFailure(address)
		return errNoProfile.New("the reply has no profile and none is known for the address")
	}
	h.applyReply(&reply, sent, h.Clock.Micros()-sentMicros)
	switch {
	case reply.ListSame:
		h.confirmList(request.ListDigest, sent-reply.ListAge)
	case reply.ListKnown:
		h.SetList(reply.List, sent-reply.ListAge)
	}
	return h.catchUp(ctx, address, &reply, request, sent)
}

// newRequest returns the request for the peer at address and the peer's profile, if
// it is known, which the reply need not repeat.
func (h *Heartbeat) newRequest(address string) (request AskRequest, known *Profile) {
	profile, digest := h.profile()
	h.mu.Lock()
	defer h.mu.Unlock()
	request = AskRequest{Caller: digest, Profile: profile, ListDigest: h.listDigest, Wants: h.wantsRelayedState()}
	for _, state := range h.peers {
		if state.vm.PeerAddress != address {
			continue
		}
		if !state.isUnanswered {
			state.isUnanswered, state.unansweredAt = true, h.Clock.Now()
		}
		if state.profile == nil {
			continue
		}
		request.Known, known = state.digest, state.profile
		if state.hasOurProfile {
			request.Profile = nil
		}
		break
	}
	return request, known
}

// profile returns this incarnation's profile and its digest.
func (h *Heartbeat) profile() (profile *Profile, digest uint64) {
	h.ownOnce.Do(func() {
		h.ownProfile = &Profile{VM: h.Self, ID: h.ID}
		h.ownDigest = h.ownProfile.digest()
	})
	return h.ownProfile, h.ownDigest
}

// catchUp fetches the content that reply summarises and then counts the reply for
// freshness.
func (h *Heartbeat) catchUp(ctx context.Context, address string, reply *AskReply, request AskRequest, sent clock.Millis) (err error) {
	if h.CatchUp == nil {
		return nil
	}
	isComplete, err := h.CatchUp(ctx, address, reply)
	if err != nil || !isComplete {
		return err
	}
	h.mu.Lock()
	state := h.peers[reply.Profile.ID.Name]
	if state != nil && state.reply != nil {
		state.isCaughtUp = true
	}
	h.mu.Unlock()
	h.Freshness.MarkPeerComplete(reply.Profile.ID.Name, sent)
	h.applyRelayed(reply, request, sent)
	if reply.Known {
		h.Freshness.MarkComplete(sent - reply.Age)
	}
	return nil
}

func (h *Heartbeat) spawn(run func()) {
	if h.Spawn != nil {
		h.Spawn(run)
		return
	}
	go run()
}

func (h *Heartbeat) jitter(n clock.Millis) clock.Millis {
	if h.Jitter == nil {
		return 0
	}
	return h.Jitter(n)
}
