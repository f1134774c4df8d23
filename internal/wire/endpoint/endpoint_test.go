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
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
)

const generous = 10 * time.Second

// script answers one connection of a hostile server.
type script func(h *hostile, connection net.Conn, reader *bufio.Reader)

// hostile is a raw TCP server in place of an endpoint.
type hostile struct {
	address string

	mu sync.Mutex
	// heads holds each request head that came. Guarded by mu.
	heads []string
	// conns counts connections, ended those that the client has closed. Guarded by mu.
	conns, ended int
}

func newHostile(t *testing.T, answer script) *hostile {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	h := &hostile{address: listener.Addr().String()}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.conns++
			h.mu.Unlock()
			go func() {
				defer connection.Close()
				answer(h, connection, bufio.NewReader(connection))
			}()
		}
	}()
	return h
}

// head reads one request's head and returns its id, empty at the end.
func (h *hostile) head(reader *bufio.Reader) (id string) {
	var head strings.Builder
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			h.mu.Lock()
			h.ended++
			h.mu.Unlock()
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
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heads = append(h.heads, head.String())
	return id
}

func (h *hostile) counts() (heads, conns, ended int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.heads), h.conns, h.ended
}

// says answers each head with a text, in which ID stands for the request's id,
// and then waits for more, or closes if last is set.
func says(text string, last bool) script {
	return func(h *hostile, connection net.Conn, reader *bufio.Reader) {
		for {
			id := h.head(reader)
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

func get(id string) *endpoint.Request {
	return &endpoint.Request{Method: http.MethodGet, Target: "/x", Header: http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}}, ID: id}
}

func order(id string) *endpoint.Request {
	request := get(id)
	request.Method, request.NewConnection = http.MethodPost, true
	request.Body, request.Length = io.NopCloser(strings.NewReader("12345")), 5
	return request
}

// exchange sends a request and reads its whole answer.
func exchange(client *endpoint.Client, address string, request *endpoint.Request) (body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), generous)
	defer cancel()
	answer, err := client.Send(ctx, address, request)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	return string(content), err
}

const whole = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 2\r\n\r\nok"

