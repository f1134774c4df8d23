package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/wire/caller"
)

// pipelineHandler responds to GET requests beside each other and to others alone, once
// release has received a value or is closed. It records what runs.
type pipelineHandler struct {
	server  *caller.Server
	release chan struct{}

	mu sync.Mutex
	// began holds the paths of the requests that ran, in order, and cancelled those whose
	// caller left. running counts those that run, most is its maximum, runningUnsafe
	// counts the unsafe ones of them, and shared those that began beside an unsafe one, or
	// are one and began beside others. Guarded by mu.
	began, cancelled                     []string
	running, most, runningUnsafe, shared int
}

func (h *pipelineHandler) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	isSafe := request.Method == http.MethodGet
	if err := caller.AwaitTurn(request.Context(), request, isSafe); err != nil {
		h.server.Refusals.Refuse(w, err, nil)
		return
	}
	h.enter(request.URL.Path, isSafe)
	defer h.leave(isSafe)
	select {
	case <-h.release:
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(w, answerTo(request.URL.Path))
	case <-request.Context().Done():
		h.mu.Lock()
		h.cancelled = append(h.cancelled, request.URL.Path)
		h.mu.Unlock()
	}
}

// answerTo returns a path's response, which is up to 100 kB long.
func answerTo(path string) string { return strings.Repeat(path+" ", len(path)%4*10_000+1) }

func (h *pipelineHandler) enter(path string, isSafe bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.began = append(h.began, path)
	h.running++
	if !isSafe {
		h.runningUnsafe++
	}
	if h.runningUnsafe > 0 && h.running > 1 {
		h.shared++
	}
	h.most = max(h.most, h.running)
}

func (h *pipelineHandler) leave(isSafe bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running--
	if !isSafe {
		h.runningUnsafe--
	}
}

func (h *pipelineHandler) counts() (began, running, most, shared int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.began), h.running, h.most, h.shared
}

func (h *pipelineHandler) runningCount() int {
	_, running, _, _ := h.counts()
	return running
}

func (h *pipelineHandler) allCancelled() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.cancelled...)
}

func newPipelineServer(t testing.TB, configure func(*caller.Server)) (*testServer, *pipelineHandler) {
	h := &pipelineHandler{release: make(chan struct{})}
	ts := newTestServer(t, func(s *caller.Server) {
		h.server, s.Handler = s, h
		if configure != nil {
			configure(s)
		}
	})
	return ts, h
}

func rawGet(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func rawPost(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// expectAnswers reads the responses to the paths, in order, and returns the last one.
func expectAnswers(g *WithT, reader *bufio.Reader, paths ...string) (last *http.Response) {
	g.THelper()
	for _, path := range paths {
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred(), path)
		content, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(HaveOccurred(), path)
		g.Expect(string(content) == answerTo(path)).To(BeTrue(), "%s was answered with %d bytes: %.40q", path, len(content), content)
		last = response
	}
	return last
}

func TestPipelinedResponsesComeInOrderHoweverRequestsEnd(t *testing.T) {
	g := NewWithT(t)
	ts, h := newPipelineServer(t, nil)
	connection := ts.dial(g)
	defer connection.Close()
	var raw strings.Builder
	var paths []string
	for i := range 12 {
		path := "/" + strings.Repeat("a", i)
		paths = append(paths, path)
		raw.WriteString(rawGet(path))
	}
	for range 5 {
		_, _ = io.WriteString(connection, raw.String())
		g.Eventually(h.runningCount, testTimeout).Should(Equal(len(paths)))
		go func() {
			for range paths {
				h.release <- struct{}{}
			}
		}()
		expectAnswers(g, bufio.NewReaderSize(connection, 1), paths...)
	}
}

func TestUnsafeRequestRunsAlone(t *testing.T) {
	g := NewWithT(t)
	ts, h := newPipelineServer(t, nil)
	close(h.release)
	connection := ts.dial(g)
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for range 20 {
		_, _ = io.WriteString(connection, rawGet("/a")+rawGet("/b")+rawPost("/c", "body")+rawGet("/d")+rawPost("/e", "")+rawPost("/f", strings.Repeat("b", 200<<10))+rawGet("/g"))
		expectAnswers(g, reader, "/a", "/b", "/c", "/d", "/e", "/f", "/g")
	}
	began, _, _, shared := h.counts()
	g.Expect(began).To(Equal(140))
	g.Expect(shared).To(BeZero())
}

func TestCallerWhoLeavesEndsAllRequestsOfConnection(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn) error{
		"close": (*net.TCPConn).Close,
		"reset": func(c *net.TCPConn) error {
			_ = c.SetLinger(0)
			return c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ts, h := newPipelineServer(t, nil)
			connection := ts.dial(g)
			_, _ = io.WriteString(connection, rawGet("/a")+rawGet("/b")+rawPost("/c", "body")+rawGet("/d"))
			g.Eventually(h.runningCount, testTimeout).Should(Equal(2))
			g.Expect(leave(connection.(*net.TCPConn))).To(Succeed())
			// No handler is released: only the caller's leaving can end them.
			g.Eventually(h.allCancelled, testTimeout).Should(ConsistOf("/a", "/b"))
			g.Eventually(h.runningCount, testTimeout).Should(BeZero())
			g.Consistently(h.allCancelled, 50*time.Millisecond).Should(HaveLen(2))
		})
	}
}

