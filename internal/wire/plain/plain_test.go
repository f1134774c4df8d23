package plain

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/policy/memory"
)

// Guards against connections that are held open, or heads of many lines, that keep other clients
// from being answered or fill the memory.
func TestHeldConnectionsAreBounded(t *testing.T) {
	const budget = 1 << 20
	for name, text := range map[string]string{
		"nothing sent":       "",
		"one byte":           "G",
		"many lines":         "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 3000),
		"more than is legal": "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 30000),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			bounded := &Listener{Listener: listener, MaxConnections: 4, Memory: memory.NewBudget(3 * budget)}
			server := NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ready") }), 20_000)
			go func() { _ = server.Serve(bounded) }()
			t.Cleanup(func() { _ = server.Close() })
			for range 12 {
				connection, err := net.Dial("tcp", listener.Addr().String())
				g.Expect(err).NotTo(HaveOccurred())
				t.Cleanup(func() { _ = connection.Close() })
				_, _ = io.WriteString(connection, text)
				g.Expect(bounded.Memory.Used()).To(BeNumerically("<=", budget))
			}
			client := &http.Client{Timeout: 10 * time.Second}
			for range 3 {
				response, err := client.Get("http://" + listener.Addr().String())
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(response.StatusCode).To(Equal(http.StatusOK))
				g.Expect(response.Body.Close()).To(Succeed())
			}
			bounded.mu.Lock()
			defer bounded.mu.Unlock()
			g.Expect(bounded.conns.Len()).To(BeNumerically("<=", 4))
		})
	}
}
