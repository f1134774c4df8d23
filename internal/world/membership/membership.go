// Package membership describes which VMs there are, as one entry VM sees them:
// the platform's lagging list joined with what its own heartbeats found.
package membership

import (
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// Member is one entry VM.
type Member struct {
	vm.VM
	// Incarnation is the newest run of the VM that was heard of; 0 if none was.
	Incarnation vm.Incarnation
	// Reachable says that a heartbeat to the VM was answered within the last few
	// intervals. It is always true of the VM itself.
	Reachable bool
	// Stopping says that the VM has begun a planned stop: it is not named to new
	// callers, but still serves those that come.
	Stopping bool
	// StoreAge is how old the VM's knowledge is, as it said itself, plus the age of
	// that word; see package freshness.
	StoreAge clock.Millis
	// HasContact says that the VM itself had an answer from the store lately.
	HasContact bool
	// Ready says that the VM knows enough to serve callers.
	Ready bool
	// Revision is the store's revision that the VM's copy is complete up to.
	Revision int64
	// Leases holds the duties that the VM holds, sorted.
	Leases []string
	// RoundTrip is the smoothed heartbeat round trip, in microseconds.
	RoundTrip int64
}

// ID returns the member's identity.
func (m *Member) ID() vm.ID { return vm.ID{Name: m.Name, Incarnation: m.Incarnation} }

// View is an immutable picture of the membership.
type View struct {
	// Self is the name of the VM whose view this is.
	Self string
	// Members holds the listed entry VMs, Self included, sorted by name.
	Members []Member
	// Endpoints holds the platform's word on endpoint VMs, by endpoint name. An
	// endpoint that the platform does not list has no entry.
	Endpoints map[string]vm.State
	// Gone holds VMs that were listed once and are not any more, with their last
	// known incarnation, sorted by name.
	Removed []vm.ID
}

// Member returns the member with the given name, or nil.
func (v *View) Member(name string) *Member {
	for i := range v.Members {
		if v.Members[i].Name == name {
			return &v.Members[i]
		}
	}
	return nil
}

// Peers returns the members other than Self.
func (v *View) Peers() []Member {
	peers := make([]Member, 0, len(v.Members))
	for _, member := range v.Members {
		if member.Name != v.Self {
			peers = append(peers, member)
		}
	}
	return peers
}
