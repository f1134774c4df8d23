package roster

import (
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/policy/balance"
	"baobabladder.example/baobabladder/internal/policy/blocklist"
	"baobabladder.example/baobabladder/internal/policy/canary"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// State is the message of an exchange: a VM's own state and, from a relay, the state
// of others.
type State struct {
	ID vm.ID
	VM vm.VM
	// Ready is set if the VM has enough of the configuration to serve, Stopping once
	// it has begun to shut down, and Contact while the store answers it, as far as it
	// knows.
	Ready, Stopping, Contact bool
	// CutOff is set while the VM reaches no endpoint.
	CutOff bool
	// Demand is the rate of requests received by workspace, in requests per second.
	Demand map[string]float64
	// Running is the number of the VM's requests in flight on each endpoint.
	Running map[string]int
	// Away lists, by object, where the VM sent objects that were not sent to their
	// home endpoint; see balance.Relocation.
	Away map[string]balance.Relocation
	// Limits lists, by endpoint, the limits that were read lately by any VM.
	Limits map[string]balance.LimitReading
	// LimitDemand is the rate of requests that the VM would send to each endpoint that
	// has named a limit, in requests per second.
	LimitDemand map[string]float64
	// Blocked lists the requests that end endpoints, as far as the VM knows.
	Blocked []blocklist.Entry
	// Trials is the VM's own evidence on new versions, by service.
	Trials map[string]canary.Evidence
	// Revisions is the revision of the newest change that the VM knows of each kind of
	// object.
	Revisions map[string]int64
	// CopyAge is the time since the VM's copies of all kinds were last known to be
	// complete; 0 if they never were, or if the VM does not say.
	CopyAge clock.Millis
	// Usage is what the VM states of the requests that endpoints ran for it, encoded; nil
	// if usage is not reported. See usage.Message.
	Usage []byte
	// Versions lists the reports that the VM has, by author, so that a relay does not
	// send them again. WantsRunning asks a relay for RegionRunning.
	Versions     map[string]ReportVersion
	WantsRunning bool

	// Words holds the reports that a relay sends: its own and those that it passes
	// on.
	Words []RegionReport
	// RegionRunning is the number of requests in flight of the region's VMs on each
	// endpoint, if it was requested: a packed map[string]int; see pack.
	RegionRunning []byte
	// Regions is the evidence on new versions by region. For the peer's own region it
	// excludes the peer's part.
	Regions map[string]map[string]canary.Evidence
}

// IsServing reports whether the VM takes requests and can run them.
func (m *Member) IsServing() bool { return m.Reachable && m.Ready && !m.Stopping && !m.CutOff }

// Member is a VM as seen by this VM.
type Member struct {
	State
	// Reachable is set if the last exchange with the VM, here or at a relay, is
	// recent. Known is set if any was less than forgetAfter ago. Both are always set
	// for this VM itself.
	Reachable, Known bool
}
