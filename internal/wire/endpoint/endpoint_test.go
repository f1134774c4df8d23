package endpoint_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
)

const testTimeout = 10 * time.Second

// handler serves one connection of a faultyServer.
type handler func(server *faultyServer, connection net.Conn, reader *bufio.Reader)

// faultyServer is a raw TCP server that stands in for an endpoint.
type faultyServer struct {
	address string

	mu sync.Mutex
	// heads holds each request head that was received. Guarded by mu.
	heads []string
	// conns counts the accepted connections, closedConns those that the client has
	// closed. Guarded by mu.
	conns, closedConns int
}

// testContext is a *testing.T or a *rapid.T.
type testContext interface {
	Cleanup(end func())
	Fatal(args ...any)
}

func newFaultyServer(t testContext, handle handler) *faultyServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	server := &faultyServer{address: listener.Addr().String()}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			server.mu.Lock()
			server.conns++
			server.mu.Unlock()
			go func() {
				defer connection.Close()
				handle(server, connection, bufio.NewReader(connection))
			}()
		}
	}()
	return server
}

// readHead reads the head of one request and returns its id, or an empty string at
// the end of the connection.
func (server *faultyServer) readHead(reader *bufio.Reader) (id string) {
	var head strings.Builder
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			server.mu.Lock()
			server.closedConns++
			server.mu.Unlock()
			return ""
		}
		head.WriteString(line)
		if value, found := strings.CutPrefix(line, "Request-Id: "); found {
			id = strings.TrimSpace(value)
		}
		if line == "\r\n" {
			break
		}
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	server.heads = append(server.heads, head.String())
	return id
}

func (server *faultyServer) counts() (heads, conns, closedConns int) {
	server.mu.Lock()
	defer server.mu.Unlock()
	return len(server.heads), server.conns, server.closedConns
}

// respondWith returns a handler that responds to each head with text, in which ID is
// replaced by the request's id. If last is set, it closes the connection after the
// first response.
func respondWith(text string, last bool) handler {
	return func(server *faultyServer, connection net.Conn, reader *bufio.Reader) {
		for {
			id := server.readHead(reader)
			if id == "" {
				return
			}
			_, _ = io.WriteString(connection, strings.ReplaceAll(text, "ID", id))
			if last {
				return
			}
		}
	}
}

func getRequest(id string) *endpoint.Request {
	return &endpoint.Request{Method: http.MethodGet, Target: "/x", Header: http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}}, ID: id}
}

func orderRequest(id string) *endpoint.Request {
	request := getRequest(id)
	request.Method, request.NewConnection = http.MethodPost, true
	request.Body, request.Length = io.NopCloser(strings.NewReader("12345")), 5
	return request
}

