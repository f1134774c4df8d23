package caller_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/wire/caller"
)

// smallReceiveBytes is a receive buffer smaller than all answers of these tests, which leaves
// most of an answer in the server's kernel, as a link does that needs several round trips.
const smallReceiveBytes = 2 << 10

// dialSmall opens a connection with a small receive buffer.
func (ts *testServer) dialSmall(g *WithT) *net.TCPConn {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallReceiveBytes)
		})
	}}
	connection, err := dialer.Dial("tcp", ts.address)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(connection.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
	return connection.(*net.TCPConn)
}

// slowReader reads up to bytes at a time and waits before each read.
type slowReader struct {
	io.Reader
	bytes int
	wait  time.Duration
}

func (s slowReader) Read(buffer []byte) (int, error) {
	time.Sleep(s.wait)
	return s.Reader.Read(buffer[:min(len(buffer), s.bytes)])
}

// Guards against an answer that this server destroys by its own close: bytes of the caller that
// come after the close, or lie unread, make the kernel send a reset.
func TestLastAnswerIsDeliveredThoughTheCallerSends(t *testing.T) {
	const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	const post = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n\r\n"
	body := strings.Repeat("b", 64<<10)
	for name, c := range map[string]struct {
		// sent is sent first, further after the answer's head.
		sent, further string
		answerBytes   int
		readBytes     int
		wait          time.Duration
	}{
		"large answer, further request":        {get, get, 400_000, 16 << 10, 5 * time.Millisecond},
		"5 KB, slow link, further request":     {get, get, 5_000, 500, 10 * time.Millisecond},
		"30 KB, slow link, further request":    {get, get, 30_000, 1000, 10 * time.Millisecond},
		"30 KB, slow link, further body":       {get, post + body, 30_000, 1000, 10 * time.Millisecond},
		"answer before the body was read":      {post + body[:100], body[100:], 30_000, 1000, 30 * time.Millisecond},
		"pipelined, slow link":                 {get + get, get, 15_000, 1500, 60 * time.Millisecond},
		"pipelined, slow link, further bodies": {get + get, post + body, 15_000, 1500, 60 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var requests atomic.Int32
			ts := newTestServer(t, func(s *caller.Server) {
				s.CloseTimeout = clock.Minute
				s.Handler = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
					_ = caller.AwaitTurn(request.Context(), request, true)
					if requests.Add(1) == int32(strings.Count(c.sent, "HTTP/1.1")) {
						w.Header().Set("Connection", "close")
					}
					w.Header().Set("Content-Length", fmt.Sprint(c.answerBytes))
					_, _ = w.Write(make([]byte, c.answerBytes))
				})
			})
			connection := ts.dialSmall(g)
			defer connection.Close()
			_, err := io.WriteString(connection, c.sent)
			g.Expect(err).NotTo(HaveOccurred())
			reader := bufio.NewReaderSize(slowReader{connection, c.readBytes, c.wait}, 1)
			for isLast := false; !isLast; {
				response, err := http.ReadResponse(reader, nil)
				g.Expect(err).NotTo(HaveOccurred())
				if isLast = response.Close; isLast {
					go func() { _, _ = io.WriteString(connection, c.further) }()
				}
				read, err := io.Copy(io.Discard, response.Body)
				g.Expect(err).NotTo(HaveOccurred(), "after %d bytes", read)
			}
			_, err = reader.ReadByte()
			g.Expect(err).To(Equal(io.EOF))
		})
	}
}

