package endpoint_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/reason"
	"baobabladder.example/baobabladder/internal/wire/endpoint"
)

const shedResponse = "HTTP/1.1 503 No\r\nRequest-Id: ID\r\nRequest-Not-Run: full\r\nContent-Length: 3\r\n\r\nno\n"

// Guards against an endpoint's earlier refusal, written once more on a kept connection, that
// is taken for the answer to a request which the endpoint runs.
func TestRepeatedRefusalIsNoAnswerToTheNextRequest(t *testing.T) {
	for name, c := range map[string]struct {
		// repeated is written when the second request has arrived, in place of ID the
		// first one's id; response is the second one's.
		repeated, response string
		isAnswered         bool
	}{
		"before the answer":                {shedResponse, okResponse, true},
		"twice before the answer":          {shedResponse + shedResponse, okResponse, true},
		"and no answer":                    {shedResponse, "", false},
		"without an id":                    {strings.Replace(shedResponse, "Request-Id: ID\r\n", "", 1), okResponse, false},
		"with the connection's end":        {strings.Replace(shedResponse, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1), "", false},
		"cut":                              {shedResponse[:len(shedResponse)-1], "", false},
		"with ids of both requests":        {strings.Replace(shedResponse, "ID", "ID\r\nRequest-Id: r2", 1), okResponse, false},
		"three times before the answer":    {shedResponse + shedResponse + shedResponse, okResponse, false},
		"and the head of an answer":        {shedResponse, "HTTP/1.1 200 OK\r\nRequest-Id: r2\r\n", false},
		"as misdirected, before an answer": {strings.Replace(shedResponse, "503 No", "421 No", 1), okResponse, true},
	} {
		order := orderRequest("r2")
		order.NewConnection = false
		for kind, second := range map[string]*endpoint.Request{"get": getRequest("r2"), "order": order} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				g := NewWithT(t)
				server := newFaultyServer(t, func(server *faultyServer, connection net.Conn, reader *bufio.Reader) {
					first := server.readHead(reader)
					_, _ = io.WriteString(connection, strings.ReplaceAll(shedResponse, "ID", first))
					next := server.readHead(reader)
					_, _ = io.WriteString(connection, strings.ReplaceAll(c.repeated, "ID", first)+strings.ReplaceAll(c.response, "ID", next))
				})
				client := &endpoint.Client{AcceptUnframed: true}
				_, err := exchange(client, server.address, getRequest("r1"))
				_, isNotRun := fault.As[*endpoint.NotRunError](err)
				g.Expect(isNotRun).To(BeTrue(), "%v", err)
				_, err = exchange(client, server.address, second)
				if c.isAnswered {
					g.Expect(err).NotTo(HaveOccurred())
					return
				}
				refusal, ok := fault.As[*reason.Refusal](err)
				g.Expect(ok).To(BeTrue(), "%v", err)
				g.Expect(refusal.Ran).To(Equal(reason.RanUnknown), "%v", err)
			})
		}
	}
}

// Guards against an answer that is cut in its head, or anywhere before its end, and taken for
// a whole one.
func TestAnswerThatIsCutAnywhereIsNotWhole(t *testing.T) {
	for name, whole := range map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nAnswer-Stamp: s\r\nContent-Length: 12\r\n\r\nhello world\n",
		"in chunks":     "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\nAnswer-Stamp: s\r\n\r\n6\r\nhello \r\n6\r\nworld\n\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			length := 0
			server := newFaultyServer(t, func(server *faultyServer, connection net.Conn, reader *bufio.Reader) {
				server.readHead(reader)
				_, _ = io.WriteString(connection, whole[:length])
			})
			for length = range whole {
				client := &endpoint.Client{AcceptUnframed: true}
				body, err := exchange(client, server.address, getRequest("r1"))
				g.Expect(err).To(HaveOccurred(), fmt.Sprint(length, " bytes: ", body))
			}
			length = len(whole)
			g.Expect(exchange(&endpoint.Client{AcceptUnframed: true}, server.address, getRequest("r1"))).To(Equal("hello world\n"))
		})
	}
}

// Guards against the copy of a request's own earlier refusal that is taken for the answer to
// the request, sent again, which the endpoint runs.
func TestCopiedRefusalIsNoAnswerToItsRequestSentAgain(t *testing.T) {
	for _, status := range []string{"503", "429", "421", "400"} {
		for between := range 3 {
			for _, isAnswered := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%d between/answered %v", status, between, isAnswered), func(t *testing.T) {
					g := NewWithT(t)
					refusal := strings.NewReplacer("503", status, "ID", "again").Replace(shedResponse)
					var refused, ran atomic.Int32
					server := newFaultyServer(t, func(server *faultyServer, connection net.Conn, reader *bufio.Reader) {
						copied := ""
						for {
							switch id := server.readHead(reader); {
							case id == "":
								return
							case id != "again":
								_, _ = io.WriteString(connection, strings.ReplaceAll(okResponse, "ID", id))
							case refused.Add(1) == 1:
								copied = refusal
								_, _ = io.WriteString(connection, refusal)
							default:
								ran.Add(1)
								_, _ = io.WriteString(connection, copied)
								if !isAnswered {
									return
								}
								_, _ = io.WriteString(connection, strings.ReplaceAll(okResponse, "ID", id))
							}
						}
					})
					client := endpoint.New()
					_, err := exchange(client, server.address, getRequest("again"))
					_, isNotRun := fault.As[*endpoint.NotRunError](err)
					g.Expect(isNotRun).To(BeTrue(), "%v", err)
					for i := range between {
						_, err := exchange(client, server.address, getRequest(fmt.Sprint("other", i)))
						g.Expect(err).NotTo(HaveOccurred())
					}
					_, err = exchange(client, server.address, getRequest("again"))
					g.Expect(ran.Load()).To(BeEquivalentTo(1))
					if isAnswered {
						g.Expect(err).NotTo(HaveOccurred())
						return
					}
					refusalOfRun, ok := fault.As[*reason.Refusal](err)
					g.Expect(ok).To(BeTrue(), "%v", err)
					g.Expect(refusalOfRun.Ran).To(Equal(reason.RanUnknown), "%v", err)
				})
			}
		}
	}
}
