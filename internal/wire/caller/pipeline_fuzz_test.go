package caller_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"baobabladder.example/baobabladder/internal/wire/caller"
)

// FuzzPipelinedBytes sends bytes in two writes, split anywhere. The requests that are run
// must be those that net/http reads in the same bytes, in their order, and each must be
// answered with its own response.
func FuzzPipelinedBytes(f *testing.F) {
	get, post := rawGet("/a"), rawPost("/b", "body")
	for _, raw := range []string{
		get + get + get,
		get + post + get,
		post + get + "lorem ipsum\r\n\r\n" + get,
		get + "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" + get,
		get + "POST /c HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n 38\r\n\r\n" + get + get,
		get + "GET /d HTTP/1.0\r\nHost: h\r\n\r\n" + get,
		get + "GET /d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get,
		"\r\n" + get,
		get + "\n\n" + get,
		get + "GET /d HTTP/1.1\nHost: h\n\n" + get,
		get + "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody" + get,
		get + "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: +4\r\n\r\nbody" + get,
		get + "POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbody" + get,
	} {
		f.Add([]byte(raw), uint16(len(raw)/2))
		f.Add([]byte(raw), uint16(len(get)+1))
	}
	ts := newTestServer(f, func(s *caller.Server) {
		s.HeadTimeout, s.BodyGrace = 50, 50
		s.Handler = http.HandlerFunc(echoTarget)
	})
	f.Fuzz(func(t *testing.T, raw []byte, split uint16) {
		connection, err := net.Dial("tcp", ts.address)
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close()
		_ = connection.SetDeadline(time.Now().Add(testTimeout))
		at := min(int(split), len(raw))
		_, _ = connection.Write(raw[:at])
		_, _ = connection.Write(raw[at:])
		checkAnswers(t, raw, connection)
	})
}

// echoTarget responds with the request's method, target and body.
func echoTarget(w http.ResponseWriter, request *http.Request) {
	if caller.AwaitTurn(request.Context(), request, request.Method == http.MethodGet) != nil {
		return
	}
	body, _ := io.ReadAll(caller.NewBody(w, request, 1<<20, time.Now().Add(testTimeout)))
	_, _ = io.WriteString(w, request.Method+" "+request.RequestURI+" "+string(body))
}

// checkAnswers compares the responses on a connection with the requests that net/http reads
// in raw. The connection may end early, but no response may be of another request.
func checkAnswers(t *testing.T, raw []byte, connection net.Conn) {
	requests, responses := bufio.NewReader(bytes.NewReader(raw)), bufio.NewReader(connection)
	for number := 0; ; number++ {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || request.Close {
			return
		}
		response, err := http.ReadResponse(responses, request)
		if err != nil {
			return
		}
		content, err := io.ReadAll(response.Body)
		if err != nil || response.StatusCode != http.StatusOK || request.Method == http.MethodHead {
			return
		}
		if want := request.Method + " " + request.RequestURI + " " + string(body); string(content) != want {
			t.Fatalf("request %d of %q, %q, was answered with %q", number, raw, want, content)
		}
		if response.Close {
			return
		}
	}
}

// BenchmarkPipeline measures requests on one connection with a number of them in flight.
func BenchmarkPipeline(b *testing.B) {
	for _, inFlight := range []int{1, 2, 8, 32} {
		b.Run(strconv.Itoa(inFlight), func(b *testing.B) {
			ts := newTestServer(b, func(s *caller.Server) { s.Handler = http.HandlerFunc(echoTarget) })
			connection, err := net.Dial("tcp", ts.address)
			if err != nil {
				b.Fatal(err)
			}
			defer connection.Close()
			raw := strings.Repeat(rawGet("/a"), inFlight)
			reader := bufio.NewReader(connection)
			b.ReportAllocs()
			for sent := 0; sent < b.N; sent += inFlight {
				_, _ = io.WriteString(connection, raw)
				for range inFlight {
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						b.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, response.Body)
				}
			}
		})
	}
}
