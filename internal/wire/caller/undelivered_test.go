package caller_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/wire/caller"
)

// Guards against an answer that is lost after its handler has begun it, of which no metric or
// log tells, and against reports of callers that had left before.
func TestAnswerThatIsLostIsReported(t *testing.T) {
	for name, c := range map[string]struct {
		requests int
		// before and after are written before and after the caller resets the connection.
		before, after string
		isFlushed     bool
		isBrokenOff   bool
		want          caller.UndeliveredCause
	}{
		"begun":                   {requests: 1, before: "answer", want: caller.UndeliveredWriteFailed},
		"begun, pipelined":        {requests: 2, before: "answer", want: caller.UndeliveredWriteFailed},
		"sent whole":              {requests: 1, before: "answer", isFlushed: true, want: caller.UndeliveredReset},
		"begun after the reset":   {requests: 1, after: "answer"},
		"broken off by a handler": {requests: 1, before: "answer", isBrokenOff: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			reports, started := make(chan caller.Undelivered, 2), make(chan struct{}, 2)
			ts := newTestServer(t, func(s *caller.Server) {
				s.RequestIDHeader, s.OnUndelivered = "Request-Id", func(u caller.Undelivered) { reports <- u }
				s.Handler = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
					_, _ = caller.ReadHead(request)
					_ = caller.AwaitTurn(request.Context(), request, true)
					w.Header().Set("Content-Length", "6")
					w.Header().Set("Connection", "close")
					if c.before != "" {
						_, _ = io.WriteString(w, c.before)
					}
					if c.isFlushed {
						_ = http.NewResponseController(w).Flush()
					}
					started <- struct{}{}
					<-request.Context().Done()
					_, _ = io.WriteString(w, c.after)
					if c.isBrokenOff {
						panic(http.ErrAbortHandler)
					}
				})
			})
			connection := ts.dial(g)
			_, err := io.WriteString(connection, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n\r\n", c.requests))
			g.Expect(err).NotTo(HaveOccurred())
			for range c.requests {
				g.Eventually(started, testTimeout).Should(Receive())
			}
			g.Expect(connection.(*net.TCPConn).SetLinger(0)).To(Succeed())
			g.Expect(connection.Close()).To(Succeed())
			g.Eventually(ts.Connections, testTimeout).Should(BeEmpty())
			if c.want == "" {
				g.Expect(reports).NotTo(Receive())
				return
			}
			var report caller.Undelivered
			g.Eventually(reports, testTimeout).Should(Receive(&report))
			g.Expect(report.Cause).To(Equal(c.want))
			g.Expect(report.RequestID).To(Equal("r1"))
			g.Expect(report.Remote).To(Equal(connection.LocalAddr().String()))
			g.Expect(report.Err).To(HaveOccurred())
			report.Count(ts.scope)
			report.LogTo(ts.logger)
			g.Expect(ts.scope.Snapshot().Counters()["answers_undelivered+cause="+string(c.want)].Value()).To(BeEquivalentTo(1))
			g.Expect(ts.log.LastEntry().Data).To(HaveKeyWithValue("request_id", "r1"))
		})
	}
}
