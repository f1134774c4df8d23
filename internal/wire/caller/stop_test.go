package caller

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A VM that was told to stop while it started served for ever: the stop found no
// listener to close, and net/http was told that its listener is the stop's.
func TestAStopThatBeginsBeforeServingEndsIt(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := &Server{IdleCloseDelay: 1}
	server.init()
	// A connection with a request under way keeps the stop waiting.
	busy, peer := net.Pipe()
	defer peer.Close()
	held := server.track(busy)
	held.started = true
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	g.Eventually(server.stopping).Should(BeTrue())
	// The stop looks for a listener when its notice is over.
	time.Sleep(50 * time.Millisecond)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	g.Eventually(func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return server.listener != nil
	}).Should(BeTrue())
	time.Sleep(50 * time.Millisecond)
	server.forget(held)
	g.Eventually(stopped, 5*time.Second).Should(Receive(BeNil()))
	g.Eventually(served, 5*time.Second).Should(Receive(BeNil()))
}