const (
	requestsInFlight = 16
	sentRequests     = 100
)

func TestRequestsInFlightOfConnectionAreBounded(t *testing.T) {
	g := NewWithT(t)
	ts, h := newPipelineServer(t, nil)
	connection := ts.dial(g)
	defer connection.Close()
	_, _ = io.WriteString(connection, strings.Repeat(rawGet("/a"), sentRequests))
	g.Eventually(h.runningCount, testTimeout).Should(Equal(requestsInFlight))
	g.Consistently(h.runningCount, 50*time.Millisecond).Should(Equal(requestsInFlight))
	close(h.release)
	reader := bufio.NewReader(connection)
	for range sentRequests {
		expectAnswers(g, reader, "/a")
	}
	began, _, most, _ := h.counts()
	g.Expect(began).To(Equal(sentRequests))
	g.Expect(most).To(Equal(requestsInFlight))
}

func TestPipelinedRequestsCountAsConnections(t *testing.T) {
	g := NewWithT(t)
	ts, h := newPipelineServer(t, func(s *caller.Server) { s.MaxConnections = 3 })
	first, second := ts.dial(g), ts.dial(g)
	defer first.Close()
	defer second.Close()
	_, _ = io.WriteString(second, rawGet("/a"))
	g.Eventually(h.runningCount, testTimeout).Should(Equal(1))
	_, _ = io.WriteString(first, strings.Repeat(rawGet("/b"), 5))
	g.Eventually(h.runningCount, testTimeout).Should(Equal(3))
	g.Consistently(h.runningCount, 50*time.Millisecond).Should(Equal(3))
	close(h.release)
	expectAnswers(g, bufio.NewReader(first), "/b", "/b", "/b", "/b", "/b")
	expectAnswers(g, bufio.NewReader(second), "/a")
	// The room is given back.
	third := ts.dial(g)
	defer third.Close()
	_, _ = io.WriteString(third, rawGet("/c"))
	expectAnswers(g, bufio.NewReader(third), "/c")
}

const (
	// maxAcceptedBytes is more than the kernel buffers of a connection.
	maxAcceptedBytes = 16 << 20
	longPathBytes    = 8<<10 - 1
)

func TestCallerWhoDoesNotReadIsNotReadFurther(t *testing.T) {
	g := NewWithT(t)
	ts, h := newPipelineServer(t, nil)
	connection := ts.dial(g)
	defer connection.Close()
	request := rawGet("/" + strings.Repeat("a", longPathBytes))
	accepted := 0
	g.Expect(connection.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))).To(Succeed())
	for accepted < 2*maxAcceptedBytes {
		n, err := io.WriteString(connection, request)
		if accepted += n; err != nil {
			break
		}
	}
	g.Expect(accepted).To(BeNumerically("<", maxAcceptedBytes))
	close(h.release)
	g.Expect(connection.SetWriteDeadline(time.Time{})).To(Succeed())
	reader := bufio.NewReader(connection)
	for range accepted / len(request) {
		expectAnswers(g, reader, "/"+strings.Repeat("a", longPathBytes))
	}
}

func TestNothingBehindResponseThatClosesIsAnswered(t *testing.T) {
	g := NewWithT(t)
	var behindAlone atomic.Int32
	ts := newTestServer(t, func(s *caller.Server) {
		s.Handler = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			_ = caller.AwaitTurn(request.Context(), request, request.URL.Path != "/alone")
			switch request.URL.Path {
			case "/last", "/alone":
				w.Header().Set("Connection", "close")
			case "/behind/alone":
				behindAlone.Add(1)
			}
			_, _ = io.WriteString(w, answerTo(request.URL.Path))
		})
	})
	for _, closing := range []string{"/last", "/alone"} {
		connection := ts.dial(g)
		_, _ = io.WriteString(connection, rawGet("/a")+rawGet(closing)+strings.Repeat(rawGet("/behind"+closing), 20))
		reader := bufio.NewReader(connection)
		g.Expect(expectAnswers(g, reader, "/a", closing).Close).To(BeTrue())
		rest, err := io.ReadAll(reader)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(rest)).To(BeEmpty())
		_ = connection.Close()
	}
	g.Expect(behindAlone.Load()).To(BeZero(), "a request ran behind one that must run alone and closes the connection")
}

