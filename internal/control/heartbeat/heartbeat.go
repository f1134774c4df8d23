// Package heartbeat asks every other entry VM, again and again, how it is. The
// answers and the platform's list, which they relay, make up the VM's view of
// the membership.
package heartbeat

import (
	"context"
	"encoding/json"
	"hash/fnv"
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
type CatchUp func(ctx context.Context, address string, answer *Answer) (whole bool, err error)

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
	MaxAsked int
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

// peerState is what is known of one other entry VM.
type peerState struct {
	// vm is what the platform's list says, with the addresses of the newest run.
	vm     vm.VM
	listed bool
	// calledAt is when the VM last called.
	calledAt clock.Millis
	called   bool
	// incarnation is the newest one heard of.
	incarnation vm.Incarnation
	// profile is what the newest run said of itself, or nil, and digest its digest.
	profile *Profile
	digest  uint64
	// told says that the newest run has this VM's profile.
	told bool
	// answer is the newest answer, or nil; sentAt is when its question was sent
	// and heardAt when it came.
	answer  *Answer
	sentAt  clock.Millis
	heardAt clock.Millis
	// caughtUp says that this VM's copy once held all that the peer held.
	caughtUp bool
	// left says that this run accepts no more changes, and that this VM's copy
	// holds all that it ever held.
	left bool
	// asked says that the peer was chosen to be asked, and askedAt when it last was.
	asked   bool
	askedAt clock.Millis
	// unanswered says that a question sent after the newest answer's has no answer;
	// unansweredAt is when the first such was sent.
	unanswered   bool
	unansweredAt clock.Millis
	// missedAt is as of when a VM of the peer's data centre missed the peer, or 0.
	missedAt clock.Millis
	// failures counts questions without an answer since the last answer.
	failures int
	// roundTrip is smoothed, in microseconds.
	roundTrip int64
}

// View returns the current view; it is never nil.
func (h *Heartbeat) View() *membership.View {
	if view := h.view.Load(); view != nil {
		return view
	}
	return &membership.View{Self: h.ID.Name, Members: []membership.Member{{VM: h.Self, Incarnation: h.ID.Incarnation, Reachable: true}}}
}

// Stop makes the answers say that this VM is stopping.
func (h *Heartbeat) Stop() {
	h.stopping.Store(true)
	h.Refresh()
}

// SetReady makes the answers say that this VM can serve.
func (h *Heartbeat) SetReady() { h.ready.Store(true) }

// SetContact notes an answer of the store to a question sent at a time.
func (h *Heartbeat) SetContact(sent clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.contactAt, h.hasContact = max(h.contactAt, sent), true
}

// LoseContact notes that the store gave no answer.
func (h *Heartbeat) LoseContact() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hasContact = false
}

// SetList takes over the platform's list as of a time, unless a newer one is
// known.
func (h *Heartbeat) SetList(list []vm.VM, asOf clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.list != nil && asOf <= h.listAsOf {
		return
	}
	h.listAsOf = asOf
	digest := listDigest(list)
	if digest == h.listDigest {
		return
	}
	h.list, h.listDigest = append([]vm.VM{}, list...), digest
	h.centres = centresOf(list)
	h.noteListed()
	listed := map[string]bool{}
	for _, v := range list {
		if v.Role == vm.Entry && v.Name != h.ID.Name {
			listed[v.Name] = true
			h.addListed(v)
		}
	}
	for name, state := range h.peers {
		if state.listed && !listed[name] {
			h.gone[name] = vm.ID{Name: name, Incarnation: state.incarnation}
			delete(h.peers, name)
		}
	}
}

