package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/metric"
	"baobabladder.example/baobabladder/internal/policy/balance"
	"baobabladder.example/baobabladder/internal/policy/blocklist"
	"baobabladder.example/baobabladder/internal/policy/canary"
	"baobabladder.example/baobabladder/internal/policy/retry"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
	"baobabladder.example/baobabladder/internal/world/directory"
	"baobabladder.example/baobabladder/internal/world/routing"
	"baobabladder.example/baobabladder/internal/world/vm"
)

const (
	testRequestID = "id-1"
	testTimeout   = 2 * clock.Second
)

// cutOff is a Reach whose VM is always cut off, or never.
type cutOff bool

func (c cutOff) IsCutOff() bool      { return bool(c) }
func (cutOff) Lost() context.Context { return context.Background() }
func (cutOff) Begin()                {}
func (cutOff) End(bool, bool)        {}

func (cutOff) HasEnded(context.Context, string) bool { return true }

// tokens is a Quota that admits all requests and counts refunds.
type tokens struct {
	mu      sync.Mutex
	refunds int
}

func (*tokens) Admit(context.Context, *routing.Workspace) (clock.Millis, bool) { return 0, true }

func (q *tokens) Refund(*routing.Workspace) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refunds++
}

// testVM is a VM with a Gateway and its server for forwarded requests.
type testVM struct {
	gateway *Gateway
	tokens  *tokens
	vm      vm.VM
}

func newTestVM(t testing.TB, name, region string, isCutOff bool, version uint64, endpointAddress string) *testVM {
	t.Helper()
	balancer := &balance.Balancer{VM: name, Region: region}
	balancer.UpdateDirectory(directory.New([]directory.Endpoint{{
		ID: "e1", Service: "s", Address: endpointAddress, Region: "a", Slots: 4,
	}}, nil, nil))
	v := &testVM{tokens: &tokens{}}
	v.gateway = &Gateway{
		Headers: Headers{Workspace: "Workspace", Endpoint: "Endpoint", ObjectCookie: "object"},
		Client:  endpoint.New(), PeerClient: endpoint.New(), Balancer: balancer, Reach: cutOff(isCutOff), Quota: v.tokens,
		Canary: &canary.Guard{}, Blocklist: &blocklist.List{}, RetryBudget: &retry.WindowBudget{Length: clock.Second, Slack: 10},
		Refuser: caller.RefusalWriter{GatewayStatuses: true}, RetryCounters: metric.NewReasonCounters(metric.New().Scope, "retries"),
	}
	table := &routing.Table{
		Version:  version,
		Services: map[string]*routing.Service{"s": {Name: "s"}},
		Hosts: map[string][]*routing.Route{"shop.example": {
			{Name: "read", Host: "shop.example", Prefix: "/read/", Public: true, Work: document.WorkCatalogue, Timeout: testTimeout, MaxAttempts: 2, Targets: []routing.Target{{Service: "s", Weight: 1}}},
			{Name: "order", Host: "shop.example", Prefix: "/order/", Public: true, Work: document.WorkOrder, Timeout: testTimeout, MaxAttempts: 2, Targets: []routing.Target{{Service: "s", Weight: 1}}},
			{Name: "home", Host: "shop.example", Prefix: "/home/", Public: true, Work: document.WorkOrder, Timeout: testTimeout, MaxAttempts: 2, HomeRegions: []string{"a"}, Targets: []routing.Target{{Service: "s", Weight: 1}}},
		}},
	}
	v.gateway.SetTable(table)
	server := httptest.NewServer(v.gateway.ForwardHandler())
	t.Cleanup(server.Close)
	v.vm = vm.VM{Name: name, Region: region, ForwardAddress: strings.TrimPrefix(server.URL, "http://")}
	return v
}

// send sends a request of a caller to the VM.
func (v *testVM) send(method, path, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Host = "shop.example"
	request.Header.Set(endpoint.RequestIDHeader, testRequestID)
	response := httptest.NewRecorder()
	v.gateway.ServeHTTP(response, request)
	return response
}

// testEndpoint is an endpoint that counts its runs.
type testEndpoint struct {
	mu   sync.Mutex
	runs []string
	// respond replaces the response. It and runs are guarded by mu.
	respond func(w http.ResponseWriter, request *http.Request)
}

// allRuns returns the runs so far.
func (e *testEndpoint) allRuns() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.runs)
}

func (e *testEndpoint) setRespond(respond func(w http.ResponseWriter, request *http.Request)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.respond = respond
}

func (e *testEndpoint) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	e.mu.Lock()
	e.runs = append(e.runs, request.Method+" "+request.URL.Path+" "+string(body))
	respond := e.respond
	e.mu.Unlock()
	w.Header().Set(endpoint.RequestIDHeader, request.Header.Get(endpoint.RequestIDHeader))
	w.Header().Set("Stamp", "e1")
	if respond != nil {
		respond(w, request)
		return
	}
	_, _ = io.WriteString(w, "done")
}