func TestBadInputBehindGoodRequestIsRefusedInTurn(t *testing.T) {
	for name, c := range map[string]struct {
		raw  string
		want reason.Reason
	}{
		"garbage":        {"lorem ipsum\r\n\r\n", reason.BadRequest},
		"head too large": {"GET /b HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 40<<10) + "\r\n\r\n", reason.HeadTooLarge},
		"slow head":      {"GET /b HTTP/1.1\r\nHost:", reason.HeadTooSlow},
		"folded length":  {"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n 30\r\n\r\n" + rawGet("/smuggled"), reason.BadRequest},
		"hidden length":  {"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length:" + strings.Repeat(" ", 80) + "30\r\n\r\n" + rawGet("/smuggled"), reason.BadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			ts, h := newPipelineServer(t, func(s *caller.Server) { s.HeadTimeout = 300 })
			connection := ts.dial(g)
			defer connection.Close()
			go func() { _, _ = io.WriteString(connection, rawGet("/a")+rawGet("/a")+c.raw) }()
			g.Eventually(h.runningCount, testTimeout).Should(Equal(2))
			close(h.release)
			reader := bufio.NewReader(connection)
			expectAnswers(g, reader, "/a", "/a")
			response, err := http.ReadResponse(reader, nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.Header.Get(caller.ReasonHeader)).To(BeEquivalentTo(c.want))
			g.Expect(response.Header.Get(caller.RanHeader)).To(Equal("no"))
			_, _ = io.Copy(io.Discard, response.Body)
			rest, _ := io.ReadAll(reader)
			g.Expect(string(rest)).To(BeEmpty())
			began, _, _, _ := h.counts()
			g.Expect(began).To(Equal(2))
			g.Expect(ts.refusalCount(c.want)).To(BeEquivalentTo(1))
		})
	}
}

func TestShutdownAnswersPipelinedRequestsAndClosesBehindLast(t *testing.T) {
	g := NewWithT(t)
	ts, h := newPipelineServer(t, func(s *caller.Server) { s.IdleCloseDelay = 200 })
	connection := ts.dial(g)
	defer connection.Close()
	_, _ = io.WriteString(connection, rawGet("/a")+rawGet("/b")+rawGet("/c")+rawPost("/d", "body"))
	g.Eventually(h.runningCount, testTimeout).Should(Equal(3))
	stopped := make(chan error, 1)
	go func() { stopped <- ts.Shutdown(context.Background()) }()
	g.Eventually(func() int { return ts.roundTrip(g, rawGet("/-/ready")).StatusCode }, testTimeout).Should(Equal(http.StatusServiceUnavailable))
	close(h.release)
	reader := bufio.NewReader(connection)
	g.Expect(expectAnswers(g, reader, "/a").Close).To(BeFalse())
	g.Expect(expectAnswers(g, reader, "/b").Close).To(BeFalse())
	g.Expect(expectAnswers(g, reader, "/c").Close).To(BeFalse(), "the request behind had begun")
	g.Expect(expectAnswers(g, reader, "/d").Close).To(BeTrue())
	_, err := reader.ReadByte()
	g.Expect(err).To(Equal(io.EOF))
	_ = connection.Close()
	g.Eventually(stopped, testTimeout).Should(Receive(BeNil()))
}

// A response that breaks off, and a body that is too large, end the connection: what lies
// behind is not run and not answered.
func TestNothingBehindBrokenExchangeIsAnswered(t *testing.T) {
	var behind atomic.Int32
	ts := newTestServer(t, func(s *caller.Server) {
		count := countBody(s)
		s.Handler = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			_ = caller.AwaitTurn(request.Context(), request, request.URL.Path == "/a")
			switch request.URL.Path {
			case "/broken":
				w.Header().Set("Content-Length", "1000")
				_, _ = io.WriteString(w, "the beginning")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			case "/behind":
				behind.Add(1)
			}
			count(w, request)
		})
	})
	for name, raw := range map[string]string{
		"response":          rawGet("/broken"),
		"body":              rawPost("/large", strings.Repeat("a", 2<<20)),
		"body of one chunk": "POST /large HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n100001\r\n" + strings.Repeat("a", 1<<20+1) + "\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			connection := ts.dial(g)
			defer connection.Close()
			go func() { _, _ = io.WriteString(connection, rawGet("/a")+raw+strings.Repeat(rawGet("/behind"), 3)) }()
			reader := bufio.NewReader(connection)
			for want := range 2 {
				response, err := http.ReadResponse(reader, nil)
				g.Expect(err).NotTo(HaveOccurred(), "response %d", want)
				_, _ = io.Copy(io.Discard, response.Body)
			}
			rest, _ := io.ReadAll(reader)
			g.Expect(string(rest)).To(BeEmpty())
			g.Expect(behind.Load()).To(BeZero())
		})
	}
}
