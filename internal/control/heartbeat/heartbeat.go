// Package heartbeat asks every other entry VM, again and again, how it is. The
// answers and the platform's list, which they relay, make up the VM's view of
// the membership.
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

// Times of heartbeats.
const (
	// Interval is how often each peer is asked.
	Interval = 500 * clock.Millis(1)

	callTimeout  = 1 * clock.Second
	leaveTimeout = 3 * clock.Second
	// reachableTime is how long an answer counts.
	reachableTime = 1700 * clock.Millis(1)
	// contactTime is how long an answer of the store counts. It is longer than a
	// watch waits; a failed call ends the contact at once.
	contactTime     = 15 * clock.Second
	refreshInterval = 100 * clock.Millis(1)
	// unlistedTime is how long a VM that the platform does not list yet counts as
	// a peer after it last called.
	unlistedTime = 10 * clock.Second
)

// ReceiverName is the name under which peers call a Receiver.
const ReceiverName = "Heartbeat"

var (
	errorNamespace = errorx.NewNamespace("heartbeat")
	errNoProfile   = errorNamespace.NewType("no_profile")
)

// Caller calls peers; see peer.Client.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// CatchUp brings this VM's copy up to what an answer tells of, and reports
// whether the copy then holds all that the peer held.
type CatchUp func(ctx context.Context, address string, answer *AskReply) (whole bool, err error)

// Heartbeat is one VM's part in the heartbeats. The exported fields must be set
// before use, but for those said to be optional.
type Heartbeat struct {
	Self      vm.VM
	ID        vm.ID
	Replica   *replica.Replica
	Freshness *freshness.Freshness
	Peers     Caller
	Clock     clock.Clock
	// Seeds holds peer addresses to ask while the platform's list is not known;
	// optional.
	Seeds []string
	// CatchUp is optional; without it, answers don't count for freshness.
	CatchUp CatchUp
	// MaxAsked bounds the peers asked in each Interval once there are more; 0
	// stands for 8.
	MaxPeersPerRound int
	// Claims returns the leases that this VM holds; optional.
	Claims func() []lease.Claim
	// Jitter returns a number from 0 up to below n; optional.
	Jitter func(n clock.Millis) clock.Millis
	// Spawn runs something beside the caller; nil starts a goroutine. Tests that
	// are driven by hand run it at once.
	Spawn func(run func())

	view     atomic.Pointer[membership.View]
	ready    atomic.Bool
	stopping atomic.Bool

	ownOnce   sync.Once
	ownDigest uint64
	own       *Profile

	mu sync.Mutex
	// peers holds every other entry VM heard or heard of, by name. Guarded by mu.
	peers map[string]*peerState
	// list is the platform's list, or nil; listAsOf is the time as of which this
	// VM knows it. Guarded by mu.
	list       []vm.VM
	listAsOf   clock.Millis
	listDigest uint64
	// centres holds the names of the listed entry VMs of each data centre, in order
	// of the data centres' names. Guarded by mu.
	centres [][]string
	// listed says whether the list has this VM, and listedAt since when. Guarded by mu.
	listed   bool
	listedAt clock.Millis
	// claims holds the newest claim heard of each duty. Guarded by mu.
	claims map[string]heardClaim
	// gone holds VMs that the list has dropped, by name. Guarded by mu.
	gone map[string]vm.ID
	// contactAt is when the last question was sent that the store answered.
	// Guarded by mu.
	contactAt  clock.Millis
	hasContact bool
}

// SetStopping makes the answers say that this VM is stopping.
func (h *Heartbeat) SetStopping() {
	h.stopping.Store(true)
	h.Refresh()
}

// SetReady makes the answers say that this VM can serve.
func (h *Heartbeat) SetReady() { h.ready.Store(true) }

// Targets returns the addresses to ask, by name. A seed goes by its address as
// long as no list is known.
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

