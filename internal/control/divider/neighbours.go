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

// askTimeout bounds one question to a peer while a request waits.
const askTimeout = 250 * clock.Millis(1)

// PeerClient reaches the other VMs for requests that wait. It implements
// limit.Peers and limit.Lenders.
type PeerClient struct {
	Caller Caller
	// View returns the membership as this VM sees it, never nil.
	View func() *membership.View
}

// Near implements limit.Peers.
func (n *PeerClient) Near() []string {
	return names(n.near())
}

// NearLink implements limit.Peers.
func (n *PeerClient) NearLink(link contract.Resource) []string {
	view := n.View()
	self := view.Member(view.Self)
	if self == nil {
		return nil
	}
	return names(slices.DeleteFunc(n.near(), func(m membership.Member) bool { return !isAtLink(link, self.Region, m.Region) }))
}

// isAtLink reports whether a region is at an end of a link that has one end in own.
func isAtLink(link contract.Resource, own, region string) bool {
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
func (n *PeerClient) Lenders() []vm.ID {
	near := n.near()
	ids := make([]vm.ID, len(near))
	for i := range near {
		ids[i] = near[i].ID()
	}
	return ids
}

// near returns the reachable peers by round trip.
func (n *PeerClient) near() []membership.Member {
	peers := n.View().Peers()
	peers = slices.DeleteFunc(peers, func(m membership.Member) bool { return !m.Reachable })
	slices.SortStableFunc(peers, func(a, b membership.Member) int { return cmp.Compare(a.RoundTrip, b.RoundTrip) })
	return peers
}

// Take implements limit.Peers.
func (n *PeerClient) Take(ctx context.Context, peer string, request limit.TakeRequest) (reply limit.TakeReply, err error) {
	err = n.ask(ctx, peer, "Take", &request, &reply)
	return reply, err
}

// Lend implements limit.Lenders.
func (n *PeerClient) Lend(ctx context.Context, lender string, request *contract.LoanRequest) (reply contract.LoanReply, err error) {
	err = n.ask(ctx, lender, "Lend", request, &reply)
	return reply, err
}

func (n *PeerClient) ask(ctx context.Context, name, method string, args, reply any) error {
	member := n.View().Member(name)
	if member == nil {
		return ErrNotListed.New("%s is not listed", name)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	return n.Caller.Call(ctx, member.PeerAddress, ReceiverName+"."+method, args, reply)
}
