package heartbeat

import (
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/control/lease"
	"baobabladder.example/baobabladder/internal/world/replica"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// Question is what a VM sends with each heartbeat.
type Question struct {
	From vm.VM
	ID   vm.ID
	// ListDigest is that of the platform's list as the asking VM knows it; 0 if it
	// knows none.
	ListDigest uint64
}

// Answer is what a VM says of itself.
type Answer struct {
	VM vm.VM
	ID vm.ID
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
	// Reachable holds the names of the VMs that the VM reaches, sorted.
	Reachable []string
	// ListKnown says that the VM knows a list, ListAge old.
	ListKnown bool
	ListAge   clock.Millis
	// ListSame says that its digest is that in the question; List is empty then.
	ListSame bool
	List     []vm.VM
}

// Left is the reply to a peer that leaves.
type Left struct{}