// exchange sends a request and reads its response to the end.
func exchange(client *endpoint.Client, address string, request *endpoint.Request) (body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	response, err := client.Send(ctx, address, request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return string(content), err
}

const okResponse = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 2\r\n\r\nok"

func TestFaultyResponseIsReportedWithoutResending(t *testing.T) {
	cases := map[string]struct {
		handle handler
		reason reason.Reason
		ran    reason.Ran
	}{
		"closes after the head":       {respondWith("", true), reason.EndpointFailed, reason.RanUnknown},
		"garbage":                     {respondWith("lorem ipsum\r\n\r\n", true), reason.EndpointFailed, reason.RanUnknown},
		"incomplete head":             {respondWith("HTTP/1.1 200 OK\r\nRequest-", true), reason.EndpointFailed, reason.RanUnknown},
		"endless head":                {respondWith("HTTP/1.1 200 OK\r\n"+strings.Repeat("A: "+strings.Repeat("b", 1000)+"\r\n", 200), false), reason.EndpointFailed, reason.RanUnknown},
		"short body":                  {respondWith("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 9\r\n\r\nhalf", true), reason.AnswerCut, reason.RanUnknown},
		"incomplete chunk":            {respondWith("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal", true), reason.AnswerCut, reason.RanUnknown},
		"missing last chunk":          {respondWith("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", true), reason.AnswerCut, reason.RanUnknown},
		"no declared length":          {respondWith("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n\r\nok", true), reason.AnswerCut, reason.RanUnknown},
		"two Content-Length headers":  {respondWith("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", false), reason.EndpointFailed, reason.RanUnknown},
		"another request's id":        {respondWith("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nok", false), reason.AnswerCrossed, reason.RanUnknown},
		"not run for another request": {respondWith("HTTP/1.1 503 No\r\nRequest-Id: other\r\nRequest-Not-Run: shed\r\nContent-Length: 0\r\n\r\n", false), reason.AnswerCrossed, reason.RanUnknown},
		"no id":                       {respondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false), reason.AnswerCrossed, reason.RanUnknown},
		"two ids":                     {respondWith("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nok", false), reason.AnswerCrossed, reason.RanUnknown},
		"endless interim responses":   {respondWith(strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", 50), false), reason.EndpointFailed, reason.RanUnknown},
		"another protocol":            {respondWith("HTTP/1.1 101 Switch\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", false), reason.EndpointFailed, reason.RanUnknown},
		"not run":                     {respondWith("HTTP/1.1 503 No\r\nRequest-Id: ID\r\nRequest-Not-Run: shed\r\nContent-Length: 0\r\n\r\n", false), reason.EndpointShed, reason.RanNo},
		"not run with status 200":     {respondWith("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nRequest-Not-Run: shed\r\nContent-Length: 0\r\n\r\n", false), reason.EndpointFailed, reason.RanUnknown},
		"truncated not run response":  {respondWith("HTTP/1.1 503 No\r\nRequest-Id: ID\r\nRequest-Not-Run: shed\r\nContent-Length: 5\r\n\r\n", true), reason.AnswerCut, reason.RanUnknown},
	}
	for name, c := range cases {
		for kind, request := range map[string]*endpoint.Request{"get": getRequest("r1"), "order": orderRequest("r1")} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				g := NewWithT(t)
				server := newFaultyServer(t, c.handle)
				_, err := exchange(endpoint.New(), server.address, request)
				refusal, ok := fault.As[*reason.Refusal](err)
				if shed, isShed := fault.As[*endpoint.NotRunError](err); isShed {
					refusal, ok = shed.Refusal, true
				}
				g.Expect(ok).To(BeTrue(), "%v", err)
				g.Expect(refusal.Reason).To(Equal(c.reason))
				g.Expect(refusal.Ran).To(Equal(c.ran))
				heads, conns, _ := server.counts()
				g.Expect(heads).To(Equal(1))
				g.Expect(conns).To(Equal(1))
			})
		}
	}
}

func TestConnectionReuseAfterCompleteResponse(t *testing.T) {
	cases := map[string]struct {
		response string
		reused   bool
	}{
		"plain":            {okResponse, true},
		"interim first":    {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n\r\n" + okResponse, true},
		"chunked":          {"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nLate: trailer\r\n\r\n", true},
		"over-long":        {okResponse + "more", false},
		"two responses":    {okResponse + okResponse, false},
		"connection close": {"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := newFaultyServer(t, respondWith(c.response, false))
			client := endpoint.New()
			for i := range 3 {
				body, err := exchange(client, server.address, getRequest(fmt.Sprint("r", i)))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal("ok"))
			}
			heads, conns, _ := server.counts()
			g.Expect(heads).To(Equal(3))
			g.Expect(conns == 1).To(Equal(c.reused), "%d connections", conns)
		})
	}
}

