package trial

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Host is the host name of the routes, Key the key of the callers' workspace.
const (
	Host = "jepu9.example"
	Key  = "tnfzs989anu6wsjnbanf"
)

// callerTimeout is how long a caller waits beyond the deadline that it states.
const callerTimeout = 5 * time.Second

// Connection is a caller's kept connection.
type Connection struct {
	conn   net.Conn
	reader *bufio.Reader
	// Requests counts the requests that were answered on it.
	Requests int
}

// Dial connects a caller to a VM.
func Dial(vm *VM) (*Connection, error) {
	conn, err := net.DialTimeout("tcp", vm.CallerAddress, time.Second)
	if err != nil {
		return nil, err
	}
	return &Connection{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (c *Connection) Close() { _ = c.conn.Close() }

// Answer is how a request ended for its caller.
type Answer struct {
	ID string
	// Status is 0 if the connection ended without an answer; Err tells how then.
	Status int
	// Stamp is the endpoint's signature, or empty.
	Stamp string
	Body  string
	// IsClosing reports that the VM closes the connection after the answer.
	IsClosing bool
	Err       error
}

// NewID returns a new request id.
func NewID() string {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

func head(method, path, id string, deadline time.Duration, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s\r\n", method, path, Host, id, deadline.Milliseconds(), Key, fields)
}

// Get sends a request without a body and reads its answer.
func (c *Connection) Get(path string, deadline time.Duration) Answer {
	id := NewID()
	_ = c.conn.SetDeadline(time.Now().Add(deadline + callerTimeout))
	if _, err := io.WriteString(c.conn, head(http.MethodGet, path, id, deadline, "")); err != nil {
		return Answer{ID: id, Err: err}
	}
	return c.read(id, http.MethodGet)
}

// Upload sends a request with a body in chunks of chunkBytes, one each pause, and reads its
// answer. It stops to send when the answer comes or the connection ends.
func (c *Connection) Upload(path string, deadline time.Duration, chunks, chunkBytes int, pause time.Duration) Answer {
	id := NewID()
	_ = c.conn.SetDeadline(time.Now().Add(deadline + callerTimeout))
	answers := make(chan Answer, 1)
	go func() { answers <- c.read(id, http.MethodPost) }()
	if _, err := io.WriteString(c.conn, head(http.MethodPost, path, id, deadline, "Transfer-Encoding: chunked\r\n")); err != nil {
		return <-answers
	}
	chunk := []byte(fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("a", chunkBytes)))
	for range chunks {
		select {
		case answer := <-answers:
			return answer
		default:
		}
		if _, err := c.conn.Write(chunk); err != nil {
			return <-answers
		}
		time.Sleep(pause)
	}
	_, _ = io.WriteString(c.conn, "0\r\n\r\n")
	return <-answers
}

// Post sends a request with a body of a declared length, which it writes at once, on a public
// route: it bears no key. If leaveAfter is
// not 0, the caller closes the connection that long after the last byte, unless it has the answer.
func (c *Connection) Post(path string, deadline time.Duration, bodyBytes int, leaveAfter time.Duration) (answer Answer, leftAt time.Time) {
	id := NewID()
	_ = c.conn.SetDeadline(time.Now().Add(deadline + callerTimeout))
	answers := make(chan Answer, 1)
	go func() { answers <- c.read(id, http.MethodPost) }()
	text := head(http.MethodPost, path, id, deadline, fmt.Sprintf("Content-Length: %d\r\n", bodyBytes))
	text = strings.Replace(text, "Authorization: Bearer "+Key+"\r\n", "", 1)
	_, err := io.WriteString(c.conn, text+strings.Repeat("a", bodyBytes))
	if err != nil || leaveAfter == 0 {
		return <-answers, time.Time{}
	}
	select {
	case answer = <-answers:
		return answer, time.Time{}
	case <-time.After(leaveAfter):
	}
	c.Close()
	return Answer{ID: id}, time.Now()
}

// read reads one answer.
func (c *Connection) read(id, method string) Answer {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return Answer{ID: id, Err: err}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{ID: id, Err: err}
	}
	c.Requests++
	return Answer{ID: id, Status: response.StatusCode, Stamp: response.Header.Get("Server-Stamp"), Body: string(body), IsClosing: response.Close}
}
