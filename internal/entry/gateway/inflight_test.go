package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a request that the end of a VM interrupts and that is not counted.
func TestRequestInFlightAtTheEndIsCounted(t *testing.T) {
	g := NewWithT(t)
	isRunning, mayEnd := make(chan struct{}), make(chan struct{})
	e := &testEndpoint{respond: func(http.ResponseWriter, *http.Request) {
		close(isRunning)
		<-mayEnd
	}}
	v := newTestVM(t, "vm-1", "a", false, 1, e.start(t))
	var counted []string
	v.gateway.RecordInterrupted = func(work string) { counted = append(counted, work) }
	answered := make(chan int)
	go func() { answered <- v.send("POST", "/order/x", "body").Code }()
	<-isRunning
	v.gateway.RecordUnfinished()
	g.Expect(counted).To(Equal([]string{"order"}))
	close(mayEnd)
	g.Expect(<-answered).To(Equal(http.StatusOK))
	v.gateway.RecordUnfinished()
	g.Expect(counted).To(HaveLen(1), "a request that has ended")
}

// interruptingBody is a body of which nothing has come when the end of the VM interrupts its
// request.
type interruptingBody struct{ *Gateway }

func (b interruptingBody) Read([]byte) (int, error) {
	b.Interrupt()
	return 0, io.ErrUnexpectedEOF
}

// Guards against a request that the end of a VM interrupts and that keeps its token although it
// has not run, gets it back although it may have run, or isn't counted then.
func TestInterruptedRequestIsRefundedOrCounted(t *testing.T) {
	for name, c := range map[string]struct {
		isAtEndpoint bool
		status       int
		refunds      int
		counted      []string
	}{
		"being received": {false, http.StatusServiceUnavailable, 1, nil},
		"at an endpoint": {true, http.StatusBadGateway, 0, []string{"order"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := &testEndpoint{}
			v := newTestVM(t, "vm-1", "a", false, 1, e.start(t))
			e.respond = func(_ http.ResponseWriter, request *http.Request) {
				v.gateway.Interrupt()
				<-request.Context().Done()
			}
			var counted []string
			v.gateway.RecordInterrupted = func(work string) { counted = append(counted, work) }
			v.gateway.Refuser.GatewayStatuses = true
			request := httptest.NewRequest("POST", "/order/x", strings.NewReader("body"))
			request.Host = "shop.example"
			if !c.isAtEndpoint {
				request.Body = io.NopCloser(interruptingBody{v.gateway})
			}
			response := httptest.NewRecorder()
			v.gateway.ServeHTTP(response, request)
			g.Expect(response.Code).To(Equal(c.status), response.Body.String())
			g.Expect(response.Body.String()).To(ContainSubstring(`"reason":"stopping"`))
			g.Expect(v.tokens.refunds).To(Equal(c.refunds))
			g.Expect(counted).To(Equal(c.counted))
			v.gateway.RecordUnfinished()
			g.Expect(counted).To(Equal(c.counted), "a request that has ended")
		})
	}
}
