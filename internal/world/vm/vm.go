// Package vm defines the VMs in the platform's list and the identity by which
// entry VMs name themselves to each other.
package vm

// State is the state of a VM in the platform's list.
type State string

// States of a listed VM. A VM that no longer exists is not listed.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Role is the purpose of a listed VM.
type Role string

// Roles of listed VMs. Entry VMs receive callers' requests and steer them to
// endpoints.
const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
)

// VM is one entry of the platform's list.
type VM struct {
	// Name is unique in the list and stays the same when the VM's process
	// restarts.
	Name       string `json:"name"`
	Role       Role   `json:"role"`
	State      State  `json:"state"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// CallerAddress is the host:port for callers. Only entry VMs have one.
	CallerAddress string `json:"caller_address,omitempty"`
	// PeerAddress is the host:port for other entry VMs. Only entry VMs have one.
	PeerAddress string `json:"peer_address,omitempty"`
	// ForwardAddress is the host:port for requests that other entry VMs forward; empty if
	// the VM takes none.
	ForwardAddress string `json:"forward_address,omitempty"`
}

// Incarnation identifies one run of a VM's process. It is the wall time of the
// start in Unix milliseconds, so a later run of the same VM has a greater
// Incarnation. Zero stands for no incarnation.
type Incarnation int64

// ID identifies one run of a VM's process.
type ID struct {
	Name        string      `json:"name"`
	Incarnation Incarnation `json:"incarnation"`
}
