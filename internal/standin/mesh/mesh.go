// Package mesh carries the calls between the VMs of one test in place of a network,
// and cuts VMs off.
package mesh

import (
	"context"
	"sync/atomic"

	"baobabladder.example/baobabladder/internal/wire/peer"
)

// Mesh reaches VMs by their names. Its fields are set while no call is under way.
type Mesh struct {
	// Serve holds how each VM serves a call.
	Handlers map[string]func(method string, args, reply any) error
	// Cut names the VMs that reach nobody and are not reached.
	Isolated map[string]bool
	// Parts, if set, says whether two VMs don't reach each other.
	IsPartitioned func(from, to string) bool
	// Calls counts all calls.
	CallCount atomic.Int64
}

// New returns a Mesh without VMs.
func New() *Mesh {
	return &Mesh{Handlers: map[string]func(method string, args, reply any) error{}, Isolated: map[string]bool{}}
}

// Caller is how one VM calls the others.
type Caller struct {
	Mesh *Mesh
	From string
}

// Call calls the VM whose name is the address.
func (c Caller) Call(_ context.Context, address, method string, args, reply any) error {
	c.Mesh.CallCount.Add(1)
	serve := c.Mesh.Handlers[address]
	if serve == nil || c.Mesh.Isolated[address] || c.Mesh.Isolated[c.From] || c.Mesh.IsPartitioned != nil && c.Mesh.IsPartitioned(c.From, address) {
		return peer.ErrUnreachable.New("%s does not reach %s", c.From, address)
	}
	return serve(method, args, reply)
}
