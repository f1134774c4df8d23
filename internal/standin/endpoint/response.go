package endpoint

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
	wire "baobabladder.example/baobabladder/internal/wire/endpoint"
)

const (
	// truncatedBytes is how many bytes a truncated response falls short of its
	// Content-Length.
	truncatedBytes = 10
	// duplicateCloseDelay is how long the connection stays open after a duplicate
	// response. In that time, a faulty client can reuse the connection and take the
	// second copy for the response to its next request.
	duplicateCloseDelay = 500 * clock.Millis(1)
)

// writeResponse writes the response to a request that ran, with the fault that applies
// to it.
func (e *Endpoint) writeResponse(w http.ResponseWriter, request *http.Request, body string) {
	id := request.Header.Get(wire.RequestIDHeader)
	fault, mismatchedID, mismatchedBody := e.nextResponseFault(request.URL.Path, id, body)
	switch fault.Kind {
	case LateResponse:
		time.Sleep(fault.Delay.Duration())
	case MismatchedResponse:
		id, body = mismatchedID, mismatchedBody
	case TruncatedResponse:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+truncatedBytes))
		_, _ = io.WriteString(w, body)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case DuplicateResponse:
		writeDuplicateResponse(w, id, body)
		return
	}
	w.Header().Set(wire.RequestIDHeader, id)
	_, _ = io.WriteString(w, body)
}

// nextResponseFault returns the fault to inject into this response and, for a
// mismatched response, the id and body of the previous request. If there is no previous
// request or it has the same id, fixed placeholders are returned instead.
func (e *Endpoint) nextResponseFault(path, id, body string) (fault ResponseFault, mismatchedID, mismatchedBody string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	mismatchedID, mismatchedBody = e.lastID, e.lastBody
	if mismatchedID == "" || mismatchedID == id {
		mismatchedID, mismatchedBody = "another-request", "another request's answer\n"
	}
	e.lastID, e.lastBody = id, body
	e.responseCount++
	fault = e.faults.Response
	if !strings.HasPrefix(path, fault.PathPrefix) || (fault.Every > 0 && e.responseCount%fault.Every != 0) {
		return ResponseFault{}, "", ""
	}
	return fault, mismatchedID, mismatchedBody
}

// writeDuplicateResponse hijacks the connection, writes the response twice, and closes
// the connection after duplicateCloseDelay. It discards what the client sends until
// then.
func writeDuplicateResponse(w http.ResponseWriter, id, body string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", wire.RequestIDHeader, id, len(body), body)
	_, _ = io.WriteString(conn, text+text)
	_ = conn.SetReadDeadline(time.Now().Add(duplicateCloseDelay.Duration()))
	_, _ = io.Copy(io.Discard, net.Conn(conn))
}
