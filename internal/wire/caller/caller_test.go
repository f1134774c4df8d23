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

const generous = 20 * time.Second

// rig is a server on loopback with its counters and log.
type rig struct {
	*caller.Server
	address string
	scope   tally.TestScope
	log     *test.Hook
}

// echo answers with the length of the body it read.
func echo(server *caller.Server) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		_, err := caller.ReadHead(request)
		var read int64
		if err == nil {
			read, err = io.Copy(io.Discard, caller.NewBody(w, request, 1<<20, time.Now().Add(generous)))
		}
		if err != nil {
			server.Refuser.Refuse(w, err, nil)
			return
		}
		fmt.Fprintf(w, "read %d\n", read)
	}
}

func newRig(t testing.TB, configure func(*caller.Server)) *rig {
	log, hook := test.NewNullLogger()
	log.SetLevel(logrus.DebugLevel)
	scope := tally.NewTestScope("", nil)
	server := &caller.Server{Refuser: caller.RefusalWriter{Counters: metric.NewReasonCounters(scope, "refusals"), Log: log}, IdleCloseDelay: 1}
	server.Handler = echo(server)
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
		ctx, cancel := context.WithTimeout(context.Background(), generous)
		defer cancel()
		_ = server.Shutdown(ctx)
		_ = listener.Close()
		<-served
	})
	return &rig{server, listener.Addr().String(), scope, hook}
}

// refused returns how often a reason was counted.
func (r *rig) refused(why reason.Reason) int64 {
	counter := r.scope.Snapshot().Counters()["refusals+reason="+string(why)]
	if counter == nil {
		return 0
	}
	return counter.Value()
}

func (r *rig) dial(g *WithT) net.Conn {
	connection, err := net.Dial("tcp", r.address)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(connection.SetDeadline(time.Now().Add(generous))).To(Succeed())
	return connection
}

// say sends raw bytes and returns the answer.
func (r *rig) say(g *WithT, raw string) *http.Response {
	connection := r.dial(g)
	defer connection.Close()
	_, _ = io.WriteString(connection, raw)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	g.Expect(err).NotTo(HaveOccurred())
	return response
}

const goodKey = "bbk_0123456789012345678901234567890123456789012"

