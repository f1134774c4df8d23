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

// pendingReader is a request body whose bytes never come. Its read ends with a refusal, as
// those of package caller do, when the body is closed.
type pendingReader struct{ reading, closed chan struct{} }

// Read implements io.Reader.
func (p *pendingReader) Read([]byte) (int, error) {
	close(p.reading)
	<-p.closed
	return 0, reason.NotRun(reason.BodyTooSlow, 0, "the body came too slowly")
}

// Guards against a body that this VM stops reading, which is then taken for one whose caller
// failed: the early answer is cut off, or the endpoint's failure is told as the caller's.
func TestBodyThatIsNoLongerReadIsNoFailureOfItsCaller(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	for name, c := range map[string]struct {
		answer, body string
		reason       reason.Reason
	}{
		"early answer":          {"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 1048576\r\n\r\n" + long, long, ""},
		"early answer, no end":  {undeclaredHead + long, long, ""},
		"no answer":             {"", "", reason.EndpointFailed},
		"early answer, crossed": {strings.Replace(okResponse, "ID", "other", 1), "", reason.AnswerCrossed},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			pending := &pendingReader{make(chan struct{}), make(chan struct{})}
			server := newFaultyServer(t, func(server *faultyServer, connection net.Conn, reader *bufio.Reader) {
				id := server.readHead(reader)
				<-pending.reading
				_, _ = io.WriteString(connection, strings.ReplaceAll(c.answer, "ID", id))
			})
			request := orderRequest("r1")
			request.Body, request.Length = &trackedBody{Reader: pending, closed: pending.closed}, 5
			content, err := exchange(&endpoint.Client{AcceptUnframed: true}, server.address, request)
			if c.reason == "" {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(content).To(HaveLen(len(c.body)))
				return
			}
			refusal, _ := fault.As[*reason.Refusal](err)
			g.Expect(refusal).NotTo(BeNil())
			g.Expect(*refusal).To(And(HaveField("Reason", c.reason), HaveField("Ran", reason.RanUnknown)))
		})
	}
}