func TestHostileEndpointsNeverGetARequestTwiceNorHaveItCalledNotRun(t *testing.T) {
	cases := map[string]struct {
		answer script
		why    reason.Reason
		ran    reason.Ran
	}{
		"closes after the head":        {says("", true), reason.EndpointFailed, reason.RanUnknown},
		"garbage":                      {says("lorem ipsum\r\n\r\n", true), reason.EndpointFailed, reason.RanUnknown},
		"half a head":                  {says("HTTP/1.1 200 OK\r\nRequest-", true), reason.EndpointFailed, reason.RanUnknown},
		"a head without end":           {says("HTTP/1.1 200 OK\r\n"+strings.Repeat("A: "+strings.Repeat("b", 1000)+"\r\n", 200), false), reason.EndpointFailed, reason.RanUnknown},
		"short body":                   {says("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 9\r\n\r\nhalf", true), reason.AnswerCut, reason.RanUnknown},
		"cut chunks":                   {says("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal", true), reason.AnswerCut, reason.RanUnknown},
		"chunks without the last":      {says("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", true), reason.AnswerCut, reason.RanUnknown},
		"no declared length":           {says("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n\r\nok", true), reason.AnswerCut, reason.RanUnknown},
		"two lengths":                  {says("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", false), reason.EndpointFailed, reason.RanUnknown},
		"another request's id":         {says("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nok", false), reason.AnswerCrossed, reason.RanUnknown},
		"another's word of not run":    {says("HTTP/1.1 503 No\r\nRequest-Id: other\r\nRequest-Not-Run: shed\r\nContent-Length: 0\r\n\r\n", false), reason.AnswerCrossed, reason.RanUnknown},
		"no id":                        {says("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false), reason.AnswerCrossed, reason.RanUnknown},
		"two ids":                      {says("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nok", false), reason.AnswerCrossed, reason.RanUnknown},
		"interim answers without end":  {says(strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", 50), false), reason.EndpointFailed, reason.RanUnknown},
		"another protocol":             {says("HTTP/1.1 101 Switch\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", false), reason.EndpointFailed, reason.RanUnknown},
		"a word of not run":            {says("HTTP/1.1 503 No\r\nRequest-Id: ID\r\nRequest-Not-Run: shed\r\nContent-Length: 0\r\n\r\n", false), reason.EndpointShed, reason.RanNo},
		"a word of not run in success": {says("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nRequest-Not-Run: shed\r\nContent-Length: 0\r\n\r\n", false), reason.EndpointFailed, reason.RanUnknown},
		"a cut word of not run":        {says("HTTP/1.1 503 No\r\nRequest-Id: ID\r\nRequest-Not-Run: shed\r\nContent-Length: 5\r\n\r\n", true), reason.AnswerCut, reason.RanUnknown},
	}
	for name, hostility := range cases {
		for kind, request := range map[string]*endpoint.Request{"get": get("r1"), "order": order("r1")} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				g := NewWithT(t)
				h := newHostile(t, hostility.answer)
				_, err := exchange(endpoint.New(), h.address, request)
				refusal, ok := fault.As[*reason.Refusal](err)
				if shed, isShed := fault.As[*endpoint.NotRunError](err); isShed {
					refusal, ok = shed.Refusal, true
				}
				g.Expect(ok).To(BeTrue(), "%v", err)
				g.Expect(refusal.Reason).To(Equal(hostility.why))
				g.Expect(refusal.Ran).To(Equal(hostility.ran))
				heads, conns, _ := h.counts()
				g.Expect(heads).To(Equal(1))
				g.Expect(conns).To(Equal(1))
			})
		}
	}
}

func TestWholeAnswersPassAndPoisonedConnectionsAreNotReused(t *testing.T) {
	cases := map[string]struct {
		answer string
		reused bool
	}{
		"plain":            {whole, true},
		"interim first":    {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n\r\n" + whole, true},
		"chunked":          {"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nLate: trailer\r\n\r\n", true},
		"over-long":        {whole + "more", false},
		"answered twice":   {whole + whole, false},
		"asks for a close": {"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHostile(t, says(c.answer, false))
			client := endpoint.New()
			for i := range 3 {
				body, err := exchange(client, h.address, get(fmt.Sprint("r", i)))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal("ok"))
			}
			heads, conns, _ := h.counts()
			g.Expect(heads).To(Equal(3))
			g.Expect(conns == 1).To(Equal(c.reused), "%d connections", conns)
		})
	}
}

