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

// Guards against an answer that is lost after its handler has returned, of which no metric or
// log tells.
func TestAnswerThatCannotBeWrittenIsReported(t *testing.T) {
	for name, requests := range map[string]int{"one request": 1, "pipelined requests": 2} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			reports, started := make(chan caller.Undelivered, 2), make(chan struct{}, 2)
			ts := newTestServer(t, func(s *caller.Server) {
				s.RequestIDHeader, s.OnUndelivered = "Request-Id", func(u caller.Undelivered) { reports <- u }
				s.Handler = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
					_, _ = caller.ReadHead(request)
					_ = caller.AwaitTurn(request.Context(), request, true)
					started <- struct{}{}
					<-request.Context().Done()
					_, _ = io.WriteString(w, "answer")
				})
			})
			connection := ts.dial(g)
			_, err := io.WriteString(connection, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n\r\n", requests))
			g.Expect(err).NotTo(HaveOccurred())
			for range requests {
				g.Eventually(started, testTimeout).Should(Receive())
			}
			g.Expect(connection.(*net.TCPConn).SetLinger(0)).To(Succeed())
			g.Expect(connection.Close()).To(Succeed())
			var report caller.Undelivered
			g.Eventually(reports, testTimeout).Should(Receive(&report))
			g.Expect(report.Cause).To(Equal(caller.UndeliveredWriteFailed))
			g.Expect(report.RequestID).To(Equal("r1"))
			g.Expect(report.Remote).To(Equal(connection.LocalAddr().String()))
			g.Expect(report.Err).To(HaveOccurred())
		})
	}
}
