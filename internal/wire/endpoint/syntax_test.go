package endpoint_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
)

// malformedLines holds lines that are no fields.
var malformedLines = map[string]string{
	"a blank in a name":         "X Y: 1\r\n",
	"a blank behind a name":     "X-Y : 1\r\n",
	"a tab in a name":           "X\tY: 1\r\n",
	"a tab behind a name":       "X-Y\t: 1\r\n",
	"a control byte in a name":  "X\x01Y: 1\r\n",
	"NUL in a name":             "X\x00: 1\r\n",
	"DEL in a name":             "X\x7f: 1\r\n",
	"a byte above 127 in one":   "X\xe9: 1\r\n",
	"a carriage return in one":  "X\rY: 1\r\n",
	"a slash in a name":         "X/Y: 1\r\n",
	"an empty name":             ": 1\r\n",
	"no colon":                  "lorem\r\n",
	"a folded line":             "X-Y: 1\r\n 2\r\n",
	"a line folded with a tab":  "X-Y: 1\r\n\t2\r\n",
	"a folded first line":       " X-Y: 1\r\n",
	"a control byte in a value": "X-Y: a\x01b\r\n",
	"NUL in a value":            "X-Y: a\x00\r\n",
}

// Guards against an answer in whose heads or trailer a line is malformed: the line is passed
// on, or hides a field that tells where the answer ends.
func TestAnswerWithAMalformedLineIsRefused(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	for name, line := range malformedLines {
		for place, text := range map[string]string{
			"first in the head": strings.Replace(okResponse, "Request-Id", line+"Request-Id", 1),
			"last in the head":  strings.Replace(okResponse, "\r\n\r\n", "\r\n"+line+"\r\n", 1),
			"an interim head":   "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n" + line + "\r\n" + okResponse,
			"the trailer":       chunked + line + "\r\n",
			"a longer trailer":  chunked + "X-Z: 1\r\n" + line + "X-Z: 2\r\n\r\n",
		} {
			t.Run(name+"/"+place, func(t *testing.T) {
				expectDefect(t, text, endpoint.MalformedAnswer)
			})
		}
	}
}

// expectDefect sends a request that is answered with text, and expects that the answer is
// refused for the defect and its connection closed.
func expectDefect(t *testing.T, text string, defect endpoint.Defect) {
	t.Helper()
	g := NewWithT(t)
	server := newFaultyServer(t, respondWith(text, false))
	request := getRequest("r1")
	request.Trace = &endpoint.Trace{}
	content, err := exchange(&endpoint.Client{AcceptUnframed: true}, server.address, request)
	refusal, _ := fault.As[*reason.Refusal](err)
	g.Expect(refusal).NotTo(BeNil(), "%q was taken for the body of %q", content, text)
	g.Expect(refusal.Ran).To(Equal(reason.RanUnknown))
	g.Expect(request.Trace.Defect).To(Equal(defect), "%v", err)
	g.Eventually(func() int { _, _, closedConns := server.counts(); return closedConns }, testTimeout).Should(Equal(1))
}

// Guards against an answer whose status says nothing, which is passed over as an interim one
// or relayed.
func TestAnswerWithAnInvalidStatusIsRefused(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		final := strings.Replace(okResponse, "200", status, 1)
		for place, text := range map[string]string{
			"alone":                      final,
			"before the answer":          "HTTP/1.1 " + status + " \r\n\r\n" + okResponse,
			"behind an interim response": "HTTP/1.1 102 Wait\r\n\r\n" + final,
			"not run":                    strings.Replace(final, "Request-Id", "Request-Not-Run: full\r\nRequest-Id", 1),
		} {
			t.Run(status+"/"+place, func(t *testing.T) { expectDefect(t, text, endpoint.InvalidStatus) })
		}
	}
}

