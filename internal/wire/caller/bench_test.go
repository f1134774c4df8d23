package caller_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/policy/memory"
	"baobabladder.example/baobabladder/internal/wire/caller"
)

// BenchmarkUsualHead sends requests with the head of a usual client one after the other on one
// connection.
func BenchmarkUsualHead(b *testing.B) {
	const head = "GET /read/thyme?page=2 HTTP/1.1\r\nHost: shop.example\r\nUser-Agent: curl/8.5.0\r\nAccept: */*\r\nAccept-Encoding: gzip, deflate\r\n" +
		"Accept-Language: en\r\nCookie: Affinity-Key=17\r\nAuthorization: Bearer key-of-a-caller-1\r\nRequest-Id: 0123456789abcdef\r\nDeadline-Ms: 4000\r\n\r\n"
	g := NewWithT(b)
	ts := newTestServer(b, func(s *caller.Server) {
		s.Memory = memory.NewBudget(1 << 30)
		s.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	})
	connection := ts.dial(g)
	defer connection.Close()
	reader := bufio.NewReader(connection)
	b.ReportAllocs()
	for b.Loop() {
		_, err := io.WriteString(connection, head)
		if err != nil {
			b.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			b.Fatal(err)
		}
	}
}
