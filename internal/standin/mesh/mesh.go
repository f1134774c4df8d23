// Package mesh replaces the network between the VMs of a test: it delivers RPCs by direct
// function calls and simulates isolated VMs and partitions.
package mesh

import (
	"context"
	"sync/atomic"

	"baobabladder.example/baobabladder/internal/wire/peer"
)

// Mesh connects VMs by name. Its exported fields must not change while a call is in
// flight; CallCount is safe for concurrent use.
type Mesh struct {
	// Handlers holds the RPC handler of each VM by the VM's name.
	Handlers map[string]func(method string, args, reply any) error
	// Isolated names the VMs that can neither call others nor be called.
	Isolated map[string]bool
	// IsPartitioned, if set, reports whether calls from one VM to another fail.
	IsPartitioned func(from, to string) bool
	// CallCount counts all calls, failed ones included.
	CallCount atomic.Int64
}

// New returns a Mesh without any VMs.
func New() *Mesh {
	return &Mesh{Handlers: map[string]func(method string, args, reply any) error{}, Isolated: map[string]bool{}}
}

// Client is the RPC client of the VM From.
type Client struct {
	Mesh *Mesh
	From string
}

// Call calls the handler of the VM whose name is address. It returns peer.ErrUnreachable
// if that VM is unknown, if either VM is isolated, or if calls to it fail by
// Mesh.IsPartitioned.
func (c Client) Call(_ context.Context, address, method string, args, reply any) error {
	c.Mesh.CallCount.Add(1)
	handler := c.Mesh.Handlers[address]
	if handler == nil || c.Mesh.Isolated[address] || c.Mesh.Isolated[c.From] || c.Mesh.IsPartitioned != nil && c.Mesh.IsPartitioned(c.From, address) {
		return peer.ErrUnreachable.New("%s does not reach %s", c.From, address)
	}
	return handler(method, args, reply)
}
