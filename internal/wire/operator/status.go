package operator

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"

	"baobabladder.example/baobabladder/internal/base/account"
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/membership"
)

// ReceiverName is the name under which Receiver is registered for net/rpc.
const ReceiverName = "Operator"

// accountTimeout bounds each of the calls for the command account: the call to one peer
// and the read of the leases from the store.
const accountTimeout = 2 * clock.Second

// status returns the state of the fleet as known to this VM.
func (s *Server) status(*http.Request) (status Status, err error) {
	snapshot, view := s.Replica.Snapshot(), s.Viewer.View()
	status = Status{
		VM: s.Name, Revision: snapshot.Revision, Fresh: s.Freshness.IsFresh(), Documents: []DocumentStatus{},
		Members: []MemberStatus{}, Removed: []string{}, Shares: []ShareStatus{}, Endpoints: []EndpointStatus{}, Moves: snapshot.Moves,
	}
	status.Ready, status.NotReady = s.Propagator.Ready()
	status.Age, _ = s.Freshness.Age()
	if snapshot.Fleet != nil {
		status.Documents = append(status.Documents, DocumentStatus{Name: "fleet", Revision: snapshot.FleetRevision})
	}
	for _, service := range snapshot.Services {
		status.Documents = append(status.Documents, DocumentStatus{Name: service.Name, Revision: service.Revision})
	}
	for _, member := range view.Members {
		status.Members = append(status.Members, newMemberStatus(member))
	}
	for _, removed := range view.Removed {
		status.Removed = append(status.Removed, removed.Name)
	}
	for name, state := range view.Endpoints {
		status.Endpoints = append(status.Endpoints, EndpointStatus{Name: name, State: string(state)})
	}
	slices.SortFunc(status.Endpoints, func(a, b EndpointStatus) int { return cmp.Compare(a.Name, b.Name) })
	if s.Shares != nil {
		status.Shares = s.Shares()
	}
	return status, nil
}

// moves returns the state of every version move.
func (s *Server) moves(*http.Request) (moves Moves, err error) {
	return Moves{Moves: s.Replica.Snapshot().Moves}, nil
}

// account returns the decision logs of all VMs, merged, and the stored decisions.
func (s *Server) account(request *http.Request) (merged Account, err error) {
	merged = Account{Lines: s.Decisions.Decisions(), Missing: []string{}}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, member := range s.Viewer.View().Peers() {
		group.Go(func() {
			lines, err := s.peerDecisions(request.Context(), member)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				merged.Missing = append(merged.Missing, member.Name)
				return
			}
			merged.Lines = append(merged.Lines, lines...)
		})
	}
	group.Wait()
	if merged.Stored, err = s.storedDecisions(request.Context()); err != nil {
		merged.Missing = append(merged.Missing, storeName)
	}
	slices.Sort(merged.Missing)
	slices.SortStableFunc(merged.Lines, func(a, b account.Decision) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.VM, b.VM), cmp.Compare(a.What, b.What), cmp.Compare(a.Subject, b.Subject))
	})
	return merged, nil
}

func (s *Server) peerDecisions(ctx context.Context, member membership.Member) (lines []account.Decision, err error) {
	ctx, cancel := context.WithTimeout(ctx, accountTimeout.Duration())
	defer cancel()
	var reply AccountReply
	err = s.Peers.Call(ctx, member.PeerAddress, ReceiverName+".Account", AccountRequest{}, &reply)
	return reply.Lines, err
}

// AccountRequest requests the decision log of a peer.
type AccountRequest struct{}

// AccountReply holds the decision log of a VM.
type AccountReply struct{ Lines []account.Decision }

// Receiver serves the decision log of a VM to its peers over net/rpc.
type Receiver struct{ decisions *account.DecisionLog }

// NewReceiver returns the Receiver of a decision log. Register it under ReceiverName.
func NewReceiver(decisions *account.DecisionLog) *Receiver { return &Receiver{decisions: decisions} }

// Account replies with the decision log of the VM.
func (r *Receiver) Account(_ AccountRequest, reply *AccountReply) error {
	reply.Lines = r.decisions.Decisions()
	return nil
}
