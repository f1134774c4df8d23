package main_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/standin/endpoint"
	"baobabladder.example/baobabladder/internal/wire/operator"
)

const (
	// sendIDHeader identifies each sent request at the endpoint. It is not part of an
	// order's digest, so that resends of an order can differ in it.
	sendIDHeader = "Sending"
	// sendTimeout is longer than any freeze of a VM in the tests.
	sendTimeout = 20 * time.Second
)

// testEndpoint is a stand-in endpoint in the test's process that records what arrives
// and when.
type testEndpoint struct {
	endpoint.Endpoint
	address string
	// handle, if set, handles requests in place of the stand-in.
	handle http.HandlerFunc

	mu       sync.Mutex
	arrivals []arrival
	// received holds the bytes received on each connection. Guarded by mu, like
	// arrivals.
	received []*bytes.Buffer
}

// arrival is one request that reached an endpoint.
type arrival struct {
	endpoint, path, order, sendID string
	at                            time.Time
}

// startEndpoint serves an endpoint until the end of the test.
func startEndpoint(e *testEndpoint) *testEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	e.address = listener.Addr().String()
	server := &http.Server{Handler: e}
	go func() { _ = server.Serve(recordingListener{listener, e}) }()
	DeferCleanup(server.Close)
	return e
}

// ServeHTTP implements http.Handler.
func (e *testEndpoint) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival{e.Name, request.URL.Path, request.Header.Get("Order-Id"), request.Header.Get(sendIDHeader), time.Now()})
	e.mu.Unlock()
	if e.handle != nil {
		e.handle(w, request)
		return
	}
	e.Endpoint.ServeHTTP(w, request)
}

type recordingListener struct {
	net.Listener
	endpoint *testEndpoint
}

func (l recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.endpoint.mu.Lock()
	defer l.endpoint.mu.Unlock()
	buffer := &bytes.Buffer{}
	l.endpoint.received = append(l.endpoint.received, buffer)
	return &recordingConn{conn, l.endpoint, buffer}, nil
}

type recordingConn struct {
	net.Conn
	endpoint *testEndpoint
	// buffer is guarded by endpoint.mu.
	buffer *bytes.Buffer
}

func (c *recordingConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	c.buffer.Write(p[:n])
	return n, err
}

// contains reports whether any connection received the text.
func (e *testEndpoint) contains(text string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, buffer := range e.received {
		if bytes.Contains(buffer.Bytes(), []byte(text)) {
			return true
		}
	}
	return false
}

// arrivalsAt returns the requests that reached the endpoints, sorted by time.
func arrivalsAt(endpoints ...*testEndpoint) (all []arrival) {
	for _, e := range endpoints {
		e.mu.Lock()
		all = append(all, e.arrivals...)
		e.mu.Unlock()
	}
	sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	return all
}

// serviceDocument builds the text of a service's document from a head, a section for
// each endpoint, and a tail.
type serviceDocument struct {
	head      string
	endpoints []*testEndpoint
	tail      string
}

const serviceHead = `
[service]
name = catalogue
deadline_ms = 10000
shift_cap_percent = 100

[route /catalogue/]
work = catalogue

[route /other/]
work = catalogue

[route /orders/]
work = order

[route /art/]
work = upload
deadline_ms = 60000

[workspace glen-herbs]
rate = %d
burst = %d
`

func (d *serviceDocument) text() string {
	text := d.head
	for _, e := range d.endpoints {
		text += fmt.Sprintf("\n[endpoint %s]\naddress = %s\nregion = lothian\ndata_centre = lothian-1\nversion = %s\nslots = 3\n", e.Name, e.address, e.Version)
	}
	return text + d.tail
}

// applyAndIssueKey applies a document and issues a key, and waits until the key works on
// every VM.
func (f *fleet) applyAndIssueKey(d *serviceDocument) (keyText, keyID string) {
	var applied operator.ApplyResponse
	f.runOperator(f.vms[0], 0, &applied, "apply", f.writeFile("shop.ini", d.text()), "--based-on", "0")
	var issued operator.IssueResponse
	f.runOperator(f.vms[0], 0, &issued, "keys", "issue", "glen-herbs")
	for _, v := range f.vms {
		Eventually(func() string { return v.sendKeyed(issued.Text) }, "30s").Should(Equal("200 OK"), v.Name)
	}
	return issued.Text, issued.ID
}

// sentRequest is one request and its result.
type sentRequest struct {
	id, method, path, key, order string
	// vm is the name of the VM that it was sent to.
	vm              string
	body            io.Reader
	header          map[string]string
	sentAt, endedAt time.Time

	status      int
	reason, ran string
	content     string
	err         error
	headers     http.Header
	// isComplete reports whether a complete response of an endpoint was received.
	isComplete bool
}

// lastSendID is the last id of a sent request, over all tests.
var lastSendID atomic.Int64

