package link

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
)

var (
	lothian = Location{VM: "entry-1", Region: "lothian", DataCentre: "lothian-1"}
	clyde   = Location{VM: "endpoint-1", Region: "clyde", DataCentre: "clyde-1"}
)

// eventuallyTimeout limits the wait for an expected event.
const eventuallyTimeout = 20 * time.Second

func fleet() *document.Fleet {
	return &document.Fleet{Links: []document.Link{{A: "clyde", B: "lothian", Mbit: 8, Latency: 30}}}
}

// startEchoServer starts a server in clyde that sends back what it receives, and returns
// its address.
func startEchoServer(t *testing.T, network *Network) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	network.SetLocation(listener.Addr().String(), clyde)
	return listener.Addr().String()
}

func TestRoundTripSumsItsParts(t *testing.T) {
	g := NewWithT(t)
	network := &Network{Fleet: fleet(), DataCentreRoundTripMicros: 1000, ClientRoundTripMicros: 3000}
	neighbour := Location{Region: "lothian", DataCentre: "lothian-2"}
	client := Location{Region: "lothian", IsClient: true}
	g.Expect(network.roundTripMicros(lothian, clyde)).To(Equal(int64(30_000)))
	g.Expect(network.roundTripMicros(lothian, neighbour)).To(Equal(int64(1000)))
	g.Expect(network.roundTripMicros(lothian, lothian)).To(BeZero())
	g.Expect(network.roundTripMicros(client, lothian)).To(Equal(int64(3000)))
	g.Expect(network.roundTripMicros(client, clyde)).To(Equal(int64(33_000)))
}

func TestDirectedLinkQueuesAndRecordsPeakSecond(t *testing.T) {
	g := NewWithT(t)
	link := &directedLink{bytesPerSecond: 1000}
	g.Expect(link.reserve(0, 500)).To(Equal(int64(500_000)))
	g.Expect(link.reserve(0, 1000)).To(Equal(int64(1_500_000)), "queued behind the first")
	g.Expect(link.reserve(5_000_000, 100)).To(Equal(int64(5_100_000)), "an idle link accumulates no unused bandwidth")
	g.Expect(link.bytes).To(Equal(int64(1600)))
	g.Expect(link.maxBytesPerSecond).To(Equal(int64(1000)))
}

func TestConnectionHasLatencyAndBandwidthAndIsCounted(t *testing.T) {
	g := NewWithT(t)
	network := &Network{Fleet: fleet()}
	address := startEchoServer(t, network)
	began := network.Clock.Now()
	conn, err := network.Dialer(lothian)(context.Background(), "tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	const size = 100_000
	go func() { _, _ = conn.Write(make([]byte, size)) }()
	_, err = io.ReadFull(conn, make([]byte, size))
	g.Expect(err).NotTo(HaveOccurred())
	// One round trip to dial, one for the echo, and 100 ms for 100 kB at 8 Mbit/s.
	// There is no upper bound, because a busy machine may take any time.
	g.Expect(network.Clock.Now() - began).To(BeNumerically(">=", 30+30+100-2*clock.Millis(1)))
	g.Expect(network.Traffic()).To(HaveExactElements(
		And(HaveField("From", "clyde"), HaveField("Bytes", int64(size))),
		And(HaveField("From", "lothian"), HaveField("Bytes", int64(size)))))
}

func TestPartitionDelaysDataAndDialsUntilHealed(t *testing.T) {
	g := NewWithT(t)
	network := &Network{Fleet: fleet()}
	address := startEchoServer(t, network)
	conn, err := network.Dialer(lothian)(context.Background(), "tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	network.PartitionRegions("lothian", "clyde", true)
	_, err = conn.Write([]byte("late"))
	g.Expect(err).NotTo(HaveOccurred())
	dialCtx, cancel := context.WithTimeout(context.Background(), (100 * clock.Millis(1)).Duration())
	defer cancel()
	_, err = network.Dialer(lothian)(dialCtx, "tcp", address)
	g.Expect(err).To(MatchError(ContainSubstring("dial cancelled")))
	network.IsolateVM("endpoint-1", true)
	network.PartitionRegions("clyde", "lothian", false)
	network.IsolateVM("endpoint-1", false)
	content := make([]byte, 4)
	_, err = io.ReadFull(conn, content)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(content)).To(Equal("late"))
}

func TestKilledVMClosesItsEndAndPeersSeeItAfterIsolation(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	network := &Network{}
	network.SetLocation(listener.Addr().String(), clyde)
	ended := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
		close(ended)
	}()
	conn, err := network.Dialer(lothian)(context.Background(), "tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	readResult := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		readResult <- err
	}()
	network.KillVM(clyde.VM)
	g.Eventually(ended, eventuallyTimeout).Should(BeClosed())
	g.Expect(readResult).NotTo(Receive())
	network.IsolateVM(clyde.VM, false)
	g.Eventually(readResult, eventuallyTimeout).Should(Receive(HaveOccurred()))
}
