package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
)

// Guards against an endpoint's own header of the name by which VMs tell each other that a
// request has not run.
func TestEndpointCannotSpeakForTheVMBetween(t *testing.T) {
	g := NewWithT(t)
	e := &testEndpoint{respond: func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(endpoint.NotRunHeader, "1")
		w.WriteHeader(http.StatusInternalServerError)
	}}
	cut, alternate := newTestVM(t, "vm-1", "a", true, 1, unusedAddress), newTestVM(t, "vm-2", "a", false, 1, e.start(t))
	alternate.gateway.Client = &endpoint.Client{Names: endpoint.HeaderNames{NotRun: "Refused"}}
	cut.withAlternates(alternate)
	g.Expect(cut.send("POST", "/order/x", "body").Code).To(Equal(http.StatusInternalServerError))
	g.Expect(e.allRuns()).To(HaveLen(1))
	g.Expect(cut.tokens.refunds).To(BeZero())
}

// Guards against a promise that a request has not run, although a part of its body, which did
// not come in time, is at an endpoint.
func TestLateBodyIsRefusedWithPromiseOnlyIfNothingWasSent(t *testing.T) {
	for name, c := range map[string]struct{ length, status, runs int }{
		"kept until whole": {5, http.StatusServiceUnavailable, 0},
		"forwarded":        {maxBufferedBody + 1, http.StatusGatewayTimeout, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			v, e, connection := serveCallers(t, nil)
			v.gateway.Table().Limits.MaxBodyBytes = 2 * maxBufferedBody
			_, _ = fmt.Fprintf(connection, "POST /order/x HTTP/1.1\r\nHost: shop.example\r\n%s: 200\r\nContent-Length: %d\r\n\r\n", caller.DeadlineHeader, c.length)
			_, _ = io.WriteString(connection, strings.Repeat("a", min(c.length-1, identityPrefix)))
			response, _ := readAnswer(g, bufio.NewReader(connection))
			g.Expect(response.Header.Get(caller.ReasonHeader)).To(BeEquivalentTo(reason.DeadlinePassed))
			g.Expect(response.StatusCode).To(Equal(c.status))
			g.Eventually(e.allRuns, waitTimeout).Should(HaveLen(c.runs))
		})
	}
}