// Guards against a refusal that is destroyed by the close behind it.
func TestRefusalIsDeliveredThoughTheCallerSends(t *testing.T) {
	rest := strings.Repeat("b", 64<<10)
	for name, c := range map[string]struct {
		sent   string
		limit  int
		status int
	}{
		"malformed request":      {"lorem ipsum\r\n\r\n" + rest, 0, http.StatusBadRequest},
		"ambiguous length":       {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n" + rest, 0, http.StatusBadRequest},
		"head too large":         {"GET / HTTP/1.1\r\nHost: h\r\nA: " + rest, 0, http.StatusRequestHeaderFieldsTooLarge},
		"slow head":              {"GET / HTTP/1.1\r\nHost: h\r\n", 0, http.StatusRequestTimeout},
		"too many connections":   {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n\r\n" + rest, 1, http.StatusServiceUnavailable},
		"body longer than a max": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2097152\r\n\r\n" + strings.Repeat(rest, 32), 0, http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			ts := newTestServer(t, func(s *caller.Server) { s.MaxConnections, s.HeadTimeout = c.limit, 100 })
			if c.limit > 0 {
				first := ts.dial(g)
				defer first.Close()
				g.Eventually(func() int { return len(ts.Connections()) }, testTimeout).Should(Equal(1))
			}
			connection := ts.dial(g)
			defer connection.Close()
			go func() { _, _ = io.WriteString(connection, c.sent) }()
			// What the caller sends arrives before it reads.
			time.Sleep(200 * time.Millisecond)
			reader := bufio.NewReader(connection)
			response, err := http.ReadResponse(reader, nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(Equal(c.status))
			_, err = io.Copy(io.Discard, response.Body)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = reader.ReadByte()
			g.Expect(err).To(Equal(io.EOF))
		})
	}
}

// answerOf returns a handler that begins an answer of the given size with "Connection: close".
func answerOf(bytes int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.Header().Set("Content-Length", fmt.Sprint(bytes))
		_, _ = w.Write(make([]byte, bytes))
	}
}

// Guards against a stop that ends, and the process with it, while the kernel still holds a part
// of an answer.
func TestShutdownWaitsUntilTheLastAnswerIsDelivered(t *testing.T) {
	g := NewWithT(t)
	ts := newTestServer(t, func(s *caller.Server) { s.Handler = answerOf(30_000) })
	connection := ts.dialSmall(g)
	defer connection.Close()
	_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	reader := bufio.NewReader(connection)
	response, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	stopped := make(chan error, 1)
	go func() { stopped <- ts.Shutdown(context.Background()) }()
	g.Consistently(stopped, 500*time.Millisecond).ShouldNot(Receive())
	g.Expect(ts.Connections()).To(ContainElement(HaveField("State", caller.ConnClosing)))
	_, err = io.Copy(io.Discard, response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = reader.ReadByte()
	g.Expect(err).To(Equal(io.EOF))
	g.Expect(connection.Close()).To(Succeed())
	g.Eventually(stopped, time.Second).Should(Receive(BeNil()))
}

// Guards against callers that hold a connection, its descriptor and a stop after the last
// answer, and against waiting for those that have closed.
func TestWaitForTheCallersCloseIsBounded(t *testing.T) {
	sendForever := func(connection net.Conn) {
		for err := error(nil); err == nil; {
			_, err = connection.Write(make([]byte, 64<<10))
		}
	}
	for name, c := range map[string]struct {
		closeTimeout clock.Millis
		behave       func(connection net.Conn)
		want         caller.UndeliveredCause
	}{
		"caller does not close": {2 * clock.Second, func(net.Conn) {}, caller.UndeliveredUnconfirmed},
		"caller sends on":       {clock.Minute, sendForever, caller.UndeliveredUnconfirmed},
		"caller resets":         {clock.Minute, func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() }, caller.UndeliveredReset},
		"caller closes": {clock.Minute, func(c net.Conn) {
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			reports := make(chan caller.Undelivered, 1)
			ts := newTestServer(t, func(s *caller.Server) {
				s.Handler, s.CloseTimeout, s.OnUndelivered = answerOf(30_000), c.closeTimeout, func(u caller.Undelivered) { reports <- u }
			})
			connection := ts.dialSmall(g)
			defer connection.Close()
			_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(ts.Connections, testTimeout).Should(ConsistOf(HaveField("State", caller.ConnClosing)))
			c.behave(connection)
			g.Eventually(ts.Connections, 5*time.Second).Should(BeEmpty())
			if c.want == "" {
				g.Expect(reports).NotTo(Receive())
				return
			}
			g.Eventually(reports, testTimeout).Should(Receive(HaveField("Cause", c.want)))
		})
	}
}

