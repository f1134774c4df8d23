package node

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/settings"
	"baobabladder.example/baobabladder/internal/control/admission"
	"baobabladder.example/baobabladder/internal/control/roster"
	"baobabladder.example/baobabladder/internal/control/tracker"
	"baobabladder.example/baobabladder/internal/entry/gateway"
	"baobabladder.example/baobabladder/internal/standin/fuzz"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
	"baobabladder.example/baobabladder/internal/world/directory"
	"baobabladder.example/baobabladder/internal/world/routing"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// namesOnly is a Platform that only knows names.
type namesOnly struct{ Platform }

func (namesOnly) Kinds() (config, endpoints, moves, evacuations, vms string) {
	return "config", "endpoints", "moves", "evacuations", "vms"
}
func (namesOnly) Headers() gateway.Headers              { return gateway.Headers{} }
func (namesOnly) EndpointHeaders() endpoint.HeaderNames { return endpoint.HeaderNames{} }
func (namesOnly) Era() int64                            { return 1 }

// receiveOdd makes the node receive one odd message of each kind, and then work with what
// it knows as it does in the background.
func receiveOdd(n *Node, odd *fuzz.Odd) {
	var state roster.State
	_ = roster.NewReceiver(n.roster).Exchange(fuzz.New[roster.State](odd), &state)
	var reply admission.Reply
	_ = admission.NewReceiver(n.admission).Report(fuzz.New[admission.Report](odd), &reply)
	var changes tracker.Changes
	_ = tracker.NewReceiver(n.feeds...).Fetch(fuzz.New[string](odd), &changes)
	members := n.roster.Members()
	n.limitDemands(members)
	n.preferredVMs("north", "n1")
	roster.NewAlternates(members, n.self)
	n.balancer.UpdatePeers(n.roster.Running(), nil)
	n.roster.DutyCandidates(members)
	n.canary.PendingVerdicts()
	n.canary.Choose("cat", "x")
	n.balancer.LimitUses()
	n.blocklist.Count()
	n.localState()
}

func largeFleet() (vms []vm.VM) {
	for i := range 20 {
		vms = append(vms, vm.VM{Name: fmt.Sprint("vm-", i), Region: []string{"north", "south"}[i%2], DataCentre: "n1", PeerAddress: "10.0.0.1:1"})
	}
	return vms
}

// One malformed message of a peer, or reply to this VM, must not end the process.
func TestOddMessagesEndNothing(t *testing.T) {
	const rounds = 20_000
	g := NewWithT(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &Node{Settings: settings.Node{Name: "vm-1", Region: "north", DataCentre: "n1"}, Platform: namesOnly{}, Log: log}
	n.buildOnce.Do(n.build)
	n.balancer.UpdateDirectory(directory.New([]directory.Endpoint{
		{ID: "e-1", Service: "cat", Region: "north", Slots: 3, Version: "v1"}, {ID: "e-2", Service: "cat", Region: "south", Slots: 3, Version: "v2"},
	}, nil, nil))
	n.canary.Update(map[string]directory.Move{"cat": {Service: "cat", TargetVersion: "v2", MaxDuration: 10_000}})
	n.admission.Workspace = func(string) *routing.Workspace { return &routing.Workspace{Name: "t1", Rate: 10, Burst: 10} }
	odd := &fuzz.Odd{
		Random: rand.New(rand.NewPCG(1, 1)),
		Texts:  []string{"", "vm-1", "vm-2", "cat", "ord", "e-1", "e-2", "v1", "v2", "north", "south", "t1", "\xff"},
	}
	for round := range rounds {
		if round == rounds/2 {
			// From here on the fleet is too large for a full mesh.
			n.roster.SetRegistered(largeFleet())
		}
		g.Expect(func() { receiveOdd(n, odd) }).NotTo(Panic(), "round %d", round)
	}
}
