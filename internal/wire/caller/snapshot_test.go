package caller_test

import (
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/wire/caller"
)

// Guards against a stop that ends with connections open and cannot tell what was open.
func TestConnectionsTellStateIDAndBody(t *testing.T) {
	const head = "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
	for name, c := range map[string]struct {
		sent string
		want caller.Connection
	}{
		"nothing sent":        {"", caller.Connection{State: caller.ConnIdle}},
		"part of a head":      {head, caller.Connection{State: caller.ConnReceiving, Requests: 1}},
		"part of a body":      {head + "Content-Length: 9\r\n\r\nabc", caller.Connection{State: caller.ConnReceiving, Requests: 1, RequestID: "r1", BodyBytes: 3}},
		"whole request":       {head + "Content-Length: 3\r\n\r\nabc", caller.Connection{State: caller.ConnHandling, Requests: 1, RequestID: "r1", BodyBytes: 3}},
		"chunked body":        {head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", caller.Connection{State: caller.ConnHandling, Requests: 1, RequestID: "r1", BodyBytes: 8}},
		"response not read":   {"GET /large HTTP/1.1\r\nHost: h\r\nRequest-Id: r2\r\n\r\n", caller.Connection{State: caller.ConnWriting, Requests: 1, RequestID: "r2"}},
		"key as id, refused":  {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nRequest-Id: " + validKey + "\r\n\r\n", caller.Connection{State: caller.ConnHandling, Requests: 1}},
		"answered":            {"GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: r3\r\n\r\n", caller.Connection{State: caller.ConnIdle, RequestID: "r3"}},
		"answered, then more": {"GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: r3\r\n\r\n" + head, caller.Connection{State: caller.ConnReceiving, Requests: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			release := make(chan struct{})
			ts := newTestServer(t, func(s *caller.Server) {
				s.RequestIDHeader = "Request-Id"
				s.Handler = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
					_, _ = caller.ReadHead(request)
					switch {
					case request.Method == http.MethodPost:
						<-release
					case request.URL.Path == "/large":
						_, _ = w.Write(make([]byte, 32<<20))
					}
				})
			})
			connection := ts.dial(g)
			defer connection.Close()
			defer close(release)
			_, err := io.WriteString(connection, c.sent)
			g.Expect(err).NotTo(HaveOccurred())
			c.want.Remote = connection.LocalAddr().String()
			g.Eventually(func() []caller.Connection {
				open := ts.Connections()
				for i := range open {
					g.Expect(open[i].Since).To(BeNumerically(">", 0))
					open[i].Since = 0
				}
				return open
			}, testTimeout).Should(ConsistOf(c.want))
		})
	}
}