// The second request has an Idempotency-Key, so net/http.Transport would resend it
// when the reused connection closes.
func TestRequestIsNotResentWhenReusedConnectionClosesAfterHead(t *testing.T) {
	g := NewWithT(t)
	server := newFaultyServer(t, func(server *faultyServer, connection net.Conn, reader *bufio.Reader) {
		_, _ = io.WriteString(connection, strings.ReplaceAll(okResponse, "ID", server.readHead(reader)))
		server.readHead(reader)
	})
	client := endpoint.New()
	_, err := exchange(client, server.address, getRequest("r1"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = exchange(client, server.address, getRequest("r2"))
	refusal, _ := fault.As[*reason.Refusal](err)
	g.Expect(refusal.Ran).To(Equal(reason.RanUnknown))
	heads, conns, _ := server.counts()
	g.Expect(heads).To(Equal(2))
	g.Expect(conns).To(Equal(1))
}

func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	g := NewWithT(t)
	server := newFaultyServer(t, respondWith(okResponse, true))
	client := endpoint.New()
	for i := range 5 {
		g.Eventually(func() error { _, err := exchange(client, server.address, getRequest(fmt.Sprint("r", i))); return err }, testTimeout).Should(Succeed())
	}
}

func TestNewConnectionRequestsDoNotReuseConnections(t *testing.T) {
	g := NewWithT(t)
	server := newFaultyServer(t, func(server *faultyServer, connection net.Conn, reader *bufio.Reader) {
		for id := server.readHead(reader); id != ""; id = server.readHead(reader) {
			_, _ = io.CopyN(io.Discard, reader, 5)
			_, _ = io.WriteString(connection, strings.ReplaceAll(okResponse, "ID", id))
		}
	})
	client := endpoint.New()
	for i := range 3 {
		_, err := exchange(client, server.address, orderRequest(fmt.Sprint("r", i)))
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, conns, _ := server.counts()
	g.Expect(conns).To(Equal(3))
}

func TestDialErrorIsReportedAsNotRun(t *testing.T) {
	g := NewWithT(t)
	client := &endpoint.Client{Dial: func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }}
	_, err := exchange(client, "127.0.0.1:1", orderRequest("r1"))
	refusal, _ := fault.As[*reason.Refusal](err)
	g.Expect(refusal.Reason).To(Equal(reason.EndpointFailed))
	g.Expect(refusal.Ran).To(Equal(reason.RanNo))
}

// shortConn is a connection whose writes fail after n bytes.
type shortConn struct {
	net.Conn
	n int
}

func (s *shortConn) Write(buffer []byte) (int, error) { return min(s.n, len(buffer)), io.ErrClosedPipe }

func TestPartialHeadWriteIsReportedAsUnknown(t *testing.T) {
	for takes, ran := range map[int]reason.Ran{0: reason.RanNo, 1: reason.RanUnknown} {
		g := NewWithT(t)
		near, far := net.Pipe()
		defer far.Close()
		client := &endpoint.Client{Dial: func(context.Context, string, string) (net.Conn, error) { return &shortConn{near, takes}, nil }}
		_, err := exchange(client, "127.0.0.1:1", orderRequest("r1"))
		refusal, _ := fault.As[*reason.Refusal](err)
		g.Expect(refusal.Ran).To(Equal(ran))
	}
}

// A reused connection that accepted a part of the next head may have delivered it.
func TestPartialHeadWriteOnReusedConnectionIsNotResent(t *testing.T) {
	for takes, ran := range map[int]reason.Ran{0: "", 1: reason.RanUnknown} {
		g := NewWithT(t)
		server := newFaultyServer(t, respondWith(okResponse, false))
		dials := 0
		client := &endpoint.Client{Dial: func(_ context.Context, network, address string) (net.Conn, error) {
			connection, err := net.Dial(network, address)
			if dials++; dials == 1 {
				connection = &secondWriteFailsConn{Conn: connection, takes: takes}
			}
			return connection, err
		}}
		_, err := exchange(client, server.address, getRequest("r1"))
		g.Expect(err).NotTo(HaveOccurred())
		_, err = exchange(client, server.address, getRequest("r2"))
		if ran == "" {
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(dials).To(Equal(2))
			continue
		}
		refusal, _ := fault.As[*reason.Refusal](err)
		g.Expect(refusal.Ran).To(Equal(ran))
		g.Expect(dials).To(Equal(1))
	}
}

// secondWriteFailsConn is a connection whose first write succeeds. Each later write
// reports takes bytes written and fails.
type secondWriteFailsConn struct {
	net.Conn
	writes, takes int
}

func (s *secondWriteFailsConn) Write(buffer []byte) (int, error) {
	if s.writes++; s.writes == 1 {
		return s.Conn.Write(buffer)
	}
	return s.takes, io.ErrClosedPipe
}

// A request whose bytes a cut link held up reached its endpoint seconds after its deadline,
// when the link was back.
func TestRequestThatIsGivenUpResetsConnection(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	ended := make(chan error, 1)
	go func() {
		connection, err := listener.Accept()
		if err == nil {
			_, err = io.Copy(io.Discard, connection)
		}
		ended <- err
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err = endpoint.New().Send(ctx, listener.Addr().String(), getRequest("id-1"))
	g.Expect(err).To(HaveOccurred())
	g.Eventually(ended, "5s").Should(Receive(MatchError(syscall.ECONNRESET)))
}

func TestCancelledRequestClosesConnection(t *testing.T) {
	for _, started := range []string{"", "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 9\r\n\r\nhalf"} {
		g := NewWithT(t)
		server := newFaultyServer(t, respondWith(started, false))
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			NewWithT(t).Eventually(func() int { heads, _, _ := server.counts(); return heads }, testTimeout).Should(Equal(1))
			cancel()
		}()
		response, err := endpoint.New().Send(ctx, server.address, getRequest("r1"))
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		refusal, _ := fault.As[*reason.Refusal](err)
		g.Expect(refusal.Reason).To(Equal(reason.CallerGone))
		g.Expect(refusal.Ran).To(Equal(reason.RanUnknown))
		g.Eventually(func() int { _, _, closedConns := server.counts(); return closedConns }, testTimeout).Should(Equal(1))
	}
}

// trackedBody is a request body that records reads and whether it was closed.
type trackedBody struct {
	io.Reader
	reads  int
	closed chan struct{}
	once   sync.Once
}

func (b *trackedBody) Read(buffer []byte) (int, error) {
	b.reads++
	return b.Reader.Read(buffer)
}

func (b *trackedBody) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

func TestShedUploadLeavesBodyUnread(t *testing.T) {
	g := NewWithT(t)
	shedding := respondWith("HTTP/1.1 503 No\r\nRequest-Id: ID\r\nRequest-Not-Run: shed\r\nContent-Length: 0\r\n\r\n", false)
	server := newFaultyServer(t, func(server *faultyServer, connection net.Conn, reader *bufio.Reader) {
		// A client that does not wait for the response would send the body now.
		head, _ := reader.Peek(1)
		time.Sleep(100 * time.Millisecond)
		if len(head) > 0 {
			shedding(server, connection, reader)
		}
	})
	body := &trackedBody{Reader: strings.NewReader("12345"), closed: make(chan struct{})}
	client := &endpoint.Client{ExpectContinueTimeout: clock.Minute}
	_, err := exchange(client, server.address, &endpoint.Request{Method: "PUT", Target: "/x", ID: "r1", Body: body, Length: 5, ExpectContinue: true})
	shed, ok := fault.As[*endpoint.NotRunError](err)
	g.Expect(ok).To(BeTrue(), "%v", err)
	g.Expect(shed.Ran).To(Equal(reason.RanNo))
	g.Expect(body.reads).To(BeZero())
	g.Expect(body.closed).NotTo(BeClosed())
}

// notifyingReader closes bodyRead at the first read.
type notifyingReader struct {
	io.Reader
	once     sync.Once
	bodyRead chan struct{}
}

// Read implements io.Reader.
func (r *notifyingReader) Read(buffer []byte) (int, error) {
	r.once.Do(func() { close(r.bodyRead) })
	return r.Reader.Read(buffer)
}

func TestEarlyResponseStopsUpload(t *testing.T) {
	g := NewWithT(t)
	tooLarge := respondWith("HTTP/1.1 413 Big\r\nRequest-Id: ID\r\nContent-Length: 2\r\n\r\nok", false)
	bodyRead := make(chan struct{})
	server := newFaultyServer(t, func(server *faultyServer, connection net.Conn, reader *bufio.Reader) {
		// A body that was not read before the response stays open for another endpoint.
		<-bodyRead
		tooLarge(server, connection, reader)
	})
	reader, writer := io.Pipe()
	body := &trackedBody{Reader: &notifyingReader{Reader: reader, bodyRead: bodyRead}, closed: make(chan struct{})}
	go func() {
		<-body.closed
		_ = writer.CloseWithError(errors.New("closed"))
	}()
	content, err := exchange(endpoint.New(), server.address, &endpoint.Request{Method: "PUT", Target: "/x", ID: "r1", Body: body, Length: 1 << 30})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(content).To(Equal("ok"))
	g.Expect(body.closed).To(BeClosed())
	g.Eventually(func() int { _, _, closedConns := server.counts(); return closedConns }, testTimeout).Should(Equal(1))
}

func TestShortBodyClosesConnection(t *testing.T) {
	g := NewWithT(t)
	server := newFaultyServer(t, respondWith("HTTP/1.1 100 Continue\r\n\r\n", false))
	body := &trackedBody{Reader: strings.NewReader("123"), closed: make(chan struct{})}
	_, err := exchange(endpoint.New(), server.address, &endpoint.Request{Method: "PUT", Target: "/x", ID: "r1", Body: body, Length: 5, ExpectContinue: true})
	refusal, _ := fault.As[*reason.Refusal](err)
	g.Expect(refusal.Reason).To(Equal(reason.BodyShort))
	g.Expect(refusal.Ran).To(Equal(reason.RanUnknown))
	g.Eventually(func() int { _, _, closedConns := server.counts(); return closedConns }, testTimeout).Should(Equal(1))
}

func TestHopByHopHeadersAndCredentialsAreNotForwarded(t *testing.T) {
	g := NewWithT(t)
	server := newFaultyServer(t, respondWith("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nConnection: X-Hop\r\nX-Hop: a\r\nRefusal-Reason: forged\r\nContent-Length: 2\r\n\r\nok", false))
	request := getRequest("r1")
	for _, name := range []string{"Authorization", "Proxy-Authorization", "Te", "Trailer", "Upgrade", "X-Listed", "Keep-Alive"} {
		request.Header.Set(name, "secret")
	}
	request.Header.Set("Connection", "close, x-listed")
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	response, err := endpoint.New().Send(ctx, server.address, request)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	g.Expect(response.Header).To(Equal(http.Header{"Request-Id": {"r1"}}))
	server.mu.Lock()
	defer server.mu.Unlock()
	g.Expect(server.heads[0]).NotTo(ContainSubstring("secret"))
	g.Expect(server.heads[0]).To(ContainSubstring("Deadline-Ms: "))
}

func TestEndOfTheConnectionBeforeAResponseIsTold(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		ended bool
	}{
		"closed":         {"", true},
		"half a head":    {"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n", false},
		"other protocol": {"garbage\r\n\r\n", false},
		"half a body":    {"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 9\r\n\r\nab", false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := newFaultyServer(t, respondWith(c.text, true))
			_, err := exchange(endpoint.New(), server.address, getRequest("r1"))
			g.Expect(err).To(HaveOccurred())
			_, ended := fault.As[*endpoint.EndedError](err)
			g.Expect(ended).To(Equal(c.ended), "%v", err)
		})
	}
}

