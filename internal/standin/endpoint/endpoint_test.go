package endpoint_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/standin/endpoint"
	wire "baobabladder.example/baobabladder/internal/wire/endpoint"
)

// start serves an endpoint until the test ends and returns its address.
func start(t *testing.T, e *endpoint.Endpoint) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Serve(ctx, listener)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return listener.Addr().String()
}

// post sends a POST request on a new connection and returns the response and its body.
func post(address, path string, header map[string]string, body string) (response *http.Response, text string, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	request.Close = true
	response, err = http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response, string(content), err
}

func TestRequestsBeyondSlotsAreShedAsNotRun(t *testing.T) {
	g := NewWithT(t)
	e := &endpoint.Endpoint{Name: "e", Slots: 1, ServiceTime: clock.Minute}
	address := start(t, e)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/slow", nil)
		_, _ = http.DefaultClient.Do(request)
	}()
	g.Eventually(func() int64 { return e.Counts().Runs }, "10s").Should(Equal(int64(1)))
	response, _, err := post(address, "/more", map[string]string{wire.OrderIDHeader: "o"}, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(response.Header.Get(wire.NotRunHeader)).To(Equal("shed"))
	g.Expect(response.Header.Get(wire.LoadHeader)).To(Equal("1/1"))
	g.Expect(e.OrderRuns("o")).To(BeZero())
	cancel()
	g.Eventually(func() int64 { return e.Counts().Cancelled }, "10s").Should(Equal(int64(1)), "cancelling the request ends its run and frees the slot")
	g.Eventually(func() int { return e.Report().Running }, "10s").Should(BeZero())
}

func TestDeadlineEndsRunAndRejectsExpiredRequest(t *testing.T) {
	g := NewWithT(t)
	e := &endpoint.Endpoint{ServiceTime: clock.Minute}
	address := start(t, e)
	response, _, err := post(address, "/", map[string]string{wire.DeadlineHeader: "20"}, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusGatewayTimeout))
	response, _, err = post(address, "/", map[string]string{wire.DeadlineHeader: "0"}, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Header.Get(wire.NotRunHeader)).To(Equal("deadline"))
	g.Expect(e.Counts()).To(And(HaveField("Cancelled", int64(1)), HaveField("Late", int64(1)), HaveField("Runs", int64(1))))
}

func TestAPIKeyIsDetectedDeepInBody(t *testing.T) {
	g := NewWithT(t)
	e := &endpoint.Endpoint{}
	address := start(t, e)
	_, _, err := post(address, "/a", map[string]string{"Authorization": "Bearer none"}, "bbk")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.Counts().KeySeen).To(BeFalse())
	_, _, err = post(address, "/a", nil, strings.Repeat("x", 100_000)+"bbk_")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.Counts().KeySeen).To(BeTrue())
}

func TestVersionFaultAppliesOnlyUnderItsConditions(t *testing.T) {
	g := NewWithT(t)
	manual := &clock.Manual{}
	e := &endpoint.Endpoint{Clock: manual.Clock()}
	address := start(t, e)
	status := func(path string) int {
		response, _, err := post(address, path, nil, "")
		g.Expect(err).NotTo(HaveOccurred())
		return response.StatusCode
	}
	e.SetFaults(endpoint.Faults{Version: endpoint.VersionFault{Fail: true, After: clock.Second, PathPrefix: "/bad/"}})
	g.Expect(status("/bad/1")).To(Equal(http.StatusOK))
	manual.Advance(clock.Second)
	g.Expect(status("/bad/1")).To(Equal(http.StatusInternalServerError))
	g.Expect(status("/good/1")).To(Equal(http.StatusOK))
	e.SetFaults(endpoint.Faults{Version: endpoint.VersionFault{Fail: true, MinRunning: 2}})
	g.Expect(status("/bad/1")).To(Equal(http.StatusOK))
}

func TestMismatchedTruncatedAndDuplicateAnswers(t *testing.T) {
	g := NewWithT(t)
	e := &endpoint.Endpoint{Name: "e", Version: "v1"}
	address := start(t, e)
	id := func(id string) map[string]string { return map[string]string{wire.RequestIDHeader: id} }
	_, _, err := post(address, "/first", id("1"), "")
	g.Expect(err).NotTo(HaveOccurred())

	e.SetFaults(endpoint.Faults{Response: endpoint.ResponseFault{Kind: endpoint.MismatchedResponse}})
	response, text, err := post(address, "/second", id("2"), "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Header.Get(wire.RequestIDHeader)).To(Equal("1"))
	g.Expect(text).To(Equal("e v1 /first 0\n"))

	e.SetFaults(endpoint.Faults{Response: endpoint.ResponseFault{Kind: endpoint.TruncatedResponse, PathPrefix: "/second"}})
	_, _, err = post(address, "/second", id("3"), "")
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	_, _, err = post(address, "/third", id("4"), "")
	g.Expect(err).NotTo(HaveOccurred())

	e.SetFaults(endpoint.Faults{Response: endpoint.ResponseFault{Kind: endpoint.DuplicateResponse}})
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /double HTTP/1.1\r\nHost: e\r\nRequest-Id: 5\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	reader := bufio.NewReader(conn)
	for i := 0; i < 2; i++ {
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		content, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(content)).To(Equal("e v1 /double 0\n"))
	}
}

func TestReportsLaggedFrozenAndFalse(t *testing.T) {
	g := NewWithT(t)
	manual := &clock.Manual{}
	e := &endpoint.Endpoint{Clock: manual.Clock(), Slots: 3, ServiceTime: clock.Minute}
	address := start(t, e)
	manual.Advance(clock.Second)
	go func() { _, _, _ = post(address, "/slow", nil, "") }()
	g.Eventually(func() int { return e.Report().Running }, "10s").Should(Equal(1))
	manual.Advance(clock.Second)
	e.SetFaults(endpoint.Faults{Report: endpoint.ReportFault{Lag: 1500}})
	g.Expect(e.Report().Running).To(BeZero())
	e.SetFaults(endpoint.Faults{Report: endpoint.ReportFault{Lag: 500}})
	g.Expect(e.Report().Running).To(Equal(1))
	falseRunning := 7
	e.SetFaults(endpoint.Faults{Leaving: true, Report: endpoint.ReportFault{Running: &falseRunning}})
	g.Expect(e.Report()).To(Equal(endpoint.Report{State: "leaving", Running: 7, Slots: 3}))
	e.SetFaults(endpoint.Faults{Report: endpoint.ReportFault{Frozen: true}})
	g.Expect(e.Report().Running).To(Equal(1))
}

func TestConnectionsBeyondLimitAreRefused(t *testing.T) {
	g := NewWithT(t)
	e := &endpoint.Endpoint{MaxConnections: 1}
	address := start(t, e)
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() int { return e.Counts().Connections }, "10s").Should(Equal(1))
	_, _, err = post(address, "/", nil, "")
	g.Expect(err).To(HaveOccurred())
	g.Expect(conn.Close()).To(Succeed())
	g.Eventually(func() error { _, _, err := post(address, "/", nil, ""); return err }, "10s").Should(Succeed())
	g.Expect(e.Counts().PeakConnections).To(Equal(1))
}