// Guards against a head whose body another reader finds to end elsewhere.
func TestBodyIsWhatAStrictReaderGets(t *testing.T) {
	const ok, chunks = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n", "2\r\nok\r\n0\r\n\r\n"
	for text, body := range map[string]string{
		ok + "Content-Length: 2\r\n\r\nok":                      "ok",
		ok + "content-LENGTH:2\r\n\r\nok":                       "ok",
		ok + "Content-Length: \t2 \t\r\n\r\nok":                 "ok",
		ok + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok": "ok",
		ok + "Transfer-Encoding: chunked\r\n\r\n" + chunks:      "ok",
		ok + "Transfer-Encoding:  Chunked \r\n\r\n" + chunks:    "ok",
		ok + "\r\nok": "ok",
		"HTTP/1.0 200 OK\r\nRequest-Id: ID\r\n\r\nok":                                                           "ok",
		"HTTP/1.1 200\r\nRequest-Id: ID\r\n\r\nok":                                                              "ok",
		"HTTP/1.1 200 \r\nRequest-Id: ID\r\nX: \xe9\t\r\n\r\nok":                                                "ok",
		"HTTP/1.1 200 caf\xe9\r\nRequest-Id: ID\r\n\r\nok":                                                      "ok",
		"HTTP/1.1 200 \u826f\t\r\nRequest-Id: ID\r\n\r\nok":                                                     "ok",
		"HTTP/1.1 299 Und so\r\nRequest-Id: ID\r\nX:\r\n\r\nok":                                                 "ok",
		ok + "Content-Length: 2\r\nContent-Length: 1\r\n\r\nok":                                                 "",
		ok + "Content-Length: 2, 2\r\n\r\nok":                                                                   "",
		ok + "Content-Length: +2\r\n\r\nok":                                                                     "",
		ok + "Content-Length: -2\r\n\r\nok":                                                                     "",
		ok + "Content-Length: 0x2\r\n\r\nok":                                                                    "",
		ok + "Content-Length: 2.0\r\n\r\nok":                                                                    "",
		ok + "Content-Length: 2 2\r\n\r\nok":                                                                    "",
		ok + "Content-Length:\r\n\r\nok":                                                                        "",
		ok + "Content-Length: 99999999999999999999\r\n\r\nok":                                                   "",
		ok + "Content-Length : 1\r\n\r\nok":                                                                     "",
		ok + "Content-Length\t: 1\r\n\r\nok":                                                                    "",
		ok + "Transfer-Encoding : chunked\r\n\r\n" + chunks:                                                     "",
		ok + "Transfer-Encoding: identity\r\n\r\nok":                                                            "",
		ok + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks:                                                "",
		ok + "Transfer-Encoding: chunked, x\r\n\r\n" + chunks:                                                   "",
		ok + "Transfer-Encoding: \"chunked\"\r\n\r\n" + chunks:                                                  "",
		ok + "Transfer-Encoding:\r\n\r\n" + chunks:                                                              "",
		ok + "Transfer-Encoding: chunked\r\n" + "Transfer-Encoding: chunked\r\n\r\n" + chunks:                   "",
		ok + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n" + chunks:                                 "",
		ok + "Content-Length: 12\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks:                                "",
		"HTTP/1.0 200 OK\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks:                      "",
		"HTTP/1.0 200 OK\r\nRequest-Id: ID\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n" + chunks: "",
		ok + "Transfer-Encoding: chunked\r\n\r\n+2\r\nok\r\n0\r\n\r\n":                                          "",
		ok + "Transfer-Encoding: chunked\r\n\r\n0x2\r\nok\r\n0\r\n\r\n":                                         "",
		ok + "Transfer-Encoding: chunked\r\n\r\n2\nok\r\n0\r\n\r\n":                                             "",
		ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok0\r\n\r\n":                                               "",
		ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n":                                               "",
		ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n":                                       "",
		"HTTP/2.0 200 OK\r\nRequest-Id: ID\r\n\r\nok":                                                           "",
		"HTTP/0.9 200 OK\r\nRequest-Id: ID\r\n\r\nok":                                                           "",
		"HTTP/1.1  200 OK\r\nRequest-Id: ID\r\n\r\nok":                                                          "",
		"HTTP/1.1 200 O\x01\r\nRequest-Id: ID\r\n\r\nok":                                                        "",
		"HTTP/1.1\t200 OK\r\nRequest-Id: ID\r\n\r\nok":                                                          "",
		"HTTP/1.1 +20 OK\r\nRequest-Id: ID\r\n\r\nok":                                                           "",
		"HTTP/1.1 0200 OK\r\nRequest-Id: ID\r\n\r\nok":                                                          "",
		"\r\nHTTP/1.1 200 OK\r\nRequest-Id: ID\r\n\r\nok":                                                       "",
	} {
		t.Run(text, func(t *testing.T) {
			g := NewWithT(t)
			server := newFaultyServer(t, respondWith(text, true))
			content, err := exchange(&endpoint.Client{AcceptUnframed: true}, server.address, getRequest("r1"))
			g.Expect(err == nil).To(Equal(body != ""), "%q: %v", content, err)
			if body != "" {
				g.Expect(content).To(Equal(body))
			}
		})
	}
}
