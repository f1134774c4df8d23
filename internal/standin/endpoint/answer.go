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
	// missingBytes is how much a cut answer lacks.
	missingBytes = 10
	// doubleLinger is how long the connection of a double answer stays open, so
	// that a peer may wrongly use it again.
	doubleLinger = 500 * clock.Millis(1)
)

// answer writes the answer to a request that ran.
func (e *Endpoint) answer(w http.ResponseWriter, request *http.Request, body string) {
	id := request.Header.Get(wire.RequestIDHeader)
	fault, otherID, otherBody := e.answerFault(request.URL.Path, id, body)
	switch fault.Kind {
	case LateAnswer:
		time.Sleep(fault.Delay.Duration())
	case MismatchedAnswer:
		id, body = otherID, otherBody
	case TruncatedAnswer:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+missingBytes))
		_, _ = io.WriteString(w, body)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case DuplicateAnswer:
		answerTwice(w, id, body)
		return
	}
	w.Header().Set(wire.RequestIDHeader, id)
	_, _ = io.WriteString(w, body)
}

// answerFault returns the fault for this answer, and the id and body of the
// answer before it.
func (e *Endpoint) answerFault(path, id, body string) (fault AnswerFault, otherID, otherBody string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	otherID, otherBody = e.lastID, e.lastBody
	if otherID == "" || otherID == id {
		otherID, otherBody = "another-request", "another request's answer\n"
	}
	e.lastID, e.lastBody = id, body
	e.answered++
	fault = e.faults.Answer
	if !strings.HasPrefix(path, fault.PathPrefix) || (fault.Every > 0 && e.answered%fault.Every != 0) {
		return AnswerFault{}, "", ""
	}
	return fault, otherID, otherBody
}

// answerTwice takes over the connection, writes the answer twice, and leaves it
// open for a while without serving it.
func answerTwice(w http.ResponseWriter, id, body string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", wire.RequestIDHeader, id, len(body), body)
	_, _ = io.WriteString(conn, text+text)
	_ = conn.SetReadDeadline(time.Now().Add(doubleLinger.Duration()))
	_, _ = io.Copy(io.Discard, net.Conn(conn))
}
