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
	// sendingHeader tells one sending from another at the endpoint; it is no part
	// of an order's digest.
	sendingHeader = "Sending"
	// sendTimeout is longer than any freeze of a VM.
	sendTimeout = 20 * time.Second
)

// site is an endpoint in the test's process, which notes what arrives and when.
type site struct {
	endpoint.Endpoint
	address string
	// handle, if set, answers in place of the stand-in.
	handle http.HandlerFunc

	mu       sync.Mutex
	arrivals []arrival
	// received holds all bytes of all connections, each in its own buffer.
	received []*bytes.Buffer
}

// arrival is one request that reached an endpoint.
type arrival struct {
	site, path, order, sending string
	at                         time.Time
}

// startSite serves an endpoint until the end of the test.
func startSite(s *site) *site {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s.address = listener.Addr().String()
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(recordingListener{listener, s}) }()
	DeferCleanup(server.Close)
	return s
}

// ServeHTTP implements http.Handler.
func (s *site) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{s.Name, request.URL.Path, request.Header.Get("Order-Id"), request.Header.Get(sendingHeader), time.Now()})
	s.mu.Unlock()
	if s.handle != nil {
		s.handle(w, request)
		return
	}
	s.Endpoint.ServeHTTP(w, request)
}

type recordingListener struct {
	net.Listener
	site *site
}

func (l recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.site.mu.Lock()
	defer l.site.mu.Unlock()
	buffer := &bytes.Buffer{}
	l.site.received = append(l.site.received, buffer)
	return &recordingConn{conn, l.site, buffer}, nil
}

type recordingConn struct {
	net.Conn
	site *site
	// buffer is guarded by site.mu.
	buffer *bytes.Buffer
}

func (c *recordingConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	c.buffer.Write(p[:n])
	return n, err
}

// contains says whether any connection received the text.
func (s *site) contains(text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, buffer := range s.received {
		if bytes.Contains(buffer.Bytes(), []byte(text)) {
			return true
		}
	}
	return false
}

// arrivalsAt returns what reached the sites, sorted by time.
func arrivalsAt(sites ...*site) (all []arrival) {
	for _, s := range sites {
		s.mu.Lock()
		all = append(all, s.arrivals...)
		s.mu.Unlock()
	}
	sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	return all
}

// shop is a service's document in the making.
type shop struct {
	head  string
	sites []*site
	tail  string
}

const shopHead = `
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

func (s *shop) text() string {
	text := s.head
	for _, site := range s.sites {
		text += fmt.Sprintf("\n[endpoint %s]\naddress = %s\nregion = lothian\ndata_centre = lothian-1\nversion = %s\nslots = 3\n", site.Name, site.address, site.Version)
	}
	return text + s.tail
}

// open applies a shop's document and issues a key, and waits until the key works
// on every VM.
func (f *fleet) open(s *shop) (keyText, keyID string) {
	var applied operator.ApplyResponse
	f.operate(f.vms[0], 0, &applied, "apply", f.write("shop.ini", s.text()), "--based-on", "0")
	var issued operator.IssueResponse
	f.operate(f.vms[0], 0, &issued, "keys", "issue", "glen-herbs")
	for _, v := range f.vms {
		Eventually(func() string { return v.ask(issued.Text) }, "30s").Should(Equal("200 OK"), v.Name)
	}
	return issued.Text, issued.ID
}

// sending is one request and what became of it.
type sending struct {
	id, method, path, key, order string
	body                         io.Reader
	header                       map[string]string
	sentAt, endedAt              time.Time

	status      int
	reason, ran string
	answer      string
	err         error
	headers     http.Header
	// isWhole says that a complete answer of an endpoint came.
	isWhole bool
}

// sendings numbers the sendings of all tests.
var sendings atomic.Int64

// send sends once through a VM. A client of its own, if given, keeps connections.
func (s *sending) send(client *http.Client, v *entryVM) *sending {
	s.id = strconv.FormatInt(sendings.Add(1), 10)
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
	request.Header.Set(sendingHeader, s.id)
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
	s.answer, s.err = string(content), err
	s.isWhole = err == nil && s.reason == ""
	return s
}

// newClient returns a client with connections of its own, closed with the test.
func newClient() *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	DeferCleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// load is look-ups sent through all VMs by several senders until stopped.
type load struct {
	fleet   *fleet
	key     string
	prefix  string
	header  map[string]string
	pause   time.Duration
	senders int

	stopped chan struct{}
	group   sync.WaitGroup
	mu      sync.Mutex
	// sent holds all sendings that ended. Guarded by mu.
	sent []*sending
}

// start begins to send. Each sender goes round the VMs.
func (l *load) start() *load {
	l.stopped = make(chan struct{})
	for i := range l.senders {
		client := newClient()
		l.group.Go(func() {
			for turn := i; !l.isStopped(); turn++ {
				s := (&sending{method: http.MethodGet, path: l.prefix + strconv.Itoa(turn), key: l.key, header: l.header}).send(client, l.fleet.vms[turn%len(l.fleet.vms)])
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

func (l *load) isStopped() bool {
	select {
	case <-l.stopped:
		return true
	default:
		return false
	}
}

// stop ends the load and returns the sendings by id.
func (l *load) stop() map[string]*sending {
	l.mu.Lock()
	if !l.isStopped() {
		close(l.stopped)
	}
	l.mu.Unlock()
	l.group.Wait()
	byID := map[string]*sending{}
	for _, s := range l.sent {
		byID[s.id] = s
	}
	return byID
}

// count returns how many sendings have ended.
func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.sent)
}

// ended returns a function that counts the sendings that ended with a whole answer, or
// without one.
func (l *load) ended(isWhole bool) func() int {
	return func() (count int) {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, s := range l.sent {
			if s.isWhole == isWhole {
				count++
			}
		}
		return count
	}
}

// goOn waits until so much more time of load has passed as the VMs see it.
func (l *load) goOn(during time.Duration) {
	until := time.Now().Add(during)
	before := l.count()
	Eventually(func() bool { return time.Now().After(until) && l.count() > before }, "60s", "20ms").Should(BeTrue())
}

func (v *entryVM) signal(signal syscall.Signal) {
	Expect(v.process.Command.Process.Signal(signal)).To(Succeed(), "%s, exit code %d", v.Name, v.process.ExitCode())
}

// kill ends a VM at once and waits for its end.
func (v *entryVM) kill() { v.process.Kill().Wait("10s") }

// restart starts a VM that has ended.
func (v *entryVM) restart() { v.process = start(product, "entry", "--settings", v.settings) }

// read returns the text of the VM's settings.
func (v *entryVM) read() string {
	text, err := os.ReadFile(v.settings)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

func (f *fleet) awaitReady(vms ...*entryVM) {
	for _, v := range vms {
		Eventually(func() bool { return f.status(v).Ready }, "30s").Should(BeTrue(), v.Name)
	}
}

// newSites starts sites with the names.
func newSites(configure func(*site), names ...string) (sites []*site) {
	for _, name := range names {
		s := &site{}
		s.Name, s.Version = name, "v1"
		configure(s)
		sites = append(sites, startSite(s))
	}
	return sites
}
