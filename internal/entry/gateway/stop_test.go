package gateway

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
	"baobabladder.example/baobabladder/internal/world/directory"
)

// stoppingSender is a Sender whose VM begins to stop just before it sends.
type stoppingSender struct {
	Sender
	beginStop func()
}

func (s stoppingSender) Send(ctx context.Context, address string, request *endpoint.Request) (*endpoint.Response, error) {
	s.beginStop()
	return s.Sender.Send(ctx, address, request)
}

// Guards against a further attempt, here or through another VM, that a planned stop may
// interrupt: the stop begins while the first one, which fails as not run, is being made.
func TestStoppingVMMakesNoAttemptThatItMayInterrupt(t *testing.T) {
	const targetLatency = 100 * clock.Millis(1)
	for name, c := range map[string]struct {
		path          string
		isUnreachable bool
		hasOtherVM    bool
		// since and left are how long ago the stop began, and how long it lasts.
		since, left clock.Millis
		status      int
		runs        int
		refunds     int
	}{
		"order":              {"/order/x", false, true, 0, clock.Second, http.StatusServiceUnavailable, 1, 1},
		"unreachable":        {"/order/x", true, true, 0, clock.Second, http.StatusServiceUnavailable, 0, 1},
		"time to its limit":  {"/order/x", false, true, 0, 2 * testTimeout, http.StatusOK, 2, 0},
		"idempotent":         {"/read/x", false, true, 0, clock.Second, http.StatusOK, 2, 0},
		"no other VM":        {"/order/x", false, false, 0, clock.Second, http.StatusOK, 2, 0},
		"late, no other VM":  {"/order/x", false, false, 2 * clock.Second, clock.Second, http.StatusServiceUnavailable, 1, 1},
		"late, idempotent":   {"/read/x", false, true, 2 * clock.Second, clock.Second, http.StatusServiceUnavailable, 1, 1},
		"late, alone":        {"/read/x", false, false, 2 * clock.Second, clock.Second, http.StatusOK, 2, 0},
		"idempotent at last": {"/read/x", false, false, 2 * clock.Second, 2 * targetLatency, http.StatusServiceUnavailable, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := &testEndpoint{}
			e.respond = func(w http.ResponseWriter, _ *http.Request) {
				if len(e.allRuns()) == 1 {
					w.Header().Set(endpoint.NotRunHeader, "1")
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			}
			address := e.start(t)
			v := newTestVM(t, "vm-1", "a", false, 1, address)
			if c.hasOtherVM {
				v.withAlternates(newTestVM(t, "vm-2", "a", false, 1, address))
			}
			if c.isUnreachable {
				address = unusedAddress
			}
			v.gateway.Balancer.UpdateDirectory(directory.New([]directory.Endpoint{
				{ID: "e1", Service: "s", Address: address, Region: "a", Slots: 4}, {ID: "e2", Service: "s", Address: address, Region: "a", Slots: 4},
			}, nil, nil))
			for _, route := range v.gateway.Table().Hosts["shop.example"] {
				route.TargetLatency = targetLatency
			}
			isStopping, now := false, v.gateway.Clock.Now()
			v.gateway.Client = stoppingSender{v.gateway.Client, func() { isStopping = true }}
			v.gateway.PlannedStop = func() (PlannedStop, bool) {
				return PlannedStop{Begin: now - c.since, End: now + c.left}, isStopping
			}
			method := "POST"
			if c.path == "/read/x" {
				method = "GET"
			}
			response := v.send(method, c.path, "body")
			g.Expect(response.Code).To(Equal(c.status), response.Body.String())
			g.Expect(e.allRuns()).To(HaveLen(c.runs))
			g.Expect(v.tokens.refunds).To(Equal(c.refunds))
		})
	}
}

// Guards against a token that is lost with a request which the end of the VM interrupts before
// it was sent, and against a promise that one at an endpoint has not run.
func TestInterruptedRequestIsRefusedByWhetherItMayHaveRun(t *testing.T) {
	for name, c := range map[string]struct {
		body            string
		status, refunds int
		interrupted     []string
	}{
		"body being received": {"", http.StatusServiceUnavailable, 1, nil},
		"at an endpoint":      {"paper", http.StatusBadGateway, 0, []string{"order"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			v, e, connection := serveCallers(t, func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() })
			var interrupted []string
			v.gateway.RecordInterrupted = func(work string) { interrupted = append(interrupted, work) }
			reader := bufio.NewReader(connection)
			_, _ = io.WriteString(connection, "POST /order/x HTTP/1.1\r\nHost: shop.example\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
			// The VM asks for the body when it begins to read it.
			continued, err := reader.ReadString('\n')
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(continued).To(ContainSubstring("100 Continue"))
			_, _ = reader.ReadString('\n')
			_, _ = io.WriteString(connection, c.body)
			if c.body != "" {
				g.Eventually(e.allRuns, waitTimeout).Should(HaveLen(1))
			}
			v.gateway.Interrupt()
			response, _ := readAnswer(g, reader)
			g.Expect(response.StatusCode).To(Equal(c.status))
			g.Expect(response.Header.Get(caller.ReasonHeader)).To(BeEquivalentTo(reason.Stopping))
			g.Expect(v.tokens.refunds).To(Equal(c.refunds))
			g.Expect(interrupted).To(Equal(c.interrupted))
		})
	}
}
