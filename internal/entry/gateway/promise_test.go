package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/policy/balance"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
	"baobabladder.example/baobabladder/internal/world/directory"
)

// copyingEndpoint refuses the requests for which refuse returns a status, and runs the
// others. Before its answer to an order that it runs, it copies its latest refusal on the
// connection or, if there is none, writes begun, unless the order is the first request.
type copyingEndpoint struct {
	address string
	refuse  func(request *http.Request) (status int)
	begun   string
	// runs counts the orders that ran.
	runs atomic.Int32
}

func newCopyingEndpoint(t *testing.T, refuse func(request *http.Request) int, begun string) *copyingEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e := &copyingEndpoint{address: listener.Addr().String(), refuse: refuse, begun: begun}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(connection)
		}
	}()
	return e
}

func (e *copyingEndpoint) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	before := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get(endpoint.RequestIDHeader)
		if status := e.refuse(request); status > 0 {
			before = fmt.Sprintf("HTTP/1.1 %d No\r\nRequest-Id: %s\r\nRequest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", status, id)
			_, _ = io.WriteString(connection, before)
			continue
		}
		if request.Method == http.MethodPost {
			e.runs.Add(1)
			_, _ = io.WriteString(connection, before)
		}
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 4\r\n\r\ndone", id)
		if before == "" {
			before = e.begun
		}
	}
}

// Guards against a promise for an order that runs: an endpoint that has its address anew
// refuses the order under the ID of before, and copies that refusal when it runs it.
func TestCopiedRefusalOfAnAddressUsedAgainIsNoPromise(t *testing.T) {
	g := NewWithT(t)
	e := newCopyingEndpoint(t, func(request *http.Request) int {
		if request.Header.Get("Endpoint") == "former" {
			return http.StatusMisdirectedRequest
		}
		return 0
	}, "")
	v := newTestVM(t, "vm", "a", false, 1, e.address)
	v.gateway.Balancer.UpdateDirectory(directory.New([]directory.Endpoint{
		{ID: "former", Service: "s", Address: e.address, Region: "a", Slots: 4},
		{ID: "present", Service: "s", Address: e.address, Region: "b", Slots: 4},
	}, nil, nil))
	outcomes := 0
	v.gateway.RecordOutcome = func(string) { outcomes++ }
	response := v.send(http.MethodPost, "/order/x", "paper")
	g.Expect(outcomes).To(Equal(2), "the former ID is tried first")
	g.Expect(e.runs.Load()).To(BeEquivalentTo(1))
	g.Expect(response.Code).To(Equal(http.StatusOK), response.Body.String())
}

// Guards against a promise for an order that its caller sends again under its id: the
// endpoint runs it and copies its earlier refusal.
func TestCopiedRefusalIsNoPromiseForTheOrderSentAgain(t *testing.T) {
	g := NewWithT(t)
	var sends atomic.Int32
	e := newCopyingEndpoint(t, func(*http.Request) int {
		if sends.Add(1) == 1 {
			return http.StatusServiceUnavailable
		}
		return 0
	}, "")
	v := newTestVM(t, "vm", "a", false, 1, e.address)
	g.Expect(v.send(http.MethodPost, "/order/x", "paper").Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(v.send(http.MethodPost, "/order/x", "paper").Code).To(Equal(http.StatusOK))
	g.Expect(e.runs.Load()).To(BeEquivalentTo(1))
}

// Guards against a promise for an order that runs, or a second run of it, because its answer
// came behind the beginning of a refusal and was read as one with it.
func TestBegunRefusalIsNoPromiseForTheOrderBehindIt(t *testing.T) {
	g := NewWithT(t)
	runAll := func(*http.Request) int { return 0 }
	first, second := newCopyingEndpoint(t, runAll, "HTTP/1.1 421 Mis"), newCopyingEndpoint(t, runAll, "HTTP/1.1 421 Mis")
	v := newTestVM(t, "vm", "a", false, 1, unusedAddress)
	v.gateway.Balancer.UpdateDirectory(directory.New([]directory.Endpoint{
		{ID: "first", Service: "s", Address: first.address, Region: "a", Slots: 4},
		{ID: "second", Service: "s", Address: second.address, Region: "a", Slots: 4},
	}, nil, nil))
	for i := range 20 {
		lookup := httptest.NewRequest(http.MethodGet, "/read/x", nil)
		lookup.Host = "shop.example"
		lookup.Header.Set(endpoint.RequestIDHeader, fmt.Sprint("lookup-", i))
		v.gateway.ServeHTTP(httptest.NewRecorder(), lookup)
	}
	response := v.send(http.MethodPost, "/order/x", "paper")
	g.Expect(first.runs.Load()+second.runs.Load()).To(BeEquivalentTo(1), "runs of the order")
	g.Expect(isPromise(response.Code)).To(BeFalse(), "status %d", response.Code)
}

// Guards against a status that promises "not run" for an order of which its endpoint has not
// said so: the endpoint may have run it.
func TestStatusWithoutStatementIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			g := NewWithT(t)
			e := &testEndpoint{}
			e.setRespond(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
			v := newTestVM(t, "vm", "a", false, 1, e.start(t))
			outcome := balance.Answered
			if status >= http.StatusInternalServerError {
				outcome = balance.Failed
			}
			v.gateway.RecordOutcome = func(got string) { g.Expect(got).To(BeEquivalentTo(outcome), "of the endpoint") }
			response := v.send(http.MethodPost, "/order/x", "paper")
			g.Expect(e.allRuns()).To(HaveLen(1))
			g.Expect(response.Code).To(Equal(http.StatusBadGateway))
			g.Expect(response.Header()).NotTo(HaveKey("Stamp"))
			if status < http.StatusInternalServerError {
				g.Expect(v.send(http.MethodGet, "/read/x", "").Code).To(Equal(status), "a look-up may be repeated in any case")
			}
		})
	}
}