// CaughtUp reports whether this VM's copy has held all that every listed peer
// held, but for those that gave no answer to several questions. heard counts the
// peers that answered and were ready to serve.
func (h *Heartbeat) CaughtUp() (caughtUp bool, heard int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.list == nil {
		return false, 0
	}
	for _, state := range h.peers {
		switch {
		case state.left:
		case state.caughtUp && state.answer.Ready:
			heard++
		case !state.caughtUp && state.failures < enoughFailures:
			return false, heard
		}
	}
	return true, heard
}

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
			ask(h.Due(), round)
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
	var answer Answer
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
func (h *Heartbeat) question(address string) (question Question, known *Profile) {
	profile, digest := h.profile()
	h.mu.Lock()
	defer h.mu.Unlock()
	question = Question{Caller: digest, Profile: profile, ListDigest: h.listDigest, Wants: h.wantsRelayed()}
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
func (h *Heartbeat) catchUp(ctx context.Context, address string, answer *Answer, question Question, sent clock.Millis) (err error) {
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
	h.Freshness.Hear(answer.Profile.ID.Name, sent)
	h.noteRelayed(answer, question, sent)
	if answer.Known {
		h.Freshness.Learn(sent - answer.Age)
	}
	return nil
}

// Leave tells every peer that this run accepts no more changes, at the end of a
// planned stop. The platform's list does not change during an outage of the
// store: without the word, the others could not tell this VM from one that is
// cut off from them, and would refuse keyed work.
func (h *Heartbeat) Leave(ctx context.Context) {
	answer := h.Answer(Question{})
	answer.List = nil
	var group sync.WaitGroup
	targets := h.Targets()
	for _, name := range slices.Sorted(maps.Keys(targets)) {
		group.Add(1)
		h.spawn(func() {
			defer group.Done()
			ctx, cancel := context.WithTimeout(ctx, leaveTimeout.Duration())
			defer cancel()
			_ = h.Peers.Call(ctx, targets[name], ReceiverName+".Leave", answer, &Left{})
		})
	}
	group.Wait()
}

// noteLeave takes over what a leaving peer holds; after that nothing need be
// heard from its run any more.
func (h *Heartbeat) noteLeave(answer *Answer) (err error) {
	if h.CatchUp == nil || answer.Profile == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout.Duration())
	defer cancel()
	whole, err := h.CatchUp(ctx, answer.Profile.VM.PeerAddress, answer)
	if err != nil || !whole {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.peers[answer.Profile.ID.Name]
	if state == nil || answer.Profile.ID.Incarnation < state.incarnation {
		return nil
	}
	state.learnRun(answer.Profile)
	state.left = true
	return nil
}

// Answer answers a peer's question.
func (h *Heartbeat) Answer(question Question) (answer Answer) {
	answer.ProfileWanted = h.noteCaller(question)
	if profile, digest := h.profile(); question.Known != digest {
		answer.Profile = profile
	}
	answer.Age, answer.Known = h.Freshness.Age()
	answer.Relayed = h.answerRelayed(question)
	answer.Summary = h.Replica.Summary()
	answer.Ready, answer.Stopping = h.ready.Load(), h.stopping.Load()
	if h.Claims != nil {
		answer.Leases = h.Claims()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	answer.HasContact = h.contact()
	answer.Missing = h.missing()
	if h.list != nil {
		answer.ListKnown, answer.ListAge = true, h.Clock.Now()-h.listAsOf
		answer.ListSame = h.listDigest == question.ListDigest
		if !answer.ListSame {
			answer.List = h.list
		}
	}
	return answer
}

// Refresh rebuilds the view.
func (h *Heartbeat) Refresh() {
	age, known := h.Freshness.Age()
	self := membership.Member{
		VM: h.Self, Incarnation: h.ID.Incarnation, Reachable: true, Stopping: h.stopping.Load(),
		Ready: h.ready.Load(), Revision: h.Replica.Summary().Revision,
	}
	if known {
		self.StoreAge = age
	}
	if h.Claims != nil {
		self.Leases = duties(h.Claims())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	self.HasContact = h.contact()
	view := &membership.View{Self: h.ID.Name, Members: []membership.Member{self}, Endpoints: map[string]vm.State{}}
	peers := []string{}
	for _, name := range slices.Sorted(maps.Keys(h.peers)) {
		state := h.peers[name]
		if !state.listed && !h.calledLately(state) {
			delete(h.peers, name)
			continue
		}
		if !state.left {
			peers = append(peers, name)
		}
		view.Members = append(view.Members, h.member(state))
	}
	slices.SortFunc(view.Members, func(a, b membership.Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	for _, v := range h.list {
		if v.Role == vm.Endpoint {
			view.Endpoints[v.Name] = v.State
		}
	}
	for _, name := range slices.Sorted(maps.Keys(h.gone)) {
		view.Gone = append(view.Gone, h.gone[name])
	}
	// A VM that the platform does not list, or not any more, can't conclude from
	// hearing the listed ones that it misses nothing.
	if !h.listed {
		peers = nil
	}
	h.Freshness.SetPeers(peers)
	h.view.Store(view)
}

// member describes a peer. Callers hold mu.
func (h *Heartbeat) member(state *peerState) membership.Member {
	member := membership.Member{
		VM: state.vm, Incarnation: state.incarnation,
		Reachable: h.isReachable(state), RoundTrip: state.roundTrip,
	}
	if answer := state.answer; answer != nil {
		age := h.Clock.Now() - state.sentAt
		member.Stopping, member.Ready = answer.Stopping, answer.Ready
		member.StoreAge, member.Revision = answer.Age+age, answer.Summary.Revision
		member.HasContact = answer.HasContact && age < reachableTime
		member.Leases = duties(answer.Leases)
	}
	return member
}

// noteCaller makes a VM that calls before the platform lists it a peer, so that
// it is reached and asked at once. It reports whether the caller's profile is
// wanted.
func (h *Heartbeat) noteCaller(question Question) (wanted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if question.Profile == nil {
		return !h.noteKnownCaller(question.Caller)
	}
	id := question.Profile.ID
	if id.Name == "" || id.Name == h.ID.Name {
		return false
	}
	if gone, found := h.gone[id.Name]; found && id.Incarnation <= gone.Incarnation {
		return true
	}
	state := h.state(id.Name)
	state.calledAt, state.called = h.Clock.Now(), true
	state.learnRun(question.Profile)
	return state.digest != question.Caller
}

// noteKnownCaller notes a call of a run whose profile is known, and reports
// whether it is. Callers hold mu.
func (h *Heartbeat) noteKnownCaller(caller uint64) (known bool) {
	for _, state := range h.peers {
		if state.profile != nil && state.digest == caller {
			state.calledAt, state.called = h.Clock.Now(), true
			return true
		}
	}
	return false
}

// take notes an answer.
func (h *Heartbeat) take(answer *Answer, sent clock.Millis, roundTrip int64) {
	id := answer.Profile.ID
	name := id.Name
	if name == "" || name == h.ID.Name {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if gone, found := h.gone[name]; found && id.Incarnation <= gone.Incarnation {
		return
	}
	state := h.state(name)
	if id.Incarnation < state.incarnation || (state.answer != nil && sent < state.sentAt) {
		return
	}
	if !state.listed {
		state.calledAt, state.called = h.Clock.Now(), true
	}
	state.learnRun(answer.Profile)
	h.noteTold(answer.Profile.VM.PeerAddress, !answer.ProfileWanted)
	state.answer, state.sentAt, state.heardAt, state.failures = answer, sent, h.Clock.Now(), 0
	state.unanswered = false
	h.noteClaims(name, answer.Leases, sent)
	h.noteMissing(state.vm.DataCentre, answer.Missing, sent)
	if state.roundTrip == 0 {
		state.roundTrip = roundTrip
	}
	state.roundTrip += (roundTrip - state.roundTrip) / 8
}

func (h *Heartbeat) fail(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, state := range h.peers {
		if state.vm.PeerAddress == address {
			state.failures++
			state.told = false
		}
	}
}

// noteTold notes whether who answers at an address has this VM's profile. Two
// names may stand for one address for a while. Callers hold mu.
func (h *Heartbeat) noteTold(address string, told bool) {
	for _, state := range h.peers {
		if state.vm.PeerAddress == address {
			state.told = told
		}
	}
}

// learnRun takes over the addresses that the newest run of a VM tells of itself,
// which the platform's list may not know yet.
func (s *peerState) learnRun(profile *Profile) {
	if profile == s.profile || profile.ID.Incarnation < s.incarnation {
		return
	}
	if profile.ID.Incarnation > s.incarnation {
		s.caughtUp, s.left, s.told = false, false, false
	}
	s.incarnation = profile.ID.Incarnation
	s.profile, s.digest = profile, profile.digest()
	state := s.vm.State
	s.vm = profile.VM
	if s.listed {
		s.vm.State = state
	}
}

// state returns the peer's state, made if need be. Callers hold mu.
func (h *Heartbeat) state(name string) *peerState {
	if h.peers == nil {
		h.peers = map[string]*peerState{}
	}
	if h.gone == nil {
		h.gone = map[string]vm.ID{}
	}
	if h.peers[name] == nil {
		h.peers[name] = &peerState{}
	}
	return h.peers[name]
}

// addListed takes over an entry of the platform's list. Callers hold mu.
func (h *Heartbeat) addListed(v vm.VM) {
	state := h.state(v.Name)
	if state.incarnation == 0 {
		state.vm = v
	}
	state.vm.State = v.State
	state.listed = true
	delete(h.gone, v.Name)
}

// confirmList notes that the list with the given digest was right at a time.
func (h *Heartbeat) confirmList(digest uint64, asOf clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if digest == h.listDigest {
		h.listAsOf = max(h.listAsOf, asOf)
	}
}

// noteListed notes whether the platform's list has this VM. Callers hold mu.
func (h *Heartbeat) noteListed() {
	listed := slices.ContainsFunc(h.list, func(v vm.VM) bool { return v.Role == vm.Entry && v.Name == h.ID.Name })
	if listed && !h.listed {
		h.listedAt = h.Clock.Now()
	}
	h.listed = listed
}

// contact says whether the store answered this VM lately. Callers hold mu.
func (h *Heartbeat) contact() bool {
	return h.hasContact && h.Clock.Now()-h.contactAt < contactTime
}

func (h *Heartbeat) calledLately(state *peerState) bool {
	return state.called && h.Clock.Now()-state.calledAt < unlistedTime
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

func duties(claims []lease.Claim) (names []string) {
	for _, claim := range claims {
		names = append(names, claim.Duty)
	}
	slices.Sort(names)
	return names
}

// listDigest returns a hash of the list that is not 0.
func listDigest(list []vm.VM) uint64 {
	hash := fnv.New64a()
	_ = json.NewEncoder(hash).Encode(list)
	return hash.Sum64() | 1
}

// Receiver serves the questions of peers over net/rpc.
type Receiver struct{ heartbeat *Heartbeat }

// NewReceiver returns what to register under ReceiverName.
func NewReceiver(heartbeat *Heartbeat) *Receiver { return &Receiver{heartbeat: heartbeat} }

// Ask answers one question.
func (r *Receiver) Ask(question Question, answer *Answer) error {
	*answer = r.heartbeat.Answer(question)
	return nil
}

// Leave notes that a peer's run accepts no more changes.
func (r *Receiver) Leave(answer Answer, _ *Left) error { return r.heartbeat.noteLeave(&answer) }
