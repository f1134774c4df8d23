package caller

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
)

// FuzzHeadSize compares what framing counts of a head, received in two pieces or byte by byte,
// with what net/http reads in the same bytes. Fewer lines than fields, or another end of the
// head, would let a caller use more memory than is claimed.
func FuzzHeadSize(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET / HTTP/1.1\nHost: h\na:\nb:\n\nGET",
		"GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 100) + "\r\nbody",
		"GET / HTTP/1.1\r\nHost: h\r\nA: b\r\r\n\r\n",
		"\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		f.Add([]byte(text), uint16(len(text)/2))
	}
	f.Fuzz(func(t *testing.T, raw []byte, split uint16) {
		reader := bufio.NewReaderSize(bytes.NewReader(raw), len(raw)+16)
		request, err := http.ReadRequest(reader)
		at := min(int(split), len(raw))
		pieces := [][]byte{raw[:at], raw[at:]}
		bytewise := bytes.SplitAfter(raw, nil)
		for _, received := range [][][]byte{pieces, bytewise} {
			size, isOpen := sizeOfHead(received)
			if err != nil {
				continue
			}
			fields := 0
			for _, values := range request.Header {
				fields += len(values)
			}
			if isOpen || size.bytes != len(raw)-reader.Buffered() || size.lines < fields+2 {
				t.Fatalf("counted %+v, open %t; net/http read %d bytes with %d fields", size, isOpen, len(raw)-reader.Buffered(), fields)
			}
		}
	})
}

// sizeOfHead returns the size of the first head in what was received, and whether it has not
// ended.
func sizeOfHead(received [][]byte) (size headSize, isOpen bool) {
	f := &framing{}
	for _, piece := range received {
		if len(piece) == 0 {
			continue
		}
		f.advance(piece)
		if !f.isInHead() {
			return f.size, false
		}
	}
	return f.size, true
}
