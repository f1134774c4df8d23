package store_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/wire/store"
)

// serveText serves a text as it is on each connection, once its request is read, and closes
// the connection.
func serveText(t *testing.T, text string) (base string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		connection, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(connection, text)
			_ = connection.Close()
		}
	}))
	t.Cleanup(server.Close)
	return server.URL + "/"
}

// Guards against a value that was cut, or a head that is malformed, being taken for an object.
func TestReplyThatCannotBeReliedOnIsNoReply(t *testing.T) {
	const version = "HTTP/1.1 200 OK\r\nObject-Version: 7\r\n"
	for name, text := range map[string]string{
		"no length":               version + "\r\ncut val",
		"a blank behind a length": version + "Content-Length : 9\r\n\r\ncut val",
		"a blank in a name":       version + "Object Type: x\r\nContent-Length: 3\r\n\r\nval",
		"status 000":              "HTTP/1.1 000 OK\r\nObject-Version: 7\r\nContent-Length: 3\r\n\r\nval",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			client := store.New(serveText(t, text))
			object, err := client.Get(context.Background(), "k")
			g.Expect(errorx.IsOfType(err, store.ErrUnavailable)).To(BeTrue(), "%q was taken for the value, %v", object.Value, err)
			version, err := client.Put(context.Background(), "k", []byte("v"), 6)
			g.Expect(errorx.IsOfType(err, store.ErrOutcomeUnknown)).To(BeTrue(), "version %d was taken for the object's, %v", version, err)
			version, err = client.Delete(context.Background(), "k", 6)
			g.Expect(errorx.IsOfType(err, store.ErrOutcomeUnknown)).To(BeTrue(), "version %d was taken for the object's, %v", version, err)
		})
	}
}
