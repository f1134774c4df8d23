package endpoint

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"regexp"
	"strings"

	"baobabladder.example/baobabladder/internal/base/reason"
)

// maxTrailerBytes bounds the trailer of a response in chunks.
const maxTrailerBytes = 4 << 10

// defectError is the error for an answer that net/http would read.
type defectError struct {
	*reason.Refusal
	defect Defect
}

// Unwrap returns the refusal that is sent to the caller.
func (d *defectError) Unwrap() error { return d.Refusal }

func newDefect(defect Defect, why reason.Reason, format string, args ...any) error {
	return &defectError{reason.MayHaveRun(why, format, args...), defect}
}

// strictStatusLine matches a whole status line of HTTP/1.
var strictStatusLine = regexp.MustCompile(`^HTTP/1\.[0-9] ([0-9]{3})(?: [^\x00-\x08\x0a-\x1f\x7f]*)?$`)

// checkHead returns an error if the lines of a response head, as they were received, are not
// in the form of RFC 9112, or its status has no meaning. net/http takes blanks in the names of
// fields, and then doesn't know the fields, any three digits for a status, folded lines, and a
// length beside chunks.
func checkHead(head []byte) error {
	statusLine, fields, isWhole := bytes.Cut(head, []byte("\n"))
	if !isWhole {
		return nil
	}
	matched := strictStatusLine.FindSubmatch(trimCR(statusLine))
	if matched == nil {
		return newDefect(MalformedAnswer, reason.EndpointFailed, "the endpoint's answer begins with a malformed status line")
	}
	if status := string(matched[1]); status < "100" || status > "599" {
		return newDefect(InvalidStatus, reason.EndpointFailed, "the endpoint's answer has the status %s, which is not one of 100 to 599", status)
	}
	isOld := bytes.HasPrefix(statusLine, []byte("HTTP/1.0"))
	return checkFields(fields, isOld)
}

// checkFields checks the field lines of a head. isOld reports a protocol without chunks.
func checkFields(fields []byte, isOld bool) error {
	hasLength, hasEncoding := false, false
	for line := range bytes.Lines(fields) {
		line, isWhole := bytes.CutSuffix(line, []byte("\n"))
		line = trimCR(line)
		if !isWhole || len(line) == 0 {
			break
		}
		name, ok := fieldName(line)
		if !ok {
			return newDefect(MalformedAnswer, reason.EndpointFailed, "the endpoint's answer has a malformed line in its head")
		}
		hasLength = hasLength || bytes.EqualFold(name, contentLengthName)
		hasEncoding = hasEncoding || bytes.EqualFold(name, transferEncodingName)
	}
	if hasEncoding && (hasLength || isOld) {
		return newDefect(MalformedAnswer, reason.EndpointFailed, "the endpoint's answer has a Transfer-Encoding beside a Content-Length or in HTTP/1.0")
	}
	return nil
}

// Names of the fields that tell where an answer ends.
var (
	contentLengthName    = []byte("Content-Length")
	transferEncodingName = []byte("Transfer-Encoding")
)

func trimCR(line []byte) []byte { return bytes.TrimSuffix(line, []byte("\r")) }

// fieldName returns the name of the field in a line. ok is false if the line is not a token,
// a colon and a value without control bytes.
func fieldName(line []byte) (name []byte, ok bool) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 {
		return nil, false
	}
	for _, b := range name {
		if !isTokenByte(b) {
			return nil, false
		}
	}
	for _, b := range value {
		if b < ' ' && b != '\t' || b == 0x7f {
			return nil, false
		}
	}
	return name, true
}

// isTokenByte reports whether a byte may stand in the name of a field.
func isTokenByte(b byte) bool {
	return 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9' || b != 0 && strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// chunkedBody is a response's body in chunks. It checks the trailer as checkHead does the
// head, and drops it.
type chunkedBody struct {
	chunks io.Reader
	reader *bufio.Reader
	err    error
}

// checkTrailer makes a response's body end with an error if its trailer is malformed.
func checkTrailer(response *http.Response, reader *bufio.Reader) {
	if len(response.TransferEncoding) > 0 && response.Body != http.NoBody {
		response.Body = &chunkedBody{chunks: httputil.NewChunkedReader(reader), reader: reader}
	}
}

// Read implements io.Reader.
func (c *chunkedBody) Read(buffer []byte) (n int, err error) {
	if c.err != nil {
		return 0, c.err
	}
	n, c.err = c.chunks.Read(buffer)
	if c.err == io.EOF {
		c.err = c.readTrailer()
	}
	return n, c.err
}

// Close implements io.Closer.
func (c *chunkedBody) Close() error { return nil }

// readTrailer reads the trailer and returns io.EOF at its end.
func (c *chunkedBody) readTrailer() error {
	for size := 0; size <= maxTrailerBytes; {
		line, err := c.reader.ReadSlice('\n')
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		size += len(line)
		line = trimCR(bytes.TrimSuffix(line, []byte("\n")))
		if len(line) == 0 {
			return io.EOF
		}
		if _, ok := fieldName(line); !ok {
			return newDefect(MalformedAnswer, reason.AnswerCut, "the endpoint's answer has a malformed line in its trailer")
		}
	}
	return errBodyTooLarge
}
