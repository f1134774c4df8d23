package endpoint_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
)

// Guards against a request that a check before sending refuses, and that is said to have run
// perhaps because its kept connection carried another one.
func TestRequestRefusedBeforeSendingIsNotRunOnAnyConnection(t *testing.T) {
	for name, newConnection := range map[string]bool{"kept": false, "new": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := newFaultyServer(t, respondWith(okResponse, false))
			client := endpoint.New()
			_, err := exchange(client, server.address, getRequest("r1"))
			g.Expect(err).NotTo(HaveOccurred())
			refused := getRequest("r2")
			refused.NewConnection = newConnection
			refused.BeforeSend = func() error { return reason.NotRun(reason.KeyWithdrawn, 0, "withdrawn") }
			_, err = exchange(client, server.address, refused)
			refusal, _ := fault.As[*reason.Refusal](err)
			g.Expect(refusal.Reason).To(Equal(reason.KeyWithdrawn))
			g.Expect(refusal.Ran).To(Equal(reason.RanNo))
			heads, _, _ := server.counts()
			g.Expect(heads).To(Equal(1), "nothing must be sent")
		})
	}
}
