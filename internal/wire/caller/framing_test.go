package caller

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// position is what a framing knows after some bytes.
type position struct {
	consumed, headBytes int
	bodyRemaining       int64
	isEndUnknown        bool
	refusal             string
}

// advanceIn hands the text to a new framing in two parts and, if byByte, byte by byte.
func advanceIn(text string, split int, byByte bool) (p position) {
	parts := []string{text[:split], text[split:]}
	if byByte {
		parts = strings.Split(text, "")
	}
	f := &framing{}
	for _, part := range parts {
		n := f.advance([]byte(part))
		p.consumed += n
		if n < len(part) {
			break
		}
	}
	p.bodyRemaining, p.isEndUnknown = f.bodyRemaining, f.isEndUnknown
	if f.isInHead() {
		p.headBytes = f.size.bytes
	}
	if f.refusal != nil {
		// Nothing behind a refused head is read.
		p.refusal, p.bodyRemaining = f.refusal.Detail, 0
	}
	return p
}

func TestFramingIsTheSameHoweverBytesAreSplit(t *testing.T) {
	const line = "GET / HTTP/1.1\r\nHost: a\r\n"
	long := strings.Repeat("x", maxLineBytes)
	for text, want := range map[string]position{
		line + "\r\n":                        {consumed: len(line) + 2},
		line + "\n":                          {consumed: len(line) + 1},
		line + "Hos":                         {consumed: len(line) + 3, headBytes: len(line) + 3},
		line + "CONTENT-length : 7\r\n\r\n":  {consumed: len(line) + 22, bodyRemaining: 7},
		line + "Content-Length: 3\r\n\r\nab": {consumed: len(line) + 23, bodyRemaining: 1},
		line + "Content-Length: 2\r\nContent-Length: 2\r\n\r\n":                     {consumed: len(line) + 40, bodyRemaining: 2},
		line + "Transfer-Encoding: chunked\r\n\r\n":                                 {consumed: len(line) + 30, isEndUnknown: true},
		line + long + ": 1\r\nContent-Length: 4\r\n\r\n":                            {consumed: len(line) + maxLineBytes + 26, bodyRemaining: 4},
		line + "Tran\u017ffer-Encoding: chunked\r\n\r\n":                            {consumed: len(line) + 31},
		line + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n":            {consumed: len(line) + 49, isEndUnknown: true, refusal: "the head has both Content-Length and Transfer-Encoding"},
		line + " Content-Length: 2\r\n\r\n":                                         {consumed: len(line) + 22, isEndUnknown: true, refusal: "the head has a folded line or an unclear Content-Length"},
		line + "Content-Length: 1" + strings.Repeat("0", maxLineBytes) + "\r\n\r\n": {consumed: len(line) + 21 + maxLineBytes, isEndUnknown: true, refusal: "the head has a folded line or an unclear Content-Length"},
	} {
		g := NewWithT(t)
		for split := range len(text) + 1 {
			g.Expect(advanceIn(text, split, false)).To(Equal(want), "%q at %d", text, split)
		}
		g.Expect(advanceIn(text, 0, true)).To(Equal(want), "%q byte by byte", text)
	}
}
