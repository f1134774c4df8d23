package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/metric"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const testTimeout = 20 * time.Second

// testServer is a caller.Server on a loopback address with its counters and log.
type testServer struct {
	*caller.Server
	address string
	scope   tally.TestScope
	logger  logrus.FieldLogger
	log     *test.Hook
}

// countBody returns a handler that responds with the number of bytes in the body.
func countBody(server *caller.Server) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		_, err := caller.ReadHead(request)
		var read int64
		if err == nil {
			read, err = io.Copy(io.Discard, caller.NewBody(w, request, 1<<20, time.Now().Add(testTimeout)))
		}
		if err != nil {
			server.Refusals.Refuse(w, err, nil)
			return
		}
		fmt.Fprintf(w, "read %d\n", read)
	}
}

func newTestServer(t testing.TB, configure func(*caller.Server)) *testServer {
	log, hook := test.NewNullLogger()
	log.SetLevel(logrus.DebugLevel)
	scope := tally.NewTestScope("", nil)
	server := &caller.Server{Refusals: caller.RefusalWriter{Counters: metric.NewReasonCounters(scope, "refusals"), Log: log}, IdleCloseDelay: 1}
	server.Handler = countBody(server)
	if configure != nil {
		configure(server)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		if err := server.Shutdown(ctx); err == context.DeadlineExceeded {
			t.Error("a connection or request did not end")
		}
		_ = listener.Close()
		<-served
	})
	return &testServer{server, listener.Addr().String(), scope, log, hook}
}

// refusalCount returns the counter of refusals with a reason.
func (ts *testServer) refusalCount(counted reason.Reason) int64 {
	counter := ts.scope.Snapshot().Counters()["refusals+reason="+string(counted)]
	if counter == nil {
		return 0
	}
	return counter.Value()
}

