package follower

import (
	"baobabladder.example/baobabladder/internal/world/replica"
)

// ReceiverName is the name under which Receiver is registered for net/rpc.
const ReceiverName = "Follower"

// FetchRequest requests the changes after a revision.
type FetchRequest struct{ After int64 }

// Receiver serves peers over net/rpc.
type Receiver struct{ follower *Follower }

// NewReceiver returns the Receiver of a Follower. Register it under ReceiverName.
func NewReceiver(follower *Follower) *Receiver { return &Receiver{follower: follower} }

// Fetch replies with the changes after a revision.
func (r *Receiver) Fetch(request FetchRequest, page *replica.Page) error {
	*page = r.follower.Replica.Page(request.After)
	return nil
}

// Push merges changes. A reply without an error confirms that they are in force.
func (r *Receiver) Push(request PushRequest, reply *PushReply) error {
	if _, err := r.follower.Replica.MergePage(request.Page, request.After); err != nil {
		return err
	}
	reply.Summary = r.follower.Replica.Summary()
	return nil
}
