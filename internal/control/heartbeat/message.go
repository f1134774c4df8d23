package heartbeat

import (
	"encoding/json"
	"hash/fnv"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/lease"
	"baobabladder.example/baobabladder/internal/world/replica"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// Profile describes one run of a VM. It does not change while the run lasts, so a
// peer is sent it once and named its digest from then on.
type Profile struct {
	VM vm.VM
	ID vm.ID
}

// digest returns a hash of the profile that is not 0.
func (p *Profile) digest() uint64 {
	hash := fnv.New64a()
	_ = json.NewEncoder(hash).Encode(p)
	return hash.Sum64() | 1
}

// AskRequest is what a VM sends with each heartbeat.
type AskRequest struct {
	// Caller is the digest of the asking VM's profile.
	Caller uint64
	// Profile is nil if the peer is known to have the asking VM's.
	Profile *Profile
	// Known is the digest of the peer's profile that the asking VM has, or 0.
	Known uint64
	// ListDigest is that of the platform's list as the asking VM knows it; 0 if it
	// knows none.
	ListDigest uint64
	// Wants asks for Relayed in the answer.
	Wants bool
}

// AskReply is what a VM says of itself.
type AskReply struct {
	// Profile is nil on the wire if the question's Known is its digest; the asking
	// VM then fills in the one that it has.
	Profile *Profile
	// ProfileWanted says that the VM does not have the caller's profile.
	ProfileWanted bool
	// Summary was taken after Age, so that it covers at least what Age speaks of.
	Summary replica.Summary
	// Known and Age are those of the VM's freshness.
	Known bool
	Age   clock.Millis
	// HasContact says that the VM had an answer from the store lately, itself.
	HasContact bool
	Ready      bool
	Stopping   bool
	Leases     []lease.Claim
	// Missing holds the VMs of the VM's data centre that it can't reach, sorted.
	Missing []string
	// Relayed is nil unless the question wants it.
	Relayed *RelayedState
	// ListKnown says that the VM knows a list, ListAge old.
	ListKnown bool
	ListAge   clock.Millis
	// ListSame says that its digest is that in the question; List is empty then.
	ListSame bool
	List     []vm.VM
}

// LeaveReply is the reply to a peer that leaves.
type LeaveReply struct{}
