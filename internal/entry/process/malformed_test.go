package process

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/settings"
	"baobabladder.example/baobabladder/internal/control/divider"
	"baobabladder.example/baobabladder/internal/control/follower"
	"baobabladder.example/baobabladder/internal/control/heartbeat"
	"baobabladder.example/baobabladder/internal/control/mover"
	"baobabladder.example/baobabladder/internal/policy/limit"
	"baobabladder.example/baobabladder/internal/standin/fuzz"
	"baobabladder.example/baobabladder/internal/world/contract"
	"baobabladder.example/baobabladder/internal/world/replica"
	"baobabladder.example/baobabladder/internal/world/vm"
)

// oddPeers are peers whose every reply has odd values.
type oddPeers struct{ odd *fuzz.Odd }

// Call implements PeerCaller of the packages of control.
func (p oddPeers) Call(_ context.Context, _, _ string, _, reply any) error {
	fuzz.Fill(reply, p.odd)
	return nil
}

// receiveOdd makes the VM receive one odd message of each kind, and then work with what it
// knows as it does in the background.
func receiveOdd(p *policies, odd *fuzz.Odd) {
	control := p.control
	ofHeartbeat := heartbeat.NewReceiver(control.heartbeat)
	_ = ofHeartbeat.Ask(fuzz.New[heartbeat.AskRequest](odd), &heartbeat.AskReply{})
	_ = ofHeartbeat.Leave(fuzz.New[heartbeat.AskReply](odd), &heartbeat.LeaveReply{})
	ofFollower := follower.NewReceiver(control.follower)
	_ = ofFollower.Push(fuzz.New[follower.PushRequest](odd), &follower.PushReply{})
	_ = ofFollower.Fetch(fuzz.New[follower.FetchRequest](odd), &replica.Page{})
	ofDivider := &divider.Receiver{Divider: p.divider}
	offer, take := fuzz.New[contract.Offer](odd), fuzz.New[limit.TakeRequest](odd)
	_ = ofDivider.Offer(&offer, &contract.Report{})
	take.Patience = min(take.Patience, 1)
	_ = ofDivider.Take(&take, &limit.TakeReply{})
	loan, settlement := fuzz.New[contract.LoanRequest](odd), fuzz.New[contract.Settlement](odd)
	_ = ofDivider.Lend(&loan, &contract.LoanReply{})
	_ = ofDivider.Settle(&settlement, &divider.SettleReply{})
	wake := fuzz.New[divider.WakeRequest](odd)
	_ = ofDivider.Wake(&wake, &divider.WakeReply{})
	ofMover := &mover.Receiver{Mover: p.mover}
	collect, report := fuzz.New[mover.CollectRequest](odd), fuzz.New[mover.Report](odd)
	_ = ofMover.Collect(&collect, &mover.CollectReply{})
	_ = ofMover.Report(&report, &mover.ReportReply{})
	_ = control.heartbeat.Ask(context.Background(), "vm-2")
	control.heartbeat.Refresh()
	p.update(control.replica.Snapshot(), control.heartbeat.View())
	p.shares()
	control.follower.Ready()
}

// One malformed message of a peer, or reply to this VM, must not end the process.
func TestOddMessagesEndNothing(t *testing.T) {
	const rounds = 20_000
	g := NewWithT(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	config := settings.Settings{Name: "vm-1", Region: "north", DataCentre: "n1", Store: "http://127.0.0.1:1/"}
	unreachable := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("unreachable") }
	control, err := newControlPlane(config, log, unreachable)
	g.Expect(err).NotTo(HaveOccurred())
	p, err := newPolicies(control, config)
	g.Expect(err).NotTo(HaveOccurred())
	odd := &fuzz.Odd{
		Random: rand.New(rand.NewPCG(1, 1)),
		Texts: []string{
			"", "vm-1", "vm-2", "cat", "v1", "v2", "north", "n1", "t1", "\xff", string(vm.RoleEntry), string(vm.StateLive),
			string(contract.RateResource("cat", "t1")), string(contract.SlotsResource("cat", "e-1")), string(contract.LinkResource("north", "south")), "services/cat", "[service]",
		},
	}
	// Work that would otherwise run beside the test, with the same random numbers.
	control.heartbeat.Spawn = func(run func()) { run() }
	peers := oddPeers{odd}
	control.heartbeat.Peers, control.follower.Peers, p.mover.Peers, p.divider.Peers = peers, peers, peers, peers
	for round := range rounds {
		g.Expect(func() { receiveOdd(p, odd) }).NotTo(Panic(), "round %d", round)
	}
}