// Run asks peers until ctx ends. Each question has a goroutine of its own, so a
// frozen peer delays no other.
func (h *Heartbeat) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		for ctx.Err() == nil {
			h.Refresh()
			_ = clock.Sleep(ctx, refreshInterval)
		}
	})
	asking := &sync.Map{}
	ask := func(targets map[string]string, spread clock.Millis) {
		for i, name := range slices.Sorted(maps.Keys(targets)) {
			if _, busy := asking.LoadOrStore(name, true); busy {
				continue
			}
			pause := spread * clock.Millis(i) / clock.Millis(len(targets))
			group.Go(func() {
				defer asking.Delete(name)
				h.askAfter(ctx, pause, targets[name])
			})
		}
	}
	for next := h.Clock.Now(); ctx.Err() == nil; {
		news := h.newTargets()
		ask(news, clock.Millis(len(news)))
		if h.Clock.Now() >= next {
			round := Interval*9/10 + h.jitter(Interval/5)
			next = h.Clock.Now() + round
			// The questions of a round are spread over it.
			ask(h.DueTargets(), round)
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

// Ask sends one question to the peer at address and takes in the answer.
func (h *Heartbeat) Ask(ctx context.Context, address string) (err error) {
	defer fault.Annotate(&err, "asking the peer at %s", address)
	question, known := h.question(address)
	sent, sentMicros := h.Clock.Now(), h.Clock.Micros()
	var answer AskReply
	if err := h.Peers.Call(ctx, address, ReceiverName+".Ask", question, &answer); err != nil {
		h.fail(address)
		return err
	}
	if answer.Profile == nil {
		answer.Profile = known
	}
	if answer.Profile == nil {
		h.fail(address)
		return errNoProfile.New("the answer does not say whose it is")
	}
	h.take(&answer, sent, h.Clock.Micros()-sentMicros)
	switch {
	case answer.ListSame:
		h.confirmList(question.ListDigest, sent-answer.ListAge)
	case answer.ListKnown:
		h.SetList(answer.List, sent-answer.ListAge)
	}
	return h.catchUp(ctx, address, &answer, question, sent)
}

// question returns what to ask the peer at address, and the profile that the
// answer need not repeat.
func (h *Heartbeat) question(address string) (question AskRequest, known *Profile) {
	profile, digest := h.profile()
	h.mu.Lock()
	defer h.mu.Unlock()
	question = AskRequest{Caller: digest, Profile: profile, ListDigest: h.listDigest, Wants: h.wantsRelayed()}
	for _, state := range h.peers {
		if state.vm.PeerAddress != address {
			continue
		}
		if !state.unanswered {
			state.unanswered, state.unansweredAt = true, h.Clock.Now()
		}
		if state.profile == nil {
			continue
		}
		question.Known, known = state.digest, state.profile
		if state.told {
			question.Profile = nil
		}
		break
	}
	return question, known
}

// profile returns this run's profile and its digest.
func (h *Heartbeat) profile() (profile *Profile, digest uint64) {
	h.ownOnce.Do(func() {
		h.own = &Profile{VM: h.Self, ID: h.ID}
		h.ownDigest = h.own.digest()
	})
	return h.own, h.ownDigest
}

// catchUp merges what the peer holds and counts the answer for freshness.
func (h *Heartbeat) catchUp(ctx context.Context, address string, answer *AskReply, question AskRequest, sent clock.Millis) (err error) {
	if h.CatchUp == nil {
		return nil
	}
	whole, err := h.CatchUp(ctx, address, answer)
	if err != nil || !whole {
		return err
	}
	h.mu.Lock()
	state := h.peers[answer.Profile.ID.Name]
	if state != nil && state.answer != nil {
		state.caughtUp = true
	}
	h.mu.Unlock()
	h.Freshness.MarkPeerComplete(answer.Profile.ID.Name, sent)
	h.noteRelayed(answer, question, sent)
	if answer.Known {
		h.Freshness.MarkComplete(sent - answer.Age)
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
