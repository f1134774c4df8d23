package caller

import (
	"bytes"
	"strconv"

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
	// size is the size of what was read of the current or last head, of which isHeadOpen tells
	// whether it has not ended. An empty line before a request counts as a head.
	size       headSize
	isHeadOpen bool
	// bodyRemaining counts the bytes of the body that were not read yet.
	bodyRemaining int64
	// bodyBytes counts the bytes read of the body of the current or last request.
	bodyBytes int64
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
func (f *framing) isInHead() bool { return f.isHeadOpen }

// isInRequest reports whether a request was read in part.
func (f *framing) isInRequest() bool {
	return f.isHeadOpen || f.bodyRemaining > 0 || f.isEndUnknown
}

// advance returns how many of the received bytes belong to the current request and
// updates the position.
func (f *framing) advance(received []byte) (n int) {
	if f.bodyRemaining == 0 && !f.isEndUnknown {
		f.bodyBytes = 0
		var isComplete bool
		if n, isComplete = f.advanceHead(received); !isComplete {
			return n
		}
	}
	if f.isEndUnknown {
		f.bodyBytes += int64(len(received) - n)
		return len(received)
	}
	ofBody := min(int64(len(received)-n), f.bodyRemaining)
	f.bodyRemaining -= ofBody
	f.bodyBytes += ofBody
	return n + int(ofBody)
}

// advanceHead returns how many of the received bytes belong to the current head, and
// whether the head is complete.
func (f *framing) advanceHead(received []byte) (n int, isComplete bool) {
	if !f.isHeadOpen && len(received) > 0 {
		f.size, f.isHeadOpen = headSize{}, true
	}
	for n < len(received) {
		rest := received[n:]
		length := bytes.IndexByte(rest, '\n')
		if length < 0 {
			f.size.bytes += len(rest)
			f.keep(rest)
			return len(received), false
		}
		f.size.bytes += length + 1
		f.size.lines++
		n += length + 1
		if f.endLine(rest[:length]) {
			return n, true
		}
	}
	return n, false
}

// keep appends a part of the current line.
func (f *framing) keep(part []byte) {
	room := maxLineBytes - len(f.line)
	if len(part) > room {
		part, f.isLineCut = part[:room], true
	}
	f.line = append(f.line, part...)
}

// endLine parses the current line of the head, which ends with the given part, and reports
// whether the head is complete.
func (f *framing) endLine(last []byte) (isComplete bool) {
	if len(f.line) == 0 && len(last) <= maxLineBytes {
		// The whole line was received at once, as most are.
		return f.parseLine(last, false)
	}
	f.keep(last)
	line, isCut := f.line, f.isLineCut
	f.line, f.isLineCut = f.line[:0], false
	return f.parseLine(line, isCut)
}

// Names of the fields that tell where a request ends.
var (
	contentLengthName    = []byte("content-length")
	transferEncodingName = []byte("transfer-encoding")
)

// isName reports whether a field's name is the given one, in any case of ASCII letters.
func isName(name, wanted []byte) bool {
	return len(name) == len(wanted) && bytes.EqualFold(name, wanted)
}

// parseLine parses a line of the head and reports whether the head is complete. isCut is
// set if the line goes on beyond what is given.
func (f *framing) parseLine(line []byte, isCut bool) (isComplete bool) {
	line = bytes.TrimSuffix(line, []byte{'\r'})
	if len(line) == 0 {
		// If this is the first line, net/http refuses it and closes the connection.
		f.finishHead()
		return true
	}
	if line[0] == ' ' || line[0] == '\t' {
		f.isAmbiguous = true
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	name = bytes.TrimSpace(name)
	switch {
	case isName(name, contentLengthName):
		f.parseContentLength(string(bytes.TrimSpace(value)), isCut)
	case isName(name, transferEncodingName):
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
	f.isHeadOpen, f.contentLength = false, 0
	f.hasContentLength, f.hasTransferEncoding, f.isAmbiguous = false, false, false
}
