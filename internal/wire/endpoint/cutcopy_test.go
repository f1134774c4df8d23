package endpoint_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
)

// Guards against the beginning of a copy that is read as one head with the answer behind it,
// and so as a refusal of a request that the endpoint runs.
func TestBeginningOfACopyIsNoRefusalOfTheNextRequest(t *testing.T) {
	closing := strings.Replace(okResponse, "Content-Length", "Connection: close\r\nContent-Length", 1)
	for name, text := range map[string]string{
		"in the reason of a 421":             "HTTP/1.1 421 Mis" + okResponse,
		"in a header before the id":          "HTTP/1.1 503 No\r\nRequest-Not-Run: fu" + okResponse,
		"before another version":             "HTTP/1.1 421 Mis" + strings.Replace(okResponse, "1.1", "2.0", 1),
		"before more spaces":                 "HTTP/1.1 421 Mis" + strings.Replace(okResponse, " ", "  ", 1),
		"in Connection, the answer closes":   "HTTP/1.1 503 No\r\nRequest-Not-Run: full\r\nConnection: kee" + closing,
		"behind a close in Connection":       "HTTP/1.1 503 No\r\nRequest-Not-Run: full\r\nConnection: close, T" + okResponse,
		"in Transfer-Encoding, old protocol": "HTTP/1.0 503 No\r\nRequest-Not-Run: full\r\nTransfer-Encoding: ch" + okResponse,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := newFaultyServer(t, func(server *faultyServer, connection net.Conn, reader *bufio.Reader) {
				first := server.readHead(reader)
				_, _ = io.WriteString(connection, strings.ReplaceAll(shedResponse, "ID", first))
				next := server.readHead(reader)
				_, _ = io.WriteString(connection, strings.ReplaceAll(text, "ID", next))
			})
			client := endpoint.New()
			_, err := exchange(client, server.address, getRequest("r1"))
			_, isNotRun := fault.As[*endpoint.NotRunError](err)
			g.Expect(isNotRun).To(BeTrue(), "%v", err)
			_, err = exchange(client, server.address, getRequest("r2"))
			refusal, _ := fault.As[*reason.Refusal](err)
			g.Expect(refusal).NotTo(BeNil(), "no answer is whole and by itself")
			g.Expect(refusal.Ran).To(Equal(reason.RanUnknown), "%v", err)
		})
	}
}

// Guards against a caller whose request ids make proper answers look like begun ones, and so
// their endpoints like failing ones.
func TestIDThatHoldsAStatusLineIsRefusedUnsent(t *testing.T) {
	g := NewWithT(t)
	server := newFaultyServer(t, respondWith(okResponse, false))
	_, err := exchange(endpoint.New(), server.address, getRequest("HTTP/1.1 200"))
	refusal, _ := fault.As[*reason.Refusal](err)
	g.Expect(refusal).NotTo(BeNil())
	g.Expect(*refusal).To(And(HaveField("Reason", reason.BadRequest), HaveField("Ran", reason.RanNo)))
	_, conns, _ := server.counts()
	g.Expect(conns).To(BeZero())
}
