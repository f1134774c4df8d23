package peer_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/wire/peer"
)

// maxSent is more than a VM may read of one message, with what connections buffer.
const maxSent = 64 << 20

// announced begins a gob message of 1,000,000,000 bytes.
var announced = []byte{0xfc, 0x3b, 0x9a, 0xca, 0x00}

// sendWithoutEnd sends such a message until the other side closes the connection, or maxSent
// bytes are sent, and returns how many were.
func sendWithoutEnd(conn net.Conn) (total int) {
	defer conn.Close()
	_, _ = conn.Write(announced)
	block := make([]byte, 64<<10)
	for total < maxSent {
		n, err := conn.Write(block)
		total += n
		if err != nil {
			break
		}
	}
	return total
}

func listenLocally(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// Guards against a peer whose message never ends, of which a VM keeps all, as it serves it.
func TestCallWithoutEndClosesTheConnection(t *testing.T) {
	g := NewWithT(t)
	listener, server := listenLocally(t), peer.NewServer()
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(sendWithoutEnd(conn)).To(BeNumerically("<", maxSent))
}

// Guards against the same in a reply.
func TestReplyWithoutEndFailsTheCall(t *testing.T) {
	g := NewWithT(t)
	listener, sent := listenLocally(t), make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, _ = io.ReadFull(conn, make([]byte, 1))
			sent <- sendWithoutEnd(conn)
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	client := &peer.Client{}
	defer client.Close()
	var reply string
	g.Expect(client.Call(ctx, listener.Addr().String(), "Echo.Say", "hello", &reply)).NotTo(Succeed())
	g.Eventually(sent, "20s").Should(Receive(BeNumerically("<", maxSent)))
}