func (ts *testServer) dial(g *WithT) net.Conn {
	connection, err := net.Dial("tcp", ts.address)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(connection.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
	return connection
}

// roundTrip sends raw bytes on a new connection and returns the response.
func (ts *testServer) roundTrip(g *WithT, raw string) *http.Response {
	connection := ts.dial(g)
	defer connection.Close()
	_, _ = io.WriteString(connection, raw)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	g.Expect(err).NotTo(HaveOccurred())
	return response
}

const validKey = "bbk_0123456789012345678901234567890123456789012"

func TestBadInputIsRefusedCountedAndLoggedWithReason(t *testing.T) {
	get := "GET /a HTTP/1.1\r\nHost: h\r\n"
	post := "POST /a HTTP/1.1\r\nHost: h\r\n"
	cases := map[string]struct {
		raw  string
		want reason.Reason
	}{
		"garbage":                              {"lorem ipsum\r\n\r\n", reason.BadRequest},
		"no host":                              {"GET /a HTTP/1.1\r\n\r\n", reason.BadRequest},
		"two hosts":                            {get + "Host: i\r\n\r\n", reason.BadRequest},
		"space in a header name":               {get + "A B: c\r\n\r\n", reason.BadRequest},
		"unknown protocol":                     {"GET /a HTTP/9.9\r\nHost: h\r\n\r\n", reason.BadRequest},
		"Content-Length and Transfer-Encoding": {post + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", reason.BadRequest},
		"Content-Length and Transfer-Encoding, mixed case": {post + "transfer-ENCODING: chunked\r\nCONTENT-length: 2\r\n\r\n0\r\n\r\n", reason.BadRequest},
		"Content-Length and Transfer-Encoding, pipelined":  {post + "Content-Length: 2\r\n\r\nok" + post + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", reason.BadRequest},
		"two Content-Length headers":                       {post + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", reason.BadRequest},
		"negative length":                                  {post + "Content-Length: -2\r\n\r\n", reason.BadRequest},
		"unknown transfer coding":                          {post + "Transfer-Encoding: gzip\r\n\r\n", reason.BadRequest},
		"unknown expectation":                              {post + "Expect: miracles\r\nContent-Length: 0\r\n\r\n", reason.BadRequest},
		"two order ids":                                    {get + "Order-Id: a\r\nOrder-Id: b\r\n\r\n", reason.BadRequest},
		"malformed deadline":                               {get + "Deadline-Ms: soon\r\n\r\n", reason.BadRequest},
		"dot segments in the path":                         {"GET /open/../a HTTP/1.1\r\nHost: h\r\n\r\n", reason.BadRequest},
		"encoded dot segments":                             {"GET /open/%2e%2e/a HTTP/1.1\r\nHost: h\r\n\r\n", reason.BadRequest},
		"encoded slash":                                    {"GET /open%2f..%2fa HTTP/1.1\r\nHost: h\r\n\r\n", reason.BadRequest},
		"head too large":                                   {get + "A: " + strings.Repeat("a", 40<<10) + "\r\n\r\n", reason.HeadTooLarge},
		"too many lines":                                   {get + strings.Repeat("a:\r\n", 6000) + "\r\n", reason.HeadTooLarge},
		"slow head":                                        {get + "A:", reason.HeadTooSlow},
		"slow body":                                        {post + "Content-Length: 9\r\n\r\nabc", reason.BodyTooSlow},
		"body too large":                                   {post + "Transfer-Encoding: chunked\r\n\r\n100001\r\n" + strings.Repeat("a", 1<<20+1) + "\r\n0\r\n\r\n", reason.BodyTooLarge},
		"malformed chunk":                                  {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", reason.BodyShort},
		"two Authorization headers":                        {get + "Authorization: Bearer " + validKey + "\r\nAuthorization: Bearer " + validKey + "\r\n\r\n", reason.KeyDoubled},
		"two keys in one header":                           {get + "Authorization: Bearer " + validKey + ", Bearer " + validKey + "\r\n\r\n", reason.KeyDoubled},
		"malformed key":                                    {get + "Authorization: Bearer bbk_short\r\n\r\n", reason.KeyUnknown},
		"key in the path":                                  {"GET /" + validKey + " HTTP/1.1\r\nHost: h\r\n\r\n", reason.KeyMisplaced},
		"key in the query":                                 {"GET /a?k=%62bk%5F" + validKey[4:] + " HTTP/1.1\r\nHost: h\r\n\r\n", reason.KeyMisplaced},
		"key in a cookie":                                  {get + "Cookie: a=" + validKey + "\r\n\r\n", reason.KeyMisplaced},
		"key in a header name":                             {get + validKey + ": a\r\n\r\n", reason.KeyMisplaced},
		"key in a trailer's name":                          {post + "Transfer-Encoding: chunked\r\nTrailer: " + validKey + "\r\n\r\n0\r\n\r\n", reason.KeyMisplaced},
		"key in the host":                                  {"GET /a HTTP/1.1\r\nHost: " + validKey + "\r\n\r\n", reason.KeyMisplaced},
		"key without its prefix":                           {get + "Authorization: Bearer " + validKey + "\r\nX: " + validKey[4:] + "\r\n\r\n", reason.KeyMisplaced},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			ts := newTestServer(t, func(s *caller.Server) { s.HeadTimeout, s.BodyGrace = 300, 300 })
			connection := ts.dial(g)
			defer connection.Close()
			go func() { _, _ = io.WriteString(connection, c.raw) }()
			reader := bufio.NewReader(connection)
			response, err := http.ReadResponse(reader, nil)
			g.Expect(err).NotTo(HaveOccurred())
			if strings.HasSuffix(name, "pipelined") {
				g.Expect(response.StatusCode).To(Equal(http.StatusOK))
				_, _ = io.Copy(io.Discard, response.Body)
				response, err = http.ReadResponse(reader, nil)
				g.Expect(err).NotTo(HaveOccurred())
			}
			var body struct{ Reason, Ran, Detail string }
			g.Expect(json.NewDecoder(response.Body).Decode(&body)).To(Succeed())
			g.Expect(body.Reason).To(BeEquivalentTo(c.want))
			g.Expect(body.Ran).To(Equal("no"))
			g.Expect(response.Header.Get(caller.ReasonHeader)).To(BeEquivalentTo(c.want))
			g.Expect(response.Header.Get(caller.RanHeader)).To(Equal("no"))
			g.Expect(response.StatusCode).To(Equal(caller.HTTPStatus(c.want)))
			g.Expect(ts.refusalCount(c.want)).To(BeEquivalentTo(1))
			g.Expect(ts.log.AllEntries()).To(HaveLen(1))
			line, _ := ts.log.LastEntry().String()
			g.Expect(line).To(ContainSubstring(string(c.want)))
			g.Expect(line + body.Detail).NotTo(ContainSubstring(validKey[4:]))
		})
	}
}

func TestShortBodyIsCounted(t *testing.T) {
	g := NewWithT(t)
	ts := newTestServer(t, nil)
	connection := ts.dial(g)
	_, _ = io.WriteString(connection, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc")
	g.Expect(connection.(*net.TCPConn).CloseWrite()).To(Succeed())
	g.Eventually(func() int64 { return ts.refusalCount(reason.BodyShort) }, testTimeout).Should(BeEquivalentTo(1))
	_ = connection.Close()
}

func TestClosingIncompleteBodyClosesConnection(t *testing.T) {
	g := NewWithT(t)
	for read, connection := range map[bool]string{false: "close", true: ""} {
		recorder := httptest.NewRecorder()
		body := caller.NewBody(recorder, httptest.NewRequest("POST", "/a", strings.NewReader("abc")), 9, time.Now().Add(testTimeout))
		if read {
			_, err := io.ReadAll(body)
			g.Expect(err).NotTo(HaveOccurred())
		}
		_ = body.Close()
		g.Expect(recorder.Header().Get("Connection")).To(Equal(connection))
	}
}

func TestConnectionLimitRefusesAndRecovers(t *testing.T) {
	g := NewWithT(t)
	ts := newTestServer(t, func(s *caller.Server) { s.MaxConnections = 2 })
	first, second := ts.dial(g), ts.dial(g)
	defer second.Close()
	g.Eventually(func() int { return ts.roundTrip(g, "GET /-/live HTTP/1.1\r\nHost: h\r\n\r\n").StatusCode }, testTimeout).Should(Equal(http.StatusServiceUnavailable))
	g.Expect(ts.refusalCount(reason.TooManyConnections)).To(BeNumerically(">=", 1))
	_ = first.Close()
	g.Eventually(func() int { return ts.roundTrip(g, "GET /-/live HTTP/1.1\r\nHost: h\r\n\r\n").StatusCode }, testTimeout).Should(Equal(http.StatusOK))
}

// fakeRanker returns two VMs and records the address for which it was called.
type fakeRanker struct{ address netip.Addr }

func (f *fakeRanker) Lookup(address netip.Addr) []vm.VM {
	f.address = address
	return []vm.VM{{Name: "entry-1", CallerAddress: "10.0.0.1:80", Region: "clyde", DataCentre: "clyde-1"}, {Name: "entry-2"}}
}

func TestEntryVMsAreRankedForCallerAddress(t *testing.T) {
	g := NewWithT(t)
	ranker := &fakeRanker{}
	ts := newTestServer(t, func(s *caller.Server) { s.VMs, s.TrustAddressParameter, s.ListLifetime = ranker, true, 5*clock.Second })
	var list caller.EntryVMs
	response := ts.roundTrip(g, "GET /-/entry-vms HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(json.NewDecoder(response.Body).Decode(&list)).To(Succeed())
	g.Expect(list.LifetimeMs).To(Equal(5 * clock.Second))
	g.Expect(list.VMs).To(HaveLen(2))
	g.Expect(list.VMs[0]).To(Equal(caller.EntryVM{Name: "entry-1", Address: "10.0.0.1:80", Region: "clyde", DataCentre: "clyde-1"}))
	g.Expect(ranker.address.String()).To(Equal("127.0.0.1"))
	ts.roundTrip(g, "GET /-/entry-vms?address=10.9.8.7 HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(ranker.address.String()).To(Equal("10.9.8.7"))
}

func TestShutdownCompletesRequestsAndNotifiesIdleCallers(t *testing.T) {
	g := NewWithT(t)
	started := make(chan struct{}, 2)
	ts := newTestServer(t, func(s *caller.Server) {
		s.IdleCloseDelay = 200
		s.Handler = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			started <- struct{}{}
			countBody(s)(w, request)
		})
	})
	idle, upload := ts.dial(g), ts.dial(g)
	defer idle.Close()
	defer upload.Close()
	idleReader, uploadReader := bufio.NewReader(idle), bufio.NewReader(upload)
	send := func(raw string) *http.Response {
		_, _ = io.WriteString(idle, raw)
		response, err := http.ReadResponse(idleReader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		_, _ = io.Copy(io.Discard, response.Body)
		return response
	}
	g.Expect(send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n").Close).To(BeFalse())
	_, _ = io.WriteString(upload, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nabc")
	for range 2 {
		g.Eventually(started, testTimeout).Should(Receive())
	}

	stopped := make(chan error, 1)
	go func() { stopped <- ts.Shutdown(context.Background()) }()
	// The idle connection gets a refusal and is closed without a reset.
	refusal, err := http.ReadResponse(idleReader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(refusal.Header.Get(caller.ReasonHeader)).To(BeEquivalentTo(reason.Stopping))
	g.Expect(refusal.Header.Get(caller.RanHeader)).To(Equal("no"))
	_, _ = io.Copy(io.Discard, refusal.Body)
	_, err = idleReader.ReadByte()
	g.Expect(err).To(Equal(io.EOF))
	g.Expect(stopped).NotTo(Receive())

	_, _ = io.WriteString(upload, "def")
	response, err := http.ReadResponse(uploadReader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	content, _ := io.ReadAll(response.Body)
	g.Expect(string(content)).To(Equal("read 6\n"))
	g.Expect(response.Close).To(BeTrue(), "response during a shutdown lacks Connection: close")
	g.Expect(upload.Close()).To(Succeed())
	g.Eventually(stopped, testTimeout).Should(Receive(BeNil()))
	_, err = net.Dial("tcp", ts.address)
	g.Expect(err).To(HaveOccurred())
}

func TestRequestsDuringIdleCloseDelayAreServed(t *testing.T) {
	g := NewWithT(t)
	ts := newTestServer(t, func(s *caller.Server) { s.IdleCloseDelay = 5 * clock.Second })
	connection := ts.dial(g)
	defer connection.Close()
	_, _ = io.WriteString(connection, "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	reader := bufio.NewReader(connection)
	response, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	_, _ = io.Copy(io.Discard, response.Body)
	stopped := make(chan error, 1)
	go func() { stopped <- ts.Shutdown(context.Background()) }()
	g.Eventually(func() int { return ts.roundTrip(g, "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n").StatusCode }, testTimeout).Should(Equal(http.StatusServiceUnavailable))
	_, _ = io.WriteString(connection, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	response, err = http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	g.Expect(response.Close).To(BeTrue())
	g.Expect(connection.Close()).To(Succeed())
	// Without open connections Shutdown does not wait for the end of IdleCloseDelay.
	g.Eventually(stopped, testTimeout).Should(Receive(BeNil()))
}

const (
	idleCallers  = 1000
	maxIdleBytes = 64 << 20
)

func TestThousandIdleCallersUseLessThan64MiB(t *testing.T) {
	g := NewWithT(t)
	ts := newTestServer(t, nil)
	before := memoryInUse()
	for range idleCallers {
		connection := ts.dial(g)
		defer connection.Close()
		_, _ = io.WriteString(connection, "GET /-/live HTTP/1.1\r\nHost: h\r\n\r\n")
		_, err := connection.Read(make([]byte, 1))
		g.Expect(err).NotTo(HaveOccurred())
	}
	used := memoryInUse() - before
	t.Logf("%d idle callers use %d KiB", idleCallers, used>>10)
	g.Expect(used).To(BeNumerically("<", maxIdleBytes))
}

// memoryInUse returns the bytes of heap and stacks in use, including those of the test.
func memoryInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}

// FuzzReadHead checks that the forwarded part of an accepted head contains no key and
// no dot segments, and that a refused head is reported as not run.
func FuzzReadHead(f *testing.F) {
	for _, seed := range []string{
		"GET /a HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + validKey + "\r\n\r\n",
		"GET /a?x=%62%62%6b%5f" + validKey[4:] + " HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\nCookie: a=" + validKey + "\r\nX: %2562bk_" + validKey[4:] + "\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\n" + strings.ToUpper(validKey) + ": x\r\n\r\n",
		"GET /a/%2e%2e/b HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET http://" + validKey + "/a HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
		if err != nil {
			return
		}
		head, err := caller.ReadHead(request)
		if err != nil {
			if caller.AsRefusal(err).Ran != reason.RanNo {
				t.Fatalf("refused head is not reported as not run: %v", err)
			}
			return
		}
		var sent strings.Builder
		sent.WriteString(request.Method + request.URL.RequestURI() + request.Host)
		_ = request.Header.Write(&sent)
		_ = request.Trailer.Write(&sent)
		if head.Key != "" && strings.Contains(sent.String(), head.Key) || strings.Contains(sent.String(), validKey) {
			t.Fatalf("key would be forwarded: %q", sent.String())
		}
		if strings.Contains(request.URL.Path, "/../") || strings.HasSuffix(request.URL.Path, "/..") {
			t.Fatalf("path with dot segments would be forwarded: %q", request.URL.Path)
		}
	})
}
