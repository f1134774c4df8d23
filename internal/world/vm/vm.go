// Package vm describes the system's entry VMs as the platform lists them and as
// they name themselves to each other.
package vm

// State is what the platform says of a VM.
type State string

// The states that the platform's list knows. A VM that is gone is not listed.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Role tells what a listed VM is for.
type Role string

// The roles of VMs in the platform's list.
const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
)

// VM is one entry of the platform's list.
type VM struct {
	// Name is unique in the list and outlives restarts of the VM's process.
	Name       string `json:"name"`
	Role       Role   `json:"role"`
	State      State  `json:"state"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// CallerAddress is host:port for callers (entry VMs only).
	CallerAddress string `json:"caller_address,omitempty"`
	// PeerAddress is host:port for other entry VMs (entry VMs only).
	PeerAddress string `json:"peer_address,omitempty"`
}

// Incarnation identifies one run of a VM's process. A later run of the same VM
// has a greater Incarnation: it counts milliseconds of wall time at the start.
// Zero is no incarnation.
type Incarnation int64

// ID names one run of one VM's process.
type ID struct {
	Name        string      `json:"name"`
	Incarnation Incarnation `json:"incarnation"`
}
