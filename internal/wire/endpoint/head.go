package endpoint

import (
	"bytes"
	"context"
	"net/http"
	"net/textproto"
	"regexp"
	"strconv"
	"strings"

	"baobabladder.example/baobabladder/internal/base/reason"
)

// hopByHop lists headers that concern one connection only and headers that this
// package sets itself. It includes Authorization and Proxy-Authorization because the
// caller's key must not leave the entry VM.
var hopByHop = map[string]bool{
	"Authorization":       true,
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Host":                true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	RequestIDHeader:       true,
	DeadlineHeader:        true,
}

// entryOnlyHeaders lists headers that only an entry VM may set in a response to a
// caller.
var entryOnlyHeaders = map[string]bool{
	"Order-Replayed": true,
	"Refusal-Reason": true,
	"Request-Ran":    true,
	NotRunHeader:     true,
	LoadHeader:       true,
}

// checkRequest refuses a method or target that cannot be forwarded in a well-formed
// head, and an id whose echo holdsStatusLine would find.
func checkRequest(request *Request) *reason.Refusal {
	switch request.Method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions:
	default:
		return reason.NotRun(reason.BadRequest, 0, "the method is not passed on")
	}
	if !strings.HasPrefix(request.Target, "/") || strings.ContainsFunc(request.Target, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		return reason.NotRun(reason.BadRequest, 0, "the path is not passed on")
	}
	if statusLine.MatchString(request.ID) {
		return reason.NotRun(reason.BadRequest, 0, "the request id is not passed on: its echo can't be told from the beginning of an answer")
	}
	return nil
}

// formatHead returns the head that is sent to the endpoint.
func formatHead(ctx context.Context, address string, request *Request) []byte {
	buffer := &bytes.Buffer{}
	line := func(parts ...string) {
		for _, part := range parts {
			buffer.WriteString(part)
		}
		buffer.WriteString("\r\n")
	}
	line(request.Method, " ", request.Target, " HTTP/1.1")
	host := address
	if request.Host != "" {
		host = request.Host
	}
	line("Host: ", host)
	_ = request.Header.WriteSubset(buffer, withConnectionTokens(request.Header))
	line(RequestIDHeader, ": ", request.ID)
	if remaining, ok := formatRemaining(ctx); ok {
		line(DeadlineHeader, ": ", remaining)
	}
	switch {
	case request.Body == nil && mayHaveBody(request.Method):
		line("Content-Length: 0")
	case request.Body == nil:
	case request.Length >= 0:
		line("Content-Length: ", strconv.FormatInt(request.Length, 10))
	default:
		line("Transfer-Encoding: chunked")
	}
	if request.ExpectContinue && request.Body != nil {
		line("Expect: 100-continue")
	}
	line()
	return buffer.Bytes()
}

func mayHaveBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// withConnectionTokens returns the headers that are not forwarded: those in hopByHop
// and those that the Connection header lists.
func withConnectionTokens(header http.Header) map[string]bool {
	named := header.Values("Connection")
	if len(named) == 0 {
		return hopByHop
	}
	exclude := make(map[string]bool, len(hopByHop)+len(named))
	for name := range hopByHop {
		exclude[name] = true
	}
	for _, value := range named {
		for token := range strings.SplitSeq(value, ",") {
			exclude[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	return exclude
}

// RemoveConnectionHeaders removes the headers that concern one connection only.
func RemoveConnectionHeaders(header http.Header) {
	for name := range withConnectionTokens(header) {
		header.Del(name)
	}
}

// filterResponseHeader removes from a response header what the caller must not
// receive and returns the header.
func (c *Client) filterResponseHeader(header http.Header) http.Header {
	for _, name := range []string{c.Names.load(), c.Names.notRun(), c.Names.Leaving} {
		delete(header, http.CanonicalHeaderKey(name))
	}
	exclude := withConnectionTokens(header)
	for name := range header {
		if (exclude[name] && name != RequestIDHeader) || entryOnlyHeaders[name] {
			delete(header, name)
		}
	}
	return header
}

var errTwoHeads error = reason.MayHaveRun(reason.AnswerCrossed, "the endpoint's answer begins inside of another one")

// statusLine matches the beginning of a status line in the forms that net/http reads.
var statusLine = regexp.MustCompile(`HTTP/\d\.\d +\d{3}`)

// holdsStatusLine reports whether a response head, as it was received, holds a status line
// besides its own: the beginning of one head and another head were read as one. The status of
// such a response may be that of the first, and the id that of the second. net/http can't
// tell, since it removes some headers.
func holdsStatusLine(head []byte) bool {
	_, behindProtocol, _ := bytes.Cut(head, []byte(" "))
	return statusLine.Match(behindProtocol)
}