func (e *testEndpoint) start(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// unusedAddress refuses connections.
const unusedAddress = "127.0.0.1:1"

func (v *testVM) withAlternates(alternates ...*testVM) {
	v.gateway.Alternates = func(_ int, isAllowed func(region string) bool) (list []vm.VM) {
		for _, alternate := range alternates {
			if isAllowed(alternate.vm.Region) {
				list = append(list, alternate.vm)
			}
		}
		return list
	}
}

// newCutOffVM returns a VM that is cut off, and whose alternate reaches the endpoint.
func newCutOffVM(t *testing.T, e *testEndpoint) *testVM {
	t.Helper()
	cut := newTestVM(t, "vm-1", "a", true, 1, unusedAddress)
	cut.withAlternates(newTestVM(t, "vm-2", "a", false, 1, e.start(t)))
	return cut
}

func TestCutOffVMForwardsToAlternate(t *testing.T) {
	g := NewWithT(t)
	e := &testEndpoint{}
	cut := newCutOffVM(t, e)
	response := cut.send("POST", "/order/x", "body")
	g.Expect(response.Code).To(Equal(http.StatusOK))
	g.Expect(response.Body.String()).To(Equal("done"))
	g.Expect(response.Header().Get("Stamp")).To(Equal("e1"))
	g.Expect(e.allRuns()).To(Equal([]string{"POST /order/x body"}))
}

func TestForwardingAsksNextAlternateOnlyIfRequestHasNotRun(t *testing.T) {
	g := NewWithT(t)
	e := &testEndpoint{}
	address := e.start(t)
	cut := newTestVM(t, "vm-1", "a", true, 2, unusedAddress)
	alsoCut, outdated := newTestVM(t, "vm-2", "a", true, 2, address), newTestVM(t, "vm-3", "a", false, 1, address)
	sound := newTestVM(t, "vm-4", "a", false, 2, address)
	for _, first := range []*testVM{alsoCut, outdated} {
		cut.withAlternates(first, sound)
		g.Expect(cut.send("POST", "/order/x", "body").Code).To(Equal(http.StatusOK))
	}
	g.Expect(e.allRuns()).To(HaveLen(2))
	// The endpoint runs the request and ends the connection, so nobody may send it again.
	e.setRespond(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	cut.withAlternates(sound, newTestVM(t, "vm-5", "a", false, 2, address))
	g.Expect(cut.send("POST", "/order/x", "body").Code).To(Equal(http.StatusBadGateway))
	g.Expect(e.allRuns()).To(HaveLen(3))
	g.Expect(sound.tokens.refunds).To(BeZero())
}

// A request that no alternate has run is refused as not run, and its token is returned once, by
// the VM that took it.
func TestRequestThatNoAlternateRunsIsRefusedAsNotRun(t *testing.T) {
	g := NewWithT(t)
	cut, alternate := newTestVM(t, "vm-1", "a", true, 1, unusedAddress), newTestVM(t, "vm-2", "a", true, 1, unusedAddress)
	cut.withAlternates(alternate)
	startedAt := time.Now()
	response := cut.send("POST", "/order/x", "body")
	g.Expect(time.Since(startedAt)).To(BeNumerically("<", time.Second))
	g.Expect(response.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(response.Header().Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(cut.tokens.refunds).To(Equal(1))
	g.Expect(alternate.tokens.refunds).To(BeZero())
}

func TestBodyIsNotForwardedToForeignRegion(t *testing.T) {
	g := NewWithT(t)
	e := &testEndpoint{}
	address := e.start(t)
	cut, foreign := newTestVM(t, "vm-1", "a", true, 1, unusedAddress), newTestVM(t, "vm-2", "b", false, 1, address)
	cut.withAlternates(foreign)
	g.Expect(cut.send("POST", "/home/x", "body").Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(e.allRuns()).To(BeEmpty())
	g.Expect(cut.send("POST", "/order/x", "body").Code).To(Equal(http.StatusOK))
}

// A failure that an endpoint answered is passed on as it is, and not repeated by both VMs.
func TestForwardedFailureIsPassedOn(t *testing.T) {
	g := NewWithT(t)
	e := &testEndpoint{respond: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }}
	cut := newCutOffVM(t, e)
	response := cut.send("POST", "/order/x", "body")
	g.Expect(response.Code).To(Equal(http.StatusInternalServerError))
	g.Expect(response.Header().Get("Stamp")).To(Equal("e1"))
	g.Expect(e.allRuns()).To(HaveLen(1))
}

// An answer that ends early at the alternate must not look complete to the caller.
func TestForwardedAnswerThatIsCutIsNotComplete(t *testing.T) {
	g := NewWithT(t)
	e := &testEndpoint{respond: func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
	}}
	cut := newCutOffVM(t, e)
	g.Expect(cut.send("POST", "/order/x", "body").Code).To(Equal(http.StatusBadGateway))
}

// A VM that is cut off without knowing it yet forwards what reached no endpoint.
func TestRequestThatReachedNoEndpointIsForwarded(t *testing.T) {
	g := NewWithT(t)
	e := &testEndpoint{}
	address := e.start(t)
	unaware, alternate := newTestVM(t, "vm-1", "a", false, 1, unusedAddress), newTestVM(t, "vm-2", "a", false, 1, address)
	unaware.withAlternates(alternate)
	g.Expect(unaware.send("POST", "/order/x", "body").Code).To(Equal(http.StatusOK))
	g.Expect(e.allRuns()).To(HaveLen(1))
}

// The two VMs together may send a request to as many endpoints as its route allows.
func TestForwardedAttemptsCountForTheRoute(t *testing.T) {
	g := NewWithT(t)
	e := &testEndpoint{respond: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }}
	address := e.start(t)
	alternate := newTestVM(t, "vm-2", "a", false, 1, address)
	request := httptest.NewRequest("GET", "/read/x", nil)
	request.Host = "shop.example"
	request.Header.Set(endpoint.RequestIDHeader, testRequestID)
	request.Header.Set(forwardedServiceHeader, "s")
	request.Header.Set(forwardedVersionHeader, "1")
	request.Header.Set(forwardedAttemptsHeader, "1")
	response := httptest.NewRecorder()
	alternate.gateway.ForwardHandler().ServeHTTP(response, request)
	g.Expect(response.Code).To(Equal(http.StatusInternalServerError))
	g.Expect(e.allRuns()).To(HaveLen(1))
	for _, header := range []string{forwardedVersionHeader, forwardedAttemptsHeader} {
		invalid := request.Clone(context.Background())
		invalid.Header.Set(header, "-1x")
		response := httptest.NewRecorder()
		alternate.gateway.ForwardHandler().ServeHTTP(response, invalid)
		g.Expect(response.Code).To(Equal(http.StatusBadRequest), header)
	}
}

// losing is a Reach whose VM becomes cut off when lose is called.
type losing struct {
	isCutOff atomic.Bool
	lost     context.Context
	endLost  context.CancelFunc
}

func (l *losing) IsCutOff() bool        { return l.isCutOff.Load() }
func (l *losing) Lost() context.Context { return l.lost }
func (*losing) Begin()                  {}
func (*losing) End(bool, bool)          {}

func (*losing) HasEnded(context.Context, string) bool { return true }

func (l *losing) lose() {
	l.isCutOff.Store(true)
	l.endLost()
}

// Look-ups that were in flight when the links fell silent were answered at their deadline.
func TestLookupInFlightIsForwardedWhenLinksFallSilent(t *testing.T) {
	g := NewWithT(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer silent.Close()
	e := &testEndpoint{}
	address := e.start(t)
	losingVM, alternate := newTestVM(t, "vm-1", "a", false, 1, silent.Addr().String()), newTestVM(t, "vm-2", "a", false, 1, address)
	reach := &losing{}
	reach.lost, reach.endLost = context.WithCancel(context.Background())
	losingVM.gateway.Reach = reach
	losingVM.withAlternates(alternate)
	time.AfterFunc(100*time.Millisecond, reach.lose)
	startedAt := time.Now()
	g.Expect(losingVM.send("GET", "/read/x", "").Code).To(Equal(http.StatusOK))
	g.Expect(time.Since(startedAt)).To(BeNumerically("<", testTimeout.Duration()/2))
	g.Expect(e.allRuns()).To(HaveLen(1))
	// An order may have run, so it is not sent again.
	reach.isCutOff.Store(false)
	reach.lost, reach.endLost = context.WithCancel(context.Background())
	time.AfterFunc(100*time.Millisecond, reach.lose)
	g.Expect(losingVM.send("POST", "/order/x", "body").Code).To(Equal(http.StatusGatewayTimeout))
	g.Expect(e.allRuns()).To(HaveLen(1))
}

// While all VMs were cut off, look-ups on dead connections were answered at their deadline, or
// as if they may have run.
func TestRequestIsRefusedAtOnceIfNobodyReachesEndpoints(t *testing.T) {
	g := NewWithT(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer silent.Close()
	lost := newTestVM(t, "vm-1", "a", false, 1, silent.Addr().String())
	reach := &losing{}
	reach.lost, reach.endLost = context.WithCancel(context.Background())
	lost.gateway.Reach = reach
	lost.withAlternates()
	reach.lose()
	for _, request := range [][2]string{{"GET", "/read/x"}, {"POST", "/order/x"}} {
		startedAt := time.Now()
		response := lost.send(request[0], request[1], "")
		g.Expect(response.Code).To(Equal(http.StatusServiceUnavailable))
		g.Expect(response.Header().Get("Retry-After")).NotTo(BeEmpty())
		g.Expect(time.Since(startedAt)).To(BeNumerically("<", testTimeout.Duration()/4))
	}
	g.Expect(lost.tokens.refunds).To(Equal(2))
}
