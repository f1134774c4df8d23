package heartbeat

import (
	"context"
	"maps"
	"slices"
	"sync"
)

// Leave tells every peer that this run accepts no more changes, at the end of a
// planned stop. The platform's list does not change during an outage of the
// store: without the word, the others could not tell this VM from one that is
// cut off from them, and would refuse keyed work.
func (h *Heartbeat) Leave(ctx context.Context) {
	answer := h.Reply(AskRequest{})
	answer.List = nil
	var group sync.WaitGroup
	targets := h.Targets()
	for _, name := range slices.Sorted(maps.Keys(targets)) {
		group.Add(1)
		h.spawn(func() {
			defer group.Done()
			ctx, cancel := context.WithTimeout(ctx, leaveTimeout.Duration())
			defer cancel()
			_ = h.Peers.Call(ctx, targets[name], ReceiverName+".Leave", answer, &LeaveReply{})
		})
	}
	group.Wait()
}

// noteLeave takes over what a leaving peer holds; after that nothing need be
// heard from its run any more.
func (h *Heartbeat) noteLeave(answer *AskReply) (err error) {
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

// Reply answers a peer's question.
func (h *Heartbeat) Reply(question AskRequest) (answer AskReply) {
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

// Receiver serves the questions of peers over net/rpc.
type Receiver struct{ heartbeat *Heartbeat }

// NewReceiver returns what to register under ReceiverName.
func NewReceiver(heartbeat *Heartbeat) *Receiver { return &Receiver{heartbeat: heartbeat} }

// Ask answers one question.
func (r *Receiver) Ask(question AskRequest, answer *AskReply) error {
	*answer = r.heartbeat.Reply(question)
	return nil
}

// Leave notes that a peer's run accepts no more changes.
func (r *Receiver) Leave(answer AskReply, _ *LeaveReply) error { return r.heartbeat.noteLeave(&answer) }
