package gateway

import (
	"net/http"
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