func TestBadInputGetsItsReasonInAnswerCounterAndLog(t *testing.T) {
	get := "GET /a HTTP/1.1\r\nHost: h\r\n"
	post := "POST /a HTTP/1.1\r\nHost: h\r\n"
	cases := map[string]struct {
		raw string
		why reason.Reason
	}{
		"garbage":                       {"lorem ipsum\r\n\r\n", reason.BadRequest},
		"no host":                       {"GET /a HTTP/1.1\r\n\r\n", reason.BadRequest},
		"two hosts":                     {get + "Host: i\r\n\r\n", reason.BadRequest},
		"space in a header name":        {get + "A B: c\r\n\r\n", reason.BadRequest},
		"unknown protocol":              {"GET /a HTTP/9.9\r\nHost: h\r\n\r\n", reason.BadRequest},
		"both lengths":                  {post + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", reason.BadRequest},
		"both lengths, one in odd case": {post + "transfer-ENCODING: chunked\r\nCONTENT-length: 2\r\n\r\n0\r\n\r\n", reason.BadRequest},
		"both lengths, pipelined":       {post + "Content-Length: 2\r\n\r\nok" + post + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", reason.BadRequest},
		"two lengths":                   {post + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", reason.BadRequest},
		"negative length":               {post + "Content-Length: -2\r\n\r\n", reason.BadRequest},
		"unknown coding":                {post + "Transfer-Encoding: gzip\r\n\r\n", reason.BadRequest},
		"unknown expectation":           {post + "Expect: miracles\r\nContent-Length: 0\r\n\r\n", reason.BadRequest},
		"doubled order id":              {get + "Order-Id: a\r\nOrder-Id: b\r\n\r\n", reason.BadRequest},
		"bad deadline":                  {get + "Deadline-Ms: soon\r\n\r\n", reason.BadRequest},
		"dots in the path":              {"GET /open/../a HTTP/1.1\r\nHost: h\r\n\r\n", reason.BadRequest},
		"encoded dots":                  {"GET /open/%2e%2e/a HTTP/1.1\r\nHost: h\r\n\r\n", reason.BadRequest},
		"encoded slash":                 {"GET /open%2f..%2fa HTTP/1.1\r\nHost: h\r\n\r\n", reason.BadRequest},
		"head too large":                {get + "A: " + strings.Repeat("a", 40<<10) + "\r\n\r\n", reason.HeadTooLarge},
		"too many headers":              {get + strings.Repeat("A: b\r\n", 65) + "\r\n", reason.HeadTooLarge},
		"slow head":                     {get + "A:", reason.HeadTooSlow},
		"slow body":                     {post + "Content-Length: 9\r\n\r\nabc", reason.BodyTooSlow},
		"body too large":                {post + "Transfer-Encoding: chunked\r\n\r\n100001\r\n" + strings.Repeat("a", 1<<20+1) + "\r\n0\r\n\r\n", reason.BodyTooLarge},
		"bad chunk":                     {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", reason.BodyShort},
		"key twice":                     {get + "Authorization: Bearer " + goodKey + "\r\nAuthorization: Bearer " + goodKey + "\r\n\r\n", reason.KeyDoubled},
		"two keys in one":               {get + "Authorization: Bearer " + goodKey + ", Bearer " + goodKey + "\r\n\r\n", reason.KeyDoubled},
		"malformed key":                 {get + "Authorization: Bearer bbk_short\r\n\r\n", reason.KeyUnknown},
		"key in the path":               {"GET /" + goodKey + " HTTP/1.1\r\nHost: h\r\n\r\n", reason.KeyMisplaced},
		"key in the query":              {"GET /a?k=%62bk%5F" + goodKey[4:] + " HTTP/1.1\r\nHost: h\r\n\r\n", reason.KeyMisplaced},
		"key in a cookie":               {get + "Cookie: a=" + goodKey + "\r\n\r\n", reason.KeyMisplaced},
		"key in a header name":          {get + goodKey + ": a\r\n\r\n", reason.KeyMisplaced},
		"key in a trailer's name":       {post + "Transfer-Encoding: chunked\r\nTrailer: " + goodKey + "\r\n\r\n0\r\n\r\n", reason.KeyMisplaced},
		"key in the host":               {"GET /a HTTP/1.1\r\nHost: " + goodKey + "\r\n\r\n", reason.KeyMisplaced},
		"key without its prefix":        {get + "Authorization: Bearer " + goodKey + "\r\nX: " + goodKey[4:] + "\r\n\r\n", reason.KeyMisplaced},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			r := newRig(t, func(s *caller.Server) { s.HeadTimeout, s.BodyGrace = 300, 300 })
			connection := r.dial(g)
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
			g.Expect(body.Reason).To(BeEquivalentTo(c.why))
			g.Expect(body.Ran).To(Equal("no"))
			g.Expect(response.Header.Get(caller.ReasonHeader)).To(BeEquivalentTo(c.why))
			g.Expect(response.Header.Get(caller.RanHeader)).To(Equal("no"))
			g.Expect(response.StatusCode).To(Equal(caller.HTTPStatus(c.why)))
			g.Expect(r.refused(c.why)).To(BeEquivalentTo(1))
			g.Expect(r.log.AllEntries()).To(HaveLen(1))
			line, _ := r.log.LastEntry().String()
			g.Expect(line).To(ContainSubstring(string(c.why)))
			g.Expect(line + body.Detail).NotTo(ContainSubstring(goodKey[4:]))
		})
	}
}

func TestABodyShorterThanDeclaredIsCounted(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, nil)
	connection := r.dial(g)
	_, _ = io.WriteString(connection, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc")
	g.Expect(connection.(*net.TCPConn).CloseWrite()).To(Succeed())
	g.Eventually(func() int64 { return r.refused(reason.BodyShort) }, generous).Should(BeEquivalentTo(1))
	_ = connection.Close()
}

func TestABodyClosedBeforeItsEndEndsItsConnection(t *testing.T) {
	g := NewWithT(t)
	for read, connection := range map[bool]string{false: "close", true: ""} {
		recorder := httptest.NewRecorder()
		body := caller.NewBody(recorder, httptest.NewRequest("POST", "/a", strings.NewReader("abc")), 9, time.Now().Add(generous))
		if read {
			_, err := io.ReadAll(body)
			g.Expect(err).NotTo(HaveOccurred())
		}
		_ = body.Close()
		g.Expect(recorder.Header().Get("Connection")).To(Equal(connection))
	}
}

func TestTooManyConnectionsAreRefusedAndRoomIsGivenBack(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, func(s *caller.Server) { s.MaxConnections = 2 })
	first, second := r.dial(g), r.dial(g)
	defer second.Close()
	g.Eventually(func() int { return r.say(g, "GET /-/live HTTP/1.1\r\nHost: h\r\n\r\n").StatusCode }, generous).Should(Equal(http.StatusServiceUnavailable))
	g.Expect(r.refused(reason.TooManyConnections)).To(BeNumerically(">=", 1))
	_ = first.Close()
	g.Eventually(func() int { return r.say(g, "GET /-/live HTTP/1.1\r\nHost: h\r\n\r\n").StatusCode }, generous).Should(Equal(http.StatusOK))
}

// ranking names one VM and notes whom it was asked for.
type ranking struct{ asked netip.Addr }

func (r *ranking) Lookup(address netip.Addr) []vm.VM {
	r.asked = address
	return []vm.VM{{Name: "entry-1", CallerAddress: "10.0.0.1:80", Region: "clyde", DataCentre: "clyde-1"}, {Name: "entry-2"}}
}

func TestCallersAreToldWhichVMsToUse(t *testing.T) {
	g := NewWithT(t)
	ranked := &ranking{}
	r := newRig(t, func(s *caller.Server) { s.VMs, s.TrustAddressParameter, s.ListLifetime = ranked, true, 5*clock.Second })
	var answer caller.EntryVMs
	response := r.say(g, "GET /-/entry-vms HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(json.NewDecoder(response.Body).Decode(&answer)).To(Succeed())
	g.Expect(answer.LifetimeMs).To(Equal(5 * clock.Second))
	g.Expect(answer.VMs).To(HaveLen(2))
	g.Expect(answer.VMs[0]).To(Equal(caller.EntryVM{Name: "entry-1", Address: "10.0.0.1:80", Region: "clyde", DataCentre: "clyde-1"}))
	g.Expect(ranked.asked.String()).To(Equal("127.0.0.1"))
	r.say(g, "GET /-/entry-vms?address=10.9.8.7 HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(ranked.asked.String()).To(Equal("10.9.8.7"))
}

func TestAPlannedStopCutsNoRequestAndTellsIdleCallers(t *testing.T) {
	g := NewWithT(t)
	started := make(chan struct{}, 2)
	r := newRig(t, func(s *caller.Server) {
		s.IdleCloseDelay = 200
		s.Handler = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			started <- struct{}{}
			echo(s)(w, request)
		})
	})
	idle, upload := r.dial(g), r.dial(g)
	defer idle.Close()
	defer upload.Close()
	idleReader, uploadReader := bufio.NewReader(idle), bufio.NewReader(upload)
	ask := func(raw string) *http.Response {
		_, _ = io.WriteString(idle, raw)
		response, err := http.ReadResponse(idleReader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		_, _ = io.Copy(io.Discard, response.Body)
		return response
	}
	g.Expect(ask("GET /a HTTP/1.1\r\nHost: h\r\n\r\n").Close).To(BeFalse())
	_, _ = io.WriteString(upload, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nabc")
	for range 2 {
		g.Eventually(started, generous).Should(Receive())
	}

	stopped := make(chan error, 1)
	go func() { stopped <- r.Shutdown(context.Background()) }()
	// The idle connection is told, and its end is no reset.
	notice, err := http.ReadResponse(idleReader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(notice.Header.Get(caller.ReasonHeader)).To(BeEquivalentTo(reason.Stopping))
	g.Expect(notice.Header.Get(caller.RanHeader)).To(Equal("no"))
	_, _ = io.Copy(io.Discard, notice.Body)
	_, err = idleReader.ReadByte()
	g.Expect(err).To(Equal(io.EOF))
	g.Expect(stopped).NotTo(Receive())

	_, _ = io.WriteString(upload, "def")
	response, err := http.ReadResponse(uploadReader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	content, _ := io.ReadAll(response.Body)
	g.Expect(string(content)).To(Equal("read 6\n"))
	g.Expect(response.Close).To(BeTrue(), "the answer must tell the caller to go elsewhere")
	g.Eventually(stopped, generous).Should(Receive(BeNil()))
	_, err = net.Dial("tcp", r.address)
	g.Expect(err).To(HaveOccurred())
}

func TestRequestsThatComeDuringTheNoticeAreServed(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, func(s *caller.Server) { s.IdleCloseDelay = 5 * clock.Second })
	kept := r.dial(g)
	defer kept.Close()
	_, _ = io.WriteString(kept, "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
	reader := bufio.NewReader(kept)
	response, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	_, _ = io.Copy(io.Discard, response.Body)
	stopped := make(chan error, 1)
	go func() { stopped <- r.Shutdown(context.Background()) }()
	g.Eventually(func() int { return r.say(g, "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n").StatusCode }, generous).Should(Equal(http.StatusServiceUnavailable))
	_, _ = io.WriteString(kept, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	response, err = http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	g.Expect(response.Close).To(BeTrue())
	// With its last connection gone the server need not wait for the notice's end.
	g.Eventually(stopped, generous).Should(Receive(BeNil()))
}

const (
	idleCallers = 1000
	idleBytes   = 64 << 20
)

func TestAThousandIdleCallersStayUnder64MiB(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, nil)
	before := inUse()
	for range idleCallers {
		connection := r.dial(g)
		defer connection.Close()
		_, _ = io.WriteString(connection, "GET /-/live HTTP/1.1\r\nHost: h\r\n\r\n")
		_, err := connection.Read(make([]byte, 1))
		g.Expect(err).NotTo(HaveOccurred())
	}
	used := inUse() - before
	t.Logf("%d idle callers use %d KiB", idleCallers, used>>10)
	g.Expect(used).To(BeNumerically("<", idleBytes))
}

// inUse returns the bytes of heap and stacks in use, the test's own included.
func inUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}

// A head that passes holds no key in any part that is sent on.
func FuzzReadHead(f *testing.F) {
	for _, seed := range []string{
		"GET /a HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + goodKey + "\r\n\r\n",
		"GET /a?x=%62%62%6b%5f" + goodKey[4:] + " HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\nCookie: a=" + goodKey + "\r\nX: %2562bk_" + goodKey[4:] + "\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\n" + strings.ToUpper(goodKey) + ": x\r\n\r\n",
		"GET /a/%2e%2e/b HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET http://" + goodKey + "/a HTTP/1.1\r\nHost: h\r\n\r\n",
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
				t.Fatalf("a bad head must be refused as not run: %v", err)
			}
			return
		}
		var sent strings.Builder
		sent.WriteString(request.Method + request.URL.RequestURI() + request.Host)
		_ = request.Header.Write(&sent)
		_ = request.Trailer.Write(&sent)
		if head.Key != "" && strings.Contains(sent.String(), head.Key) || strings.Contains(sent.String(), goodKey) {
			t.Fatalf("a key would be sent on: %q", sent.String())
		}
		if strings.Contains(request.URL.Path, "/../") || strings.HasSuffix(request.URL.Path, "/..") {
			t.Fatalf("dots would be sent on: %q", request.URL.Path)
		}
	})
}