// net/http.Transport would send the second request again, for it may be replayed.
func TestAKeptConnectionThatDiesAfterTheHeadIsNoReasonToSendAgain(t *testing.T) {
	g := NewWithT(t)
	h := newHostile(t, func(h *hostile, connection net.Conn, reader *bufio.Reader) {
		_, _ = io.WriteString(connection, strings.ReplaceAll(whole, "ID", h.head(reader)))
		h.head(reader)
	})
	client := endpoint.New()
	_, err := exchange(client, h.address, get("r1"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = exchange(client, h.address, get("r2"))
	refusal, _ := fault.As[*reason.Refusal](err)
	g.Expect(refusal.Ran).To(Equal(reason.RanUnknown))
	heads, conns, _ := h.counts()
	g.Expect(heads).To(Equal(2))
	g.Expect(conns).To(Equal(1))
}

func TestAKeptConnectionFoundClosedIsReplaced(t *testing.T) {
	g := NewWithT(t)
	h := newHostile(t, says(whole, true))
	client := endpoint.New()
	for i := range 5 {
		g.Eventually(func() error { _, err := exchange(client, h.address, get(fmt.Sprint("r", i))); return err }, generous).Should(Succeed())
	}
}

func TestOrdersTakeAConnectionOfTheirOwn(t *testing.T) {
	g := NewWithT(t)
	h := newHostile(t, func(h *hostile, connection net.Conn, reader *bufio.Reader) {
		for id := h.head(reader); id != ""; id = h.head(reader) {
			_, _ = io.CopyN(io.Discard, reader, 5)
			_, _ = io.WriteString(connection, strings.ReplaceAll(whole, "ID", id))
		}
	})
	client := endpoint.New()
	for i := range 3 {
		_, err := exchange(client, h.address, order(fmt.Sprint("r", i)))
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, conns, _ := h.counts()
	g.Expect(conns).To(Equal(3))
}

func TestARefusedDialIsNotRun(t *testing.T) {
	g := NewWithT(t)
	client := &endpoint.Client{Dial: func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }}
	_, err := exchange(client, "127.0.0.1:1", order("r1"))
	refusal, _ := fault.As[*reason.Refusal](err)
	g.Expect(refusal.Reason).To(Equal(reason.EndpointFailed))
	g.Expect(refusal.Ran).To(Equal(reason.RanNo))
}

// lossy is a connection that fails after it took some bytes of its first write.
type lossy struct {
	net.Conn
	takes int
}

func (l *lossy) Write(buffer []byte) (int, error) { return min(l.takes, len(buffer)), io.ErrClosedPipe }

func TestAWriteThatTookOneByteMayHaveRun(t *testing.T) {
	for takes, ran := range map[int]reason.Ran{0: reason.RanNo, 1: reason.RanUnknown} {
		g := NewWithT(t)
		near, far := net.Pipe()
		defer far.Close()
		client := &endpoint.Client{Dial: func(context.Context, string, string) (net.Conn, error) { return &lossy{near, takes}, nil }}
		_, err := exchange(client, "127.0.0.1:1", order("r1"))
		refusal, _ := fault.As[*reason.Refusal](err)
		g.Expect(refusal.Ran).To(Equal(ran))
	}
}

// A kept connection that takes a part of the next head may have delivered it.
func TestAKeptConnectionThatTookOneByteIsNotReplaced(t *testing.T) {
	for takes, ran := range map[int]reason.Ran{0: "", 1: reason.RanUnknown} {
		g := NewWithT(t)
		h := newHostile(t, says(whole, false))
		dials := 0
		client := &endpoint.Client{Dial: func(_ context.Context, network, address string) (net.Conn, error) {
			connection, err := net.Dial(network, address)
			if dials++; dials == 1 {
				connection = &dying{Conn: connection, takes: takes}
			}
			return connection, err
		}}
		_, err := exchange(client, h.address, get("r1"))
		g.Expect(err).NotTo(HaveOccurred())
		_, err = exchange(client, h.address, get("r2"))
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

// dying is a connection that works for one write and then takes a few bytes.
type dying struct {
	net.Conn
	writes, takes int
}

func (d *dying) Write(buffer []byte) (int, error) {
	if d.writes++; d.writes == 1 {
		return d.Conn.Write(buffer)
	}
	return d.takes, io.ErrClosedPipe
}

func TestACancelledRequestClosesItsConnection(t *testing.T) {
	for _, started := range []string{"", "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 9\r\n\r\nhalf"} {
		g := NewWithT(t)
		h := newHostile(t, says(started, false))
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			NewWithT(t).Eventually(func() int { heads, _, _ := h.counts(); return heads }, generous).Should(Equal(1))
			cancel()
		}()
		answer, err := endpoint.New().Send(ctx, h.address, get("r1"))
		if err == nil {
			_, err = io.ReadAll(answer.Body)
		}
		refusal, _ := fault.As[*reason.Refusal](err)
		g.Expect(refusal.Reason).To(Equal(reason.CallerGone))
		g.Expect(refusal.Ran).To(Equal(reason.RanUnknown))
		g.Eventually(func() int { _, _, ended := h.counts(); return ended }, generous).Should(Equal(1))
	}
}

// upload is a body that notes whether it was read or closed.
type upload struct {
	io.Reader
	reads  int
	closed chan struct{}
	once   sync.Once
}

func (u *upload) Read(buffer []byte) (int, error) {
	u.reads++
	return u.Reader.Read(buffer)
}

func (u *upload) Close() error {
	u.once.Do(func() { close(u.closed) })
	return nil
}

func TestAShedUploadHasLostNothingOfItsBody(t *testing.T) {
	g := NewWithT(t)
	shedding := says("HTTP/1.1 503 No\r\nRequest-Id: ID\r\nRequest-Not-Run: shed\r\nContent-Length: 0\r\n\r\n", false)
	h := newHostile(t, func(h *hostile, connection net.Conn, reader *bufio.Reader) {
		// A body that did not wait would come now.
		head, _ := reader.Peek(1)
		time.Sleep(100 * time.Millisecond)
		if len(head) > 0 {
			shedding(h, connection, reader)
		}
	})
	body := &upload{Reader: strings.NewReader("12345"), closed: make(chan struct{})}
	client := &endpoint.Client{ExpectContinueTimeout: clock.Minute}
	_, err := exchange(client, h.address, &endpoint.Request{Method: "PUT", Target: "/x", ID: "r1", Body: body, Length: 5, ExpectContinue: true})
	shed, ok := fault.As[*endpoint.NotRunError](err)
	g.Expect(ok).To(BeTrue(), "%v", err)
	g.Expect(shed.Ran).To(Equal(reason.RanNo))
	g.Expect(body.reads).To(BeZero())
	g.Expect(body.closed).NotTo(BeClosed())
}

// signalling closes begun at its first read.
type signalling struct {
	io.Reader
	once  sync.Once
	begun chan struct{}
}

// Read implements io.Reader.
func (s *signalling) Read(buffer []byte) (int, error) {
	s.once.Do(func() { close(s.begun) })
	return s.Reader.Read(buffer)
}

func TestAnEarlyAnswerEndsTheBody(t *testing.T) {
	g := NewWithT(t)
	tooLarge := says("HTTP/1.1 413 Big\r\nRequest-Id: ID\r\nContent-Length: 2\r\n\r\nok", false)
	begun := make(chan struct{})
	h := newHostile(t, func(h *hostile, connection net.Conn, reader *bufio.Reader) {
		// A body that was not begun when the answer comes stays open, for another endpoint.
		<-begun
		tooLarge(h, connection, reader)
	})
	reader, writer := io.Pipe()
	body := &upload{Reader: &signalling{Reader: reader, begun: begun}, closed: make(chan struct{})}
	go func() {
		<-body.closed
		_ = writer.CloseWithError(errors.New("closed"))
	}()
	content, err := exchange(endpoint.New(), h.address, &endpoint.Request{Method: "PUT", Target: "/x", ID: "r1", Body: body, Length: 1 << 30})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(content).To(Equal("ok"))
	g.Expect(body.closed).To(BeClosed())
	g.Eventually(func() int { _, _, ended := h.counts(); return ended }, generous).Should(Equal(1))
}

func TestAShortBodyCutsTheRequest(t *testing.T) {
	g := NewWithT(t)
	h := newHostile(t, says("HTTP/1.1 100 Continue\r\n\r\n", false))
	body := &upload{Reader: strings.NewReader("123"), closed: make(chan struct{})}
	_, err := exchange(endpoint.New(), h.address, &endpoint.Request{Method: "PUT", Target: "/x", ID: "r1", Body: body, Length: 5, ExpectContinue: true})
	refusal, _ := fault.As[*reason.Refusal](err)
	g.Expect(refusal.Reason).To(Equal(reason.BodyShort))
	g.Expect(refusal.Ran).To(Equal(reason.RanUnknown))
	g.Eventually(func() int { _, _, ended := h.counts(); return ended }, generous).Should(Equal(1))
}

func TestHeadersOfOneHopAndKeysStayHere(t *testing.T) {
	g := NewWithT(t)
	h := newHostile(t, says("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nConnection: X-Hop\r\nX-Hop: a\r\nRefusal-Reason: forged\r\nContent-Length: 2\r\n\r\nok", false))
	request := get("r1")
	for _, name := range []string{"Authorization", "Proxy-Authorization", "Te", "Trailer", "Upgrade", "X-Listed", "Keep-Alive"} {
		request.Header.Set(name, "secret")
	}
	request.Header.Set("Connection", "close, x-listed")
	ctx, cancel := context.WithTimeout(context.Background(), generous)
	defer cancel()
	answer, err := endpoint.New().Send(ctx, h.address, request)
	g.Expect(err).NotTo(HaveOccurred())
	defer answer.Body.Close()
	g.Expect(answer.Header).To(Equal(http.Header{"Request-Id": {"r1"}}))
	h.mu.Lock()
	defer h.mu.Unlock()
	g.Expect(h.heads[0]).NotTo(ContainSubstring("secret"))
	g.Expect(h.heads[0]).To(ContainSubstring("Deadline-Ms: "))
}