// send sends the request once through a VM, on the client's connections.
func (s *sentRequest) send(client *http.Client, v *entryVM) *sentRequest {
	s.id = strconv.FormatInt(lastSendID.Add(1), 10)
	s.vm = v.Name
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, s.method, "http://"+v.CallerAddress+s.path, s.body)
	if err != nil {
		s.err = err
		return s
	}
	if s.key != "" {
		request.Header.Set("Authorization", "Bearer "+s.key)
	}
	if s.order != "" {
		request.Header.Set("Order-Id", s.order)
	}
	for name, value := range s.header {
		request.Header.Set(name, value)
	}
	request.Header.Set(sendIDHeader, s.id)
	s.sentAt = time.Now()
	defer func() { s.endedAt = time.Now() }()
	response, err := client.Do(request)
	if err != nil {
		s.err = err
		return s
	}
	defer response.Body.Close()
	s.status, s.headers = response.StatusCode, response.Header
	s.reason, s.ran = response.Header.Get("Refusal-Reason"), response.Header.Get("Request-Ran")
	content, err := io.ReadAll(response.Body)
	s.content, s.err = string(content), err
	s.isComplete = err == nil && s.reason == ""
	return s
}

// newClient returns a client with its own connections, closed at the end of the test.
func newClient() *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	DeferCleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// loadGenerator sends catalogue requests through all VMs from several senders until it
// is stopped.
type loadGenerator struct {
	fleet   *fleet
	key     string
	prefix  string
	header  map[string]string
	pause   time.Duration
	senders int

	stopped chan struct{}
	group   sync.WaitGroup
	mu      sync.Mutex
	// sent holds all requests that have ended. Guarded by mu.
	sent []*sentRequest
}

// start starts the senders. Each sends to the VMs in turn.
func (l *loadGenerator) start() *loadGenerator {
	l.stopped = make(chan struct{})
	for i := range l.senders {
		client := newClient()
		l.group.Go(func() {
			for turn := i; !l.isStopped(); turn++ {
				s := (&sentRequest{method: http.MethodGet, path: l.prefix + strconv.Itoa(turn), key: l.key, header: l.header}).send(client, l.fleet.vms[turn%len(l.fleet.vms)])
				l.mu.Lock()
				l.sent = append(l.sent, s)
				l.mu.Unlock()
				time.Sleep(l.pause)
			}
		})
	}
	DeferCleanup(l.stop)
	return l
}

func (l *loadGenerator) isStopped() bool {
	select {
	case <-l.stopped:
		return true
	default:
		return false
	}
}

// stop stops the senders and returns the sent requests by id.
func (l *loadGenerator) stop() map[string]*sentRequest {
	l.mu.Lock()
	if !l.isStopped() {
		close(l.stopped)
	}
	l.mu.Unlock()
	l.group.Wait()
	byID := map[string]*sentRequest{}
	for _, s := range l.sent {
		byID[s.id] = s
	}
	return byID
}

// count returns the number of requests that have ended.
func (l *loadGenerator) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.sent)
}

// countComplete returns a function that counts the requests that have ended with a
// complete response, or those without one.
func (l *loadGenerator) countComplete(isComplete bool) func() int {
	return func() (count int) {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, s := range l.sent {
			if s.isComplete == isComplete {
				count++
			}
		}
		return count
	}
}

// runFor waits for the duration, and until at least one more request has ended.
func (l *loadGenerator) runFor(duration time.Duration) {
	until := time.Now().Add(duration)
	before := l.count()
	Eventually(func() bool { return time.Now().After(until) && l.count() > before }, "60s", "20ms").Should(BeTrue())
}

func (v *entryVM) signal(signal syscall.Signal) {
	Expect(v.process.Command.Process.Signal(signal)).To(Succeed(), "%s, exit code %d", v.Name, v.process.ExitCode())
}

// kill kills a VM and waits for its end.
func (v *entryVM) kill() { v.process.Kill().Wait("10s") }

// restart starts a VM again that has ended.
func (v *entryVM) restart() { v.process = start(productPath, "entry", "--settings", v.settings) }

// readSettings returns the text of the VM's settings file.
func (v *entryVM) readSettings() string {
	text, err := os.ReadFile(v.settings)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

func (f *fleet) awaitReady(vms ...*entryVM) {
	for _, v := range vms {
		Eventually(func() bool { return f.status(v).Ready }, "30s").Should(BeTrue(), v.Name)
	}
}

// startEndpoints starts an endpoint of version v1 for each name. configure may change it
// before.
func startEndpoints(configure func(*testEndpoint), names ...string) (endpoints []*testEndpoint) {
	for _, name := range names {
		e := &testEndpoint{}
		e.Name, e.Version = name, "v1"
		configure(e)
		endpoints = append(endpoints, startEndpoint(e))
	}
	return endpoints
}
