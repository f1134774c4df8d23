package caller_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/policy/memory"
	"baobabladder.example/baobabladder/internal/wire/caller"
)

// Guards against legal heads that are refused, and against limits of a configuration that are
// not enforced, or only on new connections.
func TestHeadLimitsMayChange(t *testing.T) {
	head := func(bytes int) string {
		return "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", bytes/4) + "\r\n"
	}
	g := NewWithT(t)
	ts := newTestServer(t, nil)
	connection := ts.dial(g)
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for _, step := range []struct {
		limit  int64
		bytes  int
		pieces int
		want   int
	}{
		{0, 16_384, 1, http.StatusOK},
		{32_768, 32_768, 1, http.StatusOK},
		{8_192, 8_192, 1, http.StatusOK},
		{8_192, 8_192, 4_000, http.StatusOK},
		{8_192, 12_400, 1, http.StatusRequestHeaderFieldsTooLarge},
	} {
		ts.SetLimits(caller.Limits{MaxHeadBytes: step.limit})
		text := head(step.bytes)
		for size := len(text)/step.pieces + 1; text != ""; text = text[min(size, len(text)):] {
			_, err := io.WriteString(connection, text[:min(size, len(text))])
			g.Expect(err).NotTo(HaveOccurred())
		}
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(step.want), "%d bytes, %d allowed", step.bytes, step.limit)
		_, err = io.Copy(io.Discard, response.Body)
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// Guards against times of a configuration that are not enforced, and against the close of an
// idle connection within its time, which the time of a head must not shorten.
func TestTimesOfLimitsMayChange(t *testing.T) {
	g := NewWithT(t)
	ts := newTestServer(t, nil)
	ts.SetLimits(caller.Limits{HeadTimeout: 100, IdleTimeout: 1500})
	for _, rest := range []string{"", "GET"} {
		connection := ts.dial(g)
		defer connection.Close()
		reader := bufio.NewReader(connection)
		for range 2 {
			_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			g.Expect(err).NotTo(HaveOccurred())
			response, err := http.ReadResponse(reader, nil)
			g.Expect(err).NotTo(HaveOccurred())
			_, _ = io.Copy(io.Discard, response.Body)
			time.Sleep(600 * time.Millisecond)
		}
		_, err := io.WriteString(connection, rest)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = reader.ReadByte()
		if rest == "" {
			g.Expect(err).To(Equal(io.EOF))
		} else {
			g.Expect(err).NotTo(HaveOccurred(), "a slow head is refused")
		}
	}
}

// Guards against heads and bodies that take more memory than there is, against a refusal for
// lack of memory that does not promise "not run", and against ordinary requests that find no
// memory beside callers that only hold it.
func TestMemoryIsBounded(t *testing.T) {
	const budget = 2 << 20
	lines := strings.Repeat("a:\r\n", 3000)
	for name, held := range map[string]string{
		"head not ended": "GET / HTTP/1.1\r\nHost: h\r\n" + lines,
		"body awaited":   "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n" + lines + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			shared := memory.NewBudget(3 * budget)
			var displaced atomic.Int64
			ts := newTestServer(t, func(s *caller.Server) {
				s.Memory = shared
				s.OnHeadRefused = func(cause caller.HeadCause) {
					if cause == caller.HeadDisplaced {
						displaced.Add(1)
					}
				}
			})
			var connections []net.Conn
			for range 12 {
				connection := ts.dial(g)
				defer connection.Close()
				_, _ = io.WriteString(connection, held)
				connections = append(connections, connection)
				g.Expect(shared.Used()).To(BeNumerically("<=", budget))
			}
			g.Eventually(displaced.Load, testTimeout).Should(BeNumerically(">", 0))
			_, err := connections[0].Read(make([]byte, 1))
			g.Expect(err).To(HaveOccurred(), "the one that has held memory longest is closed")
			g.Expect(ts.roundTrip(g, "GET / HTTP/1.1\r\nHost: h\r\n\r\n").StatusCode).To(Equal(http.StatusOK))
			for _, connection := range connections {
				_ = connection.Close()
			}
			g.Eventually(shared.Used, testTimeout).Should(BeZero())
		})
	}
	t.Run("refusal", func(t *testing.T) {
		g := NewWithT(t)
		ts := newTestServer(t, func(s *caller.Server) { s.Memory = memory.NewBudget(3 * 256 << 10) })
		response := ts.roundTrip(g, "GET / HTTP/1.1\r\nHost: h\r\n"+lines+"\r\n")
		g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		g.Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
		g.Expect(response.Header.Get(caller.RanHeader)).To(BeEquivalentTo(reason.RanNo))
	})
}

// Guards against callers that open connections and send nothing, so that others get none.
func TestHeldConnectionsKeepNobodyOut(t *testing.T) {
	g := NewWithT(t)
	ts := newTestServer(t, func(s *caller.Server) { s.MaxConnections = 3 })
	for i := range 3 {
		defer ts.dial(g).Close()
		g.Eventually(func() int { return len(ts.Connections()) }, testTimeout).Should(Equal(i + 1))
	}
	g.Eventually(func() int { return ts.roundTrip(g, "GET / HTTP/1.1\r\nHost: h\r\n\r\n").StatusCode }, "5s").Should(Equal(http.StatusOK))
}

// Guards against chunk extensions and trailers that fill the memory. net/http bounds both: a
// trailer by the size of its buffer, extensions by the bytes of the chunks.
func TestChunkExtensionsAndTrailersAreBounded(t *testing.T) {
	for name, body := range map[string]string{
		"one extension":   "1;a=" + strings.Repeat("x", 1<<20) + "\r\nx\r\n0\r\n\r\n",
		"many extensions": strings.Repeat("1;"+strings.Repeat("x", 2000)+"\r\na\r\n", 500) + "0\r\n\r\n",
		"trailer":         "1\r\nx\r\n0\r\n" + strings.Repeat("a:\r\n", 3000) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ts := newTestServer(t, nil)
			connection := ts.dial(g)
			defer connection.Close()
			go func() {
				_, _ = io.WriteString(connection, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+body)
			}()
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
			g.Expect(response.Header.Get(caller.ReasonHeader)).To(BeEquivalentTo(reason.BodyShort))
		})
	}
}
