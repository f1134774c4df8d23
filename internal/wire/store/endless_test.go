package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/wire/store"
)

// maxSent is more than a client may read of one reply, with what connections buffer.
const maxSent = 64 << 20

// serveWithoutEnd serves a reply that goes on until the client closes the connection, or has
// read maxSent bytes.
func serveWithoutEnd(t *testing.T) (base string, sent chan int) {
	t.Helper()
	sent = make(chan int, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(store.VersionHeader, "1")
		block, total := make([]byte, 64<<10), 0
		for total < maxSent {
			n, err := w.Write(block)
			total += n
			if err != nil {
				break
			}
		}
		sent <- total
	}))
	t.Cleanup(server.Close)
	return server.URL + "/", sent
}

// Guards against a store that sends bytes without end, of which a VM keeps all.
func TestReplyWithoutEndIsNotKept(t *testing.T) {
	for name, call := range map[string]func(client *store.Client) error{
		"get":  func(client *store.Client) error { _, err := client.Get(context.Background(), "k"); return err },
		"list": func(client *store.Client) error { _, err := client.List(context.Background(), "k"); return err },
		"put": func(client *store.Client) error {
			_, err := client.Put(context.Background(), "k", nil, 1)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			base, sent := serveWithoutEnd(t)
			err := call(store.New(base))
			g.Expect(err).To(MatchError(ContainSubstring("more than")))
			g.Expect(errorx.IsOfType(err, store.ErrOutcomeUnknown)).To(Equal(name == "put"))
			g.Eventually(sent, "20s").Should(Receive(BeNumerically("<", maxSent)))
		})
	}
}
