package body_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/wire/body"
)

func TestReplyThatCannotBeReliedOnIsRefused(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for text, want := range map[string]struct{ head, whole bool }{
		ok + "Content-Length: 2\r\n\r\nok":                            {true, true},
		ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n": {true, true},
		"HTTP/1.1 204 No\r\n\r\n":                                     {true, true},
		"HTTP/1.1 599 No\r\nContent-Length: 0\r\n\r\n":                {true, true},
		ok + "\r\nok": {true, false},
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":     {true, false},
		ok + "Content-Length : 2\r\n\r\nok":                                  {},
		ok + "Content-Length: 2\r\nObject Version: 1\r\n\r\nok":              {},
		ok + "Transfer-Encoding : chunked\r\nContent-Length: 2\r\n\r\nok":    {},
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok":                     {},
		"HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nok":                     {},
		"HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok":                     {},
		"HTTP/1.1 999 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nmore": {},
	} {
		t.Run(text, func(t *testing.T) {
			g := NewWithT(t)
			reply, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
			g.Expect(err).NotTo(HaveOccurred())
			headErr, err := body.CheckHead(reply), body.CheckReply(reply)
			g.Expect(headErr == nil).To(Equal(want.head), "%v", headErr)
			g.Expect(err == nil).To(Equal(want.whole), "%v", err)
			g.Expect(err == nil || errorx.IsOfType(err, body.ErrUnreliable)).To(BeTrue())
		})
	}
}
