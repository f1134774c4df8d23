package endpoint_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
)

const (
	undeclaredHead = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n\r\n"
	// uploadBytes is more than the sockets of a connection hold.
	uploadBytes = 16 << 20
	// resetRounds is how often an exchange is tried whose outcome depends on which call gets
	// the socket's error.
	resetRounds = 20
)

// blockReader yields zeros, at most size bytes at once.
type blockReader struct{ size int }

// Read implements io.Reader.
func (b blockReader) Read(buffer []byte) (int, error) { return min(b.size, len(buffer)), nil }

// uploadRequest returns a request whose body is written in pieces of the given size.
func uploadRequest(id string, pieceBytes int) *endpoint.Request {
	request := orderRequest(id)
	request.Body, request.Length = io.NopCloser(io.LimitReader(blockReader{pieceBytes}, uploadBytes)), uploadBytes
	request.Trace = &endpoint.Trace{}
	return request
}

// answerThenReset returns a handler that answers while the body comes, and resets the
// connection at once.
func answerThenReset(text string) handler {
	return func(server *faultyServer, connection net.Conn, reader *bufio.Reader) {
		id := server.readHead(reader)
		_, _ = io.WriteString(connection, strings.ReplaceAll(text, "ID", id))
		_ = connection.(*net.TCPConn).SetLinger(0)
	}
}

// lateReadsConn is a connection that is read only after a write has failed, so that the write
// gets the socket's error.
type lateReadsConn struct {
	net.Conn
	once        sync.Once
	writeFailed chan struct{}
}

// Write implements io.Writer.
func (l *lateReadsConn) Write(buffer []byte) (n int, err error) {
	if n, err = l.Conn.Write(buffer); err != nil {
		l.once.Do(func() { close(l.writeFailed) })
	}
	return n, err
}

// Read implements io.Reader.
func (l *lateReadsConn) Read(buffer []byte) (int, error) {
	<-l.writeFailed
	return l.Conn.Read(buffer)
}

func dialLateReads(ctx context.Context, network, address string) (net.Conn, error) {
	opened, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &lateReadsConn{Conn: opened, writeFailed: make(chan struct{})}, nil
}

// answerThenHalfClose returns a handler that answers while the body comes, closes its side of
// the connection and reads on to the end.
func answerThenHalfClose(text string) handler {
	return func(server *faultyServer, connection net.Conn, reader *bufio.Reader) {
		id := server.readHead(reader)
		_, _ = io.WriteString(connection, strings.ReplaceAll(text, "ID", id))
		_ = connection.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, reader)
	}
}

// Guards against a reset that the write of a request's body gets, and that the reader of the
// answer then takes for its end.
func TestAnswerThatIsResetWhileTheBodyIsWrittenIsNotWhole(t *testing.T) {
	for name, client := range map[string]*endpoint.Client{
		"the write gets the reset":         {AcceptUnframed: true, Dial: dialLateReads},
		"the write or the read may get it": {AcceptUnframed: true},
	} {
		for _, pieceBytes := range []int{512, 4 << 10, 32 << 10} {
			for _, sentBytes := range []int{0, 1, 700, 5000} {
				t.Run(fmt.Sprint(name, "/", pieceBytes, "/", sentBytes), func(t *testing.T) {
					g := NewWithT(t)
					server := newFaultyServer(t, answerThenReset(undeclaredHead+strings.Repeat("x", sentBytes)))
					for i := range resetRounds {
						request := uploadRequest(fmt.Sprint("r", i), pieceBytes)
						body, err := exchange(client, server.address, request)
						refusal, _ := fault.As[*reason.Refusal](err)
						g.Expect(refusal).NotTo(BeNil(), "round %d: %d bytes were taken for the whole answer, %+v", i, len(body), *request.Trace)
						g.Expect(refusal.Ran).To(Equal(reason.RanUnknown))
						if client.Dial != nil {
							g.Expect(refusal.Reason).To(Equal(reason.AnswerCut))
							g.Expect(request.Trace.Defect).To(Equal(endpoint.EndUnknown))
						}
					}
				})
			}
		}
	}
}

// Guards against early answers that are refused although their end is certain.
func TestEarlyAnswerWhoseEndIsCertainIsWhole(t *testing.T) {
	declared := "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 5\r\n\r\nearly"
	chunked := "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n0\r\n\r\n"
	for name, c := range map[string]struct {
		handle handler
		dial   func(ctx context.Context, network, address string) (net.Conn, error)
	}{
		"no length, ends in order": {answerThenHalfClose(undeclaredHead + "early"), nil},
		"a length, then a reset":   {answerThenReset(declared), dialLateReads},
		"chunks, then a reset":     {answerThenReset(chunked), dialLateReads},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := newFaultyServer(t, c.handle)
			client := &endpoint.Client{AcceptUnframed: true, Dial: c.dial}
			for i := range resetRounds {
				body, err := exchange(client, server.address, uploadRequest(fmt.Sprint("r", i), 4<<10))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal("early"))
			}
		})
	}
}

// Guards against an answer that has no body being refused because it declares no length.
func TestAnswerWithoutBodyNeedsNoLength(t *testing.T) {
	for _, status := range []string{"200 OK", "404 Not Found"} {
		g := NewWithT(t)
		server := newFaultyServer(t, respondWith("HTTP/1.1 "+status+"\r\nRequest-Id: ID\r\n\r\n", false))
		client := endpoint.New()
		for i := range 2 {
			request := getRequest(fmt.Sprint("r", i))
			request.Method = http.MethodHead
			body, err := exchange(client, server.address, request)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(BeEmpty())
		}
		_, conns, _ := server.counts()
		g.Expect(conns).To(Equal(1), "the connection can be used again")
	}
}
