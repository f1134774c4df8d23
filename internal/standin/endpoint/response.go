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
	// truncatedBytes is how many bytes a truncated answer falls short of its
	// Content-Length.
	truncatedBytes = 10
	// duplicateCloseDelay is how long the connection stays open after a duplicate
	// answer. In that time, a faulty client can reuse the connection and take the
	// second copy for the answer to its next request.
	duplicateCloseDelay = 500 * clock.Millis(1)
)

// writeAnswer writes the answer to a request that ran, with the fault that applies to it.
func (e *Endpoint) writeAnswer(w http.ResponseWriter, request *http.Request, body string) {
	id := request.Header.Get(wire.RequestIDHeader)
	fault, mismatchedID, mismatchedBody := e.nextAnswerFault(request.URL.Path, id, body)
	switch fault.Kind {
	case LateAnswer:
		time.Sleep(fault.Delay.Duration())
	case MismatchedAnswer:
		id, body = mismatchedID, mismatchedBody
	case TruncatedAnswer:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+truncatedBytes))
		_, _ = io.WriteString(w, body)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case DuplicateAnswer:
		writeDuplicateAnswer(w, id, body)
		return
	}
	w.Header().Set(wire.RequestIDHeader, id)
	_, _ = io.WriteString(w, body)
}

// nextAnswerFault returns the fault to inject into this answer and, for a mismatched
// answer, the id and body of the previous request. If there is no previous request or
// it has the same id, fixed placeholders are returned instead.
func (e *Endpoint) nextAnswerFault(path, id, body string) (fault AnswerFault, mismatchedID, mismatchedBody string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	mismatchedID, mismatchedBody = e.lastID, e.lastBody
	if mismatchedID == "" || mismatchedID == id {
		mismatchedID, mismatchedBody = "another-request", "another request's answer\n"
	}
	e.lastID, e.lastBody = id, body
	e.answerCount++
	fault = e.faults.Answer
	if !strings.HasPrefix(path, fault.PathPrefix) || (fault.Every > 0 && e.answerCount%fault.Every != 0) {
		return AnswerFault{}, "", ""
	}
	return fault, mismatchedID, mismatchedBody
}

// writeDuplicateAnswer hijacks the connection, writes the answer twice, and closes the
// connection after duplicateCloseDelay. It discards what the client sends until then.
func writeDuplicateAnswer(w http.ResponseWriter, id, body string) {
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