func TestStatementOfATurnedAwayRequest(t *testing.T) {
	for value, pause := range map[string]clock.Millis{
		"2": 2 * clock.Second, "0.25": 250, " 1 ": clock.Second, "1e9": clock.Hour,
		"": 0, "0": 0, "-1": 0, "NaN": 0, "Inf": 0, "soon": 0, "Fri, 04 Dec 2026 10:00:00 GMT": 0,
	} {
		t.Run(value, func(t *testing.T) {
			g := NewWithT(t)
			head := "HTTP/1.1 503 No\r\nRequest-Id: ID\r\nRequest-Not-Run: full\r\nServer-Leaving: 1\r\nContent-Length: 0\r\nRetry-After: " + value + "\r\n\r\n"
			server := newFaultyServer(t, respondWith(head, true))
			client := &endpoint.Client{Names: endpoint.HeaderNames{Leaving: "Server-Leaving"}}
			_, err := exchange(client, server.address, getRequest("r1"))
			notRun, ok := fault.As[*endpoint.NotRunError](err)
			g.Expect(ok).To(BeTrue(), "%v", err)
			g.Expect(notRun.Statement).To(Equal(endpoint.Statement{IsLeaving: true, Pause: pause}))
		})
	}
}

// Guards against a connection that remembers ever more ids, or forgets some.
func TestConnectionEndsAfterItsLastID(t *testing.T) {
	g := NewWithT(t)
	server := newFaultyServer(t, respondWith(okResponse, false))
	client := endpoint.New()
	const idsOfAConnection = 512
	for i := range 2*idsOfAConnection + 1 {
		_, err := exchange(client, server.address, getRequest(fmt.Sprint("r", i)))
		g.Expect(err).NotTo(HaveOccurred())
		_, conns, _ := server.counts()
		g.Expect(conns).To(Equal(1+i/idsOfAConnection), "after %d requests", i+1)
	}
}
