package operator_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/wire/operator"
)

// Guards against a change that is made once more, by another VM, because the reply of the
// first one can't be read.
func TestChangeWhoseReplyCannotBeReliedOnIsNotRepeated(t *testing.T) {
	const ok, failure = "HTTP/1.1 200 OK\r\n", `{"error":"not_ready","detail":"x"}`
	for name, text := range map[string]string{
		"cut at its start":    ok + "\r\n",
		"cut":                 ok + "\r\n" + `{"id":"k1","key":"bb`,
		"whole, not declared": ok + "\r\n" + `{"id":"k1"}`,
		"no JSON":             ok + "Content-Length: 5\r\n\r\nlorem",
		"a blank in a name":   ok + "Content-Length: 11\r\nContent Type: x\r\n\r\n" + `{"id":"k1"}`,
		"failure without end": "HTTP/1.1 503 No\r\n\r\n" + failure,
		"failure, status 000": "HTTP/1.1 000 No\r\nContent-Length: 34\r\n\r\n" + failure,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var calls atomic.Int32
			vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
				calls.Add(1)
				_, _ = io.Copy(io.Discard, request.Body)
				connection, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					_, _ = io.WriteString(connection, text)
					_ = connection.Close()
				}
			}))
			defer vm.Close()
			issued, err := operator.NewClient([]string{vm.URL, vm.URL}).Issue(context.Background(), operator.IssueRequest{Workspace: "w"})
			g.Expect(int(calls.Load())).To(Equal(1), "the change was sent again")
			g.Expect(errorx.IsOfType(err, operator.ErrNoResponse)).To(BeTrue(), "%+v: %v", issued, err)
		})
	}
}
