package caller

import (
	"strconv"
	"strings"

	"baobabladder.example/baobabladder/internal/base/reason"
)

// maxLineBytes bounds the bytes kept of a header line. It is enough to parse
// Content-Length and Transfer-Encoding.
const maxLineBytes = 64

// framing tracks where requests begin and end in a stream of bytes. Its zero value is
// positioned between two requests. A request whose end net/http could see elsewhere is
// refused, because its body could otherwise be served as a request.
type framing struct {
	// line holds the current line of the head, up to maxLineBytes; isLineCut is set if the
	// line is longer.
	line      []byte
	isLineCut bool
	// headBytes counts the bytes read of the current head.
	headBytes int
	// bodyRemaining counts the bytes of the body that were not read yet.
	bodyRemaining int64
	// isEndUnknown is set for a chunked or refused request, whose end is not tracked.
	isEndUnknown bool
	// hasContentLength, hasTransferEncoding and contentLength hold what was parsed of
	// the current head, and isAmbiguous that a parser could read its length differently.
	hasContentLength, hasTransferEncoding, isAmbiguous bool
	contentLength                                      int64
	// refusal is the refusal of the request whose head is complete, or nil.
	refusal *reason.Refusal
}

// isInHead reports whether a head was read in part.
func (f *framing) isInHead() bool { return f.headBytes > 0 }

// isInRequest reports whether a request was read in part.
func (f *framing) isInRequest() bool {
	return f.headBytes > 0 || f.bodyRemaining > 0 || f.isEndUnknown
}

// advance returns how many of the received bytes belong to the current request and
// updates the position.
func (f *framing) advance(received []byte) (n int) {
	if f.bodyRemaining == 0 && !f.isEndUnknown {
		var isComplete bool
		if n, isComplete = f.advanceHead(received); !isComplete {
			return n
		}
	}
	if f.isEndUnknown {
		return len(received)
	}
	ofBody := min(int64(len(received)-n), f.bodyRemaining)
	f.bodyRemaining -= ofBody
	return n + int(ofBody)
}

// advanceHead returns how many of the received bytes belong to the current head, and
// whether the head is complete.
func (f *framing) advanceHead(received []byte) (n int, isComplete bool) {
	for i, c := range received {
		f.headBytes++
		if c != '\n' {
			f.keep(c)
			continue
		}
		if f.parseLine() {
			return i + 1, true
		}
	}
	return len(received), false
}

// keep appends a byte to the current line.
func (f *framing) keep(c byte) {
	if len(f.line) == maxLineBytes {
		f.isLineCut = true
		return
	}
	f.line = append(f.line, c)
}

// parseLine parses the current line of the head and reports whether the head is
// complete.
func (f *framing) parseLine() bool {
	line, isCut := strings.TrimSuffix(string(f.line), "\r"), f.isLineCut
	f.line, f.isLineCut = f.line[:0], false
	if line == "" {
		// If this is the first line, net/http refuses it and closes the connection.
		f.finishHead()
		return true
	}
	if line[0] == ' ' || line[0] == '\t' {
		f.isAmbiguous = true
	}
	name, value, _ := strings.Cut(line, ":")
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "content-length":
		f.parseContentLength(strings.TrimSpace(value), isCut)
	case "transfer-encoding":
		f.hasTransferEncoding = true
	}
	return false
}

func (f *framing) parseContentLength(value string, isCut bool) {
	length, err := strconv.ParseInt(value, 10, 64)
	if err != nil || isCut || f.hasContentLength && length != f.contentLength {
		f.isAmbiguous = true
	}
	f.hasContentLength, f.contentLength = true, length
}

// finishHead sets refusal, isEndUnknown and bodyRemaining from the parsed head and
// resets the head's state.
func (f *framing) finishHead() {
	switch {
	case f.hasContentLength && f.hasTransferEncoding:
		f.refusal = reason.NotRun(reason.BadRequest, 0, "the head has both Content-Length and Transfer-Encoding")
	case f.isAmbiguous:
		f.refusal = reason.NotRun(reason.BadRequest, 0, "the head has a folded line or an unclear Content-Length")
	}
	f.isEndUnknown = f.hasTransferEncoding || f.refusal != nil
	f.bodyRemaining = max(f.contentLength, 0)
	f.headBytes, f.contentLength = 0, 0
	f.hasContentLength, f.hasTransferEncoding, f.isAmbiguous = false, false, false
}
