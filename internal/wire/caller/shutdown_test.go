package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a Serve that never returns because Shutdown began before it. Shutdown
// found no listener to close, and limitedListener.Close leaves the listener to Shutdown.
func TestShutdownBeforeServeEndsServe(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := &Server{IdleCloseDelay: 1}
	server.init()
	// A connection with a request in flight keeps Shutdown waiting.
	busy, peer := net.Pipe()
	defer peer.Close()
	active := server.track(busy)
	active.first.hasRequest = true
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	g.Eventually(server.isShuttingDown).Should(BeTrue())
	// Shutdown runs closeListener after IdleCloseDelay.
	time.Sleep(50 * time.Millisecond)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	g.Eventually(func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return server.listener != nil
	}).Should(BeTrue())
	time.Sleep(50 * time.Millisecond)
	server.untrack(active)
	g.Eventually(stopped, 5*time.Second).Should(Receive(BeNil()))
	g.Eventually(served, 5*time.Second).Should(Receive(BeNil()))
}

// Guards against a Shutdown that outlasts its context by a second for each idle connection
// whose caller does not read.
func TestShutdownDoesNotWaitForCallersThatDoNotRead(t *testing.T) {
	g := NewWithT(t)
	server := &Server{IdleCloseDelay: 1}
	server.init()
	for range 5 {
		accepted, peer := net.Pipe()
		defer peer.Close()
		server.track(accepted)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	startTime := time.Now()
	g.Expect(server.Shutdown(ctx)).To(MatchError(context.DeadlineExceeded))
	g.Expect(time.Since(startTime)).To(BeNumerically("<", rawWriteTimeout.Duration()))
}

// Guards against a Shutdown without end because a caller does not read its responses.
func TestShutdownEndsBesideUnreadResponse(t *testing.T) {
	for name, requests := range map[string]int{"one request": 1, "pipelined requests": 5000} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			isWriting := make(chan struct{})
			var once sync.Once
			handler := func(w http.ResponseWriter, _ *http.Request) {
				once.Do(func() { close(isWriting) })
				_, _ = w.Write(make([]byte, 32<<20))
			}
			server := &Server{Handler: http.HandlerFunc(handler), IdleCloseDelay: 1, UnreadTimeout: 200}
			served := make(chan error, 1)
			go func() { served <- server.Serve(listener) }()
			connection, err := net.Dial("tcp", listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer connection.Close()
			_, err = io.WriteString(connection, strings.Repeat("GET / HTTP/1.1\r\nHost: vm\r\n\r\n", requests))
			g.Expect(err).NotTo(HaveOccurred())
			<-isWriting
			stopped := make(chan error, 1)
			go func() { stopped <- server.Shutdown(context.Background()) }()
			g.Eventually(stopped, 5*time.Second).Should(Receive(BeNil()))
			g.Eventually(served, 5*time.Second).Should(Receive(BeNil()))
		})
	}
}
