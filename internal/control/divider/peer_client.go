package divider

import (
	"cmp"
	"context"
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/limit"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/membership"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// peerTimeout bounds a call to a peer while a request waits for it.
const peerTimeout = 250 * clock.Millis(1)

// PeerClient calls other VMs for requests that wait for capacity. It implements
// limit.Peers and limit.Lenders.
type PeerClient struct {
	Peers PeerCaller
	// View returns the membership as this VM sees it, never nil.
	View func() *membership.View
}

// NearestPeers implements limit.Peers.
func (p *PeerClient) NearestPeers() []string {
	return names(p.reachablePeers())
}

// NearestPeersAtLink implements limit.Peers.
func (p *PeerClient) NearestPeersAtLink(link contract.Resource) []string {
	view := p.View()
	self := view.Member(view.Self)
	if self == nil {
		return nil
	}
	return names(slices.DeleteFunc(p.reachablePeers(), func(m membership.Member) bool { return !isAtLinkEnd(link, self.Region, m.Region) }))
}

// isAtLinkEnd reports whether region is at one of the ends of link, which has one end
// in the region own.
func isAtLinkEnd(link contract.Resource, own, region string) bool {
	return region == own || link == contract.LinkResource(own, region) || link == contract.LinkResource(region, own)
}

func names(members []membership.Member) []string {
	names := make([]string, len(members))
	for i := range members {
		names[i] = members[i].Name
	}
	return names
}

// Lenders implements limit.Lenders.
func (p *PeerClient) Lenders() []vm.ID {
	peers := p.reachablePeers()
	ids := make([]vm.ID, len(peers))
	for i := range peers {
		ids[i] = peers[i].ID()
	}
	return ids
}

// reachablePeers returns the reachable peers, shortest round trip first.
func (p *PeerClient) reachablePeers() []membership.Member {
	peers := p.View().ReachablePeers()
	slices.SortStableFunc(peers, func(a, b membership.Member) int { return cmp.Compare(a.RoundTrip, b.RoundTrip) })
	return peers
}

// Take implements limit.Peers.
func (p *PeerClient) Take(ctx context.Context, peer string, request limit.TakeRequest) (reply limit.TakeReply, err error) {
	err = p.call(ctx, peer, "Take", &request, &reply)
	return reply, err
}

// Lend implements limit.Lenders.
func (p *PeerClient) Lend(ctx context.Context, lender string, request *contract.LoanRequest) (reply contract.LoanReply, err error) {
	err = p.call(ctx, lender, "Lend", request, &reply)
	return reply, err
}

func (p *PeerClient) call(ctx context.Context, name, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout.Duration())
	defer cancel()
	return callMember(ctx, p.Peers, p.View(), name, method, args, reply)
}

// callMember calls a method of the Receiver on the named member of view. It fails with
// ErrNotListed if there is no such member.
func callMember(ctx context.Context, peers PeerCaller, view *membership.View, name, method string, args, reply any) error {
	member := view.Member(name)
	if member == nil {
		return ErrNotListed.New("VM %s is not in the membership view", name)
	}
	return peers.Call(ctx, member.PeerAddress, ReceiverName+"."+method, args, reply)
}
