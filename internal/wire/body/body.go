// Package body checks replies that net/http has read, and reads their bodies into memory, up to
// a bound: a server that is out of order may send bytes without end.
package body

import (
	"io"

	"github.com/joomcode/errorx"
)

var errorNamespace = errorx.NewNamespace("body")

// ErrTooLong is the type of errors for a body with more bytes than its reader accepts.
var ErrTooLong = errorNamespace.NewType("too_long")

// ReadAll reads a body of at most maxBytes bytes. It reads no more than one byte beyond that,
// and returns an ErrTooLong then.
func ReadAll(body io.Reader, maxBytes int64) (content []byte, err error) {
	content, err = io.ReadAll(io.LimitReader(body, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > maxBytes {
		return nil, ErrTooLong.New("the body has more than the %d bytes that are allowed", maxBytes)
	}
	return content, nil
}
