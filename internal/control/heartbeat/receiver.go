package heartbeat

import (
	"context"
	"maps"
	"slices"
	"sync"
)

// Leave informs every peer, at the end of a shutdown, that this incarnation
// accepts no more changes. During an outage of the store the platform's list does not
// change, so without the call the peers could not distinguish this VM from one that
// is cut off from them. They would consider their copies stale and refuse requests
// with keys.
func (h *Heartbeat) Leave(ctx context.Context) {
	reply := h.Reply(AskRequest{})
	reply.List = nil
	var group sync.WaitGroup
	targets := h.Targets()
	for _, name := range slices.Sorted(maps.Keys(targets)) {
		group.Add(1)
		h.spawn(func() {
			defer group.Done()
			ctx, cancel := context.WithTimeout(ctx, leaveTimeout.Duration())
			defer cancel()
			_ = h.Peers.Call(ctx, targets[name], ReceiverName+".Leave", reply, &LeaveReply{})
		})
	}
	group.Wait()
}

// onLeave fetches what this VM's copy lacks of the leaving peer's. From then on, the
// copy can be fresh without replies of that incarnation.
func (h *Heartbeat) onLeave(reply *AskReply) (err error) {
	if h.CatchUp == nil || reply.Profile == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout.Duration())
	defer cancel()
	isComplete, err := h.CatchUp(ctx, reply.Profile.VM.PeerAddress, reply)
	if err != nil || !isComplete {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.peers[reply.Profile.ID.Name]
	if state == nil || reply.Profile.ID.Incarnation < state.incarnation {
		return nil
	}
	state.applyProfile(reply.Profile)
	state.hasLeft = true
	return nil
}

// Reply returns the reply to a peer's heartbeat.
func (h *Heartbeat) Reply(request AskRequest) (reply AskReply) {
	reply.ProfileWanted = h.recordCaller(request)
	if profile, digest := h.profile(); request.Known != digest {
		reply.Profile = profile
	}
	reply.Age, reply.Known = h.Freshness.Age()
	reply.Relayed = h.relayedStateFor(request)
	reply.Summary = h.Replica.Summary()
	reply.Ready, reply.Stopping = h.isReady.Load(), h.isStopping.Load()
	if h.Claims != nil {
		reply.Leases = h.Claims()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	reply.HasContact = h.hasRecentContact()
	reply.Missing = h.unreachableLocalPeers()
	if h.list != nil {
		reply.ListKnown, reply.ListAge = true, h.Clock.Now()-h.listAsOf
		reply.ListSame = h.listDigest == request.ListDigest
		if !reply.ListSame {
			reply.List = h.list
		}
	}
	return reply
}

// Receiver serves peers over net/rpc.
type Receiver struct{ heartbeat *Heartbeat }

// NewReceiver returns the Receiver of a Heartbeat. Register it under ReceiverName.
func NewReceiver(heartbeat *Heartbeat) *Receiver { return &Receiver{heartbeat: heartbeat} }

// Ask replies to a heartbeat.
func (r *Receiver) Ask(request AskRequest, reply *AskReply) error {
	*reply = r.heartbeat.Reply(request)
	return nil
}

// Leave records that a peer's incarnation accepts no more changes.
func (r *Receiver) Leave(reply AskReply, _ *LeaveReply) error { return r.heartbeat.onLeave(&reply) }
