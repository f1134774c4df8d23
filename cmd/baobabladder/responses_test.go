package main_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/standin/endpoint"
)

// largeResponses responds under /other/ with many lines of the request's path. Every
// third response is truncated, and every fifth carries another request's id.
func largeResponses(e *testEndpoint) http.HandlerFunc {
	const lines = 6000
	var responses atomic.Int64
	return func(w http.ResponseWriter, request *http.Request) {
		if !strings.HasPrefix(request.URL.Path, "/other/") {
			e.Endpoint.ServeHTTP(w, request)
			return
		}
		n := responses.Add(1)
		id := request.Header.Get("Request-Id")
		if n%5 == 0 {
			id = "another-request"
		}
		line := request.URL.Path + "\n"
		w.Header().Set("Request-Id", id)
		w.Header().Set("Content-Length", strconv.Itoa(lines*len(line)))
		if n%3 == 0 {
			_, _ = io.WriteString(w, strings.Repeat(line, lines/2))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, strings.Repeat(line, lines))
	}
}

var _ = Describe("a response", func() {
	It("belongs to the request if it is complete, and is visibly truncated if not, whatever endpoints send", func() {
		faults := []endpoint.ResponseFault{
			{Kind: endpoint.LateResponse, Every: 3, Delay: 400 * clock.Millis(1)},
			{Kind: endpoint.MismatchedResponse, Every: 3},
			{Kind: endpoint.TruncatedResponse, Every: 3},
			{Kind: endpoint.DuplicateResponse, Every: 3},
		}
		endpoints := startEndpoints(func(e *testEndpoint) { e.ServiceTime = 5; e.handle = largeResponses(e) }, "e1", "e2", "e3", "e4")
		f := startFleet(3, "lothian")
		keyText, _ := f.applyAndIssueKey(&serviceDocument{head: fmt.Sprintf(serviceHead, 10000, 10000), endpoints: endpoints})
		for i, e := range endpoints {
			e.SetFaults(endpoint.Faults{Response: faults[i]})
		}
		header := map[string]string{"Deadline-Ms": "300"}
		small := (&loadGenerator{fleet: f, key: keyText, prefix: "/catalogue/", senders: 9, pause: time.Millisecond, header: header}).start()
		large := (&loadGenerator{fleet: f, key: keyText, prefix: "/other/", senders: 6, pause: time.Millisecond}).start()
		small.runFor(4 * time.Second)
		// A response with another request's id may hold up a sender until the deadline, so
		// that the time until enough responses have arrived varies.
		Eventually(small.countComplete(true), "60s").Should(BeNumerically(">", 50))
		Eventually(large.countComplete(true), "60s").Should(BeNumerically(">", 20))
		Eventually(large.countComplete(false), "60s").Should(BeNumerically(">", 5))

		complete, truncated := map[string]int{}, map[string]int{}
		for _, l := range []*loadGenerator{small, large} {
			for _, s := range l.stop() {
				switch {
				case !s.isComplete:
					truncated[l.prefix]++
				case l == small:
					complete[l.prefix]++
					Expect(s.content).To(HaveSuffix(" " + s.path + " 0\n"))
				default:
					complete[l.prefix]++
					Expect(strings.Count(s.content, s.path+"\n")*len(s.path+"\n")).To(Equal(len(s.content)), s.path)
				}
			}
		}
		Expect(complete).To(HaveKeyWithValue("/catalogue/", BeNumerically(">", 50)))
		Expect(complete).To(HaveKeyWithValue("/other/", BeNumerically(">", 20)))
		Expect(truncated).To(HaveKeyWithValue("/other/", BeNumerically(">", 5)), "truncated large responses must be visible as such")
	})
})
