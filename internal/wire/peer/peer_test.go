package peer_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus/hooks/test"

	"baobabladder.example/baobabladder/internal/wire/peer"
)

// Echo is a receiver that replies with its argument. A call with Held set signals
// blocked and waits until release is closed.
type Echo struct {
	blocked chan struct{}
	release chan struct{}
}

// Message is the argument and the reply of Echo.Call.
type Message struct {
	Number int
	Held   bool
}

// Call replies with message.
func (e *Echo) Call(message Message, reply *Message) error {
	if message.Held {
		e.blocked <- struct{}{}
		<-e.release
	}
	*reply = message
	return nil
}

func serve(t *testing.T) (address string, echo *Echo, server *peer.Server) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	echo = &Echo{blocked: make(chan struct{}, 1), release: make(chan struct{})}
	server = peer.NewServer()
	g.Expect(server.Register("Echo", echo)).To(Succeed())
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	return listener.Addr().String(), echo, server
}

func TestLateReplyIsNotDeliveredToAnotherCall(t *testing.T) {
	g := NewWithT(t)
	address, echo, _ := serve(t)
	client := &peer.Client{}
	defer client.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var late Message
	ended := make(chan error, 1)
	go func() { ended <- client.Call(ctx, address, "Echo.Call", Message{Number: 1, Held: true}, &late) }()
	g.Eventually(echo.blocked, "20s").Should(Receive())
	cancel()
	var err error
	g.Eventually(ended, "20s").Should(Receive(&err))
	g.Expect(errorx.IsOfType(err, peer.ErrUnreachable)).To(BeTrue())
	close(echo.release)
	for number := 2; number < 50; number++ {
		var reply Message
		g.Expect(client.Call(context.Background(), address, "Echo.Call", Message{Number: number}, &reply)).To(Succeed())
		g.Expect(reply.Number).To(Equal(number))
	}
	g.Expect(late).To(Equal(Message{}))
}

func TestUnresponsivePeerDoesNotBlockCallsToOthers(t *testing.T) {
	g := NewWithT(t)
	// The kernel accepts connections for a paused process, which never replies.
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer unresponsive.Close()
	address, _, _ := serve(t)
	client := &peer.Client{}
	defer client.Close()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- client.Call(ctx, unresponsive.Addr().String(), "Echo.Call", Message{}, &Message{})
	}()
	var reply Message
	g.Expect(client.Call(context.Background(), address, "Echo.Call", Message{Number: 7}, &reply)).To(Succeed())
	g.Expect(reply.Number).To(Equal(7))
	g.Expect(ended).NotTo(Receive())
	cancel()
	g.Eventually(ended, "20s").Should(Receive(HaveOccurred()))
}

func TestClientReconnectsAfterConnectionLoss(t *testing.T) {
	g := NewWithT(t)
	address, _, _ := serve(t)
	var opened []net.Conn
	client := &peer.Client{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{Timeout: 5 * time.Second}).DialContext(ctx, network, address)
		opened = append(opened, conn)
		return conn, err
	}}
	defer client.Close()
	call := func() error { return client.Call(context.Background(), address, "Echo.Call", Message{}, &Message{}) }
	g.Expect(call()).To(Succeed())
	g.Expect(opened[0].Close()).To(Succeed())
	g.Eventually(call, "20s").Should(Succeed())
	g.Expect(opened).To(HaveLen(2))
}

// Panic panics, as a receiver may for a message that no VM of its own build sends.
func (e *Echo) Panic(message Message, _ *Message) error {
	panic(message.Number)
}

// Guards against a process that ends because a receiver cannot handle one message.
func TestReceiverThatPanicsEndsOnlyItsConnection(t *testing.T) {
	g := NewWithT(t)
	address, echo, server := serve(t)
	log, hook := test.NewNullLogger()
	server.Log = log
	held, other := &peer.Client{}, &peer.Client{}
	defer held.Close()
	defer other.Close()
	replied := make(chan Message, 1)
	go func() {
		var reply Message
		_ = held.Call(t.Context(), address, "Echo.Call", Message{Number: 2, Held: true}, &reply)
		replied <- reply
	}()
	g.Eventually(echo.blocked, "20s").Should(Receive())
	var reply Message
	g.Expect(other.Call(t.Context(), address, "Echo.Panic", Message{Number: 3}, &reply)).To(MatchError(ContainSubstring("Echo.Panic")))
	g.Eventually(hook.LastEntry, "20s").Should(HaveField("Data", And(HaveKeyWithValue("method", "Echo.Panic"), HaveKeyWithValue("cause", "3"))))
	g.Expect(other.Call(t.Context(), address, "Echo.Call", Message{Number: 4}, &reply)).To(Succeed())
	g.Expect(reply.Number).To(Equal(4))
	close(echo.release)
	g.Eventually(replied, "20s").Should(Receive(HaveField("Number", 2)), "a call on another connection")
}

func TestMalformedMessagesEndOnlyTheirConnection(t *testing.T) {
	g := NewWithT(t)
	address, _, _ := serve(t)
	for _, raw := range []string{"", "\x00", "GET / HTTP/1.1\r\n\r\n", "\xf8\xff\xff\xff\xff\xff\xff\xff\xff", "\xfc\x3f\xff\xff\xff" + strings.Repeat("a", 100), strings.Repeat("\x7f", 1000)} {
		conn, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		_, _ = conn.Write([]byte(raw))
		g.Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		g.Expect(conn.SetReadDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
		_, err = io.Copy(io.Discard, conn)
		g.Expect(err).NotTo(HaveOccurred(), "the connection did not end")
		_ = conn.Close()
	}
	client := &peer.Client{}
	defer client.Close()
	var reply Message
	g.Expect(client.Call(t.Context(), address, "Echo.Call", Message{Number: 5}, &reply)).To(Succeed())
}
