package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"baobabladder.example/baobabladder/internal/wire/caller"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
)

const waitTimeout = 10 * time.Second

// serveCallers serves callers on a loopback address, and the VM's endpoint with respond.
func serveCallers(t testing.TB, respond func(http.ResponseWriter, *http.Request)) (v *testVM, e *testEndpoint, connection net.Conn) {
	t.Helper()
	g := NewWithT(t)
	e = &testEndpoint{}
	e.setRespond(respond)
	endpoints := httptest.NewServer(e)
	t.Cleanup(endpoints.Close)
	v = newTestVM(t, "vm-1", "a", false, 1, strings.TrimPrefix(endpoints.URL, "http://"))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := &caller.Server{Handler: v.gateway, Refusals: v.gateway.Refuser, IdleCloseDelay: 1}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	connection, err = net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = connection.Close() })
	return v, e, connection
}

func rawRequest(method, path, id string, deadline time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: 0\r\n\r\n",
		method, path, endpoint.RequestIDHeader, id, caller.DeadlineHeader, deadline.Milliseconds())
}

// readAnswer reads the next response and its body.
func readAnswer(g Gomega, reader *bufio.Reader) (response *http.Response, content string) {
	response, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return response, string(body)
}

func TestPipelinedLookupsRunTogether(t *testing.T) {
	g := NewWithT(t)
	const count = 4
	var running atomic.Int32
	together := make(chan struct{})
	_, _, connection := serveCallers(t, func(w http.ResponseWriter, request *http.Request) {
		if running.Add(1) == count {
			close(together)
		}
		select {
		case <-together:
			_, _ = io.WriteString(w, request.URL.Path)
		case <-request.Context().Done():
		}
	})
	var raw strings.Builder
	for i := range count {
		raw.WriteString(rawRequest("GET", fmt.Sprintf("/read/%d", i), fmt.Sprintf("id-%d", i), time.Second))
	}
	_, _ = io.WriteString(connection, raw.String())
	reader := bufio.NewReader(connection)
	for i := range count {
		response, content := readAnswer(g, reader)
		g.Expect(content).To(Equal(fmt.Sprintf("/read/%d", i)))
		g.Expect(response.Header.Get(endpoint.RequestIDHeader)).To(Equal(fmt.Sprintf("id-%d", i)))
	}
}

// Guards against a request that is served after its deadline because its time counted
// only from its turn on the connection.
func TestDeadlineCountsWhileRequestWaitsBehindOthers(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	v, e, connection := serveCallers(t, func(w http.ResponseWriter, request *http.Request) {
		<-release
		_, _ = io.WriteString(w, request.URL.Path)
	})
	log, hook := test.NewNullLogger()
	v.gateway.Log = log
	const shortDeadline = 200 * time.Millisecond
	_, _ = io.WriteString(connection, rawRequest("GET", "/read/a", "id-1", 2*time.Second)+rawRequest("POST", "/order/b", "id-2", shortDeadline))
	g.Eventually(e.allRuns, waitTimeout).Should(HaveLen(1))
	time.Sleep(2 * shortDeadline)
	close(release)
	reader := bufio.NewReader(connection)
	first, _ := readAnswer(g, reader)
	g.Expect(first.StatusCode).To(Equal(http.StatusOK))
	second, _ := readAnswer(g, reader)
	g.Expect(second.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(second.Header.Get(caller.RanHeader)).To(Equal("no"))
	g.Expect(e.allRuns()).To(HaveLen(1))
	g.Eventually(func() *logrus.Entry { return entryOf(hook, "id-2") }, waitTimeout).ShouldNot(BeNil())
	g.Expect(entryOf(hook, "id-2").Data["waited_ms"]).To(BeNumerically(">=", shortDeadline.Milliseconds()))
}

// entryOf returns the last log line about a request.
func entryOf(hook *test.Hook, id string) (last *logrus.Entry) {
	for _, entry := range hook.AllEntries() {
		if entry.Data["request_id"] == id {
			last = entry
		}
	}
	return last
}

// BenchmarkLookups measures look-ups on one connection, through a VM to an endpoint, with a
// number of them in flight.
func BenchmarkLookups(b *testing.B) {
	for _, inFlight := range []int{1, 2, 8, 32} {
		b.Run(strconv.Itoa(inFlight), func(b *testing.B) {
			g := NewWithT(b)
			_, _, connection := serveCallers(b, nil)
			raw := strings.Repeat(rawRequest("GET", "/read/a", "id-1", waitTimeout), inFlight)
			reader := bufio.NewReader(connection)
			b.ReportAllocs()
			for sent := 0; sent < b.N; sent += inFlight {
				_, _ = io.WriteString(connection, raw)
				for range inFlight {
					readAnswer(g, reader)
				}
			}
		})
	}
}