// Guards against an answer that its handler has broken off and that looks whole to the caller,
// because the close waits for the caller in order.
func TestBrokenOffAnswerLooksTruncated(t *testing.T) {
	for name, length := range map[string]string{"with a length": "30000", "chunked": ""} {
		for _, requests := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, %d requests", name, requests), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				var begun atomic.Int32
				ts := newTestServer(t, func(s *caller.Server) {
					s.Handler = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
						_ = caller.AwaitTurn(request.Context(), request, true)
						if begun.Add(1) < int32(requests) {
							_, _ = w.Write(make([]byte, 20_000))
							return
						}
						if length != "" {
							w.Header().Set("Content-Length", length)
						}
						_, _ = w.Write(make([]byte, 20_000))
						panic(http.ErrAbortHandler)
					})
				})
				connection := ts.dialSmall(g)
				defer connection.Close()
				_, err := io.WriteString(connection, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", requests))
				g.Expect(err).NotTo(HaveOccurred())
				reader := bufio.NewReader(connection)
				for err == nil {
					var response *http.Response
					if response, err = http.ReadResponse(reader, nil); err == nil {
						_, err = io.Copy(io.Discard, response.Body)
						g.Expect(err == nil || errors.Is(err, io.ErrUnexpectedEOF)).To(BeTrue(), "%v", err)
					}
				}
				g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
			})
		}
	}
}

// Guards against an answer without a length to a caller of HTTP/1.0 that its handler has broken
// off and that looks whole: nothing but the end of the connection tells where it ends.
func TestBrokenOffAnswerToOldCallerEndsWithReset(t *testing.T) {
	for name, c := range map[string]struct {
		length   string
		isBroken bool
		want     error
	}{
		"broken off, no length":   {"", true, syscall.ECONNRESET},
		"broken off, with length": {"30000", true, io.ErrUnexpectedEOF},
		"whole, no length":        {"", false, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			ts := newTestServer(t, func(s *caller.Server) {
				s.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					if c.length != "" {
						w.Header().Set("Content-Length", c.length)
					}
					_, _ = w.Write(make([]byte, 20_000))
					if c.isBroken {
						panic(http.ErrAbortHandler)
					}
				})
			})
			connection := ts.dial(g)
			defer connection.Close()
			_, err := io.WriteString(connection, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
			g.Expect(err).NotTo(HaveOccurred())
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
			}
			g.Expect(errors.Is(err, c.want)).To(BeTrue(), "%v", err)
		})
	}
}

// Guards against a body whose Close is undone by the deadline of its next read, which then waits
// for a caller that sends nothing.
func TestReadOfAClosedBodyDoesNotWait(t *testing.T) {
	g := NewWithT(t)
	read := make(chan error, 1)
	ts := newTestServer(t, func(s *caller.Server) {
		s.Handler = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			body := caller.NewBody(w, request, 100, time.Now().Add(testTimeout))
			_ = body.Close()
			_, err := body.Read(make([]byte, 10))
			read <- err
		})
	})
	connection := ts.dial(g)
	defer connection.Close()
	_, err := io.WriteString(connection, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(read, time.Second).Should(Receive(HaveOccurred()))
}

// Guards against connections that were refused above MaxConnections and that take the room of
// others while their callers don't close, or the room of later refusals when they have.
func TestRefusedConnectionsTakeNoRoom(t *testing.T) {
	const moreThanHeld = 70
	g := NewWithT(t)
	ts := newTestServer(t, func(s *caller.Server) { s.MaxConnections = 1 })
	statusOf := func(connection net.Conn) int {
		_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		g.Expect(err).NotTo(HaveOccurred())
		return response.StatusCode
	}
	first := ts.dial(g)
	g.Expect(statusOf(first)).To(Equal(http.StatusOK))
	for range moreThanHeld {
		refused := ts.dial(g)
		g.Expect(statusOf(refused)).To(Equal(http.StatusServiceUnavailable))
		g.Expect(refused.Close()).To(Succeed())
	}
	held := ts.dial(g)
	defer held.Close()
	g.Expect(statusOf(held)).To(Equal(http.StatusServiceUnavailable))
	g.Expect(first.Close()).To(Succeed())
	g.Eventually(func() int { return len(ts.Connections()) }, testTimeout).Should(Equal(1))
	next := ts.dial(g)
	defer next.Close()
	g.Expect(statusOf(next)).To(Equal(http.StatusOK))
}
