package heartbeat

import (
	"encoding/json"
	"hash/fnv"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/lease"
	"baobabladder.example/baobabladder/internal/world/replica"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// Profile describes one incarnation of a VM. It never changes, so it is sent to each
// peer once and then replaced by its digest.
type Profile struct {
	VM vm.VM
	ID vm.ID
}

// digest returns a hash of the profile, never 0.
func (p *Profile) digest() uint64 {
	hash := fnv.New64a()
	_ = json.NewEncoder(hash).Encode(p)
	return hash.Sum64() | 1
}

// AskRequest is a heartbeat.
type AskRequest struct {
	// Caller is the digest of the calling VM's profile.
	Caller uint64
	// Profile is the calling VM's profile, or nil if the peer is known to have it.
	Profile *Profile
	// Known is the digest of the peer's profile that the calling VM has, or 0.
	Known uint64
	// ListDigest is the digest of the platform's list that the calling VM has, or 0.
	ListDigest uint64
	// Wants requests Relayed in the reply.
	Wants bool
}

// AskReply is a VM's reply to a heartbeat: its own state and the platform's list.
type AskReply struct {
	// Profile is nil on the wire if the request's Known is its digest; the calling VM
	// then sets it to the profile that it has.
	Profile *Profile
	// ProfileWanted is set if the VM does not have the calling VM's profile.
	ProfileWanted bool
	// Summary is taken after Age, so that it covers at least the changes that Age
	// covers.
	Summary replica.Summary
	// Known and Age are those of the VM's freshness.
	Known bool
	Age   clock.Millis
	// HasContact is set if the store recently replied to the VM itself.
	HasContact bool
	Ready      bool
	Stopping   bool
	Leases     []lease.Claim
	// Missing holds the names of the VMs of the VM's data centre that it cannot reach,
	// sorted.
	Missing []string
	// Relayed is nil unless the request's Wants is set.
	Relayed *RelayedState
	// ListKnown is set if the VM has the platform's list. The list was known to be
	// current ListAge ago.
	ListKnown bool
	ListAge   clock.Millis
	// ListSame is set if the list's digest is that of the request; List is empty
	// then.
	ListSame bool
	List     []vm.VM
}

// LeaveReply is the empty reply to a Leave.
type LeaveReply struct{}
