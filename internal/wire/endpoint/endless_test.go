package endpoint_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
)

// endlessTimeout is the time within which an exchange must end although bytes still come.
// The request has testTimeout.
const endlessTimeout = testTimeout / 2

// maxBodyBytes is more than any body without a declared length may have, in bytes.
const maxBodyBytes = 17 << 20

// respondWithoutEnd returns a handler that responds to the first request of a connection
// with text, in which ID is replaced by the request's id, and then with more until the
// client closes the connection. It sends on closed then.
func respondWithoutEnd(text, more string, closed chan<- struct{}) handler {
	return func(server *faultyServer, connection net.Conn, reader *bufio.Reader) {
		id := server.readHead(reader)
		_, err := io.WriteString(connection, strings.ReplaceAll(text, "ID", id))
		block := []byte(strings.Repeat(more, 1+4096/len(more)))
		for err == nil {
			_, err = connection.Write(block)
		}
		closed <- struct{}{}
	}
}

// exchangeAndCount sends a request, reads its response to the end and returns the length of
// its body.
func exchangeAndCount(client *endpoint.Client, address string, request *endpoint.Request) (size int64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	response, err := client.Send(ctx, address, request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return io.Copy(io.Discard, response.Body)
}

// Guards against a VM that reads for as long as an endpoint sends bytes that are no answer.
func TestBytesWithoutEndEndTheExchange(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n"
	for name, c := range map[string]struct {
		text, more string
		reason     reason.Reason
	}{
		"no answer":           {"", "x", reason.EndpointFailed},
		"status line":         {"HTTP/1.1 200 ", "x", reason.EndpointFailed},
		"one header line":     {head + "A: ", "x", reason.EndpointFailed},
		"header lines":        {head, "A: b\r\n", reason.EndpointFailed},
		"interim responses":   {"", "HTTP/1.1 102 Wait\r\n\r\n", reason.EndpointFailed},
		"chunk size":          {head + "Transfer-Encoding: chunked\r\n\r\n", "1", reason.AnswerCut},
		"chunk extension":     {head + "Transfer-Encoding: chunked\r\n\r\n1;a=", "x", reason.AnswerCut},
		"chunk extensions":    {head + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 2000) + "\r\na\r\n", reason.AnswerCut},
		"trailer":             {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", reason.AnswerCut},
		"chunks":              {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", reason.AnswerCut},
		"body without length": {head + "\r\n", "x", reason.AnswerCut},
		"refusal":             {"HTTP/1.1 503 No\r\nRequest-Id: ID\r\nRequest-Not-Run: shed\r\n\r\n", "x", reason.AnswerCut},
		"refusal in chunks":   {"HTTP/1.1 503 No\r\nRequest-Id: ID\r\nRequest-Not-Run: shed\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", reason.AnswerCut},
	} {
		for kind, request := range map[string]*endpoint.Request{"get": getRequest("r1"), "order": orderRequest("r1")} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				g := NewWithT(t)
				closed := make(chan struct{}, 1)
				server := newFaultyServer(t, respondWithoutEnd(c.text, c.more, closed))
				client := &endpoint.Client{AcceptUnframed: true}
				started := time.Now()
				size, err := exchangeAndCount(client, server.address, request)
				g.Expect(time.Since(started)).To(BeNumerically("<", endlessTimeout))
				refusal, ok := fault.As[*reason.Refusal](err)
				g.Expect(ok).To(BeTrue(), "%v", err)
				g.Expect(refusal.Reason).To(Equal(c.reason))
				g.Expect(refusal.Ran).To(Equal(reason.RanUnknown))
				g.Expect(size).To(BeNumerically("<=", maxBodyBytes))
				g.Eventually(closed, endlessTimeout).Should(Receive(), "the connection must be closed")
			})
		}
	}
}

// Guards against a late response to an earlier request that never ends.
func TestLateResponseWithoutEndEndsTheExchange(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{}, 1)
	server := newFaultyServer(t, func(server *faultyServer, connection net.Conn, reader *bufio.Reader) {
		id := server.readHead(reader)
		_, _ = io.WriteString(connection, strings.ReplaceAll(okResponse, "ID", id))
		respondWithoutEnd("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", closed)(server, connection, reader)
	})
	client := endpoint.New()
	_, err := exchange(client, server.address, getRequest("r1"))
	g.Expect(err).NotTo(HaveOccurred())
	started := time.Now()
	_, err = exchange(client, server.address, getRequest("r2"))
	g.Expect(err).To(HaveOccurred())
	g.Expect(time.Since(started)).To(BeNumerically("<", endlessTimeout))
	g.Eventually(closed, endlessTimeout).Should(Receive(), "the connection must be closed")
}

// Guards against answers whose heads take many times their bytes once parsed, and against the
// refusal of an answer whose body was received with its head.
func TestLinesOfAnswerHeadsAreBounded(t *testing.T) {
	body := strings.Repeat("\n", 4000)
	for name, c := range map[string]struct {
		lines  int
		isRead bool
	}{
		"usual":                {20, true},
		"many":                 {900, true},
		"more than are parsed": {12_000, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := newFaultyServer(t, func(server *faultyServer, connection net.Conn, reader *bufio.Reader) {
				id := server.readHead(reader)
				_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nContent-Length: 4000\r\n"+strings.Repeat("a:\r\n", c.lines)+"\r\n"+body)
			})
			size, err := exchangeAndCount(endpoint.New(), server.address, getRequest("r1"))
			if c.isRead {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(size).To(BeEquivalentTo(len(body)))
				return
			}
			refusal, ok := fault.As[*reason.Refusal](err)
			g.Expect(ok).To(BeTrue(), "%v", err)
			g.Expect(refusal.Reason).To(Equal(reason.EndpointFailed))
		})
	}
}
