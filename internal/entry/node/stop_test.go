package node

import (
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus/hooks/test"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/entry/gateway"
	"baobabladder.example/baobabladder/internal/wire/caller"
)

// Guards against a stop whose log does not tell what it interrupted, and against one that
// logs thousands of lines at its end.
func TestOpenConnectionsAtEndOfStopAreLoggedWithinABound(t *testing.T) {
	g := NewWithT(t)
	log, lines := test.NewNullLogger()
	open := make([]caller.Connection, 3*maxOpenConnectionLines)
	open[0] = caller.Connection{Remote: "10.0.0.9:5", State: caller.ConnHandling, Since: 100, Requests: 2, RequestID: "r1", BodyBytes: 7}
	logOpenConnections(log, "callers", open, 150)
	g.Expect(lines.AllEntries()).To(HaveLen(maxOpenConnectionLines))
	text, err := lines.AllEntries()[0].String()
	g.Expect(err).NotTo(HaveOccurred())
	for _, part := range []string{"10.0.0.9:5", "state=handling", "state_ms=50", "requests=2", "request_id=r1", "body_bytes=7", "one of 60"} {
		g.Expect(text).To(ContainSubstring(part))
	}
}

// Guards against a stop with a short grace period that interrupts requests before the last
// sixth of it.
func TestStopInterruptsInTheLastSixthOfItsGrace(t *testing.T) {
	g := NewWithT(t)
	for grace := 500 * clock.Millis(1); grace <= 20*clock.Second; grace += 100 {
		stop := gateway.PlannedStop{End: grace - shutdownMargin(grace)}
		g.Expect(stop.InterruptAt()).To(BeNumerically(">=", grace*5/6), "a grace of %d ms", grace)
		g.Expect(stop.InterruptAt()).To(BeNumerically("<", stop.End), "a grace of %d ms", grace)
		g.Expect(stop.End).To(BeNumerically("<", grace))
	}
}

// stalledListener is a listener whose Accept does not notice that it is closed, as while
// net/http waits before it accepts again.
type stalledListener struct {
	net.Listener
	accepting, released chan struct{}
}

func (l stalledListener) Accept() (net.Conn, error) {
	close(l.accepting)
	<-l.released
	return nil, net.ErrClosed
}

// Guards against a stop that outlasts its grace period because a plain server goes on waiting
// to accept, which net/http does for up to 1 s when the process has no descriptors left.
func TestStopOfPlainServersEndsWhileOneWaitsToAccept(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	stalled := stalledListener{listener, make(chan struct{}), make(chan struct{})}
	defer close(stalled.released)
	server := &http.Server{ReadHeaderTimeout: readHeaderTimeout.Duration()}
	go func() { _ = server.Serve(stalled) }()
	<-stalled.accepting
	n := &Node{plainServers: []*http.Server{server}}
	n.Settings.Bounds.StopGrace = 6 * clock.Second
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.stopPlainServers(t.Context())
	}()
	g.Eventually(ended, shutdownMargin(n.Settings.Bounds.StopGrace).Duration()).Should(BeClosed())
}
