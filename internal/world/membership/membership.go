// Package membership describes the VMs of the system as one entry VM sees them.
// A View combines the platform's list, which lags behind, with the results of
// the VM's own heartbeats.
package membership

import (
	"slices"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// Member is the state of one entry VM.
type Member struct {
	vm.VM
	// Incarnation identifies the newest known run of the VM's process. It is 0 if
	// no run is known.
	Incarnation vm.Incarnation
	// Reachable reports whether the VM replied to a heartbeat within the last few
	// intervals. It is always true for the VM itself.
	Reachable bool
	// Stopping reports whether the VM has begun to shut down. New callers are no
	// longer directed to it, but it still serves requests that arrive.
	Stopping bool
	// StoreAge is the age of the VM's copy of the configuration, as the VM reported
	// it, plus the age of that report; see package freshness.
	StoreAge clock.Millis
	// HasContact reports whether the VM itself recently received a reply from the
	// store.
	HasContact bool
	// Ready reports whether the VM has enough of the configuration to serve callers.
	Ready bool
	// Revision is the store revision up to which the VM's copy is complete.
	Revision int64
	// Leases holds the names of the leases that the VM holds, sorted.
	Leases []string
	// RoundTrip is the smoothed heartbeat round-trip time, in microseconds.
	RoundTrip int64
}

// ID returns the VM's name and incarnation.
func (m *Member) ID() vm.ID { return vm.ID{Name: m.Name, Incarnation: m.Incarnation} }

// View is an immutable snapshot of the membership.
type View struct {
	// Self is the name of the VM that holds this view.
	Self string
	// Members holds the entry VMs in the platform's list, including Self, sorted
	// by name.
	Members []Member
	// Endpoints holds the state of endpoint VMs in the platform's list, by
	// endpoint name. Unlisted endpoints have no entry.
	Endpoints map[string]vm.State
	// Removed holds the VMs that are no longer in the platform's list, with their
	// last known incarnation, sorted by name.
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

// Peers returns all members except Self.
func (v *View) Peers() []Member {
	peers := make([]Member, 0, len(v.Members))
	for _, member := range v.Members {
		if member.Name != v.Self {
			peers = append(peers, member)
		}
	}
	return peers
}

// ReachablePeers returns the reachable members except Self.
func (v *View) ReachablePeers() []Member {
	return slices.DeleteFunc(v.Peers(), func(m Member) bool { return !m.Reachable })
}
