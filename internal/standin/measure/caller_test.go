package measure

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/document"
)

// Guards against load that counts an answer of an entry VM as good although it was cut, or is
// none.
func TestAnswerThatMayBeCutIsNotCounted(t *testing.T) {
	for text, isCounted := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                            true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n": true,
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok":                            false,
		"HTTP/1.1 200 OK\r\n\r\nok":                                                 false,
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok":                            false,
		"HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 2\r\n\r\nok":                  false,
	} {
		t.Run(text, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				connection, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					_, _ = io.WriteString(connection, text)
					_ = connection.(*net.TCPConn).Close()
				}
			}))
			defer server.Close()
			created := &caller{http: http.DefaultClient}
			_, err := created.attempt(context.Background(), strings.TrimPrefix(server.URL, "http://"), &Request{Work: document.WorkCatalogue, Path: "/x"}, "")
			g.Expect(err == nil).To(Equal(isCounted), "%v", err)
		})
	}
}
